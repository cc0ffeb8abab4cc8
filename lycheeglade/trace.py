"""Recorded traces: JSON lines, with the outcomes that they must have."""

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder

from lycheeglade.errors import TraceError


class Event(Struct, frozen=True, forbid_unknown_fields=True, tag_field="kind"):
    """Base of all trace lines; `at` is in seconds from the start."""

    at: float


class Options(Event, frozen=True, tag="options"):
    """Conditions of the whole trace, on its first line.

    Attributes
    ----------
    latency_s : float
        One-way latency between two processes.
    jitter_s : float
        Upper bound of what is added to it at random.
    loss, duplication : float
        Probabilities, for each datagram between two processes.
    withdraw_s : float
        Seconds for which the fabric still sends to a dead balancer.
    """

    seed: int = 1
    latency_s: float = 0.0015
    jitter_s: float = 0.0005
    loss: float = 0.0
    duplication: float = 0.0
    tick_s: float = 0.05
    withdraw_s: float = 1.0


class Publish(Event, frozen=True, tag="publish"):
    """A value of the platform reaches processes: all, or those in `to`."""

    name: str
    revision: int
    text: str | None
    to: tuple[str, ...] = ()


class Upstream(Event, frozen=True, tag="upstream"):
    """Behaviour of a target's upstream from now on."""

    service: str
    target: str
    service_time_s: float = 0.02
    slots: int = 1
    feed_period_s: float = 1.0
    is_down: bool = False


class OpenFeed(Event, frozen=True, tag="feed"):
    """A caller opens a standing feed and keeps it."""

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
    """A process ends without a word."""

    process: str


class Start(Event, frozen=True, tag="start"):
    """A process starts anew, without any state."""

    process: str


class Stop(Event, frozen=True, tag="stop"):
    """A process is asked to stop and ends once it has no work left."""

    process: str


class Pause(Event, frozen=True, tag="pause"):
    """A process stands still; what is sent to it waits."""

    process: str


class Resume(Event, frozen=True, tag="resume"):
    """A paused process goes on."""

    process: str


class Cut(Event, frozen=True, tag="cut"):
    """Datagrams from one process to another are lost."""

    source: str
    destination: str


class Heal(Event, frozen=True, tag="heal"):
    """Datagrams from one process to another arrive again."""

    source: str
    destination: str


class Forget(Event, frozen=True, tag="forget"):
    """The network silently forgets a caller's open flow for good."""

    service: str
    caller: str


class Expect(Event, frozen=True, tag="expect"):
    """An outcome that must hold over the whole trace up to `at`.

    Attributes
    ----------
    outcome : str
        Name of the outcome, see `lycheeglade.outcome`.
    limit : float
        Bound of what is counted or timed; 0 if none may occur.
    services : tuple of str
        The services it is about, or all.
    since : float
        Start of the time that it is about.
    until : float or None
        Requests that were sent later don't count; `at` if it is left out.
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
    """An event and the line that it stands on."""

    number: int
    event: TraceEvent


@dataclass(frozen=True, slots=True)
class Trace:
    """All lines of a trace, in the order of their times."""

    source: str
    options: Options
    lines: tuple[TraceLine, ...]


def parse_trace(text: str, source: str) -> Trace:
    """Parse the lines of a trace.

    Raises
    ------
    ExceptionGroup
        Of a `TraceError` for each line at fault, with its field.
    """
    lines = []
    errors = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.lstrip().startswith("#"):
            continue
        try:
            lines.append(TraceLine(number, _decoder.decode(line)))
        except (ValidationError, DecodeError) as error:
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
