"""State of an agent that handles connections."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheeglade.address import Address
from lycheeglade.connection_limits import DEFAULT_LIMITS, ConnectionLimits
from lycheeglade.opening_queue import OpeningQueue
from lycheeglade.relay_message import ForwardSegment, LoadReport, Message
from lycheeglade.search_relay import SearchRelay
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.service_time import FailureRate, RunningAverage, ServiceTime
from lycheeglade.target_load import UNKNOWN_SERVICE_TIME_S
from lycheeglade.target_silence import TargetSilence
from lycheeglade.warmup import WarmupBounds, WarmupWindow

BUSY_WINDOW_S = 2.0
# Balancers that are told of a connection. More than these forward segments of
# one connection only if most of a zone restarts while it is open.
MAX_CONNECTION_BALANCERS = 32


@dataclass(frozen=True, slots=True)
class ConnectionAgentActions:
    """Callbacks through which the decision logic acts.

    Attributes
    ----------
    send : callable
        Send a message to a balancer or to another agent.
    deliver : callable
        Send a segment to the target, with a tag.
    answer : callable
        Send a segment of the target to its caller.
    reset : callable
        Reset a connection towards its caller. The number is the caller's
        last acknowledgement.
    decode : callable
        Decode a segment from a datagram. Raises `PacketError`.
    log : callable
        Log an event with its fields.
    record : callable
        Record the latency of a stage in seconds.
    """

    send: Callable[[Address, Message], None]
    deliver: Callable[[Segment, int], None]
    answer: Callable[[Segment], None]
    reset: Callable[[ConnectionKey, int], None]
    decode: Callable[[bytes], Segment]
    log: Callable[..., None]
    record: Callable[[str, float], None]


@dataclass(slots=True)
class LocalConnection:
    """A connection that the agent's target holds, or that may open there.

    Attributes
    ----------
    sequence : int
        Initial sequence number of the target, -1 if the agent has not seen
        it.
    is_open : bool
        Whether a segment of the target has shown that it holds the
        connection.
    opening_sequence : int, optional
        Sequence number of the caller's opening segment, if one came here.
    data_end : int, optional
        Sequence number after the furthest data seen from the caller.
    sent_end : int, optional
        Sequence number after the furthest segment seen from the target.
    has_finished : bool
        Whether the target has closed its side.
    concurrent_requests : int
        Number of requests at the target when the latest one of this
        connection arrived, including that one.
    """

    last_at: float
    balancers: set[Address] = field(default_factory=set)
    sequence: int = -1
    is_open: bool = False
    opening_sequence: int | None = None
    data_end: int | None = None
    sent_end: int | None = None
    has_finished: bool = False
    concurrent_requests: int = 0


@dataclass(frozen=True, slots=True)
class PendingSegment:
    """A segment delivered to the target, which may return it.

    Attributes
    ----------
    requester : Address
        Process that is notified if the target does not hold the connection.
    received_at : float
        Time of its arrival.
    """

    message: ForwardSegment
    requester: Address
    received_at: float


@dataclass(slots=True)
class ConnectionAgent:
    """State of one agent.

    Attributes
    ----------
    started_unix_ms : float
        Start of this process in Unix milliseconds.
    target_lifetime : int
        Start of the target's process in Unix milliseconds, 0 if no balancer
        has named it.
    discarded_at : float
        Time at which the full table last discarded a connection.
    held_openings_by_key : dict
        Opening segments of the connections in `opening_queue`.
    far_reported_at_by_balancer : dict
        Time of the latest load report to each balancer of another zone.
    is_port_closed : bool
        Whether no process listened at the target's port since the target has
        become silent.
    latest_lifetime : int
        Latest `target_lifetime`, since balancers' views may differ.
    has_target_run_before : bool
        Whether the target of `latest_lifetime` started so long before this
        process that it has outlived an earlier one.
    has_older_connection : bool
        Whether the target holds connections that opened before this process
        started.
    has_reported_full_window : bool
        Whether the latest load report said that a cold target can take no
        opening at present.
    """

    service: str
    incarnation: int
    actions: ConnectionAgentActions
    started_at: float
    limits: ConnectionLimits = DEFAULT_LIMITS
    started_unix_ms: float = 0.0
    target_lifetime: int = 0
    discarded_at: float = float("-inf")
    slots: int = 1
    connections_by_key: OrderedDict[ConnectionKey, LocalConnection] = field(
        default_factory=OrderedDict
    )
    running_by_key: dict[ConnectionKey, float] = field(default_factory=dict)
    pending_by_tag: OrderedDict[int, PendingSegment] = field(
        default_factory=OrderedDict
    )
    searching_balancers_by_key: OrderedDict[ConnectionKey, set[Address]] = field(
        default_factory=OrderedDict
    )
    opening_queue: OpeningQueue = field(default_factory=OpeningQueue)
    held_openings_by_key: dict[ConnectionKey, tuple[PendingSegment, Segment]] = field(
        default_factory=dict
    )
    next_tag: int = 1
    last_heard_by_balancer: dict[Address, float] = field(default_factory=dict)
    far_reported_at_by_balancer: dict[Address, float] = field(default_factory=dict)
    service_time: ServiceTime = field(
        default_factory=lambda: ServiceTime(UNKNOWN_SERVICE_TIME_S)
    )
    busy: RunningAverage | None = None
    failures: FailureRate = field(default_factory=FailureRate)
    finished: int = 0
    last_finished_at: float = 0.0
    logged_at: float = 0.0
    silence: TargetSilence = field(default_factory=TargetSilence)
    reported_at: float = 0.0
    last_report: LoadReport | None = None
    is_leaving: bool = False
    has_target_ended: bool = False
    is_port_closed: bool = False
    latest_lifetime: int = 0
    has_target_run_before: bool = False
    has_older_connection: bool = False
    port_checked_at: float = float("-inf")
    searches: SearchRelay | None = None
    warmup_bounds: WarmupBounds | None = None
    warmup: WarmupWindow | None = None
    has_reported_full_window: bool = False
    has_logged_missing_bounds: bool = False

    def __post_init__(self):
        self.searches = SearchRelay(self.actions.send)
        self.warmup = WarmupWindow(self.started_at, self.warmup_bounds)
        self.busy = RunningAverage(self.started_at, BUSY_WINDOW_S)
