"""Decision logic of a balancer that forwards connections.

A balancer forwards a caller's segments to the connection's home. Its table of
connections is a cache: for an unknown connection it searches the agents of the
service, so any balancer can forward any segment, even one that started after
the connection opened.
"""

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.connection_balancer_state import (
    Connection,
    ConnectionBalancer,
    Home,
    abandon_connection,
    forward_segment,
    send_message,
)
from lycheeglade.connection_search import (
    conclude_search,
    pick_home,
    queue_segment,
    search_home,
)
from lycheeglade.opening_queue import MAX_HOLD_S
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    ConnectionNotHeldBy,
    ForwardSegment,
    HomeFound,
    LoadReport,
    LoadRequest,
    Message,
    OpeningHeld,
)
from lycheeglade.route import Route, RoutingView, pick_service
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.target_load import AgentLoad, rank_by_load
from lycheeglade.view import State, Target

MAX_QUEUED_OPENINGS = 256
# Connections without segments for CONNECTION_IDLE_TIMEOUT_S seconds are
# evicted. A later segment starts a search for the connection.
CONNECTION_IDLE_TIMEOUT_S = 60.0
# An opening segment is also sent to another agent if the first one has not
# accepted the connection within this minimum, or within this multiple of the
# recent mean acceptance delay if that is longer.
MIN_OPENING_TIMEOUT_S = 0.03
OPENING_TIMEOUT_FACTOR = 4.0
ACCEPT_DELAY_GAIN = 0.1
MAX_OPENING_TRIES = 4
# A target that is removed from the view while live, without draining first,
# may be missing after a transient error of the platform. It stays usable for
# REMOVAL_GRACE_S.
REMOVAL_GRACE_S = 2.0
# Refused segments to addresses without a route are logged once in this time
# for each caller's IP, and together for the callers beyond this number.
UNROUTED_LOG_INTERVAL_S = 1.0
MAX_UNROUTED_SOURCES = 64
OTHER_SOURCES = "others"
# Interval for agents that were never heard: after a loss of power they start
# at about the same time as the balancers.
FIRST_REQUEST_INTERVAL_S = 0.1
# A gap of more than MIN_PAUSE_S seconds between two runs means that this
# process was paused.
MIN_PAUSE_S = 0.5


def update_routing(balancer: ConnectionBalancer, view: RoutingView, now: float) -> None:
    """Apply a view, unless it is older than the current one."""
    if view.revision < balancer.view.revision:
        return
    previous, balancer.view = balancer.view, view
    balancer.view_at = balancer.view_at or now
    current = {
        target_id: (target, service)
        for service, targets in view.targets_by_service.items()
        for target_id, target in targets.items()
    }
    for service, targets in previous.targets_by_service.items():
        for target_id, target in targets.items():
            if target_id in current:
                continue
            balancer.removed_by_agent[target.agent] = (target, service, now)
            if target.state is State.LIVE:
                balancer.unannounced_removals_by_id[target_id] = (target, service, now)
            balancer.actions.log("target-gone", target=target_id, service=service)
    for target_id, (target, _) in current.items():
        balancer.unannounced_removals_by_id.pop(target_id, None)
        load = balancer.loads_by_agent.setdefault(target.agent, AgentLoad())
        load.is_near = target.zone == balancer.zone
        if load.slots != target.slots:
            load.slots = target.slots
            _send_load_request(balancer, target.agent, now)
    if view.configuration and balancer.queued_openings:
        queued, balancer.queued_openings = balancer.queued_openings, []
        for segment in queued:
            receive_segment(balancer, segment, now)


def receive_segment(balancer: ConnectionBalancer, segment: Segment, now: float) -> None:
    """Process a segment from a caller."""
    _detect_pause(balancer, now)
    if not balancer.view.configuration:
        if len(balancer.queued_openings) < MAX_QUEUED_OPENINGS:
            balancer.queued_openings.append(segment)
        return
    key = segment.key_from_caller
    route = balancer.view.routes_by_address.get(segment.destination)
    if route is None:
        _refuse_unrouted(balancer, key, segment, now)
        return
    if segment.opens:
        _receive_opening(balancer, key, route, segment, now)
    else:
        _receive_established(balancer, key, route, segment, now)


def _detect_pause(balancer: ConnectionBalancer, now: float) -> None:
    """Discard the agents' response deadlines after a pause of this process.

    Otherwise agents would count as silent while this process was paused.
    """
    if now - balancer.last_run_at > MIN_PAUSE_S:
        for load in balancer.loads_by_agent.values():
            load.unanswered_since = None
    balancer.last_run_at = now


