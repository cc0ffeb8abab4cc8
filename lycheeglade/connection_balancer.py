"""Decision logic of a balancer that forwards connections.

A balancer forwards a caller's segments to the connection's home. Its table of
connections is a cache: for an unknown connection it searches the agents of the
service, so any balancer can forward any segment, even one that started after
the connection opened.
"""

from dataclasses import replace

from lycheeglade.address import Address
from lycheeglade.agent_probe import (
    has_crashed,
    record_answer_time,
    record_message,
    request_loads,
    send_load_request,
)
from lycheeglade.cold_targets import learn_warmup
from lycheeglade.connection_balancer_state import (
    Connection,
    ConnectionBalancer,
    HeldSegment,
    Home,
    UnroutedSegments,
    abandon_connection,
    forward_segment,
)
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S
from lycheeglade.connection_opening import (
    handle_opening_held,
    handle_opening_refused,
    receive_opening,
    record_accepted_opening,
    release_held_openings,
    retry_openings,
)
from lycheeglade.connection_search import (
    MAX_CALLER_SILENCE_S,
    conclude_search,
    detect_mass_restart,
    has_target_ended,
    is_acknowledged,
    matches_home,
    pick_home,
    queue_segment,
    repeat_search,
    search_home,
)
from lycheeglade.eligibility import REMOVAL_GRACE_S
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    ConnectionNotHeldBy,
    HomeFound,
    LoadReport,
    Message,
    OpeningHeld,
    OpeningRefused,
)
from lycheeglade.route import Route, RoutingView
from lycheeglade.search_scope import record_former_services
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.target_load import UNKNOWN_SERVICE_TIME_S, AgentLoad
from lycheeglade.view import State
from lycheeglade.view_currency import (
    MAX_SPREAD_S,
    is_view_confirmed,
    is_view_current,
)

MAX_QUEUED_OPENINGS = 256
MAX_HELD_SEGMENTS = 256
# Connections without segments for CONNECTION_IDLE_TIMEOUT_S seconds are
# evicted. A later segment starts a search for the connection.
CONNECTION_IDLE_TIMEOUT_S = 60.0
# Refused segments to addresses without a route are logged once in this time
# for each caller's IP, and together for the callers beyond this number.
UNROUTED_LOG_INTERVAL_S = 1.0
MAX_UNROUTED_SOURCES = 64
OTHER_SOURCES = "others"
# A gap of more than MIN_PAUSE_S seconds between two runs means that this
# process was paused.
MIN_PAUSE_S = 0.5
# An agent's answer within MAX_ANSWER_DELAY_S seconds of a reset concerns the
# connection that was reset; later, the caller may have reused its port.
MAX_ANSWER_DELAY_S = 2.0


def update_routing(balancer: ConnectionBalancer, view: RoutingView, now: float) -> None:
    """Apply a view, unless it is older than the current one.

    If that fails, the previous view stays, so that the same view can be
    applied again.
    """
    if view.store < balancer.view.store:
        return
    previous, previous_targets = balancer.view, balancer.targets_by_agent
    balancer.view = view
    try:
        _update_targets(balancer, previous, now)
    except Exception:
        balancer.view, balancer.targets_by_agent = previous, previous_targets
        raise
    balancer.view_at = balancer.view_at or now
    if view.configuration and balancer.queued_openings:
        queued, balancer.queued_openings = balancer.queued_openings, []
        for segment in queued:
            receive_segment(balancer, segment, now)
    _release_held_segments(balancer, now)


def _update_targets(
    balancer: ConnectionBalancer, previous: RoutingView, now: float
) -> None:
    """Update what is known of the targets from the view after `previous`."""
    view = balancer.view
    record_former_services(balancer, previous, now)
    _log_evacuations(balancer, previous)
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
                removal = (target, service, now)
                balancer.unannounced_removals_by_agent[target.agent] = removal
            balancer.actions.log("target-gone", target=target_id, service=service)
    is_restored = view.era > previous.era
    balancer.targets_by_agent = {}
    for target, service in current.values():
        balancer.targets_by_agent.setdefault(target.agent, []).append(target)
        # A target that was at the address before has ended.
        balancer.removed_by_agent.pop(target.agent, None)
        balancer.unannounced_removals_by_agent.pop(target.agent, None)
        load = balancer.loads_by_agent.setdefault(target.agent, AgentLoad())
        load.is_near = target.zone == balancer.zone
        rate = view.warmup_rates_by_service.get(service, 0.0)
        known = load.slots, load.lifetime
        is_warmup_new = learn_warmup(load, target, rate, now, is_restored, view.era)
        if known != (target.slots, load.lifetime) or is_warmup_new:
            if load.lifetime != known[1]:
                load.target_ended = False
            load.slots = target.slots
            send_load_request(balancer, target.agent, now)


