"""Decisions of an agent that stands beside a target of connections.

The agent sees each segment of its target's connections in both directions.
From them alone it knows which connections live there, which requests run, and
how long they take. It holds nothing back: a target keeps a short queue, and
refuses at once what that can't take.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from lycheeglade.address import Address
from lycheeglade.relay_message import (
    Carry,
    Found,
    Hello,
    LoadReport,
    Message,
    NotHere,
)
from lycheeglade.search_relay import SearchRelay
from lycheeglade.segment import ConnectionKey, Segment, distance
from lycheeglade.service_time import BusyShare, FailureShare, ServiceTime
from lycheeglade.target_load import (
    UNKNOWN_SERVICE_TIME_S,
    AgentLoad,
    expected_time,
)
from lycheeglade.target_silence import TargetSilence

MAX_CONNECTIONS = 8000
MAX_PENDING = 4096
# A connection without segments for that long is forgotten.
FORGET_S = 60.0
# Balancers that sent nothing for that long get no reports.
BALANCER_GONE_S = 3.0
# Load is reported when it changed, and at least each so often.
REPORT_INTERVAL_S = 0.1
QUIET_REPORT_INTERVAL_S = 0.4
# Datagrams a second that reports to all balancers may take.
REPORTS_PER_S = 100.0
# A request that got no answer for that long is taken for lost.
LOST_ANSWER_S = 1.0
# Answers that come sooner are refusals of a target that is full.
MIN_WORK_S = 0.001
TAG_SPACE = 1 << 32
# How much sooner another agent must be expected to answer, to be handed an
# opening segment: the way there, and the age of what is known of its load.
HUNT_FACTOR = 1.5
HUNT_COST_S = 0.004
BUSY_WINDOW_S = 2.0
LOG_INTERVAL_S = 1.0
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class ConnectionAgentActions:
    """What the decisions can do.

    Attributes
    ----------
    send : callable
        Send a message to a process of the system.
    deliver : callable
        Send a segment to the target, with a tag.
    answer : callable
        Send a segment of the target to its caller.
    reset : callable
        Reset a connection towards its caller; the number is the caller's
        last acknowledgement.
    decode : callable
        Read a segment from a datagram. Raises `PacketError`.
    log : callable
        Log an event with its fields.
    record : callable
        Record a latency by stage in seconds.
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
    """A connection that lives at the agent's target, or may open there.

    Attributes
    ----------
    sequence : int
        Position at which the target's side began, -1 if that wasn't seen.
    is_open : bool
        The target has shown that it holds the connection.
    data_end : int, optional
        Position after the caller's data that was seen last.
    together : int
        Requests at the target when the latest one of this connection came,
        itself included.
    """

    last_at: float
    balancers: set[Address] = field(default_factory=set)
    sequence: int = -1
    is_open: bool = False
    data_end: int | None = None
    together: int = 0


@dataclass(frozen=True, slots=True)
class Pending:
    """A segment at the target that may be returned.

    Attributes
    ----------
    asker : Address
        Who is told if the target doesn't know the connection.
    """

    message: Carry
    asker: Address


@dataclass(slots=True)
class ConnectionAgent:
    """All that one agent knows."""

    service: str
    incarnation: int
    actions: ConnectionAgentActions
    started_at: float
    slots: int = 1
    connections_by_key: OrderedDict[ConnectionKey, LocalConnection] = field(
        default_factory=OrderedDict
    )
    running_by_key: dict[ConnectionKey, float] = field(default_factory=dict)
    pending_by_tag: OrderedDict[int, Pending] = field(default_factory=OrderedDict)
    searchers_by_key: OrderedDict[ConnectionKey, set[Address]] = field(
        default_factory=OrderedDict
    )
    next_tag: int = 1
    heard_by_balancer: dict[Address, float] = field(default_factory=dict)
    service_time: ServiceTime = field(
        default_factory=lambda: ServiceTime(UNKNOWN_SERVICE_TIME_S)
    )
    busy: BusyShare | None = None
    failures: FailureShare = field(default_factory=FailureShare)
    finished: int = 0
    finished_at: float = 0.0
    logged_at: float = 0.0
    silence: TargetSilence = field(default_factory=TargetSilence)
    reported_at: float = 0.0
    reported: LoadReport | None = None
    is_leaving: bool = False
    searches: SearchRelay | None = None

    def __post_init__(self):
        self.searches = SearchRelay(self.actions.send)
        self.busy = BusyShare(self.started_at, BUSY_WINDOW_S)


