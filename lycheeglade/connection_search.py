"""Search for the home of a connection that a balancer does not know.

Any balancer may receive segments of any connection, even of one that opened
before the balancer started. The balancer then asks all agents whose target may
hold the connection. If none does, it resets the connection so that the caller
opens a new one.
"""

from lycheeglade.address import Address
from lycheeglade.connection_balancer_state import (
    Connection,
    ConnectionBalancer,
    Home,
    Search,
    abandon_connection,
    forward_segment,
    send_message,
)
from lycheeglade.relay_message import ForwardSegment
from lycheeglade.route import Route
from lycheeglade.segment import (
    SEQUENCE_SPACE,
    ConnectionKey,
    Segment,
    sequence_distance,
)
from lycheeglade.target_load import AgentLoad

# A segment that arrives SEARCH_RETRY_S seconds after the last query repeats
# the search at the agents that have not answered.
SEARCH_RETRY_S = 0.15
# Up to MAX_DIRECT_QUERIES agents are queried directly. With more, one agent in
# each group of `relayed_queries` asks the others.
MAX_DIRECT_QUERIES = 8
# From SEARCH_TIMEOUT_S seconds on, the search no longer waits for agents
# whose target is silent, or which are unresponsive themselves.
SEARCH_TIMEOUT_S = 0.4
# Targets are included in searches for REMOVED_SEARCH_S seconds after they are
# removed from the view.
REMOVED_SEARCH_S = 60.0
# The first view may lack entries that are missing only for a moment, so no
# search ends in a reset until MIN_VIEW_AGE_S seconds after it.
MIN_VIEW_AGE_S = 0.5
MAX_QUEUED_SEGMENTS = 16


def pick_home(connection: Connection, segment: Segment) -> Address | None:
    """Return the agent whose target's segments the caller acknowledges.

    Homes that hold the connection go before those that may only accept it.
    """
    homes = [home for home in connection.homes if home.is_open] or connection.homes
    if not homes:
        return None
    if len(homes) == 1:
        return homes[0].agent

    def gap(home: Home) -> int:
        ahead = sequence_distance(home.sequence, segment.acknowledgement)
        return ahead if ahead >= 0 else SEQUENCE_SPACE

    return min(homes, key=gap).agent


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
    search.queried_at = now
    agents = _searched_agents(balancer, route, now)
    search.queried_agents |= agents
    queried = sorted(agents - search.denying_agents)
    if len(queried) <= MAX_DIRECT_QUERIES:
        for agent in queried:
            forward_segment(balancer, agent, segment, now, search=True)
    else:
        size = balancer.limits.relayed_queries
        for first in range(0, len(queried), size):
            group = queried[first : first + size]
            _query_through_agent(balancer, group, segment, now)


def _query_through_agent(
    balancer: ConnectionBalancer, agents: list[Address], segment: Segment, now: float
) -> None:
    """Ask one of `agents` to query the others."""
    usable = [
        agent
        for agent in agents
        if agent in balancer.loads_by_agent
        and not balancer.loads_by_agent[agent].is_unresponsive(now)
        and not balancer.loads_by_agent[agent].leaving
    ]
    relay = balancer.generator.choice(usable or agents)
    message = ForwardSegment(
        balancer=balancer.address,
        datagram=segment.datagram,
        search=True,
        candidates=tuple(agent for agent in agents if agent != relay),
    )
    send_message(balancer, relay, message, now)


def _searched_agents(
    balancer: ConnectionBalancer, route: Route, now: float
) -> set[Address]:
    agents = set()
    for service in route.weights_by_service:
        targets = balancer.view.targets_by_service.get(service, {})
        agents.update(target.agent for target in targets.values())
    for agent, (_, _, gone_at) in list(balancer.removed_by_agent.items()):
        if now - gone_at > REMOVED_SEARCH_S:
            del balancer.removed_by_agent[agent]
        else:
            agents.add(agent)
    return agents


def conclude_search(
    balancer: ConnectionBalancer,
    key: ConnectionKey,
    connection: Connection,
    now: float,
) -> None:
    """Reset the connection if no agent can be expected to find it.

    That is the case once each queried agent has denied the connection or has
    been given up.
    """
    search = connection.search
    if search is None or now - balancer.view_at < MIN_VIEW_AGE_S:
        return
    for agent in search.queried_agents - search.denying_agents:
        load = balancer.loads_by_agent.get(agent)
        if load is None:
            continue
        if not _is_unavailable(load, now) or now - search.started_at < SEARCH_TIMEOUT_S:
            return
    balancer.actions.log(
        "reset",
        connection=key,
        cause="nowhere-found",
        asked=len(search.queried_agents),
        denied=len(search.denying_agents),
        after_s=now - search.started_at,
        revision=balancer.view.store,
    )
    acknowledgement = (
        connection.queued_segments[-1].acknowledgement
        if connection.queued_segments
        else 0
    )
    abandon_connection(balancer, key, acknowledgement)


def _is_unavailable(load: AgentLoad, now: float) -> bool:
    """Return whether a search no longer waits for an agent's answer."""
    if load.leaving:
        return load.has_crashed(now)
    return load.silent or load.is_unresponsive(now)