def _refuse_unrouted(
    balancer: ConnectionBalancer, key: ConnectionKey, segment: Segment, now: float
) -> None:
    """Refuse a segment to an address without a route.

    The refusals are logged together for each caller's IP: a scan of addresses
    would otherwise fill the log.
    """
    was_known = balancer.connections_by_key.pop(key, None) is not None
    if segment.resets:
        return
    balancer.actions.reset(key, segment.acknowledgement)
    if was_known:
        # The route was removed under the connection.
        balancer.actions.log(
            "refused",
            connection=key,
            cause="no-route",
            configuration=balancer.view.configuration,
        )
        return
    refusals = balancer.unrouted_by_source
    source = key.caller.ip
    if source not in refusals and len(refusals) >= MAX_UNROUTED_SOURCES:
        source = OTHER_SOURCES
    first_at, count, _ = refusals.get(source, (now, 0, key))
    refusals[source] = (first_at, count + 1, key)


def _log_unrouted(balancer: ConnectionBalancer, now: float) -> None:
    for source, (first_at, count, latest) in list(balancer.unrouted_by_source.items()):
        if now - first_at < UNROUTED_LOG_INTERVAL_S:
            continue
        del balancer.unrouted_by_source[source]
        balancer.actions.log(
            "refused",
            source=source,
            latest=latest,
            cause="no-route",
            configuration=balancer.view.configuration,
            count=count,
        )


def _get_or_add_connection(
    balancer: ConnectionBalancer, key: ConnectionKey, now: float
) -> Connection:
    connections = balancer.connections_by_key
    connection = connections.get(key)
    if connection is None:
        connection = connections[key] = Connection(now)
        if len(connections) > balancer.limits.balancer_connections:
            connections.popitem(last=False)
    else:
        connection.last_at = now
        connections.move_to_end(key)
    return connection


def _receive_opening(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    route: Route,
    segment: Segment,
    now: float,
) -> None:
    connection = _get_or_add_connection(balancer, key, now)
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
            revision=balancer.view.revision,
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
        revision=balancer.view.revision,
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


def _receive_established(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    route: Route,
    segment: Segment,
    now: float,
) -> None:
    connection = _get_or_add_connection(balancer, key, now)
    home = pick_home(connection, segment)
    if home is None:
        queue_segment(connection, segment)
        search_home(balancer, key, connection, route, segment, now)
        return
    load = balancer.loads_by_agent.get(home)
    if route.repeatable and load is not None and load.has_crashed(now):
        # An agent that is silent without having announced its exit has
        # crashed. Requests that may not be repeated keep waiting: their answer
        # may still arrive.
        balancer.actions.log("reset", connection=key, cause="agent-lost", agent=home)
        abandon_connection(balancer, key, segment.acknowledgement)
        return
    forward_segment(balancer, home, segment, now)


def receive_message(
    balancer: ConnectionBalancer, message: Message, source: Address, now: float
) -> None:
    """Process a message from an agent."""
    load = balancer.loads_by_agent.get(source)
    if load is not None:
        load.last_heard_at = now
        load.unanswered_since = None
    if isinstance(message, HomeFound):
        _handle_home_found(balancer, message, source, now)
    elif isinstance(message, ConnectionNotHeld):
        _handle_not_held(balancer, message, source, now)
    elif isinstance(message, ConnectionNotHeldBy):
        _handle_not_held_by(balancer, message, now)
    elif isinstance(message, OpeningHeld):
        _handle_opening_held(balancer, message, source)
    elif isinstance(message, LoadReport):
        _handle_load_report(balancer, load, message, source, now)


def _handle_home_found(
    balancer: ConnectionBalancer, message: HomeFound, source: Address, now: float
) -> None:
    connection = _get_or_add_connection(balancer, message.key, now)
    homes = [home for home in connection.homes if home.agent != source]
    sequence = message.sequence
    if sequence < 0:
        # The agent has restarted since it saw the connection open.
        sequence = next(
            (home.sequence for home in connection.homes if home.agent == source), -1
        )
    homes.append(Home(source, sequence, message.is_open))
    connection.homes = homes
    if connection.search is not None:
        balancer.actions.log(
            "found",
            connection=message.key,
            agent=source,
            asked=len(connection.search.queried_agents),
            after_s=now - connection.search.started_at,
        )
    connection.search = None
    if message.key in balancer.opening_keys:
        balancer.opening_keys.discard(message.key)
        delay = now - connection.opening_sent_at
        balancer.accept_delay += (delay - balancer.accept_delay) * ACCEPT_DELAY_GAIN
    queued, connection.queued_segments = connection.queued_segments, []
    for segment in queued:
        forward_segment(balancer, pick_home(connection, segment), segment, now)


