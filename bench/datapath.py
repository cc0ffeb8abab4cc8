"""Compares the packets per second of a balancer and of a plain relay.

Usage: ``python -m bench.datapath [--packets N] [--json] [--trace]``. Relay
and balancer run one after the other, each in a separate process with the same
kind of event loop, load driver and responders. A round trip is two packets.
With ``--trace`` a balancer behind the daemon's inputs is measured without a
trace, and with a trace that another process receives over TCP.
"""

from argparse import ArgumentParser
from asyncio import Event, get_running_loop, sleep
from collections import deque
from functools import partial
from itertools import cycle
from json import dumps
from multiprocessing import get_context
from os import environ, getpid
from random import Random
from select import select
from socket import (
    AF_INET,
    SOCK_DGRAM,
    create_connection,
    create_server,
    socket,
)
from statistics import median
from sys import stderr
from time import monotonic, perf_counter

import uvloop
from psutil import Process

from bench.responder import BUFFER_BYTES, run_responder
from lycheeglade.address import Address, Zone
from lycheeglade.balancer import (
    BalancerActions,
    make_balancer,
    receive_datagram,
    receive_from_caller,
    update_view,
)
from lycheeglade.histograms import Metrics
from lycheeglade.packet import Answer, encode_packet
from lycheeglade.recorder import connect_balancer, open_recorder
from lycheeglade.settings import Settings
from lycheeglade.trace_writer import TraceOptions
from lycheeglade.transport import DatagramSocket
from lycheeglade.view import Host, Protocol, Role, Service, Target, View

PAYLOAD = bytes(120)
WINDOW = 192
CALLERS = 32
HERE = Zone("viti-west", "nadi-a")
IDLE_S = 1.0
START_S = 1.5
START_ATTEMPTS = 10
ROUNDS = 5
KNOWN_FLOWS = 100_000
GOAL_RATIO = 0.4
# Child processes inherit the network of the process that started them.
NETWORK = int(environ.setdefault("BENCH_NETWORK", str(200 + getpid() % 50)))
CALLER_SIDE = Address(f"127.{NETWORK}.1.1", 5683)
AGENT_SIDE = Address(f"127.{NETWORK}.1.1", 7100)
COLLECTOR = Address(f"127.{NETWORK}.3.1", 7400)
RESPONDERS = [Address(f"127.{NETWORK}.2.{number}", 7100) for number in (1, 2, 3)]


def make_view(targets: int = 7) -> View:
    """Return a view of one service whose targets share the responders."""
    targets_by_id = {
        f"t{number}": Target(
            f"t{number}",
            f"h{number}",
            HERE,
            RESPONDERS[number % len(RESPONDERS)],
            RESPONDERS[number % len(RESPONDERS)],
        )
        for number in range(targets)
    }
    service = Service(
        "booth-sync",
        "reelbure",
        1,
        Protocol.DATAGRAM,
        (CALLER_SIDE,),
        ("viti-west",),
        targets_by_id,
    )
    host = Host("b1", Role.BALANCER, HERE, AGENT_SIDE, AGENT_SIDE)
    return View(1, {"booth-sync": service}, {"b1": host})


async def run_relay() -> None:
    """Forward datagrams and their answers without decoding them."""
    loop = get_running_loop()
    # One queue of callers per responder suffices, as it answers in order.
    callers_by_responder = {tuple(address): deque() for address in RESPONDERS}
    responders = cycle(callers_by_responder)

    def forward_request(datagram, source):
        responder = next(responders)
        callers_by_responder[responder].append(source)
        agents.send(datagram, responder)

    def forward_answer(datagram, source):
        caller_side.send(datagram, callers_by_responder[source].popleft())

    caller_side = DatagramSocket(loop, forward_request, local=CALLER_SIDE)
    agents = DatagramSocket(loop, forward_answer, local=AGENT_SIDE)
    await Event().wait()


async def run_balancer() -> None:
    """Run a balancer on the same sockets as the relay."""
    loop = get_running_loop()
    actions = BalancerActions(
        send=lambda address, datagram: agents.send(datagram, address),
        answer=lambda service, caller, datagram: callers.send(datagram, caller),
        count=lambda name, service, cause: None,
    )
    balancer = make_balancer("b1", HERE, AGENT_SIDE, actions, Random(1))
    update_view(balancer, make_view())
    callers = DatagramSocket(
        loop,
        lambda datagram, source: receive_from_caller(
            balancer, "booth-sync", source, datagram, monotonic()
        ),
        local=CALLER_SIDE,
    )
    agents = DatagramSocket(
        loop,
        lambda datagram, source: receive_datagram(
            balancer, datagram, Address(source[0], source[1]), monotonic()
        ),
        local=AGENT_SIDE,
    )
    await Event().wait()


