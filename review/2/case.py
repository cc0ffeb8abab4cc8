"""A route changes its service while nodes are stopped and started in turn."""

from asyncio import sleep

from review.stand_ins.case import Case, Route, run_case
from review.stand_ins.client import Client, ClientFlow
from review.stand_ins.machines import CannotRunError, Machine
from review.stand_ins.target import Target

ZONES = ("mu-ebene", "mu-curepipe")
EDGE_ZONES = ("mu-ebene", "mu-ebene", "mu-curepipe")
FORMER, LATTER = "assets", "play"
ADDRESS = ("198.18.0.1", 443)
BEFORE = Route("piece-move", ADDRESS, FORMER, "unsafe", 3774, 252, 1)
AFTER = Route("piece-move", ADDRESS, LATTER, "unsafe", 3774, 252, 1)
SIDES_EACH = 2
BUDGET_S = 3.7
# A machine that was stopped is started after this pause.
DOWN_S = 0.5
CALM_S, CHANGE_S = 3.0, 3.0
MAX_FLOWS = 100
LOGGED = ("reset", "found", "reset-contradicted")


async def restart(machine: Machine) -> None:
    """Stop a machine and start it again."""
    await machine.terminate()
    await sleep(DOWN_S)
    await machine.start()


def is_open(target: Target, flow: ClientFlow) -> bool:
    """Return whether a flow is open at a target."""
    held = target.flows_by_key.get(flow.key)
    return held is not None and held.is_open


async def open_session(case: Case, client: Client, target: Target) -> ClientFlow:
    """Open a session to a target by the first edge node."""
    for number in range(MAX_FLOWS):
        flow = client.new_flow(ADDRESS)
        if case.router.choose(client.zone, flow.key) is not case.edges[0]:
            client.forget(flow)
            continue
        is_served = await client.open(flow) and await client.request(
            flow, f"first-{number}", BUDGET_S
        )
        if is_served and is_open(target, flow):
            return flow
        client.finish(flow)
    raise CannotRunError("no session at the new target was opened")


async def play(case: Case) -> str:
    """Play the case; return how the rule was broken."""
    for zone in EDGE_ZONES:
        await case.add_edge(zone, [0, 1, 2])
    for service in (FORMER, LATTER):
        for number in range(SIDES_EACH):
            side = case.add_side(ZONES[number % len(ZONES)], service)
            await case.add_target(side, service)
    # A second route keeps the former service in use.
    other = Route("picture-pack", ("198.18.0.2", 443), FORMER, "download", 9440, 944, 2)
    case.write_configuration(3, (BEFORE, other))
    await case.start_machines()
    client = await case.add_client(ZONES[0])
    await sleep(CALM_S)
    case.record("an empty target is added")
    side = case.add_side(ZONES[0], FORMER)
    await side.start()
    target = await case.add_target(side, FORMER)
    session = await open_session(case, client, target)
    case.record(f"session {session.key[0]} is open at target {target.target_id}")
    if case.has_trouble:
        await restart(side)
        case.write_configuration(5, (AFTER, other))
        await sleep(CHANGE_S)
        await restart(case.edges[0])
        await case.edges[0].wait_ready()
    await sleep(1.0)
    while not case.router.is_in_rotation(case.edges[0]):
        await sleep(0.02)
    await client.request(session, "second", BUDGET_S)
    case.copy_logs(LOGGED)
    if session.resets and is_open(target, session):
        sender = session.resets[0][1]
        return f"FLOW: {session.key[0]} was reset by {sender} under planned work"
    return ""


run_case(__file__, ZONES, play)
