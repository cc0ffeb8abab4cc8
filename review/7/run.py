"""All balancers and one agent are killed soon after its target was added."""

import asyncio
from pathlib import Path
from signal import SIGKILL

from stand_ins_2.deployment import STABILITY_S, Deployment, exit_with, run_case

FOLDER = Path(__file__).resolve().parent
FEEDS = 12
BUDGET_S = 1.5
OPENED_AFTER_S = 1.2
KILLED_AFTER_S = 1.6
CALM_S = STABILITY_S + 1.5


def check_flows(deployment: Deployment) -> None:
    """Find resets of open flows whose targets live."""
    for at, flow, sender, is_valid, is_own in deployment.resets:
        target, opened_at = deployment.open_at.get(flow.key, (None, 0.0))
        if target is None or not (is_own and is_valid) or not target.is_alive:
            continue
        since = at - max(node.disturbed_at for node in deployment.nodes)
        if since > STABILITY_S:
            deployment.break_rule(
                f"FLOW: {sender} reset flow {flow}, open since {opened_at:.3f} s at"
                f" {target}, which lives, {since:.3f} s after the last process start"
            )


async def play(deployment: Deployment, is_on: bool) -> None:
    """Add a target, give its route another service, and kill processes."""
    zones = deployment.zones
    for number in range(3):
        name, zone = f"edge-{number}", zones[number % 2]
        deployment.add_node(name, "balancer", zone, 10 + number)
    for number in range(4):
        service = "feeds" if number < 2 else "reels"
        name, zone = f"side-{number}", zones[number % 2]
        deployment.add_node(name, "agent", zone, 20 + number, service)
    route = deployment.address(100, 443)
    deployment.write_configuration(
        3, [deployment.make_route("r1", route, "feeds", "unsafe")]
    )
    for number in range(4):
        service = "feeds" if number < 2 else "reels"
        target = deployment.make_target(
            f"i-{number}", service, zones[number % 2], 20 + number
        )
        await target.start()
    await deployment.start_nodes()
    client = deployment.make_client(200)
    await client.start()
    await asyncio.sleep(6.0)
    side = deployment.add_node("side-4", "agent", zones[0], 24, "feeds")
    added_at = deployment.record.now()
    added = deployment.make_target("i-9", "feeds", zones[0], 24)
    await asyncio.gather(added.start(), deployment.start_nodes([side]))
    await asyncio.sleep(added_at + OPENED_AFTER_S - deployment.record.now())
    flows = [client.make_flow(route) for _ in range(FEEDS)]
    await asyncio.gather(*(flow.open() for flow in flows))
    answers = await asyncio.gather(
        *(flow.request(f"first-{n}", BUDGET_S) for n, flow in enumerate(flows))
    )
    deployment.record.add(f"{sum(map(bool, answers))} first requests answered")
    deployment.write_configuration(
        7, [deployment.make_route("r1", route, "reels", "unsafe")]
    )
    await asyncio.sleep(added_at + KILLED_AFTER_S - deployment.record.now())
    if is_on:
        for node in (*deployment.balancers, side):
            node.signal(SIGKILL)
    await asyncio.sleep(1.5)
    for node in deployment.nodes:
        while not await node.fetch_ready():
            await asyncio.sleep(0.05)
    deployment.record.add("all processes are ready")
    await asyncio.sleep(CALM_S)
    names = [f"second-{number}" for number in range(FEEDS)]
    answers = await asyncio.gather(
        *(flow.request(n, BUDGET_S) for n, flow in zip(names, flows, strict=True))
    )
    deployment.record.add(f"{sum(map(bool, answers))} second requests answered")
    check_flows(deployment)


if __name__ == "__main__":
    exit_with(run_case(FOLDER, play))
