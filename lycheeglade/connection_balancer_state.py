"""State of a balancer that handles connections, and how it sends messages."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.answer_time import AnswerTime
from lycheeglade.connection_limits import DEFAULT_LIMITS, ConnectionLimits
from lycheeglade.relay_message import ForwardSegment, Message
from lycheeglade.route import RoutingView
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.target_load import AgentLoad
from lycheeglade.view import Target

MAX_RECORDED_RESETS = 1024


@dataclass(frozen=True, slots=True)
class ConnectionBalancerActions:
    """Callbacks through which the decision logic acts.

    Attributes
    ----------
    send : callable
        Send a message to an agent.
    reset : callable
        Reset a connection towards its caller. The number is the caller's
        last acknowledgement.
    log : callable
        Log an event with its fields.
    """

    send: Callable[[Address, Message], None]
    reset: Callable[[ConnectionKey, int], None]
    log: Callable[..., None]


@dataclass(frozen=True, slots=True)
class SearchScope:
    """Agents whose targets may hold a connection.

    Attributes
    ----------
    services : tuple of str
        Services that the connection's route is known to have named.
    named : frozenset of Address
        Agents of these services.
    others : frozenset of Address
        Agents of other services, which the route may have named before this
        process followed it.
    permitted_others : frozenset of Address
        Those of them in regions that the route permits. Only their targets
        may receive a segment.
    """

    services: tuple[str, ...] = ()
    named: frozenset[Address] = frozenset()
    others: frozenset[Address] = frozenset()
    permitted_others: frozenset[Address] = frozenset()

    @property
    def agents(self) -> frozenset[Address]:
        """All agents that are asked."""
        return self.named | self.others


@dataclass(slots=True)
class Search:
    """Search for the home of a connection.

    Attributes
    ----------
    queried_at : float
        Time of the latest query.
    queries : int
        Number of queries, each to all agents that had not answered.
    scope : SearchScope
        Agents whose targets may hold the connection.
    widened_at : float, optional
        Time at which the targets of other services were first asked, None
        before.
    """

    queried_at: float
    started_at: float
    queries: int = 0
    scope: SearchScope = SearchScope()
    widened_at: float | None = None
    queried_agents: set[Address] = field(default_factory=set)
    denying_agents: set[Address] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Home:
    """An agent whose target holds a connection, or may accept it.

    Attributes
    ----------
    sequence : int
        Initial sequence number of the target, or a later one that the caller
        has acknowledged, -1 if unknown.
    is_open : bool
        Whether the target holds the connection.
    initial_sequence : int
        Initial sequence number of the target, -1 if unknown.
    """

    agent: Address
    sequence: int
    is_open: bool
    initial_sequence: int = -1


@dataclass(slots=True)
class Connection:
    """Entry of a connection in a balancer's table.

    Attributes
    ----------
    homes : list of Home
        Possible homes. Two copies of an opening segment may be answered by
        two targets; the caller's acknowledgement shows which answer it
        accepted.
    tried_agents : list of Address
        Agents that the opening segment was sent to.
    held_by : Address, optional
        Agent at which the connection waits for a slot of the target.
    opening_received_at : float
        Time at which the caller's first opening segment arrived, or of the
        first other segment if none came by this balancer.
    opening_copies : int
        Number of the latest copy of the opening segment that arrived here, 0
        for the first one, -1 before.
    has_missed_copy : bool
        Whether an opening segment before one that arrived here did not.
    unresolved_tries : int
        Times that the opening segment was sent to an agent, less the refusals
        that came of it.
    """

    last_at: float
    homes: list[Home] = field(default_factory=list)
    tried_agents: list[Address] = field(default_factory=list)
    opening_sent_at: float = 0.0
    held_by: Address | None = None
    opening_received_at: float = 0.0
    opening_copies: int = -1
    has_missed_copy: bool = False
    unresolved_tries: int = 0
    opening: Segment | None = None
    queued_segments: list[Segment] = field(default_factory=list)
    search: Search | None = None


@dataclass(slots=True)
class UnroutedSegments:
    """Refused segments of one caller's IP to addresses without a route.

    Attributes
    ----------
    latest : ConnectionKey
        Connection of the latest segment.
    established : int
        Segments that did not open a connection.
    """

    first_at: float
    latest: ConnectionKey
    count: int = 0
    established: int = 0


@dataclass(frozen=True, slots=True)
class HeldSegment:
    """Segment to an address that the view does not know, maybe for its age."""

    segment: Segment
    received_at: float


@dataclass(slots=True)
class ConnectionBalancer:
    """State of one balancer.

    Attributes
    ----------
    targets_by_agent : dict
        Targets of the current view.
    current_as_of : float
        Time as of which the view is known to lack no change; negative
        infinity before any is known, infinity if the view is always current.
    is_view_awaited : bool
        Whether a newer view is known to exist, or a balancer of this zone that
        reads the store should report soon.
    routes_known_at : float
        Time of the first routes, or of the latest that followed on a version
        unknown here.
    former_services_by_address : dict
        Services that a route no longer names, by the route's address, and when
        each was removed from it.
    is_mass_restart : bool
        Whether most agents have started a short time ago.
    held_segments_by_datagram : dict
        Segments that wait until it is known whether they have a route.
    unrouted_by_source : dict
        Refused segments to addresses without a route, by the caller's IP.
    reset_at_by_key : dict
        Times of the latest resets of connections as lost.
    agent_heard_at : float
        Time of the latest message from any agent.
    probed_at : float
        Time of the latest load requests to unresponsive agents.
    warmup_overage : float
        Factor by which a cold target may get more than its rate.
    """

    zone: Zone
    address: Address
    actions: ConnectionBalancerActions
    generator: Random
    limits: ConnectionLimits = DEFAULT_LIMITS
    view: RoutingView = field(default_factory=RoutingView)
    view_at: float = 0.0
    current_as_of: float = float("inf")
    is_view_awaited: bool = False
    routes_known_at: float = float("-inf")
    targets_by_agent: dict[Address, list[Target]] = field(default_factory=dict)
    removed_by_agent: dict[Address, tuple[Target, str, float]] = field(
        default_factory=dict
    )
    unannounced_removals_by_agent: dict[Address, tuple[Target, str, float]] = field(
        default_factory=dict
    )
    former_services_by_address: dict[Address, dict[str, float]] = field(
        default_factory=dict
    )
    loads_by_agent: dict[Address, AgentLoad] = field(default_factory=dict)
    connections_by_key: OrderedDict[ConnectionKey, Connection] = field(
        default_factory=OrderedDict
    )
    searching_keys: set[ConnectionKey] = field(default_factory=set)
    opening_keys: set[ConnectionKey] = field(default_factory=set)
    accept_delay: float = 0.0
    queued_openings: list[Segment] = field(default_factory=list)
    held_segments_by_datagram: dict[bytes, HeldSegment] = field(default_factory=dict)
    unrouted_by_source: dict[str, UnroutedSegments] = field(default_factory=dict)
    reset_at_by_key: OrderedDict[ConnectionKey, float] = field(
        default_factory=OrderedDict
    )
    agent_heard_at: float = float("-inf")
    answer_time: AnswerTime = field(default_factory=AnswerTime)
    load_request_sent_at: float = 0.0
    first_request_sent_at: float = 0.0
    probed_at: float = 0.0
    load_request_rounds: int = 0
    mass_restart_checked_at: float = 0.0
    is_mass_restart: bool = False
    last_run_at: float = 0.0
    warmup_overage: float = 1.0


def forward_segment(
    balancer: ConnectionBalancer,
    agent: Address,
    segment: Segment,
    now: float,
) -> None:
    """Send a caller's segment to an agent."""
    message = ForwardSegment(balancer.address, segment.datagram)
    send_message(balancer, agent, message, now)


def send_message(
    balancer: ConnectionBalancer, agent: Address, message: Message, now: float
) -> None:
    """Send a message to an agent and start its response deadline."""
    load = balancer.loads_by_agent.get(agent)
    if load is not None:
        if load.unanswered_since is None:
            load.unanswered_since = now
            load.unanswered_messages = 0
            load.unanswered_requests = 0
            load.witnessed_requests = 0
        load.unanswered_messages += 1
    balancer.actions.send(agent, message)


def abandon_connection(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    acknowledgement: int,
    now: float,
) -> None:
    """Drop a lost connection and reset it towards its caller."""
    balancer.connections_by_key.pop(key, None)
    balancer.reset_at_by_key[key] = now
    if len(balancer.reset_at_by_key) > MAX_RECORDED_RESETS:
        balancer.reset_at_by_key.popitem(last=False)
    balancer.actions.reset(key, acknowledgement)
