"""Measures the memory and CPU time of an agent, and the size of its messages.

Usage: ``python -m bench.agent [--trace]``. The agent runs in this process,
without sockets, and its upstream answers at once. With ``--trace`` the cost
of a request is measured without a trace and with a trace whose lines are
discarded.
"""

from argparse import ArgumentParser
from gc import collect
from random import Random
from statistics import median
from time import process_time
from tracemalloc import get_traced_memory, start, stop

from aiocoap import Code, Message, Type
from psutil import Process

from bench.fit import report
from lycheeglade.address import Address, Zone
from lycheeglade.agent import make_agent, receive_packet, tick, update_view
from lycheeglade.agent import receive_from_upstream as from_upstream
from lycheeglade.agent_state import Agent, AgentActions
from lycheeglade.coap import write_acknowledgement
from lycheeglade.packet import Answer, Forward, HomeNotice, encode_packet
from lycheeglade.recorder import Recorder, connect_agent
from lycheeglade.served_target import TargetKey
from lycheeglade.view import Host, Protocol, Role, Service, State, Target, View

HERE = Zone("viti-west", "nadi-a")
BALANCER = Address("127.1.0.1", 7100)
KEY = TargetKey("booth-sync", "t0")
SIZES = (500, 1000, 2000, 4000)
TARGETS = 7
ROUNDS = 7
MEMORY_LIMIT_MB = 128


class Upstream:
    """Answers requests at once and records the tokens of feeds."""

    def __init__(self):
        self.tokens: list[bytes] = []
        self.answers: list[bytes] = []
        self.packets: list[object] = []

    def actions(self) -> AgentActions:
        """Return actions that record the packets that the agent sends."""
        return AgentActions(
            send=lambda address, packet: self.packets.append(packet),
            send_upstream=self._receive,
            close_upstream=lambda key, flow: None,
            count=lambda name, service, cause: None,
            record=lambda service, work, stage, seconds: None,
        )

    def _receive(self, key, flow, datagram):
        request = Message.decode(datagram)
        if not request.code.is_request():
            return
        if request.opt.observe == 0:
            self.tokens.append(request.token)
            self.answers.append(make_item(request.token, 1, Type.ACK, request.mid))
        else:
            answer = Message(code=Code.CONTENT, payload=bytes(64))
            answer.mtype, answer.mid = Type.ACK, request.mid
            answer.token = request.token
            self.answers.append(answer.encode())


def make_item(token: bytes, number: int, mtype: Type, message_id: int) -> bytes:
    """Return a CoAP notification that carries feed item `number`."""
    message = Message(
        code=Code.CONTENT,
        payload=bytes(64),
        observe=number,
        etag=number.to_bytes(8, "big"),
    )
    message.mtype, message.mid, message.token = mtype, message_id, token
    return message.encode()


def make_view(revision: int = 1, leaving: str = "") -> View:
    """Return a view of one service with seven targets."""
    targets_by_id = {}
    hosts = {"b1": Host("b1", Role.BALANCER, HERE, BALANCER, BALANCER)}
    for number in range(TARGETS):
        address = Address(f"127.2.0.{number + 1}", 7100)
        name = f"t{number}"
        state = State.LEAVING if name == leaving else State.LIVE
        targets_by_id[name] = Target(
            name, f"h{number}", HERE, address, address, connections=10_000, state=state
        )
        hosts[f"h{number}"] = Host(f"h{number}", Role.AGENT, HERE, address, address)
    service = Service(
        "booth-sync",
        "reelbure",
        revision,
        Protocol.COAP,
        (Address("127.10.0.1", 5683),),
        ("viti-west",),
        targets_by_id,
        flow_idle=1e6,
        cold_start=0.0,
    )
    return View(revision, {"booth-sync": service}, hosts)


def make_forward(number: int, payload: bytes) -> Forward:
    """Return a caller's datagram as a balancer forwards it."""
    caller_ip = f"10.{number >> 16}.{number >> 8 & 255}.{number & 255}"
    candidates = ("t0", "t1", "t2", "t3")
    return Forward(
        "booth-sync", "t0", 1, caller_ip, 4000, candidates, 1, *BALANCER, payload
    )


def make_request(message_id: int, *, feed: bool) -> bytes:
    """Return a caller's GET request, which opens a feed if `feed` is set."""
    message = Message(code=Code.GET, uri_path=("status",))
    if feed:
        message.opt.observe = 0
    message.mtype, message.mid = Type.CON, message_id
    message.token = message_id.to_bytes(2, "big")
    return message.encode()


def deliver_answers(agent: Agent, upstream: Upstream, now: float) -> None:
    """Deliver the upstream's pending answers to the agent."""
    answers, upstream.answers = upstream.answers, []
    for answer in answers:
        from_upstream(agent, KEY, None, answer, now)


def open_flows(flows: int, *, feeds: bool) -> tuple[Agent, Upstream]:
    """Return an agent with `flows` open flows, and its upstream."""
    upstream = Upstream()
    agent = make_agent("h0", HERE, upstream.actions(), Random(1), 100_000, 0.0)
    update_view(agent, make_view(), 0.0)
    request = make_request(1, feed=feeds)
    for number in range(flows):
        receive_packet(agent, make_forward(number, request), BALANCER, 0.01)
        deliver_answers(agent, upstream, 0.01)
    upstream.packets.clear()
    return agent, upstream


def measure_memory(flows: int, *, feeds: bool) -> float:
    """Return the kilobytes that an agent with `flows` flows allocates."""
    collect()
    start()
    kept = open_flows(flows, feeds=feeds)
    collect()
    size, _ = get_traced_memory()
    stop()
    del kept
    return size / 1000