async def run_daemon(trace: TraceOptions | None) -> None:
    """Run a balancer behind the inputs that the daemon uses."""
    loop = get_running_loop()
    settings = Settings(
        Role.BALANCER, "b1", HERE, AGENT_SIDE, AGENT_SIDE, AGENT_SIDE, ""
    )
    metrics = Metrics()
    actions = BalancerActions(
        send=lambda address, datagram: agents.send(datagram, address),
        answer=lambda service, caller, datagram: callers.send(datagram, caller),
        count=metrics.count,
    )
    async with open_recorder(trace, settings, 1, monotonic(), metrics) as recorder:
        _, inputs = connect_balancer(
            lambda actions: make_balancer("b1", HERE, AGENT_SIDE, actions, Random(1)),
            actions,
            recorder,
        )
        inputs.update_view(make_view(), monotonic())
        callers = DatagramSocket(
            loop,
            lambda datagram, source: inputs.receive_from_caller(
                "booth-sync", source, datagram, monotonic()
            ),
            local=CALLER_SIDE,
            # The driver keeps its window full, which is no overload.
            on_batch=lambda packets, drained: inputs.record_batch(
                packets, True, monotonic()
            ),
        )
        agents = DatagramSocket(
            loop,
            lambda datagram, source: inputs.receive_datagram(
                datagram, Address(source[0], source[1]), monotonic()
            ),
            local=AGENT_SIDE,
        )
        while True:
            await sleep(IDLE_S)
            dropped = metrics.counter("trace", "", "dropped")
            if dropped:
                print(f"{dropped} trace lines dropped", file=stderr)


SUBJECTS = {
    "relay": run_relay,
    "balancer": run_balancer,
    "untraced": partial(run_daemon, None),
    "traced": partial(run_daemon, TraceOptions(COLLECTOR)),
    "traced whole": partial(run_daemon, TraceOptions(COLLECTOR, is_whole=True)),
}


def run_subject(name: str) -> None:
    """Run the relay or a balancer until the process is terminated."""
    uvloop.run(SUBJECTS[name]())


def run_collector() -> None:
    """Receive traces and discard them."""
    with create_server(COLLECTOR) as server:
        while True:
            connection, _ = server.accept()
            with connection:
                while connection.recv(BUFFER_BYTES):
                    pass


def wait_for_collector() -> None:
    """Wait until the collector listens, before any trace begins."""
    for _ in range(START_ATTEMPTS):
        try:
            create_connection(COLLECTOR, IDLE_S).close()
        except ConnectionRefusedError:
            uvloop.run(sleep(START_S))
        else:
            return


def run_load(packets: int) -> tuple[int, float]:
    """Keep WINDOW datagrams in flight; return the answers and seconds."""
    sockets = []
    for number in range(CALLERS):
        caller = socket(AF_INET, SOCK_DGRAM)
        caller.setblocking(False)
        caller.bind((f"127.{NETWORK}.9.{number + 1}", 0))
        caller.connect(CALLER_SIDE)
        sockets.append(caller)
    sent = answered = 0
    started_at = perf_counter()
    while answered < packets:
        while sent < packets and sent - answered < WINDOW:
            sockets[sent % CALLERS].send(PAYLOAD)
            sent += 1
        ready, _, _ = select(sockets, [], [], IDLE_S)
        if not ready:
            break
        for caller in ready:
            try:
                while True:
                    caller.recv(2048)
                    answered += 1
            except BlockingIOError:
                continue
    return answered, perf_counter() - started_at


def warm_up(packets: int) -> None:
    """Send datagrams until the child processes answer all of them.

    Raises
    ------
    TimeoutError
        If they don't answer in START_ATTEMPTS attempts.
    """
    for _ in range(START_ATTEMPTS):
        uvloop.run(sleep(START_S))
        try:
            if run_load(packets)[0] == packets:
                return
        except ConnectionRefusedError:
            continue
    raise TimeoutError("the relay or balancer did not answer all datagrams")


