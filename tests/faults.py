"""Runs a deployment under load from callers while faults are injected."""

from asyncio import get_running_loop, sleep
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from os import environ
from pathlib import Path
from random import Random

import pytest
from aiocoap import Message

from demo.account import Outcome, read_journals
from demo.cluster import Cluster, reserve_network_for_process, wait_until
from demo.deployment import Deployment, plan_reelbure
from demo.report import Report, build_report, find_violated_guarantees
from demo.workload import Load, Workload

SEED = int(environ.get("FAULTS_SEED", "1"))
LONG = environ.get("FAULTS_LONG") == "1"
CI_LOAD = Load(60, 2, pause=0.5, reel_pause=0.5, reel_bytes=256 << 10)
LONG_LOAD = Load(300, 6, pause=0.5, reel_pause=0.5)
WARM_UP_S = 1.0
UNPLANNED_SETTLE_S = 3.0
PLANNED_SETTLE_S = 15.0
RECOVERY_LIMIT_S = 5.0
PROPAGATION_LIMIT_S = 6.0
LEAVING_LIMIT_S = 3.0
FAILURE_PATTERNS = ("Traceback", "Error:", "never retrieved", "level=error")
LOG_LINES_AFTER = 20
REFUSED_VALUE = "event=value-refused"
long_only = pytest.mark.skipif(not LONG, reason="only in the long set")
UNFINISHED_OUTCOMES = (Outcome.UNKNOWN, Outcome.GIVEN_UP, Outcome.FAILED, "open")


REPORTS_BY_NAME: dict[str, Report] = {}
COLUMNS = ("answered", "refused", "unfinished", "broken", "silence_s")
COLUMNS += ("double", "false_refusal", "wrong")


@dataclass(slots=True)
class FaultRun:
    """One cluster with its callers under fault injection."""

    name: str
    cluster: Cluster
    workload: Workload
    unreachable_hosts: set[str] = field(default_factory=set)

    @property
    def processes(self):
        """Processes of the cluster."""
        return self.cluster.processes

    @property
    def deployment(self) -> Deployment:
        """Plan of the deployment."""
        return self.cluster.deployment

    @property
    def recovery_limit(self) -> float:
        """Longest allowed gap in seconds between items of a broken feed."""
        return self.deployment.services[0].heartbeat + RECOVERY_LIMIT_S

    async def finish(self, settle: float = PLANNED_SETTLE_S) -> Report:
        """Stop the callers and report on their account and the journals."""
        await self.workload.stop(settle)
        runs = read_journals(self.cluster.journals)
        report = build_report(self.workload.account, runs, {})
        REPORTS_BY_NAME[self.name] = report
        return report

    async def wait_for_revision(self, revision: int, hosts=None) -> float:
        """Wait until all hosts have `revision` and return the seconds it took.

        Raises
        ------
        AssertionError
            If a host doesn't have it within 6 s.
        """
        loop = get_running_loop()
        started_at = loop.time()
        waiting = set(hosts or self.cluster.daemon_ips_by_host) - self.unreachable_hosts
        while waiting:
            for host_id in sorted(waiting):
                status = await self.cluster.fetch_status(host_id)
                if status["revision"] >= revision:
                    waiting.discard(host_id)
            elapsed = loop.time() - started_at
            assert elapsed < PROPAGATION_LIMIT_S, (revision, waiting)
            await sleep(0.05)
        return loop.time() - started_at

    async def count_flows(self, host_id: str) -> int:
        """Return the number of flows whose home is on a host."""
        status = await self.cluster.fetch_status(host_id)
        return sum(target["flows"] for target in status["targets"].values())

    async def count_flows_if_reachable(self, host_id: str) -> int:
        """Return the number of flows on a host, 0 if it can't be reached."""
        try:
            return await self.count_flows(host_id)
        except OSError:
            return 0

    async def fetch_counters(self, host_id: str) -> Counter:
        """Return the counters of a process by name, summed over labels."""
        counters = Counter()
        for line in (await self.cluster.fetch_metrics(host_id)).splitlines():
            name, _, value = line.rpartition(" ")
            if not line.startswith("#"):
                counters[name.partition("{")[0]] += float(value)
        return counters

    async def command_upstream(self, target, code, path, **query) -> Message:
        """Send a request directly to an upstream and return its response."""
        items = tuple(f"{name}={value}" for name, value in query.items())
        return await self.cluster.ask_upstream(target, code, path, items)

    def kill_host(self, host_id: str) -> None:
        """Kill a balancer or an agent, and stop requesting its status."""
        self.processes.kill(host_id)
        self.unreachable_hosts.add(host_id)

    async def fetch_revisions(self) -> dict[str, int]:
        """Return the view revision of each reachable process."""
        hosts = set(self.cluster.daemon_ips_by_host) - self.unreachable_hosts
        return {
            host_id: (await self.cluster.fetch_status(host_id))["revision"]
            for host_id in sorted(hosts)
        }

    def count_items(self) -> int:
        """Return the number of feed items that all callers have received."""
        feeds = self.workload.account.feeds_by_id.values()
        return sum(feed.items for feed in feeds)

    def count_live_feeds(self) -> int:
        """Return the number of feeds that have received an item."""
        feeds = self.workload.account.feeds_by_id.values()
        return sum(feed.items > 0 for feed in feeds)

    def find_logged_errors(self) -> list[str]:
        """Return the log lines of balancers and agents that show an error.

        Each is returned with the lines around it. The logs of restarted
        processes are read from their first start.
        """
        found = []
        for host_id in self.cluster.daemon_ips_by_host:
            lines = self.processes.read_whole_log(host_id).splitlines()
            for number, line in enumerate(lines):
                if REFUSED_VALUE in line:
                    continue
                if any(mark in line for mark in FAILURE_PATTERNS):
                    near = lines[max(0, number - 3) : number + LOG_LINES_AFTER]
                    found.append("\n".join((f"{host_id} line {number}:", *near)))
        return found

    def find_logged_refusals(self, host_id: str) -> list[str]:
        """Return the log lines of a process about refused values."""
        lines = self.processes.read_log(host_id).splitlines()
        return [line for line in lines if REFUSED_VALUE in line]


