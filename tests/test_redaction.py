import pytest
from aiocoap import Code, Message, Type
from hypothesis import given
from hypothesis import strategies as st
from msgspec import DecodeError

from lycheeglade.coap import (
    AGENT_PAYLOADS,
    read_caller,
    read_upstream,
    write_refusal,
    write_request,
    write_response,
)
from lycheeglade.errors import PacketError
from lycheeglade.flow_state import FeedState, FlowState, decode_state, encode_state
from lycheeglade.message import ReplyTo
from lycheeglade.packet import HandoffCommit
from lycheeglade.redaction import Redactor
from lycheeglade.ticket import TicketRegistry
from lycheeglade.view import Protocol

KEY = bytes(range(32))
REPLY_TO = ReplyTo(7, b"\x05", reliable=True)


def encode(mtype, token, **options):
    message = Message(**options)
    message.mtype, message.mid, message.token = mtype, 1, token
    return message.encode()


def make_redactor(protocol=Protocol.COAP):
    return Redactor(KEY, {"booth-sync": protocol}.get)


def redact(datagram):
    return make_redactor().redact_datagram(datagram, "booth-sync")


@st.composite
def requests(draw):
    message = Message(
        code=draw(st.sampled_from([Code.GET, Code.POST, Code.PUT])),
        payload=draw(st.binary(max_size=80)),
        uri_path=draw(st.lists(st.text(max_size=20), max_size=3)),
        uri_query=draw(st.lists(st.text(max_size=300), max_size=2)),
    )
    if draw(st.booleans()):
        message.opt.observe = draw(st.integers(0, 1))
    if draw(st.booleans()):
        message.opt.echo = draw(st.binary(min_size=1, max_size=40))
    message.mtype = draw(st.sampled_from([Type.CON, Type.NON]))
    message.mid = draw(st.integers(0, 65535))
    message.token = draw(st.binary(max_size=8))
    return message.encode()


def read_fields(read, datagram):
    """Return the fields that the core reads, or the cause of the error."""
    try:
        message = read(datagram)
    except PacketError as error:
        return error.cause
    fields = {name: getattr(message, name) for name in message.__slots__}
    kept = {name: fields[name] for name in fields if name not in ("digest", "datagram")}
    item = kept.pop("item", b"")
    return kept, len(item)


def replace_octet(datagram, position, octet):
    position %= len(datagram)
    return datagram[:position] + bytes([octet]) + datagram[position + 1 :]


@given(requests())
def test_decisions_see_the_same_of_a_request(datagram):
    redacted = redact(datagram)
    assert len(redacted) == len(datagram)
    assert read_fields(read_caller, redacted) == read_fields(read_caller, datagram)


@given(requests(), st.integers(0, 500), st.integers(0, 255))
def test_decisions_see_the_same_of_a_malformed_one(datagram, position, octet):
    datagram = replace_octet(datagram, position, octet)
    for read in (read_caller, read_upstream):
        assert read_fields(read, redact(datagram)) == read_fields(read, datagram)


@given(st.binary(max_size=60))
def test_decisions_see_the_same_of_any_bytes(datagram):
    redacted = redact(datagram)
    assert len(redacted) == len(datagram)
    assert read_fields(read_caller, redacted) == read_fields(read_caller, datagram)


@given(requests())
def test_what_is_passed_on_is_redacted_alike(datagram):
    passed_on = write_request(datagram, 9, b"\x01")
    assert redact(passed_on) == write_request(redact(datagram), 9, b"\x01")


@given(st.binary(max_size=80), st.booleans())
def test_an_answer_is_redacted_alike(payload, has_ticket):
    datagram = encode(
        Type.ACK, b"\x04", code=Code.CONTENT, payload=payload, etag=b"\x01\x02"
    )
    ticket = b"t" * 37 if has_ticket else None
    answer = write_response(datagram, REPLY_TO, ticket)
    assert redact(answer) == write_response(redact(datagram), REPLY_TO, ticket)


def test_copies_are_told_from_other_messages():
    one, other = (
        encode(Type.CON, b"", code=Code.POST, payload=text)
        for text in (b"seat 12, row 4", b"seat 13, row 4")
    )
    assert redact(one) == redact(one) != redact(other)
    assert b"seat" not in redact(one)
    assert read_caller(redact(one)).digest != read_caller(redact(other)).digest


def test_payloads_of_the_process_itself_stay():
    refusal = write_refusal(REPLY_TO, 3, None)
    assert redact(refusal) == refusal
    assert len(AGENT_PAYLOADS) == 3


def test_carried_datagrams_are_filled_whole():
    datagram = b"some words to carry"
    redacted = make_redactor(Protocol.DATAGRAM).redact_datagram(datagram, "booth-sync")
    unknown = make_redactor().redact_datagram(datagram, "another")
    assert len(redacted) == len(unknown) == len(datagram)
    assert not set(redacted.split()) & set(datagram.split())
    assert redacted == unknown


def test_state_of_a_flow_can_still_be_taken_over():
    flow = ("booth-sync", "127.9.0.1", 4000)
    registry = TicketRegistry(KEY, "booth-sync/t1/h1", 1)
    tickets = [registry.issue(flow, 0.0) for _ in range(2)]
    registry.begin(tickets[0], b"d" * 16, 1.0)
    outcome = encode(Type.ACK, b"", code=Code.CHANGED, payload=b"a secret outcome")
    registry.finish(tickets[0], outcome, 2.0)
    registration = encode(Type.CON, b"f", code=Code.GET, uri_path=("secret", "reel"))
    feed = FeedState(
        b"f", registration, 4, (b"i",), (registration,), b"", (1, 2, registration)
    )
    state = FlowState(
        "127.1.0.1", 7100, 5, (1,), (feed,), registry.export_flow(flow, 3.0)
    )
    encoded = encode_state(state)
    assert b"secret" in encoded
    packet = HandoffCommit("booth-sync", "t2", "t1", *flow[1:], 8, encoded)
    redacted = make_redactor().redact_packet(packet)
    assert b"secret" not in redacted.state
    assert len(redacted.state) == len(encoded)
    decoded = decode_state(redacted.state)
    assert decoded.feeds[0].registration == redact(registration)
    other = TicketRegistry(KEY, "booth-sync/t2/h2", 2)
    assert other.import_flow(flow, decoded.tickets, 4.0)
    assert len(other) == 2


@pytest.mark.parametrize("state", [b"", b"\x00", b"\x96garbage"])
def test_state_that_cannot_be_decoded_stays_so(state):
    packet = HandoffCommit("booth-sync", "t2", "t1", "127.9.0.1", 4000, 8, state)
    redacted = make_redactor().redact_packet(packet).state
    assert len(redacted) == len(state)
    with pytest.raises(DecodeError):
        decode_state(redacted)
