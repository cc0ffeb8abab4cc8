"""State of an agent, and the actions that its event handlers can take."""

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from lycheeglade.adapters import find_adapter
from lycheeglade.address import Address, Zone
from lycheeglade.admission import Admission, AdmissionLimits
from lycheeglade.flow import FlowKey, hash_flow
from lycheeglade.membership import Membership, find_suspected_targets
from lycheeglade.packet import Answer, Packet
from lycheeglade.routing import CandidateCache
from lycheeglade.served_target import FlowRecord, ServedTarget, TargetKey
from lycheeglade.ticket import TicketRegistry
from lycheeglade.timer import TimerQueue
from lycheeglade.view import Role, Service, Target, View, find_agents

MAX_CACHED_BUCKETS = 4096
MAX_BALANCERS = 4096
BALANCER_FRESH_S = 3.0
MIN_USABLE_BALANCERS = 2


@dataclass(frozen=True, slots=True)
class AgentActions:
    """Actions that an agent's event handlers can take.

    Attributes
    ----------
    send : callable
        Send a packet to a process of the system.
    send_upstream : callable
        Send a datagram to a target's upstream. The flow is given only for
        protocols that need one socket per flow.
    close_upstream : callable
        Close the upstream socket of a flow.
    count : callable
        Count an event by name, service and cause.
    record : callable
        Record a duration in seconds by service, class of work and stage.
    """

    send: Callable[[Address, Packet], None]
    send_upstream: Callable[[TargetKey, FlowKey | None, bytes], None]
    close_upstream: Callable[[TargetKey, FlowKey], None]
    count: Callable[[str, str, str], None]
    record: Callable[[str, str, str, float], None]


@dataclass(slots=True)
class Isolation:
    """Reachability of this agent by balancers, see `lycheeglade.isolation`.

    Attributes
    ----------
    balancer_heard_at : float
        Time of the latest packet of a balancer that wasn't a ping.
    forwarded_at : float
        Time at which a peer last forwarded a caller's datagram.
    ping_rounds : int
        Number of rounds of pings that no balancer has answered.
    """

    balancer_heard_at: float = float("-inf")
    forwarded_at: float = float("-inf")
    ping_rounds: int = 0
    next_round_at: float = float("-inf")
    is_isolated: bool = False


@dataclass(slots=True)
class Agent:
    """State of one agent.

    Attributes
    ----------
    incarnation : int
        Random number that identifies this run of the process.
    id_counter : iterator of int
        Source of identifiers of requests and handoffs, with a random start.
    suspects, confirmed : frozenset of Address
        Agents that are suspected to be down, and those of them that have been
        suspects for long.
    is_view_stale : bool
        Whether the process was paused and hasn't read its view again yet.
    deferred_inputs : deque of callable
        Inputs that are deferred until the view was read again.
    last_heard_by_balancer : OrderedDict
        Time of the latest packet of each balancer, latest last.
    """

    host_id: str
    zone: Zone
    incarnation: int
    key: bytes
    actions: AgentActions
    generator: Random
    membership: Membership
    id_counter: count
    started_at: float
    max_flows: int
    view: View = field(default_factory=View)
    timers: TimerQueue = field(default_factory=TimerQueue)
    candidates: CandidateCache = field(
        default_factory=lambda: CandidateCache(MAX_CACHED_BUCKETS)
    )
    served_by_key: dict[TargetKey, ServedTarget] = field(default_factory=dict)
    last_heard_by_balancer: OrderedDict[Address, float] = field(
        default_factory=OrderedDict
    )
    balancer_zones_by_address: dict[Address, Zone] = field(default_factory=dict)
    agents_by_service: dict[str, frozenset[Address]] = field(default_factory=dict)
    known_addresses: frozenset[Address] = frozenset()
    suspects: frozenset[Address] = frozenset()
    confirmed: frozenset[Address] = frozenset()
    isolation: Isolation = field(default_factory=Isolation)
    stopping: bool = False
    last_tick_at: float | None = None
    is_view_stale: bool = False
    deferred_inputs: deque[Callable[[float], None]] = field(default_factory=deque)

    def next_id(self) -> int:
        """Return an identifier that this process hasn't used before."""
        return next(self.id_counter)


