"""Simulation of load patterns for the placement of new connections.

Targets have one slot and a short queue, and refuse requests when it is full. A
refused caller opens another connection at once. Balancers know the load that a
target had at the last multiple of the report interval.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from random import Random

from lycheeglade.target_load import AgentLoad, expected_time, rank_by_load
from tests.connections import OWN_ZONE, make_target

QUEUE_LENGTH = 4
REPORT_S = 0.1
BALANCERS = 4
RETRIES = 2
BUSY_WINDOW_S = 2.0


@dataclass
class SimulatedTarget:
    """A target with one slot; `free_at` is the time when its queue is empty.

    `failing` is the share of its requests that fail after the full work.
    """

    service_time: float
    failing: float = 0.0
    free_at: float = 0.0
    ends: list = field(default_factory=list)
    work_log: list = field(default_factory=list)

    def backlog(self, now):
        self.ends = [end for end in self.ends if end > now]
        return len(self.ends)

    def offer(self, now, work):
        """Return the time of the answer, or None if the target is full."""
        if self.backlog(now) > QUEUE_LENGTH:
            return None
        seconds = self.service_time * work
        self.free_at = max(self.free_at, now) + seconds
        self.ends.append(self.free_at)
        self.work_log.append((now, seconds))
        return self.free_at

    def busy(self, now):
        worked = sum(s for at, s in self.work_log if now - BUSY_WINDOW_S < at <= now)
        return min(1.0, worked / BUSY_WINDOW_S)


def place_by_load(targets, loads, now, generator):
    return rank_by_load(targets, loads, OWN_ZONE, now, generator)[0].target


def place_ignoring_failures(targets, loads, now, generator):
    without_failures = {
        agent: replace(load, failing=0.0) for agent, load in loads.items()
    }
    return rank_by_load(targets, without_failures, OWN_ZONE, now, generator)[0].target


def place_at_best_of_all(targets, loads, now, generator):
    return min(
        targets, key=lambda t: (expected_time(loads[t.agent], t.slots), t.target_id)
    )


def place_at_random(targets, loads, now, generator):
    return generator.choice(targets)


def replay(
    arrivals: list[float],
    service_times: list[float],
    aim: float,
    place: Callable,
    seed: int = 1,
    failing: tuple[float, ...] = (),
    balancers: int = BALANCERS,
    report_s: float = REPORT_S,
) -> float:
    """Return the share of requests answered within `aim` seconds.

    Parameters
    ----------
    failing : tuple of float
        Shares of failed requests of the first targets.
    balancers : int
        Number of balancers that place requests, each by its own knowledge.
    report_s : float
        Seconds between load reports.
    """
    generator = Random(seed)
    targets = [make_target(number) for number in range(len(service_times))]
    replayed = {
        target.agent: SimulatedTarget(seconds)
        for target, seconds in zip(targets, service_times, strict=True)
    }
    for target, share in zip(replayed.values(), failing, strict=False):
        target.failing = share
    loads_by_balancer = [
        {t.agent: AgentLoad() for t in targets} for _ in range(balancers)
    ]
    events = [(at, number, at, 0) for number, at in enumerate(arrivals)]
    events.sort()
    reported_at = 0.0
    in_time = 0
    while events:
        now, number, arrived_at, tries = heappop(events)
        while reported_at + report_s <= now:
            reported_at += report_s
            for loads in loads_by_balancer:
                _report(loads, replayed, reported_at)
        loads = loads_by_balancer[generator.randrange(balancers)]
        agent = place(targets, loads, now, generator).agent
        loads[agent].recent_placements += 1
        answered_at = replayed[agent].offer(now, generator.uniform(0.5, 1.5))
        if answered_at is not None and generator.random() < replayed[agent].failing:
            if tries < RETRIES:
                heappush(events, (answered_at, number, arrived_at, tries + 1))
        elif answered_at is not None:
            in_time += answered_at - arrived_at <= aim
        elif tries < RETRIES:
            heappush(events, (now + 0.01, number, arrived_at, tries + 1))
    return in_time / len(arrivals)


def _report(loads, replayed, now):
    for agent, target in replayed.items():
        load = loads[agent]
        load.recent_placements = 0
        load.running = target.backlog(now)
        load.service_time = target.service_time
        load.busy = target.busy(now)
        load.failing = target.failing
