"""Lines of a recording: what one process's core was given, and what it did.

The first line holds all that the core was started with. Every other line is
one input at its time, with the actions that the core answered it by.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder, Encoder
from msgspec.json import decode as decode_json

from lycheeglade.address import Address, Zone
from lycheeglade.errors import TraceError
from lycheeglade.flow import FlowKey
from lycheeglade.packet import Packet
from lycheeglade.view import Host, Role, Service

FORMAT = 1


class Line(
    Struct,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    forbid_unknown_fields=True,
    tag_field="kind",
):
    """Base of all lines; `at` is in seconds of the process's clock."""

    at: float


class Header(Line, frozen=True, kw_only=True, tag="recording"):
    """What the process was started with.

    Attributes
    ----------
    seed : str
        Hexadecimal seed of the core's generator. An agent's ticket key
        follows from it.
    packets : Address
        Where the process receives the packets of others.
    is_whole : bool
        Whether payloads are recorded as they were, or replaced by filler.
    """

    format: int
    version: str
    role: Role
    host: str
    zone: Zone
    packets: Address
    max_flows: int
    seed: str
    is_whole: bool


class Sent(Struct, frozen=True, array_like=True, tag="send"):
    """A packet for a process of the system."""

    to: Address
    packet: Packet


class Answered(Struct, frozen=True, array_like=True, tag="answer"):
    """A datagram from a service's address to a caller."""

    service: str
    caller: Address
    datagram: bytes


class SentUpstream(Struct, frozen=True, array_like=True, tag="upstream"):
    """A datagram for a target's upstream."""

    service: str
    target: str
    flow: FlowKey | None
    datagram: bytes


class ClosedUpstream(Struct, frozen=True, array_like=True, tag="close"):
    """The end of a flow's socket towards an upstream."""

    service: str
    target: str
    flow: FlowKey | None


class Counted(Struct, frozen=True, array_like=True, tag="count"):
    """An event that was counted."""

    name: str
    service: str
    cause: str


class Timed(Struct, frozen=True, array_like=True, tag="time"):
    """Seconds that were recorded."""

    service: str
    work: str
    stage: str
    seconds: float


Action = Sent | Answered | SentUpstream | ClosedUpstream | Counted | Timed


class Input(Line, frozen=True, kw_only=True):
    """Base of the lines that a core is given.

    Attributes
    ----------
    did : tuple of Action or None
        What the core did, in order; None if it isn't to be checked.
    raised : str
        Type of the error that ended the call, usually empty.
    """

    did: tuple[Action, ...] | None = None
    raised: str = ""


class ViewChange(Input, frozen=True, kw_only=True, tag="view"):
    """A newer view, as the difference from the one before.

    Attributes
    ----------
    services, hosts : tuple
        Those that are new or changed.
    gone_services, gone_hosts : tuple of str
        Names of those that are no longer published.
    service_order, host_order : tuple of str or None
        All names in their order, if it doesn't follow from the rest.
    """

    revision: int
    services: tuple[Service, ...] = ()
    gone_services: tuple[str, ...] = ()
    service_order: tuple[str, ...] | None = None
    hosts: tuple[Host, ...] = ()
    gone_hosts: tuple[str, ...] = ()
    host_order: tuple[str, ...] | None = None


class FromProcess(Input, frozen=True, kw_only=True, tag="packet"):
    """A datagram of a process of the system.

    `packet` is a string (base64) if it can't be decoded.
    """

    source: Address
    packet: Packet | bytes


class FromCaller(Input, frozen=True, kw_only=True, tag="caller"):
    """A caller's datagram for a service."""

    service: str
    caller: Address
    datagram: bytes


class Batch(Input, frozen=True, kw_only=True, tag="batch"):
    """The end of a batch read from a service's socket."""

    packets: int
    drained: bool


class FromUpstream(Input, frozen=True, kw_only=True, tag="from-upstream"):
    """A datagram of a target's upstream."""

    service: str
    target: str
    flow: FlowKey | None = None
    datagram: bytes


class PortClosed(Input, frozen=True, kw_only=True, tag="port-closed"):
    """A target's upstream was found not to listen."""

    service: str
    target: str


class Tick(Input, frozen=True, kw_only=True, tag="tick"):
    """What is due was run; `fresh` tells an agent that its view is."""

    fresh: bool = True


