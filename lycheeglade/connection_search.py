"""Search for the home of a connection that a balancer does not know.

Any balancer may receive segments of any connection, even of one that opened
before the balancer started. The balancer then asks all agents whose target may
hold the connection. If none does, it resets the connection so that the caller
opens a new one.

Which agents it asks is decided in `search_scope`.
"""

from collections import Counter
from dataclasses import dataclass, replace

from msgspec.structs import replace as replace_message

from lycheeglade.address import Address
from lycheeglade.agent_probe import has_crashed
from lycheeglade.connection_balancer_state import (
    Connection,
    ConnectionBalancer,
    Home,
    Search,
    abandon_connection,
    send_message,
)
from lycheeglade.relay_message import ForwardSegment
from lycheeglade.retry import compute_ceiling
from lycheeglade.route import Route
from lycheeglade.search_scope import find_scope, is_of_earlier_build
from lycheeglade.segment import (
    SEQUENCE_SPACE,
    ConnectionKey,
    Segment,
    sequence_distance,
)
from lycheeglade.target_load import AgentLoad
from lycheeglade.view import State
from lycheeglade.view_currency import is_view_current

# A segment that arrives SEARCH_RETRY_S seconds after the last query repeats
# the search at the agents that have not answered. Without further segments the
# balancer repeats it after this time, and after twice as long each time up to
# MAX_SEARCH_RETRY_S: callers retransmit up to 1.6 s apart.
SEARCH_RETRY_S = 0.15
MAX_SEARCH_RETRY_S = 1.2
# A search ends without a reset this long after the latest segment: its caller
# has given up, and may use the port again by another balancer.
MAX_CALLER_SILENCE_S = 2.0
# Up to MAX_DIRECT_QUERIES agents are queried directly. With more, one agent in
# each group of `relayed_queries` asks the others.
MAX_DIRECT_QUERIES = 8
# From SEARCH_TIMEOUT_S seconds on, the search no longer waits for agents
# whose target is silent and does not listen. One that only is silent may work
# on a long request. After a loss of power, the same holds for agents that were
# never heard and are unresponsive.
SEARCH_TIMEOUT_S = 0.4
# An agent that counts as crashed, or whose target has ended, is still asked:
# its answers may only have been lost or late, and another target may have
# started on its host. One that lives answers within this time, also through
# another agent.
ROUND_TRIP_TIMEOUT_S = 0.15
# After a loss of power no agent knows whether its target started with it, and
# those of other services would hold up the searches of all callers for
# CONNECTION_LIFETIME_S; those that are stopped, for RESTART_TIMEOUT_S. So if
# more than this share of the agents has started within this time, a search
# waits for those of them that have just started for a round trip only.
# Restarts that the targets outlive do not count, whether this process has
# heard their announcements or not.
MASS_RESTART_SHARE = 0.75
MASS_RESTART_AGE_S = 5.0
MASS_RESTART_INTERVAL_S = 0.1
# The first view may lack entries that are missing only for a moment, so no
# search ends in a reset until MIN_VIEW_AGE_S seconds after it.
MIN_VIEW_AGE_S = 0.5
MAX_QUEUED_SEGMENTS = 16
# A segment whose acknowledgement is further than this from the sequence number
# known of a home belongs to another connection of the address, or to one whose
# segments came by another balancer meanwhile.
MAX_SEQUENCE_DISTANCE = 1 << 18


@dataclass(frozen=True, slots=True)
class AnswerLimit:
    """How long a search waits for an agent that has not answered.

    Attributes
    ----------
    seconds : float
        Time since the start of the search.
    cause : str
        Why the wait ends, empty if it does not.
    """

    seconds: float
    cause: str = ""


