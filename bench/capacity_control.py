"""Measures the control plane at a given size, for the capacity page."""

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
FAILED_SHARE = 0.02


def in_force_kb(role: str, services: int) -> float:
    """Return a role's resident kilobytes with `services` services in force.

    The number of hosts is in proportion. The figure includes the snapshot, the
    view and what the role derives from the view, but no sockets or flows.
    """
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(_in_force_kb, (role, services))


def _in_force_kb(role: str, services: int) -> float:
    apply_view = {
        "balancer": make_balancer_view_applier,
        "agent": make_agent_view_applier,
    }[role]()
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
    apply_view(build_view(snapshot)[0])
    collect()
    return (Process().memory_info().rss - before) / 1000


@cache
def services_snapshot(count: int) -> Snapshot:
    """Return a snapshot of `count` services."""
    return merge_values(Snapshot(), spread.make_services(count), count).snapshot


def list_bytes(hosts: int) -> float:
    """Return the bytes of a reply that carries a zone's list of hosts."""
    value = spread.make_hosts(0, hosts)
    known = Knowledge(0.0)
    known.snapshot = Snapshot(value.revision, {value.name: value})
    request = Knowledge(0.0).build_request("127.0.0.1", 1)
    return len(encode_message(known.build_reply(request, True, 0.0)))


def difference_bytes(hosts: int) -> float:
    """Return the bytes of a reply with the removal of one listed host."""
    value = spread.make_hosts(0, hosts)
    known, asker = Knowledge(0.0), Knowledge(0.0)
    for knowledge in (known, asker):
        knowledge.apply_values([value])
        knowledge.apply_index(1, 0, 0.0)
    # Remove a host in the middle of the list.
    head, _, rest = value.text.partition(f"[host host-0-{hosts // 2}]")
    text = head + "[host" + rest.partition("[host")[2]
    known.apply_values([Value(value.name, 2, text)])
    known.apply_index(2, 1, 0.0)
    reply = known.build_reply(asker.build_request("127.0.0.1", 1), True, 0.0)
    if not reply.differences or asker.apply_reply(reply, 1, 0.0):
        raise ValueError("expected a reply that the peer applies as a difference")
    return len(encode_message(reply))


def view_ms(services: int) -> float:
    """Return the CPU milliseconds to build a view of `services` services."""
    snapshot = services_snapshot(services)
    return spread.measure_cpu(lambda: build_view(snapshot), 10)


@cache
def make_role_view(services: int) -> View:
    """Return a view of `services` services, with hosts in proportion."""
    hosts = spread.make_host_values(services * HOSTS_PER_SERVICE)
    snapshot = merge_values(services_snapshot(services), hosts, services).snapshot
    return build_view(snapshot)[0]


def make_next_view(view: View) -> View:
    """Return `view` without one target of its first service."""
    name, service = next(iter(view.services_by_name.items()))
    targets_by_id = dict(service.targets_by_id)
    del targets_by_id[next(iter(targets_by_id))]
    changed = replace(service, targets_by_id=targets_by_id)
    services = {**view.services_by_name, name: changed}
    return replace(view, services_by_name=services)


def measure_view_change(view: View, apply_view: Callable[[View], None]) -> float:
    """Return the CPU milliseconds to apply a view with one service changed."""
    views = cycle((make_next_view(view), view))
    apply_view(view)
    return spread.measure_cpu(lambda: apply_view(next(views)), 10)


def make_balancer_view_applier() -> Callable[[View], None]:
    """Return a function that applies a view at a balancer."""
    actions = balancer.BalancerActions(
        send=lambda address, datagram: None,
        answer=lambda service, caller, datagram: None,
        count=lambda name, service, cause: None,
    )
    subject = balancer.make_balancer(
        "b1", datapath.HERE, datapath.AGENT_SIDE, actions, Random(1)
    )
    return lambda view: balancer.update_view(subject, view)


def make_agent_view_applier() -> Callable[[View], None]:
    """Return a function that applies a view at an agent."""
    upstream = agent.Upstream()
    subject = make_agent(
        "host-1", spread.make_zone(0), upstream.actions(), Random(1), 100_000, 0.0
    )
    return lambda view: update_view(subject, view, 0.0)


def role_view_ms(role: str, services: int) -> float:
    """Return the CPU milliseconds of a role to apply a newer view."""
    apply_view = {
        "balancer": make_balancer_view_applier,
        "agent": make_agent_view_applier,
    }[role]()
    return measure_view_change(make_role_view(services), apply_view)


def read_ms(services: int) -> float:
    """Return the CPU milliseconds to read `services` services."""
    values = list(spread.make_services(services))
    return spread.measure_cpu(lambda: merge_values(Snapshot(), values, services), 1)


@cache
def exchange_costs(services: int) -> tuple[float, float]:
    """Return the CPU milliseconds (both ends) and bytes of an idle exchange.

    The CPU time is the minimum over several batches. Bytes are counted on
    separate connections, since other processes may use the loopback interface
    at the same time.
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
                    raise TimeoutError("the peer sent no reply")
            cpu.append((process_time() - started) / EXCHANGES * 1000.0)
        relay = CountingRelay(spread.CONTROL)
        relayed = await relay.serve(RELAY)
        for _ in range(EXCHANGES):
            if await ask_peer(RELAY, request) is None:
                raise TimeoutError("the peer sent no reply")
        await sleep(SETTLE_S)
        relayed.close()
    await gather(server, return_exceptions=True)
    return min(cpu), relay.wire_bytes / relay.connections


def spread_seconds(
    processes: int, failed_share: float = FAILED_SHARE, known_failed: bool = False
) -> float:
    """Return the modelled seconds until all processes know a change."""
    return _spread(processes, failed_share, known_failed).all


def spread_messages(processes: int) -> float:
    """Return the modelled number of messages per process for a change."""
    return _spread(processes, FAILED_SHARE).messages


@cache
def _spread(processes: int, failed_share: float, known_failed: bool = False):
    fleet = Fleet(
        processes, spread.ZONES, PUSH_FANOUT, WATCHERS, failed_share, known_failed
    )
    return spread_times(fleet, 1)
