"""Detection of isolation: peers reach an agent, but no balancer does.

No balancer delivers datagrams to an isolated agent or forwards its answers,
but peers still forward callers' datagrams to it. Its flows are handed off to
peers.
"""

from lycheeglade.agent_state import Agent, Isolation
from lycheeglade.packet import Forward, Packet, Ping

BALANCER_SILENCE_S = 1.5
PING_ROUND_S = 0.5
MIN_PING_ROUNDS = 4
BALANCERS_PER_ROUND = 3
FORWARD_FRESH_S = 4.0


def record_packet(
    isolation: Isolation, packet: Packet, is_from_balancer: bool, now: float
):
    """Record a packet of a balancer or of another agent.

    A ping of a balancer is no evidence of a connection, since the reply may
    not reach the balancer.
    """
    if is_from_balancer and not isinstance(packet, Ping):
        isolation.balancer_heard_at = now
    elif not is_from_balancer and isinstance(packet, Forward):
        isolation.forwarded_at = now


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
    is_reached = now - isolation.balancer_heard_at < BALANCER_SILENCE_S
    if is_reached or not _has_flows(agent):
        isolation.ping_rounds = 0
        isolation.is_isolated = False
    elif now >= isolation.next_round_at:
        _begin_round(agent, now)
    return isolation.is_isolated != was_isolated


def _has_flows(agent: Agent) -> bool:
    return any(served.records_by_flow for served in agent.served_by_key.values())


def _begin_round(agent: Agent, now: float) -> None:
    """Ping balancers, or mark the agent isolated after enough rounds.

    The agent is isolated only if a peer has forwarded a caller's datagram
    within `FORWARD_FRESH_S`. Otherwise its peers may have no balancer either.
    """
    isolation = agent.isolation
    if now - isolation.next_round_at > PING_ROUND_S:
        # This is the first round, or the process was paused between rounds.
        isolation.ping_rounds = 0
    isolation.next_round_at = now + PING_ROUND_S
    if isolation.ping_rounds >= MIN_PING_ROUNDS and not isolation.is_isolated:
        isolation.is_isolated = now - isolation.forwarded_at < FORWARD_FRESH_S
        if isolation.is_isolated:
            return
    isolation.ping_rounds += 1
    _ping_balancers(agent)


def _ping_balancers(agent: Agent) -> None:
    """Ping one balancer in the first round and several in later rounds."""
    balancers = sorted(agent.balancer_zones_by_address)
    wanted = 1 if agent.isolation.ping_rounds == 1 else BALANCERS_PER_ROUND
    for address in agent.generator.sample(balancers, min(wanted, len(balancers))):
        agent.actions.send(address, Ping(agent.next_id()))