def measure(name: str, packets: int) -> dict[str, float]:
    """Return the packet rates of one subject; a round trip is two packets."""
    context = get_context("spawn")
    decodes_packets = name != "relay"
    subject = context.Process(target=run_subject, args=(name,))
    collector = context.Process(target=run_collector)
    children = [collector, subject] + [
        context.Process(target=run_responder, args=(address, decodes_packets))
        for address in RESPONDERS
    ]
    collector.start()
    wait_for_collector()
    for child in children[1:]:
        child.start()
    try:
        warm_up(packets // 10)
        process = Process(subject.pid)
        before = sum(process.cpu_times()[:2])
        answered, seconds = run_load(packets)
        cpu = sum(process.cpu_times()[:2]) - before
    finally:
        for child in children:
            child.terminate()
            child.join()
    return {
        "answered": answered / packets,
        "packets_per_second": 2 * answered / seconds,
        "packets_per_cpu_second": 2 * answered / cpu,
    }


def measure_known_flows() -> dict[str, float]:
    """Return the memory of a balancer after each 100,000 known flows."""
    actions = BalancerActions(
        send=lambda address, datagram: None,
        answer=lambda service, caller, datagram: None,
        count=lambda name, service, cause: None,
    )
    balancer = make_balancer("b1", HERE, AGENT_SIDE, actions, Random(1))
    update_view(balancer, make_view())
    sizes = []
    for start in range(0, 3 * KNOWN_FLOWS, KNOWN_FLOWS):
        for number in range(start, start + KNOWN_FLOWS):
            caller = Address(f"10.{number >> 16}.{number >> 8 & 255}.1", number & 255)
            receive_from_caller(balancer, "booth-sync", caller, PAYLOAD, 1.0)
            answer = Answer("booth-sync", "t0", *caller, PAYLOAD)
            receive_datagram(balancer, encode_packet(answer), RESPONDERS[0], 1.0)
        sizes.append(Process().memory_info().rss / 1e6)
    return {
        "rss_mb_by_100k_flows": sizes,
        "cached_buckets": len(balancer.candidates),
        "established_flows": len(balancer.overload.established),
    }


def print_trace_cost(packets: int) -> None:
    """Print the median rates of a balancer without and with a trace."""
    names = ("untraced", "traced", "traced whole")
    rounds = [[measure(name, packets) for name in names] for _ in range(ROUNDS)]
    for name, *rows in zip(names, *rounds, strict=True):
        rate, cpu_rate, answered = (
            median(row[key] for row in rows)
            for key in ("packets_per_second", "packets_per_cpu_second", "answered")
        )
        print(
            f"{name:14}{rate:12,.0f} packets/s"
            f"{1e6 / cpu_rate:8.1f} CPU us per packet{answered:8.1%} answered"
        )


def main() -> None:
    """Print the figures and the ratios of balancer to relay."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--packets", type=int, default=100_000)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--trace", action="store_true")
    options = parser.parse_args()
    if options.trace:
        print_trace_cost(options.packets)
        return
    relay = measure("relay", options.packets)
    balancer = measure("balancer", options.packets)
    flows = measure_known_flows()
    figures = {
        "relay": relay,
        "balancer": balancer,
        "ratio_by_time": balancer["packets_per_second"] / relay["packets_per_second"],
        "ratio_by_cpu": balancer["packets_per_cpu_second"]
        / relay["packets_per_cpu_second"],
        "goal_ratio": GOAL_RATIO,
        "known_flows": flows,
    }
    if options.json:
        print(dumps(figures, indent=2))
        return
    for name in ("relay", "balancer"):
        row = figures[name]
        print(
            f"{name:10}{row['packets_per_second']:12,.0f} packets/s"
            f"{row['packets_per_cpu_second']:12,.0f} packets/CPU s"
            f"{row['answered']:8.1%} answered"
        )
    print(f"ratio by time {figures['ratio_by_time']:.2f}, goal {GOAL_RATIO}")
    print(f"ratio by CPU {figures['ratio_by_cpu']:.2f}")
    sizes = ", ".join(f"{size:.0f}" for size in flows["rss_mb_by_100k_flows"])
    print(f"balancer memory with 100k, 200k, 300k known flows: {sizes} MB")


if __name__ == "__main__":
    main()