def is_idle(agent: Agent) -> bool:
    """Return whether the agent has no flow, opening, handoff or request."""
    return not any(
        served.has_flows or served.openings_by_flow or served.requests_by_id
        for served in agent.served_by_key.values()
    )


def suspected_targets(agent: Agent, service: Service) -> frozenset[str]:
    """Return the targets of `service` whose agents are suspected."""
    if not agent.suspects:
        return frozenset()
    return find_suspected_targets(service, agent.suspects, agent.confirmed)


def rank_flow(agent: Agent, served: ServedTarget, flow: FlowKey) -> tuple[Target, ...]:
    """Return the candidates of `flow` by this agent's own view, best first."""
    return agent.candidates.rank(
        served.service, hash_flow(flow), suspected_targets(agent, served.service)
    )


def send_packet(agent: Agent, address: Address, packet: Packet, now: float) -> None:
    """Send `packet` and expect a reply that shows its receiver to be up."""
    agent.membership.record_sent(address, now)
    agent.actions.send(address, packet)


def find_usable_balancers(agent: Agent, service: Service, now: float) -> list[Address]:
    """Return the balancers that may forward answers of `service`, best first.

    Balancers heard within `BALANCER_FRESH_S` come first, latest first. If
    there are fewer than `MIN_USABLE_BALANCERS` of them, the other published
    balancers follow in random order.
    """
    zones = agent.balancer_zones_by_address
    fresh = [
        address
        for address in reversed(agent.last_heard_by_balancer)
        if now - agent.last_heard_by_balancer[address] < BALANCER_FRESH_S
        and address in zones
        and service.permits(zones[address])
    ]
    if len(fresh) >= MIN_USABLE_BALANCERS:
        return fresh
    other_balancers = [
        address
        for address, zone in zones.items()
        if service.permits(zone) and address not in fresh
    ]
    agent.generator.shuffle(other_balancers)
    return fresh + other_balancers


def answer_caller(
    agent: Agent, served: ServedTarget, record: FlowRecord, datagram: bytes
) -> None:
    """Send a datagram to the caller through the flow's latest balancer."""
    agent.actions.send(record.balancer, make_answer(served, record.flow, datagram))


def make_answer(served: ServedTarget, flow: FlowKey, datagram: bytes) -> Answer:
    """Return the packet that carries `datagram` to the flow's caller."""
    return Answer(
        served.service.name,
        served.target.target_id,
        flow.caller_ip,
        flow.caller_port,
        datagram,
    )


def update_known_addresses(agent: Agent, view: View) -> None:
    """Update the addresses of the processes of the system from `view`.

    The function must be called before `agent.view` is replaced.
    """
    agent.balancer_zones_by_address = {
        host.packets: host.zone
        for host in view.hosts_by_id.values()
        if host.role is Role.BALANCER
    }
    agent.agents_by_service = find_agents(view, agent.view, agent.agents_by_service)
    hosts = {host.packets for host in view.hosts_by_id.values()}
    agent.known_addresses = frozenset(hosts).union(*agent.agents_by_service.values())


def make_served_target(
    agent: Agent, service: Service, target: Target, now: float
) -> ServedTarget:
    """Return the initial state of a target that this agent serves."""
    minter = f"{service.name}/{target.target_id}/{agent.host_id}"
    limits = AdmissionLimits(target.slots, target.connections, service.cold_start)
    return ServedTarget(
        service=service,
        target=target,
        adapter=find_adapter(service.protocol),
        ticket_registry=TicketRegistry(
            agent.key,
            minter,
            agent.incarnation,
            lifetime=_ticket_lifetime(service),
        ),
        admission=Admission(limits, now, agent.generator),
        settled_at=now + service.flow_idle,
    )


def _ticket_lifetime(service: Service) -> float:
    """Return the time for which outcomes of requests are kept, in seconds.

    By RFC 7252, a copy of a message may arrive up to 247 s after the first
    transmission.
    """
    return max(300.0, 2 * service.request_timeout)
