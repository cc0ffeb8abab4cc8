"""Replay of a zone that returns cold, in virtual time.

The balancers and agents are real. Each target has one slot and a short queue,
and refuses at once what exceeds it. Callers do not try again, so that each
refusal counts once.
"""

from bisect import bisect_left
from collections import Counter
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.connection_agent import receive_from_target
from lycheeglade.connection_agent import receive_message as agent_receive
from lycheeglade.connection_agent import tick as tick_agent
from lycheeglade.connection_agent_state import (
    ConnectionAgent,
    ConnectionAgentActions,
)
from lycheeglade.connection_balancer import receive_message as balancer_receive
from lycheeglade.connection_balancer import receive_segment, update_routing
from lycheeglade.connection_balancer import tick as tick_balancer
from lycheeglade.connection_balancer_state import (
    ConnectionBalancer,
    ConnectionBalancerActions,
)
from tests.connections import ROUTE, data, from_target, make_target, make_view, opening

ZONES = [Zone("viti-west", f"nadi-{letter}") for letter in "abcd"]
COLD_ZONE = ZONES[0]
COLD_TARGETS, TARGETS = 12, 46
WARMUP_S = 20.0
TICK_S = 0.02
HOP_S = 0.001
TARGET_QUEUE = 8
REFUSAL_S = 0.0005


@dataclass
class ReplayedTarget:
    """A target with one slot, and the openings that reached it."""

    work_s: float
    opened_at: list = field(default_factory=list)
    waiting: list = field(default_factory=list)
    is_working: bool = False
    answered: int = 0

    def most_in_a_second(self):
        return max(
            (
                number + 1 - bisect_left(self.opened_at, at - 1.0)
                for number, at in enumerate(self.opened_at)
            ),
            default=0,
        )


