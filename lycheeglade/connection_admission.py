"""Connections and requests at the agent's target, and those that wait for it.

A new connection is delivered, held while the target is full (`opening_queue`),
or forwarded to the next candidate. `warmup` limits those for a cold target.
The end of a request admits one that waits.
"""

from lycheeglade.address import Address
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    LocalConnection,
    PendingSegment,
)
from lycheeglade.connection_delivery import deliver_pending, record_segment
from lycheeglade.connection_load import expected_answer_time, make_report
from lycheeglade.opening_order import GIVE_UP_MARGIN_S
from lycheeglade.opening_times import (
    CALLER_ATTEMPT_S,
    COPY_DELAYS_S,
    COPY_MARGIN_S,
    is_timed,
    reduce_times,
)
from lycheeglade.relay_message import ForwardSegment, OpeningHeld, OpeningRefused
from lycheeglade.segment import ConnectionKey, Segment

QUEUE_FULL = "queue-full"
TOO_LATE = "too-late"
WAITED_TOO_LONG = "waited-too-long"
COLD = "cold"
# An opening segment is forwarded to the next candidate only if the expected
# time here exceeds the candidate's time multiplied by this factor, plus this
# cost. They cover the network delay to the candidate and the age of its
# reported load.
FORWARD_COST_FACTOR = 1.5
FORWARD_COST_S = 0.004


def receive_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    connection: LocalConnection | None,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    """Deliver, hold or forward the opening segment of a connection.

    The report of a process that is new to the balancer makes it tell what it
    knows of the target at once.
    """
    message = pending.message
    if agent.warmup.must_ask():
        agent.actions.send(message.balancer, make_report(agent, now))
    if connection is None:
        if message.service != agent.service:
            forward_opening(agent, key, message, segment, "other-service")
            return
        if key in agent.held_openings_by_key:
            _receive_copy(agent, key, message)
            return
        if message.candidates and not agent.warmup.admits(key, now):
            forward_opening(agent, key, message, segment, COLD)
            return
        if _is_next_candidate_faster(agent, message, now):
            forward_opening(agent, key, message, segment, "busy")
            return
        if (
            agent.held_openings_by_key
            or _is_expiring(message)
            or not _has_room(agent, now, _aim_of(message))
        ):
            _hold_opening(agent, key, pending, segment, now)
            return
    elif not agent.warmup.admits(key, now):
        # The caller sends another copy, or has its answer already.
        return
    _accept_opening(agent, key, pending, segment, now)


def _receive_copy(
    agent: ConnectionAgent, key: ConnectionKey, message: ForwardSegment
) -> None:
    """Let another balancer know that a copy's connection waits here.

    It would otherwise place the connection at another target too. Openings
    without times are left unanswered: a balancer of the previous build sends
    those, and would reset the connection after a refusal although segments
    came by other balancers.
    """
    held, _ = agent.held_openings_by_key[key]
    if message.balancer == held.message.balancer:
        return
    if is_timed(message) and is_timed(held.message):
        agent.searching_balancers_by_key.setdefault(key, set()).add(message.balancer)
        agent.actions.send(message.balancer, OpeningHeld(key))


def _aim_of(message: ForwardSegment) -> float | None:
    return message.aim_left if is_timed(message) else None


def _is_expiring(message: ForwardSegment) -> bool:
    return is_timed(message) and message.time_left <= GIVE_UP_MARGIN_S


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
        connection = add_connection(agent, key, now)
    if connection.opening_sequence != segment.sequence:
        # The caller has ended the connection that is known here.
        connection.opening_sequence = segment.sequence
        connection.is_open = False
    if not connection.is_open:
        agent.opening_queue.record_accepted(key, now)
    agent.warmup.record(key, now)
    record_segment(agent, key, connection, pending.message, now)
    deliver_pending(agent, pending, segment, now)


def _has_room(agent: ConnectionAgent, now: float, aim: float | None = None) -> bool:
    return agent.warmup.has_room(now) and agent.opening_queue.has_room(
        len(agent.running_by_key), agent.slots, agent.service_time.mean, now, aim
    )


