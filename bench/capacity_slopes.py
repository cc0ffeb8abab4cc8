"""Slopes that the capacity page is worked out from."""

from asyncio import create_task, gather, run
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from gc import collect
from multiprocessing import get_context
from random import Random
from time import perf_counter, process_time
from tracemalloc import get_traced_memory, start, stop

from psutil import Process
from pynng import Rep0

from bench import agent, datapath, membership, routing, spread, tickets
from bench.epidemic import Fleet, spread_times
from bench.fit import Line, fit_line
from lycheeglade.flow import FlowKey
from lycheeglade.gossip import PUSH_FANOUT
from lycheeglade.gossip_message import encode_message
from lycheeglade.knowledge import Knowledge
from lycheeglade.membership import Membership
from lycheeglade.overload import EstablishedFlows
from lycheeglade.packet import HomeNotice, decode_packet, encode_packet
from lycheeglade.peer import ask_peer
from lycheeglade.routing import CandidateCache
from lycheeglade.spread import Snapshot, advance, build_view

ROUND_TRIPS = (10_000, 20_000, 40_000)
FLOWS = (500, 1000, 2000)
ENTRIES = (5_000, 10_000, 20_000)
HOSTS = (100, 400, 1572)
SERVICES = (500, 1000, 2000)
ALL_HOSTS = (2500, 5000, 10_000)
PEERS = (1000, 4000, 16_000)
LOST_FROM = (6000, 9000, 12_000)
PROCESSES = (300, 3300, 39_300)
BATCHES = 6
EXCHANGES = 20
WATCHERS = 50
DEAD = 0.02


@dataclass(frozen=True, slots=True)
class Slope:
    """Figures at three sizes or more and the line through them."""

    title: str
    bench: str
    unit: str
    sizes: tuple[float, ...]
    figures: tuple[float, ...]
    line: Line

    def at(self, size: float) -> float:
        """Return the figure of the line at `size`."""
        return self.line.slope * size + self.line.intercept


def measure_slope(
    title: str,
    bench: str,
    unit: str,
    sizes: Sequence[float],
    measure: Callable[[float], float],
) -> Slope:
    """Measure at each size and fit a line."""
    figures = tuple(measure(size) for size in sizes)
    line = fit_line(sizes, figures)
    print(f"{title}: {line.slope:.4g} {unit} each, residual {line.residual:.1%}")
    return Slope(title, bench, unit, tuple(sizes), figures, line)


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


def codec_time(payload: int) -> float:
    """Return microseconds to write and read a forward."""
    packet = agent.make_forward(1, bytes(payload))
    rounds = 20_000
    started_at = perf_counter()
    for _ in range(rounds):
        decode_packet(encode_packet(packet))
    return (perf_counter() - started_at) / rounds * 1e6


def make_kept(values: Iterable, revision: int) -> object:
    """Return a snapshot of the values and its view."""
    snapshot = advance(Snapshot(), values, revision).snapshot
    return snapshot, build_view(snapshot)


def services_kb(count: int) -> float:
    """Return the kilobytes of so many services in force."""
    return traced_kb(lambda: make_kept(spread.make_services(count), count))


def hosts_kb(count: int) -> float:
    """Return the kilobytes of so many listed hosts in force."""
    return traced_kb(lambda: make_kept(spread.make_host_values(count), count))


def list_bytes(hosts: int) -> float:
    """Return the bytes of a reply that carries a zone's list of hosts."""
    value = spread.make_hosts(0, hosts)
    known = Knowledge(0.0)
    known.snapshot = Snapshot(value.revision, {value.name: value})
    request = Knowledge(0.0).ask("127.0.0.1", 1)
    return len(encode_message(known.answer(request, True, 0.0)))


def view_ms(services: int) -> float:
    """Return milliseconds of processor time to build a view."""
    values = spread.make_services(services)
    snapshot = advance(Snapshot(), values, services).snapshot
    return spread.measure_cpu(lambda: build_view(snapshot), 10)


def read_ms(services: int) -> float:
    """Return milliseconds of processor time to read so many services."""
    values = list(spread.make_services(services))
    return spread.measure_cpu(lambda: advance(Snapshot(), values, services), 1)


async def exchange_costs(services: int) -> tuple[float, float]:
    """Return milliseconds (both ends) and bytes of an idle exchange.

    The least of several batches, since others may use the loopback too.
    """
    known = Knowledge(0.0)
    values = spread.make_services(services)
    known.snapshot = advance(Snapshot(), values, services).snapshot
    cpu, wire = [], []
    with Rep0() as listener:
        listener.listen(f"tcp://{spread.CONTROL}")
        server = create_task(spread.serve(listener, known))
        request = known.ask(*spread.CONTROL)
        await ask_peer(spread.CONTROL, request)
        for _ in range(BATCHES):
            bytes_before, started = spread.loopback_bytes(), process_time()
            for _ in range(EXCHANGES):
                if await ask_peer(spread.CONTROL, request) is None:
                    raise TimeoutError("no reply of the peer")
            cpu.append((process_time() - started) / EXCHANGES * 1000.0)
            wire.append((spread.loopback_bytes() - bytes_before) / EXCHANGES)
    await gather(server, return_exceptions=True)
    return min(cpu), min(wire)


