"""Measures the throughput of a balancer under overload.

Usage: ``python -m bench.overload``. A process with the balancer's data path
but no control plane runs on loopback between simulated callers and a simulated
agent. Reading each batch is made to take `SLOWDOWN` times as long, so that one
load driver can exceed the balancer's capacity. Callers don't slow down, and
new callers ignore the retry time of a refusal, which is the worst case.
"""

from asyncio import Event, get_running_loop
from collections import Counter
from itertools import cycle
from multiprocessing import get_context
from random import Random
from select import EPOLLIN, epoll
from socket import AF_INET, SOCK_DGRAM, socket
from time import monotonic, sleep

import numpy as np
import uvloop
from aiocoap import Message

from bench.responder import answer_packets
from lycheeglade.address import Address, Zone
from lycheeglade.balancer import (
    BalancerActions,
    make_balancer,
)
from lycheeglade.balancer_daemon import ServiceSockets
from lycheeglade.histograms import Metrics
from lycheeglade.recorder import connect_balancer
from lycheeglade.settings import Settings
from lycheeglade.transport import DatagramSocket
from lycheeglade.view import Host, Protocol, Role, Service, Target, View

HERE = Zone("viti-west", "nadi-a")
CALLER_SIDE = Address("127.199.1.1", 5683)
AGENT_SIDE = Address("127.199.1.1", 7100)
AGENT = Address("127.199.2.1", 7100)
SLOWDOWN = 8
ESTABLISHED_CALLERS = 200
NEW_CALLERS = 2000
WINDOW = 100
START_S = 10.0
START_POLL_S = 0.1
CAPACITY_S = 1.0
LOAD_S = 2.0
DRAIN_S = 0.5
STEP_S = 0.001
LOADS = (1.0, 1.5, 2.0, 3.0)
ESTABLISHED_LOAD = 0.5
CONTENT, TOO_MANY = 0x45, 0x9D
REQUEST_HEAD, REQUEST_TAIL = b"\x40\x01", b"\xb6status"


def make_view() -> View:
    """Return a view of one service with one agent."""
    target = Target("t1", "h1", HERE, AGENT, AGENT)
    service = Service(
        "booth-sync",
        "reelbure",
        1,
        Protocol.COAP,
        (CALLER_SIDE,),
        ("viti-west",),
        {"t1": target},
    )
    host = Host("b1", Role.BALANCER, HERE, AGENT_SIDE, AGENT_SIDE)
    return View(1, {"booth-sync": service}, {"b1": host})


def slow_down_reads() -> None:
    """Make reading a batch take `SLOWDOWN` times as long in this process."""
    read = DatagramSocket._read_datagrams

    def read_slowly(datagram_socket):
        started_at = monotonic()
        packets = read(datagram_socket)
        until = started_at + SLOWDOWN * (monotonic() - started_at)
        while monotonic() < until:
            pass
        return packets

    DatagramSocket._read_datagrams = read_slowly


async def serve() -> None:
    """Run the balancer's data path on the sockets of its daemon."""
    metrics = Metrics()
    settings = Settings(
        Role.BALANCER, "b1", HERE, AGENT_SIDE, AGENT_SIDE, AGENT_SIDE, "http://none"
    )
    services = ServiceSockets(settings, metrics)
    actions = BalancerActions(
        send=lambda address, datagram: agents.send(datagram, address),
        answer=services.answer,
        count=metrics.count,
    )
    balancer, inputs = connect_balancer(
        lambda actions: make_balancer("b1", HERE, AGENT_SIDE, actions, Random(1)),
        actions,
        None,
    )
    view = make_view()
    inputs.update_view(view, monotonic())
    agents = DatagramSocket(
        get_running_loop(),
        lambda datagram, source: inputs.receive_datagram(
            datagram, Address(source[0], source[1]), monotonic()
        ),
        local=AGENT_SIDE,
    )
    services.update(balancer, inputs, view)
    await Event().wait()


def run_balancer() -> None:
    """Run a slowed balancer until the process terminates."""
    slow_down_reads()
    uvloop.run(serve())


def run_agent() -> None:
    """Answer each request at once, as an agent."""
    answer_packets(AGENT, lambda payload: bytes([0x60, CONTENT]) + payload[2:4])


