"""Tells whether an agent is out of reach of all balancers, alone.

No balancer can bring it a datagram then, or take an answer from it, but peers
still pass it its callers' datagrams. Its flows are better off at a peer.
"""

from lycheeglade.agent_state import Agent, Isolation
from lycheeglade.packet import Forward, Packet, Ping

BALANCER_SILENCE_S = 1.5
ROUND_S = 0.5
MIN_ROUNDS = 4
BALANCERS_PER_ROUND = 3
PASSED_FRESH_S = 4.0


def note_packet(isolation: Isolation, packet: Packet, of_balancer: bool, now: float):
    """Note a packet of a balancer or of another agent.

    A balancer's ping shows nothing: it may get no answer.
    """
    if of_balancer and not isinstance(packet, Ping):
        isolation.heard_at = now
    elif not of_balancer and isinstance(packet, Forward):
        isolation.passed_at = now


def check_isolation(agent: Agent, now: float) -> bool:
    """Ask balancers for a sign of life if none was heard lately.

    Nothing is asked while no flow lives here.

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
    """Ask balancers, or find this agent isolated after enough rounds."""
    isolation = agent.isolation
    if now - isolation.next_round_at > ROUND_S:
        # The first round, or this process slept.
        isolation.rounds = 0
    isolation.next_round_at = now + ROUND_S
    if isolation.rounds >= MIN_ROUNDS and not isolation.is_isolated:
        isolation.is_isolated = now - isolation.passed_at < PASSED_FRESH_S
        if isolation.is_isolated:
            return
    isolation.rounds += 1
    _ask_balancers(agent)


def _ask_balancers(agent: Agent) -> None:
    """Ping one balancer, and several if that one does not answer."""
    balancers = sorted(agent.balancer_zones_by_address)
    wanted = 1 if agent.isolation.rounds == 1 else BALANCERS_PER_ROUND
    for address in agent.generator.sample(balancers, min(wanted, len(balancers))):
        agent.actions.send(address, Ping(agent.next_id()))
