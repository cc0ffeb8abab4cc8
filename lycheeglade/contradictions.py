"""Detection of a team's answers that contradict each other."""

from collections.abc import Iterable, Iterator
from ipaddress import ip_address
from itertools import chain

from lycheeglade.address import Zone
from lycheeglade.answers import (
    FIRST_LISTEN_PORT,
    PACKETS_PORT,
    Answers,
    Fabric,
    HostAnswers,
    OperatorAddress,
    ServiceAnswers,
)
from lycheeglade.errors import OptionError

MAX_LISTEN_PORTS = PACKETS_PORT - FIRST_LISTEN_PORT
# Upper bound of the interval between retransmissions of a feed's item.
LONGEST_FEED_RETRY_S = 3.0


def find_contradictions(answers: Answers, source: str) -> list[OptionError]:
    """Return every contradiction that prevents generating configuration.

    Parameters
    ----------
    source : str
        File that the answers were read from, named in the errors.
    """
    findings = chain(
        _check_balancers(answers),
        _check_hosts(answers),
        _check_services(answers),
        _check_addresses(answers),
        _check_ports(answers),
        _check_fabric(answers),
        _check_operators(answers),
    )
    return [OptionError(source, *finding) for finding in findings]


Findings = Iterator[tuple[str, str, str]]


def _check_balancers(answers: Answers) -> Findings:
    if not answers.balancers_by_name:
        yield "balancer NAME", "zone", "there is no balancer; at least one is needed"
    for balancer in answers.balancers_by_name.values():
        section = f"balancer {balancer.name}"
        yield from _check_zone(answers, section, balancer.zone)
        if balancer.name in answers.hosts_by_name:
            yield section, "name", f"{balancer.name!r} is also an upstream host"


def _check_hosts(answers: Answers) -> Findings:
    for host in answers.hosts_by_name.values():
        section = f"host {host.name}"
        yield from _check_zone(answers, section, host.zone)
        if not host.services:
            yield section, "services", "the host serves nothing"
        for name in host.services:
            service = answers.services_by_name.get(name)
            if service is None:
                known = _join(answers.services_by_name)
                yield section, "services", f"unknown service {name!r}; known: {known}"
            elif service.places and not _permits(service, host.zone):
                yield (
                    section,
                    "services",
                    f"{name} may not be handled in {host.zone}, "
                    f"only in {_join(service.places)}",
                )


def _check_zone(answers: Answers, section: str, zone: Zone) -> Findings:
    if zone not in answers.zones:
        known = _join(map(str, answers.zones))
        yield section, "zone", f"unknown zone {str(zone)!r}; known: {known}"


def _check_services(answers: Answers) -> Findings:
    if not answers.services_by_name:
        yield "service NAME", "places", "there is no service; at least one is needed"
    for service in answers.services_by_name.values():
        section = f"service {service.name}"
        for option, reason in chain(
            _check_places(answers, service),
            _check_balancer_places(answers, service),
            _check_capacity(answers, service),
            _check_times(service),
            _check_silence_limit(answers, service),
        ):
            yield section, option, reason


def _check_places(answers: Answers, service: ServiceAnswers) -> Iterator:
    if not service.places:
        yield "places", "the service may be handled nowhere"
    known = {*answers.zones_by_region, *map(str, answers.zones)}
    for place in service.places:
        if place not in known:
            yield "places", f"unknown place {place!r}; known: {_join(sorted(known))}"


def _check_balancer_places(answers: Answers, service: ServiceAnswers) -> Iterator:
    balancers = answers.balancers_by_name.values()
    if not service.places or not balancers:
        return
    if not any(_permits(service, balancer.zone) for balancer in balancers):
        yield (
            "places",
            f"no balancer is in {_join(service.places)}, "
            f"and others may not carry {service.name}",
        )


def _check_capacity(answers: Answers, service: ServiceAnswers) -> Iterator:
    targets = _permitted_hosts(answers, service)
    if not targets:
        if service.places:
            places = _join(service.places)
            yield "places", f"no host in {places} serves {service.name}"
        return
    connections = service.connections * len(targets)
    if service.feeds > connections:
        yield (
            "feeds",
            f"{service.feeds} feeds are more than the {connections} connections "
            f"of {len(targets)} targets ({service.connections} each)",
        )