def _log_evacuations(balancer: ConnectionBalancer, previous: RoutingView) -> None:
    """Log the zones whose evacuation began or ended after `previous`."""
    view = balancer.view
    for zone in sorted({*previous.evacuated_zones} ^ {*view.evacuated_zones}):
        balancer.actions.log(
            "evacuation",
            zone=zone,
            cause="begun" if zone in view.evacuated_zones else "ended",
            revision=view.store,
            targets=sum(
                target.zone.name == zone and target.state is State.LIVE
                for targets in view.targets_by_service.values()
                for target in targets.values()
            ),
        )


def receive_segment(balancer: ConnectionBalancer, segment: Segment, now: float) -> None:
    """Process a segment from a caller."""
    _detect_pause(balancer, now)
    if not balancer.view.configuration:
        if len(balancer.queued_openings) < MAX_QUEUED_OPENINGS:
            balancer.queued_openings.append(segment)
        return
    _route_segment(balancer, segment, now, now)


def _route_segment(
    balancer: ConnectionBalancer, segment: Segment, received_at: float, now: float
) -> None:
    key = segment.key_from_caller
    route = balancer.view.routes_by_address.get(segment.destination)
    if route is None:
        if _is_known_unrouted(balancer, key, segment, received_at, now):
            _refuse_unrouted(balancer, key, segment, now)
        else:
            _hold_segment(balancer, segment, received_at)
        return
    if segment.opens:
        connection = _get_or_add_connection(balancer, key, now)
        receive_opening(balancer, key, connection, route, segment, now)
    else:
        _receive_established(balancer, key, route, segment, now)


def _is_known_unrouted(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    segment: Segment,
    received_at: float,
    now: float,
) -> bool:
    """Return whether it is known that no route leads to a segment's address.

    Another balancer may already know a route, and have opened the connection.
    """
    if segment.opens:
        return is_view_confirmed(balancer, now)
    was_routed = (
        key in balancer.connections_by_key
        or segment.destination in balancer.former_services_by_address
    )
    return was_routed or is_view_current(balancer, received_at + MAX_SPREAD_S, now)


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
    refused = refusals.setdefault(source, UnroutedSegments(now, key))
    refused.latest = key
    refused.count += 1
    refused.established += not segment.opens


def _hold_segment(
    balancer: ConnectionBalancer, segment: Segment, received_at: float
) -> None:
    """Hold a segment until the view is confirmed; discard copies."""
    held = balancer.held_segments_by_datagram
    if len(held) < MAX_HELD_SEGMENTS:
        held.setdefault(segment.datagram, HeldSegment(segment, received_at))


def _release_held_segments(balancer: ConnectionBalancer, now: float) -> None:
    """Process the held segments again.

    Those whose callers may have given up are discarded.
    """
    held, balancer.held_segments_by_datagram = balancer.held_segments_by_datagram, {}
    for each in held.values():
        if now - each.received_at <= MAX_CALLER_SILENCE_S:
            _route_segment(balancer, each.segment, each.received_at, now)


def _log_unrouted(balancer: ConnectionBalancer, now: float) -> None:
    for source, refused in list(balancer.unrouted_by_source.items()):
        if now - refused.first_at < UNROUTED_LOG_INTERVAL_S:
            continue
        del balancer.unrouted_by_source[source]
        balancer.actions.log(
            "refused",
            source=source,
            latest=refused.latest,
            cause="no-route",
            configuration=balancer.view.configuration,
            view_age_s=now - balancer.view_at,
            count=refused.count,
            established=refused.established,
        )


