"""Models a caller in a replay: its flow, its feed and its requests.

A caller that receives nothing for a while switches to a new address, since a
device on the path may have discarded the state of its flow.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

from aiocoap import Code, Message, Type

from lycheeglade.coap import ADAPTER
from lycheeglade.flow import FlowKey

ACK_TIMEOUT_S = 2.0
ACK_RANDOM_FACTOR = 1.5
MAX_RETRANSMIT = 4
FEED_TIMEOUT_HEARTBEATS = 2.5
MAX_REFUSED_ATTEMPTS = 20
ATTEMPTS_PER_ADDRESS = 3


class Result(StrEnum):
    """Final result of a request as its caller sees it."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    GIVEN_UP = "given-up"
    WRONG = "wrong"


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller.

    Attributes
    ----------
    refusals : list of float
        Times of responses that refused the request before it ran.
    """

    request_id: str
    line: int
    repeatable: bool
    sent_at: float
    message_id: int = 0
    token: bytes = b""
    datagram: bytes = b""
    attempts: int = 0
    refused_attempts: int = 0
    result: Result | None = None
    finished_at: float | None = None
    refusals: list[float] = field(default_factory=list)


@dataclass(slots=True)
class CallerFeed:
    """The feed of a caller.

    Attributes
    ----------
    faults : list of tuple
        Time and reason of each fault that the caller saw.
    """

    line: int
    token: bytes
    opened_at: float
    last_received_at: float
    last_item: int | None = None
    last_sequence: int | None = None
    registrations: int = 0
    last_item_at: float = 0.0
    faults: list[tuple[float, str]] = field(default_factory=list)
    recovered_at: list[float] = field(default_factory=list)
    closed: bool = False
    datagram: bytes = b""
    message_id: int = 0
    attempts: int = 0
    is_registered: bool = False


@dataclass(slots=True)
class Caller:
    """State of one caller.

    Attributes
    ----------
    send : callable
        Sends a datagram to the fabric.
    call_at : callable
        Schedules a callback at a time.
    change_address : callable
        Gives the caller a new address, as a new socket does.
    """

    flow: FlowKey
    heartbeat: float
    generator: Random
    send: Callable[["Caller", bytes], None]
    call_at: Callable[[float, Callable[[float], None]], None]
    change_address: Callable[["Caller"], None]
    next_message_id: int = 0
    next_token: int = 1
    last_received_at: float = float("-inf")
    ticket: bytes | None = None
    feed: CallerFeed | None = None
    requests: list[CallerRequest] = field(default_factory=list)
    requests_by_token: dict[bytes, CallerRequest] = field(default_factory=dict)
    misdelivered: list[tuple[float, str]] = field(default_factory=list)

    def allocate_message_id(self) -> int:
        """Return the next CoAP message id."""
        self.next_message_id = (self.next_message_id + 1) % (1 << 16)
        return self.next_message_id

    def allocate_token(self) -> bytes:
        """Return a token that this caller has not used before."""
        self.next_token += 1
        return self.next_token.to_bytes(4, "big")


def _encode(caller: Caller, message: Message, message_id: int, token: bytes) -> bytes:
    message.mtype = Type.CON
    message.mid = message_id
    message.token = token
    message.opt.uri_query = (f"service={caller.flow.service}",)
    return message.encode()


def open_feed(caller: Caller, line: int, now: float) -> None:
    """Register a feed and keep it registered."""
    caller.feed = CallerFeed(line, caller.allocate_token(), now, now)
    _register(caller, caller.feed, now)


def _register(caller: Caller, feed: CallerFeed, now: float) -> None:
    feed.registrations += 1
    feed.last_received_at = now
    feed.attempts = 0
    feed.is_registered = False
    feed.last_sequence = None
    feed.message_id = caller.allocate_message_id()
    message = Message(code=Code.GET, uri_path=("feed",), observe=0)
    feed.datagram = _encode(caller, message, feed.message_id, feed.token)
    _send_registration(caller, feed, feed.message_id, now)
    _check_feed_silence(caller, feed, feed.registrations, now)


def _send_registration(
    caller: Caller, feed: CallerFeed, message_id: int, now: float
) -> None:
    if feed.message_id != message_id or feed.is_registered or feed.closed:
        return
    if feed.attempts > MAX_RETRANSMIT:
        return
    delay = _backoff(caller, feed.attempts)
    feed.attempts += 1
    caller.send(caller, feed.datagram)
    caller.call_at(
        now + delay, lambda now: _send_registration(caller, feed, message_id, now)
    )


def _backoff(caller: Caller, attempts: int) -> float:
    factor = 1 + (ACK_RANDOM_FACTOR - 1) * caller.generator.random()
    return ACK_TIMEOUT_S * factor * 2**attempts


def _check_feed_silence(
    caller: Caller, feed: CallerFeed, registration: int, now: float
) -> None:
    """Register again with a new token if the feed is silent for too long."""
    if feed.closed or feed.registrations != registration:
        return
    due = feed.last_received_at + FEED_TIMEOUT_HEARTBEATS * caller.heartbeat
    if now >= due:
        caller.change_address(caller)
        _restart_feed(caller, feed, "silent", now)
        return
    caller.call_at(
        due, lambda now: _check_feed_silence(caller, feed, registration, now)
    )


def _restart_feed(caller: Caller, feed: CallerFeed, reason: str, now: float) -> None:
    feed.faults.append((now, reason))
    feed.token = caller.allocate_token()
    _register(caller, feed, now)


def close_feed(caller: Caller, now: float) -> None:
    """Deregister the feed."""
    feed = caller.feed
    if feed is not None and not feed.closed:
        feed.closed = True
        message = Message(code=Code.GET, uri_path=("feed",), observe=1)
        caller.send(
            caller, _encode(caller, message, caller.allocate_message_id(), feed.token)
        )


def send_request(
    caller: Caller, request_id: str, repeatable: bool, line: int, now: float
) -> None:
    """Send a request, with the ticket if it must not be repeated."""
    request = CallerRequest(request_id, line, repeatable, now)
    caller.requests.append(request)
    _send_with_new_token(caller, request, now)


def _send_with_new_token(caller: Caller, request: CallerRequest, now: float) -> None:
    caller.requests_by_token.pop(request.token, None)
    request.message_id = caller.allocate_message_id()
    request.token = caller.allocate_token()
    request.attempts = 0
    caller.requests_by_token[request.token] = request
    path = ("status",) if request.repeatable else ("confirm",)
    code = Code.GET if request.repeatable else Code.POST
    message = Message(code=code, uri_path=path, payload=request.request_id.encode())
    if not request.repeatable and caller.ticket is not None:
        message.opt.echo = caller.ticket
        caller.ticket = None
    request.datagram = _encode(caller, message, request.message_id, request.token)
    _transmit(caller, request, request.message_id, now)


def _transmit(
    caller: Caller, request: CallerRequest, message_id: int, now: float
) -> None:
    if request.result is not None or request.message_id != message_id:
        return
    if request.attempts > MAX_RETRANSMIT:
        _finish(caller, request, Result.GIVEN_UP, now)
        return
    is_silent = caller.last_received_at < request.sent_at
    if request.attempts == ATTEMPTS_PER_ADDRESS and is_silent:
        caller.change_address(caller)
    delay = _backoff(caller, request.attempts)
    request.attempts += 1
    caller.send(caller, request.datagram)
    caller.call_at(now + delay, lambda now: _transmit(caller, request, message_id, now))


def _finish(caller: Caller, request: CallerRequest, result: Result, now: float) -> None:
    request.result = result
    request.finished_at = now
    caller.requests_by_token.pop(request.token, None)


def receive(caller: Caller, datagram: bytes, now: float) -> None:
    """Handle a datagram from the fabric."""
    caller.last_received_at = now
    message = Message.decode(datagram)
    if message.code is Code.EMPTY:
        return
    if message.opt.echo is not None:
        caller.ticket = message.opt.echo
    feed = caller.feed
    if feed is not None and message.token == feed.token and not feed.closed:
        if message.mtype is Type.CON:
            caller.send(caller, ADAPTER.write_acknowledgement(message.mid))
        _receive_feed(caller, feed, message, now)
        return
    request = caller.requests_by_token.get(message.token)
    if request is not None:
        _receive_answer(caller, request, message, now)
    elif message.mtype is Type.CON:
        caller.send(caller, ADAPTER.write_reset(message.mid))


def _receive_feed(
    caller: Caller, feed: CallerFeed, message: Message, now: float
) -> None:
    if message.opt.observe is None:
        if message.code is Code.SERVICE_UNAVAILABLE and not feed.is_registered:
            feed.is_registered = True
            caller.call_at(
                now + (message.opt.max_age or 1),
                lambda now: None if feed.closed else _register(caller, feed, now),
            )
            return
        _restart_feed(caller, feed, "ended", now)
        return
    service, _, number = message.payload.decode().partition(" ")
    if service != caller.flow.service:
        caller.misdelivered.append((now, f"feed item of {service}"))
    item = int(number)
    if (
        not feed.is_registered
        and feed.faults
        and len(feed.recovered_at) < len(feed.faults)
    ):
        feed.recovered_at.append(now)
    feed.is_registered = True
    feed.last_received_at = now
    _check_item(caller, feed, item, message.opt.observe, now)


def _check_item(
    caller: Caller, feed: CallerFeed, item: int, sequence: int, now: float
) -> None:
    """Record a gap, a step back or an early repeat of an item.

    A repeat of the last item after half a heartbeat or more is a heartbeat.
    """
    if feed.last_sequence is not None and sequence <= feed.last_sequence:
        # RFC 7641 lets a client drop duplicate or reordered notifications.
        return
    previous = feed.last_item
    is_known = feed.last_sequence is not None
    feed.last_sequence = sequence
    if previous is not None and item < previous:
        _record_fault(feed, "step-back", now)
    elif previous is not None and item > previous + 1 and feed.registrations == 1:
        _record_fault(feed, "gap", now)
    elif (
        item == previous and is_known and now < feed.last_item_at + caller.heartbeat / 2
    ):
        _record_fault(feed, "repeat", now)
    feed.last_item = item
    feed.last_item_at = now


def _record_fault(feed: CallerFeed, reason: str, now: float) -> None:
    """Record a fault that is detected and ended by the same item."""
    feed.faults.append((now, reason))
    feed.recovered_at.append(now)


def _receive_answer(
    caller: Caller, request: CallerRequest, message: Message, now: float
) -> None:
    if message.code is Code.UNAUTHORIZED:
        _send_with_new_token(caller, request, now)
    elif message.code in (Code.SERVICE_UNAVAILABLE, Code.TOO_MANY_REQUESTS):
        # Only SERVICE_UNAVAILABLE states that the request has not run.
        is_refused = message.code is Code.SERVICE_UNAVAILABLE
        if is_refused:
            request.refusals.append(now)
        request.refused_attempts += 1
        if request.refused_attempts > MAX_REFUSED_ATTEMPTS:
            result = Result.NOT_RUN if is_refused else Result.UNKNOWN
            _finish(caller, request, result, now)
            return
        # Duplicates of this response are ignored.
        caller.requests_by_token.pop(request.token)
        request.message_id = -1
        caller.call_at(
            now + (message.opt.max_age or 1),
            lambda now: _send_with_new_token(caller, request, now),
        )
    elif message.code is Code.GATEWAY_TIMEOUT:
        _finish(caller, request, Result.UNKNOWN, now)
    elif message.payload == f"{caller.flow.service} {request.request_id}".encode():
        _finish(caller, request, Result.ANSWERED, now)
    else:
        caller.misdelivered.append((now, f"answer {message.payload!r}"))
        _finish(caller, request, Result.WRONG, now)