class Driver:
    """Simulates callers with one flow each and counts their responses."""

    def __init__(self):
        self._poll = epoll()
        self._callers_by_fd = {}
        self._sent_at = {}
        self._next_id = 0
        self.established = [self._open() for _ in range(ESTABLISHED_CALLERS)]
        self.new = [self._open() for _ in range(NEW_CALLERS)]
        self._new_fds = {caller.fileno() for caller in self.new}
        self.admitted = set()
        self.reset()

    def _open(self):
        caller = socket(AF_INET, SOCK_DGRAM)
        caller.setblocking(False)
        caller.connect(CALLER_SIDE)
        self._callers_by_fd[caller.fileno()] = caller
        self._poll.register(caller.fileno(), EPOLLIN)
        return caller

    def close(self):
        """Close all sockets."""
        for caller in self._callers_by_fd.values():
            caller.close()
        self._poll.close()

    def reset(self):
        """Clear the counts and the recorded times."""
        self.counts = Counter()
        self.seconds = {"established": [], "refused": []}
        self.refusals = []

    def send(self, caller):
        """Send a request of `caller`."""
        self._next_id = (self._next_id + 1) % 65536
        message_id = self._next_id.to_bytes(2, "big")
        is_new = caller.fileno() in self._new_fds
        self.counts["new sent" if is_new else "established sent"] += 1
        self._sent_at[caller.fileno(), message_id] = monotonic()
        try:
            caller.send(REQUEST_HEAD + message_id + REQUEST_TAIL)
        except (BlockingIOError, ConnectionRefusedError):
            self.counts["not sent"] += 1

    def receive(self, timeout: float = 0.0) -> int:
        """Receive all pending datagrams and return their number."""
        received = 0
        for fd, _ in self._poll.poll(timeout):
            try:
                while True:
                    self._record_response(fd, self._callers_by_fd[fd].recv(2048))
                    received += 1
            except (BlockingIOError, ConnectionRefusedError):
                continue
        return received

    def _record_response(self, fd, datagram):
        sent_at = self._sent_at.pop((fd, datagram[2:4]), None)
        if sent_at is None:
            self.counts["copies"] += 1
            return
        seconds = monotonic() - sent_at
        is_new = fd in self._new_fds
        if datagram[1] == TOO_MANY:
            self.counts["new refused" if is_new else "established refused"] += 1
            self.seconds["refused"].append(seconds)
            self.refusals.append(datagram)
        elif is_new:
            self.counts["new answered"] += 1
            self.admitted.add(fd)
        else:
            self.counts["established answered"] += 1
            self.seconds["established"].append(seconds)

    def wait_for_answer(self) -> None:
        """Send requests until the balancer and the agent behind it answer.

        Raises
        ------
        TimeoutError
            If no answer arrives within `START_S`.
        """
        until = monotonic() + START_S
        while not self.counts["established answered"]:
            if monotonic() > until:
                raise TimeoutError(
                    f"the balancer did not answer within {START_S:.0f} s"
                )
            self.send(self.established[0])
            sleep(START_POLL_S)
            self.receive()
        self.reset()

    def measure_capacity(self, seconds: float) -> float:
        """Return the answers per second with WINDOW requests in flight."""
        callers = cycle(self.established)
        started_at = monotonic()
        while monotonic() - started_at < seconds:
            in_flight = self.counts["established sent"] - sum(
                self.counts[f"established {end}"] for end in ("answered", "refused")
            )
            for _ in range(WINDOW - in_flight):
                self.send(next(callers))
            self.receive(STEP_S)
        return self.counts["established answered"] / seconds

    def offer(self, established_rate: float, new_rate: float, seconds: float) -> None:
        """Send requests at fixed rates, regardless of the responses."""
        callers = cycle(self.established)
        started_at = monotonic()
        while (now := monotonic() - started_at) < seconds:
            while self.counts["established sent"] < established_rate * now:
                self.send(next(callers))
            while self.counts["new sent"] < new_rate * now and self.new:
                caller = self.new.pop(0)
                if caller.fileno() not in self.admitted:
                    self.new.append(caller)
                    self.send(caller)
            self.receive(STEP_S)
        until = monotonic() + DRAIN_S
        while monotonic() < until:
            self.receive(STEP_S)


def share(part: int, whole: int) -> float:
    """Return `part` as a percentage of `whole`, or 0 if `whole` is 0."""
    return 100 * part / whole if whole else 0.0


def format_row(load: float, capacity: float, driver: Driver) -> str:
    """Return the table row of one offered load."""
    counts = driver.counts
    sent = counts["established sent"] + counts["new sent"]
    established, refused = (
        1000 * np.percentile(driver.seconds[kind] or [np.nan], (50, 99))
        for kind in ("established", "refused")
    )
    waits = [Message.decode(datagram).opt.max_age for datagram in driver.refusals[:500]]
    return (
        f"{load:4.1f} {sent / LOAD_S:7.0f} {sent / LOAD_S / capacity:6.2f}"
        f" {share(counts['established answered'], counts['established sent']):8.2f}"
        f" {established[0]:7.1f} {established[1]:7.1f}"
        f" {share(counts['new answered'], counts['new sent']):8.2f}"
        f" {share(counts['new refused'], counts['new sent']):8.2f}"
        f" {refused[0]:7.1f} {refused[1]:7.1f}"
        f" {min(waits, default=0):5} {max(waits, default=0):5}"
    )


def measure(load: float | None, capacity: float) -> tuple[float, str]:
    """Return the capacity of a new balancer, or the table row of a load.

    If `load` is None, the capacity is measured and the row is empty.
    """
    context = get_context("spawn")
    children = [context.Process(target=run) for run in (run_balancer, run_agent)]
    for child in children:
        child.start()
    driver = Driver()
    try:
        driver.wait_for_answer()
        if load is None:
            return driver.measure_capacity(CAPACITY_S), ""
        for caller in driver.established:
            driver.send(caller)
        until = monotonic() + DRAIN_S
        while monotonic() < until:
            driver.receive(STEP_S)
        driver.reset()
        new_rate = (load - ESTABLISHED_LOAD) * capacity
        driver.offer(ESTABLISHED_LOAD * capacity, new_rate, LOAD_S)
        return 0.0, format_row(load, capacity, driver)
    finally:
        driver.close()
        for child in children:
            child.terminate()
            child.join()


def main() -> None:
    """Print the capacity, and a row for each offered load."""
    capacity, _ = measure(None, 0.0)
    print(f"capacity {capacity:.0f} requests/s, slowed down {SLOWDOWN} times")
    print(
        "load  sent/s actual est.ans%  p50 ms  p99 ms new.ans% new.ref%"
        "  p50 ms  p99 ms min.s max.s"
    )
    for load in LOADS:
        print(measure(load, capacity)[1], flush=True)


if __name__ == "__main__":
    main()
