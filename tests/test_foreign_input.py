"""Input of other writers that can't be decoded costs nothing but itself.

A decoder that raises an undeclared exception ends the process, or leaves the
rest of a batch unread. That happened with values that are nested deeper than
the interpreter's recursion limit, and with settings that are not UTF-8.
"""

from asyncio import start_server
from base64 import b64encode
from contextlib import suppress
from dataclasses import replace
from ipaddress import ip_address
from math import inf, nan
from random import Random
from zlib import compress

import pytest
from msgspec.msgpack import decode as decode_msgpack

from catalog import CONFIGURATION_KEY, Catalog, WireItem
from deployed_settings import parse_settings, read_text
from lycheeglade import connection_agent, connection_balancer
from lycheeglade.address import Address
from lycheeglade.agent import receive_datagram
from lycheeglade.errors import OptionError, PacketError, TicketError
from lycheeglade.flow_state import FlowState, encode_state
from lycheeglade.logs import format_field
from lycheeglade.packet import HandoffCommit, encode_packet
from lycheeglade.recording import is_recording, parse_recording
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    ConnectionNotHeldBy,
    Duty,
    ForwardSegment,
    HomeFound,
    LoadReport,
    LoadRequest,
    OpeningHeld,
    OpeningRefused,
    Peers,
    ViewStatus,
    decode_message,
    encode_message,
)
from lycheeglade.segment import SEQUENCE_SPACE, ConnectionKey
from lycheeglade.store_revision import StoreRevision
from lycheeglade.ticket import TicketRegistry
from lycheeglade.trace import parse_trace
from lycheeglade.view_transfer import fetch_view
from store import StoreClient, StoreError, WireRange
from store_era import EraReader
from tests.connections import (
    AGENTS,
    BALANCER,
    CALLER,
    KEY,
    SERVICE,
    TARGETS,
    AgentRecorder,
    BalancerRecorder,
    make_view,
)
from tests.test_deployed_settings import TEXT, without
from tests.test_takeover import FLOW, HOME_ADDRESS, make_offer
from wire import HEADER, decode_segment, encode_reset

# Deeper than any recursion limit, and just around the usual one: there the
# decoder may succeed and the representation in the log line fail.
DEPTHS = (2000, 100_000, *range(900, 1000, 5))
ZONE = "nadi-a"
TARGET_ENTRY = (
    '{{"service":"s1","address":"10.128.0.9:8080","zone":"nadi-a","state":"ready",'
    '"capacity":1,{field}}}'
)
CONFIGURATION = (
    '{{"version":3,"routes":[{{"host":"198.18.0.1","prefix":"/80/","service":"s1"'
    ',{route}}}],"services":[{service}],{field}}}'
)
OWN_ITEM = WireItem(
    "servers/own", b64encode(TARGET_ENTRY.format(field='"born":5').encode()).decode()
)
NESTED_MESSAGEPACK = {"array": b"\x91" * 2000 + b"\x90", "map": b"\x81\x00" * 2000}
MESSAGES = (
    ForwardSegment(
        BALANCER, b"x", False, "s1", (BALANCER,), (0.1,), False, ("s1",), 0, 0.1
    ),
    HomeFound(KEY, 1),
    ConnectionNotHeld(KEY, 1),
    LoadRequest(1),
    LoadReport(1, "s1", 0, 0.1, 0.1, 0),
    Peers(1, (BALANCER,)),
    ConnectionNotHeldBy(KEY, (BALANCER,)),
    ViewStatus(ZONE, 1, 1, Duty.WATCHER, (BALANCER,)),
    OpeningHeld(KEY),
    OpeningRefused(KEY),
)
INTEGERS = (0, 1, -1, 7, 1001, 2**31, 2**32 - 1, 2**32, 2**63, -(2**63), 2**64 - 1)
FLOATS = (0.0, 0.5, -1.0, 1e308, -1e308, 1e-300, inf, -inf, nan)
TEXTS = ("", "booth-sync", "\0", "x" * 300)
IPS = ("10.1.1.1", "10.1.0.10", "", "1.2.3.4.5")
PORTS = (7720, 0, -1, 65_536, 2**60)
ROUNDS, MESSAGES_PER_ROUND = 12, 800


def nest(depth):
    return "[" * depth + "]" * depth


