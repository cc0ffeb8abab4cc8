"""Connections and requests at the agent's target, and those that wait for it.

A new connection is delivered, held while the target is full (`opening_queue`),
or forwarded to the next candidate. `warmup` limits those for a cold target.
The end of a request admits one that waits.
"""

from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    LocalConnection,
    PendingSegment,
)
from lycheeglade.connection_delivery import deliver_pending, record_segment
from lycheeglade.connection_load import expected_answer_time
from lycheeglade.relay_message import ForwardSegment, OpeningHeld, OpeningRefused
from lycheeglade.segment import ConnectionKey, Segment

QUEUE_FULL = "queue-full"
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
    """Deliver, hold or forward the opening segment of a connection."""
    message = pending.message
    if connection is None:
        if message.service != agent.service:
            forward_opening(agent, key, message, segment, "other-service")
            return
        if key in agent.held_openings_by_key:
            return
        if message.candidates and not agent.warmup.admits(key, now):
            forward_opening(agent, key, message, segment, COLD)
            return
        if _is_next_candidate_faster(agent, message, now):
            forward_opening(agent, key, message, segment, "busy")
            return
        if agent.held_openings_by_key or not _has_room(agent, now):
            _hold_opening(agent, key, pending, segment, now)
            return
    elif not agent.warmup.admits(key, now):
        # The caller sends another copy, or has its answer already.
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
        connection = add_connection(agent, key, now)
    if not connection.is_open:
        agent.opening_queue.record_accepted(key, now)
    agent.warmup.record(key, now)
    record_segment(agent, key, connection, pending.message, now)
    deliver_pending(agent, pending, segment, now)


def _has_room(agent: ConnectionAgent, now: float) -> bool:
    return agent.warmup.has_room(now) and agent.opening_queue.has_room(
        len(agent.running_by_key), agent.slots, agent.service_time.mean, now
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
    refused = agent.opening_queue.hold(key, agent.slots, service_time, now)
    agent.actions.send(pending.message.balancer, OpeningHeld(key))
    for refused_key in refused:
        refuse_held(agent, refused_key, QUEUE_FULL)
    admit_held(agent, now)


def admit_held(agent: ConnectionAgent, now: float) -> None:
    """Deliver connections that wait as far as the target has room."""
    while agent.held_openings_by_key and _has_room(agent, now):
        key = agent.opening_queue.take_next()
        pending, segment = agent.held_openings_by_key.pop(key)
        _accept_opening(agent, key, pending, segment, now)


def _stop_holding(agent: ConnectionAgent, key: ConnectionKey) -> None:
    agent.opening_queue.remove(key)
    agent.held_openings_by_key.pop(key, None)


def refuse_held(agent: ConnectionAgent, key: ConnectionKey, cause: str) -> None:
    """Forward a connection that waits, or let its balancer refuse it.

    One that has waited as long as it may is not forwarded, since its caller
    gives up before it could wait again. A copy of its opening may have come by
    another balancer meanwhile and have opened the connection elsewhere, so
    this agent must not reset it.
    """
    pending, segment = agent.held_openings_by_key.pop(key)
    if pending.message.candidates and cause == QUEUE_FULL:
        forward_opening(agent, key, pending.message, segment, cause)
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


def forward_opening(
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


def add_connection(
    agent: ConnectionAgent, key: ConnectionKey, now: float
) -> LocalConnection:
    """Add a connection to the table, which discards its oldest one if full."""
    connection = agent.connections_by_key[key] = LocalConnection(now)
    if len(agent.connections_by_key) > agent.limits.agent_connections:
        oldest = next(iter(agent.connections_by_key))
        remove_connection(agent, oldest, now)
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