def _get_or_add_connection(
    balancer: ConnectionBalancer, key: ConnectionKey, now: float
) -> Connection:
    connections = balancer.connections_by_key
    connection = connections.get(key)
    if connection is None:
        connection = connections[key] = Connection(now, opening_received_at=now)
        if len(connections) > balancer.limits.balancer_connections:
            connections.popitem(last=False)
    else:
        connection.last_at = now
        connections.move_to_end(key)
    return connection


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
    if has_target_ended(balancer, home):
        balancer.actions.log("reset", connection=key, cause="target-ended", agent=home)
        abandon_connection(balancer, key, segment.acknowledgement, now)
        return
    if route.repeatable and has_crashed(balancer, home, now):
        # An agent that is silent without having announced its exit has
        # crashed. Requests that may not be repeated keep waiting: their answer
        # may still arrive.
        balancer.actions.log(
            "reset",
            connection=key,
            cause="agent-lost",
            agent=home,
            silent_s=now - load.unanswered_since,
            unanswered=load.witnessed_requests,
            answer_time_s=balancer.answer_time.limit,
        )
        abandon_connection(balancer, key, segment.acknowledgement, now)
        return
    forward_segment(balancer, home, segment, now)


def receive_message(
    balancer: ConnectionBalancer, message: Message, source: Address, now: float
) -> None:
    """Process a message from an agent."""
    load = balancer.loads_by_agent.get(source)
    if load is not None:
        record_message(balancer, load, now)
    if isinstance(message, HomeFound):
        _handle_home_found(balancer, message, source, now)
    elif isinstance(message, ConnectionNotHeld):
        _handle_not_held(balancer, message, source, now)
    elif isinstance(message, ConnectionNotHeldBy):
        _handle_not_held_by(balancer, message, now)
    elif isinstance(message, OpeningHeld):
        handle_opening_held(balancer, message, source)
    elif isinstance(message, OpeningRefused):
        handle_opening_refused(balancer, message, source, now)
    elif isinstance(message, LoadReport):
        _handle_load_report(balancer, load, message, source, now)


def _handle_home_found(
    balancer: ConnectionBalancer, message: HomeFound, source: Address, now: float
) -> None:
    load = balancer.loads_by_agent.get(source)
    if load is not None:
        # The host has another target, whose agent has not reported yet.
        load.target_ended = False
    if message.is_open:
        _log_contradicted_reset(balancer, message.key, source, now)
    connection = _get_or_add_connection(balancer, message.key, now)
    homes = [home for home in connection.homes if home.agent != source]
    home = Home(source, message.sequence, message.is_open, message.sequence)
    known = next((each for each in connection.homes if each.agent == source), None)
    if known is not None and message.sequence in (-1, known.initial_sequence):
        # The agent repeats its answer, which several queries may have caused,
        # or it has restarted since it saw the connection open.
        home = replace(known, is_open=message.is_open)
    queued = connection.queued_segments
    is_other = bool(queued) and not any(matches_home(home, each) for each in queued)
    acknowledged = [each.acknowledgement for each in queued if each.acknowledges]
    if home.is_open and acknowledged and (is_other or home.sequence < 0):
        # The agent has found the connection of these segments. It does not
        # know the number, or it is that of a former connection, or the target
        # has sent very much.
        home = replace(home, sequence=acknowledged[-1])
    connection.homes = [*homes, home]
    if is_other and not home.is_open:
        record_accepted_opening(balancer, message.key, connection, now)
        return
    if connection.search is not None:
        balancer.actions.log(
            "found",
            connection=message.key,
            agent=source,
            asked=len(connection.search.queried_agents),
            after_s=now - connection.search.started_at,
        )
    connection.search = None
    record_accepted_opening(balancer, message.key, connection, now)
    connection.queued_segments = []
    for segment in queued:
        agent = pick_home(connection, segment) or source
        forward_segment(balancer, agent, segment, now)


