"""An odd number in the messages of the product's own processes raises nothing.

Processes pass published values on to each other, with revisions and ages. Each
odd number is refused or used without an error, and later changes are applied.
"""

from math import inf, nan

import pytest

from lycheeglade.errors import PacketError
from lycheeglade.gossip_message import (
    Compare,
    Exchange,
    PublishedValue,
    Reply,
    ValueDifference,
    decode_message,
    encode_message,
)
from lycheeglade.knowledge import Knowledge
from tests.test_knowledge import ask
from tests.test_odd_configuration import find_contents, make_good, make_text

NUMBERS = (0, -1, 2**53, 2**63, 2**64 - 1, -(2**63), 1e308, inf, -inf, nan, 2.5)
REVISION = 3
SOUND = {
    "revision": REVISION,
    "digest": 0,
    "fresh": True,
    "age": 0.1,
    "up_to": REVISION,
    "values": (),
}


def make_replies(number):
    for field in ("revision", "digest", "age", "up_to"):
        yield field, SOUND | {field: number}
    newer = SOUND | {"revision": REVISION + 1, "up_to": REVISION + 1}
    value = PublishedValue("services/b", number, make_text("services/b"))
    yield "value", newer | {"values": (value,)}
    yield "refused", newer | {"refused": (("services/a", number),)}
    for splice in ((number, 0, "x"), (0, number, "x")):
        difference = ValueDifference("services/a", 4, 2, (splice,), 7)
        yield f"splice-{splice.index(number)}", newer | {"differences": (difference,)}
    for base, text_hash in ((number, 7), (2, number)):
        difference = ValueDifference("services/a", 4, base, ((0, 0, "x"),), text_hash)
        yield f"difference-{base}", newer | {"differences": (difference,)}


REPLIES = {
    f"{name}-{number}": values
    for number in NUMBERS
    for name, values in make_replies(number)
}
REQUESTS = {
    f"{name}-{number}": request
    for number in NUMBERS
    for name, request in {
        "after": Exchange(number, 0, "127.0.0.1", 1, True),
        "digest": Exchange(1, number, "127.0.0.1", 1, True),
        "port": Exchange(1, 0, "127.0.0.1", number, True),
        "digests": Compare((number,) * 3),
    }.items()
} | {"no-digests": Compare(())}


@pytest.fixture
def knowledge():
    knowledge = Knowledge(0.0)
    assert not knowledge.apply_values([make_good("services/a", 2)])
    assert knowledge.apply_index(REVISION, 0, 1.0)
    return knowledge


def assert_followed(knowledge):
    values = [make_good("services/a", 5), make_good("services/p", 6)]
    assert not knowledge.apply_values(values)
    assert knowledge.apply_index(6, 0, 4.0)
    assert find_contents(knowledge).keys() >= {"services/a", "services/p"}
    assert knowledge.snapshot.values_by_name["services/a"].revision == 5
    peer = Knowledge(0.0)
    reply, after = ask(peer, knowledge, 5.0)
    peer.apply_reply(decode_message(encode_message(reply)), after, 5.0)
    assert find_contents(peer).keys() == find_contents(knowledge).keys()


@pytest.mark.parametrize("name", REPLIES)
def test_odd_reply_leaves_later_changes_in_force(knowledge, name):
    try:
        reply = decode_message(encode_message(Reply(**REPLIES[name])))
    except PacketError:
        assert_followed(knowledge)
        return
    knowledge.apply_reply(reply, REVISION, 1.5)
    knowledge.needs_compare(reply, 1.5)
    knowledge.apply_compare_reply(reply, 1.6)
    encode_message(knowledge.build_request("127.0.0.1", 1))
    encode_message(knowledge.build_compare())
    assert_followed(knowledge)


@pytest.mark.parametrize("name", REQUESTS)
def test_odd_request_is_answered_or_refused(knowledge, name):
    try:
        request = decode_message(encode_message(REQUESTS[name]))
    except PacketError:
        return
    build = (
        knowledge.build_reply
        if isinstance(request, Exchange)
        else knowledge.build_compare_reply
    )
    reply = build(request, True, 1.5)
    assert decode_message(encode_message(reply)) == reply
    assert_followed(knowledge)
