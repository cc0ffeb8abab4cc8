"""Measures the data path at a given size, for the capacity page."""

from asyncio import get_running_loop, run
from collections.abc import Callable
from functools import partial
from gc import collect
from random import Random
from subprocess import run as run_process
from sys import executable
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from bench import agent, datapath, membership, routing
from bench.capacity_control import make_role_view
from lycheeglade.address import Address
from lycheeglade.established import EstablishedFlows
from lycheeglade.flow import FlowKey
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
from lycheeglade.routing import CandidateCache
from lycheeglade.transport import DatagramSocket

RUNS = 3


def traced_kb(make: Callable[[], object]) -> float:
    """Return the kilobytes that the result of `make` occupies."""
    collect()
    start()
    kept = make()
    collect()
    size, _ = get_traced_memory()
    stop()
    del kept
    return size / 1000


def relayed_cpu(round_trips: int) -> float:
    """Return a balancer's CPU milliseconds for `round_trips` round trips."""
    figures = datapath.measure("balancer", round_trips)
    return 2e3 * round_trips * figures["answered"] / figures["packets_per_cpu_second"]


def make_established(count: int) -> EstablishedFlows:
    """Return a table of `count` recently answered flows."""
    flows = EstablishedFlows(count)
    for number in range(count):
        caller_ip = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
        flows.record_answer(FlowKey("booth-sync", caller_ip, 1024 + number), 1.0)
    return flows


def make_cache(count: int) -> CandidateCache:
    """Return a cache with `count` ranked buckets of one service."""
    service = routing.make_service(7)
    cache = CandidateCache(2 * count)
    for bucket in range(count):
        cache.rank(service, bucket)
    return cache


def make_multi_service_cache(services: int) -> CandidateCache:
    """Return a cache with one ranked bucket of each of `services` services."""
    cache = CandidateCache(2 * services)
    for service in make_role_view(services).services_by_name.values():
        cache.rank(service, 0)
    return cache


def multi_service_cache_kb(services: int) -> float:
    """Return the kilobytes of a cache with one bucket of each service."""
    make_role_view(services)
    return traced_kb(lambda: make_multi_service_cache(services))


def rank_us(targets: int) -> float:
    """Return the microseconds to rank a bucket that isn't cached."""
    service = routing.make_service(targets)
    return min_of_runs(
        lambda _: routing.time_lookups(service, routing.BUCKETS), targets
    )


def make_membership(count: int) -> Membership:
    """Return the membership of `count` peers."""
    peers = Membership(Random(1))
    peers.set_peers(list(range(count)))
    return peers


def detection_time(count: int) -> float:
    """Return the seconds until all lost peers, 1/25 of all, are suspected."""
    lost = frozenset(range(0, count, 25))
    found, _, _ = membership.run_loss(range(count), lost, 8, 1)
    if len(found) < len(lost):
        raise ValueError(f"only {len(found)} of {len(lost)} lost peers were suspected")
    return max(found.values())


def notice_bytes(callers: int) -> float:
    """Return the bytes of a home notice for `callers` flows."""
    flows = tuple((f"10.1.{n >> 8}.{n & 255}", 4000 + n) for n in range(callers))
    return len(encode_packet(HomeNotice("booth-sync", "t0", "t1", flows)))


def sample_packets() -> dict[str, bytes]:
    """Return an encoded packet of each kind, with payloads of 64 bytes."""
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


def min_of_runs(measure: Callable[[int], float], size: int) -> float:
    """Return the minimum over RUNS runs, since other load only adds time."""
    return min(measure(size) for _ in range(RUNS))


def requests_ms(flows: int) -> float:
    """Return the CPU milliseconds of an agent for one request per flow."""
    return min_of_runs(agent.time_requests, flows) * flows / 1000


def items_ms(flows: int) -> float:
    """Return the CPU milliseconds of an agent for one feed item per flow."""
    return min_of_runs(agent.time_notifications, flows) * flows / 1000


def rerank_ms(flows: int) -> float:
    """Return the CPU milliseconds of an agent to rank its flows anew."""
    return min_of_runs(lambda n: agent.time_view_change(n)[0], flows) * flows / 1000


def bind_ms(sockets: int) -> float:
    """Return the CPU milliseconds to bind `sockets` addresses."""

    async def bind() -> float:
        started = process_time()
        bound = bind_sockets(sockets)
        seconds = process_time() - started
        for bound_socket in bound:
            bound_socket.close()
        return seconds * 1000.0

    return run(bind())


def sockets_kb(sockets: int) -> float:
    """Return the kilobytes that `sockets` open sockets allocate in Python."""

    async def bind() -> float:
        bound = []
        size = traced_kb(lambda: bound.extend(bind_sockets(sockets)))
        for bound_socket in bound:
            bound_socket.close()
        return size

    return run(bind())


def bind_sockets(sockets: int) -> list[DatagramSocket]:
    """Return `sockets` sockets that the running event loop reads."""
    loop, network = get_running_loop(), datapath.NETWORK
    return [
        DatagramSocket(
            loop,
            partial(discard_datagram, n),
            local=Address(f"127.{network}.{100 + n // 250}.{n % 250 + 1}", 5683),
            on_batch=ignore_batch,
        )
        for n in range(sockets)
    ]


def ignore_batch(packets: int, drained: bool) -> None:
    """Ignore the report of a batch."""


def discard_datagram(socket: int, datagram: bytes, source: tuple) -> None:
    """Discard a datagram."""


def base_mb(role: str) -> float:
    """Return the resident megabytes of a new process with a role's modules."""
    program = (
        f"import lycheeglade.{role}_daemon\n"
        "from psutil import Process\n"
        "print(Process().memory_info().rss)"
    )
    result = run_process(
        [executable, "-c", program], check=True, capture_output=True, text=True
    )
    return int(result.stdout) / 1e6