def _handle_not_held(
    balancer: ConnectionBalancer,
    message: ConnectionNotHeld,
    source: Address,
    now: float,
) -> None:
    connection = balancer.connections_by_key.get(message.key)
    if connection is None:
        return
    known = [home for home in connection.homes if home.agent == source]
    if known:
        connection.homes.remove(known[0])
        # If the target never confirmed the connection as open, the caller may
        # have accepted the answer of another target: no reset.
        if known[0].is_open and not connection.homes:
            cause = "target-lost-connection"
            balancer.actions.log(
                "reset", connection=message.key, cause=cause, agent=source
            )
            abandon_connection(balancer, message.key, message.acknowledgement)
        return
    if connection.search is not None:
        connection.search.denying_agents.add(source)
        conclude_search(balancer, message.key, connection, now)


def _handle_opening_held(
    balancer: ConnectionBalancer, message: OpeningHeld, source: Address
) -> None:
    """Stop trying other agents: the connection waits for its turn at one."""
    connection = balancer.connections_by_key.get(message.key)
    if connection is not None and not connection.homes:
        connection.held_by = source
        balancer.opening_keys.discard(message.key)


def _handle_not_held_by(
    balancer: ConnectionBalancer, message: ConnectionNotHeldBy, now: float
) -> None:
    connection = balancer.connections_by_key.get(message.key)
    if connection is not None and connection.search is not None:
        connection.search.denying_agents.update(message.agents)
        conclude_search(balancer, message.key, connection, now)


def _handle_load_report(
    balancer: ConnectionBalancer,
    load: AgentLoad | None,
    report: LoadReport,
    source: Address,
    now: float,
) -> None:
    if load is None:
        return
    if load.incarnation != report.incarnation or load.silent != report.silent:
        balancer.actions.log(
            "agent",
            agent=source,
            incarnation=report.incarnation,
            silent=report.silent,
            leaving=report.leaving,
        )
    load.incarnation = report.incarnation
    load.reported_at = now
    load.recent_placements = 0
    load.running = report.running
    load.service_time = report.service_time
    load.busy = report.busy
    load.silent = report.silent
    load.leaving = report.leaving
    load.failing = report.failing


def _send_load_request(
    balancer: ConnectionBalancer, agent: Address, now: float
) -> None:
    load = balancer.loads_by_agent[agent]
    send_message(balancer, agent, LoadRequest(load.slots, load.is_near), now)


def tick(balancer: ConnectionBalancer, now: float) -> None:
    """Run the periodic work; call it about 50 times a second."""
    _detect_pause(balancer, now)
    interval = balancer.limits.load_request_interval_s
    if now - balancer.load_request_sent_at >= interval:
        balancer.load_request_sent_at = now
        _evict_idle(balancer, now)
        balancer.first_request_sent_at = now
        balancer.load_request_rounds += 1
        for number, (agent, load) in enumerate(balancer.loads_by_agent.items()):
            # Agents of other zones are asked in every other round: the bytes
            # between zones grow with balancers times agents.
            if load.is_near or (number + balancer.load_request_rounds) % 2:
                _send_load_request(balancer, agent, now)
    elif now - balancer.first_request_sent_at >= FIRST_REQUEST_INTERVAL_S:
        balancer.first_request_sent_at = now
        for agent, load in balancer.loads_by_agent.items():
            if load.last_heard_at == float("-inf"):
                _send_load_request(balancer, agent, now)
    _retry_openings(balancer, now)
    _log_unrouted(balancer, now)
    for key in list(balancer.searching_keys):
        connection = balancer.connections_by_key.get(key)
        if connection is None or connection.search is None:
            balancer.searching_keys.discard(key)
        else:
            conclude_search(balancer, key, connection, now)


def _retry_openings(balancer: ConnectionBalancer, now: float) -> None:
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


def _evict_idle(balancer: ConnectionBalancer, now: float) -> None:
    connections = balancer.connections_by_key
    while connections:
        key = next(iter(connections))
        if now - connections[key].last_at < CONNECTION_IDLE_TIMEOUT_S:
            break
        del connections[key]
    known = {
        target.agent
        for targets in balancer.view.targets_by_service.values()
        for target in targets.values()
    }
    for agent in list(balancer.loads_by_agent):
        if agent not in known and agent not in balancer.removed_by_agent:
            del balancer.loads_by_agent[agent]
