"""Runs deployments on real processes under several faults at once."""

from asyncio import sleep, to_thread
from dataclasses import replace

import pytest

from demo.cluster import PLATFORM, upstream_name
from tests.faults import (
    PROPAGATION_LIMIT_S,
    UNPLANNED_SETTLE_S,
    check_planned,
    check_unplanned,
    long_only,
    run_faults,
)

FABRIC_DETECTION_S = 3.0
OUTAGE_S = 8.0
RESTART_DELAYS_S = (0.3, 1.0, 3.0)
RECOVERY_S = 12.0

pytestmark = long_only


@pytest.fixture
async def run(tmp_path, request):
    async with run_faults(tmp_path, name=request.node.name) as run:
        yield run


async def test_balancer_and_agent_killed_in_one_moment(run):
    balancer, target = run.deployment.balancers[0], run.deployment.targets[0]
    flow_count = await run.count_flows(target.host_id)
    for host in (balancer, target):
        run.kill_host(host.host_id)
    await sleep(FABRIC_DETECTION_S)
    run.cluster.command_fabric("remove", ip=balancer.ip)
    await sleep(OUTAGE_S)
    await restart_and_check(run, balancer, target, flow_count)


async def test_two_agents_and_an_upstream_killed_in_one_moment(run):
    first, second, third = run.deployment.services[0].targets[:3]
    flow_count = sum(
        [await run.count_flows(target.host_id) for target in (first, second, third)]
    )
    for target in (first, second):
        run.kill_host(target.host_id)
    run.processes.kill(upstream_name(third))
    await sleep(OUTAGE_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_processes_killed_again_while_they_recover(run):
    balancer, target = run.deployment.balancers[0], run.deployment.targets[0]
    flow_count = await run.count_flows(target.host_id)
    for host in (balancer, target):
        run.kill_host(host.host_id)
    run.cluster.command_fabric("remove", ip=balancer.ip)
    await sleep(OUTAGE_S)
    for delay in RESTART_DELAYS_S:
        for host in (balancer, target):
            run.processes.restart(host.host_id)
        await sleep(delay)
        flow_count += await run.count_flows_if_reachable(target.host_id)
        for host in (balancer, target):
            run.kill_host(host.host_id)
    await restart_and_check(run, balancer, target, flow_count)


async def restart_and_check(run, balancer, target, flow_count):
    for host in (balancer, target):
        run.processes.restart(host.host_id)
        await run.cluster.wait_listening(host.host_id)
    run.cluster.command_fabric("add", ip=balancer.ip)
    await sleep(RECOVERY_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


async def restart_platform(run):
    run.processes.restart(PLATFORM)
    await to_thread(run.processes.wait_listening, PLATFORM, run.deployment.platform)


async def test_platform_killed_while_a_change_spreads(run):
    service = run.deployment.services[0]
    for weight in (1.5, 1.1, 1.9):
        first = replace(service.targets[0], weight=weight)
        changed = replace(service, targets=(first, *service.targets[1:]))
        revision = await run.cluster.publish_service(changed)
        run.processes.kill(PLATFORM)
        await sleep(1.0)
        await restart_platform(run)
        await run.wait_for_revision(revision)
    report = await run.finish()
    check_planned(run, report)


async def test_platform_that_begins_its_numbers_again(run):
    service = run.deployment.services[0]
    for _change in range(3):
        revision = await run.cluster.publish_service(service)
    await run.wait_for_revision(revision)
    run.processes.kill(PLATFORM)
    run.cluster.platform_journal.unlink()
    await restart_platform(run)
    fewer = replace(service, targets=service.targets[:1])
    for _change in range(2):
        old_revision = await run.cluster.publish_service(fewer)
    assert old_revision < revision
    for _attempt in range(round(2 * PROPAGATION_LIMIT_S)):
        await sleep(0.5)
        assert set((await run.fetch_revisions()).values()) == {revision}
    status = await run.cluster.fetch_status(run.deployment.balancers[0].host_id)
    assert status["services"][service.name]["targets"] == len(service.targets)
    report = await run.finish()
    check_planned(run, report)
