"""A deployment on loopback addresses, generated from a team's answers.

All addresses are in ``127.NETWORK.0.0/16``. The answers give the addresses of
the platform, the services, the balancers and the upstream hosts. The simulated
fabric at ``.0.3`` and callers at ``.0.9`` are unknown to the product.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from urllib.parse import urlsplit

from demo.examples import move_to_network, read_example, shorten_times
from lycheeglade.address import Address, Zone, parse_address
from lycheeglade.answers import Answers, format_answers
from lycheeglade.configuration import (
    HOSTS_PREFIX,
    SERVICE_PREFIX,
    format_hosts,
    format_service,
    parse_hosts,
    parse_service,
)
from lycheeglade.generator import SETTINGS_PREFIX, generate_texts, write_texts
from lycheeglade.settings import Settings, parse_settings
from lycheeglade.view import Protocol, Service, State, Target

FABRIC_CONTROL_PORT = 9000
DEFAULT_NETWORK = 20
FEED_PERIOD_S = 0.5
VALUES = "values"
WORK_MS = 10.0
WAYFARER_WORK_MS = 30.0


@dataclass(frozen=True, slots=True)
class ServicePlan:
    """A generated service and the behaviour of its simulated upstreams.

    Attributes
    ----------
    generated : Service
        Service as generated; `targets` replace its targets.
    work_ms : float
        Milliseconds that a small request takes at a target of weight 1.
    cold_start : float
        Seconds from an upstream's start until it reaches full speed.
    period : float
        Seconds between two items of the feed.
    """

    generated: Service
    targets: tuple[Target, ...]
    work_ms: float
    cold_start: float
    period: float = FEED_PERIOD_S

    @property
    def name(self) -> str:
        """Name of the service."""
        return self.generated.name

    @property
    def address(self) -> Address:
        """Address that callers use."""
        return self.generated.addresses[0]

    @property
    def protocol(self) -> Protocol:
        """Protocol that the service's datagrams carry."""
        return self.generated.protocol

    @property
    def heartbeat(self) -> float:
        """Seconds between two notifications of a feed without new items."""
        return self.generated.heartbeat

    @property
    def grace(self) -> float:
        """Seconds that a leaving target has to finish its work."""
        return self.generated.grace

    def format_value(self, leaving: Collection[str] = ()) -> str:
        """Return the value to publish; `leaving` holds target ids."""
        targets_by_id = {
            target.target_id: replace(
                target, state=_get_state(target.target_id, leaving)
            )
            for target in self.targets
        }
        return format_service(replace(self.generated, targets_by_id=targets_by_id))


@dataclass(frozen=True, slots=True)
class BalancerPlan:
    """A balancer host and its generated settings."""

    settings: Settings

    @property
    def host_id(self) -> str:
        """Name of the host."""
        return self.settings.host_id

    @property
    def zone(self) -> Zone:
        """Availability zone of the host."""
        return self.settings.zone

    @property
    def ip(self) -> str:
        """IP of the host."""
        return self.settings.packets.ip

    def listen_address(self, service: ServicePlan) -> Address:
        """Return the address of a service's socket on the balancer."""
        return self.settings.listen_by_service[service.name][0]


