"""Decision logic of the agent that runs beside a target.

The agent sees the segments of its target's connections in both directions.
From them it derives which connections the target holds, which requests run
and how long requests take. New connections wait here while the target is full
(`opening_queue`). Requests never do: the target has a short queue of its own
and refuses at once what does not fit in it.
"""

from lycheeglade.address import Address
from lycheeglade.completeness import is_table_complete
from lycheeglade.connection_admission import (
    WAITED_TOO_LONG,
    add_connection,
    admit_held,
    end_request,
    forward_opening,
    receive_opening,
    refuse_held,
    refuse_hopeless,
    remove_connection,
    start_request,
    withdraw_held,
)
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    LocalConnection,
    PendingSegment,
)
from lycheeglade.connection_delivery import (
    MAX_PENDING,
    add_balancer,
    deliver,
    deliver_pending,
    notify_balancers,
    record_segment,
)
from lycheeglade.connection_load import (
    MS_PER_S,
    log_load,
    make_report,
    report_load,
    work_time,
)
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    ForwardSegment,
    LoadRequest,
    Message,
)
from lycheeglade.segment import ConnectionKey, Segment, sequence_distance

# Connections without segments for CONNECTION_IDLE_TIMEOUT_S seconds are
# evicted.
CONNECTION_IDLE_TIMEOUT_S = 60.0
# On a host that has just got power, the target starts up to this time before
# its agent. One that has run longer has outlived an earlier process.
MAX_START_DELAY_S = 3.0
# While the target is silent, its port is checked at this interval.
PORT_CHECK_INTERVAL_S = 0.5
# A caller's segment belongs to another connection of its address if its
# acknowledgement is further than this from what the target has sent, as far as
# the agent knows it.
MAX_UNACKNOWLEDGED_BYTES = 1 << 16
# A request without an answer after ANSWER_TIMEOUT_S seconds counts as failed.
ANSWER_TIMEOUT_S = 1.0
# Answers that take less than MIN_ANSWER_TIME_S seconds are refusals by a full
# target.
MIN_ANSWER_TIME_S = 0.001


def receive_message(
    agent: ConnectionAgent, message: Message, source: Address, now: float
) -> None:
    """Process a message from a balancer or from another agent."""
    if isinstance(message, LoadRequest):
        agent.last_heard_by_balancer[source] = now
        agent.slots = max(1, message.slots)
        _learn_target_start(agent, message.lifetime)
        _learn_warmup(agent, message, now)
        if message.is_near:
            agent.far_reported_at_by_balancer.pop(source, None)
        else:
            agent.far_reported_at_by_balancer[source] = now
        agent.actions.send(source, make_report(agent, now))
    elif isinstance(message, ForwardSegment):
        agent.last_heard_by_balancer[message.balancer] = now
        segment = agent.actions.decode(message.datagram)
        requester = source if message.is_relayed else message.balancer
        pending = PendingSegment(message, requester, now)
        _receive_forwarded(agent, pending, segment, now)
    elif isinstance(message, ConnectionNotHeld):
        agent.searches.handle_not_held(message, source)


def _learn_target_start(agent: ConnectionAgent, lifetime: int) -> None:
    """Record when the target started, which earlier builds do not name."""
    if lifetime in (0, agent.target_lifetime):
        return
    agent.target_lifetime = lifetime
    before_agent_s = _target_lead(agent)
    if lifetime > agent.latest_lifetime:
        # After a loss of power the store names the former process of the
        # target until the present one has registered.
        agent.latest_lifetime = lifetime
        agent.has_target_run_before = before_agent_s > MAX_START_DELAY_S
    agent.actions.log(
        "target-started", lifetime=lifetime, before_agent_s=before_agent_s
    )


def _target_lead(agent: ConnectionAgent) -> float:
    """Return the seconds for which the target ran before this process."""
    return (agent.started_unix_ms - agent.target_lifetime) / MS_PER_S


def _learn_warmup(agent: ConnectionAgent, message: LoadRequest, now: float) -> None:
    agent.warmup.learn(message.warmup_left, message.warmup_rate, now)
    is_missing = agent.warmup_bounds is None and message.warmup_rate > 0.0
    if is_missing and not agent.has_logged_missing_bounds:
        agent.has_logged_missing_bounds = True
        agent.actions.log(
            "warmup-invalid",
            key="settings",
            got="no bounds.warmup-overage or no bounds.warmup-slack",
            expected=f"both, for {message.warmup_rate:g} connections per second",
        )