@asynccontextmanager
async def run_faults(
    folder: Path, plan=plan_reelbure, load=None, name="", cluster_type=Cluster
):
    """Start a deployment and its callers, and wait until all feeds run."""
    cluster = cluster_type(plan(reserve_network_for_process()), folder, SEED)
    load = load or (LONG_LOAD if LONG else CI_LOAD)
    workload = Workload(cluster.deployment, load, Random(SEED))
    run = FaultRun(name, cluster, workload)
    try:
        await cluster.start()
        await workload.start()
        await wait_until(lambda: run.count_live_feeds() == load.feed_callers, 10.0)
        assert run.count_live_feeds() == load.feed_callers, "not all feeds got an item"
        await sleep(WARM_UP_S)
        yield run
    finally:
        await workload.abort()
        cluster.processes.kill_all()


def check_invariants(run: FaultRun, report: Report) -> None:
    """Check the invariants that hold under all faults."""
    broken = find_violated_guarantees(report, broken_feeds_allowed=report.feeds)
    assert broken == [], (broken, report.outcomes_by_kind)
    repeated = (report.repeats, report.steps_back)
    assert repeated == (0, 0), f"repeats and steps back: {repeated}"
    errors = run.find_logged_errors()
    assert errors == [], "\n".join(errors[:5])


def check_planned(run: FaultRun, report: Report) -> None:
    """Check a planned change: no broken feed and no unfinished request."""
    check_invariants(run, report)
    assert report.broken_feeds == 0, (report.feed_causes, report.gaps)
    unfinished = count_unfinished(report)
    assert unfinished == {}, unfinished


def check_unplanned(run: FaultRun, report: Report, broken_feeds: int) -> None:
    """Check an unplanned failure: few feeds break, and all recover in time."""
    check_invariants(run, report)
    broken = (report.broken_feeds, report.feed_causes, report.gaps)
    assert report.broken_feeds <= broken_feeds, (broken, broken_feeds)
    assert report.longest_silence <= run.recovery_limit, report.longest_silence
    lost = [
        feed for feed in run.workload.account.broken_feeds() if not feed.has_recovered
    ]
    assert lost == [], lost[:3]


def count_unfinished(report: Report) -> dict[str, dict[str, int]]:
    """Return the numbers of requests neither answered nor refused, by kind."""
    unfinished = {}
    for kind, counts in report.outcomes_by_kind.items():
        found = {name: counts[name] for name in UNFINISHED_OUTCOMES if name in counts}
        if found:
            unfinished[kind] = found
    return unfinished


def format_table() -> str:
    """Return a table with the figures of each finished run."""
    lines = [f"seed {SEED}", _format_line("test", COLUMNS)]
    for name, report in REPORTS_BY_NAME.items():
        counts = report.outcomes_by_kind.values()
        unfinished = count_unfinished(report).values()
        cells = (
            sum(count.get(Outcome.ANSWERED, 0) for count in counts),
            sum(count.get(Outcome.REFUSED, 0) for count in counts),
            sum(sum(count.values()) for count in unfinished),
            f"{report.broken_feeds}/{report.feeds}",
            f"{report.longest_silence:.1f}",
            len(report.double_runs),
            len(report.false_refusals),
            report.wrong_deliveries + len(report.wrong_answers),
        )
        lines.append(_format_line(name, cells))
    return "\n".join(lines)


def _format_line(name: str, cells) -> str:
    return f"{name:50}" + "".join(f"{cell!s:>14}" for cell in cells)
