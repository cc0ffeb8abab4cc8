"""Placement of new connections by a balancer.

Load patterns: a target or agent that has just crashed, whose connections are
tried elsewhere without waiting for the caller; targets that a transient error
of the platform removes from the view; and a wait at all targets that is longer
than callers wait, which is refused at once.
"""

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.connection_balancer_state import (
    Connection,
    ConnectionBalancer,
    forward_segment,
    send_message,
)
from lycheeglade.opening_queue import MAX_HOLD_S
from lycheeglade.relay_message import ForwardSegment, OpeningHeld, OpeningRefused
from lycheeglade.route import Route, pick_service
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.target_load import AgentLoad, rank_by_load
from lycheeglade.view import State, Target

# An opening segment is also sent to another agent if the first one has not
# accepted the connection within this minimum, or within this multiple of the
# recent mean acceptance delay if that is longer.
MIN_OPENING_TIMEOUT_S = 0.03
OPENING_TIMEOUT_FACTOR = 4.0
ACCEPT_DELAY_GAIN = 0.1
MAX_OPENING_TRIES = 4
# Callers repeat an opening segment after these times, give or take
# COPY_MARGIN_S.
COPY_DELAYS_S = (0.2, 0.6)
COPY_MARGIN_S = 0.03
# A target that is removed from the view while live, without draining first,
# may be missing after a transient error of the platform. It stays usable for
# REMOVAL_GRACE_S.
REMOVAL_GRACE_S = 2.0


def receive_opening(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    route: Route,
    segment: Segment,
    now: float,
) -> None:
    """Place a new connection, or pass a copy of its opening to its home."""
    if connection.opening_copies < 0:
        connection.opening_received_at = now - _copy_delay(segment.acknowledgement)
    connection.opening_copies = max(connection.opening_copies, segment.acknowledgement)
    if connection.homes:
        forward_segment(balancer, connection.homes[-1].agent, segment, now)
        return
    if connection.tried_agents and now - connection.opening_sent_at < _opening_timeout(
        balancer
    ):
        return
    if _is_held(balancer, connection, now):
        return
    connection.opening = segment
    balancer.opening_keys.add(key)
    _place_opening(balancer, key, connection, route, now)


def _copy_delay(copies: int) -> float:
    """Return the seconds between an opening segment and that copy of it."""
    if copies <= 0:
        return 0.0
    return COPY_DELAYS_S[min(copies, len(COPY_DELAYS_S)) - 1]


def _is_held(balancer: ConnectionBalancer, connection: Connection, now: float) -> bool:
    """Return whether the connection waits at an agent that still answers."""
    if (
        connection.held_by is None
        or now - connection.opening_sent_at > MAX_HOLD_S + MIN_OPENING_TIMEOUT_S
    ):
        return False
    load = balancer.loads_by_agent.get(connection.held_by)
    return load is not None and not load.is_unresponsive(now)


def _opening_timeout(balancer: ConnectionBalancer) -> float:
    """Return the seconds within which an agent should accept a connection."""
    delay = OPENING_TIMEOUT_FACTOR * balancer.accept_delay
    return max(MIN_OPENING_TIMEOUT_S, delay)