def spread_seconds(processes: int, dead: float = DEAD) -> float:
    """Return seconds until a change is known everywhere, in the model."""
    return _spread(processes, dead).all


def spread_messages(processes: int) -> float:
    """Return the messages a process that a change takes, in the model."""
    return _spread(processes, DEAD).messages


def _spread(processes: int, dead: float):
    fleet = Fleet(processes, spread.ZONES, PUSH_FANOUT, WATCHERS, dead)
    return spread_times(fleet, 1)


def base_mb(role: str) -> float:
    """Return the resident megabytes of a role's modules in a new process."""
    with get_context("spawn").Pool(1) as pool:
        return pool.apply(_load_role, (role,))


def _load_role(role: str) -> float:
    # A process without the measuring modules would be smaller still.
    __import__(f"lycheeglade.{role}_daemon")
    return Process().memory_info().rss / 1e6


def measure_slopes() -> dict[str, Slope]:
    """Measure all slopes, by the names that the tables use."""
    exchanges = [run(exchange_costs(size)) for size in SERVICES]
    cpu, wire = (
        dict(zip(SERVICES, side, strict=True)) for side in zip(*exchanges, strict=True)
    )
    cost = agent.time_view_change
    plan = {
        "relay": (
            "balancer CPU by round trips",
            "datapath",
            "ms",
            ROUND_TRIPS,
            relayed_cpu,
        ),
        "rank": (
            "ranking of an uncached bucket by targets",
            "routing",
            "us",
            routing.SIZES,
            lambda n: routing.time_lookups(routing.make_service(n), routing.BUCKETS),
        ),
        "cache": (
            "cached buckets",
            "routing",
            "kB",
            ENTRIES,
            lambda n: traced_kb(lambda: make_cache(n)),
        ),
        "established": (
            "flows answered lately at a balancer",
            "capacity",
            "kB",
            ENTRIES,
            lambda n: traced_kb(lambda: make_established(n)),
        ),
        "peers": (
            "peers known to a process",
            "membership",
            "kB",
            PEERS,
            lambda n: traced_kb(lambda: make_membership(n)),
        ),
        "loss": (
            "time to suspect a lost zone by peers in use",
            "membership",
            "s",
            LOST_FROM,
            detection_time,
        ),
        "flow": (
            "agent memory by flows without a feed",
            "agent",
            "kB",
            FLOWS,
            lambda n: agent.measure_memory(n, feeds=False),
        ),
        "feed": (
            "agent memory by flows with a feed",
            "agent",
            "kB",
            FLOWS,
            lambda n: agent.measure_memory(n, feeds=True),
        ),
        "request": (
            "agent CPU of one request, by flows held",
            "agent",
            "us",
            FLOWS,
            agent.time_requests,
        ),
        "item": (
            "agent CPU of one feed item, by flows held",
            "agent",
            "us",
            FLOWS,
            agent.time_notifications,
        ),
        "move": (
            "view change at an agent, a flow, by flows held",
            "agent",
            "us",
            FLOWS,
            lambda n: cost(n)[0],
        ),
        "notice": (
            "bytes of a home notice by flows",
            "capacity",
            "B",
            (10, 100, 500),
            notice_bytes,
        ),
        "codec": (
            "writing and reading a forward by payload",
            "capacity",
            "us",
            (64, 256, 1024),
            codec_time,
        ),
        "unused": (
            "unused tickets",
            "tickets",
            "kB",
            ENTRIES,
            lambda n: tickets.memory_of(tickets.make_unused, n) / 1000,
        ),
        "used": (
            "used tickets with 64-byte outcomes",
            "tickets",
            "kB",
            ENTRIES,
            lambda n: tickets.memory_of(tickets.make_used, n) / 1000,
        ),
        "ticket": (
            "one request through the ticket book, by records",
            "tickets",
            "us",
            ENTRIES,
            lambda n: 1e6 * tickets.ticket_time(n),
        ),
        "services": ("services in force", "spread", "kB", SERVICES, services_kb),
        "hosts": ("listed hosts in force", "spread", "kB", ALL_HOSTS, hosts_kb),
        "list": ("bytes of a list of hosts", "spread", "B", HOSTS, list_bytes),
        "list_cpu": (
            "CPU to read a list with one host changed",
            "spread",
            "ms",
            HOSTS,
            lambda n: spread.measure_host_change(spread.make_hosts(0, n)),
        ),
        "read": ("CPU to read services at a start", "spread", "ms", SERVICES, read_ms),
        "view": ("CPU to build a view by services", "spread", "ms", SERVICES, view_ms),
        "gossip_cpu": (
            "CPU of an idle exchange, both ends, by services",
            "spread",
            "ms",
            SERVICES,
            cpu.get,
        ),
        "gossip": (
            "bytes of an idle exchange, both ways, by services",
            "spread",
            "B",
            SERVICES,
            wire.get,
        ),
        "spread": (
            "time until all know a change (model), by processes",
            "epidemic",
            "s",
            PROCESSES,
            spread_seconds,
        ),
        "messages": (
            "messages a process a change (model), by processes",
            "epidemic",
            "",
            PROCESSES,
            spread_messages,
        ),
    }
    return {name: measure_slope(*entry) for name, entry in plan.items()}
