"""The load of an agent's target, and what is told of it."""

from lycheeglade.connection_agent_state import ConnectionAgent, LocalConnection
from lycheeglade.relay_message import LoadReport
from lycheeglade.target_load import AgentLoad, expected_time

# Balancers that sent nothing for that long get no reports.
BALANCER_GONE_S = 3.0
# Load is reported when it changed, and at least each so often.
REPORT_INTERVAL_S = 0.1
QUIET_REPORT_INTERVAL_S = 0.4
# Datagrams a second that reports to all balancers may take.
REPORTS_PER_S = 100.0
LOG_INTERVAL_S = 1.0
MS_PER_S = 1000.0


def _busy_share(agent: ConnectionAgent, now: float) -> float:
    return min(1.0, agent.busy.average(now) / agent.slots)


def work_time(
    agent: ConnectionAgent, connection: LocalConnection, elapsed: float, now: float
) -> float:
    """Return how long the target worked on a request that is answered.

    One that found all slots taken waited at the target. Its answer follows
    another one by the time that a slot took, over the number of slots.
    """
    if connection.together <= agent.slots:
        return elapsed
    return min(elapsed, (now - agent.finished_at) * agent.slots)


def expected_wait(agent: ConnectionAgent, now: float) -> float:
    """Return the seconds until a new connection's request is answered here."""
    load = AgentLoad(
        service_time=agent.service_time.mean,
        running=len(agent.running_by_key),
        busy=_busy_share(agent, now),
        failing=agent.failures.share(now),
    )
    return expected_time(load, agent.slots)


def make_report(agent: ConnectionAgent, now: float) -> LoadReport:
    """Return the load at present."""
    return LoadReport(
        incarnation=agent.incarnation,
        service=agent.service,
        running=len(agent.running_by_key),
        service_time=agent.service_time.mean,
        busy=_busy_share(agent, now),
        connections=len(agent.connections_by_key),
        silent=agent.silence.is_silent(now),
        leaving=agent.is_leaving,
        failing=agent.failures.share(now),
    )


def report_load(agent: ConnectionAgent, now: float) -> None:
    """Tell the load to balancers, if it is due."""
    interval = max(REPORT_INTERVAL_S, len(agent.heard_by_balancer) / REPORTS_PER_S)
    if now - agent.reported_at < interval:
        return
    report = make_report(agent, now)
    is_same = agent.reported is not None and (
        report.running,
        report.silent,
        report.leaving,
    ) == (
        agent.reported.running,
        agent.reported.silent,
        agent.reported.leaving,
    )
    if is_same and now - agent.reported_at < QUIET_REPORT_INTERVAL_S:
        return
    agent.reported_at = now
    agent.reported = report
    _send_report(agent, report, now)


def log_load(agent: ConnectionAgent, now: float) -> None:
    """Log the load, if it is due."""
    if now - agent.logged_at < LOG_INTERVAL_S:
        return
    agent.logged_at = now
    report = make_report(agent, now)
    agent.actions.log(
        "load",
        running=report.running,
        service_ms=report.service_time * MS_PER_S,
        busy=report.busy,
        connections=report.connections,
        finished=agent.finished,
        balancers=len(agent.heard_by_balancer),
        silent=report.silent,
        failing=report.failing,
    )


def _send_report(agent: ConnectionAgent, report: LoadReport, now: float) -> None:
    """Send a load report to all balancers that were heard from lately."""
    for balancer, heard_at in list(agent.heard_by_balancer.items()):
        if now - heard_at > BALANCER_GONE_S:
            del agent.heard_by_balancer[balancer]
        else:
            agent.actions.send(balancer, report)


def begin_leaving(agent: ConnectionAgent, now: float) -> None:
    """Tell balancers that this process ends; its target may go on."""
    agent.is_leaving = True
    _send_report(agent, make_report(agent, now), now)
