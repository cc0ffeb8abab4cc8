"""Measurements of control behind the capacity page, each at one size."""

from asyncio import create_task, gather, run, sleep
from collections.abc import Callable
from dataclasses import replace
from functools import cache
from gc import collect
from itertools import cycle
from multiprocessing import get_context
from random import Random
from time import process_time

from psutil import Process
from pynng import Rep0

from bench import agent, datapath, spread
from bench import capacity_target as size
from bench.epidemic import Fleet, spread_times
from bench.wire import CountingRelay
from lycheeglade import balancer
from lycheeglade.address import Address
from lycheeglade.agent import make_agent, update_view
from lycheeglade.gossip import PUSH_FANOUT
from lycheeglade.gossip_message import encode_message
from lycheeglade.knowledge import Knowledge
from lycheeglade.peer import ask_peer
from lycheeglade.spread import Snapshot, build_view, merge_values
from lycheeglade.value import Value
from lycheeglade.view import View
from lycheeglade.watch import WATCHERS

BATCHES = 6
EXCHANGES = 20
RELAY = Address(spread.CONTROL.ip, spread.CONTROL.port + 1)
SETTLE_S = 0.5
HOSTS_PER_SERVICE = 39_300 // 11_000
DEAD = 0.02


def in_force_kb(role: str, services: int) -> float:
    """Return the resident kilobytes of a role with so many services in force.

    Hosts are in proportion; snapshot, view and what the role derives from the
    view are counted, sockets and flows are not.
    """
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(_in_force_kb, (role, services))


