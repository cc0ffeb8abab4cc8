"""Measures the cost of handoffs of flows and of delegated requests.

Usage: ``python -m bench.handoff``. The agents of one service run in this
process in virtual time. Packets between them are encoded, counted and decoded,
and arrive without delay. CPU time is that of all agents together.
"""

from collections import Counter, deque
from dataclasses import dataclass
from random import Random
from time import process_time

from bench.agent import (
    BALANCER,
    HERE,
    TARGETS,
    Upstream,
    make_forward,
    make_request,
    make_view,
)
from bench.fit import report
from lycheeglade.address import Address
from lycheeglade.agent import (
    make_agent,
    receive_datagram,
    receive_from_upstream,
    tick,
    update_view,
)
from lycheeglade.agent_state import Agent, AgentActions
from lycheeglade.packet import encode_packet
from lycheeglade.served_target import TargetKey

FLOWS = (250, 500, 1000)
TICK_S = 0.05
TIME_LIMIT_S = 300.0
# A peer is asked only if the service time exceeds the network delay to it.
SERVICE_S = 0.02
REQUEST_INTERVAL_S = 0.002


@dataclass(frozen=True, slots=True)
class Cost:
    """Cost of moving flows or delegating requests.

    Attributes
    ----------
    cpu_ms : float
        CPU milliseconds of all agents.
    sent_bytes : int
        Bytes of the packets between agents, without UDP and IP headers.
    packets : int
        Number of packets between agents.
    seconds : float
        Virtual seconds until the last flow moved or request was delegated.
    done : int
        Number of flows that moved, or of requests that a peer answered.
    """

    cpu_ms: float
    sent_bytes: int
    packets: int
    seconds: float
    done: int


class Fleet:
    """Runs the agents of one service and delivers packets between them."""

    def __init__(self):
        self.agents_by_address: dict[Address, Agent] = {}
        self.upstreams_by_target: dict[str, Upstream] = {}
        self.datagrams: deque[tuple[Address, Address, bytes]] = deque()
        self.lengths_by_kind: dict[str, list[int]] = {}
        self.counts: Counter[tuple[str, str]] = Counter()
        for number in range(TARGETS):
            self._add_agent(number)
        self.apply_view(make_view(), 0.0)

    def _add_agent(self, number: int) -> None:
        address = Address(f"127.2.0.{number + 1}", 7100)
        upstream = Upstream()
        upstream_actions = upstream.actions()
        actions = AgentActions(
            send=lambda to, packet: self._send(address, to, packet),
            send_upstream=upstream_actions.send_upstream,
            close_upstream=upstream_actions.close_upstream,
            count=lambda name, service, cause: self.counts.update([(name, cause)]),
            record=upstream_actions.record,
        )
        self.upstreams_by_target[f"t{number}"] = upstream
        self.agents_by_address[address] = make_agent(
            f"h{number}", HERE, actions, Random(number), 100_000, 0.0
        )

    def apply_view(self, view, now: float) -> None:
        """Apply a view at all agents."""
        for agent in self.agents_by_address.values():
            update_view(agent, view, now)

    def home(self) -> Agent:
        """Return the agent of the first target, the home of all flows."""
        return next(iter(self.agents_by_address.values()))

    def receive(self, number: int, message_id: int, now: float, *, feed: bool) -> None:
        """Deliver a caller's request to the home."""
        packet = make_forward(number, make_request(message_id, feed=feed))
        receive_datagram(self.home(), encode_packet(packet), BALANCER, now)

    def run_until_idle(self, now: float, busy: tuple[str, ...] = ()) -> None:
        """Deliver packets and answers until none is left.

        Upstreams of the targets in `busy` don't answer.
        """
        while self.datagrams or self._answer(now, busy):
            while self.datagrams:
                source, address, datagram = self.datagrams.popleft()
                agent = self.agents_by_address[address]
                receive_datagram(agent, datagram, source, now)

    def tick(self, now: float) -> None:
        """Run the due timers of all agents."""
        for agent in self.agents_by_address.values():
            tick(agent, now)

    def _send(self, source: Address, to: Address, packet) -> None:
        if to in self.agents_by_address:
            datagram = encode_packet(packet)
            kind = type(packet).__name__
            self.lengths_by_kind.setdefault(kind, []).append(len(datagram))
            self.datagrams.append((source, to, datagram))

    def _answer(self, now: float, busy: tuple[str, ...]) -> bool:
        answered = False
        for agent, (name, upstream) in zip(
            self.agents_by_address.values(),
            self.upstreams_by_target.items(),
            strict=True,
        ):
            if name in busy:
                continue
            answers, upstream.answers = upstream.answers, []
            for answer in answers:
                key = TargetKey("booth-sync", name)
                receive_from_upstream(agent, key, None, answer, now)
                answered = True
        return answered


