"""Runs a whole deployment with callers and faults, and prints a table.

python -m demo.run [--deployment wayfarer] [--seconds 20] [--seed 1] [--json]

Halfway through, one balancer is killed and one upstream is drained. The exit
status is 1 if a stated guarantee is violated.
"""

from argparse import ArgumentParser
from asyncio import sleep
from json import dumps
from pathlib import Path
from random import Random
from sys import exit as exit_process
from sys import stderr
from tempfile import mkdtemp

from uvloop import run

from demo.account import read_journals
from demo.cluster import Cluster, reserve_network_for_process, upstream_name
from demo.deployment import PLANS_BY_NAME
from demo.report import Report, build_report, find_violated_guarantees, format_report
from demo.workload import Load, Workload

WARM_UP_S = 3.0
LEAVING_LIMIT_S = 3.0
HANDOFF_S = 6.0


async def run_demo(cluster: Cluster, load: Load, seconds: float, seed: int) -> Report:
    """Run the callers on a started cluster; inject faults halfway through."""
    workload = Workload(cluster.deployment, load, Random(seed))
    await workload.start()
    await sleep(WARM_UP_S)
    before = await _measure_busy_times(cluster)
    await sleep(max(1.0, seconds / 2 - WARM_UP_S))
    busy = _subtract(await _measure_busy_times(cluster), before)
    target, drained_at = await _inject_faults(cluster)
    settle_s = max(HANDOFF_S, seconds / 2 - _fabric_notice(cluster))
    await sleep(settle_s / 2)
    cluster.processes.terminate(target.host_id)
    await sleep(settle_s / 2)
    if not cluster.processes.is_running(target.host_id):
        cluster.processes.terminate(upstream_name(target))
    await workload.stop()
    late_work = cluster.count_late_work(target, drained_at + LEAVING_LIMIT_S)
    return build_report(
        workload.account, read_journals(cluster.journals), busy, late_work
    )


async def _inject_faults(cluster: Cluster):
    balancer = cluster.deployment.balancers[0]
    _print_progress(f"killing balancer {balancer.host_id}")
    cluster.processes.kill(balancer.host_id)
    service = cluster.deployment.services[0]
    target = service.targets[1]
    _print_progress(f"draining upstream {target.target_id} of {service.name}")
    drained_at = await cluster.drain_target(service, target)
    await sleep(_fabric_notice(cluster))
    cluster.command_fabric("remove", ip=balancer.ip)
    return target, drained_at


def _fabric_notice(cluster: Cluster) -> float:
    return cluster.deployment.answers.team.fabric_notice


async def _measure_busy_times(cluster: Cluster):
    return {
        service.name: await cluster.measure_busy_times(service)
        for service in cluster.deployment.services
    }


def _subtract(after, before):
    return {
        name: {
            target_id: busy - before[name].get(target_id, 0.0)
            for target_id, busy in busy_by_target.items()
        }
        for name, busy_by_target in after.items()
    }


def _print_progress(text: str):
    print(text, file=stderr, flush=True)


async def run_program(arguments) -> int:
    """Run the demonstration, print its report and return the exit status."""
    network = reserve_network_for_process()
    deployment = PLANS_BY_NAME[arguments.deployment](network)
    folder = Path(mkdtemp(prefix="lycheeglade-demo-"))
    _print_progress(f"answers, values, settings, logs and journals in {folder}")
    cluster = Cluster(deployment, folder, arguments.seed)
    load = Load(arguments.callers, arguments.downloads)
    try:
        await cluster.start()
        _print_progress(f"{deployment.name} is up on 127.{network}.0.0/16")
        operators = deployment.balancers[-1].settings.operators
        _print_progress(f"try: lycheeglade status {operators}")
        report = await run_demo(cluster, load, arguments.seconds, arguments.seed)
    finally:
        cluster.stop()
    violated = find_violated_guarantees(report)
    print(dumps(report.as_dict()) if arguments.json else format_report(report))
    for text in violated:
        _print_progress(f"violated guarantee: {text}")
    return 1 if violated else 0


def main():
    """Run the program."""
    parser = ArgumentParser(prog="demo.run")
    parser.add_argument("--deployment", choices=PLANS_BY_NAME, default="reelbure")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--callers", type=int, default=200)
    parser.add_argument("--downloads", type=int, default=6)
    parser.add_argument("--json", action="store_true")
    exit_process(run(run_program(parser.parse_args())))


if __name__ == "__main__":
    main()
