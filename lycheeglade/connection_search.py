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
    carry_segment,
    send_message,
)
from lycheeglade.relay_message import Carry
from lycheeglade.route import Route
from lycheeglade.segment import (
    SEQUENCE_SPACE,
    ConnectionKey,
    Segment,
    sequence_distance,
)
from lycheeglade.target_load import AgentLoad

# A segment that arrives SEARCH_AGAIN_S seconds after the last query repeats
# the search at the agents that have not answered.
SEARCH_AGAIN_S = 0.15
# Up to MAX_DIRECT agents are asked directly. With more, one agent per group of
# MAX_RELAYED asks the others.
MAX_DIRECT = 8
MAX_RELAYED = 40
# From SEARCH_PATIENCE_S seconds on, the search no longer waits for agents
# whose target is silent, or which are lost themselves.
SEARCH_PATIENCE_S = 0.4
# Targets are included in searches for DEPARTED_S seconds after they are
# removed from the view.
DEPARTED_S = 60.0
# The first view may lack entries that are missing only for a moment, so no
# search ends in a reset until MIN_VIEW_AGE_S seconds after it.
MIN_VIEW_AGE_S = 0.5
MAX_HELD_SEGMENTS = 16


def pick_home(connection: Connection, segment: Segment) -> Address | None:
    """Return the agent whose target's segments the caller acknowledges."""
    homes = connection.homes
    if not homes:
        return None
    if len(homes) == 1:
        return homes[0].agent

    def gap(home: Home) -> int:
        ahead = sequence_distance(home.sequence, segment.acknowledgement)
        return ahead if ahead >= 0 else SEQUENCE_SPACE

    return min(homes, key=gap).agent


def hold_segment(connection: Connection, segment: Segment) -> None:
    """Queue a segment until the connection is found; discard copies."""
    if any(held.datagram == segment.datagram for held in connection.held):
        return
    if len(connection.held) < MAX_HELD_SEGMENTS:
        connection.held.append(segment)


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
        balancer.searched_keys.add(key)
    elif now - search.asked_at < SEARCH_AGAIN_S:
        return
    search.asked_at = now
    agents = _searched_agents(balancer, route, now)
    search.asked |= agents
    asked = sorted(agents - search.denied)
    if len(asked) <= MAX_DIRECT:
        for agent in asked:
            carry_segment(balancer, agent, segment, now, search=True)
    else:
        for first in range(0, len(asked), MAX_RELAYED):
            _relay(balancer, asked[first : first + MAX_RELAYED], segment, now)


def _relay(
    balancer: ConnectionBalancer, agents: list[Address], segment: Segment, now: float
) -> None:
    """Ask one of `agents` to query the others."""
    usable = [
        agent
        for agent in agents
        if agent in balancer.loads_by_agent
        and not balancer.loads_by_agent[agent].is_lost(now)
        and not balancer.loads_by_agent[agent].leaving
    ]
    asker = balancer.generator.choice(usable or agents)
    message = Carry(
        balancer=balancer.address,
        datagram=segment.datagram,
        search=True,
        candidates=tuple(agent for agent in agents if agent != asker),
    )
    send_message(balancer, asker, message, now)


def _searched_agents(
    balancer: ConnectionBalancer, route: Route, now: float
) -> set[Address]:
    agents = set()
    for service in route.weights_by_service:
        targets = balancer.view.targets_by_service.get(service, {})
        agents.update(target.agent for target in targets.values())
    for agent, (_, _, gone_at) in list(balancer.departed_by_agent.items()):
        if now - gone_at > DEPARTED_S:
            del balancer.departed_by_agent[agent]
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
    for agent in search.asked - search.denied:
        load = balancer.loads_by_agent.get(agent)
        if load is None:
            continue
        if not _is_given_up(load, now) or now - search.began_at < SEARCH_PATIENCE_S:
            return
    balancer.actions.log("reset", connection=key, cause="nowhere-found")
    acknowledgement = connection.held[-1].acknowledgement if connection.held else 0
    abandon_connection(balancer, key, acknowledgement)


def _is_given_up(load: AgentLoad, now: float) -> bool:
    """Return whether a search no longer waits for an agent's answer."""
    if load.leaving:
        return load.is_dead(now)
    return load.silent or load.is_lost(now)
