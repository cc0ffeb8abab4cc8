"""Measurements behind the capacity page, each at one size."""

from asyncio import create_task, gather, get_running_loop, run, sleep
from collections.abc import Callable
from dataclasses import replace
from functools import cache, partial
from gc import collect
from itertools import cycle
from multiprocessing import get_context
from random import Random
from subprocess import run as run_process
from sys import executable
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from psutil import Process
from pynng import Rep0

from bench import agent, datapath, membership, routing, spread
from bench import capacity_target as size
from bench.epidemic import Fleet, spread_times
from bench.wire import CountingRelay
from lycheeglade import balancer
from lycheeglade.address import Address
from lycheeglade.agent import make_agent, update_view
from lycheeglade.established import EstablishedFlows
from lycheeglade.flow import FlowKey
from lycheeglade.gossip import PUSH_FANOUT
from lycheeglade.gossip_message import encode_message
from lycheeglade.knowledge import Knowledge
from lycheeglade.membership import Membership
from lycheeglade.packet import (
    Answer,
    Delegate,
    DelegateReply,
    HandoffCommit,
    HandoffDone,
    HandoffOffer,
    HandoffReady,
    HomeNotice,
    Ping,
    Pong,
    Probe,
    ProbeReply,
    encode_packet,
)
from lycheeglade.peer import ask_peer
from lycheeglade.routing import CandidateCache
from lycheeglade.spread import Snapshot, advance, build_view
from lycheeglade.transport import DatagramSocket
from lycheeglade.value import Value
from lycheeglade.view import View
from lycheeglade.watch import WATCHERS

BATCHES = 6
RUNS = 3
EXCHANGES = 20
RELAY = Address(spread.CONTROL.ip, spread.CONTROL.port + 1)
SETTLE_S = 0.5
HOSTS_PER_SERVICE = 39_300 // 11_000
DEAD = 0.02


def traced_kb(make: Callable[[], object]) -> float:
    """Return the kilobytes that the result of `make` holds."""
    collect()
    start()
    kept = make()
    collect()
    size, _ = get_traced_memory()
    stop()
    del kept
    return size / 1000


def relayed_cpu(round_trips: int) -> float:
    """Return milliseconds of a balancer's processor time for round trips."""
    figures = datapath.measure("balancer", round_trips)
    return 2e3 * round_trips * figures["answered"] / figures["packets_per_cpu_second"]


def make_established(count: int) -> EstablishedFlows:
    """Return the table of flows that were answered lately."""
    flows = EstablishedFlows(count)
    for number in range(count):
        caller_ip = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        flows.note_answer(FlowKey("booth-sync", caller_ip, 1024 + number), 1.0)
    return flows


def make_cache(count: int) -> CandidateCache:
    """Return a cache of so many ranked buckets."""
    service = routing.make_service(7)
    cache = CandidateCache(2 * count)
    for bucket in range(count):
        cache.rank(service, bucket)
    return cache


def make_contests(services: int) -> CandidateCache:
    """Return a cache that has ranked one bucket of so many services."""
    cache = CandidateCache(2 * services)
    for service in make_role_view(services).services_by_name.values():
        cache.rank(service, 0)
    return cache


def contests_kb(services: int) -> float:
    """Return the kilobytes of the cache of so many services' first buckets."""
    make_role_view(services)
    return traced_kb(lambda: make_contests(services))


def rank_us(targets: int) -> float:
    """Return microseconds to rank a bucket that isn't cached."""
    service = routing.make_service(targets)
    return least(lambda _: routing.time_lookups(service, routing.BUCKETS), targets)


def make_membership(count: int) -> Membership:
    """Return the membership of so many peers."""
    peers = Membership(Random(1))
    peers.watch(list(range(count)))
    return peers


def detection_time(count: int) -> float:
    """Return seconds until 1/25 of the peers, lost at once, are suspected."""
    lost = frozenset(range(0, count, 25))
    found, _, _ = membership.run_loss(range(count), lost, 8, 1)
    if len(found) < len(lost):
        raise ValueError(f"only {len(found)} of {len(lost)} were found")
    return max(found.values())


def notice_bytes(callers: int) -> float:
    """Return the bytes of a notice about so many flows."""
    flows = tuple((f"10.1.{n >> 8}.{n & 255}", 4000 + n) for n in range(callers))
    return len(encode_packet(HomeNotice("booth-sync", "t0", "t1", flows)))


