"""Protocol-independent messages, and the interface of protocol adapters.

The agent's decisions deal only with requests, feeds and acknowledgements. An
`Adapter` decodes and encodes the datagrams of one protocol, so that a new
protocol needs only a new adapter.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """Type of a datagram."""

    REQUEST = "request"
    RESPONSE = "response"
    ACKNOWLEDGEMENT = "acknowledgement"
    RESET = "reset"
    PING = "ping"


class FeedAction(StrEnum):
    """Effect of a request on a feed."""

    NONE = "none"
    OPEN = "open"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """A datagram from a caller.

    Attributes
    ----------
    message_id : int
        Identifies the datagram within its flow.
    token : bytes
        Chosen by the caller to match responses to requests.
    reliable : bool
        Whether the caller retransmits the datagram until it is acknowledged.
    repeatable : bool
        Whether the request may run more than once.
    ticket : bytes or None
        Ticket for a request that is not repeatable.
    digest : bytes
        Digest of the request without the fields that differ between copies.
    datagram : bytes
        The datagram as received.
    """

    kind: Kind
    message_id: int
    token: bytes
    reliable: bool = False
    repeatable: bool = True
    feed: FeedAction = FeedAction.NONE
    ticket: bytes | None = None
    digest: bytes = b""
    datagram: bytes = b""


@dataclass(frozen=True, slots=True)
class UpstreamMessage:
    """A datagram from an upstream.

    Attributes
    ----------
    failed : bool
        Whether the upstream reports a server error.
    refused : bool
        Whether the upstream reports that it did not run the request.
    is_notification : bool
        Whether more responses to the request will follow.
    content_id : bytes
        Identifier of a notification's content.
    """

    kind: Kind
    message_id: int
    token: bytes
    reliable: bool = False
    failed: bool = False
    refused: bool = False
    is_notification: bool = False
    content_id: bytes = b""
    datagram: bytes = b""


@dataclass(frozen=True, slots=True)
class ReplyTo:
    """Identifiers of a request that its response has to carry."""

    message_id: int
    token: bytes
    reliable: bool


@dataclass(frozen=True, slots=True)
class Adapter:
    """Functions that read and write the datagrams of one protocol.

    The functions named read_* raise `PacketError` on a malformed datagram.

    Attributes
    ----------
    read_caller, read_upstream : callable
        Decode a datagram.
    write_request : callable
        Convert a caller's request into one for the upstream, with a message id
        and a token of the agent.
    write_response : callable
        Convert an upstream's response into one for the caller. A ticket that
        is not None is added for the caller's next request.
    write_notification : callable
        Convert an upstream's notification into one for the caller, with a
        message id and a sequence number. With a `ReplyTo` instead of the
        message id, the notification answers the feed's registration.
    write_challenge : callable
        Ask the caller to repeat a request with the given ticket.
    write_refusal : callable
        Answer that a request was not run and may be retried after a number of
        seconds.
    write_overload : callable
        Ask the sender of a datagram to retry after a number of seconds,
        without stating whether its request ran. Returns None if the datagram
        must not be answered.
    write_unknown : callable
        Answer that it isn't known whether a request ran. The answer is final.
    write_invalid : callable
        Answer that a request can't be served, with the reason.
    write_closing : callable
        End a feed.
    write_acknowledgement, write_reset, write_ping : callable
        Build a datagram without content.
    """

    read_caller: Callable[[bytes], CallerMessage]
    read_upstream: Callable[[bytes], UpstreamMessage]
    write_request: Callable[[bytes, int, bytes], bytes]
    write_response: Callable[[bytes, ReplyTo, bytes | None], bytes]
    write_notification: Callable[[bytes, ReplyTo | int, bytes, int], bytes]
    write_challenge: Callable[[ReplyTo, bytes], bytes]
    write_refusal: Callable[[ReplyTo, int, bytes | None], bytes]
    write_overload: Callable[[bytes, int], bytes | None]
    write_unknown: Callable[[ReplyTo], bytes]
    write_invalid: Callable[[ReplyTo, str], bytes]
    write_closing: Callable[[int, bytes], bytes]
    write_acknowledgement: Callable[[int], bytes]
    write_reset: Callable[[int], bytes]
    write_ping: Callable[[int], bytes]
