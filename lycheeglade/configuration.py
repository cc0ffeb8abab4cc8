"""Parsing and formatting of published services and hosts as INI text."""

from collections.abc import Iterable, Mapping
from sys import intern

from lycheeglade.address import Address
from lycheeglade.options import OptionReader, Section, parse_name, parse_named_zone
from lycheeglade.view import Host, Protocol, Role, Service, State, Target

SERVICE_PREFIX = "services/"
HOSTS_PREFIX = "hosts/"

MAX_SECONDS = 86_400.0
MIN_SECONDS = 0.1
MIN_WEIGHT = 0.001
MAX_WEIGHT = 1000.0
MAX_SLOTS = 10_000
MAX_CONNECTIONS = 1_000_000


def parse_service(text: str, source: str, revision: int) -> Service:
    """Parse the published value that declares a service.

    Raises
    ------
    ConfigurationError
        If `text` is invalid, with one `OptionError` for each error.
    """
    reader = OptionReader(text, source)
    section = reader.get_section("service")
    service = Service(
        name=section.get_name("name"),
        tenant=section.get_name("tenant"),
        revision=revision,
        protocol=section.get_choice("protocol", Protocol),
        addresses=section.get_addresses("addresses", required=True),
        places=section.get_list("places", parse_place, required=True),
        targets_by_id=_read_targets(reader),
        request_timeout=_get_seconds(section, "request_timeout_s", 10.0),
        heartbeat=_get_seconds(section, "heartbeat_s", 10.0),
        flow_idle=_get_seconds(section, "flow_idle_s", 300.0),
        cold_start=_get_seconds(section, "cold_start_s", 10.0, low=0.0),
        grace=_get_seconds(section, "grace_s", 30.0, low=0.0),
    )
    section.refuse_unknown()
    _check_places(reader, service)
    _check_hosts_agree(reader, service.targets_by_id)
    _check_upstreams_differ(reader, service.targets_by_id)
    reader.finish()
    return service


def format_service(service: Service) -> str:
    """Return the INI text from which `parse_service` returns `service`."""
    options_by_section = {
        "service": {
            "name": service.name,
            "tenant": service.tenant,
            "protocol": service.protocol,
            "addresses": _join(service.addresses),
            "places": _join(service.places),
            "request_timeout_s": service.request_timeout,
            "heartbeat_s": service.heartbeat,
            "flow_idle_s": service.flow_idle,
            "cold_start_s": service.cold_start,
            "grace_s": service.grace,
        }
    }
    for target in service.targets_by_id.values():
        options_by_section[f"target {target.target_id}"] = {
            "host": target.host_id,
            "zone": target.zone,
            "agent": target.agent,
            "upstream": target.upstream,
            "weight": target.weight,
            "slots": target.slots,
            "connections": target.connections,
            "state": target.state,
        }
    return format_sections(options_by_section)


def parse_hosts(text: str, source: str) -> tuple[Host, ...]:
    """Parse the published value that lists the hosts of a zone.

    Raises
    ------
    ConfigurationError
        If `text` is invalid, with one `OptionError` for each error.
    """
    reader = OptionReader(text, source)
    hosts = []
    for host_id, section in reader.get_named_sections("host").items():
        host = Host(
            host_id=host_id,
            role=section.get_choice("role", Role),
            zone=section.get_zone("zone"),
            packets=section.get_address("packets"),
            control=section.get_address("control"),
            state=section.get_choice("state", State, State.LIVE),
        )
        section.refuse_unknown()
        hosts.append(host)
    _check_hosts_differ(reader, hosts)
    reader.finish()
    return tuple(hosts)


def check_hosts(hosts: Iterable[Host], source: str) -> None:
    """Check hosts that come from separately parsed values for conflicts.

    Raises
    ------
    ConfigurationError
        If two hosts share a name or an address.
    """
    reader = OptionReader("", source)
    _check_hosts_differ(reader, hosts)
    host_ids = set()
    for host in hosts:
        if host.host_id in host_ids:
            reader.add_error(f"host {host.host_id}", "section", "is listed twice")
        host_ids.add(host.host_id)
    reader.finish()


