"""Runs deployments on real processes while a relay cuts or delays paths."""

from asyncio import sleep

import pytest

from tests.faults import (
    UNPLANNED_SETTLE_S,
    check_unplanned,
    long_only,
    run_faults,
)
from tests.relayed import ANY, RelayedCluster

CUT_S = 20.0
RECOVERY_S = 6.0
LOSSY = {"drop": 0.05, "duplicate": 0.2, "reorder": 0.1}

pytestmark = long_only


@pytest.fixture
async def run(tmp_path, request):
    async with run_faults(
        tmp_path, name=request.node.name, cluster_type=RelayedCluster
    ) as run:
        yield run


async def heal_and_finish(run):
    run.cluster.heal()
    await sleep(RECOVERY_S)
    return await run.finish(UNPLANNED_SETTLE_S)


@pytest.mark.parametrize("direction", ["both", "to agent", "to balancer"])
async def test_cut_between_one_balancer_and_one_agent(run, direction):
    balancer = run.deployment.balancers[0]
    target = run.deployment.targets[0]
    flow_count = await run.count_flows(target.host_id)
    if direction != "to balancer":
        run.cluster.cut(balancer.ip, target.agent.ip)
    if direction != "to agent":
        run.cluster.cut(target.agent.ip, balancer.ip)
    await sleep(CUT_S)
    dropped = run.cluster.command_relay("counters")["counters"]["dropped"]
    assert dropped > 0
    report = await heal_and_finish(run)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_agent_cut_from_all_balancers(run):
    target = run.deployment.targets[0]
    flow_count = await run.count_flows(target.host_id)
    for balancer in run.deployment.balancers:
        run.cluster.cut(balancer.ip, target.agent.ip)
        run.cluster.cut(target.agent.ip, balancer.ip)
    await sleep(CUT_S)
    report = await heal_and_finish(run)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_agent_cut_from_everything(run):
    target = run.deployment.targets[0]
    flow_count = await run.count_flows(target.host_id)
    run.cluster.cut(ANY, target.agent.ip)
    run.cluster.cut(target.agent.ip, ANY)
    await sleep(CUT_S)
    report = await heal_and_finish(run)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_agents_cut_from_each_other(run):
    first, second = run.deployment.targets[:2]
    run.cluster.cut(first.agent.ip, second.agent.ip)
    run.cluster.cut(second.agent.ip, first.agent.ip)
    await sleep(CUT_S)
    report = await heal_and_finish(run)
    flow_count = report.feeds
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_lossy_paths_between_all_processes(run):
    run.cluster.set_fault(ANY, ANY, **LOSSY)
    await sleep(CUT_S)
    report = await heal_and_finish(run)
    check_unplanned(run, report, broken_feeds=0)


async def test_slow_path_to_one_agent(run):
    target = run.deployment.targets[0]
    run.cluster.set_fault(ANY, target.agent.ip, delay=0.4)
    run.cluster.set_fault(target.agent.ip, ANY, delay=0.4)
    await sleep(CUT_S)
    report = await heal_and_finish(run)
    check_unplanned(run, report, broken_feeds=0)
