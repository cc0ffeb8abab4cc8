"""Questionnaire about a team's services, places, hosts and tolerances."""

from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import replace
from pathlib import Path

from lycheeglade.address import Zone
from lycheeglade.answers import (
    Answers,
    BalancerAnswers,
    HostAnswers,
    ServiceAnswers,
    TeamAnswers,
    format_answers,
    parse_answers,
)
from lycheeglade.configuration import (
    MAX_WEIGHT,
    MIN_WEIGHT,
)
from lycheeglade.contradictions import find_contradictions
from lycheeglade.errors import ConfigurationError
from lycheeglade.numbering import choose_free_ip, count_free_ips
from lycheeglade.options import parse_name
from lycheeglade.prompter import (
    Ask,
    Prompter,
    QuestionnaireError,
    ShowLine,
    list_of,
    number_in,
)
from lycheeglade.questions import SERVICE_QUESTIONS, TEAM_QUESTIONS, ask_fields
from lycheeglade.settings import read_text

MAX_HOSTS_A_ZONE = 1000

SaveAnswers = Callable[[Answers], None]
NO_ANSWERS = Answers(
    TeamAnswers("", "", "10.1.0.0/24", "10.2.0.0/24", "10.10.0.0/24"), {}, {}, {}, {}
)


def ask_and_save(path: Path, ask: Ask, show: ShowLine) -> Answers:
    """Ask all questions and write the answers to `path`.

    Earlier answers in the file are the defaults. Answers that contradict each
    other are written too, so that they can be corrected in the file. If the
    questionnaire is interrupted, the answers given so far are written.

    Raises
    ------
    QuestionnaireError
        If a question gets no valid answer.
    ConfigurationError
        If the earlier answers can't be read, or if the answers contradict
        each other.
    """
    earlier = None
    if path.exists():
        earlier = parse_answers(read_text(path), str(path))
    saved: list[Answers] = []
    try:
        answers = ask_answers(Prompter(ask, show), earlier, saved.append)
    except (QuestionnaireError, KeyboardInterrupt):
        if saved:
            path.write_text(format_answers(saved[-1]), encoding="utf-8")
            show(
                f"Your answers so far are in {path}. To continue, run lycheeglade "
                f"questionnaire -o {path} again."
            )
        raise
    path.write_text(format_answers(answers), encoding="utf-8")
    contradictions = find_contradictions(answers, str(path))
    if contradictions:
        show(
            f"Your answers are in {path}, but they contradict each other. Edit "
            f"the file, or run lycheeglade questionnaire -o {path} again to be "
            "asked with these answers as defaults."
        )
        raise ConfigurationError(
            f"answers in {path} contradict each other", contradictions
        )
    show(f"Your answers are in {path}. Next: lycheeglade generate {path}")
    return answers


def ask_answers(
    prompter: Prompter, earlier: Answers | None, save: SaveAnswers
) -> Answers:
    """Ask all questions, with `earlier` answers as the defaults.

    `save` is called with all answers known so far: once the questions about
    the team are answered, and then whenever answers are added.
    """
    is_first = earlier is None
    answers = earlier or NO_ANSWERS
    team = ask_fields(prompter, answers.team, TEAM_QUESTIONS)
    answers = replace(answers, team=team)
    save(answers)
    answers = _ask_places(prompter, answers, save)
    answers = _ask_services(prompter, answers, save)
    answers = _ask_balancers(prompter, answers, is_first, save)
    return _ask_hosts(prompter, answers, is_first, save)


def _ask_places(prompter: Prompter, answers: Answers, save: SaveAnswers) -> Answers:
    earlier = answers.zones_by_region
    regions = prompter.ask_for(
        "In which regions do you have hosts (names, separated by commas)?",
        _join(earlier),
        list_of(parse_name),
    )
    zones_by_region = {name: earlier[name] for name in regions if name in earlier}
    for region in regions:
        zones_by_region[region] = prompter.ask_for(
            f"Which availability zones do you use in {region}?",
            _join(earlier.get(region, ())),
            list_of(parse_name),
        )
        save(replace(answers, zones_by_region=dict(zones_by_region)))
    ordered = {region: zones_by_region[region] for region in regions}
    return replace(answers, zones_by_region=ordered)


def _ask_services(prompter: Prompter, answers: Answers, save: SaveAnswers) -> Answers:
    earlier = answers.services_by_name
    used = {service.ip for service in earlier.values()}
    names = prompter.ask_for(
        "Which services do you offer (names, separated by commas)?",
        _join(earlier),
        _service_names_parser(earlier, answers.team.services, used),
    )
    services_by_name = {name: earlier[name] for name in names if name in earlier}

    def save_service(service: ServiceAnswers) -> None:
        services_by_name[service.name] = service
        save(replace(answers, services_by_name=dict(services_by_name)))

    for name in names:
        known = earlier.get(name)
        if known is None:
            ip = choose_free_ip(answers.team.services, used)
            used.add(ip)
            known = ServiceAnswers(name, ip, tuple(answers.zones_by_region), feeds=0)
        ask_fields(prompter, known, SERVICE_QUESTIONS, f"{name}: ", save_service)
    ordered = {name: services_by_name[name] for name in names}
    return replace(answers, services_by_name=ordered)