def pick_home(connection: Connection, segment: Segment) -> Address | None:
    """Return the agent whose target's segments the caller acknowledges.

    Homes that hold the connection go before those that may only accept it.
    None of them is returned if the caller acknowledges another target's
    segments: they belong to a former connection of its address, or the caller
    chose another answer to its opening. The sequence number of the one that is
    returned follows the caller's acknowledgements.
    """
    matching = [home for home in connection.homes if matches_home(home, segment)]
    homes = [home for home in matching if home.is_open] or matching
    if not homes:
        return None

    def gap(home: Home) -> int:
        if home.sequence < 0:
            return SEQUENCE_SPACE
        ahead = sequence_distance(home.sequence, segment.acknowledgement)
        return ahead if ahead >= 0 else SEQUENCE_SPACE

    home = min(homes, key=gap)
    if segment.acknowledges and home.sequence >= 0:
        distance = sequence_distance(home.sequence, segment.acknowledgement)
        if abs(distance) > MAX_SEQUENCE_DISTANCE // 2:
            following = replace(home, sequence=segment.acknowledgement)
            connection.homes[connection.homes.index(home)] = following
    return home.agent


def matches_home(home: Home, segment: Segment) -> bool:
    """Return whether a caller's segment may concern the home's connection."""
    return not segment.acknowledges or is_acknowledged(home, segment.acknowledgement)


def is_acknowledged(home: Home, acknowledgement: int) -> bool:
    """Return whether a caller may have got the home's sequence number."""
    distance = sequence_distance(home.sequence, acknowledgement)
    return home.sequence < 0 or abs(distance) <= MAX_SEQUENCE_DISTANCE


def queue_segment(connection: Connection, segment: Segment) -> None:
    """Queue a segment until the connection is found; discard copies."""
    if any(
        queued.datagram == segment.datagram for queued in connection.queued_segments
    ):
        return
    if len(connection.queued_segments) < MAX_QUEUED_SEGMENTS:
        connection.queued_segments.append(segment)


def search_home(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    route: Route,
    segment: Segment,
    now: float,
) -> None:
    """Ask all agents whose target may hold the connection."""
    search = connection.search
    if search is None:
        search = connection.search = Search(now, now)
        balancer.searching_keys.add(key)
    elif now - search.queried_at < SEARCH_RETRY_S:
        return
    _query_agents(balancer, search, route, segment, now)


def _query_agents(
    balancer: ConnectionBalancer,
    search: Search,
    route: Route,
    segment: Segment,
    now: float,
) -> None:
    """Send the query to all agents that have not denied the connection."""
    search.queried_at = now
    search.queries += 1
    scope = search.scope = find_scope(balancer, route, now)
    search.queried_agents |= scope.agents
    query = ForwardSegment(
        balancer.address, segment.datagram, search=True, services=scope.services
    )
    queried = scope.agents - search.denying_agents
    if search.widened_at is not None:
        widened = queried & scope.permitted_others
        widened_query = replace_message(query, any_service=True)
        _send_query(balancer, sorted(widened), widened_query, now)
        queried -= widened
    _send_query(balancer, sorted(queried), query, now)


def _send_query(
    balancer: ConnectionBalancer,
    queried: list[Address],
    query: ForwardSegment,
    now: float,
) -> None:
    """Send a query to agents, through some of them if there are many."""
    if len(queried) <= MAX_DIRECT_QUERIES:
        for agent in queried:
            send_message(balancer, agent, query, now)
    else:
        size = balancer.limits.relayed_queries
        for first in range(0, len(queried), size):
            group = queried[first : first + size]
            _query_through_agent(balancer, group, query, now)


def repeat_search(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    now: float,
) -> None:
    """Repeat a search that some agents have not answered, or end it.

    The query or its answer may have been lost, or the target may have started
    after the query.
    """
    search = connection.search
    if search is not None and now - connection.last_at > MAX_CALLER_SILENCE_S:
        connection.search = None
        connection.queued_segments = []
        return
    route = balancer.view.routes_by_address.get(key.service)
    if search is None or route is None or not connection.queued_segments:
        return
    pause = compute_ceiling(search.queries, SEARCH_RETRY_S, MAX_SEARCH_RETRY_S)
    if now - search.queried_at >= pause:
        segment = connection.queued_segments[-1]
        search_home(balancer, key, connection, route, segment, now)


