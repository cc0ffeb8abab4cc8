import pytest
from hypothesis import given
from hypothesis import strategies as st

import lycheeglade.knowledge
import lycheeglade.spread
from lycheeglade.gossip_message import (
    Reply,
    ValueDifference,
    decode_message,
    encode_message,
)
from lycheeglade.knowledge import RESTART_PULL_S, Knowledge
from lycheeglade.splice import apply_splices, find_splice
from lycheeglade.spread import Snapshot, merge_values
from lycheeglade.value import Value

INVALID = "[host a]\n"


def make_knowledge(*values, revision=0):
    knowledge = Knowledge(0.0)
    knowledge.apply_values(values)
    assert knowledge.apply_index(revision, 0, 0.0)
    return knowledge


def host_text(name):
    zone = name.removeprefix("hosts/")
    addresses = "packets = 127.1.0.1:1\ncontrol = 127.1.0.1:2\n"
    return f"[host a]\nrole = agent\nzone = {zone}\n{addresses}"


def value(name, revision):
    return Value(name, revision, host_text(name))


def ask(asker, peer, now):
    request = asker.build_request("127.0.0.1", 1)
    return peer.build_reply(request, True, now), request.revision


@pytest.fixture
def one_value_a_reply(monkeypatch):
    monkeypatch.setattr(lycheeglade.knowledge, "MAX_REPLY_BYTES", 1)


def test_gap_of_a_refused_value_is_filled_by_a_peer_that_holds_the_valid_one():
    gap = make_knowledge(Value("hosts/f/a", 2, INVALID), revision=2)
    late = Knowledge(0.0)
    late.apply_reply(*ask(late, gap, 1.0), 1.0)
    assert late.snapshot.refused_by_name == {"hosts/f/a": 2}
    whole = make_knowledge(
        value("hosts/f/a", 1), Value("hosts/f/a", 2, INVALID), revision=2
    )
    reply, _ = ask(late, whole, 2.0)
    assert late.needs_compare(reply, 2.0)
    late.apply_compare_reply(
        whole.build_compare_reply(late.build_compare(), True, 2.0), 2.0
    )
    assert late.snapshot.values_by_name["hosts/f/a"].revision == 1


@pytest.mark.usefixtures("one_value_a_reply")
def test_pull_is_not_completed_by_a_peer_that_knows_less():
    a, b = value("hosts/f/a", 2), value("hosts/f/b", 3)
    c = value("hosts/f/c", 1)
    more = make_knowledge(a, b, value("hosts/f/c", 4), revision=4)
    less = make_knowledge(a, c, revision=2)
    asker = Knowledge(0.0)
    asker.apply_reply(*ask(asker, more, 1.0), 1.0)
    asker.apply_reply(*ask(asker, less, 1.0), 1.0)
    assert asker.snapshot.revision == 0
    later = 2.0 + RESTART_PULL_S
    for _ in range(3):
        asker.apply_reply(*ask(asker, less, later), later)
    assert asker.snapshot.revision == 2
    assert set(asker.snapshot.values_by_name) >= {"hosts/f/a", "hosts/f/c"}


def test_reply_to_a_request_from_before_a_restart_completes_nothing():
    peer = make_knowledge(value("hosts/f/a", 1), value("hosts/f/b", 2), revision=2)
    before = Knowledge(0.0)
    before.apply_values([value("hosts/f/a", 1)])
    before.apply_index(1, 0, 0.0)
    reply, after = ask(before, peer, 1.0)
    restarted = Knowledge(1.0)
    restarted.apply_reply(reply, after, 1.0)
    assert restarted.snapshot.revision == 0


def long_list(ports):
    """Return a host list that is long enough to be sent as differences."""
    hosts = [
        f"[host h{number}]\nrole = agent\nzone = f/a\n"
        f"packets = 127.1.0.{number}:{port}\ncontrol = 127.1.0.{number}:9\n"
        for number, port in enumerate(ports, 1)
    ]
    return "".join(hosts)


def publish(knowledge, revision, ports):
    knowledge.apply_values([Value("hosts/f/a", revision, long_list(ports))])
    assert knowledge.apply_index(revision, knowledge.snapshot.revision, 0.0)


def test_changes_of_a_long_list_travel_as_differences():
    peer, asker = Knowledge(0.0), Knowledge(0.0)
    publish(peer, 1, [1] * 40)
    publish(asker, 1, [1] * 40)
    publish(peer, 2, [1] * 20 + [2] + [1] * 19)
    publish(peer, 3, [1] * 20 + [2] + [1] * 18)
    reply, after = ask(asker, peer, 1.0)
    assert [each.base for each in reply.differences] == [1]
    assert not reply.values
    assert len(encode_message(reply)) < 300
    assert not asker.apply_reply(reply, after, 1.0)
    assert asker.snapshot == peer.snapshot


@pytest.mark.parametrize("held", [[3] * 40, [1] * 39])
def test_difference_to_another_text_is_replaced_by_the_whole_one(held):
    peer, asker = Knowledge(0.0), Knowledge(0.0)
    publish(peer, 1, [1] * 40)
    publish(peer, 3, [1] * 20 + [2] + [1] * 19)
    publish(asker, 2 if held[0] == 3 else 1, held)
    asker.apply_reply(*ask(asker, peer, 1.0), 1.0)
    assert asker.snapshot.revision < 3
    reply, after = ask(asker, peer, 1.0)
    assert reply.values
    asker.apply_reply(reply, after, 1.0)
    assert asker.snapshot == peer.snapshot


numbers = st.integers(-5, 10_000)


@given(
    st.integers(0, 4),
    st.lists(st.tuples(numbers, numbers, st.text(max_size=5)), max_size=4),
    st.integers(0, 2**64 - 1),
)
def test_no_difference_of_a_peer_raises_or_changes_anything(base, splices, text_hash):
    asker = Knowledge(0.0)
    publish(asker, 3, [1] * 40)
    before = asker.snapshot
    difference = ValueDifference("hosts/f/a", 4, base, tuple(splices), text_hash)
    reply = Reply(4, 0, True, 0.0, 4, (), (), (difference,))
    asker.apply_reply(decode_message(encode_message(reply)), 3, 1.0)
    assert asker.snapshot == before
    assert not asker.build_request("127.0.0.1", 1).takes_differences


@given(st.text("ab\n", max_size=30), st.text("ab\n", max_size=30))
def test_splice_turns_one_text_into_the_other(old, new):
    assert apply_splices(old, [find_splice(old, new)]) == new


def test_value_older_than_a_forgotten_deletion_is_not_taken(monkeypatch):
    monkeypatch.setattr(lycheeglade.spread, "MAX_VALUES", 1)
    deletions = [Value("hosts/f/a", 2, None), Value("hosts/f/b", 3, None)]
    snapshot = merge_values(Snapshot(), deletions, 3).snapshot
    assert list(snapshot.values_by_name) == ["hosts/f/b"]
    again = merge_values(snapshot, [value("hosts/f/a", 1)], 3).snapshot
    assert list(again.values_by_name) == ["hosts/f/b"]
