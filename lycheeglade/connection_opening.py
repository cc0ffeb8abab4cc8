"""Placement of new connections by a balancer.

Load patterns: a target or agent that has just crashed, whose connections are
tried elsewhere without waiting for the caller; and a wait at all targets that
is longer than callers wait, which is refused at once. Which targets are
eligible is decided in `eligibility`.
"""

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.connection_balancer_state import (
    Connection,
    ConnectionBalancer,
    forward_segment,
    send_message,
)
from lycheeglade.eligibility import find_eligible, is_excluded
from lycheeglade.opening_queue import MAX_HOLD_S
from lycheeglade.opening_times import (
    CALLER_ATTEMPT_S,
    COPY_DELAYS_S,
    COPY_MARGIN_S,
    times_left,
)
from lycheeglade.relay_message import ForwardSegment, OpeningHeld, OpeningRefused
from lycheeglade.route import Route, pick_service
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.target_load import AgentLoad, rank_by_load

# An opening segment is also sent to another agent if the first one has not
# accepted the connection within this minimum, or within this multiple of the
# recent mean acceptance delay if that is longer.
MIN_OPENING_TIMEOUT_S = 0.03
OPENING_TIMEOUT_FACTOR = 4.0
ACCEPT_DELAY_GAIN = 0.1
MAX_OPENING_TRIES = 4


def receive_opening(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    route: Route,
    segment: Segment,
    now: float,
) -> None:
    """Place a new connection, or pass a copy of its opening to its home."""
    # A search concerns an earlier connection of the caller's address. Its end
    # must not reset this one.
    connection.search = None
    connection.queued_segments = []
    sent_at = now - _copy_delay(segment.acknowledgement)
    if _may_be_new_attempt(connection, segment, now):
        is_over = _is_former_attempt_over(connection, segment, now)
        _forget_attempt(balancer, connection, route, is_over)
    if connection.opening_copies < 0:
        connection.opening_received_at = sent_at
    elif route.aim > 0.0:
        # A balancer that was paused or had no view gets all copies at once.
        connection.opening_received_at = min(connection.opening_received_at, sent_at)
    if segment.acknowledgement > connection.opening_copies + 1:
        connection.has_missed_copy = True
    connection.opening_copies = max(connection.opening_copies, segment.acknowledgement)
    if connection.homes:
        connection.opening = connection.opening or segment
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


def _may_be_new_attempt(connection: Connection, segment: Segment, now: float) -> bool:
    """Return whether the caller may use the address of an earlier connection.

    Otherwise the segment is a copy of the opening of that connection.
    """
    if now - connection.opening_received_at > CALLER_ATTEMPT_S:
        return True
    earlier = connection.opening
    if earlier is None:
        return segment.acknowledgement == 0
    return segment.sequence != earlier.sequence


def _is_former_attempt_over(
    connection: Connection, segment: Segment, now: float
) -> bool:
    """Return whether a new attempt shows that the former connection is over.

    All copies of an opening have its sequence number, and the first one is
    sent once. Without this evidence, the segment may be a delayed copy of the
    opening of the present connection: of one that this process read after a
    pause, or of one that is known here from a search only.
    """
    earlier = connection.opening
    if earlier is not None and segment.sequence != earlier.sequence:
        return True
    is_overdue = now - connection.opening_received_at > CALLER_ATTEMPT_S
    return is_overdue and (earlier is None or segment.acknowledgement == 0)


def _is_home_excluded(
    balancer: ConnectionBalancer, connection: Connection, route: Route
) -> bool:
    agent = connection.homes[-1].agent
    targets = list(balancer.targets_by_agent.get(agent, ()))
    if agent in balancer.removed_by_agent:
        targets.append(balancer.removed_by_agent[agent][0])
    return any(is_excluded(balancer.view, route, target) for target in targets)


def _forget_attempt(
    balancer: ConnectionBalancer,
    connection: Connection,
    route: Route,
    is_over: bool,
) -> None:
    """Prepare the entry of an earlier connection for a new one.

    If the earlier connection is known to be over, its homes are dropped: an
    agent that no longer knows it would drop the opening segment. A reused
    caller address must not lead to an excluded home either.
    """
    if is_over or (connection.homes and _is_home_excluded(balancer, connection, route)):
        connection.homes = []
    connection.opening = None
    connection.opening_copies = -1
    connection.has_missed_copy = False
    connection.unresolved_tries = 0
    connection.tried_agents = []
    connection.held_by = None


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
    age = now - connection.opening_received_at
    aim_left, time_left = times_left(route.aim, route.timeout, age)
    if time_left < 0.0:
        balancer.actions.log(
            "refused", connection=key, cause="too-late", waited_s=age, is_told=False
        )
        balancer.opening_keys.discard(key)
        return
    service = pick_service(route, xxh3_64_intdigest(str(key).encode()))
    eligibility = find_eligible(
        balancer.view,
        route,
        service,
        balancer.unannounced_removals_by_agent.values(),
        balancer.loads_by_agent,
        now,
    )
    eligible = eligibility.targets
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
            cause=eligibility.cause or "overload",
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
    connection.unresolved_tries += 1
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
        priority=route.priority,
        aim_left=aim_left,
        time_left=time_left,
    )
    send_message(balancer, first.agent, message, now)


def handle_opening_refused(
    balancer: ConnectionBalancer, message: OpeningRefused, source: Address, now: float
) -> None:
    """Refuse a connection that got no turn at the agent where it waited.

    Its caller is told only if all copies of the opening segment that it may
    have sent came by this balancer. Otherwise another balancer may have
    opened the connection, which a reset would break. A search shows that the
    caller has accepted a target's answer. On routes with an aim,
    agents refuse while another agent may still accept an earlier try, so that
    the caller is told only if no other try is open, and if no earlier copy was
    missed.
    """
    connection = balancer.connections_by_key.get(message.key)
    if connection is None or connection.homes or connection.held_by != source:
        return
    age = now - connection.opening_received_at
    due = sum(age > delay - COPY_MARGIN_S for delay in COPY_DELAYS_S)
    is_told = connection.opening_copies >= due and connection.search is None
    connection.unresolved_tries -= 1
    route = balancer.view.routes_by_address.get(message.key.service)
    if route is not None and route.aim > 0.0:
        is_told &= not connection.has_missed_copy and not connection.unresolved_tries
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


def release_held_openings(balancer: ConnectionBalancer, agent: Address) -> None:
    """Try openings elsewhere that waited at an agent which has restarted.

    The new process knows nothing of them, and their callers may not repeat
    them in time.
    """
    for key, connection in balancer.connections_by_key.items():
        if connection.held_by != agent or connection.homes:
            continue
        route = balancer.view.routes_by_address.get(key.service)
        if route is not None and route.aim > 0.0:
            connection.held_by = None
            balancer.opening_keys.add(key)


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
