"""Models an upstream in a replay: slots, a service time and a feed."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from aiocoap import Code, Message, Type

from lycheeglade.coap import ADAPTER

ETAG_BYTES = 8


@dataclass(frozen=True, slots=True)
class Run:
    """One execution of a request."""

    at: float
    request_id: str
    target_id: str


@dataclass(slots=True)
class UpstreamModel:
    """State of one upstream.

    Attributes
    ----------
    send : callable
        Sends a datagram to the agent on the same host.
    alternate_delay : float
        Additional service time of every other request, in seconds.
    runs : list of Run
        All executions, to be compared with the callers' results.
    misdelivered : list of tuple
        Time and query options of each datagram for another service.
    """

    service: str
    target_id: str
    send: Callable[[bytes], None]
    call_at: Callable[[float, Callable[[float], None]], None]
    service_time: float = 0.02
    slots: int = 1
    feed_period: float = 1.0
    alternate_delay: float = 0.0
    is_down: bool = False
    message_id: int = 0
    running: int = 0
    waiting: deque[Message] = field(default_factory=deque)
    feeds_by_token: dict[bytes, Message] = field(default_factory=dict)
    is_notifying: bool = False
    runs: list[Run] = field(default_factory=list)
    busy: float = 0.0
    misdelivered: list[tuple[float, str]] = field(default_factory=list)
    registered_at: list[float] = field(default_factory=list)


def receive(upstream: UpstreamModel, datagram: bytes, now: float) -> None:
    """Handle a datagram from the agent."""
    if upstream.is_down:
        return
    message = Message.decode(datagram)
    if not message.code.is_request():
        _receive_empty(upstream, message)
        return
    wanted = f"service={upstream.service}"
    if wanted not in message.opt.uri_query:
        upstream.misdelivered.append((now, str(message.opt.uri_query)))
    if message.opt.observe == 0:
        _register(upstream, message, now)
    elif message.opt.uri_path == ("feed",):
        _reply(upstream, message, b"")
    else:
        upstream.waiting.append(message)
        _start_waiting(upstream, now)


def _receive_empty(upstream: UpstreamModel, message: Message) -> None:
    if message.mtype is Type.CON:
        upstream.send(ADAPTER.write_reset(message.mid))
    elif message.mtype is Type.RST:
        for token, registration in list(upstream.feeds_by_token.items()):
            if registration.mid == message.mid:
                del upstream.feeds_by_token[token]


def _reply(upstream: UpstreamModel, request: Message, payload: bytes, **options):
    message = Message(code=Code.CONTENT, payload=payload, **options)
    message.mtype, message.mid, message.token = Type.ACK, request.mid, request.token
    upstream.send(message.encode())


def _start_waiting(upstream: UpstreamModel, now: float) -> None:
    while upstream.waiting and upstream.running < upstream.slots:
        message = upstream.waiting.popleft()
        upstream.running += 1
        request_id = message.payload.decode()
        upstream.runs.append(Run(now, request_id, upstream.target_id))
        seconds = upstream.service_time + upstream.alternate_delay * (
            len(upstream.runs) % 2
        )
        upstream.busy += seconds
        upstream.call_at(
            now + seconds,
            lambda now, message=message: _finish(upstream, message, now),
        )


def _finish(upstream: UpstreamModel, message: Message, now: float) -> None:
    upstream.running -= 1
    if not upstream.is_down:
        _reply(upstream, message, f"{upstream.service} ".encode() + message.payload)
    _start_waiting(upstream, now)


def _current_item(upstream: UpstreamModel, now: float) -> int:
    return int(now / upstream.feed_period + 1e-6)


def _register(upstream: UpstreamModel, message: Message, now: float) -> None:
    if message.token not in upstream.feeds_by_token:
        upstream.registered_at.append(now)
    upstream.feeds_by_token[message.token] = message
    _reply(
        upstream,
        message,
        _notification_payload(upstream, now),
        **_notification_options(upstream, now),
    )
    if not upstream.is_notifying:
        upstream.is_notifying = True
        _schedule_item(upstream, now)


def _notification_payload(upstream: UpstreamModel, now: float) -> bytes:
    return f"{upstream.service} {_current_item(upstream, now)}".encode()


def _notification_options(upstream: UpstreamModel, now: float) -> dict:
    item = _current_item(upstream, now)
    return {"observe": item, "etag": item.to_bytes(ETAG_BYTES, "big")}


def _schedule_item(upstream: UpstreamModel, now: float) -> None:
    due = (_current_item(upstream, now) + 1) * upstream.feed_period
    upstream.call_at(due, lambda now: _send_notifications(upstream, now))


def _send_notifications(upstream: UpstreamModel, now: float) -> None:
    for token, registration in list(upstream.feeds_by_token.items()):
        if upstream.is_down:
            break
        upstream.message_id = (upstream.message_id + 1) % (1 << 16)
        message = Message(
            code=Code.CONTENT,
            payload=_notification_payload(upstream, now),
            **_notification_options(upstream, now),
        )
        message.mtype, message.mid = Type.CON, upstream.message_id
        message.token = token
        registration.mid = upstream.message_id
        upstream.send(message.encode())
    _schedule_item(upstream, now)
