"""One revision of one published value, and what it declares."""

from dataclasses import dataclass, field, replace

from lycheeglade.configuration import (
    HOSTS_PREFIX,
    SERVICE_PREFIX,
    parse_hosts,
    parse_service,
)
from lycheeglade.errors import ConfigurationError, OptionError
from lycheeglade.view import Host, Service

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


def read_value(value: Value) -> Value:
    """Return `value` with its content.

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
        return replace(value, content=_read_hosts(value))
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


def _read_hosts(value: Value) -> tuple[Host, ...]:
    hosts = parse_hosts(value.text, value.name)
    zone = value.name.removeprefix(HOSTS_PREFIX)
    for host in hosts:
        if str(host.zone) != zone:
            reason = f"{host.zone} is not the zone of the value"
            refuse_value(value, f"host {host.host_id}", "zone", reason)
    return hosts