def _query_through_agent(
    balancer: ConnectionBalancer,
    agents: list[Address],
    query: ForwardSegment,
    now: float,
) -> None:
    """Ask one of `agents` to query the others."""
    usable = [
        agent
        for agent in agents
        if agent in balancer.loads_by_agent
        and not balancer.loads_by_agent[agent].is_unresponsive(now)
        and not balancer.loads_by_agent[agent].leaving
    ]
    passing_on = [a for a in usable if not is_of_earlier_build(balancer, a)]
    relay = balancer.generator.choice(passing_on or usable or agents)
    candidates = tuple(agent for agent in agents if agent != relay)
    query = replace_message(query, candidates=candidates)
    send_message(balancer, relay, query, now)


def conclude_search(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    now: float,
) -> None:
    """Reset the connection if no agent can be expected to find it.

    That is the case once each queried agent has denied the connection or has
    been given up. If only agents of services that the route is not known to
    have named have not answered, their targets are asked first.
    """
    search = connection.search
    if search is None or now - balancer.view_at < MIN_VIEW_AGE_S:
        return
    if not is_view_current(balancer, search.started_at, now):
        return
    given_up: Counter[str] = Counter()
    awaits_others = can_widen = False
    for agent in search.queried_agents - search.denying_agents:
        limit = _answer_limit(balancer, search, agent, now)
        if now - search.started_at >= limit.seconds:
            given_up[limit.cause] += 1
        elif search.widened_at is not None or agent not in search.scope.others:
            return
        else:
            awaits_others = True
            can_widen |= agent in search.scope.permitted_others
    if awaits_others and not can_widen:
        return
    if _query_new_agents(balancer, key, connection, now):
        return
    if awaits_others:
        _widen_search(balancer, key, connection, now)
        return
    if connection.homes:
        # The segment was a late one of a former connection, or the home is
        # that of a former connection. In the second case, the next segment
        # starts a search that may end in a reset.
        connection.homes = []
        connection.search = None
        connection.queued_segments = []
        return
    balancer.actions.log(
        "reset",
        connection=key,
        cause="nowhere-found",
        asked=len(search.queried_agents),
        denied=len(search.denying_agents),
        given_up=",".join(f"{cause}:{n}" for cause, n in sorted(given_up.items())),
        after_s=now - search.started_at,
        view_age_s=now - balancer.view_at,
        revision=balancer.view.store,
    )
    acknowledgement = (
        connection.queued_segments[-1].acknowledgement
        if connection.queued_segments
        else 0
    )
    abandon_connection(balancer, key, acknowledgement, now)


def _is_draining(balancer: ConnectionBalancer, agent: Address) -> bool:
    """Return whether the agent's target may have closed its port only.

    It may still end its last connections after its entry was removed.
    """
    targets = balancer.targets_by_agent.get(agent, ())
    if not targets and agent in balancer.removed_by_agent:
        targets = (balancer.removed_by_agent[agent][0],)
    return any(target.state is not State.LIVE for target in targets)


def has_target_ended(balancer: ConnectionBalancer, agent: Address) -> bool:
    """Return whether the agent's target has ended and has left the view.

    A target that drains may close its port before its last connections. Its
    agent stops after it, so that a closed port shows its end only then.
    """
    load = balancer.loads_by_agent.get(agent)
    if load is None or not load.target_ended or agent in balancer.targets_by_agent:
        return False
    return load.leaving or not _is_draining(balancer, agent)


