"""State that an agent keeps for one target on its host."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from lycheeglade.address import Address
from lycheeglade.admission import Admission
from lycheeglade.blackboard import NEVER
from lycheeglade.flow import FlowKey
from lycheeglade.message import Adapter, CallerMessage, ReplyTo
from lycheeglade.packet import Delegate, Forward
from lycheeglade.placement import OFFER_BURST, OFFERS_PER_REQUEST, PeerLoads
from lycheeglade.retry import RetryBudget
from lycheeglade.ticket import TicketRegistry
from lycheeglade.view import Service, Target

MAX_RECENT_ITEMS = 64
MAX_HELD_PACKETS = 32
MAX_COMMITTED = 4096
MAX_RUN_MESSAGE_IDS = 32
MESSAGE_ID_MODULUS = 1 << 16


class TargetKey(NamedTuple):
    """Names a target across services."""

    service: str
    target_id: str


class RequestState(StrEnum):
    """Where a request is."""

    QUEUED = "queued"
    RUNNING = "running"
    DELEGATED = "delegated"


@dataclass(slots=True)
class Request:
    """A request in progress.

    Attributes
    ----------
    pending_replies : list of ReplyTo
        The copies of the request that wait for its answer.
    flow : FlowKey or None
        None if a peer has delegated the request.
    delegation : tuple or None
        The peer's address and its packet.
    delegation_id : int
        Names the latest try to have a peer run the request.
    asked : list of str
        Peers that had it, latest last.
    """

    request_id: int
    flow: FlowKey | None
    message: CallerMessage
    pending_replies: list[ReplyTo]
    received_at: float
    deadline: float
    state: RequestState = RequestState.QUEUED
    started_at: float = 0.0
    ticket: bytes | None = None
    delegation: tuple[Address, Delegate] | None = None
    delegation_id: int = 0
    asked: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Notification:
    """A notification on its way to the caller.

    Attributes
    ----------
    balancer : Address or None
        Balancer that it was last sent through.
    tried : set of Address
        Balancers that it was sent through in this round.
    """

    sequence: int
    message_id: int
    datagram: bytes
    created_at: float
    attempts: int = 0
    retry_at: float = 0.0
    balancer: Address | None = None
    tried: set[Address] = field(default_factory=set)


@dataclass(slots=True)
class Feed:
    """A standing feed of one flow.

    Attributes
    ----------
    token : bytes
        The caller's token.
    registration : bytes
        The caller's request, to register again with.
    reply_to : ReplyTo or None
        The registration that waits for its first answer.
    items : deque of bytes
        Notifications of the upstream that were not yet sent.
    recent_items : deque of bytes
        Identities of the latest items, to drop copies.
    in_flight : Notification or None
        The notification that waits for its acknowledgement.
    """

    flow: FlowKey
    token: bytes
    registration: bytes
    upstream_token: bytes
    opened_at: float
    reply_to: ReplyTo | None = None
    sequence: int = 1
    items: deque[bytes] = field(default_factory=deque)
    recent_items: deque[bytes] = field(
        default_factory=lambda: deque(maxlen=MAX_RECENT_ITEMS)
    )
    in_flight: Notification | None = None
    latest: bytes = b""
    last_sent_at: float = 0.0
    last_upstream_at: float = 0.0
    refreshes: int = 0
    is_suspended: bool = False
    next_check_at: float | None = None


@dataclass(slots=True)
class FlowRecord:
    """A flow that lives at this target.

    Attributes
    ----------
    balancer : Address
        Balancer through which the flow's latest packet came.
    executed_message_ids : deque of int
        Requests of the flow that may have run, latest last.
    held : deque of Forward
        Packets that wait for the end of a handoff.
    """

    flow: FlowKey
    balancer: Address
    opened_at: float
    last_heard_at: float
    next_message_id: int
    feeds_by_token: dict[bytes, Feed] = field(default_factory=dict)
    requests_by_message_id: dict[int, Request] = field(default_factory=dict)
    executed_message_ids: deque[int] = field(
        default_factory=lambda: deque(maxlen=MAX_RUN_MESSAGE_IDS)
    )
    held: deque[Forward] = field(default_factory=deque)
    leaving: bool = False
    failed_offers: int = 0

    def allocate_message_id(self) -> int:
        """Return a message id that was not used lately."""
        message_id = self.next_message_id
        self.next_message_id = (message_id + 1) % MESSAGE_ID_MODULUS
        return message_id


@dataclass(slots=True)
class HomePointer:
    """Where a flow lives that this agent was asked for."""

    target_id: str
    expires_at: float


@dataclass(slots=True)
class Opening:
    """A new flow whose home is being looked for."""

    started_at: float
    waiting_for: set[str]
    held: deque[Forward] = field(default_factory=deque)


@dataclass(slots=True)
class IncomingHandoff:
    """A flow that a leaving agent has offered."""

    handoff_id: int
    home_target_id: str
    expires_at: float
    feeds: list[Feed]
    ready_sent: bool = False
    held: deque[Forward] = field(default_factory=deque)


@dataclass(slots=True)
class OutgoingHandoff:
    """A flow that this agent is handing to a successor."""

    handoff_id: int
    flow: FlowKey
    successor: Target
    attempts: int = 0
    state: bytes | None = None


@dataclass(slots=True)
class ServedTarget:
    """All that an agent knows about one target on its host.

    Attributes
    ----------
    is_down : bool
        Whether the upstream answers nothing at present.
    down_since : float
        When it was last found to be down.
    is_isolated : bool
        Whether this agent is out of reach of all balancers.
    unanswered_since : float or None
        When the oldest datagram was sent that the upstream did not answer.
    awaiting_response_since : float or None
        When the first request was sent since its latest response.
    longest_response_gap : float or None
        Longest time of late that a request was unserved, seconds.
    hold_down_until : float
        Up to when answered pings are no sign that requests are served.
    hold_down_s : float
        Seconds of the latest such pause; 0 while requests are served.
    homes_by_flow : OrderedDict
        Flows that live elsewhere, least recently used first.
    settled_at : float
        Time from which unknown flows need not be looked for at other
        agents.
    former_targets_by_id : dict
        Targets that were removed lately, with the time up to which flows may
        still live there.
    removed_at : float or None
        Since when the target is no longer published.
    is_removal_due : bool
        Whether a timer will try to forget it.
    """

    service: Service
    target: Target
    adapter: Adapter | None
    ticket_registry: TicketRegistry
    admission: Admission
    settled_at: float
    former_targets_by_id: dict[str, tuple[Target, float]] = field(default_factory=dict)
    removed_at: float | None = None
    is_removal_due: bool = False
    draining: bool = False
    is_down: bool = False
    down_since: float = 0.0
    is_isolated: bool = False
    is_moving: bool = False
    unanswered_since: float | None = None
    unanswered_pings: int = 0
    next_ping_at: float = 0.0
    awaiting_response_since: float | None = None
    longest_response_gap: float | None = None
    hold_down_until: float = NEVER
    hold_down_s: float = 0.0
    records_by_flow: dict[FlowKey, FlowRecord] = field(default_factory=dict)
    homes_by_flow: OrderedDict[FlowKey, HomePointer] = field(
        default_factory=OrderedDict
    )
    openings_by_flow: dict[FlowKey, Opening] = field(default_factory=dict)
    requests_by_id: dict[int, Request] = field(default_factory=dict)
    requests_by_upstream_token: dict[bytes, Request] = field(default_factory=dict)
    feeds_by_upstream_token: dict[bytes, Feed] = field(default_factory=dict)
    incoming_by_flow: dict[FlowKey, IncomingHandoff] = field(default_factory=dict)
    outgoing_by_id: dict[int, OutgoingHandoff] = field(default_factory=dict)
    delegation_budget: RetryBudget = field(
        default_factory=lambda: RetryBudget(OFFERS_PER_REQUEST, OFFER_BURST)
    )
    next_reoffer_at: float = 0.0
    requests_by_delegation_id: dict[int, Request] = field(default_factory=dict)
    peer_loads: PeerLoads = field(default_factory=PeerLoads)
    incarnations_by_peer: dict[str, int] = field(default_factory=dict)
    delegations_seen: OrderedDict[tuple[str, int], float] = field(
        default_factory=OrderedDict
    )
    committed: deque[tuple[str, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_COMMITTED)
    )

    @property
    def must_move(self) -> bool:
        """Whether the flows have to move to other targets."""
        return self.draining or self.is_down or self.is_isolated

    @property
    def has_flows(self) -> bool:
        """Whether flows live here, are on their way here or are moving on."""
        return bool(
            self.records_by_flow or self.incoming_by_flow or self.outgoing_by_id
        )

    def update_service(self, service: Service, now: float) -> None:
        """Take a changed service; removed targets may be homes for a while."""
        for target in self.service.targets_by_id.values():
            if target.target_id not in service.targets_by_id:
                until = now + service.flow_idle
                self.former_targets_by_id[target.target_id] = (target, until)
        for target_id, (_, until) in list(self.former_targets_by_id.items()):
            if target_id in service.targets_by_id or now >= until:
                del self.former_targets_by_id[target_id]
        self.service = service

    def find_target(self, target_id: str, now: float) -> Target | None:
        """Return a target that is published, or was until lately."""
        former, until = self.former_targets_by_id.get(target_id, (None, 0.0))
        if former is not None and now < until:
            return former
        return self.service.targets_by_id.get(target_id)

    @property
    def key(self) -> TargetKey:
        """Name of the target."""
        return TargetKey(self.service.name, self.target.target_id)
