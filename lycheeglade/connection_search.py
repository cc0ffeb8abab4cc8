"""Finds the agent where a connection lives that a balancer doesn't know.

Any balancer may get the segments of any connection, however late it started,
so that it asks all agents which may know. A connection that none of them
holds is reset, so that its caller opens another one.
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

# Agents that don't answer a search are asked again with the next segment.
SEARCH_AGAIN_S = 0.15
# Agents that are asked straight; of more, one asks the others.
MAX_DIRECT = 8
MAX_RELAYED = 40
# An agent that reports that its target is silent is not waited for.
SEARCH_PATIENCE_S = 0.4
# A target is looked for that long after it was last published.
DEPARTED_S = 60.0
# A view that was just read may lack entries that have lapsed for a moment.
MIN_VIEW_AGE_S = 0.5
MAX_HELD_SEGMENTS = 16


def pick_home(connection: Connection, segment: Segment) -> Address | None:
    """Return the agent whose target the caller has acknowledged."""
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
    """Keep a segment until the connection is found; copies are dropped."""
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
    """Ask all agents that may know the connection where it lives."""
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
    """Let one of some agents ask the others."""
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
    """Reset a connection that no target holds any more."""
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
    """Tell whether an agent's answer to a search isn't waited for."""
    if load.leaving:
        return load.is_dead(now)
    return load.silent or load.is_lost(now)