def _query_new_agents(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    now: float,
) -> bool:
    """Ask the agents that the view has gained since the last query.

    Another balancer may have known their targets sooner, and have placed the
    connection there.

    Returns
    -------
    bool
        Whether there are any.
    """
    search = connection.search
    route = balancer.view.routes_by_address.get(key.service)
    if route is None or not connection.queued_segments:
        return False
    if find_scope(balancer, route, now).agents <= search.queried_agents:
        return False
    _query_agents(balancer, search, route, connection.queued_segments[-1], now)
    return True


def _widen_search(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    now: float,
) -> None:
    """Let the targets of other services answer for themselves.

    No target of the services that the route is known to have named holds the
    connection. The agents of others that have not answered do not know all
    connections of their targets. A target that does not hold the connection
    returns the segment; one without data discloses less to it.
    """
    search = connection.search
    route = balancer.view.routes_by_address.get(key.service)
    if route is None or not connection.queued_segments:
        return
    search.widened_at = now
    # The pauses between queries start anew.
    search.queries = 0
    balancer.actions.log(
        "search-widened",
        connection=key,
        services=",".join(search.scope.services),
        asked=len(search.scope.permitted_others - search.denying_agents),
        after_s=now - search.started_at,
    )
    segment = min(connection.queued_segments, key=lambda each: each.data_bytes)
    _query_agents(balancer, search, route, segment, now)


def detect_mass_restart(balancer: ConnectionBalancer, now: float) -> None:
    """Update whether most agents have started a short time ago."""
    if now - balancer.mass_restart_checked_at < MASS_RESTART_INTERVAL_S:
        return
    balancer.mass_restart_checked_at = now
    heard = [
        load
        for load in balancer.loads_by_agent.values()
        if load.last_heard_at > float("-inf")
    ]
    young = sum(
        _has_just_started(load, now)
        and not (load.is_restart_planned or load.is_target_older)
        for load in heard
    )
    balancer.is_mass_restart = young > MASS_RESTART_SHARE * len(heard)


def _has_just_started(load: AgentLoad, now: float) -> bool:
    return now - load.started_at < MASS_RESTART_AGE_S


def _answer_limit(
    balancer: ConnectionBalancer, search: Search, agent: Address, now: float
) -> AnswerLimit:
    """Return how long a search waits for an agent that has not answered."""
    load = balancer.loads_by_agent.get(agent)
    if load is None:
        return AnswerLimit(0.0, "forgotten")
    if has_crashed(balancer, agent, now):
        return AnswerLimit(ROUND_TRIP_TIMEOUT_S, "crashed")
    if has_target_ended(balancer, agent):
        return AnswerLimit(ROUND_TRIP_TIMEOUT_S, "ended")
    if balancer.is_mass_restart and _has_just_started(load, now):
        if load.leaving:
            return AnswerLimit(ROUND_TRIP_TIMEOUT_S, "mass-restart")
        if agent in search.scope.others:
            return _other_service_limit(search, agent)
    was_heard = load.last_heard_at > float("-inf")
    if balancer.is_mass_restart and not was_heard and load.is_unresponsive(now):
        return AnswerLimit(SEARCH_TIMEOUT_S, "unresponsive")
    if load.leaving:
        return AnswerLimit(float("inf"))
    if load.silent and load.target_ended and not _is_draining(balancer, agent):
        return AnswerLimit(SEARCH_TIMEOUT_S, "silent")
    return AnswerLimit(float("inf"))


def _other_service_limit(search: Search, agent: Address) -> AnswerLimit:
    """Return how long a search waits for an agent of another service.

    After a loss of power, the agent does not know the connections of its
    target. The time starts when the target may answer.
    """
    if agent not in search.scope.permitted_others:
        return AnswerLimit(ROUND_TRIP_TIMEOUT_S, "mass-restart")
    if search.widened_at is None:
        return AnswerLimit(float("inf"))
    asked_after = search.widened_at - search.started_at
    return AnswerLimit(asked_after + ROUND_TRIP_TIMEOUT_S, "mass-restart")
