"""Tests of real processes whose upstreams report false health or load."""

from asyncio import sleep

import pytest
from aiocoap import GET, POST

from tests.faults import (
    check_invariants,
    check_unplanned,
    count_unfinished,
    long_only,
    run_faults,
)

FAULT_S = 20.0
HEALED_S = 4.0
SLOWDOWN = 0.05

pytestmark = long_only


@pytest.fixture
async def run(tmp_path, request):
    async with run_faults(tmp_path, name=request.node.name) as run:
        yield run


def others(run, target):
    return [each for each in run.deployment.targets if each is not target]


async def count_unserved(run, targets):
    names = ("lycheeglade_refused_total", "lycheeglade_upstream_late_total")
    counts = [await run.fetch_counters(target.host_id) for target in targets]
    return sum(count.get(name, 0.0) for count in counts for name in names)


@pytest.mark.parametrize("mute", ["everything", "requests"])
async def test_mute_upstream_that_says_it_is_healthy(run, mute):
    target = run.deployment.targets[0]
    feeds_there = await run.count_flows(target.host_id)
    await run.command_upstream(target, POST, "fault", mute=mute, lies="1")
    await sleep(FAULT_S)
    health = await run.command_upstream(target, GET, "health")
    assert health.payload == b"ok"
    await run.command_upstream(target, POST, "fault", mute="nothing")
    await sleep(HEALED_S)
    report = await run.finish()
    check_unplanned(run, report, broken_feeds=feeds_there)
    unfinished = count_unfinished(report)
    assert all(set(counts) == {"unknown"} for counts in unfinished.values())


async def test_full_upstream_that_says_it_is_free(run):
    target = run.deployment.targets[0]
    before = await count_unserved(run, others(run, target))
    speed = f"{SLOWDOWN * target.weight:g}"
    await run.command_upstream(
        target, POST, "fault", speed=speed, lies="1", load="0", lag="120"
    )
    await sleep(FAULT_S)
    load = await run.command_upstream(target, GET, "load")
    assert b'"running": 0' in load.payload
    after = await count_unserved(run, others(run, target))
    assert after == before
    report = await run.finish()
    check_invariants(run, report)
    assert report.broken_feeds == 0, report.feed_causes
    assert count_unfinished(report) == {}
