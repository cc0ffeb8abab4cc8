"""The published configuration as one process knows it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from lycheeglade.address import Address, Zone


class Protocol(StrEnum):
    """What a service's datagrams are read as."""

    COAP = "coap"
    DATAGRAM = "datagram"


class State(StrEnum):
    """Whether a target or a host takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(StrEnum):
    """Which process of the system runs on a host."""

    BALANCER = "balancer"
    AGENT = "agent"


@dataclass(frozen=True, slots=True)
class Target:
    """One upstream process that serves a service.

    Attributes
    ----------
    target_id : str
        Unique within the service.
    host_id : str
        Host of the upstream and of its agent.
    agent : Address
        Where the host's agent receives packets.
    upstream : Address
        Where the upstream receives the service's datagrams.
    weight : float
        Relative strength, above zero.
    slots : int
        Requests that the upstream runs at once.
    connections : int
        Flows that the upstream holds at once.
    """

    target_id: str
    host_id: str
    zone: Zone
    agent: Address
    upstream: Address
    weight: float = 1.0
    slots: int = 1
    connections: int = 2000
    state: State = State.LIVE


@dataclass(frozen=True, slots=True)
class Service:
    """A declared service and the targets behind it.

    Attributes
    ----------
    places : tuple of str
        Regions (``REGION``) and zones (``REGION/ZONE``) where the traffic
        may be handled.
    request_timeout : float
        Seconds after which a request is given up.
    heartbeat : float
        Seconds between two notifications of a silent feed.
    flow_idle : float
        Seconds after which a silent flow without a feed is forgotten.
    cold_start : float
        Seconds over which a target that just started ramps up.
    grace : float
        Seconds that a leaving target gets to finish its work.
    """

    name: str
    tenant: str
    revision: int
    protocol: Protocol
    addresses: tuple[Address, ...]
    places: tuple[str, ...]
    targets_by_id: Mapping[str, Target]
    request_timeout: float = 10.0
    heartbeat: float = 10.0
    flow_idle: float = 300.0
    cold_start: float = 10.0
    grace: float = 30.0

    def permits(self, zone: Zone) -> bool:
        """Tell whether the service's traffic may be handled in `zone`."""
        return zone.region in self.places or str(zone) in self.places


@dataclass(frozen=True, slots=True)
class Host:
    """A host of the platform's list, which lags."""

    host_id: str
    role: Role
    zone: Zone
    packets: Address
    control: Address
    state: State = State.LIVE


@dataclass(frozen=True, slots=True)
class View:
    """All that the platform has published up to one revision."""

    revision: int = 0
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    hosts_by_id: Mapping[str, Host] = field(default_factory=dict)


def find_agents(
    view: View, previous: View, known: Mapping[str, frozenset[Address]]
) -> dict[str, frozenset[Address]]:
    """Return the agents of each service.

    Parameters
    ----------
    previous : View
        The view that `known` was found for. What it shares with `view` isn't
        looked at again.
    """
    agents_by_service = {}
    for name, service in view.services_by_name.items():
        agents = known.get(name)
        if previous.services_by_name.get(name) is not service:
            found = frozenset(t.agent for t in service.targets_by_id.values())
            # An equal set stays the same object, so that it needs no merging.
            agents = agents if agents == found else found
        agents_by_service[name] = agents
    return agents_by_service