def receive_message(
    agent: ConnectionAgent, message: Message, source: Address, now: float
) -> None:
    """Take a message of a balancer or of another agent."""
    if isinstance(message, Hello):
        agent.heard_by_balancer[source] = now
        agent.slots = max(1, message.slots)
        agent.actions.send(source, _report(agent, now))
    elif isinstance(message, Carry):
        agent.heard_by_balancer[message.balancer] = now
        segment = agent.actions.decode(message.datagram)
        asker = source if message.is_relayed else message.balancer
        _receive_carry(agent, Pending(message, asker), segment, now)
    elif isinstance(message, NotHere):
        agent.searches.note_not_here(message, source)


def _receive_carry(
    agent: ConnectionAgent, pending: Pending, segment: Segment, now: float
) -> None:
    message = pending.message
    key = segment.key_from_caller
    if message.search and message.candidates:
        agent.searches.search(key, message, now)
    connection = agent.connections_by_key.get(key)
    if segment.opens:
        _receive_opening(agent, key, connection, pending, segment, now)
    elif connection is None or not connection.is_open:
        _receive_unknown(agent, key, connection, pending, segment, now)
    else:
        _note_segment(agent, key, connection, message, now)
        _receive_established(agent, key, connection, segment, now)


def _receive_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection | None,
    pending: Pending,
    segment: Segment,
    now: float,
) -> None:
    message = pending.message
    if connection is None:
        if message.service != agent.service:
            _pass_on(agent, key, message, segment, "other-service")
            return
        if _is_better_elsewhere(agent, message, now):
            _pass_on(agent, key, message, segment, "busy")
            return
        connection = _remember(agent, key, now)
    _note_segment(agent, key, connection, message, now)
    _deliver_pending(agent, pending, segment, now)


def _is_better_elsewhere(agent: ConnectionAgent, message: Carry, now: float) -> bool:
    """Tell whether the next candidate is expected to answer much sooner.

    The balancer's knowledge of this target is older than this agent's own.
    """
    if not message.costs:
        return False
    load = AgentLoad(
        service_time=agent.service_time.mean,
        running=len(agent.running_by_key),
        busy=_busy_share(agent, now),
        failing=agent.failures.share(now),
    )
    own = expected_time(load, agent.slots)
    return own > message.costs[0] * HUNT_FACTOR + HUNT_COST_S


def _pass_on(
    agent: ConnectionAgent,
    key: ConnectionKey,
    message: Carry,
    segment: Segment,
    cause: str,
) -> None:
    """Give an opening segment to the next candidate, or refuse it.

    A copy that follows a connection to its home names no service and is
    never refused: the connection may be open there, unknown to a process that
    has just started.
    """
    agent.actions.log(
        "passed-on", connection=key, cause=cause, candidates=len(message.candidates)
    )
    if message.candidates:
        first, *rest = message.candidates
        agent.actions.send(
            first,
            Carry(
                balancer=message.balancer,
                datagram=message.datagram,
                service=message.service,
                candidates=tuple(rest),
                costs=tuple(message.costs[1:]),
            ),
        )
    elif message.service and not segment.acknowledgement:
        agent.actions.reset(key, 0)


def _receive_unknown(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection | None,
    pending: Pending,
    segment: Segment,
    now: float,
) -> None:
    """Let the target tell whether it holds a connection.

    This process may be younger than the connection, and the acknowledgement
    of a target's opening segment may be for another target.
    """
    message = pending.message
    if connection is not None:
        _note_segment(agent, key, connection, message, now)
        if segment.data_bytes:
            _take_data(agent, key, connection, segment, now)
            return
    else:
        searchers = agent.searchers_by_key.setdefault(key, set())
        searchers.add(message.balancer)
        if len(agent.searchers_by_key) > MAX_PENDING:
            agent.searchers_by_key.popitem(last=False)
    _deliver_pending(agent, pending, segment, now)


def _deliver_pending(
    agent: ConnectionAgent, pending: Pending, segment: Segment, now: float
) -> None:
    tag = agent.next_tag
    agent.next_tag = tag % (TAG_SPACE - 1) + 1
    agent.pending_by_tag[tag] = pending
    if len(agent.pending_by_tag) > MAX_PENDING:
        agent.pending_by_tag.popitem(last=False)
    _deliver(agent, segment, tag, now)


