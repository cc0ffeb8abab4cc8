"""Asks a team about its services, places, hosts and tolerances."""

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import replace
from pathlib import Path

from lycheeglade.address import Zone
from lycheeglade.answers import (
    MAX_COLD_START_S,
    MAX_FABRIC_NOTICE_S,
    MAX_FEEDS,
    Answers,
    BalancerAnswers,
    Fabric,
    HostAnswers,
    Operators,
    ServiceAnswers,
    TeamAnswers,
    Worse,
    format_answers,
    parse_answers,
    parse_network,
)
from lycheeglade.configuration import (
    MAX_CONNECTIONS,
    MAX_SECONDS,
    MAX_SLOTS,
    MAX_WEIGHT,
    MIN_WEIGHT,
    parse_place,
)
from lycheeglade.contradictions import find_contradictions
from lycheeglade.errors import ConfigurationError
from lycheeglade.numbering import choose_free_ip, count_free_ips
from lycheeglade.options import parse_name
from lycheeglade.prompter import Ask, Prompter, Tell, list_of, number_in, one_of
from lycheeglade.settings import MAX_GRACE_S, parse_url, read_text
from lycheeglade.view import Protocol

MAX_HOSTS_A_ZONE = 1000


def ask_and_save(path: Path, ask: Ask, tell: Tell) -> Answers:
    """Ask everything and write the answers to `path`.

    Earlier answers in that file are the defaults. Answers that contradict
    each other are written too, so that they can be mended in the file.

    Raises
    ------
    QuestionnaireError
        If a question isn't answered; the file is left as it was.
    ConfigurationError
        If the earlier answers can't be read, or if the answers contradict
        each other.
    """
    earlier = None
    if path.exists():
        earlier = parse_answers(read_text(path), str(path))
    answers = ask_answers(Prompter(ask, tell), earlier)
    path.write_text(format_answers(answers), encoding="utf-8")
    contradictions = find_contradictions(answers, str(path))
    if contradictions:
        tell(
            f"Your answers are in {path}, but they contradict each other. Edit "
            f"the file, or run lycheeglade questionnaire -o {path} again to be "
            "asked with these answers as defaults."
        )
        raise ConfigurationError(f"{path} contradicts itself", contradictions)
    tell(f"Your answers are in {path}. Next: lycheeglade generate {path}")
    return answers


def ask_answers(prompter: Prompter, earlier: Answers | None) -> Answers:
    """Ask everything; `earlier` answers are the defaults."""
    if earlier is None:
        earlier = Answers(TeamAnswers("", "", "", "", ""), {}, {}, {}, {})
    team = _ask_team(prompter, earlier.team)
    zones_by_region = _ask_places(prompter, earlier.zones_by_region)
    answers = Answers(team, zones_by_region, {}, {}, earlier.hosts_by_name)
    services_by_name = _ask_services(prompter, answers, earlier.services_by_name)
    answers = replace(answers, services_by_name=services_by_name)
    balancers_by_name = _ask_balancers(prompter, answers, earlier.balancers_by_name)
    hosts_by_name = _ask_hosts(prompter, answers, earlier.hosts_by_name)
    return replace(
        answers, balancers_by_name=balancers_by_name, hosts_by_name=hosts_by_name
    )


def _ask_team(prompter: Prompter, earlier: TeamAnswers) -> TeamAnswers:
    ask_for = prompter.ask_for
    return TeamAnswers(
        name=ask_for("What is your team called?", earlier.name, parse_name),
        platform=ask_for(
            "At which URL is the platform's configuration service read?",
            earlier.platform,
            parse_url,
        ),
        balancers=ask_for(
            "From which network do your entry hosts get their IPs?",
            earlier.balancers or "10.1.0.0/24",
            parse_network,
        ),
        upstreams=ask_for(
            "From which network do the hosts of your upstreams get their IPs?",
            earlier.upstreams or "10.2.0.0/24",
            parse_network,
        ),
        services=ask_for(
            "From which network do your services get the IPs that callers use?",
            earlier.services or "10.10.0.0/24",
            parse_network,
        ),
        fabric=ask_for(
            "When the fabric hands a packet to an entry host, does the packet "
            "carry the service's address (service-address) or the address of "
            "the entry host (balancer-address)?",
            earlier.fabric,
            one_of(Fabric),
        ),
        fabric_notice=ask_for(
            "For how many seconds does the fabric still hand packets to an "
            "entry host that has died?",
            earlier.fabric_notice,
            number_in(float, 0, MAX_FABRIC_NOTICE_S),
        ),
        operators=ask_for(
            "Is the state of a process read on its host only (loopback), or "
            "over the network of the hosts (host-address)?",
            earlier.operators,
            one_of(Operators),
        ),
    )


def _ask_places(
    prompter: Prompter, earlier: Mapping[str, tuple[str, ...]]
) -> dict[str, tuple[str, ...]]:
    regions = prompter.ask_for(
        "In which regions do you have hosts (names, separated by commas)?",
        _join(earlier),
        list_of(parse_name),
    )
    return {
        region: prompter.ask_for(
            f"Which availability zones do you use in {region}?",
            _join(earlier.get(region, ())),
            list_of(parse_name),
        )
        for region in regions
    }


def _ask_services(
    prompter: Prompter, answers: Answers, earlier: Mapping[str, ServiceAnswers]
) -> dict[str, ServiceAnswers]:
    names = prompter.ask_for(
        "Which services do you offer (names, separated by commas)?",
        _join(earlier),
        list_of(parse_name),
    )
    used = {earlier[name].ip for name in names if name in earlier}
    services_by_name = {}
    for name in names:
        known = earlier.get(name)
        if known is None:
            ip = choose_free_ip(answers.team.services, used)
            used.add(ip)
            known = ServiceAnswers(name, ip, tuple(answers.zones_by_region), feeds=0)
        services_by_name[name] = _ask_service(prompter, known)
    return services_by_name


