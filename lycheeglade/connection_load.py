"""Load of an agent's target, and its reports to balancers."""

from collections.abc import Mapping

from lycheeglade.address import Address
from lycheeglade.connection_agent_state import ConnectionAgent, LocalConnection
from lycheeglade.relay_message import LoadReport
from lycheeglade.target_load import (
    FULL_BUSY,
    MAX_BUSY,
    AgentLoad,
    expected_time,
)

# Balancers that sent nothing for BALANCER_TIMEOUT_S seconds get no reports.
BALANCER_TIMEOUT_S = 3.0
# Reports to more balancers than this would be too rare to be of use.
MAX_BALANCERS = 1024
# Interval between reports of an unchanged load.
MAX_REPORT_INTERVAL_S = 0.4
LOG_INTERVAL_S = 1.0
MS_PER_S = 1000.0


def _busy_share(agent: ConnectionAgent, now: float) -> float:
    return min(1.0, agent.busy.average(now) / agent.slots)


def work_time(
    agent: ConnectionAgent, connection: LocalConnection, elapsed: float, now: float
) -> float:
    """Return how long the target worked on an answered request.

    A request that found all slots occupied waited in the target's queue.
    With all slots occupied, answers follow each other at intervals of the
    work time divided by the number of slots.
    """
    if connection.concurrent_requests <= agent.slots:
        return elapsed
    return min(elapsed, (now - agent.last_finished_at) * agent.slots)


def _reported_busy_share(agent: ConnectionAgent, now: float) -> float:
    """Return the busy share as reported.

    The value 1 tells balancers that a cold target can take no opening at
    present. Any other cold target reports less.
    """
    share = _busy_share(agent, now)
    if not agent.warmup.is_cold(now):
        return share
    return min(share, MAX_BUSY) if agent.warmup.has_room(now) else FULL_BUSY


def _count_requests(agent: ConnectionAgent) -> int:
    """Return the number of requests here, and of connections that wait."""
    return len(agent.running_by_key) + len(agent.held_openings_by_key)


def expected_answer_time(agent: ConnectionAgent, now: float) -> float:
    """Return the expected seconds until a new connection's first answer."""
    load = AgentLoad(
        service_time=agent.service_time.mean,
        running=_count_requests(agent),
        busy=_busy_share(agent, now),
        failing=agent.failures.share(now),
    )
    return expected_time(load, agent.slots)


def make_report(agent: ConnectionAgent, now: float) -> LoadReport:
    """Return a report of the current load."""
    silent = agent.silence.is_silent(now)
    return LoadReport(
        incarnation=agent.incarnation,
        service=agent.service,
        running=_count_requests(agent),
        service_time=agent.service_time.mean if agent.service_time.is_measured else 0.0,
        busy=_reported_busy_share(agent, now),
        connections=len(agent.connections_by_key),
        silent=silent,
        leaving=agent.is_leaving,
        failing=agent.failures.share(now),
        target_ended=agent.has_target_ended or (silent and agent.is_port_closed),
        age=now - agent.started_at,
        is_target_older=agent.has_target_run_before or agent.has_older_connection,
    )


def _limit_balancers(agent: ConnectionAgent, now: float) -> None:
    """Forget balancers beyond `MAX_BALANCERS`.

    Those that have been silent go first, then those that came last.
    """
    heard = agent.last_heard_by_balancer
    if len(heard) <= MAX_BALANCERS:
        return
    for balancer, heard_at in list(heard.items()):
        if now - heard_at > BALANCER_TIMEOUT_S:
            _forget_balancer(agent, balancer)
    while len(heard) > MAX_BALANCERS:
        _forget_balancer(agent, next(reversed(heard)))


def _forget_balancer(agent: ConnectionAgent, balancer: Address) -> None:
    del agent.last_heard_by_balancer[balancer]
    agent.far_reported_at_by_balancer.pop(balancer, None)


def report_load(agent: ConnectionAgent, now: float) -> None:
    """Report the load to balancers if a report is due."""
    _limit_balancers(agent, now)
    limits = agent.limits
    far = len(agent.far_reported_at_by_balancer)
    near = len(agent.last_heard_by_balancer) - far
    interval = max(limits.report_interval_s, near / limits.reports_per_s)
    if now - agent.reported_at < interval:
        return
    report = make_report(agent, now)
    previous = agent.last_report
    is_full = agent.warmup.is_cold(now) and not agent.warmup.has_room(now)
    is_unchanged = previous is not None and (
        report.running,
        report.silent,
        report.target_ended,
        report.leaving,
        is_full,
    ) == (
        previous.running,
        previous.silent,
        previous.target_ended,
        previous.leaving,
        agent.has_reported_full_window,
    )
    if is_unchanged and now - agent.reported_at < MAX_REPORT_INTERVAL_S:
        return
    agent.reported_at = now
    agent.last_report = report
    agent.has_reported_full_window = is_full
    is_urgent = previous is not None and (report.silent, report.target_ended) != (
        previous.silent,
        previous.target_ended,
    )
    far_interval = max(limits.report_interval_s, far / limits.far_reports_per_s)
    _send_report(agent, report, now, 0.0 if is_urgent else far_interval)


def _format_counts(counts_by_priority: Mapping[int, int]) -> str:
    counts = counts_by_priority.items()
    return ",".join(f"{priority}:{count}" for priority, count in counts)


def log_load(agent: ConnectionAgent, now: float) -> None:
    """Log the load every `LOG_INTERVAL_S` seconds."""
    if now - agent.logged_at < LOG_INTERVAL_S:
        return
    agent.logged_at = now
    report = make_report(agent, now)
    is_cold = agent.warmup.is_cold(now)
    agent.actions.log(
        "load",
        running=report.running,
        service_ms=report.service_time * MS_PER_S,
        busy=_busy_share(agent, now),
        connections=report.connections,
        finished=agent.finished,
        held=len(agent.held_openings_by_key),
        held_by_priority=_format_counts(agent.opening_queue.order.count_by_priority()),
        balancers=len(agent.last_heard_by_balancer),
        silent=report.silent,
        failing=report.failing,
        cold=is_cold,
        cold_held=len(agent.held_openings_by_key) if is_cold else 0,
    )


def _send_report(
    agent: ConnectionAgent, report: LoadReport, now: float, far_interval: float
) -> None:
    """Send a load report to the balancers that recently sent a message.

    Parameters
    ----------
    far_interval : float
        Minimum seconds between reports to a balancer of another zone.
    """
    far_reported_at = agent.far_reported_at_by_balancer
    for balancer, heard_at in list(agent.last_heard_by_balancer.items()):
        if now - heard_at > BALANCER_TIMEOUT_S:
            _forget_balancer(agent, balancer)
            continue
        if balancer in far_reported_at:
            if now - far_reported_at[balancer] < far_interval:
                continue
            far_reported_at[balancer] = now
        agent.actions.send(balancer, report)


def announce_exit(agent: ConnectionAgent, now: float) -> None:
    """Report to balancers that this process exits; its target may go on."""
    agent.is_leaving = True
    _send_report(agent, make_report(agent, now), now, 0.0)