def _deliver(agent: ConnectionAgent, segment: Segment, tag: int, now: float) -> None:
    if segment.opens:
        agent.silence.note_opening(segment, now)
    elif tag and segment.data_bytes:
        agent.silence.note_unknown(segment, now)
    agent.actions.deliver(segment, tag)


def _remember(
    agent: ConnectionAgent, key: ConnectionKey, now: float
) -> LocalConnection:
    connection = agent.connections_by_key[key] = LocalConnection(now)
    if len(agent.connections_by_key) > MAX_CONNECTIONS:
        oldest = next(iter(agent.connections_by_key))
        _forget(agent, oldest, now)
    return connection


def _forget(agent: ConnectionAgent, key: ConnectionKey, now: float) -> None:
    agent.connections_by_key.pop(key, None)
    _stop_running(agent, key, now)


def _note_segment(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    message: Carry,
    now: float,
) -> None:
    connection.last_at = now
    agent.connections_by_key.move_to_end(key)
    if message.balancer not in connection.balancers or message.search:
        connection.balancers.add(message.balancer)
        if connection.is_open:
            _send_found(agent, message.balancer, key, connection)


def _send_found(
    agent: ConnectionAgent,
    balancer: Address,
    key: ConnectionKey,
    connection: LocalConnection,
) -> None:
    found = Found(key, connection.sequence, connection.is_open)
    agent.actions.send(balancer, found)


def _receive_established(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
    now: float,
) -> None:
    if segment.resets or segment.finishes:
        _stop_running(agent, key, now)
    if segment.data_bytes:
        _take_data(agent, key, connection, segment, now)
    else:
        _deliver(agent, segment, 0, now)


def _take_data(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
    now: float,
) -> None:
    """Take data of a caller: a request, more of one, or a copy."""
    end = connection.data_end
    if end is None or distance(end, segment.end) > 0:
        connection.data_end = segment.end
        if key not in agent.running_by_key:
            _start(agent, key, connection, now)
    _deliver(agent, segment, 0, now)


def _start(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection, now: float
) -> None:
    """Note that the target has a request of the connection now."""
    agent.running_by_key[key] = now
    connection.together = len(agent.running_by_key)
    if connection.together <= agent.slots:
        agent.busy.add(now, 1)


def _stop_running(
    agent: ConnectionAgent, key: ConnectionKey, now: float
) -> float | None:
    """Return when the connection's request started, None if none runs."""
    started_at = agent.running_by_key.pop(key, None)
    if started_at is not None and len(agent.running_by_key) < agent.slots:
        agent.busy.add(now, -1)
    return started_at


def _note_answer(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    now: float,
) -> None:
    """Learn from the time that an answer took."""
    started_at = _stop_running(agent, key, now)
    if started_at is None:
        return
    elapsed = now - started_at
    is_refusal = elapsed < MIN_WORK_S
    if not is_refusal or connection.together <= agent.slots:
        # A target that is full may refuse; one with a free slot fails.
        agent.failures.observe(now, is_refusal)
    if is_refusal:
        return
    agent.service_time.observe(_work_time(agent, connection, elapsed, now))
    agent.finished_at = now
    agent.finished += 1
    agent.actions.record("upstream", elapsed)


def _work_time(
    agent: ConnectionAgent, connection: LocalConnection, elapsed: float, now: float
) -> float:
    """Return how long the target worked on a request that is answered.

    One that found all slots taken waited at the target. Its answer follows
    another one by the time that a slot took, over the number of slots.
    """
    if connection.together <= agent.slots:
        return elapsed
    return min(elapsed, (now - agent.finished_at) * agent.slots)


def receive_from_target(agent: ConnectionAgent, segment: Segment, now: float) -> None:
    """Take a segment that the target sent or returned."""
    agent.silence.note_heard()
    if segment.returned:
        _receive_returned(agent, segment, now)
        return
    key = segment.key_from_target
    connection = agent.connections_by_key.get(key)
    if connection is None:
        if segment.resets:
            agent.actions.answer(segment)
            return
        connection = _remember(agent, key, now)
    connection.last_at = now
    if segment.opens:
        _note_opened(agent, key, connection, segment)
    else:
        _note_open(agent, key, connection)
    agent.actions.answer(segment)
    if segment.data_bytes:
        _note_answer(agent, key, connection, now)
    elif segment.finishes:
        _stop_running(agent, key, now)
    if segment.resets:
        if key in agent.running_by_key:
            agent.failures.observe(now, True)
        _forget(agent, key, now)


