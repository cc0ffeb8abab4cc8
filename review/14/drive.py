"""A route is dropped and put back while a balancer is restarted."""

import sys
from asyncio import ensure_future, gather, sleep
from math import inf
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_3"))

from deployment import PROBE_S, RESTART_S, Client, run_case  # noqa: E402

KEPT, DROPPED = ("198.18.0.1", 8080), ("198.18.0.2", 8080)
ROUNDS = 4
CALLERS = 24
# Age of what reads that may lag show.
LAG_S = 2.0
# From the first view of a balancer that starts until its next probe, and
# from the return of the route until then.
READY_BEFORE_PROBE_S, RETURN_BEFORE_PROBE_S = 0.22, 0.07


def make_route(address):
    """Return a route of the configuration."""
    return {
        "name": f"r-{address[0]}",
        "host": address[0],
        "prefix": f"/{address[1]}/",
        "type": "unsafe",
        "timeout-ms": 2000,
        "aim-ms": 120,
        "priority": 1,
        "service": "booth-sync",
        "attempts": 2,
    }


async def call(d, ip, number, state):
    """Open flows on the route that is dropped, and send requests on them."""
    turn = 0
    while not state["over"]:
        client = Client(d, ip, 10000 + 1000 * number + turn, DROPPED, "nadi-a")
        turn += 1
        if not await client.open():
            await sleep(0.03)
            continue
        requests = 0
        while not state["over"] and not client.is_reset:
            name = f"{client.end[1]}-{requests}"
            d.record(f"{client.name} sends request {name}")
            answer = await client.request(name)
            d.record(f"request {name} is answered with {answer}")
            requests += 1
            await sleep(0.02)
        client.finish()


async def age_copies(d):
    """Let reads that may lag show the store of LAG_S ago."""
    copies = []
    while True:
        copies.append((d.clock(), d.store.copy()))
        while len(copies) > 1 and copies[1][0] <= d.clock() - LAG_S:
            copies.pop(0)
        d.store.lagging = copies[0][1]
        await sleep(0.05)


async def measure_start(d, host):
    """Start a host; return the seconds until it has its first view."""
    began = d.clock()
    log = d.folder / f"{host.name}.log"
    seen = log.read_text().count("event=view ") if log.exists() else 0
    await host.start()
    while log.read_text().count("event=view ") <= seen:
        await sleep(0.01)
    return d.clock() - began


async def restart(d, host, start_s, trouble):
    """Restart a balancer; the route goes and comes back meanwhile."""
    await host.stop()
    if trouble:
        d.configure([make_route(KEPT)])
        # Flows of the dropped route may be reset.
        d.judged_from = inf
    await sleep(RESTART_S)
    probe_at = d.next_probe_at
    while probe_at < d.clock() + start_s + READY_BEFORE_PROBE_S:
        probe_at += PROBE_S
    await sleep(probe_at - READY_BEFORE_PROBE_S - start_s - d.clock())
    await host.start()
    await sleep(probe_at - RETURN_BEFORE_PROBE_S - d.clock())
    if trouble:
        d.configure([make_route(KEPT), make_route(DROPPED)])
        d.judged_from = d.clock()


async def case(d, trouble):
    """Return whether a flow was reset whose target and route are there."""
    rolled = d.add_balancer("edge-nadi-a-1", 10, "nadi-a")
    d.add_balancer("edge-nadi-b-1", 11, "nadi-b")
    d.add_target("i-7f3a91c2", 20, "nadi-a", "booth-sync")
    d.add_target("i-02bd44e1", 21, "nadi-b", "booth-sync")
    d.configure([make_route(KEPT), make_route(DROPPED)])
    await d.start()
    ageing = ensure_future(age_copies(d))
    ip = await d.add_client_ip(100)
    await sleep(4.0)
    await rolled.stop()
    await sleep(RESTART_S)
    start_s = await measure_start(d, rolled)
    d.record(f"{rolled.name} has a view {start_s:.3f} s after its start")
    await sleep(4.0)
    for _ in range(ROUNDS):
        state = {"over": False}
        calls = [ensure_future(call(d, ip, n, state)) for n in range(CALLERS)]
        await sleep(1.0)
        await restart(d, rolled, start_s, trouble)
        await sleep(3.0)
        state["over"] = True
        await gather(*calls)
        if d.false_resets:
            break
        await sleep(2.0)
    ageing.cancel()
    d.record(f"flows reset though target and route are there: {len(d.false_resets)}")
    return bool(d.false_resets)


run_case(HERE, case)
