"""A team's answers about its services, places, hosts and tolerances."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from ipaddress import ip_address, ip_network

from lycheeglade.address import Zone
from lycheeglade.configuration import (
    MAX_CONNECTIONS,
    MAX_SECONDS,
    MAX_SLOTS,
    MAX_WEIGHT,
    MIN_SECONDS,
    MIN_WEIGHT,
    format_sections,
    parse_place,
)
from lycheeglade.options import OptionReader, Section, parse_name
from lycheeglade.settings import MAX_GRACE_S, parse_url
from lycheeglade.view import Protocol

PACKETS_PORT = 7100
CONTROL_PORT = 7200
OPERATORS_PORT = 7300
FIRST_LISTEN_PORT = 5683
DEFAULT_PORT = 5683
MAX_USER_PORT = 65535
MAX_FEEDS = 1_000_000_000
MIN_SILENCE_S = 1.0
MAX_COLD_START_S = 3600.0
MAX_FABRIC_NOTICE_S = 3600.0


class Fabric(StrEnum):
    """Destination address of packets that the fabric delivers to balancers."""

    SERVICE_ADDRESS = "service-address"
    BALANCER_ADDRESS = "balancer-address"


class OperatorAddress(StrEnum):
    """Address on which processes serve operators' requests."""

    LOOPBACK = "loopback"
    HOST_ADDRESS = "host-address"


class WorseOutcome(StrEnum):
    """The outcome that a team considers worse."""

    BROKEN_FLOWS = "broken-flows"
    IMBALANCE = "imbalance"


@dataclass(frozen=True, slots=True)
class TeamAnswers:
    """The team, its platform, and the networks of its addresses.

    Attributes
    ----------
    balancers, upstreams, services : str
        Networks, such as ``127.1.0.0/24``, from which the questionnaire
        proposes free addresses. The generator uses the addresses of the
        hosts instead.
    fabric_notice : float
        Seconds for which the fabric still delivers packets to a balancer that
        has failed.
    """

    name: str
    platform: str
    balancers: str
    upstreams: str
    services: str
    fabric: Fabric = Fabric.SERVICE_ADDRESS
    fabric_notice: float = 3.0
    operators: OperatorAddress = OperatorAddress.LOOPBACK


@dataclass(frozen=True, slots=True)
class ServiceAnswers:
    """One service as described by its team.

    Attributes
    ----------
    places : tuple of str
        Regions and zones where its traffic may be handled.
    feeds : int
        Peak number of callers that hold a feed or stream.
    slots, connections : int
        Maximum number of concurrent requests and open flows of one upstream.
    longest_request, late_after : float
        Longest duration of a request in seconds, and seconds after which its
        answer is useless to the caller.
    silence : float
        Seconds after which a caller should detect that its feed is silent.
    grace : float
        Seconds that a draining upstream gets to finish its work.
    cold_start : float
        Seconds that an upstream needs after its start to reach full speed.
    """

    name: str
    ip: str
    places: tuple[str, ...]
    feeds: int
    port: int = 5683
    protocol: Protocol = Protocol.COAP
    slots: int = 1
    connections: int = 2000
    longest_request: float = 5.0
    late_after: float = 10.0
    silence: float = 30.0
    grace: float = 30.0
    cold_start: float = 10.0
    worse: WorseOutcome = WorseOutcome.BROKEN_FLOWS


@dataclass(frozen=True, slots=True)
class BalancerAnswers:
    """One host that runs a balancer."""

    name: str
    ip: str
    zone: Zone


@dataclass(frozen=True, slots=True)
class HostAnswers:
    """One host that runs upstreams.

    Attributes
    ----------
    services : tuple of str
        Services that the host's upstreams serve.
    strength : float
        Capacity relative to an ordinary host, above zero.
    """

    name: str
    ip: str
    zone: Zone
    services: tuple[str, ...]
    strength: float = 1.0


@dataclass(frozen=True, slots=True)
class Answers:
    """All the answers of one team."""

    team: TeamAnswers
    zones_by_region: Mapping[str, tuple[str, ...]]
    services_by_name: Mapping[str, ServiceAnswers]
    balancers_by_name: Mapping[str, BalancerAnswers]
    hosts_by_name: Mapping[str, HostAnswers]

    @property
    def zones(self) -> tuple[Zone, ...]:
        """All zones in the team's places."""
        return tuple(
            Zone(region, name)
            for region, names in self.zones_by_region.items()
            for name in names
        )


def parse_answers(text: str, source: str) -> Answers:
    """Parse the answers of one team.

    Raises
    ------
    ConfigurationError
        With one `OptionError` for each answer that is invalid on its own.
        `find_contradictions` reports answers that contradict each other.
    """
    reader = OptionReader(text, source)
    answers = Answers(
        team=_read_team(reader),
        zones_by_region=_read_places(reader),
        services_by_name=_read_named(reader, "service", _read_service),
        balancers_by_name=_read_named(reader, "balancer", _read_balancer),
        hosts_by_name=_read_named(reader, "host", _read_host),
    )
    reader.finish()
    return answers