def _receive_forwarded(
    agent: ConnectionAgent, pending: PendingSegment, segment: Segment, now: float
) -> None:
    message = pending.message
    key = segment.key_from_caller
    if message.search and message.candidates:
        agent.searches.search(key, message, now)
    connection = agent.connections_by_key.get(key)
    if segment.opens:
        receive_opening(agent, key, connection, pending, segment, now)
    elif (
        connection is None
        and message.services
        and agent.service not in message.services
    ):
        _receive_of_other_service(agent, key, pending, segment, now)
    elif connection is not None and _is_of_other_connection(connection, segment):
        _receive_other(agent, key, connection, pending, segment, now)
    elif connection is None or not connection.is_open:
        _receive_unknown(agent, key, connection, pending, segment, now)
    else:
        record_segment(agent, key, connection, message, now)
        _receive_established(agent, key, connection, segment, now)


def _receive_of_other_service(
    agent: ConnectionAgent,
    key: ConnectionKey,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    """Answer a search for a connection whose route names other services.

    The route may have named this service when the connection opened. Only the
    target knows whether it holds a connection that is older than the agent's
    table. It gets the segment once all targets of the named services have
    returned it; until then, the agent does not answer.
    """
    if is_table_complete(agent, now):
        not_held = ConnectionNotHeld(key, segment.acknowledgement)
        agent.actions.send(pending.requester, not_held)
    elif pending.message.any_service:
        _receive_unknown(agent, key, None, pending, segment, now)


def _is_of_other_connection(connection: LocalConnection, segment: Segment) -> bool:
    """Return whether a segment belongs to another connection of its address.

    Targets start at random sequence numbers, and the agent sees all that its
    target sends. A delayed segment may acknowledge any part of it.
    """
    if connection.sent_end is None or not segment.acknowledges:
        return False
    distance = sequence_distance(connection.sent_end, segment.acknowledgement)
    if connection.sequence < 0 or distance > 0:
        return abs(distance) > MAX_UNACKNOWLEDGED_BYTES
    return sequence_distance(connection.sequence, segment.acknowledgement) < 0


def _receive_unknown(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection | None,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    """Deliver a segment of an unknown connection to the target.

    The target returns the segment if it does not hold the connection. The
    agent cannot decide this itself: it may have started after the connection
    opened, and the acknowledgement of an opening segment may be meant for
    another target.
    """
    message = pending.message
    if connection is not None:
        record_segment(agent, key, connection, message, now)
        if segment.data_bytes:
            _receive_data(agent, key, connection, segment, now)
            return
    else:
        balancers = agent.searching_balancers_by_key.setdefault(key, set())
        add_balancer(balancers, message.balancer)
        if len(agent.searching_balancers_by_key) > MAX_PENDING:
            agent.searching_balancers_by_key.popitem(last=False)
    deliver_pending(agent, pending, segment, now)


def _receive_other(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    """Deny a segment of another connection than the one that is known here.

    The target returns it, too, but may answer data with a reset instead if
    the known connection has ended. Without a search, the balancer takes it
    for a segment of that connection, so that the target decides.
    """
    if connection.has_finished and pending.message.search:
        not_held = ConnectionNotHeld(key, segment.acknowledgement)
        agent.actions.send(pending.requester, not_held)
    else:
        deliver_pending(agent, pending, segment, now)


def _receive_established(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
    now: float,
) -> None:
    if segment.resets or segment.finishes:
        end_request(agent, key, now)
    if segment.data_bytes:
        _receive_data(agent, key, connection, segment, now)
    else:
        deliver(agent, segment, 0, now)


def _receive_data(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
    now: float,
) -> None:
    """Process a caller's data: a request, a part of one or a copy."""
    end = connection.data_end
    if end is None or sequence_distance(end, segment.end) > 0:
        connection.data_end = segment.end
        if key not in agent.running_by_key:
            start_request(agent, key, connection, now)
    deliver(agent, segment, 0, now)


def _record_answer(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    now: float,
) -> None:
    """Update the service time and failure share from an answer."""
    started_at = end_request(agent, key, now)
    if started_at is None:
        return
    elapsed = now - started_at
    is_refusal = elapsed < MIN_ANSWER_TIME_S
    if not is_refusal or connection.concurrent_requests <= agent.slots:
        # A refusal by a full target is expected; with a free slot it is a
        # failure.
        agent.failures.observe(now, is_refusal)
    if is_refusal:
        return
    agent.service_time.observe(work_time(agent, connection, elapsed, now))
    agent.last_finished_at = now
    agent.finished += 1
    agent.actions.record("upstream", elapsed)


def receive_from_target(agent: ConnectionAgent, segment: Segment, now: float) -> None:
    """Process a segment that the target sent or returned."""
    agent.silence.record_answer()
    # Another process of the target may have started while this one stops.
    agent.has_target_ended = False
    agent.is_port_closed = False
    if segment.returned:
        _receive_returned(agent, segment, now)
        return
    key = segment.key_from_target
    connection = agent.connections_by_key.get(key)
    if connection is None:
        if segment.resets:
            agent.actions.answer(segment)
            return
        balancers = withdraw_held(agent, key)
        connection = add_connection(agent, key, now)
        connection.balancers |= balancers
    connection.last_at = now
    if segment.opens:
        _record_opening_answer(agent, key, connection, segment, now)
    else:
        _record_sent(connection, segment)
        _mark_open(agent, key, connection)
    agent.actions.answer(segment)
    if segment.data_bytes:
        _record_answer(agent, key, connection, now)
    elif segment.finishes:
        end_request(agent, key, now)
    if segment.resets:
        if key in agent.running_by_key:
            agent.failures.observe(now, True)
        remove_connection(agent, key, now)


def _record_sent(connection: LocalConnection, segment: Segment) -> None:
    """Record how far the target has sent."""
    end = connection.sent_end
    if end is None or sequence_distance(end, segment.end) > 0:
        connection.sent_end = segment.end
    connection.has_finished |= segment.finishes


def _record_opening_answer(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
    now: float,
) -> None:
    """Record that the target accepted a connection, unless it is a copy.

    A former connection of the address ends with it.
    """
    if connection.sequence == segment.sequence:
        return
    end_request(agent, key, now)
    connection.is_open = False
    connection.data_end = None
    connection.has_finished = False
    connection.sequence = segment.sequence
    connection.sent_end = segment.end
    notify_balancers(agent, key, connection)


def _mark_open(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection
) -> None:
    if not connection.is_open:
        connection.is_open = True
        if connection.sequence < 0:
            agent.has_older_connection = True
        connection.balancers |= agent.searching_balancers_by_key.pop(key, set())
        notify_balancers(agent, key, connection)


def _receive_returned(agent: ConnectionAgent, segment: Segment, now: float) -> None:
    pending = agent.pending_by_tag.pop(segment.tag, None)
    key = segment.key_from_caller
    agent.searching_balancers_by_key.pop(key, None)
    connection = agent.connections_by_key.get(key)
    if segment.opens:
        if connection is not None and connection.is_open:
            return
        remove_connection(agent, key, now)
        if pending is not None:
            held = now - pending.received_at
            forward_opening(agent, key, pending.message, segment, "target-full", held)
        return
    balancers = set()
    if pending is not None:
        balancers.add(pending.requester)
    if connection is not None and not _is_of_other_connection(connection, segment):
        balancers |= connection.balancers
        remove_connection(agent, key, now)
    for balancer in balancers:
        agent.actions.send(balancer, ConnectionNotHeld(key, segment.acknowledgement))


def tick(agent: ConnectionAgent, now: float) -> None:
    """Run the periodic work; call it about 20 times a second."""
    for key, started_at in list(agent.running_by_key.items()):
        if now - started_at > ANSWER_TIMEOUT_S:
            agent.actions.log("no-answer", connection=key, waited=now - started_at)
            agent.failures.observe(now, True)
            end_request(agent, key, now)
    for key in agent.opening_queue.expire(now):
        refuse_held(agent, key, WAITED_TOO_LONG, now)
    refuse_hopeless(agent, now)
    admit_held(agent, now)
    agent.searches.tick(now)
    _evict_idle(agent, now)
    report_load(agent, now)
    log_load(agent, now)


def is_port_check_due(agent: ConnectionAgent, now: float) -> bool:
    """Return whether to check if a process listens at the target's port.

    Only the check tells a target that has ended from one that works on long
    requests.
    """
    if not agent.silence.is_silent(now):
        agent.is_port_closed = False
        return False
    if now - agent.port_checked_at < PORT_CHECK_INTERVAL_S:
        return False
    agent.port_checked_at = now
    return True


def _evict_idle(agent: ConnectionAgent, now: float) -> None:
    connections = agent.connections_by_key
    while connections:
        key = next(iter(connections))
        if now - connections[key].last_at < CONNECTION_IDLE_TIMEOUT_S:
            return
        remove_connection(agent, key, now)