class Stop(Input, frozen=True, kw_only=True, tag="stop"):
    """A graceful shutdown began."""


class Gap(Line, frozen=True, kw_only=True, tag="gap"):
    """Lines are missing here; at least so many that a count is known of."""

    lines: int


RecordedLine = (
    Header
    | ViewChange
    | FromProcess
    | FromCaller
    | Batch
    | FromUpstream
    | PortClosed
    | Tick
    | Stop
    | Gap
)

_encoder = Encoder()
_decoder = Decoder(RecordedLine)


@dataclass(frozen=True, slots=True)
class NumberedLine:
    """A line and its number in the file."""

    number: int
    line: Line


@dataclass(frozen=True, slots=True)
class Recording:
    """The header of a recording and what follows it."""

    source: str
    header: Header
    lines: tuple[NumberedLine, ...]


def encode_line(line: Line) -> bytes:
    """Return the JSON form of a line, with its line break."""
    return _encoder.encode(line) + b"\n"


def is_recording(text: str) -> bool:
    """Tell whether a trace's first line is the header of a recording."""
    for _, line in _number_lines(text):
        try:
            first = decode_json(line)
        except DecodeError:
            return False
        return isinstance(first, dict) and first.get("kind") == "recording"
    return False


def parse_recording(text: str, source: str) -> Recording:
    """Parse a recording.

    Raises
    ------
    ExceptionGroup
        Of a `TraceError` for each line at fault, with its field.
    """
    lines: list[NumberedLine] = []
    errors = []
    numbered = list(_number_lines(text))
    for index, (number, line) in enumerate(numbered):
        try:
            lines.append(NumberedLine(number, _decoder.decode(line)))
        except DecodeError as error:
            is_syntax = not isinstance(error, ValidationError)
            if lines and is_syntax and _is_cut(text, numbered[index + 1 :]):
                gap = Gap(at=lines[-1].line.at, lines=1)
                lines.append(NumberedLine(number, gap))
            else:
                errors.append(TraceError(source, number, str(error)))
    errors += _check_lines(lines, source)
    if errors:
        errors.sort(key=lambda error: error.line)
        raise ExceptionGroup(f"{source}: invalid recording", errors)
    return Recording(source, lines[0].line, tuple(lines[1:]))


def _is_cut(text: str, later: list[tuple[int, str]]) -> bool:
    """Tell whether a line ends with its connection or with its process."""
    if later:
        return is_recording(later[0][1])
    return not text.endswith("\n")


def _number_lines(text: str) -> Iterable[tuple[int, str]]:
    for number, line in enumerate(text.split("\n"), 1):
        if line.strip() and not line.lstrip().startswith("#"):
            yield number, line


def _check_lines(lines: list[NumberedLine], source: str) -> list[TraceError]:
    if not lines or not isinstance(lines[0].line, Header):
        return [TraceError(source, 1, "kind: the first line must be 'recording'")]
    errors = []
    header = lines[0]
    if header.line.format != FORMAT:
        reason = f"format: {header.line.format} is not {FORMAT}"
        errors.append(TraceError(source, header.number, reason))
    try:
        int(header.line.seed, 16)
    except ValueError:
        reason = f"seed: {header.line.seed!r} is not hexadecimal"
        errors.append(TraceError(source, header.number, reason))
    latest = header.line.at
    for each in lines[1:]:
        if isinstance(each.line, Header):
            if each.line != header.line:
                reason = "kind: another process's recording begins here"
                errors.append(TraceError(source, each.number, reason))
            continue
        if each.line.at < latest:
            reason = f"at: {each.line.at} is before the line above, {latest}"
            errors.append(TraceError(source, each.number, reason))
        latest = max(latest, each.line.at)
        if header.line.role is not _role_of(each.line, header.line.role):
            kind = each.line.__struct_config__.tag
            reason = f"kind: {kind!r} isn't for a {header.line.role}"
            errors.append(TraceError(source, each.number, reason))
    return errors


def _role_of(line: Line, default: Role) -> Role:
    if isinstance(line, (FromCaller, Batch)):
        return Role.BALANCER
    if isinstance(line, (FromUpstream, PortClosed, Stop)):
        return Role.AGENT
    return default