def open_fleet(
    flows: int, *, feed: bool, service_s: float = 0.0
) -> tuple[Fleet, float]:
    """Return a fleet whose first target is home of all flows, and the time."""
    fleet = Fleet()
    now = 0.01
    for number in range(flows):
        fleet.receive(number, 1, now, feed=feed)
        now += service_s
        fleet.run_until_idle(now)
    return fleet, now


def flows_at_home(fleet: Fleet) -> int:
    """Return the number of flows whose home is the first target."""
    key = TargetKey("booth-sync", "t0")
    served = fleet.home().served_by_key.get(key)
    return 0 if served is None else len(served.records_by_flow)


def measure_handoffs(flows: int) -> Cost:
    """Return the cost of moving `flows` flows with a feed.

    Raises
    ------
    ValueError
        If not all flows moved within TIME_LIMIT_S.
    """
    fleet, virtual_start = open_fleet(flows, feed=True)
    held = flows_at_home(fleet)
    fleet.lengths_by_kind.clear()
    now = virtual_start
    started_at = process_time()
    fleet.apply_view(make_view(2, leaving="t0"), now)
    fleet.run_until_idle(now)
    while flows_at_home(fleet) and now - virtual_start < TIME_LIMIT_S:
        now += TICK_S
        fleet.tick(now)
        fleet.run_until_idle(now)
    cpu_ms = (process_time() - started_at) * 1e3
    if held < flows or flows_at_home(fleet):
        raise ValueError(f"{flows_at_home(fleet)} of {held} flows didn't move")
    lengths = [n for k, ns in fleet.lengths_by_kind.items() for n in ns if "Hand" in k]
    return Cost(cpu_ms, sum(lengths), len(lengths), now - virtual_start, held)


def measure_delegations(requests: int) -> Cost:
    """Return the cost of `requests` requests at a home without free slots.

    Raises
    ------
    ValueError
        If less than half of the requests were delegated.
    """
    fleet, virtual_start = open_fleet(requests, feed=False, service_s=SERVICE_S)
    now = virtual_start
    fleet.receive(0, 2, now, feed=False)
    fleet.run_until_idle(now, ("t0",))
    fleet.lengths_by_kind.clear()
    started_at = process_time()
    for number in range(requests):
        fleet.receive(number, 3, now, feed=False)
        now += REQUEST_INTERVAL_S
        fleet.run_until_idle(now, ("t0",))
    cpu_ms = (process_time() - started_at) * 1e3
    lengths = fleet.lengths_by_kind
    delegated = len(lengths.get("DelegateReply", ()))
    if 2 * delegated < requests:
        raise ValueError(f"only {delegated} of {requests} requests were delegated")
    sent = [n for k in ("Delegate", "DelegateReply") for n in lengths[k]]
    return Cost(cpu_ms, sum(sent), len(sent), now - virtual_start, delegated)


def main() -> None:
    """Print the costs and the lines fitted to them."""
    for name, measure in (
        ("handoffs of flows with a feed", measure_handoffs),
        ("delegated requests", measure_delegations),
    ):
        costs = [measure(flows) for flows in FLOWS]
        done = [cost.done for cost in costs]
        report(f"CPU of {name} (ms)", done, [cost.cpu_ms for cost in costs])
        report(f"bytes of {name}", done, [cost.sent_bytes for cost in costs])
        report(f"packets of {name}", done, [cost.packets for cost in costs])
        report(f"virtual seconds of {name}", done, [cost.seconds for cost in costs])


if __name__ == "__main__":
    main()
