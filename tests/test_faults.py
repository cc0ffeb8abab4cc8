"""Runs deployments on real processes while parts of them fail.

``FAULTS_SEED`` sets the seed, ``FAULTS_LONG=1`` selects the longer set.
"""

from asyncio import gather, sleep
from dataclasses import replace

import pytest

from demo.cluster import upstream_name
from tests.faults import (
    LEAVING_LIMIT_S,
    LONG,
    PROPAGATION_LIMIT_S,
    UNPLANNED_SETTLE_S,
    check_invariants,
    check_planned,
    check_unplanned,
    long_only,
    run_faults,
)

FABRIC_DETECTION_S = 3.0
PAUSE_S = 15.0 if LONG else 6.0
FAULT_S = 20.0 if LONG else 4.0
LOSSY = {"drop": 0.05, "duplicate": 0.2, "reorder": 0.1}


@pytest.fixture
async def run(tmp_path, request):
    async with run_faults(tmp_path, name=request.node.name) as run:
        yield run


async def drain(run, service, target):
    drained_at = await run.cluster.drain_target(service, target)
    await sleep(FAULT_S)
    run.processes.terminate(target.host_id)
    return drained_at


async def test_killed_balancer(run):
    balancer = run.deployment.balancers[0]
    run.kill_host(balancer.host_id)
    await sleep(FABRIC_DETECTION_S)
    run.cluster.command_fabric("remove", ip=balancer.ip)
    await sleep(FAULT_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=0)


async def test_killed_agent(run):
    host_id = run.deployment.targets[0].host_id
    flow_count = await run.count_flows(host_id)
    run.kill_host(host_id)
    await sleep(FAULT_S + 4.0)
    run.processes.restart(host_id)
    await sleep(FAULT_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_killed_upstream(run):
    target = run.deployment.targets[0]
    flow_count = await run.count_flows(target.host_id)
    run.processes.kill(upstream_name(target))
    await sleep(FAULT_S + 4.0)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


@long_only
async def test_killed_zone(run):
    zone = run.deployment.zones[0]
    targets = [item for item in run.deployment.targets if item.zone == zone]
    balancers = [item for item in run.deployment.balancers if item.zone == zone]
    flow_count = sum([await run.count_flows(item.host_id) for item in targets])
    for item in (*targets, *balancers):
        run.kill_host(item.host_id)
    for target in targets:
        run.processes.kill(upstream_name(target))
    await sleep(FABRIC_DETECTION_S)
    for balancer in balancers:
        run.cluster.command_fabric("remove", ip=balancer.ip)
    await sleep(FAULT_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_paused_agent(run):
    host_id = run.deployment.targets[0].host_id
    flow_count = await run.count_flows(host_id)
    run.processes.pause(host_id)
    await sleep(PAUSE_S)
    run.processes.resume(host_id)
    await sleep(FAULT_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_paused_balancer(run):
    balancer = run.deployment.balancers[0]
    run.processes.pause(balancer.host_id)
    await sleep(FABRIC_DETECTION_S)
    run.cluster.command_fabric("remove", ip=balancer.ip)
    await sleep(PAUSE_S)
    run.cluster.command_fabric("add", ip=balancer.ip)
    run.processes.resume(balancer.host_id)
    await sleep(FAULT_S)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=0)


async def test_drained_upstream_and_then_its_successors(run):
    service = run.deployment.services[0]
    first, second = service.targets[:2]
    drained_at = await drain(run, service, first)
    second_drained_at = await drain(run, service, second)
    for target in (first, second):
        assert run.processes.wait_end(target.host_id, service.grace) == 0
    report = await run.finish()
    check_planned(run, report)
    for target, at in ((first, drained_at), (second, second_drained_at)):
        assert run.cluster.count_late_work(target, at + LEAVING_LIMIT_S) == 0


async def test_two_drained_at_once_and_one_taken_back(run):
    service = run.deployment.services[0]
    first, second = service.targets[:2]
    await gather(
        run.cluster.drain_target(service, first),
        run.cluster.drain_target(service, second),
    )
    await sleep(0.3)
    run.cluster.leaving_targets.discard(second.target_id)
    run.cluster.leaving_hosts.discard(second.host_id)
    await run.cluster.publish_hosts(second.zone)
    revision = await run.cluster.publish_service(service)
    await run.wait_for_revision(revision)
    await sleep(FAULT_S)
    report = await run.finish()
    check_planned(run, report)


async def test_stopped_balancer(run):
    balancer = run.deployment.balancers[0]
    run.cluster.leaving_hosts.add(balancer.host_id)
    await run.cluster.publish_hosts(balancer.zone)
    run.cluster.command_fabric("remove", ip=balancer.ip)
    await sleep(1.0)
    run.processes.terminate(balancer.host_id)
    run.unreachable_hosts.add(balancer.host_id)
    await sleep(FAULT_S)
    assert run.processes.wait_end(balancer.host_id, 5.0) == 0
    report = await run.finish()
    check_planned(run, report)


async def test_platform_down_stale_and_old(run):
    service = run.deployment.services[0]
    revision = await run.cluster.publish_service(service)
    await run.wait_for_revision(revision)
    for mode in ("old", "stale", "down"):
        await run.cluster.set_platform_fault(mode)
        for _attempt in range(4):
            await sleep(0.5)
            revisions = await run.fetch_revisions()
            assert min(revisions.values()) >= revision
    await run.cluster.set_platform_fault("ok")
    revision = await run.cluster.publish_service(service)
    await run.wait_for_revision(revision)
    report = await run.finish()
    check_planned(run, report)


async def test_invalid_value_between_two_good_ones(run):
    service = run.deployment.services[0]
    name = f"services/{service.name}"
    good = service.format_value()
    await run.cluster.publish(name, good)
    await run.cluster.publish(name, good.replace("weight = 1", "weight = -1"))
    await sleep(2.0)
    refusals = [
        line
        for host_id in run.cluster.daemon_ips_by_host
        for line in run.find_logged_refusals(host_id)
    ]
    assert any("weight: -1" in line for line in refusals)
    targets = (await balancer_status(run))["services"][service.name]["targets"]
    assert targets == len(service.targets)
    fewer = replace(service, targets=service.targets[:-1])
    revision = await run.cluster.publish(name, fewer.format_value())
    await run.wait_for_revision(revision)
    targets = (await balancer_status(run))["services"][service.name]["targets"]
    assert targets == len(fewer.targets)
    await sleep(FAULT_S)
    report = await run.finish()
    check_planned(run, report)


async def balancer_status(run):
    return await run.cluster.fetch_status(run.deployment.balancers[0].host_id)


async def test_fresh_processes_while_the_platform_is_down(run):
    balancer = run.deployment.balancers[2]
    target = run.deployment.targets[0]
    flow_count = await run.count_flows(target.host_id)
    await run.cluster.set_platform_fault("down")
    for host_id in (balancer.host_id, target.host_id):
        run.processes.kill(host_id)
        run.processes.restart(host_id)
    for host in (balancer, target):
        await run.cluster.wait_listening(host.host_id)
        await run.cluster.wait_revision(host.host_id, 1, PROPAGATION_LIMIT_S)
    before = run.cluster.command_fabric("counters")["counters"]
    await sleep(FAULT_S + 4.0)
    after = run.cluster.command_fabric("counters")["counters"]
    key = f"from {balancer.ip}"
    assert after[key] > before[key]
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=flow_count)


async def test_one_way_cuts_of_a_balancer(run):
    balancer = run.deployment.balancers[1]
    for direction in ("to", "from"):
        fault = {"ip": balancer.ip, "direction": direction, "drop": 1.0}
        run.cluster.command_fabric("fault", **fault)
        await sleep(FAULT_S)
        run.cluster.command_fabric("heal")
        await sleep(1.0)
    await sleep(2.0)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=report.feeds)


