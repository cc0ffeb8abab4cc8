"""Published configuration as one process has received it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

from msgspec import Meta

from lycheeglade.address import Address, Zone


class Protocol(StrEnum):
    """Protocol of a service's datagrams."""

    COAP = "coap"
    DATAGRAM = "datagram"


class State(StrEnum):
    """Whether a target or a host takes new work."""

    LIVE = "live"
    LEAVING = "leaving"


class Role(StrEnum):
    """Kind of process that runs on a host."""

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
        Host on which the upstream and its agent run.
    agent : Address
        Address at which the host's agent receives packets.
    upstream : Address
        Address at which the upstream receives the service's datagrams.
    weight : float
        Relative share of the load, above zero.
    slots : int
        Number of requests that the upstream runs concurrently. A target
        without any is not decoded: loads are divided by it.
    connections : int
        Number of flows that the upstream holds at the same time.
    lifetime : int
        Start of the upstream's process in Unix milliseconds, or 0 if it is
        not reported. A restart under the same ID starts a new lifetime.
    warmup_left : float
        Seconds for which the target stays slow, as last reported.
    registration : int
        Revision of the store at which the other fields last changed, 0 if it
        is not known. It rises from one lifetime at an address to the next,
        since targets that have ended write nothing.
    """

    target_id: str
    host_id: str
    zone: Zone
    agent: Address
    upstream: Address
    weight: float = 1.0
    slots: Annotated[int, Meta(ge=1)] = 1
    connections: int = 2000
    state: State = State.LIVE
    lifetime: int = 0
    warmup_left: float = 0.0
    registration: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A declared service and its targets.

    Attributes
    ----------
    places : tuple of str
        Regions (``REGION``) and zones (``REGION/ZONE``) in which the traffic
        may be processed.
    request_timeout : float
        Seconds after which a request times out.
    heartbeat : float
        Seconds between two notifications of a feed without new items.
    flow_idle : float
        Seconds without traffic after which a flow without a feed expires.
    cold_start : float
        Seconds over which the load of a newly started target ramps up.
    grace : float
        Seconds that a leaving target has to finish its work.
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
        """Return whether the service's traffic may be processed in `zone`."""
        return zone.region in self.places or str(zone) in self.places


@dataclass(frozen=True, slots=True)
class Host:
    """A host of the published list, which may lag behind the real hosts."""

    host_id: str
    role: Role
    zone: Zone
    packets: Address
    control: Address
    state: State = State.LIVE


@dataclass(frozen=True, slots=True)
class View:
    """Everything that the platform has published up to one revision."""

    revision: int = 0
    services_by_name: Mapping[str, Service] = field(default_factory=dict)
    hosts_by_id: Mapping[str, Host] = field(default_factory=dict)


def find_agents(
    view: View, previous: View, known: Mapping[str, frozenset[Address]]
) -> dict[str, frozenset[Address]]:
    """Return the addresses of the agents of each service.

    Parameters
    ----------
    previous : View
        View for which `known` was computed. Services that it shares with
        `view` aren't computed again.
    """
    agents_by_service = {}
    for name, service in view.services_by_name.items():
        agents = known.get(name)
        if previous.services_by_name.get(name) is not service:
            found = frozenset(t.agent for t in service.targets_by_id.values())
            # Callers detect an unchanged set by identity and skip merging it.
            agents = agents if agents == found else found
        agents_by_service[name] = agents
    return agents_by_service
