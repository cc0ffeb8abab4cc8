"""Load requests of a balancer, and whether an agent's silence shows a crash.

Load patterns: the balancer's link is full, its process is slow or paused, or
datagrams are lost, while all agents live. Then the answers of all agents are
late or missing. A crash of one agent is therefore told from the answers of the
others.
"""

from lycheeglade.address import Address
from lycheeglade.cold_targets import warmup_left
from lycheeglade.connection_balancer_state import ConnectionBalancer, send_message
from lycheeglade.relay_message import LoadReport, LoadRequest
from lycheeglade.target_load import AgentLoad

# Interval for agents that were never heard, since after a loss of power they
# start at about the same time as the balancers, and for agents that announced
# their exit.
FIRST_REQUEST_INTERVAL_S = 0.1
# Interval for other unresponsive agents, until they count as crashed. A
# balancer that hears no agent cannot tell; after MAX_PROBE_S seconds it only
# sends its regular requests.
PROBE_INTERVAL_S = 0.05
MAX_PROBE_S = 2.5


def has_crashed(balancer: ConnectionBalancer, agent: Address, now: float) -> bool:
    """Return whether an agent's silence shows that it has crashed.

    The time that other agents take to answer is added to the time-out. An
    agent that was never heard may have announced its exit before this process
    started. After a loss of power no agent has, and those that do not return
    would hold up the searches of all callers.
    """
    load = balancer.loads_by_agent.get(agent)
    if load is None:
        return False
    may_restart = (
        load.last_heard_at == float("-inf")
        and agent in balancer.targets_by_agent
        and not balancer.is_mass_restart
    )
    return load.has_crashed(now, balancer.answer_time.limit, may_restart)


def record_message(balancer: ConnectionBalancer, load: AgentLoad, now: float) -> None:
    """Record that an agent sent a message."""
    balancer.agent_heard_at = now
    load.last_heard_at = now
    load.unanswered_since = None


def record_answer_time(
    balancer: ConnectionBalancer, load: AgentLoad, report: LoadReport, now: float
) -> None:
    """Record how long an agent took to answer the oldest unanswered request.

    A process that has just started, or that stops, is no measure of the time
    that the others take.
    """
    requested_at, load.requested_at = load.requested_at, None
    if (
        requested_at is not None
        and load.incarnation == report.incarnation
        and not (load.leaving or report.leaving)
    ):
        balancer.answer_time.observe(now - requested_at)


def send_load_request(balancer: ConnectionBalancer, agent: Address, now: float) -> None:
    """Request a load report, which the agent sends at once."""
    load = balancer.loads_by_agent[agent]
    request = LoadRequest(
        load.slots,
        load.is_near,
        warmup_left(load, now),
        load.warmup_rate,
        max(load.lifetime, 0),
    )
    send_message(balancer, agent, request, now)
    if load.unanswered_requests and balancer.agent_heard_at >= load.last_request_at:
        load.witnessed_requests += 1
    load.unanswered_requests += 1
    load.last_request_at = now
    if load.requested_at is None:
        load.requested_at = now


def request_loads(balancer: ConnectionBalancer, now: float) -> None:
    """Request load reports of the agents that are due."""
    if now - balancer.load_request_sent_at >= balancer.limits.load_request_interval_s:
        _request_round(balancer, now)
        return
    if now - balancer.first_request_sent_at >= FIRST_REQUEST_INTERVAL_S:
        balancer.first_request_sent_at = now
        for agent, load in balancer.loads_by_agent.items():
            if load.last_heard_at == float("-inf") or (
                load.leaving
                and load.is_unresponsive(now)
                and not has_crashed(balancer, agent, now)
            ):
                send_load_request(balancer, agent, now)
    if now - balancer.probed_at >= PROBE_INTERVAL_S:
        _probe_unresponsive(balancer, now)


def _request_round(balancer: ConnectionBalancer, now: float) -> None:
    balancer.load_request_sent_at = now
    balancer.first_request_sent_at = now
    balancer.probed_at = now
    balancer.load_request_rounds += 1
    for number, (agent, load) in enumerate(balancer.loads_by_agent.items()):
        # Agents of other zones are asked in every other round: the bytes
        # between zones grow with balancers times agents.
        if load.is_near or (number + balancer.load_request_rounds) % 2:
            send_load_request(balancer, agent, now)


def _probe_unresponsive(balancer: ConnectionBalancer, now: float) -> None:
    """Repeat the requests to unresponsive agents until they have crashed.

    If no agent was heard since the last requests to them, one that is
    responsive is asked too: its answer shows that theirs could arrive.
    """
    was_heard = balancer.agent_heard_at >= balancer.probed_at
    balancer.probed_at = now
    unresponsive = [
        agent
        for agent, load in balancer.loads_by_agent.items()
        if load.unanswered_since is not None and load.is_unresponsive(now)
    ]
    probed = [agent for agent in unresponsive if _is_probed(balancer, agent, now)]
    for agent in probed:
        send_load_request(balancer, agent, now)
    if probed and not was_heard:
        responsive = [
            agent
            for agent, load in balancer.loads_by_agent.items()
            if load.last_heard_at > float("-inf") and not load.is_unresponsive(now)
        ]
        if responsive:
            send_load_request(balancer, balancer.generator.choice(responsive), now)


def _is_probed(balancer: ConnectionBalancer, agent: Address, now: float) -> bool:
    """Return whether an unresponsive agent is asked in quick succession."""
    load = balancer.loads_by_agent[agent]
    return (
        load.last_heard_at > float("-inf")
        and not load.leaving
        and now - load.unanswered_since < MAX_PROBE_S
        and not has_crashed(balancer, agent, now)
    )