class WarmupReplay:
    """Some balancers, all targets with their agents, and the callers.

    Parameters
    ----------
    cold_work_s, work_s : float
        Seconds that a request takes at a cold and at any other target.
    rate : float
        Published rate of the cold targets, 0 for none.
    bounds : WarmupBounds
        Settings of all agents and balancers.
    """

    def __init__(self, cold_work_s, work_s, rate, bounds, balancers=12, seed=1):
        self.generator = Random(seed)
        self.now = 0.0
        self.order = count()
        self.events = []
        self.counts = Counter()
        self.segments_by_datagram = {}
        self.rate = rate
        self.bounds = bounds
        zones = [COLD_ZONE] * COLD_TARGETS + [
            ZONES[1 + number % 3] for number in range(TARGETS - COLD_TARGETS)
        ]
        self.targets = [make_target(n, zone) for n, zone in enumerate(zones)]
        self.replayed_by_agent = {
            t.agent: ReplayedTarget(cold_work_s if t.zone == COLD_ZONE else work_s)
            for t in self.targets
        }
        self.agents = {t.agent: self.make_agent(t.agent) for t in self.targets}
        addresses = [Address(f"10.1.0.{n + 1}", 7720) for n in range(balancers)]
        self.balancers = {
            address: self.make_balancer(address, ZONES[n % len(ZONES)])
            for n, address in enumerate(addresses)
        }

    def make_agent(self, address):
        actions = ConnectionAgentActions(
            send=lambda to, message: self.at(HOP_S, self.receive, to, message, address),
            deliver=lambda segment, tag: self.deliver(address, segment),
            answer=lambda segment: self.at(HOP_S, self.answer, segment),
            reset=self.reset,
            decode=self.segments_by_datagram.__getitem__,
            log=self.log,
            record=lambda stage, seconds: None,
        )
        return ConnectionAgent(
            "booth-sync",
            next(self.order),
            actions,
            self.now,
            warmup_bounds=self.bounds,
        )

    def make_balancer(self, address, zone):
        actions = ConnectionBalancerActions(
            lambda to, message: self.at(HOP_S, self.receive, to, message, address),
            self.reset,
            self.log,
        )
        generator = Random(self.generator.random())
        overage = self.bounds.overage
        return ConnectionBalancer(
            zone, address, actions, generator, warmup_overage=overage
        )

    def log(self, event, **fields):
        self.counts[event, fields.get("cause", "")] += 1

    def at(self, delay, act, *arguments):
        heappush(self.events, (self.now + delay, next(self.order), act, arguments))

    def receive(self, to, message, source):
        if to in self.balancers:
            balancer_receive(self.balancers[to], message, source, self.now)
        else:
            agent_receive(self.agents[to], message, source, self.now)

    def reset(self, key, acknowledgement):
        self.counts["refusals"] += 1

    def deliver(self, address, segment):
        target = self.replayed_by_agent[address]
        port = segment.source.port
        if segment.opens:
            target.opened_at.append(self.now)
            answer = from_target(port, opens=True, acknowledges=True, sequence=1000)
            self.at(0.0, self.from_target, address, answer)
        elif len(target.waiting) < TARGET_QUEUE or not target.is_working:
            target.waiting.append(port)
            self.start(address)
        else:
            self.counts["refusals"] += 1
            answer = from_target(port, data_bytes=9)
            self.at(REFUSAL_S, self.from_target, address, answer)

    def start(self, address):
        target = self.replayed_by_agent[address]
        if not target.is_working and target.waiting:
            target.is_working = True
            seconds = target.work_s * self.generator.uniform(0.7, 1.3)
            self.at(seconds, self.finish, address, target.waiting.pop(0))

    def finish(self, address, port):
        target = self.replayed_by_agent[address]
        target.is_working = False
        target.answered += 1
        self.start(address)
        self.from_target(address, from_target(port, data_bytes=9))

    def from_target(self, address, segment):
        receive_from_target(self.agents[address], segment, self.now)

    def answer(self, segment):
        if segment.opens:
            self.send(data(segment.destination.port))

    def send(self, segment):
        self.segments_by_datagram[segment.datagram] = segment
        balancers = list(self.balancers.values())
        balancer = balancers[segment.source.port % len(balancers)]
        self.at(HOP_S, self.from_caller, balancer, segment)

    def from_caller(self, balancer, segment):
        receive_segment(balancer, segment, self.now)

    def publish(self, targets, revision):
        view = replace(
            make_view(targets, (ROUTE,), revision),
            warmup_rates_by_service={"booth-sync": self.rate} if self.rate else {},
        )
        for balancer in self.balancers.values():
            self.at(
                self.generator.uniform(0.0, 0.1), self.update_routing, balancer, view
            )

    def update_routing(self, balancer, view):
        update_routing(balancer, view, self.now)

    def tick_agent(self, address):
        tick_agent(self.agents[address], self.now)
        self.at(TICK_S, self.tick_agent, address)

    def tick_balancer(self, balancer):
        tick_balancer(balancer, self.now)
        self.at(TICK_S, self.tick_balancer, balancer)

    def restart_cold_agents(self):
        """Replace the agents of the cold zone by new processes."""
        for target in self.targets:
            if target.zone == COLD_ZONE:
                self.agents[target.agent] = self.make_agent(target.agent)

    def run(self, requests_per_s, full_s, cold_s, warmup_s=WARMUP_S):
        """Run with the other zones alone, then with the cold zone too.

        The counts of the first part are discarded.
        """
        warm = [t for t in self.targets if t.zone != COLD_ZONE]
        self.publish(warm, 1)
        for address in self.agents:
            self.at(self.generator.uniform(0.0, TICK_S), self.tick_agent, address)
        for balancer in self.balancers.values():
            delay = self.generator.uniform(0.0, TICK_S)
            self.at(delay, self.tick_balancer, balancer)
        arrival, port = 0.2, 1
        while arrival < full_s + cold_s:
            self.at(arrival, self.send, opening(port))
            arrival += self.generator.expovariate(requests_per_s)
            port += 1
        self.run_until(full_s)
        self.counts.clear()
        for target in self.replayed_by_agent.values():
            target.answered = 0
        cold = [
            replace(t, warmup_left=warmup_s, lifetime=1)
            for t in self.targets
            if t.zone == COLD_ZONE
        ]
        self.publish(warm + cold, 2)
        self.run_until(full_s + cold_s)

    def run_until(self, end):
        while self.events[0][0] < end:
            self.now, _, act, arguments = heappop(self.events)
            act(*arguments)
        self.now = end
