"""One revision of one published value, and what it declares."""

from dataclasses import dataclass, field, replace
from re import compile as compile_pattern

from lycheeglade.configuration import (
    HOSTS_PREFIX,
    SERVICE_PREFIX,
    check_hosts,
    parse_hosts,
    parse_service,
)
from lycheeglade.errors import ConfigurationError, OptionError
from lycheeglade.view import Host, Service

# Printable ASCII and no line that continues the one before.
_PLAIN_TEXT = compile_pattern(r"(?:[!-~][ -~]*)?(?:\n(?:[!-~][ -~]*)?)*")

Content = Service | tuple[Host, ...] | None


@dataclass(frozen=True, slots=True)
class Value:
    """One revision of one published value.

    Attributes
    ----------
    text : str or None
        None if this revision deleted the value.
    content : Service or tuple of Host or None
        What the text declares; None until `read_value` has read it, and for
        kinds of values that this version doesn't know.
    """

    name: str
    revision: int
    text: str | None
    content: Content = field(default=None, compare=False, repr=False)


def read_value(value: Value, known: Value | None = None) -> Value:
    """Return `value` with its content.

    Parameters
    ----------
    known : Value, optional
        An earlier revision that was read; what it has in common with `value`
        is not read again.

    Raises
    ------
    ConfigurationError
        If the text is invalid or declares something else than the name says.
    """
    if value.text is None:
        return value
    if value.name.startswith(SERVICE_PREFIX):
        return replace(value, content=_read_service(value))
    if value.name.startswith(HOSTS_PREFIX):
        return replace(value, content=_read_hosts(value, known))
    return value


def refuse_value(value: Value, section: str, option: str, reason: str) -> None:
    """Raise the error of a value that can't be accepted.

    Raises
    ------
    ConfigurationError
        Always, with one `OptionError`.
    """
    error = OptionError(value.name, section, option, reason)
    raise ConfigurationError(f"{value.name} is invalid", [error])


def _read_service(value: Value) -> Service:
    service = parse_service(value.text, value.name, value.revision)
    if value.name != SERVICE_PREFIX + service.name:
        reason = f"{service.name!r} is not the name of the value"
        refuse_value(value, "service", "name", reason)
    return service


def _read_hosts(value: Value, known: Value | None) -> tuple[Host, ...]:
    hosts = _read_changed_hosts(value, known)
    if hosts is None:
        hosts = parse_hosts(value.text, value.name)
    zone = value.name.removeprefix(HOSTS_PREFIX)
    for host in hosts:
        if str(host.zone) != zone:
            reason = f"{host.zone} is not the zone of the value"
            refuse_value(value, f"host {host.host_id}", "zone", reason)
    return hosts


def _read_changed_hosts(value: Value, known: Value | None) -> tuple[Host, ...] | None:
    """Return the hosts, reading only sections that `known` lacks.

    Returns
    -------
    tuple of Host or None
        None if the whole text must be read, which tells all errors.
    """
    if known is None or known.content is None:
        return None
    old_sections = _split_sections(known.text)
    new_sections = _split_sections(value.text)
    if not new_sections or len(old_sections) != len(known.content):
        return None
    host_by_section = dict(zip(old_sections, known.content, strict=True))
    changed = [section for section in new_sections if section not in host_by_section]
    if 2 * len(changed) > len(new_sections):
        return None
    try:
        read = parse_hosts("".join(changed), value.name)
        host_by_section.update(zip(changed, read, strict=True))
        hosts = tuple(host_by_section[section] for section in new_sections)
        check_hosts(hosts, value.name)
    except (ConfigurationError, ValueError):
        return None
    return hosts


def _split_sections(text: str | None) -> list[str]:
    """Return the sections of a text without continued lines.

    Returns
    -------
    list of str
        Empty if sections can't be told apart by their first characters.
    """
    if text is None or not _PLAIN_TEXT.fullmatch(text) or not text.startswith("["):
        return []
    first, *others = text.split("\n[")
    sections = [first, *("[" + other for other in others)]
    return [section.rstrip("\n") + "\n" for section in sections]