def _ask_service(prompter: Prompter, known: ServiceAnswers) -> ServiceAnswers:
    name = known.name

    def ask_for(question: str, default: object, parse: Callable) -> object:
        return prompter.ask_for(f"{name}: {question}", default, parse)

    seconds = number_in(float, 0.1, MAX_SECONDS)
    return replace(
        known,
        places=ask_for(
            "where may its traffic be handled (regions, or REGION/ZONE)?",
            _join(known.places),
            list_of(parse_place),
        ),
        protocol=ask_for(
            "do callers speak CoAP (coap), or is each datagram to be passed "
            "on unread (datagram)?",
            known.protocol,
            one_of(Protocol),
        ),
        feeds=ask_for(
            "how many callers hold a feed or stream at the busiest moment?",
            known.feeds,
            number_in(int, 0, MAX_FEEDS),
        ),
        slots=ask_for(
            "how many requests does one upstream work on at once?",
            known.slots,
            number_in(int, 1, MAX_SLOTS),
        ),
        connections=ask_for(
            "how many callers can one upstream hold at once?",
            known.connections,
            number_in(int, 1, MAX_CONNECTIONS),
        ),
        longest_request=ask_for(
            "how many seconds does the longest request take?",
            known.longest_request,
            seconds,
        ),
        late_after=ask_for(
            "after how many seconds is an answer of no use any more?",
            known.late_after,
            seconds,
        ),
        silence=ask_for(
            "within how many seconds must a caller know that its feed is dead?",
            known.silence,
            number_in(float, 1, MAX_SECONDS),
        ),
        grace=ask_for(
            "how many seconds does an upstream that leaves get to finish?",
            known.grace,
            number_in(float, 0, MAX_GRACE_S),
        ),
        cold_start=ask_for(
            "how many seconds after its start is an upstream at full speed?",
            known.cold_start,
            number_in(float, 0, MAX_COLD_START_S),
        ),
        worse=ask_for(
            "what is worse for you, flows that break (broken-flows) or some "
            "upstreams with too much work (imbalance)?",
            known.worse,
            one_of(Worse),
        ),
    )


def _ask_balancers(
    prompter: Prompter, answers: Answers, earlier: Mapping[str, BalancerAnswers]
) -> dict[str, BalancerAnswers]:
    used = {balancer.ip for balancer in earlier.values()}
    balancers_by_name = {}
    for zone in answers.zones:
        known = [item for item in earlier.values() if item.zone == zone]
        count = prompter.ask_for(
            f"How many entry hosts do you have in {zone}?",
            len(known) if earlier else 1,
            _number_of_hosts(len(known), answers.team.balancers, used),
        )
        names = _names_for(f"{zone.name}-balancer", known, earlier, count)
        for name in names:
            balancer = earlier.get(name)
            if balancer is None:
                ip = choose_free_ip(answers.team.balancers, used)
                used.add(ip)
                balancer = BalancerAnswers(name, ip, zone)
            balancers_by_name[name] = balancer
    return balancers_by_name


def _ask_hosts(
    prompter: Prompter, answers: Answers, earlier: Mapping[str, HostAnswers]
) -> dict[str, HostAnswers]:
    used = {host.ip for host in earlier.values()}
    hosts_by_name = {}
    for service in answers.services_by_name.values():
        for zone in answers.zones:
            if zone.region in service.places or str(zone) in service.places:
                for host in _ask_hosts_of(
                    prompter, answers, earlier, service, zone, used
                ):
                    hosts_by_name[host.name] = host
    return hosts_by_name


def _ask_hosts_of(
    prompter: Prompter,
    answers: Answers,
    earlier: Mapping[str, HostAnswers],
    service: ServiceAnswers,
    zone: Zone,
    used: set[str],
) -> list[HostAnswers]:
    """Ask for the hosts in `zone` that serve `service` before any other."""
    known = [
        host
        for host in earlier.values()
        if host.zone == zone and host.services[:1] == (service.name,)
    ]
    count = prompter.ask_for(
        f"{service.name}: how many upstream hosts serve it in {zone}?",
        len(known) if earlier else 1,
        _number_of_hosts(len(known), answers.team.upstreams, used),
    )
    hosts = []
    for name in _names_for(f"{zone.name}-{service.name}", known, earlier, count):
        host = earlier.get(name)
        if host is None:
            ip = choose_free_ip(answers.team.upstreams, used)
            used.add(ip)
            host = HostAnswers(name, ip, zone, (service.name,))
        strength = prompter.ask_for(
            f"{service.name}: how strong is {name} (1 is an ordinary host)?",
            host.strength,
            number_in(float, MIN_WEIGHT, MAX_WEIGHT),
        )
        hosts.append(replace(host, strength=strength))
    return hosts


def _number_of_hosts(
    known: int, network: str, used: Collection[str]
) -> Callable[[str], int]:
    """Return a parser of a number of hosts that `network` has room for."""
    parse_number = number_in(int, 0, MAX_HOSTS_A_ZONE)

    def parse(text: str) -> int:
        count = parse_number(text)
        free = count_free_ips(network, used, MAX_HOSTS_A_ZONE)
        if count - known > free:
            raise ValueError(f"network {network} has only {free} free addresses")
        return count

    return parse


def _names_for(
    prefix: str,
    known: Iterable[BalancerAnswers | HostAnswers],
    taken: Iterable[str],
    count: int,
) -> list[str]:
    """Return `count` names: those `known`, then unused ones."""
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
