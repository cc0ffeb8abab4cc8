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
    carry_segment,
    send_message,
)
from lycheeglade.connection_search import (
    conclude_search,
    hold_segment,
    pick_home,
    search_home,
)
from lycheeglade.relay_message import (
    Carry,
    Found,
    Hello,
    LoadReport,
    Message,
    NotHere,
    NotThere,
)
from lycheeglade.route import Route, RoutingView, pick_service
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.target_load import AgentLoad, rank_places
from lycheeglade.view import State, Target

MAX_CONNECTIONS = 20_000
MAX_HELD_OPENINGS = 256
# Connections without segments for FORGET_S seconds are evicted. A later
# segment starts a search for the connection.
FORGET_S = 60.0
# An opening segment is also sent to another agent if the first one has not
# accepted the connection within this minimum, or within this multiple of the
# recent mean acceptance delay if that is longer.
MIN_OPENING_PATIENCE_S = 0.03
OPENING_PATIENCE_FACTOR = 4.0
FOUND_GAIN = 0.1
MAX_OPENING_TRIES = 4
# A target that is removed from the view while live, without draining first,
# may be missing by a transient error of the platform. It stays usable for
# LAPSE_S.
LAPSE_S = 2.0
HELLO_INTERVAL_S = 0.5
# A gap of more than PAUSE_S seconds between two runs means that this process
# was paused.
PAUSE_S = 0.5


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
            balancer.departed_by_agent[target.agent] = (target, service, now)
            if target.state is State.LIVE:
                balancer.lapsed_by_id[target_id] = (target, service, now)
            balancer.actions.log("target-gone", target=target_id, service=service)
    for target_id, (target, _) in current.items():
        balancer.lapsed_by_id.pop(target_id, None)
        load = balancer.loads_by_agent.setdefault(target.agent, AgentLoad())
        if load.slots != target.slots:
            load.slots = target.slots
            _greet(balancer, target.agent, now)
    if view.configuration and balancer.held_openings:
        held, balancer.held_openings = balancer.held_openings, []
        for segment in held:
            receive_segment(balancer, segment, now)


def receive_segment(balancer: ConnectionBalancer, segment: Segment, now: float) -> None:
    """Process a segment from a caller."""
    _note_run(balancer, now)
    if not balancer.view.configuration:
        if len(balancer.held_openings) < MAX_HELD_OPENINGS:
            balancer.held_openings.append(segment)
        return
    key = segment.key_from_caller
    route = balancer.view.routes_by_address.get(segment.destination)
    if route is None:
        _refuse_unrouted(balancer, key, segment)
        return
    if segment.opens:
        _receive_opening(balancer, key, route, segment, now)
    else:
        _receive_established(balancer, key, route, segment, now)


def _note_run(balancer: ConnectionBalancer, now: float) -> None:
    """Discard the agents' response deadlines after a pause of this process.

    Otherwise agents would count as silent while this process was paused.
    """
    if now - balancer.ran_at > PAUSE_S:
        for load in balancer.loads_by_agent.values():
            load.greeted_at = None
    balancer.ran_at = now


def _refuse_unrouted(
    balancer: ConnectionBalancer, key: ConnectionKey, segment: Segment
) -> None:
    balancer.connections_by_key.pop(key, None)
    if not segment.resets:
        balancer.actions.log("refused", connection=key, cause="no-route")
        balancer.actions.reset(key, segment.acknowledgement)


def _remember(
    balancer: ConnectionBalancer, key: ConnectionKey, now: float
) -> Connection:
    connections = balancer.connections_by_key
    connection = connections.get(key)
    if connection is None:
        connection = connections[key] = Connection(now)
        if len(connections) > MAX_CONNECTIONS:
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
    connection = _remember(balancer, key, now)
    if connection.homes:
        carry_segment(balancer, connection.homes[-1].agent, segment, now)
        return
    if connection.tried and now - connection.sent_at < _patience(balancer):
        return
    connection.opening = segment
    balancer.opening_keys.add(key)
    _place_opening(balancer, key, connection, route, now)


def _patience(balancer: ConnectionBalancer) -> float:
    """Return the seconds within which an agent should accept a connection."""
    delay = OPENING_PATIENCE_FACTOR * balancer.found_delay
    return max(MIN_OPENING_PATIENCE_S, delay)


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
    places = _places(balancer, service, now)
    fresh = [t for t in places if t.agent not in connection.tried] or places
    ranked = rank_places(
        fresh,
        balancer.loads_by_agent,
        balancer.zone,
        now,
        balancer.generator,
        route.is_bulk,
    )
    if not ranked or ranked[0].cost > route.timeout:
        cause = "overload" if ranked else "no-target"
        balancer.actions.log("refused", connection=key, cause=cause)
        balancer.opening_keys.discard(key)
        # An earlier copy may have opened the connection.
        if not segment.acknowledgement and not connection.tried:
            balancer.actions.reset(key, 0)
        return
    first = ranked[0].target
    connection.tried.append(first.agent)
    connection.sent_at = now
    load = balancer.loads_by_agent.setdefault(first.agent, AgentLoad())
    load.placed += 1
    message = Carry(
        balancer=balancer.address,
        datagram=segment.datagram,
        service=service,
        candidates=tuple(place.target.agent for place in ranked[1:]),
        costs=tuple(place.cost for place in ranked[1:]),
    )
    send_message(balancer, first.agent, message, now)