def _check_times(service: ServiceAnswers) -> Iterator:
    longest = service.longest_request
    if service.grace < longest:
        yield (
            "grace_s",
            f"a grace period of {service.grace:g} s is shorter than "
            f"the longest request ({longest:g} s), which would be cut",
        )
    if service.late_after < longest:
        yield (
            "late_after_s",
            f"answers are useless after {service.late_after:g} s, but the "
            f"longest request takes {longest:g} s",
        )


def _check_silence_limit(answers: Answers, service: ServiceAnswers) -> Iterator:
    """Report a silence limit that the failure of a balancer would exceed.

    Until the fabric detects the failure, it sends packets to the balancer, and
    acknowledgements of feed items are lost. A feed with too low a limit would
    count as dead meanwhile.
    """
    notice = answers.team.fabric_notice
    min_silence = notice + LONGEST_FEED_RETRY_S
    if service.feeds and service.silence < min_silence:
        yield (
            "silence_s",
            f"a feed counts as dead after {service.silence:g} s, but the fabric "
            f"hands packets to a dead entry host for {notice:g} s, and an item is "
            f"repeated after up to {LONGEST_FEED_RETRY_S:g} s; "
            f"at least {min_silence:g} s are needed",
        )


def _check_addresses(answers: Answers) -> Findings:
    section_by_ip: dict[str, str] = {}
    for kind, machines in (
        ("balancer", answers.balancers_by_name),
        ("host", answers.hosts_by_name),
    ):
        for machine in machines.values():
            section = f"{kind} {machine.name}"
            other = section_by_ip.setdefault(machine.ip, section)
            if other != section:
                yield section, "ip", f"{machine.ip} is already the IP of [{other}]"
    section_by_address: dict[tuple[str, int], str] = {}
    section_by_upstream_ip = {
        host.ip: f"host {host.name}" for host in answers.hosts_by_name.values()
    }
    for service in answers.services_by_name.values():
        section = f"service {service.name}"
        if service.ip in section_by_upstream_ip:
            other = section_by_upstream_ip[service.ip]
            yield section, "ip", f"{service.ip} is already the IP of [{other}]"
        other = section_by_address.setdefault((service.ip, service.port), section)
        if other != section:
            address = f"{service.ip}:{service.port}"
            yield section, "port", f"{address} is already the address of [{other}]"


def _check_ports(answers: Answers) -> Findings:
    for host in answers.hosts_by_name.values():
        service_by_port = {PACKETS_PORT: "the agent"}
        for name in host.services:
            service = answers.services_by_name.get(name)
            if service is None:
                continue
            other = service_by_port.setdefault(service.port, name)
            if other != name:
                reason = f"{name} and {other} both take port {service.port}"
                yield f"host {host.name}", "services", reason


def _check_fabric(answers: Answers) -> Findings:
    count = len(answers.services_by_name)
    if answers.team.fabric is Fabric.BALANCER_ADDRESS and count > MAX_LISTEN_PORTS:
        yield (
            "team",
            "fabric",
            f"{count} services need a port each on the balancers; "
            f"at most {MAX_LISTEN_PORTS} are possible",
        )


def _check_operators(answers: Answers) -> Findings:
    if answers.team.operators is OperatorAddress.HOST_ADDRESS:
        return
    machines = [*answers.balancers_by_name.values(), *answers.hosts_by_name.values()]
    names = [machine.name for machine in machines if ip_address(machine.ip).is_loopback]
    if names:
        yield (
            "team",
            "operators",
            f"{_join(names[:3])} have loopback addresses, so that processes "
            "on one machine would share an address; use "
            f"{OperatorAddress.HOST_ADDRESS}",
        )


def _permitted_hosts(answers: Answers, service: ServiceAnswers) -> list[HostAnswers]:
    return [
        host
        for host in answers.hosts_by_name.values()
        if service.name in host.services and _permits(service, host.zone)
    ]


def _permits(service: ServiceAnswers, zone: Zone) -> bool:
    return zone.region in service.places or str(zone) in service.places


def _join(names: Iterable[str]) -> str:
    return ", ".join(names) or "none"
