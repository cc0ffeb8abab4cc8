"""An odd number or port in a datagram has no lasting effect.

Balancers and agents tell each other of targets and of versions of the view.
Each odd value is refused or used without an error, and the next ordinary
message of the same sender takes effect.
"""

from contextlib import suppress
from math import inf, nan
from random import Random

import pytest
from msgspec.msgpack import decode as decode_messagepack
from msgspec.msgpack import encode as encode_messagepack

from lycheeglade import connection_agent, connection_balancer
from lycheeglade.address import Address
from lycheeglade.errors import PacketError
from lycheeglade.relay_message import (
    Duty,
    LoadReport,
    LoadRequest,
    Peers,
    ViewStatus,
    decode_message,
    encode_message,
)
from lycheeglade.store_revision import StoreRevision, ViewVersion
from lycheeglade.view_exchange import ViewExchange
from tests.connections import (
    AGENTS,
    BALANCER,
    TARGETS,
    AgentRecorder,
    BalancerRecorder,
    make_report,
    make_view,
    opening,
)
from tests.test_foreign_input import MESSAGES, make_processes

INTEGERS = (0, -1, 2**53, 2**53 + 1, 2**63, 2**64 - 1, -(2**63))
FLOATS = (1e308, -1e308, inf, -inf, nan, 2.5)
ODD_PORTS = (-1, 65_536, 70_000, 2**63, 2**64 - 1, "http", "80", 80.5, None)
PORTS_BY_MESSAGE = {
    "ForwardSegment": 2,
    "HomeFound": 2,
    "ConnectionNotHeld": 2,
    "Peers": 1,
    "ConnectionNotHeldBy": 3,
    "ViewStatus": 1,
    "OpeningHeld": 2,
    "OpeningRefused": 2,
}
PEER, OTHER = Address("10.1.0.20", 7720), Address("10.1.0.21", 7720)
VERSION = ViewVersion(StoreRevision(1, 5), 1)


def is_address(value):
    return isinstance(value, list) and len(value) == 2 and isinstance(value[0], str)


def find_addresses(value):
    """Yield the addresses in the elements of a message."""
    if is_address(value):
        yield value
    elif isinstance(value, list):
        for each in value:
            yield from find_addresses(each)


@pytest.mark.parametrize("port", ODD_PORTS, ids=str)
@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_port_out_of_range_is_malformed(message, port):
    encoded = encode_message(message)
    count = len(list(find_addresses(decode_messagepack(encoded))))
    assert count == PORTS_BY_MESSAGE.get(type(message).__name__, 0)
    for number in range(count):
        elements = decode_messagepack(encoded)
        list(find_addresses(elements))[number][1] = port
        with pytest.raises(PacketError):
            decode_message(encode_messagepack(elements))


def make_odd_messages(message):
    """Yield the encoded message with each number replaced by odd ones."""
    elements = decode_messagepack(encode_message(message))
    for position, value in enumerate(elements):
        if position and type(value) in (int, float):
            for odd in (*INTEGERS, *FLOATS):
                changed = [*elements[:position], odd, *elements[position + 1 :]]
                yield encode_messagepack(changed)


def test_odd_load_report_is_replaced_by_the_next_one():
    """A report may name a service time or a load that is none."""
    for encoded in make_odd_messages(make_report(age=1.0)):
        recorder = BalancerRecorder()
        balancer = recorder.make(make_view(TARGETS))
        for agent in AGENTS:
            connection_balancer.receive_message(balancer, make_report(), agent, 0.0)
        with suppress(PacketError):
            odd = decode_message(encoded)
            connection_balancer.receive_message(balancer, odd, AGENTS[0], 0.1)
        for number in range(20):
            connection_balancer.receive_segment(balancer, opening(41_001 + number), 0.2)
            connection_balancer.tick(balancer, 0.2 + number / 1000)
        for agent in AGENTS:
            report = make_report(incarnation=2)
            connection_balancer.receive_message(balancer, report, agent, 0.3)
        recorder.sent.clear()
        for number in range(60):
            connection_balancer.receive_segment(balancer, opening(40_001 + number), 0.4)
        placed = [agent for agent, _ in recorder.pop_forwarded_segments()]
        assert min(placed.count(agent) for agent in AGENTS) >= 10, encoded


def test_odd_load_request_is_replaced_by_the_next_one():
    sound = LoadRequest(1, True, 2.0, 3.0, 1_790_000_000_000, 7)
    for encoded in make_odd_messages(sound):
        recorder = AgentRecorder()
        agent = recorder.make()
        with suppress(PacketError):
            odd = decode_message(encoded)
            connection_agent.receive_message(agent, odd, BALANCER, 0.1)
        connection_agent.tick(agent, 0.2)
        connection_agent.receive_message(agent, sound, BALANCER, 0.3)
        connection_agent.tick(agent, 0.4)
        assert agent.slots == 1
        assert agent.target_lifetime == sound.lifetime
        reports = [m for _, m in recorder.sent if isinstance(m, LoadReport)]
        assert decode_message(encode_message(reports[-1])) == reports[-1]


@pytest.mark.parametrize(
    "message",
    [
        Peers(6, (OTHER,), 1, 1),
        ViewStatus("nadi-a", 6, 6, Duty.WATCHER, (OTHER,), 1, 1, 9.0),
        ViewStatus("nadi-a", 5, 6, Duty.WATCHER, (OTHER,), 1, 1, 9.0),
    ],
    ids=["peers", "status-ahead", "status"],
)
def test_odd_version_of_a_peer_hides_no_later_view(message):
    """The view of the peer is fetched, and its real version counts again."""
    for encoded in make_odd_messages(message):
        exchange = ViewExchange(BALANCER, Random(1), "nadi-a")
        with suppress(PacketError):
            odd = decode_message(encoded)
            exchange.receive(odd, PEER, VERSION, 10.0)
        status = ViewStatus("nadi-a", 5, 5, Duty.WATCHER, (), 1, 1, 9.0)
        exchange.receive(status, PEER, VERSION, 10.1)
        source = exchange.choose_source(VERSION, 11.0)
        if source is not None:
            exchange.record_fetch(source, VERSION)
        assert exchange.choose_source(VERSION, 11.5) is None, encoded
        later = ViewStatus("nadi-a", 7, 7, Duty.WATCHER, (), 1, 1, 9.0)
        exchange.receive(later, PEER, VERSION, 12.0)
        assert exchange.choose_source(VERSION, 13.0) == PEER, encoded
        own = exchange.make_status(VERSION, 13.0)
        assert decode_message(encode_message(own)) == own


@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_odd_number_in_a_message_raises_no_other_error(message):
    for encoded in make_odd_messages(message):
        balancer, agent = make_processes()
        with suppress(PacketError):
            odd = decode_message(encoded)
            with suppress(PacketError):
                connection_balancer.receive_message(balancer, odd, AGENTS[0], 1.0)
            connection_agent.receive_message(agent, odd, BALANCER, 1.0)
        connection_balancer.tick(balancer, 1.1)
        connection_agent.tick(agent, 1.1)
