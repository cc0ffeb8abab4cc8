"""State that a balancer of connections keeps, and what it sends."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.relay_message import Carry, Message
from lycheeglade.route import RoutingView
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.target_load import AgentLoad
from lycheeglade.view import Target


@dataclass(frozen=True, slots=True)
class ConnectionBalancerActions:
    """What the decisions can do.

    Attributes
    ----------
    send : callable
        Send a message to an agent.
    reset : callable
        Reset a connection towards its caller; the number is the caller's
        last acknowledgement.
    log : callable
        Log an event with its fields.
    """

    send: Callable[[Address, Message], None]
    reset: Callable[[ConnectionKey, int], None]
    log: Callable[..., None]


@dataclass(slots=True)
class Search:
    """Search for the agent where a connection lives."""

    asked_at: float
    began_at: float
    asked: set[Address] = field(default_factory=set)
    denied: set[Address] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Home:
    """An agent that a connection lives at, or may open at.

    Attributes
    ----------
    sequence : int
        Position at which the target's side began, -1 if that isn't known.
    is_open : bool
        The target holds the connection.
    """

    agent: Address
    sequence: int
    is_open: bool


@dataclass(slots=True)
class Connection:
    """What a balancer remembers of a connection.

    Attributes
    ----------
    homes : list of Home
        Two copies of an opening segment may get answers of two targets; the
        caller's acknowledgement tells which one it took.
    tried : list of Address
        Agents that the opening segment was sent to.
    """

    last_at: float
    homes: list[Home] = field(default_factory=list)
    tried: list[Address] = field(default_factory=list)
    sent_at: float = 0.0
    opening: Segment | None = None
    held: list[Segment] = field(default_factory=list)
    search: Search | None = None


@dataclass(slots=True)
class ConnectionBalancer:
    """All that one balancer knows."""

    zone: Zone
    address: Address
    actions: ConnectionBalancerActions
    generator: Random
    view: RoutingView = field(default_factory=RoutingView)
    view_at: float = 0.0
    departed_by_agent: dict[Address, tuple[Target, str, float]] = field(
        default_factory=dict
    )
    lapsed_by_id: dict[str, tuple[Target, str, float]] = field(default_factory=dict)
    loads_by_agent: dict[Address, AgentLoad] = field(default_factory=dict)
    connections_by_key: OrderedDict[ConnectionKey, Connection] = field(
        default_factory=OrderedDict
    )
    searched_keys: set[ConnectionKey] = field(default_factory=set)
    opening_keys: set[ConnectionKey] = field(default_factory=set)
    found_delay: float = 0.0
    held_openings: list[Segment] = field(default_factory=list)
    hello_at: float = 0.0
    ran_at: float = 0.0


def carry_segment(
    balancer: ConnectionBalancer,
    agent: Address,
    segment: Segment,
    now: float,
    search: bool = False,
) -> None:
    """Send a caller's segment to the agent where its connection lives."""
    message = Carry(balancer.address, segment.datagram, search)
    send_message(balancer, agent, message, now)


def send_message(
    balancer: ConnectionBalancer, agent: Address, message: Message, now: float
) -> None:
    """Send a message to an agent, and watch for a sign of its life."""
    load = balancer.loads_by_agent.get(agent)
    if load is not None and load.greeted_at is None:
        load.greeted_at = now
    balancer.actions.send(agent, message)


def abandon_connection(
    balancer: ConnectionBalancer, key: ConnectionKey, acknowledgement: int
) -> None:
    """Forget a connection that is lost, and reset it."""
    balancer.connections_by_key.pop(key, None)
    balancer.actions.reset(key, acknowledgement)