def sample_packets() -> dict[str, bytes]:
    """Return a datagram of each kind; what carries a payload has 64 bytes."""
    payload, flow = bytes(64), ("booth-sync", "t0", "10.0.0.1", 4000)
    number = 1 << 47
    moved = ("booth-sync", "t0", "t1", "10.0.0.1", 4000, number)
    samples = (
        agent.make_forward(1, payload),
        Answer(*flow, payload),
        Probe(*flow),
        ProbeReply(*flow, "t1"),
        HomeNotice("booth-sync", "t0", "t1", (("10.0.0.1", 4000),)),
        Ping(number),
        Pong(number),
        Delegate("booth-sync", "t0", "t1", number, number, 0.5, False, payload),
        DelegateReply("booth-sync", "t0", "t1", number, True, payload, 0.5, number),
        HandoffOffer(*moved, (payload,)),
        HandoffReady("booth-sync", "t0", number, True),
        HandoffCommit(*moved, payload),
        HandoffDone("booth-sync", "t0", number),
    )
    return {type(packet).__name__: encode_packet(packet) for packet in samples}


def least(measure: Callable[[int], float], size: int) -> float:
    """Return the least of some runs, since other work only adds."""
    return min(measure(size) for _ in range(RUNS))


def requests_ms(flows: int) -> float:
    """Return milliseconds of an agent for a request of each flow."""
    return least(agent.time_requests, flows) * flows / 1000


def items_ms(flows: int) -> float:
    """Return milliseconds of an agent for a feed item of each flow."""
    return least(agent.time_notifications, flows) * flows / 1000


def moves_ms(flows: int) -> float:
    """Return milliseconds of an agent for a change that ranks its flows."""
    return least(lambda n: agent.time_view_change(n)[0], flows) * flows / 1000


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
            snapshot = advance(snapshot, [value], 0).snapshot
    snapshot = advance(snapshot, (), services).snapshot
    take_view(build_view(snapshot)[0])
    collect()
    return (Process().memory_info().rss - before) / 1000


@cache
def services_snapshot(count: int) -> Snapshot:
    """Return a snapshot of so many services."""
    return advance(Snapshot(), spread.make_services(count), count).snapshot


def list_bytes(hosts: int) -> float:
    """Return the bytes of a reply that carries a zone's list of hosts."""
    value = spread.make_hosts(0, hosts)
    known = Knowledge(0.0)
    known.snapshot = Snapshot(value.revision, {value.name: value})
    request = Knowledge(0.0).ask("127.0.0.1", 1)
    return len(encode_message(known.answer(request, True, 0.0)))


def difference_bytes(hosts: int) -> float:
    """Return the bytes of a reply that carries a change of one listed host."""
    value = spread.make_hosts(0, hosts)
    known, asker = Knowledge(0.0), Knowledge(0.0)
    for knowledge in (known, asker):
        knowledge.take_values([value])
        knowledge.take_index(1, 0, 0.0)
    # A host in the middle of the list is no longer published.
    head, _, rest = value.text.partition(f"[host host-0-{hosts // 2}]")
    text = head + "[host" + rest.partition("[host")[2]
    known.take_values([Value(value.name, 2, text)])
    known.take_index(2, 1, 0.0)
    reply = known.answer(asker.ask("127.0.0.1", 1), True, 0.0)
    if not reply.differences or asker.take_reply(reply, 1, 0.0):
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
    snapshot = advance(services_snapshot(services), hosts, services).snapshot
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


def bind_ms(sockets: int) -> float:
    """Return milliseconds of processor time to bind so many addresses."""

    async def bind() -> float:
        started = process_time()
        bound = bind_sockets(sockets)
        seconds = process_time() - started
        for each in bound:
            each.close()
        return seconds * 1000.0

    return run(bind())


def sockets_kb(sockets: int) -> float:
    """Return the kilobytes that so many open sockets allocate in Python."""

    async def bind() -> float:
        bound = []
        size = traced_kb(lambda: bound.extend(bind_sockets(sockets)))
        for each in bound:
            each.close()
        return size

    return run(bind())


def bind_sockets(sockets: int) -> list[DatagramSocket]:
    """Return so many sockets that are read in the running loop."""
    loop, network = get_running_loop(), datapath.NETWORK
    return [
        DatagramSocket(
            loop,
            partial(receive_nothing, n),
            local=Address(f"127.{network}.{100 + n // 250}.{n % 250 + 1}", 5683),
            on_batch=note_batch,
        )
        for n in range(sockets)
    ]


def note_batch(packets: int, drained: bool) -> None:
    """Take note of nothing."""


def receive_nothing(socket: int, datagram: bytes, source: tuple) -> None:
    """Drop a datagram."""


def read_ms(services: int) -> float:
    """Return milliseconds of processor time to read so many services."""
    values = list(spread.make_services(services))
    return spread.measure_cpu(lambda: advance(Snapshot(), values, services), 1)


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
        request = known.ask(*spread.CONTROL)
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


def base_mb(role: str) -> float:
    """Return the resident megabytes of a role's modules in a new process."""
    program = (
        f"import lycheeglade.{role}_daemon\n"
        "from psutil import Process\n"
        "print(Process().memory_info().rss)"
    )
    result = run_process(
        [executable, "-c", program], check=True, capture_output=True, text=True
    )
    return int(result.stdout) / 1e6
