"""Traces: JSON lines with events and the outcomes they must have."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from msgspec import Struct
from msgspec.json import Decoder

from lycheeglade.errors import DECODE_ERRORS, TraceError


class Event(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of all trace lines; `at` is in seconds from the start."""

    at: float


class Options(Event, frozen=True, tag="options"):
    """Conditions of the whole trace, given on its first line.

    Attributes
    ----------
    latency_s : float
        One-way latency between two processes.
    jitter_s : float
        Upper bound of the random delay added to `latency_s`.
    loss, duplication : float
        Probabilities for each datagram between two processes.
    withdraw_s : float
        Seconds for which the fabric sends to a balancer after its end.
    """

    seed: int = 1
    latency_s: float = 0.0015
    jitter_s: float = 0.0005
    loss: float = 0.0
    duplication: float = 0.0
    tick_s: float = 0.05
    withdraw_s: float = 1.0


class Publish(Event, frozen=True, tag="publish"):
    """A platform value reaches the processes in `to`; all if `to` is empty."""

    name: str
    revision: int
    text: str | None
    to: tuple[str, ...] = ()


class Upstream(Event, frozen=True, tag="upstream"):
    """Behaviour of a target's upstream from the time of the event.

    Attributes
    ----------
    crossing_s : float
        Additional service time of every other request, so that responses
        arrive out of order.
    """

    service: str
    target: str
    service_time_s: float = 0.02
    slots: int = 1
    feed_period_s: float = 1.0
    crossing_s: float = 0.0
    is_down: bool = False


class OpenFeed(Event, frozen=True, tag="feed"):
    """A caller opens a feed and keeps it registered."""

    service: str
    caller: str


class CloseFeed(Event, frozen=True, tag="close-feed"):
    """A caller ends its feed."""

    service: str
    caller: str


class Request(Event, frozen=True, tag="request"):
    """A caller sends a request, retransmitted until it is answered."""

    service: str
    caller: str
    id: str
    repeatable: bool = True


class Kill(Event, frozen=True, tag="kill"):
    """A process ends abruptly, without notifying other processes."""

    process: str


class Start(Event, frozen=True, tag="start"):
    """A process restarts without any state."""

    process: str


class Stop(Event, frozen=True, tag="stop"):
    """A process begins a graceful stop and ends when no work is left."""

    process: str


class Pause(Event, frozen=True, tag="pause"):
    """A process is paused; deliveries to it wait."""

    process: str


class Resume(Event, frozen=True, tag="resume"):
    """A paused process resumes."""

    process: str


class Cut(Event, frozen=True, tag="cut"):
    """Datagrams from one process to another are lost until a `Heal`."""

    source: str
    destination: str


class Heal(Event, frozen=True, tag="heal"):
    """Datagrams from one process to another arrive again."""

    source: str
    destination: str


class Forget(Event, frozen=True, tag="forget"):
    """The network silently drops all further datagrams of a caller's flow."""

    service: str
    caller: str


class Expect(Event, frozen=True, tag="expect"):
    """An outcome that must hold over the whole trace up to `at`.

    Attributes
    ----------
    outcome : str
        Name of the outcome, see `lycheeglade.outcome`.
    limit : float
        Upper bound of the count or duration; 0 if none may occur.
    services : tuple of str
        Services to which the outcome applies; all if empty.
    since : float
        Start of the time span to which the outcome applies.
    until : float or None
        Requests sent after this time are not counted; `at` if None.
    """

    outcome: str
    limit: float = 0.0
    services: tuple[str, ...] = ()
    since: float = 0.0
    until: float | None = None


TraceEvent = (
    Options
    | Publish
    | Upstream
    | OpenFeed
    | CloseFeed
    | Request
    | Kill
    | Start
    | Stop
    | Pause
    | Resume
    | Cut
    | Heal
    | Forget
    | Expect
)

_decoder = Decoder(TraceEvent)


@dataclass(frozen=True, slots=True)
class TraceLine:
    """An event and its line number."""

    number: int
    event: TraceEvent


@dataclass(frozen=True, slots=True)
class Trace:
    """All lines of a trace in order of time."""

    source: str
    options: Options
    lines: tuple[TraceLine, ...]


def parse_trace(text: str, source: str) -> Trace:
    """Parse the lines of a trace.

    Raises
    ------
    ExceptionGroup
        Holds a `TraceError` for each invalid line, which names the field.
    """
    lines = []
    errors = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        try:
            lines.append(TraceLine(number, _decoder.decode(line)))
        except DECODE_ERRORS as error:
            errors.append(TraceError(source, number, str(error)))
    errors += _check_order(lines, source)
    if errors:
        raise ExceptionGroup(f"{source}: invalid trace", errors)
    options = [line.event for line in lines if isinstance(line.event, Options)]
    return Trace(source, options[0] if options else Options(at=0.0), tuple(lines))


def _check_order(lines: Iterable[TraceLine], source: str) -> list[TraceError]:
    errors = []
    latest = 0.0
    for line in lines:
        if line.event.at < latest:
            reason = f"at: {line.event.at} is before the line above, {latest}"
            errors.append(TraceError(source, line.number, reason))
        latest = max(latest, line.event.at)
        if isinstance(line.event, Options) and line.event.at != 0:
            errors.append(TraceError(source, line.number, "at: must be 0"))
    return errors


def load_trace(path: Path) -> Trace:
    """Read a trace file."""
    return parse_trace(path.read_text(encoding="utf-8"), str(path))