def time_requests(flows: int) -> float:
    """Return the CPU microseconds of one request and its answer."""
    agent, upstream = open_flows(flows, feeds=False)
    started_at = process_time()
    for number in range(flows):
        request = make_request(2, feed=False)
        receive_packet(agent, make_forward(number, request), BALANCER, 0.02)
        deliver_answers(agent, upstream, 0.02)
    return (process_time() - started_at) / flows * 1e6


def time_traced_requests(requests: int, is_whole: bool | None) -> tuple[float, float]:
    """Return the CPU microseconds and the trace bytes of one request.

    Parameters
    ----------
    is_whole : bool or None
        Whether the trace includes payloads; None measures without a trace.
    """
    upstream = Upstream()
    written = [0]

    def write(line: bytes, now: float) -> None:
        written[0] += len(line)

    recorder = None if is_whole is None else Recorder(write, is_whole=is_whole)
    _, inputs = connect_agent(
        lambda actions: make_agent("h0", HERE, actions, Random(1), 100_000, 0.0),
        upstream.actions(),
        recorder,
    )
    inputs.update_view(make_view(), 0.0)
    inputs.tick(True, 0.0)

    def run_all(message_id: int, now: float) -> float:
        request = make_request(message_id, feed=False)
        datagrams = [
            encode_packet(make_forward(number, request)) for number in range(requests)
        ]
        started_at = process_time()
        for datagram in datagrams:
            inputs.receive_datagram(datagram, BALANCER, now)
            answers, upstream.answers = upstream.answers, []
            for answer in answers:
                inputs.receive_from_upstream(KEY, None, answer, now)
        return process_time() - started_at

    run_all(1, 0.01)
    before = written[0]
    seconds = run_all(2, 0.02)
    return seconds / requests * 1e6, (written[0] - before) / requests


def print_trace_cost() -> None:
    """Print the median cost of a request without and with a trace."""
    modes = {"untraced": None, "traced": False, "traced whole": True}
    rounds = [
        [time_traced_requests(SIZES[-1], is_whole) for is_whole in modes.values()]
        for _ in range(ROUNDS)
    ]
    for name, *rows in zip(modes, *rounds, strict=True):
        us, size = (median(column) for column in zip(*rows, strict=True))
        print(f"{name:14}{us:8.1f} CPU us per request{size:8.0f} bytes per request")


def time_notifications(flows: int) -> float:
    """Return the CPU microseconds of a feed item and its acknowledgement."""
    agent, upstream = open_flows(flows, feeds=True)
    items = [
        make_item(token, 2, Type.CON, number)
        for number, token in enumerate(upstream.tokens)
    ]
    started_at = process_time()
    for number, item in enumerate(items):
        from_upstream(agent, KEY, None, item, 0.02)
        answer = upstream.packets.pop()
        acknowledgement = write_acknowledgement(Message.decode(answer.payload).mid)
        packet = make_forward(number, acknowledgement)
        receive_packet(agent, packet, BALANCER, 0.02)
    return (process_time() - started_at) / flows * 1e6


def time_view_change(flows: int) -> tuple[float, float]:
    """Return the CPU microseconds and notice bytes per flow of a removal."""
    agent, upstream = open_flows(flows, feeds=True)
    view = make_view(2, leaving="t3")
    started_at = process_time()
    update_view(agent, view, 0.02)
    seconds = process_time() - started_at
    notices = [packet for packet in upstream.packets if isinstance(packet, HomeNotice)]
    return seconds / flows * 1e6, sum(map(len, map(encode_packet, notices))) / flows


def time_idle_tick(flows: int) -> float:
    """Return the CPU microseconds of a tick with `flows` idle feeds."""
    agent, _ = open_flows(flows, feeds=True)
    rounds = 200
    started_at = process_time()
    for number in range(rounds):
        tick(agent, 0.02 + number * 0.001)
    return (process_time() - started_at) / rounds * 1e6


def main() -> None:
    """Print the cost by number of flows, or the cost of a trace."""
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("--trace", action="store_true")
    if parser.parse_args().trace:
        print_trace_cost()
        return
    flows_kb = [measure_memory(size, feeds=False) for size in SIZES]
    feeds_kb = [measure_memory(size, feeds=True) for size in SIZES]
    report("agent memory by number of flows (kB)", SIZES, flows_kb)
    report("agent memory by number of flows with a feed (kB)", SIZES, feeds_kb)
    report("one request (us)", SIZES, [time_requests(size) for size in SIZES])
    report("one feed item (us)", SIZES, [time_notifications(size) for size in SIZES])
    changes = [time_view_change(size) for size in SIZES]
    report("view change, per flow (us)", SIZES, [change[0] for change in changes])
    report("view change, notice bytes per flow", SIZES, [c[1] for c in changes])
    report("tick with idle feeds (us)", SIZES, [time_idle_tick(s) for s in SIZES])
    collect()
    kept = open_flows(2000, feeds=True)
    rss_mb = Process().memory_info().rss / 1e6
    print(
        f"process with 2,000 feeds: {rss_mb:.0f} MB resident, "
        f"limit {MEMORY_LIMIT_MB} MB"
    )
    del kept
    answer = encode_packet(Answer("booth-sync", "t0", "10.0.0.1", 4000, bytes(64)))
    forward = encode_packet(make_forward(1, bytes(64)))
    print(f"header bytes: forward {len(forward) - 64}, answer {len(answer) - 64}")


if __name__ == "__main__":
    main()
