"""Detection of isolation: peers reach an agent, but no balancer does.

No balancer delivers datagrams to an isolated agent or forwards its answers,
but peers still forward callers' datagrams to it. Its flows are handed off to
peers.
"""

from lycheeglade.agent_state import Agent, Isolation
from lycheeglade.packet import Forward, Packet, Ping

BALANCER_SILENCE_S = 1.5
ROUND_S = 0.5
MIN_ROUNDS = 4
BALANCERS_PER_ROUND = 3
PASSED_FRESH_S = 4.0


def note_packet(isolation: Isolation, packet: Packet, of_balancer: bool, now: float):
    """Record a packet of a balancer or of another agent.

    A ping of a balancer is no evidence of a connection, since the reply may
    not reach the balancer.
    """
    if of_balancer and not isinstance(packet, Ping):
        isolation.heard_at = now
    elif not of_balancer and isinstance(packet, Forward):
        isolation.passed_at = now


def check_isolation(agent: Agent, now: float) -> bool:
    """Ping balancers if none was heard within `BALANCER_SILENCE_S`.

    No balancer is pinged while the agent is the home of no flow.

    Returns
    -------
    bool
        Whether the isolation has just begun or ended.
    """
    isolation = agent.isolation
    was_isolated = isolation.is_isolated
    is_reached = now - isolation.heard_at < BALANCER_SILENCE_S
    if is_reached or not _has_flows(agent):
        isolation.rounds = 0
        isolation.is_isolated = False
    elif now >= isolation.next_round_at:
        _begin_round(agent, now)
    return isolation.is_isolated != was_isolated


def _has_flows(agent: Agent) -> bool:
    return any(served.records_by_flow for served in agent.served_by_key.values())


def _begin_round(agent: Agent, now: float) -> None:
    """Ping balancers, or mark the agent isolated after enough rounds.

    The agent is isolated only if a peer has forwarded a caller's datagram
    within `PASSED_FRESH_S`. Otherwise its peers may have no balancer either.
    """
    isolation = agent.isolation
    if now - isolation.next_round_at > ROUND_S:
        # This is the first round, or the process was paused between rounds.
        isolation.rounds = 0
    isolation.next_round_at = now + ROUND_S
    if isolation.rounds >= MIN_ROUNDS and not isolation.is_isolated:
        isolation.is_isolated = now - isolation.passed_at < PASSED_FRESH_S
        if isolation.is_isolated:
            return
    isolation.rounds += 1
    _ask_balancers(agent)


def _ask_balancers(agent: Agent) -> None:
    """Ping one balancer in the first round and several in later rounds."""
    balancers = sorted(agent.balancer_zones_by_address)
    wanted = 1 if agent.isolation.rounds == 1 else BALANCERS_PER_ROUND
    for address in agent.generator.sample(balancers, min(wanted, len(balancers))):
        agent.actions.send(address, Ping(agent.next_id()))