def format_hosts(hosts: Iterable[Host]) -> str:
    """Return the INI text from which `parse_hosts` returns `hosts`."""
    return format_sections(
        {
            f"host {host.host_id}": {
                "role": host.role,
                "zone": host.zone,
                "packets": host.packets,
                "control": host.control,
                "state": host.state,
            }
            for host in hosts
        }
    )


def format_sections(options_by_section: Mapping[str, Mapping[str, object]]) -> str:
    """Return an INI text with the given sections and options."""
    sections = []
    for section, value_by_option in options_by_section.items():
        lines = [f"[{section}]"]
        lines.extend(f"{option} = {value}" for option, value in value_by_option.items())
        sections.append("\n".join(lines) + "\n")
    return "\n".join(sections)


def _join(entries: Iterable[object]) -> str:
    return ", ".join(map(str, entries))


def parse_place(text: str) -> str:
    """Return the canonical form of ``REGION`` or ``REGION/ZONE``.

    Raises
    ------
    ValueError
        If `text` has neither form.
    """
    return intern(str(parse_named_zone(text))) if "/" in text else parse_name(text)


def _get_seconds(
    section: Section, option: str, default: float, low: float = MIN_SECONDS
) -> float:
    return section.get_float(option, default, low, MAX_SECONDS)


def _read_targets(reader: OptionReader) -> dict[str, Target]:
    targets_by_id = {}
    for target_id, section in reader.get_named_sections("target").items():
        targets_by_id[target_id] = Target(
            target_id=target_id,
            host_id=section.get_name("host"),
            zone=section.get_zone("zone"),
            agent=section.get_address("agent"),
            upstream=section.get_address("upstream"),
            weight=section.get_float("weight", 1.0, MIN_WEIGHT, MAX_WEIGHT),
            slots=section.get_int("slots", 1, 1, MAX_SLOTS),
            connections=section.get_int("connections", 2000, 1, MAX_CONNECTIONS),
            state=section.get_choice("state", State, State.LIVE),
        )
        section.refuse_unknown()
    return targets_by_id


def _check_places(reader: OptionReader, service: Service) -> None:
    for target in service.targets_by_id.values():
        if target.zone.region and service.places and not service.permits(target.zone):
            places = _join(service.places)
            reason = f"{target.zone} is outside the service's places ({places})"
            reader.add_error(f"target {target.target_id}", "zone", reason)


def _check_hosts_agree(
    reader: OptionReader, targets_by_id: Mapping[str, Target]
) -> None:
    """Add an error if targets on one host differ in its zone or agent."""
    first_target_by_host: dict[str, Target] = {}
    for target in targets_by_id.values():
        first = first_target_by_host.setdefault(target.host_id, target)
        if not target.host_id:
            continue
        section = f"target {target.target_id}"
        for option in ("zone", "agent"):
            value, expected = getattr(target, option), getattr(first, option)
            if value != expected:
                reason = f"{value} differs from {expected} of target {first.target_id}"
                reason += f" on the same host {target.host_id}"
                reader.add_error(section, option, reason)


def _check_upstreams_differ(
    reader: OptionReader, targets_by_id: Mapping[str, Target]
) -> None:
    id_by_upstream: dict[Address, str] = {}
    for target in targets_by_id.values():
        first = id_by_upstream.setdefault(target.upstream, target.target_id)
        if first != target.target_id and target.upstream.port:
            reason = f"{target.upstream} is the upstream of target {first} too"
            reader.add_error(f"target {target.target_id}", "upstream", reason)


def _check_hosts_differ(reader: OptionReader, hosts: Iterable[Host]) -> None:
    """Add an error if two hosts share an address."""
    for option in ("packets", "control"):
        id_by_address: dict[Address, str] = {}
        for host in hosts:
            address = getattr(host, option)
            first = id_by_address.setdefault(address, host.host_id)
            if first != host.host_id and address.port:
                reason = f"{address} belongs to host {first} too"
                reader.add_error(f"host {host.host_id}", option, reason)