def _places(
    balancer: ConnectionBalancer, service: str | None, now: float
) -> list[Target]:
    """Return the targets that may get a new connection of `service`.

    Targets that vanished from the view less than `LAPSE_S` ago are included
    if their agents sent a message since.
    """
    targets = balancer.view.targets_by_service.get(service, {})
    places = [t for t in targets.values() if t.state is State.LIVE]
    for target, name, gone_at in balancer.lapsed_by_id.values():
        if name == service and now - gone_at < LAPSE_S:
            load = balancer.loads_by_agent.get(target.agent)
            if load is not None and load.heard_at > gone_at:
                places.append(target)
    return places


def _receive_established(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    route: Route,
    segment: Segment,
    now: float,
) -> None:
    connection = _remember(balancer, key, now)
    home = pick_home(connection, segment)
    if home is None:
        hold_segment(connection, segment)
        search_home(balancer, key, connection, route, segment, now)
        return
    load = balancer.loads_by_agent.get(home)
    if route.repeatable and load is not None and load.is_dead(now):
        # An agent that is silent without having announced its exit has
        # crashed. Requests that may not be repeated keep waiting: their answer
        # may still arrive.
        balancer.actions.log("reset", connection=key, cause="agent-lost", agent=home)
        abandon_connection(balancer, key, segment.acknowledgement)
        return
    carry_segment(balancer, home, segment, now)


def receive_message(
    balancer: ConnectionBalancer, message: Message, source: Address, now: float
) -> None:
    """Process a message from an agent."""
    load = balancer.loads_by_agent.get(source)
    if load is not None:
        load.heard_at = now
        load.greeted_at = None
    if isinstance(message, Found):
        _note_found(balancer, message, source, now)
    elif isinstance(message, NotHere):
        _note_not_here(balancer, message, source, now)
    elif isinstance(message, NotThere):
        _note_not_there(balancer, message, now)
    elif isinstance(message, LoadReport):
        _note_load(balancer, load, message, source)


def _note_found(
    balancer: ConnectionBalancer, message: Found, source: Address, now: float
) -> None:
    connection = _remember(balancer, message.key, now)
    homes = [home for home in connection.homes if home.agent != source]
    homes.append(Home(source, message.sequence, message.is_open))
    connection.homes = homes
    connection.search = None
    if message.key in balancer.opening_keys:
        balancer.opening_keys.discard(message.key)
        delay = now - connection.sent_at
        balancer.found_delay += (delay - balancer.found_delay) * FOUND_GAIN
    held, connection.held = connection.held, []
    for segment in held:
        carry_segment(balancer, pick_home(connection, segment), segment, now)


def _note_not_here(
    balancer: ConnectionBalancer, message: NotHere, source: Address, now: float
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
        connection.search.denied.add(source)
        conclude_search(balancer, message.key, connection, now)


def _note_not_there(
    balancer: ConnectionBalancer, message: NotThere, now: float
) -> None:
    connection = balancer.connections_by_key.get(message.key)
    if connection is not None and connection.search is not None:
        connection.search.denied.update(message.agents)
        conclude_search(balancer, message.key, connection, now)


def _note_load(
    balancer: ConnectionBalancer,
    load: AgentLoad | None,
    report: LoadReport,
    source: Address,
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
    load.placed = 0
    load.running = report.running
    load.service_time = report.service_time
    load.busy = report.busy
    load.silent = report.silent
    load.leaving = report.leaving
    load.failing = report.failing


def _greet(balancer: ConnectionBalancer, agent: Address, now: float) -> None:
    send_message(balancer, agent, Hello(balancer.loads_by_agent[agent].slots), now)


def tick(balancer: ConnectionBalancer, now: float) -> None:
    """Run the periodic work; call it about 50 times a second."""
    _note_run(balancer, now)
    if now - balancer.hello_at >= HELLO_INTERVAL_S:
        balancer.hello_at = now
        _forget(balancer, now)
        for agent in balancer.loads_by_agent:
            _greet(balancer, agent, now)
    _try_openings_again(balancer, now)
    for key in list(balancer.searched_keys):
        connection = balancer.connections_by_key.get(key)
        if connection is None or connection.search is None:
            balancer.searched_keys.discard(key)
        else:
            conclude_search(balancer, key, connection, now)


def _try_openings_again(balancer: ConnectionBalancer, now: float) -> None:
    """Send openings that no agent has accepted in time to other agents.

    After a crash of a target or an agent, its new connections are delayed by
    this time-out only, and not until the caller retransmits.
    """
    patience = _patience(balancer)
    for key in list(balancer.opening_keys):
        connection = balancer.connections_by_key.get(key)
        route = balancer.view.routes_by_address.get(key.service)
        if (
            connection is None
            or connection.homes
            or route is None
            or len(connection.tried) >= MAX_OPENING_TRIES
        ):
            balancer.opening_keys.discard(key)
        elif now - connection.sent_at >= patience:
            _place_opening(balancer, key, connection, route, now)


def _forget(balancer: ConnectionBalancer, now: float) -> None:
    connections = balancer.connections_by_key
    while connections:
        key = next(iter(connections))
        if now - connections[key].last_at < FORGET_S:
            break
        del connections[key]
    known = {
        target.agent
        for targets in balancer.view.targets_by_service.values()
        for target in targets.values()
    }
    for agent in list(balancer.loads_by_agent):
        if agent not in known and agent not in balancer.departed_by_agent:
            del balancer.loads_by_agent[agent]