def _log_contradicted_reset(
    balancer: ConnectionBalancer, key: ConnectionKey, agent: Address, now: float
) -> None:
    """Log that a connection lives which this balancer reset as lost."""
    reset_at = balancer.reset_at_by_key.pop(key, None)
    if reset_at is not None and now - reset_at < MAX_ANSWER_DELAY_S:
        balancer.actions.log(
            "reset-contradicted", connection=key, agent=agent, after_s=now - reset_at
        )


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
    # Otherwise the segment that the target returned is of another connection
    # of the address than the home.
    is_of_home = known and is_acknowledged(known[0], message.acknowledgement)
    if known and (is_of_home or connection.search is None):
        connection.homes.remove(known[0])
        # If the target never confirmed the connection as open, the caller may
        # have accepted the answer of another target. If the home's sequence
        # number is unknown, it may be that of a former connection.
        is_certain = is_of_home and known[0].is_open and known[0].sequence >= 0
        if is_certain and not connection.homes:
            cause = "target-lost-connection"
            balancer.actions.log(
                "reset", connection=message.key, cause=cause, agent=source
            )
            abandon_connection(balancer, message.key, message.acknowledgement, now)
        return
    if connection.search is not None:
        connection.search.denying_agents.add(source)
        conclude_search(balancer, message.key, connection, now)


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
    if load.previous_incarnation and load.previous_incarnation == report.incarnation:
        # The report was delayed and overtaken by those of the present process.
        return
    if load.leaving and load.incarnation == report.incarnation and not report.leaving:
        # The report was overtaken by the announcement of the process's exit.
        return
    record_answer_time(balancer, load, report, now)
    if load.incarnation != report.incarnation or load.silent != report.silent:
        balancer.actions.log(
            "agent",
            agent=source,
            incarnation=report.incarnation,
            silent=report.silent,
            leaving=report.leaving,
            target_ended=report.target_ended,
        )
    has_restarted = load.incarnation not in (0, report.incarnation)
    if has_restarted:
        load.previous_incarnation = load.incarnation
        load.is_restart_planned = load.leaving
        release_held_openings(balancer, source)
    load.incarnation = report.incarnation
    load.is_target_older = report.is_target_older
    load.reported_at = now
    load.recent_placements = 0
    load.running = report.running
    load.is_unmeasured = report.service_time <= 0.0
    load.service_time = report.service_time or UNKNOWN_SERVICE_TIME_S
    load.busy = report.busy
    load.silent = report.silent
    load.leaving = report.leaving
    load.failing = report.failing
    load.target_ended = report.target_ended
    load.service = report.service
    load.started_at = now - report.age if report.age >= 0.0 else float("-inf")
    if has_restarted:
        # The new process knows neither whether its target is cold nor of its
        # predecessor.
        send_load_request(balancer, source, now)


def tick(balancer: ConnectionBalancer, now: float) -> None:
    """Run the periodic work; call it about 50 times a second."""
    _detect_pause(balancer, now)
    if now - balancer.load_request_sent_at >= balancer.limits.load_request_interval_s:
        _evict_idle(balancer, now)
    request_loads(balancer, now)
    detect_mass_restart(balancer, now)
    retry_openings(balancer, now)
    _log_unrouted(balancer, now)
    _release_held_segments(balancer, now)
    for key in list(balancer.searching_keys):
        connection = balancer.connections_by_key.get(key)
        if connection is None or connection.search is None:
            balancer.searching_keys.discard(key)
        else:
            repeat_search(balancer, key, connection, now)
            conclude_search(balancer, key, connection, now)


def _evict_idle(balancer: ConnectionBalancer, now: float) -> None:
    connections = balancer.connections_by_key
    while connections:
        key = next(iter(connections))
        if now - connections[key].last_at < CONNECTION_IDLE_TIMEOUT_S:
            break
        del connections[key]
    _forget_removals(balancer, now)
    for agent in list(balancer.loads_by_agent):
        is_known = agent in balancer.targets_by_agent
        if not is_known and agent not in balancer.removed_by_agent:
            del balancer.loads_by_agent[agent]


def _forget_removals(balancer: ConnectionBalancer, now: float) -> None:
    """Forget targets that were removed from the view long enough ago."""
    removals_by_agent = balancer.unannounced_removals_by_agent
    for agent, (_, _, gone_at) in list(removals_by_agent.items()):
        if now - gone_at >= REMOVAL_GRACE_S:
            del removals_by_agent[agent]
    for agent, (_, _, gone_at) in list(balancer.removed_by_agent.items()):
        if now - gone_at > CONNECTION_LIFETIME_S:
            del balancer.removed_by_agent[agent]
