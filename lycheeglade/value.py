"""Published values: their texts, contents and differences."""

from dataclasses import dataclass, field
from re import compile as compile_pattern
from zlib import compressobj, decompressobj

from xxhash import xxh3_64_intdigest

from lycheeglade.configuration import (
    HOSTS_PREFIX,
    SERVICE_PREFIX,
    check_hosts,
    parse_hosts,
    parse_service,
)
from lycheeglade.errors import ConfigurationError, OptionError
from lycheeglade.splice import Splice, find_splice
from lycheeglade.view import Host, Service

# Lines of printable ASCII, none of which continues the previous line.
_PLAIN_TEXT = compile_pattern(r"(?:[!-~][ -~]*)?(?:\n(?:[!-~][ -~]*)?)*")

COMPRESSION_LEVEL = 1
# Shorter texts are sent whole instead of as differences.
MIN_SPLICED_CHARS = 2048
# Number of earlier revisions for which splices are kept.
MAX_STEPS = 16
# JSON and MessagePack let surrogates through, which strict UTF-8 rejects.
_ENCODING_ERRORS = "surrogatepass"

# Preset dictionary: text that most services share, to compress short texts.
_PRESET_DICTIONARY = b"""\
[service]
name =
tenant =
protocol = coap
addresses =
places =
request_timeout_s = 10.0
heartbeat_s = 10.0
flow_idle_s = 300.0
cold_start_s = 10.0
grace_s = 30.0

[target t0]
host =
zone =
agent = 10.0.0.1:7100
upstream = 10.0.0.1:5683
weight = 1.0
slots = 1
connections = 2000
state = live
"""

Content = Service | tuple[Host, ...] | None


@dataclass(frozen=True, slots=True)
class Step:
    """Splice that turned the previously held revision `base` into a text."""

    base: int
    splice: Splice


@dataclass(frozen=True, slots=True, init=False)
class Value:
    """One revision of one published value.

    The text is stored compressed, since a process holds thousands of values
    and needs a text again only to send it to a peer or to parse a newer one.

    Parameters
    ----------
    text : str or None
        None if this revision deleted the value.
    content : Service or tuple of Host or None
        Declarations in the text; None before the text is parsed, and for
        kinds of values that this version doesn't know.
    steps : tuple of Step
        Latest steps that led to this revision, oldest first.
    """

    name: str
    revision: int
    packed: bytes | None = field(repr=False)
    content: Content = field(compare=False, repr=False)
    steps: tuple[Step, ...] = field(compare=False, repr=False)

    def __init__(
        self,
        name: str,
        revision: int,
        text: str | None,
        content: Content = None,
        steps: tuple[Step, ...] = (),
    ):
        packed = text
        if text is not None:
            packed = _compress(text.encode(errors=_ENCODING_ERRORS))
        object.__setattr__(self, "name", name)
        object.__setattr__(self, "revision", revision)
        object.__setattr__(self, "packed", packed)
        object.__setattr__(self, "content", content)
        object.__setattr__(self, "steps", steps)

    @property
    def is_deletion(self) -> bool:
        """Whether this revision deleted the value."""
        return self.packed is None

    @property
    def text(self) -> str | None:
        """Published text, None if this revision deleted the value."""
        if self.packed is None:
            return None
        return _uncompress(self.packed).decode(errors=_ENCODING_ERRORS)

    def steps_from(self, revision: int) -> tuple[Step, ...]:
        """Return the steps for a peer that is complete up to `revision`.

        Returns
        -------
        tuple of Step
            Empty if no kept step starts at a text that the peer may hold.
        """
        later = [step for step in self.steps if step.base > revision]
        first = len(self.steps) - len(later) - 1
        return self.steps[first:] if first >= 0 else ()