def _hold_service_time(agent: ConnectionAgent, now: float) -> float:
    """Return the service time by which openings get their turn, in seconds.

    Those for a cold target get it as the window allows, however quick the
    target is.
    """
    interval = agent.warmup.seconds_per_opening(now)
    return max(agent.service_time.mean, agent.slots * interval)


def _hold_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    pending: PendingSegment,
    segment: Segment,
    now: float,
) -> None:
    """Let a new connection wait for a slot of the target."""
    agent.held_openings_by_key[key] = pending, segment
    service_time = _hold_service_time(agent, now)
    refused = agent.opening_queue.hold(
        key, agent.slots, service_time, now, pending.message
    )
    agent.actions.send(pending.message.balancer, OpeningHeld(key))
    for refused_key in refused:
        refuse_held(agent, refused_key, QUEUE_FULL, now)
    refuse_hopeless(agent, now)
    admit_held(agent, now)


def admit_held(agent: ConnectionAgent, now: float) -> None:
    """Deliver connections that wait as far as the target has room."""
    # An opening that has waited as long as it may is never delivered.
    for key in agent.opening_queue.expire(now):
        refuse_held(agent, key, WAITED_TOO_LONG, now)
    while agent.held_openings_by_key and _has_room(agent, now, _next_aim(agent, now)):
        key = agent.opening_queue.take_next()
        pending, segment = agent.held_openings_by_key.pop(key)
        _record_hold(agent, pending, now)
        copies_from = agent.searching_balancers_by_key.pop(key, set())
        _accept_opening(agent, key, pending, segment, now)
        connection = agent.connections_by_key.get(key)
        if connection is not None:
            connection.balancers |= copies_from


def _next_aim(agent: ConnectionAgent, now: float) -> float | None:
    return agent.opening_queue.next_aim(
        len(agent.running_by_key), agent.slots, _hold_service_time(agent, now), now
    )


def _record_hold(agent: ConnectionAgent, pending: PendingSegment, now: float) -> None:
    """Record how long an opening was held, by its priority."""
    if is_timed(pending.message):
        stage = f"held-{pending.message.priority}"
        agent.actions.record(stage, now - pending.received_at)


def _stop_holding(agent: ConnectionAgent, key: ConnectionKey) -> None:
    agent.opening_queue.remove(key)
    agent.held_openings_by_key.pop(key, None)


def withdraw_held(agent: ConnectionAgent, key: ConnectionKey) -> set[Address]:
    """Stop holding a connection that the target answers already.

    An earlier process of the agent has delivered its opening.

    Returns
    -------
    set of Address
        Balancers that wait for the connection.
    """
    held = agent.held_openings_by_key.get(key)
    if held is None:
        return set()
    _stop_holding(agent, key)
    copies_from = agent.searching_balancers_by_key.pop(key, set())
    return {held[0].message.balancer, *copies_from}


def refuse_hopeless(agent: ConnectionAgent, now: float) -> None:
    """Refuse connections whose expected wait exceeds their remaining time."""
    hopeless = agent.opening_queue.take_hopeless(
        len(agent.running_by_key), agent.slots, _hold_service_time(agent, now), now
    )
    for key in hopeless:
        refuse_held(agent, key, TOO_LATE, now)


def refuse_held(
    agent: ConnectionAgent, key: ConnectionKey, cause: str, now: float
) -> None:
    """Forward a connection that waits, or let its balancer refuse it.

    One that has waited as long as it may is not forwarded, since its caller
    gives up before it could wait again. A copy of its opening may have come by
    another balancer meanwhile and have opened the connection elsewhere, so
    this agent must not reset it.
    """
    pending, segment = agent.held_openings_by_key.pop(key)
    message = pending.message
    held = now - pending.received_at
    _record_hold(agent, pending, now)
    for balancer in agent.searching_balancers_by_key.pop(key, set()):
        agent.actions.send(balancer, OpeningRefused(key))
    can_forward = cause == QUEUE_FULL or (
        cause == TOO_LATE and _can_wait_elsewhere(message, held)
    )
    if _can_hold_again(message, held) and can_forward:
        forward_opening(agent, key, message, segment, cause, held)
        return
    agent.actions.log(
        "passed-on",
        connection=key,
        cause=cause,
        candidates=0,
        priority=message.priority,
        held_s=held,
    )
    agent.actions.send(message.balancer, OpeningRefused(key))


