"""An odd entry names the address of a living target, whose flows are reset."""

import sys
from asyncio import ensure_future, gather, sleep
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_ins_3"))

from deployment import Client, run_case  # noqa: E402

ROUTE, PULL = ("198.18.0.1", 8080), ("198.18.0.2", 8443)
ROUTES = [
    {
        "name": "r-confirm",
        "host": ROUTE[0],
        "prefix": f"/{ROUTE[1]}/",
        "type": "unsafe",
        "timeout-ms": 2000,
        "aim-ms": 120,
        "priority": 1,
        "service": "booth-sync",
        "attempts": 2,
    },
    {
        "name": "r-pull",
        "host": PULL[0],
        "prefix": f"/{PULL[1]}/",
        "type": "download",
        "timeout-ms": 8000,
        "aim-ms": 500,
        "priority": 2,
        "service": "reel-depot",
        "attempts": 2,
    },
]
# The balancers have run for longer than a flow may be open.
FLOWS_AT_S, ENTRY_AT_S, ROLL_AT_S, END_AT_S = 64.0, 68.0, 69.0, 80.0
FLOWS = 40


async def run_flow(d, ip, number):
    """Keep a flow open and send a request on it each second or so."""
    client = Client(d, ip, 20000 + number, ROUTE, "nadi-a")
    if not await client.open():
        d.record(f"{client.name} didn't open")
        return
    turn = 0
    while d.clock() < END_AT_S and not client.is_reset:
        name = f"{number}-{turn}"
        d.record(f"{client.name} sends request {name}")
        answer = await client.request(name)
        d.record(f"request {name} is answered with {answer}")
        turn += 1
        await sleep(client.random.uniform(0.5, 1.0))
    client.finish()


async def case(d, trouble):
    """Return whether a flow was reset whose target lives."""
    first = d.add_balancer("edge-nadi-a-1", 10, "nadi-a")
    d.add_balancer("edge-nadi-a-2", 11, "nadi-a")
    shadowed = d.add_target("i-7f3a91c2", 20, "nadi-a", "booth-sync")
    d.add_target("i-02bd44e1", 21, "nadi-b", "booth-sync")
    d.add_target("i-c90e6a17", 22, "nadi-a", "reel-depot")
    d.configure(ROUTES)
    await d.start()
    ip = await d.add_client_ip(100)
    await sleep(FLOWS_AT_S - d.clock())
    flows = [ensure_future(run_flow(d, ip, number)) for number in range(FLOWS)]
    await sleep(ENTRY_AT_S - d.clock())
    if trouble:
        # Without version, warmup-left-ms, born and sequence.
        entry = {
            "service": "reel-depot",
            "address": f"{shadowed.host.ip}:{d.app_port}",
            "zone": "nadi-a",
            "capacity": 1,
            "state": "ready",
        }
        d.store.put("servers/depot-7", entry)
        d.record(f"another writer writes servers/depot-7: {entry}")
    await sleep(ROLL_AT_S - d.clock())
    await first.restart()
    await gather(*flows)
    d.record(f"flows reset though their targets live: {len(d.false_resets)}")
    return bool(d.false_resets)


run_case(HERE, case)
