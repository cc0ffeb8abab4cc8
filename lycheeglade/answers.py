"""What a team answered about its services, places, hosts and tolerances."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from lycheeglade.address import Zone
from lycheeglade.view import Protocol


class Fabric(StrEnum):
    """What address a packet carries when the fabric hands it to a balancer."""

    SERVICE_ADDRESS = "service-address"
    BALANCER_ADDRESS = "balancer-address"


class Operators(StrEnum):
    """Where the processes answer operators."""

    LOOPBACK = "loopback"
    HOST_ADDRESS = "host-address"


class Worse(StrEnum):
    """Which outcome a team weighs more heavily."""

    BROKEN_FLOWS = "broken-flows"
    IMBALANCE = "imbalance"


@dataclass(frozen=True, slots=True)
class TeamAnswers:
    """The team, and the networks that new hosts get their addresses from.

    Attributes
    ----------
    balancers, upstreams, services : str
        Networks, such as ``127.1.0.0/24``. The questionnaire proposes their
        free addresses; what is generated uses the addresses of the hosts.
    """

    name: str
    platform: str
    balancers: str
    upstreams: str
    services: str
    fabric: Fabric = Fabric.SERVICE_ADDRESS
    operators: Operators = Operators.LOOPBACK


@dataclass(frozen=True, slots=True)
class ServiceAnswers:
    """One service, as its team describes it.

    Attributes
    ----------
    places : tuple of str
        Regions and zones where its traffic may be handled.
    feeds : int
        Callers that hold a feed or stream at the busiest moment.
    slots, connections : int
        Requests and flows that one upstream takes at once.
    longest_request, late_after : float
        Seconds that a request may need, and after which its answer is
        useless.
    silence : float
        Seconds after which a caller should know that its feed went silent.
    grace : float
        Seconds that a leaving upstream gets to finish its work.
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
    worse: Worse = Worse.BROKEN_FLOWS


@dataclass(frozen=True, slots=True)
class BalancerAnswers:
    """One entry host."""

    name: str
    ip: str
    zone: Zone


@dataclass(frozen=True, slots=True)
class HostAnswers:
    """One upstream host.

    Attributes
    ----------
    services : tuple of str
        Services that an upstream on this host serves.
    strength : float
        Strength relative to an ordinary host, above zero.
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
        """All the zones that the team has named."""
        return tuple(
            Zone(region, name)
            for region, names in self.zones_by_region.items()
            for name in names
        )
