"""Another writer's entry, which can't be read, appears in the store."""

from asyncio import sleep

from review.stand_ins.case import Case, Route, run_case
from review.stand_ins.client import Client

ZONES = ("serra", "litoral")
EDGE_ZONES = ("serra", "litoral", "serra")
SERVICE = "cobranca"
ROUTE = Route("tag-debit", ("198.18.0.1", 443), SERVICE, "unsafe", 3520, 352, 1)
# A JSON object of 4 kB whose only field is a list in a list in a list ...
DEPTH = 2000
UNREADABLE = b'{"tags":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
REQUEST_PAUSE_S = 0.25
BUDGET_S = 3.5
BEFORE_S, AFTER_S = 3.0, 20.0
# Fault: on a tenth of the machines in use, two at least, processes end by
# themselves three times, with no disruption there.
MIN_SHARE, MIN_MACHINES, MIN_ENDS = 0.1, 2, 3


async def send_requests(client: Client, served: list[bool]) -> None:
    """Send requests, each on a flow of its own."""
    number = 0
    while True:
        number += 1
        name = f"debit-{client.zone}-{number}"
        served.append(await client.request_once(ROUTE.address, name, BUDGET_S))
        await sleep(REQUEST_PAUSE_S)


async def play(case: Case) -> str:
    """Play the case; return how the rule was broken."""
    for zone in EDGE_ZONES:
        await case.add_edge(zone, [0, 1, 2])
    for zone in ZONES:
        await case.add_target(case.add_side(zone, SERVICE), SERVICE)
    case.write_configuration(3, (ROUTE,))
    await case.start_machines()
    served: list[bool] = []
    for zone in ZONES:
        client = await case.add_client(zone)
        case.run_task(send_requests(client, served))
    await sleep(BEFORE_S)
    case.record(f"before: {sum(served)} of {len(served)} requests served")
    served.clear()
    if case.has_trouble:
        case.store.put("servers/tmp-7", UNREADABLE)
    await sleep(AFTER_S)
    case.record(f"after: {sum(served)} of {len(served)} requests served")
    case.copy_error()
    machines = case.edges + case.sides
    ends_by_name = {m.name: m.self_ends for m in machines if m.self_ends}
    faulty = [name for name, ends in ends_by_name.items() if ends >= MIN_ENDS]
    if len(faulty) >= max(MIN_MACHINES, MIN_SHARE * len(machines)):
        return f"Fault: processes ended by themselves, by machine: {ends_by_name}"
    return ""


run_case(__file__, ZONES, play)
