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
    """Key of a target that is unique across services."""

    service: str
    target_id: str


class RequestState(StrEnum):
    """State of a request in progress."""

    QUEUED = "queued"
    RUNNING = "running"
    DELEGATED = "delegated"


@dataclass(slots=True)
class Request:
    """A request in progress.

    Attributes
    ----------
    flow : FlowKey or None
        Flow of the request, or None if a peer has delegated it.
    pending_replies : list of ReplyTo
        Copies of the request that await an answer.
    delegation : tuple or None
        Address of the delegating peer and its `Delegate` packet.
    delegation_id : int
        Identifier of the latest attempt to delegate the request.
    tried_peers : list of str
        Peers that the request was delegated to, latest last.
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
    tried_peers: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Notification:
    """A notification that awaits the caller's acknowledgement.

    Attributes
    ----------
    balancer : Address or None
        Balancer through which it was last sent.
    tried_balancers : set of Address
        Balancers through which it was sent in this round of attempts.
    """

    sequence: int
    message_id: int
    datagram: bytes
    created_at: float
    attempts: int = 0
    retry_at: float = 0.0
    balancer: Address | None = None
    tried_balancers: set[Address] = field(default_factory=set)


@dataclass(slots=True)
class Feed:
    """A feed of one flow.

    Attributes
    ----------
    token : bytes
        The caller's token.
    registration : bytes
        The caller's request, kept to register the feed again.
    reply_to : ReplyTo or None
        Registration that awaits its first answer.
    items : deque of bytes
        Notifications of the upstream that weren't sent yet.
    recent_items : deque of bytes
        Identifiers of the latest items, used to discard copies.
    in_flight : Notification or None
        Notification that awaits its acknowledgement.
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
    """A flow whose home is this target.

    Attributes
    ----------
    balancer : Address
        Balancer that forwarded the flow's latest packet.
    executed_message_ids : deque of int
        Message IDs of requests that may have run, latest last.
    held : deque of Forward
        Packets held until the end of a handoff.
    leaving : bool
        Whether the flow is offered to a successor.
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
        """Return a message ID that wasn't used recently."""
        message_id = self.next_message_id
        self.next_message_id = (message_id + 1) % MESSAGE_ID_MODULUS
        return message_id


@dataclass(slots=True)
class HomePointer:
    """The home of a flow that another target holds."""

    target_id: str
    expires_at: float


@dataclass(slots=True)
class Opening:
    """A flow whose home is being looked up by probes to other agents.

    Attributes
    ----------
    awaited_targets : set of str
        Targets that haven't replied to the probe yet.
    held : deque of Forward
        Packets held until the lookup ends.
    """

    started_at: float
    awaited_targets: set[str]
    held: deque[Forward] = field(default_factory=deque)


@dataclass(slots=True)
class IncomingHandoff:
    """A flow that another target has offered to this one."""

    handoff_id: int
    home_target_id: str
    expires_at: float
    feeds: list[Feed]
    ready_sent: bool = False
    held: deque[Forward] = field(default_factory=deque)


@dataclass(slots=True)
class OutgoingHandoff:
    """A flow that this target is handing off to a successor.

    Attributes
    ----------
    state : bytes or None
        State that is sent to the successor, once it has accepted the flow.
    """

    handoff_id: int
    flow: FlowKey
    successor: Target
    attempts: int = 0
    state: bytes | None = None


@dataclass(slots=True)
class ServedTarget:
    """State that an agent keeps for one target on its host.

    Attributes
    ----------
    settled_at : float
        Time from which unknown flows are opened without probing other agents.
    former_targets_by_id : dict
        Recently removed targets, with the time until which they may be the
        home of flows.
    removed_at : float or None
        Time at which the target was removed from the view, or None while it
        is published.
    is_removal_due : bool
        Whether a timer is set to delete this state.
    is_down : bool
        Whether the upstream is down.
    down_since : float
        Time at which the upstream was last found to be down.
    is_isolated : bool
        Whether no balancer can reach this agent.
    is_moving : bool
        Whether a timer is set to continue handing off flows.
    unanswered_since : float or None
        Send time of the oldest datagram that the upstream hasn't answered.
    awaiting_response_since : float or None
        Send time of the first request since the upstream's latest response.
    longest_response_gap : float or None
        Longest recent time without a response to a request, in seconds.
    hold_down_until : float
        Time until which answered pings don't mark the upstream up, since it
        answered pings but no requests.
    hold_down_s : float
        Duration of the latest hold-down, which ends at that time, in seconds;
        0 while requests are answered.
    homes_by_flow : OrderedDict
        Homes of flows that other targets hold, least recently used first.
    seen_delegations : OrderedDict
        Arrival time of delegated requests that may not be repeated, by the
        delegating target and the delegation ID.
    committed_handoffs : deque
        Latest handoffs that were taken over, by the offering target and the
        handoff ID.
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
    seen_delegations: OrderedDict[tuple[str, int], float] = field(
        default_factory=OrderedDict
    )
    committed_handoffs: deque[tuple[str, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_COMMITTED)
    )

    @property
    def must_move(self) -> bool:
        """Whether the flows must move to other targets."""
        return self.draining or self.is_down or self.is_isolated

    @property
    def has_flows(self) -> bool:
        """Whether the target holds flows or takes part in a handoff."""
        return bool(
            self.records_by_flow or self.incoming_by_flow or self.outgoing_by_id
        )

    def update_service(self, service: Service, now: float) -> None:
        """Replace the service by a newer one.

        Removed targets are kept for `flow_idle` seconds, since they may be
        the home of flows until then.
        """
        for target in self.service.targets_by_id.values():
            if target.target_id not in service.targets_by_id:
                until = now + service.flow_idle
                self.former_targets_by_id[target.target_id] = (target, until)
        for target_id, (_, until) in list(self.former_targets_by_id.items()):
            if target_id in service.targets_by_id or now >= until:
                del self.former_targets_by_id[target_id]
        self.service = service

    def find_target(self, target_id: str, now: float) -> Target | None:
        """Return a published or recently removed target, or None."""
        former, until = self.former_targets_by_id.get(target_id, (None, 0.0))
        if former is not None and now < until:
            return former
        return self.service.targets_by_id.get(target_id)

    @property
    def key(self) -> TargetKey:
        """Key of the target."""
        return TargetKey(self.service.name, self.target.target_id)