def _can_hold_again(message: ForwardSegment, held: float) -> bool:
    """Return whether there is a candidate that may hold the connection too.

    Holds at several agents in a row would outlast the caller, and the time
    after which an evacuation is in force.
    """
    return bool(message.candidates) and message.held + held < CALLER_ATTEMPT_S


def _can_wait_elsewhere(message: ForwardSegment, held: float) -> bool:
    """Return whether the next candidate is expected to answer in time."""
    answer_time = message.costs[0] if message.costs else 0.0
    return message.time_left - held > answer_time + GIVE_UP_MARGIN_S


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


def forward_opening(
    agent: ConnectionAgent,
    key: ConnectionKey,
    message: ForwardSegment,
    segment: Segment,
    cause: str,
    held: float = 0.0,
) -> None:
    """Forward an opening segment to the next candidate, or refuse it.

    A retransmitted opening segment that a balancer forwards to the
    connection's home names no service and is never refused: the target may
    hold the connection although a newly started agent does not know it. Nor
    does this agent reset a connection whose times are known, or that was held
    for so long that its caller may have repeated the opening segment: only the
    balancer knows whether a copy or another try may have opened it elsewhere.

    Parameters
    ----------
    held : float
        Seconds since the arrival of `message`.
    """
    can_forward = _can_hold_again(message, held)
    total_held = message.held + held
    agent.actions.log(
        "passed-on",
        connection=key,
        cause=cause,
        candidates=len(message.candidates) if can_forward else 0,
        priority=message.priority,
        held_s=held,
    )
    if can_forward:
        first, *rest = message.candidates
        aim_left, time_left = reduce_times(message.aim_left, message.time_left, held)
        agent.actions.send(
            first,
            ForwardSegment(
                balancer=message.balancer,
                datagram=message.datagram,
                service=message.service,
                candidates=tuple(rest),
                costs=tuple(message.costs[1:]),
                priority=message.priority,
                aim_left=aim_left,
                time_left=time_left,
                held=total_held,
            ),
        )
    elif is_timed(message) or total_held > COPY_DELAYS_S[0] - COPY_MARGIN_S:
        # The balancer takes a refusal only from the agent that holds it.
        agent.actions.send(message.balancer, OpeningHeld(key))
        agent.actions.send(message.balancer, OpeningRefused(key))
    elif message.service and not segment.acknowledgement:
        agent.actions.reset(key, 0)


def add_connection(
    agent: ConnectionAgent, key: ConnectionKey, now: float
) -> LocalConnection:
    """Add a connection to the table, which discards its oldest one if full."""
    connection = agent.connections_by_key[key] = LocalConnection(now)
    if len(agent.connections_by_key) > agent.limits.agent_connections:
        oldest = next(iter(agent.connections_by_key))
        remove_connection(agent, oldest, now)
        agent.discarded_at = now
    return connection


def remove_connection(agent: ConnectionAgent, key: ConnectionKey, now: float) -> None:
    """Remove a connection and all that is known of its request."""
    agent.connections_by_key.pop(key, None)
    _stop_holding(agent, key)
    end_request(agent, key, now)


def start_request(
    agent: ConnectionAgent, key: ConnectionKey, connection: LocalConnection, now: float
) -> None:
    """Record that a request of the connection runs at the target."""
    agent.running_by_key[key] = now
    _stop_holding(agent, key)
    connection.concurrent_requests = len(agent.running_by_key)
    if connection.concurrent_requests <= agent.slots:
        agent.busy.add(now, 1)


def end_request(agent: ConnectionAgent, key: ConnectionKey, now: float) -> float | None:
    """Remove the running request and return its start time, if any.

    The busy share counts at most as many requests as the target has slots.
    """
    started_at = agent.running_by_key.pop(key, None)
    if started_at is not None:
        if len(agent.running_by_key) < agent.slots:
            agent.busy.add(now, -1)
        admit_held(agent, now)
    return started_at
