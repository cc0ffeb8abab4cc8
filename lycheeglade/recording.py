"""Lines of a recording: the inputs and actions of one process's core.

The first line, the header, holds the parameters with which the core was
started. Every other line is either one input with its time and the core's
actions on it, a gap, or the header again after a reconnection.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from msgspec import DecodeError, Struct
from msgspec.json import Decoder, Encoder
from msgspec.json import decode as decode_json

from lycheeglade.address import Address, Zone
from lycheeglade.errors import DECODE_ERRORS, TraceError
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
    """Parameters with which the process was started.

    Attributes
    ----------
    seed : str
        Hexadecimal seed of the core's random generator. An agent's ticket
        key is derived from it.
    packets : Address
        Address at which the process receives packets of other processes.
    is_whole : bool
        Whether payloads are recorded unredacted; if not, filler replaces
        them.
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
    """A packet sent to a process of the system."""

    to: Address
    packet: Packet


class Answered(Struct, frozen=True, array_like=True, tag="answer"):
    """A datagram sent from a service's address to a caller."""

    service: str
    caller: Address
    datagram: bytes


class SentUpstream(Struct, frozen=True, array_like=True, tag="upstream"):
    """A datagram sent to a target's upstream."""

    service: str
    target: str
    flow: FlowKey | None
    datagram: bytes


class ClosedUpstream(Struct, frozen=True, array_like=True, tag="close"):
    """The closing of a flow's socket to an upstream."""

    service: str
    target: str
    flow: FlowKey | None


class Counted(Struct, frozen=True, array_like=True, tag="count"):
    """An increment of a counter."""

    name: str
    service: str
    cause: str


class Timed(Struct, frozen=True, array_like=True, tag="time"):
    """A duration recorded in a histogram."""

    service: str
    work: str
    stage: str
    seconds: float


Action = Sent | Answered | SentUpstream | ClosedUpstream | Counted | Timed


class Input(Line, frozen=True, kw_only=True):
    """Base of the lines that hold an input of a core.

    Attributes
    ----------
    did : tuple of Action or None
        Actions of the core, in order; None if a replay must not check them.
    raised : str
        Type name of the exception that the call raised; empty if none.
    """

    did: tuple[Action, ...] | None = None
    raised: str = ""


class ViewChange(Input, frozen=True, kw_only=True, tag="view"):
    """A newer view, stored as its difference from the previous view.

    Attributes
    ----------
    services, hosts : tuple
        New or changed services and hosts.
    gone_services, gone_hosts : tuple of str
        Names of services and hosts that are no longer published.
    service_order, host_order : tuple of str or None
        All names in order; None if the other fields imply the order.
    """

    revision: int
    services: tuple[Service, ...] = ()
    gone_services: tuple[str, ...] = ()
    service_order: tuple[str, ...] | None = None
    hosts: tuple[Host, ...] = ()
    gone_hosts: tuple[str, ...] = ()
    host_order: tuple[str, ...] | None = None


class FromProcess(Input, frozen=True, kw_only=True, tag="packet"):
    """A datagram received from a process of the system.

    `packet` holds the encoded datagram, in JSON a base64 string, if the
    datagram can't be decoded or holds a number that JSON lacks.
    """

    source: Address
    packet: Packet | bytes


class FromCaller(Input, frozen=True, kw_only=True, tag="caller"):
    """A datagram received from a caller for a service."""

    service: str
    caller: Address
    datagram: bytes


class Batch(Input, frozen=True, kw_only=True, tag="batch"):
    """The end of a batch of datagrams read from a service's socket."""

    packets: int
    drained: bool


class FromUpstream(Input, frozen=True, kw_only=True, tag="from-upstream"):
    """A datagram received from a target's upstream."""

    service: str
    target: str
    flow: FlowKey | None = None
    datagram: bytes


class PortClosed(Input, frozen=True, kw_only=True, tag="port-closed"):
    """A socket error showed that nothing listens on an upstream's port."""

    service: str
    target: str


class Tick(Input, frozen=True, kw_only=True, tag="tick"):
    """A periodic tick; for agents, `fresh` says whether the view is fresh."""

    fresh: bool = True


class Stop(Input, frozen=True, kw_only=True, tag="stop"):
    """The start of a graceful shutdown."""


class Gap(Line, frozen=True, kw_only=True, tag="gap"):
    """Lines are missing here; `lines` is a lower bound of their number."""

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
    """A line of a recording and its line number in the file."""

    number: int
    line: Line


@dataclass(frozen=True, slots=True)
class Recording:
    """The header and the other lines of a recording."""

    source: str
    header: Header
    lines: tuple[NumberedLine, ...]


def encode_line(line: Line) -> bytes:
    """Return a line as JSON, followed by a line break."""
    return _encoder.encode(line) + b"\n"


def is_recording(text: str) -> bool:
    """Return whether the first line of a trace is a recording's header."""
    for _, line in _number_lines(text):
        try:
            first = decode_json(line)
        except DECODE_ERRORS:
            return False
        return isinstance(first, dict) and first.get("kind") == "recording"
    return False


def parse_recording(text: str, source: str) -> Recording:
    """Parse a recording.

    Raises
    ------
    ExceptionGroup
        Holds a `TraceError` for each invalid line, which names the field.
    """
    lines: list[NumberedLine] = []
    errors = []
    numbered = list(_number_lines(text))
    for index, (number, line) in enumerate(numbered):
        try:
            lines.append(NumberedLine(number, _decoder.decode(line)))
        except DECODE_ERRORS as error:
            is_syntax = type(error) is DecodeError
            if lines and is_syntax and _is_truncated(text, numbered[index + 1 :]):
                gap = Gap(at=lines[-1].line.at, lines=1)
                lines.append(NumberedLine(number, gap))
            else:
                errors.append(TraceError(source, number, str(error)))
    errors += _check_lines(lines, source)
    if errors:
        errors.sort(key=lambda error: error.line)
        raise ExceptionGroup(f"{source}: invalid recording", errors)
    return Recording(source, lines[0].line, tuple(lines[1:]))


def _is_truncated(text: str, later: list[tuple[int, str]]) -> bool:
    """Return whether the end of a connection or process truncated a line."""
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
                reason = (
                    "kind: header of another process; expected that of the first line"
                )
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