async def test_lost_doubled_and_reordered_packets(run):
    for direction in ("to", "from"):
        run.cluster.command_fabric("fault", ip="*", direction=direction, **LOSSY)
    await sleep(2 * FAULT_S)
    run.cluster.command_fabric("heal")
    await sleep(4.0)
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=report.feeds)


async def test_flows_that_something_between_has_forgotten(run):
    items = run.count_items()
    run.cluster.command_fabric("forget")
    await sleep(FAULT_S + 4.0)
    assert run.count_items() > items
    report = await run.finish(UNPLANNED_SETTLE_S)
    check_unplanned(run, report, broken_feeds=report.feeds)


async def test_address_moves_to_another_service(run):
    booth, depot = run.deployment.services
    target = booth.targets[0]
    late = run.deployment.balancers[0]
    run.processes.pause(late.host_id)
    run.unreachable_hosts.add(late.host_id)
    run.cluster.command_fabric("remove", ip=late.ip)
    fewer = replace(booth, targets=booth.targets[1:])
    await run.cluster.publish_service(fewer)
    await wait_until_removed(run, target.host_id)
    run.processes.kill(upstream_name(target))
    run.cluster.start_upstream(depot, target)
    more = replace(depot, targets=(*depot.targets, target))
    revision = await run.cluster.publish_service(more)
    await run.wait_for_revision(revision)
    run.processes.resume(late.host_id)
    run.cluster.command_fabric("add", ip=late.ip)
    await sleep(FAULT_S)
    report = await run.finish()
    check_invariants(run, report)
    assert report.broken_feeds == 0, report.feed_causes


async def wait_until_removed(run, host_id):
    for _attempt in range(100):
        status = await run.cluster.fetch_status(host_id)
        if not any(map(is_served, status["targets"].values())):
            return
        await sleep(0.1)
    raise AssertionError(f"{host_id} still serves its removed target after 10 s")


def is_served(target):
    work = ("flows", "feeds", "openings", "handoffs", "running", "queued")
    return not target["removed"] or any(target[name] for name in work)