def _note_opened(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
) -> None:
    if connection.sequence != segment.sequence:
        connection.sequence = segment.sequence
        _tell_balancers(agent, key, connection)


def _note_open(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection
) -> None:
    if not connection.is_open:
        connection.is_open = True
        connection.balancers |= agent.searchers_by_key.pop(key, set())
        _tell_balancers(agent, key, connection)


def _tell_balancers(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection
) -> None:
    for balancer in connection.balancers:
        _send_found(agent, balancer, key, connection)


def _receive_returned(agent: ConnectionAgent, segment: Segment, now: float) -> None:
    pending = agent.pending_by_tag.pop(segment.tag, None)
    key = segment.key_from_caller
    agent.searchers_by_key.pop(key, None)
    connection = agent.connections_by_key.get(key)
    if segment.opens:
        if connection is not None and connection.is_open:
            return
        _forget(agent, key, now)
        if pending is not None:
            _pass_on(agent, key, pending.message, segment, "target-full")
        return
    balancers = set()
    if pending is not None:
        balancers.add(pending.asker)
    if connection is not None:
        balancers |= connection.balancers
        _forget(agent, key, now)
    for balancer in balancers:
        agent.actions.send(balancer, NotHere(key, segment.acknowledgement))


def tick(agent: ConnectionAgent, now: float) -> None:
    """Run what is due. Has to be called some twenty times a second."""
    for key, started_at in list(agent.running_by_key.items()):
        if now - started_at > LOST_ANSWER_S:
            agent.actions.log("no-answer", connection=key, waited=now - started_at)
            agent.failures.observe(now, True)
            _stop_running(agent, key, now)
    agent.searches.tick(now)
    _forget_idle(agent, now)
    _report_load(agent, now)
    _log_load(agent, now)


def _forget_idle(agent: ConnectionAgent, now: float) -> None:
    connections = agent.connections_by_key
    while connections:
        key = next(iter(connections))
        if now - connections[key].last_at < FORGET_S:
            return
        _forget(agent, key, now)


def _busy_share(agent: ConnectionAgent, now: float) -> float:
    return min(1.0, agent.busy.average(now) / agent.slots)


def _report(agent: ConnectionAgent, now: float) -> LoadReport:
    return LoadReport(
        incarnation=agent.incarnation,
        service=agent.service,
        running=len(agent.running_by_key),
        service_time=agent.service_time.mean,
        busy=_busy_share(agent, now),
        connections=len(agent.connections_by_key),
        silent=agent.silence.is_silent(now),
        leaving=agent.is_leaving,
        failing=agent.failures.share(now),
    )


def _report_load(agent: ConnectionAgent, now: float) -> None:
    interval = max(REPORT_INTERVAL_S, len(agent.heard_by_balancer) / REPORTS_PER_S)
    if now - agent.reported_at < interval:
        return
    report = _report(agent, now)
    is_same = agent.reported is not None and (
        report.running,
        report.silent,
        report.leaving,
    ) == (
        agent.reported.running,
        agent.reported.silent,
        agent.reported.leaving,
    )
    if is_same and now - agent.reported_at < QUIET_REPORT_INTERVAL_S:
        return
    agent.reported_at = now
    agent.reported = report
    send_report(agent, report, now)


def _log_load(agent: ConnectionAgent, now: float) -> None:
    if now - agent.logged_at < LOG_INTERVAL_S:
        return
    agent.logged_at = now
    report = _report(agent, now)
    agent.actions.log(
        "load",
        running=report.running,
        service_ms=report.service_time * MS_PER_S,
        busy=report.busy,
        connections=report.connections,
        finished=agent.finished,
        balancers=len(agent.heard_by_balancer),
        silent=report.silent,
        failing=report.failing,
    )


def send_report(agent: ConnectionAgent, report: LoadReport, now: float) -> None:
    """Send a load report to all balancers that were heard from lately."""
    for balancer, heard_at in list(agent.heard_by_balancer.items()):
        if now - heard_at > BALANCER_GONE_S:
            del agent.heard_by_balancer[balancer]
        else:
            agent.actions.send(balancer, report)


def begin_leaving(agent: ConnectionAgent, now: float) -> None:
    """Tell balancers that this process ends; its target may go on."""
    agent.is_leaving = True
    send_report(agent, _report(agent, now), now)
