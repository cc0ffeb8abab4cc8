"""Settings of a process, read from an INI file."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path
from urllib.parse import urlsplit

from lycheeglade.address import Address, Zone
from lycheeglade.errors import ConfigurationError, OptionError
from lycheeglade.options import OptionReader, parse_name
from lycheeglade.view import Role

DEFAULT_MAX_FLOWS = 200_000
MAX_FLOWS_LIMIT = 10_000_000
DEFAULT_GRACE_S = 30.0
MAX_GRACE_S = 3600.0


class LogLevel(StrEnum):
    """Lowest severity that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of a process, which are fixed when it starts.

    Attributes
    ----------
    packets : Address
        UDP address that receives datagrams of the other processes.
    control : Address
        TCP address at which peers request configuration.
    operators : Address
        TCP address of the read-only HTTP server for operators.
    platform_url : str
        Root URL of the platform's configuration service, without a trailing
        slash.
    seeds : tuple of Address
        Control addresses of the peers to contact first.
    max_flows : int
        Maximum size of each table of flows.
    grace : float
        Seconds that a graceful shutdown may take.
    listen_by_service : Mapping
        Addresses that a balancer binds instead of the published ones, by the
        name of the service.
    """

    role: Role
    host_id: str
    zone: Zone
    packets: Address
    control: Address
    operators: Address
    platform_url: str
    seeds: tuple[Address, ...] = ()
    max_flows: int = DEFAULT_MAX_FLOWS
    grace: float = DEFAULT_GRACE_S
    log_level: LogLevel = LogLevel.INFO
    listen_by_service: Mapping[str, tuple[Address, ...]] = field(default_factory=dict)


def load_settings(path: str | Path) -> Settings:
    """Read the settings in the file at `path`.

    Raises
    ------
    ConfigurationError
        If the file can't be read or is invalid.
    """
    return parse_settings(read_text(path), str(path))


def read_text(path: str | Path) -> str:
    """Return the text of the file at `path`.

    Raises
    ------
    ConfigurationError
        If the file can't be read as UTF-8.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        reason = error.strerror if isinstance(error, OSError) else "is not UTF-8"
        unreadable = OptionError(str(path), "-", "file", reason or str(error))
        raise ConfigurationError(f"cannot read {path}", [unreadable]) from error


def parse_settings(text: str, source: str) -> Settings:
    """Parse the settings of a process.

    Raises
    ------
    ConfigurationError
        If `text` is invalid, with one `OptionError` for each error.
    """
    reader = OptionReader(text, source)
    process = reader.get_section("process")
    role = process.get_choice("role", Role)
    host_id = process.get_name("host")
    zone = process.get_zone("zone")
    packets = process.get_address("packets")
    control = process.get_address("control")
    operators = process.get_address("operators")
    if control == operators and control.port:
        process.add_error("operators", f"{operators} is the control address too")
    process.refuse_unknown()
    max_flows, grace = _read_limits(reader)
    settings = Settings(
        role=role,
        host_id=host_id,
        zone=zone,
        packets=packets,
        control=control,
        operators=operators,
        platform_url=_read_platform_url(reader),
        seeds=_read_seeds(reader),
        max_flows=max_flows,
        grace=grace,
        log_level=_read_log_level(reader),
        listen_by_service=_read_listen(reader, role),
    )
    reader.finish()
    return settings


def parse_url(text: str) -> str:
    """Return the URL of a platform without a trailing slash.

    Raises
    ------
    ValueError
        If `text` is not an http or https URL, or has more parts than a host,
        a port and a path.
    """
    url = urlsplit(text)
    if url.scheme not in ("http", "https") or not url.hostname:
        raise ValueError(f"{text!r} is not an http or https URL")
    if url.query or url.fragment or url.username is not None:
        raise ValueError(f"{text!r} has more than a host, a port and a path")
    return text.rstrip("/")


def _read_platform_url(reader: OptionReader) -> str:
    section = reader.get_section("platform")
    url = section.get("url", parse_url, "")
    section.refuse_unknown()
    return url


def _read_seeds(reader: OptionReader) -> tuple[Address, ...]:
    section = reader.get_section("seeds", required=False)
    seeds = section.get_addresses("control", required=False)
    section.refuse_unknown()
    return seeds


def _read_limits(reader: OptionReader) -> tuple[int, float]:
    section = reader.get_section("limits", required=False)
    max_flows = section.get_int("flows", DEFAULT_MAX_FLOWS, 1, MAX_FLOWS_LIMIT)
    grace = section.get_float("grace_s", DEFAULT_GRACE_S, 0.0, MAX_GRACE_S)
    section.refuse_unknown()
    return max_flows, grace


def _read_log_level(reader: OptionReader) -> LogLevel:
    section = reader.get_section("log", required=False)
    level = section.get_choice("level", LogLevel, LogLevel.INFO)
    section.refuse_unknown()
    return level


def _read_listen(reader: OptionReader, role: Role) -> Mapping[str, tuple[Address, ...]]:
    section = reader.get_section("listen", required=False)
    addresses_by_service = {}
    for service in section:
        if role is not Role.BALANCER:
            section.add_error(service, "only a balancer listens for a service")
        try:
            parse_name(service)
        except ValueError as error:
            section.add_error(service, str(error))
        addresses = section.get_addresses(service, required=True)
        addresses_by_service[service] = addresses
    return addresses_by_service
