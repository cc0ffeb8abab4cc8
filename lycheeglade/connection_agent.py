"""Decision logic of the agent that runs beside a target.

The agent sees the segments of its target's connections in both directions.
From them it derives which connections the target holds, which requests run
and how long requests take. New connections wait here while the target is full
(`opening_queue`). Requests never do: the target has a short queue of its own
and refuses at once what does not fit in it.
"""

from lycheeglade.address import Address
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    LocalConnection,
    PendingSegment,
)
from lycheeglade.connection_load import (
    expected_answer_time,
    log_load,
    make_report,
    report_load,
    work_time,
)
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    ForwardSegment,
    HomeFound,
    LoadRequest,
    Message,
    OpeningHeld,
    OpeningRefused,
)
from lycheeglade.segment import ConnectionKey, Segment, sequence_distance

MAX_PENDING = 4096
# Connections without segments for CONNECTION_IDLE_TIMEOUT_S seconds are
# evicted.
CONNECTION_IDLE_TIMEOUT_S = 60.0
# A request without an answer after ANSWER_TIMEOUT_S seconds counts as failed.
ANSWER_TIMEOUT_S = 1.0
# Answers that take less than MIN_ANSWER_TIME_S seconds are refusals by a full
# target.
MIN_ANSWER_TIME_S = 0.001
TAG_SPACE = 1 << 32
QUEUE_FULL = "queue-full"
WAITED_TOO_LONG = "waited-too-long"
# An opening segment is forwarded to the next candidate only if the expected
# time here exceeds the candidate's time multiplied by this factor, plus this
# cost. They cover the network delay to the candidate and the age of its
# reported load.
FORWARD_COST_FACTOR = 1.5
FORWARD_COST_S = 0.004


def receive_message(
    agent: ConnectionAgent, message: Message, source: Address, now: float
) -> None:
    """Process a message from a balancer or from another agent."""
    if isinstance(message, LoadRequest):
        agent.last_heard_by_balancer[source] = now
        agent.slots = max(1, message.slots)
        if message.is_near:
            agent.far_reported_at_by_balancer.pop(source, None)
        else:
            agent.far_reported_at_by_balancer[source] = now
        agent.actions.send(source, make_report(agent, now))
    elif isinstance(message, ForwardSegment):
        agent.last_heard_by_balancer[message.balancer] = now
        segment = agent.actions.decode(message.datagram)
        requester = source if message.is_relayed else message.balancer
        _receive_forwarded(agent, PendingSegment(message, requester), segment, now)
    elif isinstance(message, ConnectionNotHeld):
        agent.searches.handle_not_held(message, source)