def _in_force_kb(role: str, services: int) -> float:
    take_view = {"balancer": make_balancer_taker, "agent": make_agent_taker}[role]()
    collect()
    before = Process().memory_info().rss
    snapshot = Snapshot()
    for make, count in (
        (spread.make_host_values, services * size.PROCESSES // size.ADDRESSES),
        (spread.make_services, services),
    ):
        for value in make(count):
            snapshot = merge_values(snapshot, [value], 0).snapshot
    snapshot = merge_values(snapshot, (), services).snapshot
    take_view(build_view(snapshot)[0])
    collect()
    return (Process().memory_info().rss - before) / 1000


@cache
def services_snapshot(count: int) -> Snapshot:
    """Return a snapshot of so many services."""
    return merge_values(Snapshot(), spread.make_services(count), count).snapshot


def list_bytes(hosts: int) -> float:
    """Return the bytes of a reply that carries a zone's list of hosts."""
    value = spread.make_hosts(0, hosts)
    known = Knowledge(0.0)
    known.snapshot = Snapshot(value.revision, {value.name: value})
    request = Knowledge(0.0).build_request("127.0.0.1", 1)
    return len(encode_message(known.answer(request, True, 0.0)))


def difference_bytes(hosts: int) -> float:
    """Return the bytes of a reply that carries a change of one listed host."""
    value = spread.make_hosts(0, hosts)
    known, asker = Knowledge(0.0), Knowledge(0.0)
    for knowledge in (known, asker):
        knowledge.apply_values([value])
        knowledge.apply_index(1, 0, 0.0)
    # A host in the middle of the list is no longer published.
    head, _, rest = value.text.partition(f"[host host-0-{hosts // 2}]")
    text = head + "[host" + rest.partition("[host")[2]
    known.apply_values([Value(value.name, 2, text)])
    known.apply_index(2, 1, 0.0)
    reply = known.answer(asker.build_request("127.0.0.1", 1), True, 0.0)
    if not reply.differences or asker.apply_reply(reply, 1, 0.0):
        raise ValueError("the change wasn't taken as a difference")
    return len(encode_message(reply))


def view_ms(services: int) -> float:
    """Return milliseconds of processor time to build a view."""
    snapshot = services_snapshot(services)
    return spread.measure_cpu(lambda: build_view(snapshot), 10)


@cache
def make_role_view(services: int) -> View:
    """Return a view of so many services, and hosts in proportion."""
    hosts = spread.make_host_values(services * HOSTS_PER_SERVICE)
    snapshot = merge_values(services_snapshot(services), hosts, services).snapshot
    return build_view(snapshot)[0]


def make_next_view(view: View) -> View:
    """Return the view after one target of one service was removed."""
    name, service = next(iter(view.services_by_name.items()))
    targets_by_id = dict(service.targets_by_id)
    del targets_by_id[next(iter(targets_by_id))]
    changed = replace(service, targets_by_id=targets_by_id)
    services = {**view.services_by_name, name: changed}
    return replace(view, services_by_name=services)


def measure_views(view: View, take_view: Callable[[View], None]) -> float:
    """Return milliseconds for a view that differs in one service."""
    views = cycle((make_next_view(view), view))
    take_view(view)
    return spread.measure_cpu(lambda: take_view(next(views)), 10)


def make_balancer_taker() -> Callable[[View], None]:
    """Return what puts a view in force at a balancer."""
    actions = balancer.BalancerActions(
        send=lambda address, datagram: None,
        answer=lambda service, caller, datagram: None,
        count=lambda name, service, cause: None,
    )
    subject = balancer.make_balancer(
        "b1", datapath.HERE, datapath.AGENT_SIDE, actions, Random(1)
    )
    return lambda view: balancer.update_view(subject, view)


def make_agent_taker() -> Callable[[View], None]:
    """Return what puts a view in force at an agent."""
    upstream = agent.Upstream()
    subject = make_agent(
        "host-1", spread.make_zone(0), upstream.actions(), Random(1), 100_000, 0.0
    )
    return lambda view: update_view(subject, view, 0.0)


def role_view_ms(role: str, services: int) -> float:
    """Return milliseconds of a role's processor time for a newer view."""
    take_view = {"balancer": make_balancer_taker, "agent": make_agent_taker}[role]()
    return measure_views(make_role_view(services), take_view)


def read_ms(services: int) -> float:
    """Return milliseconds of processor time to read so many services."""
    values = list(spread.make_services(services))
    return spread.measure_cpu(lambda: merge_values(Snapshot(), values, services), 1)


@cache
def exchange_costs(services: int) -> tuple[float, float]:
    """Return milliseconds (both ends) and bytes of an idle exchange.

    The processor time is the least of several batches; bytes are counted on
    connections of their own, since others may use the loopback too.
    """
    return run(_exchange_costs(services))


async def _exchange_costs(services: int) -> tuple[float, float]:
    known = Knowledge(0.0)
    known.snapshot = services_snapshot(services)
    cpu = []
    with Rep0() as listener:
        listener.listen(f"tcp://{spread.CONTROL}")
        server = create_task(spread.serve(listener, known))
        request = known.build_request(*spread.CONTROL)
        await ask_peer(spread.CONTROL, request)
        for _ in range(BATCHES):
            started = process_time()
            for _ in range(EXCHANGES):
                if await ask_peer(spread.CONTROL, request) is None:
                    raise TimeoutError("no reply of the peer")
            cpu.append((process_time() - started) / EXCHANGES * 1000.0)
        relay = CountingRelay(spread.CONTROL)
        relayed = await relay.serve(RELAY)
        for _ in range(EXCHANGES):
            if await ask_peer(RELAY, request) is None:
                raise TimeoutError("no reply of the peer")
        await sleep(SETTLE_S)
        relayed.close()
    await gather(server, return_exceptions=True)
    return min(cpu), relay.wire_bytes / relay.connections


def spread_seconds(
    processes: int, dead: float = DEAD, known_dead: bool = False
) -> float:
    """Return seconds until a change is known everywhere, in the model."""
    return _spread(processes, dead, known_dead).all


def spread_messages(processes: int) -> float:
    """Return the messages a process that a change takes, in the model."""
    return _spread(processes, DEAD).messages


@cache
def _spread(processes: int, dead: float, known_dead: bool = False):
    fleet = Fleet(processes, spread.ZONES, PUSH_FANOUT, WATCHERS, dead, known_dead)
    return spread_times(fleet, 1)
