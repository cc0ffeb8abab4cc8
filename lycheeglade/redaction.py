"""Replaces the payloads of callers and upstreams by filler of equal length.

The header of a CoAP message, its token and the options of KEPT_OPTIONS are
kept, since the core's decisions depend on them. The filler is a digest under a
key that is never written. Equal contents get equal filler, so that a replay
distinguishes duplicates from other messages as the process did.
"""

from base64 import urlsafe_b64encode
from collections.abc import Callable
from hashlib import blake2b

from aiocoap.numbers import OptionNumber
from msgspec.structs import replace

from lycheeglade.coap import AGENT_PAYLOADS
from lycheeglade.coap_option import (
    HEADER_BYTES,
    MAX_TOKEN_BYTES,
    PAYLOAD_MARKER,
    read_option,
)
from lycheeglade.errors import DECODE_ERRORS
from lycheeglade.flow_state import FeedState, FlowState, decode_state, encode_state
from lycheeglade.packet import (
    Answer,
    Delegate,
    DelegateReply,
    Forward,
    HandoffCommit,
    HandoffOffer,
    Packet,
)
from lycheeglade.ticket import map_exported_tickets
from lycheeglade.view import Protocol

KEPT_OPTIONS = frozenset(
    {
        OptionNumber.ETAG,
        OptionNumber.OBSERVE,
        OptionNumber.URI_PORT,
        OptionNumber.CONTENT_FORMAT,
        OptionNumber.MAX_AGE,
        OptionNumber.ACCEPT,
        OptionNumber.BLOCK1,
        OptionNumber.BLOCK2,
        OptionNumber.SIZE1,
        OptionNumber.SIZE2,
        OptionNumber.ECHO,
        OptionNumber.NO_RESPONSE,
    }
)
DIGEST_BYTES = 24
# An option with the reserved delta 15, which every decoder rejects.
_MALFORMED = b"\xf0"
_INVALID_UTF8 = b"\xff"

FindProtocol = Callable[[str], Protocol | None]


class Redactor:
    """Redacts datagrams and packets under one secret key.

    Parameters
    ----------
    key : bytes
        Secret of this process, at most 64 bytes.
    find_protocol : callable
        Returns the protocol of a service by name; None if it is unknown.
    """

    def __init__(self, key: bytes, find_protocol: FindProtocol):
        self._key = key
        self._find_protocol = find_protocol
        self._last_redaction = (b"", None, b"")

    def make_filler(self, content: bytes) -> bytes:
        """Return ASCII filler of the length of `content`."""
        digest = blake2b(content, key=self._key, digest_size=DIGEST_BYTES).digest()
        text = urlsafe_b64encode(digest)
        return (text * (len(content) // len(text) + 1))[: len(content)]

    def redact_datagram(self, datagram: bytes, service: str) -> bytes:
        """Return the redacted form of a caller's or an upstream's datagram."""
        protocol = self._find_protocol(service)
        # A datagram is redacted when received and again when forwarded.
        latest, latest_protocol, redacted = self._last_redaction
        if latest == datagram and latest_protocol is protocol:
            return redacted
        if protocol is Protocol.COAP:
            redacted = self._redact_coap(datagram)
        else:
            redacted = self.make_filler(datagram)
        self._last_redaction = (datagram, protocol, redacted)
        return redacted

    def redact_packet(self, packet: Packet) -> Packet:
        """Return the redacted form of a packet between processes."""
        if isinstance(packet, (Forward, Answer, Delegate, DelegateReply)):
            payload = self.redact_datagram(packet.payload, packet.service)
            return replace(packet, payload=payload)
        if isinstance(packet, HandoffOffer):
            registrations = tuple(
                self.redact_datagram(each, packet.service)
                for each in packet.registrations
            )
            return replace(packet, registrations=registrations)
        if isinstance(packet, HandoffCommit):
            return replace(packet, state=self._redact_state(packet))
        return packet

    def _redact_state(self, packet: HandoffCommit) -> bytes:
        def redact(datagram: bytes | None) -> bytes | None:
            if not datagram:
                return datagram
            return self.redact_datagram(datagram, packet.service)

        try:
            state = decode_state(packet.state)
            tickets = map_exported_tickets(state.tickets, self.make_filler, redact)
        except DECODE_ERRORS:
            return _MALFORMED * len(packet.state)
        redacted = FlowState(
            state.balancer_ip,
            state.balancer_port,
            state.next_message_id,
            state.executed_message_ids,
            tuple(_redact_feed(feed, redact) for feed in state.feeds),
            tickets,
        )
        return encode_state(redacted)

    def _redact_coap(self, datagram: bytes) -> bytes:
        position = HEADER_BYTES + (datagram[0] & 0x0F if datagram else 0)
        if position > HEADER_BYTES + MAX_TOKEN_BYTES or position > len(datagram):
            return datagram[:HEADER_BYTES] + self.make_filler(datagram[HEADER_BYTES:])
        parts = [datagram[:position]]
        number = 0
        while position < len(datagram):
            if datagram[position] == PAYLOAD_MARKER:
                payload = datagram[position + 1 :]
                is_agent_payload = payload in AGENT_PAYLOADS
                parts += (
                    b"\xff",
                    payload if is_agent_payload else self.make_filler(payload),
                )
                return b"".join(parts)
            option = read_option(datagram, position)
            if option is None:
                parts.append(_MALFORMED * (len(datagram) - position))
                return b"".join(parts)
            delta, start, end = option
            number += delta
            value = datagram[start:end]
            kept = value if number in KEPT_OPTIONS else self._redact_option(value)
            parts += (datagram[position:start], kept)
            position = end
        return b"".join(parts)

    def _redact_option(self, value: bytes) -> bytes:
        try:
            value.decode()
        except UnicodeDecodeError:
            # An option that is not UTF-8 stays so, and the message malformed.
            return _INVALID_UTF8 * len(value)
        return self.make_filler(value)


def _redact_feed(feed: FeedState, redact: Callable[[bytes], bytes]) -> FeedState:
    in_flight = feed.in_flight
    return FeedState(
        feed.token,
        redact(feed.registration),
        feed.sequence,
        feed.recent_items,
        tuple(map(redact, feed.items)),
        redact(feed.latest),
        in_flight and (*in_flight[:2], redact(in_flight[2])),
    )
