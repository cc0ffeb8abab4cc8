import pytest

import lycheeglade.knowledge
import lycheeglade.spread
from lycheeglade.knowledge import RESTART_PULL_S, Knowledge
from lycheeglade.spread import Snapshot, advance
from lycheeglade.value import Value

INVALID = "[host a]\n"


def know(*values, revision=0):
    knowledge = Knowledge(0.0)
    knowledge.take_values(values)
    assert knowledge.take_index(revision, 0, 0.0)
    return knowledge


def text_of(name):
    zone = name.removeprefix("hosts/")
    addresses = "packets = 127.1.0.1:1\ncontrol = 127.1.0.1:2\n"
    return f"[host a]\nrole = agent\nzone = {zone}\n{addresses}"


def value(name, revision):
    return Value(name, revision, text_of(name))


def ask(asker, peer, now):
    request = asker.ask("127.0.0.1", 1)
    return peer.answer(request, True, now), request.revision


@pytest.fixture
def one_value_a_reply(monkeypatch):
    monkeypatch.setattr(lycheeglade.knowledge, "MAX_REPLY_BYTES", 1)


def test_gap_of_a_refused_value_is_filled_by_a_peer_that_holds_the_valid_one():
    gap = know(Value("hosts/f/a", 2, INVALID), revision=2)
    late = Knowledge(0.0)
    late.take_reply(*ask(late, gap, 1.0), 1.0)
    assert late.snapshot.refused_by_name == {"hosts/f/a": 2}
    whole = know(value("hosts/f/a", 1), Value("hosts/f/a", 2, INVALID), revision=2)
    reply, _ = ask(late, whole, 2.0)
    assert late.needs_compare(reply, 2.0)
    late.take_compared(whole.answer_compare(late.compare(), True, 2.0), 2.0)
    assert late.snapshot.values_by_name["hosts/f/a"].revision == 1


@pytest.mark.usefixtures("one_value_a_reply")
def test_pull_is_not_completed_by_a_peer_that_knows_less():
    a, b = value("hosts/f/a", 2), value("hosts/f/b", 3)
    c = value("hosts/f/c", 1)
    more = know(a, b, value("hosts/f/c", 4), revision=4)
    less = know(a, c, revision=2)
    asker = Knowledge(0.0)
    asker.take_reply(*ask(asker, more, 1.0), 1.0)
    asker.take_reply(*ask(asker, less, 1.0), 1.0)
    assert asker.snapshot.revision == 0
    later = 2.0 + RESTART_PULL_S
    for _ in range(3):
        asker.take_reply(*ask(asker, less, later), later)
    assert asker.snapshot.revision == 2
    assert set(asker.snapshot.values_by_name) >= {"hosts/f/a", "hosts/f/c"}


def test_reply_to_a_request_from_before_a_restart_completes_nothing():
    peer = know(value("hosts/f/a", 1), value("hosts/f/b", 2), revision=2)
    before = Knowledge(0.0)
    before.take_values([value("hosts/f/a", 1)])
    before.take_index(1, 0, 0.0)
    reply, after = ask(before, peer, 1.0)
    restarted = Knowledge(1.0)
    restarted.take_reply(reply, after, 1.0)
    assert restarted.snapshot.revision == 0


def test_value_older_than_a_forgotten_deletion_is_not_taken(monkeypatch):
    monkeypatch.setattr(lycheeglade.spread, "MAX_VALUES", 1)
    deletions = [Value("hosts/f/a", 2, None), Value("hosts/f/b", 3, None)]
    snapshot = advance(Snapshot(), deletions, 3).snapshot
    assert list(snapshot.values_by_name) == ["hosts/f/b"]
    again = advance(snapshot, [value("hosts/f/a", 1)], 3).snapshot
    assert list(again.values_by_name) == ["hosts/f/b"]