def nest_objects(depth):
    return '{"a":' * depth + "1" + "}" * depth


def add_nested_field(encoded, nested):
    """Append a field, of a later build, to an array of a few elements."""
    count = len(decode_msgpack(encoded)) + 1
    return b"\xdc" + count.to_bytes(2, "big") + encoded[1:] + nested


def make_nested_values():
    for nested in (nest, nest_objects):
        for depth in DEPTHS:
            tree = nested(depth)
            for name in ("tags", "warmup-left-ms", "service"):
                text = TARGET_ENTRY.format(field=f'"{name}":{tree}')
                yield "servers/tmp-7", text
            yield f"op/evacuate/{ZONE}", f'{{"a":{tree}}}'
            empty = {"route": '"x":1', "service": "", "field": '"x":1'}
            for name in ("x", "aim-ms", "priority", "allowed-regions"):
                fields = {**empty, "route": f'"{name}":{tree}'}
                yield CONFIGURATION_KEY, CONFIGURATION.format(**fields)
            rate = f'{{"name":"s1","warmup-per-s":{tree}}}'
            for service in (tree, rate):
                fields = {**empty, "service": service}
                yield CONFIGURATION_KEY, CONFIGURATION.format(**fields)
            for name in ("limits", "services", "tenants"):
                fields = {**empty, "field": f'"{name}":{tree}'}
                yield CONFIGURATION_KEY, CONFIGURATION.format(**fields)


def test_nested_value_in_the_store_leaves_the_others_in_force():
    """Each balancer ended at such an entry, again after each restart."""

    def log(event, **fields):
        for value in fields.values():
            format_field(value)

    catalog = Catalog({ZONE: "viti-west"}, 7720, log)
    catalog.apply(OWN_ITEM)
    for key, text in make_nested_values():
        catalog.apply(WireItem(key, b64encode(text.encode()).decode()))
        view = catalog.view(StoreRevision(1, 100))
        assert "own" in view.targets_by_service["s1"]


@pytest.fixture
async def respond():
    """Return a function that starts a server which sends `content` to all."""
    servers = []

    async def start(content):
        async def send(reader, writer):
            writer.write(content)
            writer.close()

        servers.append(await start_server(send, "127.0.0.1", 0))
        return Address(*servers[-1].sockets[0].getsockname()[:2])

    yield start
    for server in servers:
        server.close()


def ignore_event(event, **fields):
    pass


async def test_nested_response_of_the_store_is_an_error_of_the_store(respond):
    body = f'{{"items":[],"x":{nest(2000)}}}'.encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    address = await respond(head + body)
    client = StoreClient(lambda: address, EraReader(ignore_event))
    with pytest.raises(StoreError):
        await client.get("/kv-range?prefix=", WireRange, 1.0)
    client.close()


async def test_nested_view_of_a_peer_is_not_fetched(respond):
    """The exception ended the task that follows the view, and the process."""
    address = await respond(compress(b"\x81\xa1x" + NESTED_MESSAGEPACK["array"]))
    assert await fetch_view(address, ignore_event) is None


@pytest.mark.parametrize("nested", NESTED_MESSAGEPACK.values(), ids=NESTED_MESSAGEPACK)
@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_nested_field_of_a_message_is_malformed(message, nested):
    """The datagrams that arrived with it waited for the next wake-up."""
    with pytest.raises(PacketError):
        decode_message(add_nested_field(encode_message(message), nested))


def test_nested_state_of_a_flow_is_malformed(agent, recorder):
    nested = NESTED_MESSAGEPACK["array"]
    tickets = TicketRegistry(b"key", "t2", 1).export_flow(FLOW, 0.0)
    state = encode_state(FlowState(*HOME_ADDRESS, 7, (), (), tickets))
    with pytest.raises(TicketError):
        TicketRegistry(b"key", "t1", 1).import_flow(
            FLOW, add_nested_field(tickets, nested), 0.0
        )
    commit = HandoffCommit(
        "booth-sync", "t1", "t2", *FLOW[1:], 1, add_nested_field(state, nested)
    )
    receive_datagram(agent, make_offer(1), HOME_ADDRESS, 0.0)
    receive_datagram(agent, encode_packet(commit), HOME_ADDRESS, 0.1)
    assert recorder.counts["malformed", "handoff-state"] == 1


