"""Generation of published values and settings from a team's answers."""

from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path

from lycheeglade.address import Address, Zone
from lycheeglade.answers import (
    CONTROL_PORT,
    FIRST_LISTEN_PORT,
    OPERATORS_PORT,
    PACKETS_PORT,
    Answers,
    BalancerAnswers,
    Fabric,
    HostAnswers,
    OperatorAddress,
    ServiceAnswers,
    WorseOutcome,
    parse_answers,
)
from lycheeglade.configuration import (
    HOSTS_PREFIX,
    SERVICE_PREFIX,
    format_hosts,
    format_sections,
    format_service,
)
from lycheeglade.contradictions import find_contradictions
from lycheeglade.errors import ConfigurationError
from lycheeglade.settings import LogLevel, read_text
from lycheeglade.view import Host, Role, Service, Target

LOOPBACK_IP = "127.0.0.1"
MAX_SEEDS = 3
HEARTBEATS_UNTIL_SILENT = 3
SETTINGS_PREFIX = "settings/"

# Idle flows are kept longer if the team considers broken flows the worse
# outcome. If it considers imbalance worse, the load of a newly started
# upstream ramps up over several cold-start periods.
FLOW_IDLE_S_BY_WORSE = {WorseOutcome.BROKEN_FLOWS: 900.0, WorseOutcome.IMBALANCE: 300.0}
COLD_STARTS_BY_WORSE = {WorseOutcome.BROKEN_FLOWS: 1.0, WorseOutcome.IMBALANCE: 3.0}

Machine = BalancerAnswers | HostAnswers


def generate_files(answers_path: Path, folder: Path) -> list[Path]:
    """Write all files for the answers at `answers_path` below `folder`.

    Files of an earlier run that the answers no longer produce are not
    deleted.

    Returns
    -------
    list of Path
        Paths of the written files, sorted.

    Raises
    ------
    ConfigurationError
        If the answers can't be read or contradict each other; in this case
        nothing is written.
    """
    source = str(answers_path)
    answers = parse_answers(read_text(answers_path), source)
    return sorted(write_texts(generate_texts(answers, source), folder).values())


def write_texts(text_by_name: Mapping[str, str], folder: Path) -> dict[str, Path]:
    """Write generated texts below `folder`; return their paths by name."""
    path_by_name = {}
    for name, text in text_by_name.items():
        path = folder / f"{name}.ini"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text, encoding="utf-8")
        path_by_name[name] = path
    return path_by_name


def generate_texts(answers: Answers, source: str) -> dict[str, str]:
    """Return the texts of all published values and settings by name.

    Parameters
    ----------
    source : str
        File that the answers were read from, named in the errors.

    Raises
    ------
    ConfigurationError
        If the answers contradict each other, with one `OptionError` for each
        contradiction.
    """
    contradictions = find_contradictions(answers, source)
    if contradictions:
        raise ConfigurationError(
            f"answers in {source} contradict each other", contradictions
        )
    text_by_name = {}
    for service in answers.services_by_name.values():
        name = f"{SERVICE_PREFIX}{service.name}"
        text_by_name[name] = format_service(_build_service(answers, service))
    for zone in answers.zones:
        hosts = list(_build_hosts(answers, zone))
        if hosts:
            text_by_name[f"{HOSTS_PREFIX}{zone}"] = format_hosts(hosts)
    for role, machine in _machines(answers):
        name = f"{SETTINGS_PREFIX}{machine.name}"
        text_by_name[name] = _format_settings(answers, role, machine)
    return text_by_name


def _machines(answers: Answers) -> Iterator[tuple[Role, Machine]]:
    for balancer in answers.balancers_by_name.values():
        yield Role.BALANCER, balancer
    for host in answers.hosts_by_name.values():
        yield Role.AGENT, host


def _build_service(answers: Answers, service: ServiceAnswers) -> Service:
    return Service(
        name=service.name,
        tenant=answers.team.name,
        revision=0,
        protocol=service.protocol,
        addresses=(Address(service.ip, service.port),),
        places=service.places,
        targets_by_id={
            host.name: _build_target(service, host)
            for host in answers.hosts_by_name.values()
            if service.name in host.services
        },
        request_timeout=service.late_after,
        heartbeat=service.silence / HEARTBEATS_UNTIL_SILENT,
        flow_idle=max(FLOW_IDLE_S_BY_WORSE[service.worse], service.silence),
        cold_start=service.cold_start * COLD_STARTS_BY_WORSE[service.worse],
        grace=service.grace,
    )


def _build_target(service: ServiceAnswers, host: HostAnswers) -> Target:
    return Target(
        target_id=host.name,
        host_id=host.name,
        zone=host.zone,
        agent=Address(host.ip, PACKETS_PORT),
        upstream=Address(host.ip, service.port),
        weight=host.strength,
        slots=service.slots,
        connections=service.connections,
    )


def _build_hosts(answers: Answers, zone: Zone) -> Iterator[Host]:
    for role, machine in _machines(answers):
        if machine.zone == zone:
            packets = Address(machine.ip, PACKETS_PORT)
            control = Address(machine.ip, CONTROL_PORT)
            yield Host(machine.name, role, zone, packets, control)


def _format_settings(answers: Answers, role: Role, machine: Machine) -> str:
    team = answers.team
    operators_ip = LOOPBACK_IP
    if team.operators is OperatorAddress.HOST_ADDRESS:
        operators_ip = machine.ip
    options_by_section: dict[str, Mapping[str, object]] = {
        "process": {
            "role": role,
            "host": machine.name,
            "zone": machine.zone,
            "packets": Address(machine.ip, PACKETS_PORT),
            "control": Address(machine.ip, CONTROL_PORT),
            "operators": Address(operators_ip, OPERATORS_PORT),
        },
        "platform": {"url": team.platform},
    }
    seeds = _choose_seeds(answers, machine)
    if seeds:
        options_by_section["seeds"] = {"control": ", ".join(map(str, seeds))}
    options_by_section["limits"] = {
        "grace_s": _find_longest_grace(answers, role, machine)
    }
    options_by_section["log"] = {"level": LogLevel.INFO}
    if role is Role.BALANCER and team.fabric is Fabric.BALANCER_ADDRESS:
        options_by_section["listen"] = _listen_options(answers, machine.ip)
    return format_sections(options_by_section)


def _choose_seeds(answers: Answers, machine: Machine) -> Sequence[Address]:
    """Return control addresses of balancers, those in other zones first."""
    others = [
        balancer
        for balancer in answers.balancers_by_name.values()
        if balancer.name != machine.name
    ]
    others.sort(key=lambda balancer: balancer.zone == machine.zone)
    return [Address(balancer.ip, CONTROL_PORT) for balancer in others[:MAX_SEEDS]]


def _find_longest_grace(answers: Answers, role: Role, machine: Machine) -> float:
    """Return the longest grace period among the services of a process."""
    services = answers.services_by_name.values()
    if role is Role.AGENT:
        services = [answers.services_by_name[name] for name in machine.services]
    return max(service.grace for service in services)


def _listen_options(answers: Answers, ip: str) -> dict[str, object]:
    return {
        name: Address(ip, FIRST_LISTEN_PORT + index)
        for index, name in enumerate(answers.services_by_name)
    }
