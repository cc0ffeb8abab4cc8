"""All processes are killed after a route has got another service."""

import asyncio
from pathlib import Path
from signal import SIGKILL, SIGTERM

from stand_ins_2.deployment import STABILITY_S, Deployment, exit_with, run_case

FOLDER = Path(__file__).resolve().parent
FEEDS = 24
BUDGET_S = 8.0
CALM_S = STABILITY_S + 1.5
ROLL_PAUSE_S = 2.0
FLOW_TIMEOUT_S, FLOW_PACKETS = 2.0, 3


def count_elsewhere(deployment, flow, home, since: float) -> tuple[int, float]:
    """Return how many of a flow's packets reached other targets only.

    A packet is what the client sent at one moment, however many targets got
    it. The second value is the time from the first to the last of them.
    """
    if any(at >= since for at in home.arrivals.get(flow.key, ())):
        return 0, 0.0
    arrivals = sorted(
        at
        for target in deployment.targets
        if target is not home
        for at in target.arrivals.get(flow.key, ())
        if at >= since
    )
    sent = [at for at in flow.sent if at >= since]
    ends = [*sent[1:], float("inf")]
    reached = [
        next(at for at in arrivals if begin <= at < end)
        for begin, end in zip(sent, ends, strict=True)
        if any(begin <= at < end for at in arrivals)
    ]
    return len(reached), reached[-1] - reached[0] if reached else 0.0


async def roll(deployment: Deployment) -> None:
    """Stop the balancers in turn; each is started again."""
    for node in deployment.balancers:
        node.signal(SIGTERM)
        await asyncio.sleep(ROLL_PAUSE_S)


async def play(deployment: Deployment, is_on: bool) -> None:
    """Change a route, kill all processes, and roll the balancers later."""
    zones = deployment.zones
    for number in range(4):
        name, zone = f"edge-{number}", zones[number % 2]
        deployment.add_node(name, "balancer", zone, 10 + number)
    for number in range(6):
        service = "feeds" if number < 3 else "reels"
        name, zone = f"side-{number}", zones[number % 2]
        deployment.add_node(name, "agent", zone, 20 + number, service)
    route = deployment.address(100, 443)
    routes = {
        service: [deployment.make_route("r1", route, service, "download")]
        for service in ("feeds", "reels")
    }
    deployment.write_configuration(3, routes["feeds"])
    for number in range(6):
        service = "feeds" if number < 3 else "reels"
        target = deployment.make_target(
            f"i-{number}", service, zones[number % 2], 20 + number, capacity=4
        )
        await target.start()
    await deployment.start_nodes()
    client = deployment.make_client(200)
    await client.start()
    await asyncio.sleep(6.0)
    flows = [client.make_flow(route) for _ in range(FEEDS)]
    await asyncio.gather(*(flow.open() for flow in flows))
    answers = await asyncio.gather(
        *(flow.request(f"first-{n}", BUDGET_S) for n, flow in enumerate(flows))
    )
    deployment.record.add(f"{sum(map(bool, answers))} first requests answered")
    deployment.write_configuration(7, routes["reels"])
    await asyncio.sleep(0.5)
    if is_on:
        for node in deployment.nodes:
            node.signal(SIGKILL)
    await asyncio.sleep(2.0)
    for node in deployment.nodes:
        while not await node.fetch_ready():
            await asyncio.sleep(0.05)
    deployment.record.add("all processes are ready")
    await asyncio.sleep(CALM_S)
    since = deployment.record.add("the sessions go on")
    rolling = asyncio.create_task(roll(deployment))
    names = [f"second-{number}" for number in range(FEEDS)]
    answers = await asyncio.gather(
        *(flow.request(n, BUDGET_S) for n, flow in zip(names, flows, strict=True))
    )
    await rolling
    deployment.record.add(f"{sum(map(bool, answers))} second requests answered")
    for name, flow in zip(names, flows, strict=True):
        home, _ = deployment.open_at[flow.key]
        packets, span = count_elsewhere(deployment, flow, home, since)
        text = f"{packets} packets at other targets only, in {span:.3f} s"
        deployment.record.add(f"{name}: {text}; open at {home}")
        if packets >= FLOW_PACKETS and span >= FLOW_TIMEOUT_S and home.is_alive:
            deployment.break_rule(
                f"FLOW: {packets} packets of {name} reached other targets in"
                f" {span:.3f} s, and none {home}, which holds the flow"
            )


if __name__ == "__main__":
    exit_with(run_case(FOLDER, play))