@dataclass(frozen=True, slots=True)
class Deployment:
    """A team's answers, with the values and settings generated from them.

    Attributes
    ----------
    text_by_name : Mapping
        Values and settings as ``lycheeglade generate`` writes them.
    settings_by_host : Mapping
        Parsed settings by host id.
    """

    answers: Answers
    network: int
    text_by_name: Mapping[str, str]
    settings_by_host: Mapping[str, Settings]
    services: tuple[ServicePlan, ...]
    balancers: tuple[BalancerPlan, ...]

    def ip(self, third: int, fourth: int) -> str:
        """Return the IP ``127.NETWORK.third.fourth``."""
        return f"127.{self.network}.{third}.{fourth}"

    @property
    def name(self) -> str:
        """Name of the team."""
        return self.answers.team.name

    @property
    def zones(self) -> tuple[Zone, ...]:
        """All availability zones."""
        return self.answers.zones

    @property
    def platform(self) -> Address:
        """Address of the platform."""
        return parse_address(urlsplit(self.answers.team.platform).netloc)

    @property
    def fabric_control(self) -> Address:
        """Control socket of the fabric."""
        return Address(self.ip(0, 3), FABRIC_CONTROL_PORT)

    @property
    def targets(self) -> tuple[Target, ...]:
        """All targets of all services."""
        return tuple(target for service in self.services for target in service.targets)

    @property
    def value_texts_by_name(self) -> dict[str, str]:
        """The values to publish."""
        return {
            name: text
            for name, text in self.text_by_name.items()
            if not name.startswith(SETTINGS_PREFIX)
        }

    def format_hosts_value(self, zone: Zone, leaving: Collection[str] = ()) -> str:
        """Return the hosts list of a zone; `leaving` holds host ids."""
        name = f"{HOSTS_PREFIX}{zone}"
        hosts = parse_hosts(self.text_by_name[name], name)
        return format_hosts(
            replace(host, state=_get_state(host.host_id, leaving)) for host in hosts
        )

    def write(self, folder: Path) -> dict[str, Path]:
        """Write the answers, the values and the settings to `folder`.

        Returns
        -------
        dict of str to Path
            Settings files by host id. The values are below ``values``.
        """
        values = self.value_texts_by_name
        write_texts(values, folder / VALUES)
        settings = {
            name: text for name, text in self.text_by_name.items() if name not in values
        }
        path_by_name = write_texts(settings, folder)
        (folder / "answers.ini").write_text(format_answers(self.answers))
        return {
            name.removeprefix(SETTINGS_PREFIX): path
            for name, path in path_by_name.items()
        }


def plan_deployment(
    answers: Answers, network: int = DEFAULT_NETWORK, work_ms: float = WORK_MS
) -> Deployment:
    """Return the deployment that is generated from `answers`.

    Addresses are moved to `network` and times are shortened to those of a
    trial. The answers must state that the fabric forwards packets to the
    balancers' own addresses, since on one machine only one process can bind
    a service's address.

    Parameters
    ----------
    work_ms : float
        Milliseconds that a small request takes at a target of weight 1.

    Raises
    ------
    ConfigurationError
        If the answers contradict each other.
    """
    answers = move_to_network(shorten_times(answers), network)
    text_by_name = generate_texts(answers, f"answers of {answers.team.name}")
    settings_by_host = {
        name.removeprefix(SETTINGS_PREFIX): parse_settings(text, name)
        for name, text in text_by_name.items()
        if name.startswith(SETTINGS_PREFIX)
    }
    return Deployment(
        answers=answers,
        network=network,
        text_by_name=text_by_name,
        settings_by_host=settings_by_host,
        services=tuple(_plan_services(answers, text_by_name, work_ms)),
        balancers=tuple(
            BalancerPlan(settings_by_host[name]) for name in answers.balancers_by_name
        ),
    )


def plan_reelbure(network: int = DEFAULT_NETWORK) -> Deployment:
    """Return Reelbure's deployment: booth-sync and reel-depot."""
    return plan_deployment(read_example("reelbure"), network)


def plan_wayfarer(network: int = DEFAULT_NETWORK) -> Deployment:
    """Return Wayfarer's deployment: phrasebook and pronounce."""
    return plan_deployment(read_example("wayfarer"), network, WAYFARER_WORK_MS)


PLANS_BY_NAME = {"reelbure": plan_reelbure, "wayfarer": plan_wayfarer}


def _plan_services(
    answers: Answers, text_by_name: Mapping[str, str], work_ms: float
) -> Iterable[ServicePlan]:
    for service in answers.services_by_name.values():
        name = f"{SERVICE_PREFIX}{service.name}"
        generated = parse_service(text_by_name[name], name, revision=0)
        yield ServicePlan(
            generated,
            tuple(generated.targets_by_id.values()),
            work_ms,
            service.cold_start,
        )


def _get_state(name: str, leaving: Collection[str]) -> State:
    return State.LEAVING if name in leaving else State.LIVE
