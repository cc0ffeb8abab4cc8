"""Shipped example answers, adapted for trials on one machine."""

from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

from lycheeglade.answers import Answers, ServiceAnswers, parse_answers
from lycheeglade.settings import read_text

EXAMPLES_FOLDER = Path(__file__).resolve().parent.parent / "examples"
EXAMPLES_BY_NAME = {path.stem: path for path in sorted(EXAMPLES_FOLDER.glob("*.ini"))}
TRIAL_FEEDS = 400
# Trials last a few seconds; longer times in the answers are cut to these.
MAX_TRIAL_TIMES_S = {
    "longest_request": 5.0,
    "late_after": 10.0,
    "silence": 6.0,
    "grace": 10.0,
    "cold_start": 2.0,
}


def read_example(name: str) -> Answers:
    """Return the answers of a shipped example.

    Raises
    ------
    KeyError
        If there is no example called `name`.
    ConfigurationError
        If the answers cannot be parsed.
    """
    path = EXAMPLES_BY_NAME[name]
    return parse_answers(read_text(path), str(path))


def shorten_times(answers: Answers) -> Answers:
    """Return the answers with feeds and times cut to those of a trial."""
    return replace(
        answers,
        services_by_name={
            name: _shorten_service_times(service)
            for name, service in answers.services_by_name.items()
        },
    )


def _shorten_service_times(service: ServiceAnswers) -> ServiceAnswers:
    times = {
        name: min(getattr(service, name), longest)
        for name, longest in MAX_TRIAL_TIMES_S.items()
    }
    return replace(service, feeds=min(service.feeds, TRIAL_FEEDS), **times)


def move_to_network(answers: Answers, network: int) -> Answers:
    """Return the answers with all addresses in ``127.NETWORK.0.0/16``.

    Raises
    ------
    ValueError
        If an address is not a loopback address.
    """
    team = answers.team
    scheme, _, platform = team.platform.partition("://")

    def move_all(machines_by_name):
        return {
            name: replace(machine, ip=_move_address(machine.ip, network))
            for name, machine in machines_by_name.items()
        }

    return replace(
        answers,
        team=replace(
            team,
            platform=f"{scheme}://{_move_address(platform, network)}",
            balancers=_move_address(team.balancers, network),
            upstreams=_move_address(team.upstreams, network),
            services=_move_address(team.services, network),
        ),
        services_by_name=move_all(answers.services_by_name),
        balancers_by_name=move_all(answers.balancers_by_name),
        hosts_by_name=move_all(answers.hosts_by_name),
    )


def _move_address(address: str, network: int) -> str:
    """Return a loopback address or prefix moved to another network."""
    first, _, others = address.partition(".")
    if first != "127":
        raise ValueError(f"{address} is not on the loopback network")
    _, _, host = others.partition(".")
    return f"127.{network}.{host}"


def keep_subset(
    answers: Answers, balancers: int, hosts_by_service: Mapping[str, int]
) -> Answers:
    """Return the answers reduced to some machines and services.

    Parameters
    ----------
    balancers : int
        Number of balancers to keep, counted from the first.
    hosts_by_service : Mapping
        Services to keep, each with its number of hosts, counted from the
        first.
    """
    hosts = answers.hosts_by_name.values()
    kept_hosts = [
        host
        for service, count in hosts_by_service.items()
        for host in [host for host in hosts if service in host.services][:count]
    ]
    return replace(
        answers,
        services_by_name={
            name: answers.services_by_name[name] for name in hosts_by_service
        },
        balancers_by_name=dict(list(answers.balancers_by_name.items())[:balancers]),
        hosts_by_name={host.name: host for host in kept_hosts},
    )