def _service_names_parser(
    earlier: Collection[str], network: str, used: Collection[str]
) -> Callable[[str], tuple[str, ...]]:
    """Return a parser of service names.

    It rejects more new services than `network` has free addresses.
    """
    parse_names = list_of(parse_name)

    def parse(text: str) -> tuple[str, ...]:
        names = parse_names(text)
        new = [name for name in names if name not in earlier]
        _require_free_ips(network, used, len(new))
        return names

    return parse


def _ask_balancers(
    prompter: Prompter, answers: Answers, is_first: bool, save: SaveAnswers
) -> Answers:
    earlier = answers.balancers_by_name
    used = {balancer.ip for balancer in earlier.values()}
    balancers_by_name = dict(earlier)
    asked_by_name = {}
    for zone in answers.zones:
        known = [item for item in earlier.values() if item.zone == zone]
        count = prompter.ask_for(
            f"How many entry hosts do you have in {zone}?",
            1 if is_first else len(known),
            _host_count_parser(len(known), answers.team.balancers, used),
        )
        for item in known:
            del balancers_by_name[item.name]
        for name in _choose_names(f"{zone.name}-balancer", known, earlier, count):
            balancer = earlier.get(name)
            if balancer is None:
                ip = choose_free_ip(answers.team.balancers, used)
                used.add(ip)
                balancer = BalancerAnswers(name, ip, zone)
            asked_by_name[name] = balancer
        merged = {**asked_by_name, **balancers_by_name}
        save(replace(answers, balancers_by_name=merged))
    return replace(answers, balancers_by_name=asked_by_name)


def _ask_hosts(
    prompter: Prompter, answers: Answers, is_first: bool, save: SaveAnswers
) -> Answers:
    earlier = answers.hosts_by_name
    used = {host.ip for host in earlier.values()}
    remaining_by_name = dict(earlier)
    asked_by_name = {}

    def save_hosts() -> None:
        merged = {**asked_by_name, **remaining_by_name}
        save(replace(answers, hosts_by_name=merged))

    for service in answers.services_by_name.values():
        for zone in answers.zones:
            if zone.region not in service.places and str(zone) not in service.places:
                continue
            known = [
                host
                for host in earlier.values()
                if host.zone == zone and host.services[:1] == (service.name,)
            ]
            hosts = _ask_host_count(
                prompter, answers, known, is_first, service, zone, used
            )
            for host in known:
                del remaining_by_name[host.name]
            asked_by_name.update((host.name, host) for host in hosts)
            save_hosts()
            for host in hosts:
                strength = prompter.ask_for(
                    f"{service.name}: how strong is {host.name} "
                    "(1 is an ordinary host)?",
                    host.strength,
                    number_in(float, MIN_WEIGHT, MAX_WEIGHT),
                )
                asked_by_name[host.name] = replace(host, strength=strength)
                save_hosts()
    return replace(answers, hosts_by_name=asked_by_name)


def _ask_host_count(
    prompter: Prompter,
    answers: Answers,
    known: Sequence[HostAnswers],
    is_first: bool,
    service: ServiceAnswers,
    zone: Zone,
    used: set[str],
) -> list[HostAnswers]:
    """Ask for the hosts in `zone` whose first service is `service`."""
    count = prompter.ask_for(
        f"{service.name}: how many upstream hosts serve it in {zone}?",
        1 if is_first else len(known),
        _host_count_parser(len(known), answers.team.upstreams, used),
    )
    known_by_name = {host.name: host for host in known}
    names = _choose_names(
        f"{zone.name}-{service.name}", known, answers.hosts_by_name, count
    )
    hosts = []
    for name in names:
        host = known_by_name.get(name)
        if host is None:
            ip = choose_free_ip(answers.team.upstreams, used)
            used.add(ip)
            host = HostAnswers(name, ip, zone, (service.name,))
        hosts.append(host)
    return hosts


def _host_count_parser(
    known: int, network: str, used: Collection[str]
) -> Callable[[str], int]:
    """Return a parser of the number of hosts.

    It rejects more new hosts than `network` has free addresses.
    """
    parse_number = number_in(int, 0, MAX_HOSTS_A_ZONE)

    def parse(text: str) -> int:
        count = parse_number(text)
        _require_free_ips(network, used, count - known)
        return count

    return parse


def _require_free_ips(network: str, used: Collection[str], count: int) -> None:
    """Raise `ValueError` if `network` has fewer than `count` free IPs."""
    free = count_free_ips(network, used, max(count, 0))
    if count > free:
        raise ValueError(f"network {network} has only {free} free addresses")


def _choose_names(
    prefix: str,
    known: Iterable[BalancerAnswers | HostAnswers],
    taken: Iterable[str],
    count: int,
) -> list[str]:
    """Return `count` names: those of `known` items, then new ones."""
    names = [item.name for item in known][:count]
    taken = {*taken, *names}
    number = 1
    while len(names) < count:
        name = f"{prefix}-{number}"
        if name not in taken:
            names.append(name)
        number += 1
    return names


def _join(names: Iterable[str]) -> str:
    return ", ".join(names)
