"""A target that has restarted drains while its former entry is still there."""

import asyncio
from pathlib import Path

from stand_ins_2.deployment import Deployment, exit_with, run_case

FOLDER = Path(__file__).resolve().parent
DRAIN_TIMEOUT_S = 3.0
DOWN_S, DRAIN_AFTER_S = 0.2, 0.4
SERVE_ON_S = 5.0
FLOWS_PER_S = 60.0
BUDGET_S = 1.5


async def make_calls(deployment, client, route) -> None:
    """Open a flow for each request, at a steady rate."""
    number = 0

    async def call(name: str) -> None:
        flow = client.make_flow(route)
        if await flow.open():
            answer = await flow.request(name, BUDGET_S)
            deployment.record.add(f"{name} answered {answer[:15]!r}")
            flow.close()

    calls = set()
    while True:
        number += 1
        task = asyncio.create_task(call(f"r{number}"))
        calls.add(task)
        task.add_done_callback(calls.discard)
        await asyncio.sleep(1.0 / FLOWS_PER_S)


async def play(deployment: Deployment, is_on: bool) -> None:
    """Crash a target, and drain its next lifetime."""
    zones = deployment.zones
    for number in range(3):
        name, zone = f"edge-{number}", zones[number % 2]
        deployment.add_node(name, "balancer", zone, 10 + number)
    for number in range(4):
        name, zone = f"side-{number}", zones[number % 2]
        deployment.add_node(name, "agent", zone, 20 + number, "feeds")
    route = deployment.address(100, 443)
    deployment.write_configuration(3, [deployment.make_route("r1", route, "feeds")])
    targets = [
        deployment.make_target(f"i-{number}", "feeds", zones[number % 2], 20 + number)
        for number in range(4)
    ]
    for target in targets:
        await target.start()
    await deployment.start_nodes()
    client = deployment.make_client(200)
    await client.start()
    deployment.tasks.append(asyncio.create_task(make_calls(deployment, client, route)))
    await asyncio.sleep(6.0)
    leaving = targets[0]
    if is_on:
        leaving.crash()
        await asyncio.sleep(DOWN_S)
        leaving = deployment.make_target("i-9", "feeds", zones[0], 20)
        await leaving.start()
        await asyncio.sleep(DRAIN_AFTER_S - DOWN_S)
    acknowledged_at = leaving.drain()
    await asyncio.sleep(SERVE_ON_S)
    leaving.leave()
    late = [
        (at, packet)
        for at, target, packet in deployment.accepted
        if target is leaving and at - acknowledged_at > DRAIN_TIMEOUT_S
    ]
    for at, packet in late:
        after_ms = 1000 * (at - acknowledged_at)
        deployment.break_rule(
            f"DRAIN: opening {packet.src[1]} reached {leaving} {after_ms:.0f} ms"
            " after the store had acknowledged that it is draining"
        )


if __name__ == "__main__":
    exit_with(run_case(FOLDER, play))