def test_nested_line_of_a_trace_is_named():
    line = f'{{"kind":"recording","x":{nest(2000)}}}\n'
    assert not is_recording(line)
    for parse in (parse_trace, parse_recording):
        with pytest.raises(ExceptionGroup) as caught:
            parse(line, "nested.trace")
        assert str(caught.value.exceptions[0]).startswith("nested.trace:1: ")


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("internal-port-range", "\N{SUPERSCRIPT TWO},7735"),
        ("internal-port-range", "99999,99999"),
        ("internal-port-range", "9" * 5000),
        ("ip", "edge-a"),
        ("app", "10.1.0.13:" + "9" * 5000),
    ],
)
def test_unusable_setting_is_named(name, value):
    """They raised other exceptions, or were looked up or sent to later."""
    with pytest.raises(OptionError, match=name):
        parse_settings(without(name) + f"\n{name}={value}\n", "boot.conf")


def test_settings_that_are_not_utf_8_are_named(tmp_path):
    """A balancer that read its seeds again ended."""
    path = tmp_path / "boot.conf"
    path.write_bytes(TEXT.encode() + b"seeds=\xff\xfe\n")
    with pytest.raises(OptionError, match=r"boot.conf: \[settings\] text"):
        read_text(str(path))


def make_segment(generator):
    return HEADER.pack(
        generator.choice((0, 1, 2, 8, 9, 32, 33, 34, 64, 255)),
        generator.choice((0, 1, 7, 1001, SEQUENCE_SPACE - 1)),
        generator.choice((0, 1, 1001)),
        0,
        SERVICE.port,
        int(ip_address(CALLER.ip)),
        int(ip_address(SERVICE.ip)),
        CALLER.port,
        0,
        generator.choice((0, 1, 2)),
    )


def change_value(value, generator):
    """Return a value of the same type, at or beyond what a peer would send."""
    if isinstance(value, Address):
        return Address(generator.choice(IPS), generator.choice(PORTS))
    if isinstance(value, ConnectionKey):
        changed = ConnectionKey(*(change_value(each, generator) for each in value))
        return generator.choice((value, value, changed))
    if isinstance(value, tuple):
        return tuple(change_value(each, generator) for each in value)
    if isinstance(value, bytes):
        return make_segment(generator)
    values_by_type = {bool: (False, True), int: INTEGERS, float: FLOATS, str: TEXTS}
    return generator.choice(values_by_type.get(type(value), (value,)))


def change_message(message, generator):
    values = (getattr(message, name) for name in message.__struct_fields__)
    return type(message)(*(change_value(value, generator) for value in values))


def make_processes():
    """Return a balancer and an agent with the codecs of their messages."""
    recorder, agent_recorder = BalancerRecorder(), AgentRecorder()
    balancer = recorder.make(make_view(TARGETS))
    balancer.actions = replace(
        balancer.actions,
        send=lambda address, message: encode_message(message),
        reset=encode_reset,
    )
    agent = agent_recorder.make()
    agent.actions = replace(
        agent.actions,
        send=lambda address, message: encode_message(message),
        reset=encode_reset,
        decode=decode_segment,
    )
    return balancer, agent


@pytest.mark.parametrize("seed", range(ROUNDS))
def test_no_well_formed_message_raises_more_than_a_packet_error(seed):
    """Numbers out of range, and addresses that are none, raised others."""
    generator = Random(seed)
    balancer, agent = make_processes()
    for number in range(MESSAGES_PER_ROUND):
        now = 1.0 + number * 0.01
        message = change_message(generator.choice(MESSAGES), generator)
        with suppress(PacketError):
            encoded = encode_message(message)
            message = decode_message(encoded)
            with suppress(PacketError):
                connection_balancer.receive_message(
                    balancer, message, generator.choice(AGENTS), now
                )
            connection_agent.receive_message(agent, message, BALANCER, now)
        segment = decode_segment(make_segment(generator))
        if generator.random() < 0.5:
            connection_balancer.receive_segment(balancer, segment, now)
        else:
            connection_agent.receive_from_target(agent, segment, now)
        connection_balancer.tick(balancer, now)
        connection_agent.tick(agent, now)
