"""Adapter for CoAP (RFC 7252, 7641, 7959, 9175) on the codec of aiocoap.

A request's ticket is its Echo option. Responses are piggybacked on the
acknowledgement, so that only the caller retransmits. Its retransmissions may
arrive through any balancer.
"""

from hashlib import blake2b
from struct import error as struct_error

from aiocoap import Code, Message, Type
from aiocoap.error import Error as CoapError
from aiocoap.numbers import OptionNumber

from lycheeglade.coap_option import (
    HEADER_BYTES,
    MAX_TOKEN_BYTES,
    PAYLOAD_MARKER,
    read_option,
)
from lycheeglade.errors import PacketError
from lycheeglade.message import (
    Adapter,
    CallerMessage,
    FeedAction,
    Kind,
    ReplyTo,
    UpstreamMessage,
)

COAP_VERSION = 1
MAX_COAP_BYTES = 2048
DIGEST_BYTES = 16
OBSERVE_MODULUS = 1 << 24
REPEATABLE_CODES = frozenset({Code.GET, Code.PUT, Code.DELETE, Code.FETCH, Code.iPATCH})
_DIGEST_IGNORED = (OptionNumber.ECHO,)
_REQUEST_CODES = frozenset(int(code) for code in Code if code.is_request())
_TOO_MANY = int(Code.TOO_MANY_REQUESTS)
# Max-Age as the first option has an option delta with one extended byte.
_MAX_AGE_DELTA = 13 << 4
_MAX_AGE_EXTENDED = OptionNumber.MAX_AGE - 13
_NOT_RUN = b"not run"
_OUTCOME_UNKNOWN = b"outcome unknown"
_FEED_ENDED = b"feed ended"
AGENT_PAYLOADS = frozenset({_NOT_RUN, _OUTCOME_UNKNOWN, _FEED_ENDED})


def _decode(datagram: bytes) -> Message:
    if len(datagram) < HEADER_BYTES:
        raise PacketError("coap-truncated")
    if len(datagram) > MAX_COAP_BYTES:
        raise PacketError("coap-oversized")
    token_length = datagram[0] & 0x0F
    if token_length > MAX_TOKEN_BYTES or len(datagram) < HEADER_BYTES + token_length:
        raise PacketError("coap-token")
    if datagram[0] >> 6 != COAP_VERSION:
        raise PacketError("coap-version")
    try:
        message = Message.decode(datagram)
        message.opt.observe, message.opt.echo, message.opt.etag  # noqa: B018
    except (CoapError, ValueError, IndexError, struct_error, KeyError) as error:
        raise PacketError("coap-encoding") from error
    return message


def _empty_kind(message: Message) -> Kind:
    if message.mtype is Type.ACK:
        return Kind.ACKNOWLEDGEMENT
    if message.mtype is Type.RST:
        return Kind.RESET
    return Kind.PING


def _digest(message: Message) -> bytes:
    digest = blake2b(digest_size=DIGEST_BYTES)
    digest.update(repr(message.get_cache_key(_DIGEST_IGNORED)).encode())
    digest.update(message.payload)
    return digest.digest()


def _feed_action(message: Message) -> FeedAction:
    if message.code is not Code.GET or message.opt.observe is None:
        return FeedAction.NONE
    return FeedAction.CLOSE if message.opt.observe else FeedAction.OPEN


def read_caller(datagram: bytes) -> CallerMessage:
    """Decode a caller's datagram.

    Raises
    ------
    PacketError
        If `datagram` is not a CoAP message that a client may send.
    """
    message = _decode(datagram)
    if message.code is Code.EMPTY:
        return CallerMessage(
            kind=_empty_kind(message),
            message_id=message.mid,
            token=b"",
            reliable=message.mtype is Type.CON,
        )
    if not message.code.is_request() or message.mtype in (Type.ACK, Type.RST):
        raise PacketError("coap-not-a-request")
    repeatable = message.code in REPEATABLE_CODES
    return CallerMessage(
        kind=Kind.REQUEST,
        message_id=message.mid,
        token=message.token,
        reliable=message.mtype is Type.CON,
        repeatable=repeatable,
        feed=_feed_action(message),
        ticket=message.opt.echo,
        digest=b"" if repeatable else _digest(message),
        datagram=datagram,
    )


def read_upstream(datagram: bytes) -> UpstreamMessage:
    """Decode an upstream's datagram.

    Raises
    ------
    PacketError
        If `datagram` is not a CoAP message that a server may send.
    """
    message = _decode(datagram)
    if message.code is Code.EMPTY:
        return UpstreamMessage(
            kind=_empty_kind(message), message_id=message.mid, token=b""
        )
    if not message.code.is_response():
        raise PacketError("coap-not-a-response")
    is_notification = message.opt.observe is not None
    item = b""
    if is_notification:
        item = (
            message.opt.etag
            or blake2b(message.payload, digest_size=MAX_TOKEN_BYTES).digest()
        )
    return UpstreamMessage(
        kind=Kind.RESPONSE,
        message_id=message.mid,
        token=message.token,
        reliable=message.mtype is Type.CON,
        failed=message.code.class_ == 5,
        refused=message.code is Code.SERVICE_UNAVAILABLE,
        is_notification=is_notification,
        content_id=item,
        datagram=datagram,
    )


def _encode(message: Message, mtype: Type, message_id: int, token: bytes) -> bytes:
    message.direction = message.direction.OUTGOING
    message.mtype = mtype
    message.mid = message_id
    message.token = token
    return message.encode()


