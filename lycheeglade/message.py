"""What the agent's decisions see of a caller's protocol.

The decisions know requests, feeds and acknowledgements. An `Adapter` reads
and writes the datagrams of one protocol, so that another protocol is another
adapter.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum


class Kind(StrEnum):
    """What a datagram is."""

    REQUEST = "request"
    RESPONSE = "response"
    ACKNOWLEDGEMENT = "acknowledgement"
    RESET = "reset"
    PING = "ping"


class FeedAction(StrEnum):
    """What a request does to a standing feed."""

    NONE = "none"
    OPEN = "open"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class CallerMessage:
    """A datagram from a caller.

    Attributes
    ----------
    message_id : int
        Identifies the datagram among those of its flow.
    token : bytes
        Matches responses to requests, chosen by the caller.
    reliable : bool
        Whether the caller sends it again until it is acknowledged.
    repeatable : bool
        Whether the request may run more than once.
    ticket : bytes or None
        Ticket for a request that is not repeatable.
    digest : bytes
        Digest of the request without the fields that vary between copies.
    datagram : bytes
        The datagram as it was received.
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
        Whether the upstream reports an error of its own.
    refused : bool
        Whether the upstream reports that it did not run the request.
    is_notification : bool
        Whether more responses to the same request will follow.
    content_id : bytes
        Identifies the content of a notification.
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
    """Where a response belongs: the request's identifiers."""

    message_id: int
    token: bytes
    reliable: bool


@dataclass(frozen=True, slots=True)
class Adapter:
    """Functions that read and write the datagrams of one protocol.

    The reading functions raise `PacketError` on a malformed datagram.

    Attributes
    ----------
    read_caller, read_upstream : callable
        Decode a datagram.
    write_request : callable
        Turn a caller's request into one for the upstream, with a message id
        and a token of the agent.
    write_response : callable
        Turn an upstream's response into one for the caller. A ticket, if not
        None, is added for the caller's next request.
    write_notification : callable
        Turn an upstream's notification into one for the caller, with a
        message id and a sequence number. With a `ReplyTo` in place of the
        message id it answers the registration itself.
    write_challenge : callable
        Ask the caller to repeat a request with the ticket given.
    write_refusal : callable
        Tell that a request was not run, and after how many seconds to come
        back.
    write_overload : callable
        Tell the sender of a datagram to come back after some seconds, saying
        nothing of whether it ran. None if only silence is true.
    write_unknown : callable
        Tell that it isn't known whether a request ran. It is final.
    write_invalid : callable
        Tell that a request can't be served, with the reason.
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