def _receive_forwarded(
    agent: ConnectionAgent, pending: PendingSegment, segment: Segment, now: float
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
        _record_segment(agent, key, connection, message, now)
        _receive_established(agent, key, connection, segment, now)


def _receive_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection | None,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    message = pending.message
    if connection is None:
        if message.service != agent.service:
            _forward_opening(agent, key, message, segment, "other-service")
            return
        if key in agent.held_openings_by_key:
            return
        if _is_next_candidate_faster(agent, message, now):
            _forward_opening(agent, key, message, segment, "busy")
            return
        if agent.held_openings_by_key or not _has_room(agent, now):
            _hold_opening(agent, key, pending, segment, now)
            return
    _accept_opening(agent, key, pending, segment, now)


def _accept_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    """Deliver an opening segment to the target."""
    connection = agent.connections_by_key.get(key)
    if connection is None:
        connection = _add_connection(agent, key, now)
    if not connection.is_open:
        agent.opening_queue.record_accepted(key, now)
    _record_segment(agent, key, connection, pending.message, now)
    _deliver_pending(agent, pending, segment, now)


def _has_room(agent: ConnectionAgent, now: float) -> bool:
    return agent.opening_queue.has_room(
        len(agent.running_by_key), agent.slots, agent.service_time.mean, now
    )


def _hold_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    """Let a new connection wait for a slot of the target."""
    agent.held_openings_by_key[key] = pending, segment
    refused = agent.opening_queue.hold(key, agent.slots, agent.service_time.mean, now)
    agent.actions.send(pending.message.balancer, OpeningHeld(key))
    for refused_key in refused:
        _refuse_held(agent, refused_key, QUEUE_FULL)
    _admit_held(agent, now)


def _admit_held(agent: ConnectionAgent, now: float) -> None:
    """Deliver connections that wait as far as the target has room."""
    while agent.held_openings_by_key and _has_room(agent, now):
        key = agent.opening_queue.take_next()
        pending, segment = agent.held_openings_by_key.pop(key)
        _accept_opening(agent, key, pending, segment, now)


def _stop_holding(agent: ConnectionAgent, key: ConnectionKey) -> None:
    agent.opening_queue.remove(key)
    agent.held_openings_by_key.pop(key, None)


def _refuse_held(agent: ConnectionAgent, key: ConnectionKey, cause: str) -> None:
    """Forward a connection that waits, or let its balancer refuse it.

    One that has waited as long as it may is not forwarded, since its caller
    gives up before it could wait again. A copy of its opening may have come by
    another balancer meanwhile and have opened the connection elsewhere, so
    this agent must not reset it.
    """
    pending, segment = agent.held_openings_by_key.pop(key)
    if pending.message.candidates and cause == QUEUE_FULL:
        _forward_opening(agent, key, pending.message, segment, cause)
        return
    agent.actions.log("passed-on", connection=key, cause=cause, candidates=0)
    agent.actions.send(pending.message.balancer, OpeningRefused(key))


def _is_next_candidate_faster(
    agent: ConnectionAgent, message: ForwardSegment, now: float
) -> bool:
    """Return whether the next candidate is expected to answer much sooner.

    The agent decides anew since its own load figures are more recent than
    those that the balancer used.
    """
    if not message.costs:
        return False
    candidate_time = message.costs[0] * FORWARD_COST_FACTOR + FORWARD_COST_S
    return expected_answer_time(agent, now) > candidate_time


def _forward_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    message: ForwardSegment,
    segment: Segment,
    cause: str,
) -> None:
    """Forward an opening segment to the next candidate, or refuse it.

    A retransmitted opening segment that a balancer forwards to the
    connection's home names no service and is never refused: the target may
    hold the connection although a newly started agent does not know it.
    """
    agent.actions.log(
        "passed-on", connection=key, cause=cause, candidates=len(message.candidates)
    )
    if message.candidates:
        first, *rest = message.candidates
        agent.actions.send(
            first,
            ForwardSegment(
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
        _record_segment(agent, key, connection, message, now)
        if segment.data_bytes:
            _receive_data(agent, key, connection, segment, now)
            return
    else:
        balancers = agent.searching_balancers_by_key.setdefault(key, set())
        balancers.add(message.balancer)
        if len(agent.searching_balancers_by_key) > MAX_PENDING:
            agent.searching_balancers_by_key.popitem(last=False)
    _deliver_pending(agent, pending, segment, now)


def _deliver_pending(
    agent: ConnectionAgent, pending: PendingSegment, segment: Segment, now: float
) -> None:
    tag = agent.next_tag
    agent.next_tag = tag % (TAG_SPACE - 1) + 1
    agent.pending_by_tag[tag] = pending
    if len(agent.pending_by_tag) > MAX_PENDING:
        agent.pending_by_tag.popitem(last=False)
    _deliver(agent, segment, tag, now)


def _deliver(agent: ConnectionAgent, segment: Segment, tag: int, now: float) -> None:
    if segment.opens:
        agent.silence.record_opening(segment, now)
    elif tag and segment.data_bytes:
        agent.silence.record_unknown_data(segment, now)
    agent.actions.deliver(segment, tag)


def _add_connection(
    agent: ConnectionAgent, key: ConnectionKey, now: float
) -> LocalConnection:
    connection = agent.connections_by_key[key] = LocalConnection(now)
    if len(agent.connections_by_key) > agent.limits.agent_connections:
        oldest = next(iter(agent.connections_by_key))
        _remove_connection(agent, oldest, now)
    return connection


def _remove_connection(agent: ConnectionAgent, key: ConnectionKey, now: float) -> None:
    agent.connections_by_key.pop(key, None)
    _stop_holding(agent, key)
    _end_request(agent, key, now)


def _record_segment(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    message: ForwardSegment,
    now: float,
) -> None:
    connection.last_at = now
    agent.connections_by_key.move_to_end(key)
    if message.balancer not in connection.balancers or message.search:
        connection.balancers.add(message.balancer)
        if connection.is_open:
            _send_home_found(agent, message.balancer, key, connection)


def _send_home_found(
    agent: ConnectionAgent,
    balancer: Address,
    key: ConnectionKey,
    connection: LocalConnection,
) -> None:
    home_found = HomeFound(key, connection.sequence, connection.is_open)
    agent.actions.send(balancer, home_found)


def _receive_established(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
    now: float,
) -> None:
    if segment.resets or segment.finishes:
        _end_request(agent, key, now)
    if segment.data_bytes:
        _receive_data(agent, key, connection, segment, now)
    else:
        _deliver(agent, segment, 0, now)


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
            _start_request(agent, key, connection, now)
    _deliver(agent, segment, 0, now)


def _start_request(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection, now: float
) -> None:
    """Record that a request of the connection runs at the target."""
    agent.running_by_key[key] = now
    _stop_holding(agent, key)
    connection.concurrent_requests = len(agent.running_by_key)
    if connection.concurrent_requests <= agent.slots:
        agent.busy.add(now, 1)


def _end_request(
    agent: ConnectionAgent, key: ConnectionKey, now: float
) -> float | None:
    """Remove the running request and return its start time, if any.

    The busy share counts at most as many requests as the target has slots.
    """
    started_at = agent.running_by_key.pop(key, None)
    if started_at is not None:
        if len(agent.running_by_key) < agent.slots:
            agent.busy.add(now, -1)
        _admit_held(agent, now)
    return started_at


def _record_answer(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    now: float,
) -> None:
    """Update the service time and failure share from an answer."""
    started_at = _end_request(agent, key, now)
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
    if segment.returned:
        _receive_returned(agent, segment, now)
        return
    key = segment.key_from_target
    connection = agent.connections_by_key.get(key)
    if connection is None:
        if segment.resets:
            agent.actions.answer(segment)
            return
        connection = _add_connection(agent, key, now)
    connection.last_at = now
    if segment.opens:
        _record_opening_answer(agent, key, connection, segment)
    else:
        _mark_open(agent, key, connection)
    agent.actions.answer(segment)
    if segment.data_bytes:
        _record_answer(agent, key, connection, now)
    elif segment.finishes:
        _end_request(agent, key, now)
    if segment.resets:
        if key in agent.running_by_key:
            agent.failures.observe(now, True)
        _remove_connection(agent, key, now)


def _record_opening_answer(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection,
    segment: Segment,
) -> None:
    if connection.sequence != segment.sequence:
        connection.sequence = segment.sequence
        _notify_balancers(agent, key, connection)


def _mark_open(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection
) -> None:
    if not connection.is_open:
        connection.is_open = True
        connection.balancers |= agent.searching_balancers_by_key.pop(key, set())
        _notify_balancers(agent, key, connection)


def _notify_balancers(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection
) -> None:
    for balancer in connection.balancers:
        _send_home_found(agent, balancer, key, connection)


def _receive_returned(agent: ConnectionAgent, segment: Segment, now: float) -> None:
    pending = agent.pending_by_tag.pop(segment.tag, None)
    key = segment.key_from_caller
    agent.searching_balancers_by_key.pop(key, None)
    connection = agent.connections_by_key.get(key)
    if segment.opens:
        if connection is not None and connection.is_open:
            return
        _remove_connection(agent, key, now)
        if pending is not None:
            _forward_opening(agent, key, pending.message, segment, "target-full")
        return
    balancers = set()
    if pending is not None:
        balancers.add(pending.requester)
    if connection is not None:
        balancers |= connection.balancers
        _remove_connection(agent, key, now)
    for balancer in balancers:
        agent.actions.send(balancer, ConnectionNotHeld(key, segment.acknowledgement))


def tick(agent: ConnectionAgent, now: float) -> None:
    """Run the periodic work; call it about 20 times a second."""
    for key, started_at in list(agent.running_by_key.items()):
        if now - started_at > ANSWER_TIMEOUT_S:
            agent.actions.log("no-answer", connection=key, waited=now - started_at)
            agent.failures.observe(now, True)
            _end_request(agent, key, now)
    for key in agent.opening_queue.expire(now):
        _refuse_held(agent, key, WAITED_TOO_LONG)
    _admit_held(agent, now)
    agent.searches.tick(now)
    _evict_idle(agent, now)
    report_load(agent, now)
    log_load(agent, now)


def _evict_idle(agent: ConnectionAgent, now: float) -> None:
    connections = agent.connections_by_key
    while connections:
        key = next(iter(connections))
        if now - connections[key].last_at < CONNECTION_IDLE_TIMEOUT_S:
            return
        _remove_connection(agent, key, now)