def _place_opening(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    route: Route,
    now: float,
) -> None:
    """Send an opening segment to the best target that was not tried yet."""
    segment = connection.opening
    service = pick_service(route, xxh3_64_intdigest(str(key).encode()))
    eligible = _eligible_targets(balancer, service, now)
    untried = [
        t for t in eligible if t.agent not in connection.tried_agents
    ] or eligible
    ranked = rank_by_load(
        untried,
        balancer.loads_by_agent,
        balancer.zone,
        now,
        balancer.generator,
        route.is_bulk,
        balancer.warmup_overage,
    )
    if not ranked or ranked[0].cost > route.timeout:
        balancer.actions.log(
            "refused",
            connection=key,
            cause="overload" if ranked else "no-target",
            service=service,
            targets=len(eligible),
            wait_s=ranked[0].cost if ranked else 0.0,
            limit_s=route.timeout,
            revision=balancer.view.store,
        )
        balancer.opening_keys.discard(key)
        # An earlier copy may have opened the connection.
        if not segment.acknowledgement and not connection.tried_agents:
            balancer.actions.reset(key, 0)
        return
    first = ranked[0].target
    connection.tried_agents.append(first.agent)
    connection.opening_sent_at = now
    load = balancer.loads_by_agent.setdefault(first.agent, AgentLoad())
    balancer.actions.log(
        "placed",
        connection=key,
        agent=first.agent,
        attempt=len(connection.tried_agents),
        wait_s=ranked[0].cost,
        report_age_s=now - load.reported_at,
        placements=load.recent_placements,
        targets=len(eligible),
        revision=balancer.view.store,
    )
    load.recent_placements += 1
    message = ForwardSegment(
        balancer=balancer.address,
        datagram=segment.datagram,
        service=service,
        candidates=tuple(place.target.agent for place in ranked[1:]),
        costs=tuple(place.cost for place in ranked[1:]),
    )
    send_message(balancer, first.agent, message, now)


def _eligible_targets(
    balancer: ConnectionBalancer, service: str | None, now: float
) -> list[Target]:
    """Return the targets that may get a new connection of `service`.

    Targets that vanished from the view less than `REMOVAL_GRACE_S` ago are
    included if their agents sent a message since.
    """
    targets = balancer.view.targets_by_service.get(service, {})
    eligible = [t for t in targets.values() if t.state is State.LIVE]
    for target, name, gone_at in balancer.unannounced_removals_by_id.values():
        if name == service and now - gone_at < REMOVAL_GRACE_S:
            load = balancer.loads_by_agent.get(target.agent)
            if load is not None and load.last_heard_at > gone_at:
                eligible.append(target)
    return eligible


def handle_opening_refused(
    balancer: ConnectionBalancer, message: OpeningRefused, source: Address, now: float
) -> None:
    """Refuse a connection that got no turn at the agent where it waited.

    Its caller is told only if all copies of the opening segment that were due
    came by this balancer. Otherwise another balancer may have opened the
    connection, which a reset would break.
    """
    connection = balancer.connections_by_key.get(message.key)
    if connection is None or connection.homes or connection.held_by != source:
        return
    age = now - connection.opening_received_at
    due = sum(age > delay + COPY_MARGIN_S for delay in COPY_DELAYS_S)
    is_told = connection.opening_copies >= due
    balancer.actions.log(
        "refused",
        connection=message.key,
        cause="no-turn",
        agent=source,
        waited_s=age,
        copies=connection.opening_copies,
        is_told=is_told,
    )
    if is_told:
        del balancer.connections_by_key[message.key]
        balancer.actions.reset(message.key, 0)
    else:
        connection.held_by = None


def handle_opening_held(
    balancer: ConnectionBalancer, message: OpeningHeld, source: Address
) -> None:
    """Stop trying other agents: the connection waits for its turn at one."""
    connection = balancer.connections_by_key.get(message.key)
    if connection is not None and not connection.homes:
        connection.held_by = source
        balancer.opening_keys.discard(message.key)


def retry_openings(balancer: ConnectionBalancer, now: float) -> None:
    """Send openings that no agent has accepted in time to other agents.

    After a crash of a target or an agent, its new connections are delayed by
    this time-out only, and not until the caller retransmits.
    """
    opening_timeout = _opening_timeout(balancer)
    for key in list(balancer.opening_keys):
        connection = balancer.connections_by_key.get(key)
        route = balancer.view.routes_by_address.get(key.service)
        if (
            connection is None
            or connection.homes
            or route is None
            or len(connection.tried_agents) >= MAX_OPENING_TRIES
        ):
            balancer.opening_keys.discard(key)
        elif now - connection.opening_sent_at >= opening_timeout:
            _place_opening(balancer, key, connection, route, now)


def record_accepted_opening(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    now: float,
) -> None:
    """Record how long an agent took to accept a new connection."""
    if key in balancer.opening_keys:
        balancer.opening_keys.discard(key)
        delay = now - connection.opening_sent_at
        balancer.accept_delay += (delay - balancer.accept_delay) * ACCEPT_DELAY_GAIN