def _reply(message: Message, reply_to: ReplyTo) -> bytes:
    mtype = Type.ACK if reply_to.reliable else Type.NON
    return _encode(message, mtype, reply_to.message_id, reply_to.token)


def write_request(datagram: bytes, message_id: int, token: bytes) -> bytes:
    """Convert a caller's request into one without ticket for the upstream."""
    message = _decode(datagram)
    message.opt.echo = None
    return _encode(message, Type.CON, message_id, token)


def write_response(datagram: bytes, reply_to: ReplyTo, ticket: bytes | None) -> bytes:
    """Convert an upstream's response into one for the caller."""
    message = _decode(datagram)
    if ticket is not None:
        message.opt.echo = ticket
    return _reply(message, reply_to)


def write_notification(
    datagram: bytes, reply_to: ReplyTo | int, token: bytes, sequence: int
) -> bytes:
    """Convert an upstream's notification into one for the caller."""
    message = _decode(datagram)
    message.opt.observe = sequence % OBSERVE_MODULUS
    if isinstance(reply_to, ReplyTo):
        return _reply(message, reply_to)
    return _encode(message, Type.CON, reply_to, token)


def write_challenge(reply_to: ReplyTo, ticket: bytes) -> bytes:
    """Ask the caller to repeat the request with `ticket` (RFC 9175, 2.3)."""
    return _reply(Message(code=Code.UNAUTHORIZED, echo=ticket), reply_to)


def write_refusal(reply_to: ReplyTo, retry_after: int, ticket: bytes | None) -> bytes:
    """Answer that the request was not run; `retry_after` is in seconds."""
    message = Message(
        code=Code.SERVICE_UNAVAILABLE, payload=_NOT_RUN, max_age=retry_after
    )
    if ticket is not None:
        message.opt.echo = ticket
    return _reply(message, reply_to)


def write_overload(datagram: bytes, retry_after: int) -> bytes | None:
    """Answer a request with 4.29 (RFC 8516), which leaves its outcome open.

    A request with a ticket gets no answer, so that its caller keeps asking for
    the outcome. This function parses and builds the bytes itself, since the
    codec takes longer than a balancer takes to forward the request.
    """
    if not HEADER_BYTES <= len(datagram) <= MAX_COAP_BYTES:
        return None
    head, code = datagram[0], datagram[1]
    message_type, token_end = head >> 4 & 3, HEADER_BYTES + (head & 0x0F)
    if (
        head >> 6 != COAP_VERSION
        or message_type not in (Type.CON, Type.NON)
        or code not in _REQUEST_CODES
        or token_end > min(len(datagram), HEADER_BYTES + MAX_TOKEN_BYTES)
        or _may_have_ticket(datagram, token_end)
    ):
        return None
    answer_type = Type.ACK if message_type == Type.CON else Type.NON
    max_age = retry_after.to_bytes((retry_after.bit_length() + 7) // 8, "big")
    return b"".join(
        (
            bytes((COAP_VERSION << 6 | answer_type << 4 | head & 0x0F, _TOO_MANY)),
            datagram[2:token_end],
            bytes((_MAX_AGE_DELTA | len(max_age), _MAX_AGE_EXTENDED)),
            max_age,
        )
    )


def _may_have_ticket(datagram: bytes, position: int) -> bool:
    """Return whether a message has an Echo option or malformed options.

    Its options start at `position` (RFC 7252, section 3.1).
    """
    number = 0
    while position < len(datagram) and datagram[position] != PAYLOAD_MARKER:
        option = read_option(datagram, position)
        if option is None:
            return True
        delta, _, position = option
        number += delta
        if number == OptionNumber.ECHO:
            return True
    return position + 1 == len(datagram)


def write_unknown(reply_to: ReplyTo) -> bytes:
    """Answer that it isn't known whether the request ran."""
    return _reply(
        Message(code=Code.GATEWAY_TIMEOUT, payload=_OUTCOME_UNKNOWN), reply_to
    )


def write_invalid(reply_to: ReplyTo, reason: str) -> bytes:
    """Answer that the request can't be served."""
    return _reply(Message(code=Code.BAD_REQUEST, payload=reason.encode()), reply_to)


def write_closing(message_id: int, token: bytes) -> bytes:
    """End a feed: an error response ends the observation (RFC 7641, 4.2)."""
    message = Message(code=Code.SERVICE_UNAVAILABLE, payload=_FEED_ENDED, max_age=1)
    return _encode(message, Type.CON, message_id, token)


def write_acknowledgement(message_id: int) -> bytes:
    """Acknowledge a confirmable message."""
    return _encode(Message(code=Code.EMPTY), Type.ACK, message_id, b"")


def write_reset(message_id: int) -> bytes:
    """Answer a ping, or reject a message."""
    return _encode(Message(code=Code.EMPTY), Type.RST, message_id, b"")


def write_ping(message_id: int) -> bytes:
    """Return a ping, to be answered by a reset (RFC 7252, section 4.3)."""
    return _encode(Message(code=Code.EMPTY), Type.CON, message_id, b"")


ADAPTER = Adapter(
    read_caller=read_caller,
    read_upstream=read_upstream,
    write_request=write_request,
    write_response=write_response,
    write_notification=write_notification,
    write_challenge=write_challenge,
    write_refusal=write_refusal,
    write_overload=write_overload,
    write_unknown=write_unknown,
    write_invalid=write_invalid,
    write_closing=write_closing,
    write_acknowledgement=write_acknowledgement,
    write_reset=write_reset,
    write_ping=write_ping,
)