def format_answers(answers: Answers) -> str:
    """Return `answers` as INI text that `parse_answers` can read."""
    team = answers.team
    options_by_section = {
        "team": {
            "name": team.name,
            "platform": team.platform,
            "balancers": team.balancers,
            "upstreams": team.upstreams,
            "services": team.services,
            "fabric": team.fabric,
            "fabric_notice_s": team.fabric_notice,
            "operators": team.operators,
        },
        "places": {
            region: ", ".join(names)
            for region, names in answers.zones_by_region.items()
        },
    }
    for service in answers.services_by_name.values():
        options_by_section[f"service {service.name}"] = _service_options(service)
    for balancer in answers.balancers_by_name.values():
        options_by_section[f"balancer {balancer.name}"] = {
            "ip": balancer.ip,
            "zone": balancer.zone,
        }
    for host in answers.hosts_by_name.values():
        options_by_section[f"host {host.name}"] = {
            "ip": host.ip,
            "zone": host.zone,
            "services": ", ".join(host.services),
            "strength": host.strength,
        }
    return format_sections(options_by_section)


def _service_options(service: ServiceAnswers) -> Mapping[str, object]:
    return {
        "ip": service.ip,
        "port": service.port,
        "protocol": service.protocol,
        "places": ", ".join(service.places),
        "feeds": service.feeds,
        "slots": service.slots,
        "connections": service.connections,
        "longest_request_s": service.longest_request,
        "late_after_s": service.late_after,
        "silence_s": service.silence,
        "grace_s": service.grace,
        "cold_start_s": service.cold_start,
        "worse": service.worse,
    }


def parse_ip(text: str) -> str:
    """Return the canonical form of a host's IP address.

    Raises
    ------
    ValueError
        If `text` is not an IP address of one host.
    """
    ip = ip_address(text)
    if ip.is_unspecified or ip.is_multicast:
        raise ValueError(f"{text!r} is not the address of one host")
    return str(ip)


def parse_network(text: str) -> str:
    """Return the canonical form of a network.

    Raises
    ------
    ValueError
        If `text` is not ``IP/BITS`` with all host bits zero.
    """
    try:
        network = ip_network(text if "/" in text else "", strict=False)
    except ValueError:
        example = "IP/BITS such as 10.1.0.0/24"
        raise ValueError(f"{text!r} is not a network {example}") from None
    if network.network_address != ip_address(text.partition("/")[0]):
        raise ValueError(f"{text!r} is the address of a host; its network is {network}")
    return str(network)


def _read_team(reader: OptionReader) -> TeamAnswers:
    section = reader.get_section("team")
    team = TeamAnswers(
        name=section.get_name("name"),
        platform=section.get("platform", parse_url, ""),
        balancers=section.get("balancers", parse_network, ""),
        upstreams=section.get("upstreams", parse_network, ""),
        services=section.get("services", parse_network, ""),
        fabric=section.get_choice("fabric", Fabric, Fabric.SERVICE_ADDRESS),
        fabric_notice=section.get_float(
            "fabric_notice_s", 3.0, 0.0, MAX_FABRIC_NOTICE_S
        ),
        operators=section.get_choice(
            "operators", OperatorAddress, OperatorAddress.LOOPBACK
        ),
    )
    section.refuse_unknown()
    return team


def _read_places(reader: OptionReader) -> dict[str, tuple[str, ...]]:
    section = reader.get_section("places")
    zones_by_region = {}
    for region in section:
        try:
            parse_name(region)
        except ValueError as error:
            section.add_error(region, str(error))
        zones_by_region[region] = section.get_list(region, parse_name, required=True)
    return zones_by_region


def _read_named(reader: OptionReader, prefix: str, read) -> dict:
    answers_by_name = {}
    for name, section in reader.get_named_sections(prefix).items():
        answers_by_name[name] = read(name, section)
        section.refuse_unknown()
    return answers_by_name


def _read_service(name: str, section: Section) -> ServiceAnswers:
    def seconds(option: str, default: float, low: float = MIN_SECONDS) -> float:
        return section.get_float(option, default, low, MAX_SECONDS)

    return ServiceAnswers(
        name=name,
        ip=section.get("ip", parse_ip, ""),
        port=section.get_int("port", DEFAULT_PORT, 1, MAX_USER_PORT),
        protocol=section.get_choice("protocol", Protocol, Protocol.COAP),
        places=section.get_list("places", parse_place, required=False),
        feeds=section.get_int("feeds", 0, 0, MAX_FEEDS),
        slots=section.get_int("slots", 1, 1, MAX_SLOTS),
        connections=section.get_int("connections", 2000, 1, MAX_CONNECTIONS),
        longest_request=seconds("longest_request_s", 5.0),
        late_after=seconds("late_after_s", 10.0),
        silence=seconds("silence_s", 30.0, MIN_SILENCE_S),
        grace=section.get_float("grace_s", 30.0, 0.0, MAX_GRACE_S),
        cold_start=section.get_float("cold_start_s", 10.0, 0.0, MAX_COLD_START_S),
        worse=section.get_choice("worse", WorseOutcome, WorseOutcome.BROKEN_FLOWS),
    )


def _read_balancer(name: str, section: Section) -> BalancerAnswers:
    return BalancerAnswers(
        name, section.get("ip", parse_ip, ""), section.get_zone("zone")
    )


def _read_host(name: str, section: Section) -> HostAnswers:
    return HostAnswers(
        name,
        section.get("ip", parse_ip, ""),
        section.get_zone("zone"),
        section.get_list("services", parse_name, required=False),
        section.get_float("strength", 1.0, MIN_WEIGHT, MAX_WEIGHT),
    )