def parse_value(value: Value, known: Value | None = None) -> Value:
    """Return `value` with its parsed content.

    Parameters
    ----------
    known : Value, optional
        Earlier revision with its content; host sections that it shares with
        `value` aren't parsed again.

    Raises
    ------
    ConfigurationError
        If the text is invalid or its service or zone doesn't match the name.
    """
    text = value.text
    if text is None:
        return value
    if value.name.startswith(SERVICE_PREFIX):
        content = _read_service(value, text)
    elif value.name.startswith(HOSTS_PREFIX):
        content = _read_hosts(value, text, known)
    else:
        return value
    steps = _find_steps(text, known)
    return Value(value.name, value.revision, text, content, steps)


def _compress(text: bytes) -> bytes:
    compressor = compressobj(COMPRESSION_LEVEL, zdict=_PRESET_DICTIONARY)
    return compressor.compress(text) + compressor.flush()


def _uncompress(packed: bytes) -> bytes:
    return decompressobj(zdict=_PRESET_DICTIONARY).decompress(packed)


def hash_text(text: str) -> int:
    """Return a 64-bit hash that verifies a rebuilt text."""
    return xxh3_64_intdigest(text.encode(errors=_ENCODING_ERRORS))


def raise_invalid_value(value: Value, section: str, option: str, reason: str) -> None:
    """Raise the error of an invalid value.

    Raises
    ------
    ConfigurationError
        Always, with one `OptionError`.
    """
    error = OptionError(value.name, section, option, reason)
    raise ConfigurationError(f"{value.name} is invalid", [error])


def _find_steps(text: str, known: Value | None) -> tuple[Step, ...]:
    """Return the steps to `text`, none if it should be sent whole.

    That is the case for short texts, and if the splices have more than half
    of the length of the text.
    """
    if known is None or known.content is None or len(text) < MIN_SPLICED_CHARS:
        return ()
    splice = find_splice(known.text, text)
    if 2 * len(splice.middle) > len(text):
        return ()
    steps = (*known.steps, Step(known.revision, splice))[-MAX_STEPS:]
    while 2 * sum(len(step.splice.middle) for step in steps) > len(text):
        steps = steps[1:]
    return steps


def _read_service(value: Value, text: str) -> Service:
    service = parse_service(text, value.name, value.revision)
    if value.name != SERVICE_PREFIX + service.name:
        reason = f"{service.name!r} is not the name of the value"
        raise_invalid_value(value, "service", "name", reason)
    return service


def _read_hosts(value: Value, text: str, known: Value | None) -> tuple[Host, ...]:
    hosts = _read_changed_hosts(value.name, text, known)
    if hosts is None:
        hosts = parse_hosts(text, value.name)
    zone = value.name.removeprefix(HOSTS_PREFIX)
    for host in hosts:
        if str(host.zone) != zone:
            reason = f"{host.zone} is not the zone of the value"
            raise_invalid_value(value, f"host {host.host_id}", "zone", reason)
    return hosts


def _read_changed_hosts(
    source: str, text: str, known: Value | None
) -> tuple[Host, ...] | None:
    """Return the hosts, parsing only the sections that `known` lacks.

    Returns
    -------
    tuple of Host or None
        None if the whole text must be parsed, which also reports all errors.
    """
    if known is None or known.content is None:
        return None
    old_sections = _split_sections(known.text)
    new_sections = _split_sections(text)
    if not new_sections or len(old_sections) != len(known.content):
        return None
    host_by_section = dict(zip(old_sections, known.content, strict=True))
    changed = [section for section in new_sections if section not in host_by_section]
    if 2 * len(changed) > len(new_sections):
        return None
    try:
        read = parse_hosts("".join(changed), source)
        host_by_section.update(zip(changed, read, strict=True))
        hosts = tuple(host_by_section[section] for section in new_sections)
        check_hosts(hosts, source)
    except (ConfigurationError, ValueError):
        return None
    return hosts


def _split_sections(text: str | None) -> list[str]:
    """Return the sections of a text without continuation lines.

    Returns
    -------
    list of str
        Empty if the text can't be split at lines that start with ``[``.
    """
    if text is None or not _PLAIN_TEXT.fullmatch(text) or not text.startswith("["):
        return []
    first, *others = text.split("\n[")
    sections = [first, *("[" + other for other in others)]
    return [section.rstrip("\n") + "\n" for section in sections]
