"""Runs Wayfarer's deployment on real processes while parts of it fail."""

from asyncio import sleep

import pytest

from demo.deployment import plan_wayfarer
from demo.workload import Load
from tests.faults import (
    LEAVING_LIMIT_S,
    UNPLANNED_SETTLE_S,
    check_planned,
    check_unplanned,
    long_only,
    run_faults,
)

# Streams with small requests, and audio that many callers request at once.
LOAD = Load(120, 12, pause=0.4, reel_pause=0.2, reel_bytes=48 << 10)
OUTAGE_S = 8.0
RECOVERY_S = 12.0

pytestmark = long_only


@pytest.fixture
async def run(tmp_path, request):
    async with run_faults(
        tmp_path, plan=plan_wayfarer, load=LOAD, name=request.node.name
    ) as run:
        yield run


@pytest.mark.parametrize("service_index", [0, 1], ids=["phrasebook", "pronounce"])
async def test_killed_agent(run, service_index):
    target = run.deployment.services[service_index].targets[0]
    flow_count = await run.count_flows(target.host_id) if service_index == 0 else 0
    run.kill_host(target.host_id)
    await sleep(OUTAGE_S)
    run.processes.restart(target.host_id)
    await sleep(RECOVERY_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


@pytest.mark.parametrize("service_index", [0, 1], ids=["phrasebook", "pronounce"])
async def test_drained_upstream(run, service_index):
    service = run.deployment.services[service_index]
    target = service.targets[0]
    drained_at = await run.cluster.drain_target(service, target)
    await sleep(OUTAGE_S)
    run.processes.terminate(target.host_id)
    assert run.processes.wait_end(target.host_id, service.grace) == 0
    report = await run.finish()
    check_planned(run, report)
    assert run.cluster.count_late_work(target, drained_at + LEAVING_LIMIT_S) == 0


async def test_killed_balancer(run):
    balancer = run.deployment.balancers[0]
    run.kill_host(balancer.host_id)
    await sleep(3.0)
    run.cluster.command_fabric("remove", ip=balancer.ip)
    await sleep(OUTAGE_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=0)
