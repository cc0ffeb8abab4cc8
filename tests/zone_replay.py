"""Replay of openings in several zones whose demand varies independently.

Targets have one slot and a short queue. New connections wait at the agent
while the target is full, the latest first, and an agent forwards an opening to
its next candidate as the real one does. A connection may carry several
requests with pauses, so that its placement commits later requests too. All
balancers of a zone receive the same reports, those of other zones later than
those of their own. The first request starts with the opening. A missing report
of a silent agent counts as an unanswered message.
"""

from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random
from statistics import fmean

from lycheeglade.address import Address, Zone
from lycheeglade.connection_admission import FORWARD_COST_FACTOR, FORWARD_COST_S
from lycheeglade.opening_queue import MAX_HOLD_S, target_limit
from lycheeglade.target_load import (
    AgentLoad,
    RankedTarget,
    expected_time,
    rank_by_load,
)
from lycheeglade.view import Target
from tests.connections import make_target

DATA = Path(__file__).parent / "data" / "load"
BIN_S = 0.1
ZONES = tuple(Zone("viti-west", f"nadi-{letter}") for letter in "abcd")
TARGETS_BY_ZONE = dict(zip(ZONES, (9, 9, 8, 8), strict=True))
BALANCERS_BY_ZONE = dict(zip(ZONES, (4, 4, 4, 3), strict=True))
# Every fourth target is slower by this factor.
SLOW_EVERY = 4
SLOW_FACTOR = 2.2
DELAY_IN_ZONE_S = 0.0002
DELAY_BETWEEN_ZONES_S = 0.0009
NEAR_REPORT_S = (0.1, 0.4)
FAR_REPORT_S = (0.5, 1.2)
AIM_S = 0.253
TARGET_QUEUE = 8
RETRIES = 2
RETRY_S = 0.01
OPENING_TIMEOUT_S = 0.03
BUSY_WINDOW_S = 2.0
TIME_GAIN = 0.05


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests.

    `work_s` is the mean work in seconds, `max_requests` the largest number of
    requests on a connection, `pause_s` the range of the pauses between them.
    """

    work_s: float
    max_requests: int
    pause_s: tuple[float, float] = (0.2, 0.6)


KINDS = (Kind(0.019, 7), Kind(0.025, 1))


@dataclass(slots=True)
class Call:
    """A request, over all connections that its caller opens for it.

    `silent_agents` are those that left its opening unanswered.
    """

    zone: Zone
    kind: int
    arrived_at: float
    requests_left: int
    tries: int = 0
    silent_agents: set[Address] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Answer:
    """Outcome of a request; `wait` is infinite if there was no answer."""

    zone: Zone
    arrived_at: float
    wait: float


@dataclass
class ReplayedTarget:
    """A target and its agent."""

    target: Target
    factor: float
    free_at: float = 0.0
    running: int = 0
    service_time: float = 0.02
    held: list = field(default_factory=list)
    # Ends of the requests in ascending order, each with its seconds of work.
    work_log: deque = field(default_factory=deque)
    logged_s: float = 0.0

    def log_work(self, seconds: float) -> None:
        self.work_log.append((self.free_at, seconds))
        self.logged_s += seconds

    def busy(self, now: float) -> float:
        while self.work_log and self.work_log[0][0] <= now - BUSY_WINDOW_S:
            self.logged_s -= self.work_log.popleft()[1]
        return min(1.0, self.logged_s / BUSY_WINDOW_S)

    def load(self, now: float) -> AgentLoad:
        return AgentLoad(
            last_heard_at=now,
            reported_at=now,
            service_time=self.service_time,
            running=self.running + len(self.held),
            busy=self.busy(now),
        )


def read_openings(name: str) -> list[tuple[float, Zone, int]]:
    """Return the time, zone and kind of each recorded opening."""
    lines = (DATA / f"{name}.txt").read_text().splitlines()
    rows = [line.split() for line in lines if not line.startswith("#")]
    openings = []
    for number, row in enumerate(rows):
        for column, recorded in enumerate(map(int, row)):
            zone, kind = ZONES[column // len(KINDS)], column % len(KINDS)
            openings += [
                ((number + (position + 0.5) / recorded) * BIN_S, zone, kind)
                for position in range(recorded)
            ]
    return sorted(openings, key=lambda opening: opening[0])


# Returns the candidates for an opening, best first. The arguments are the
# targets, the balancer's loads, the call, the time and the random generator.
Rank = Callable[
    [list[Target], Mapping[Address, AgentLoad], Call, float, Random],
    list[RankedTarget],
]


def rank_as_one(targets, loads, call, now, generator):
    """Compare targets of all zones for each opening."""
    return rank_by_load(_untried(targets, call), loads, call.zone, now, generator)


def _untried(targets: list[Target], call: Call) -> list[Target]:
    return [target for target in targets if target.agent not in call.silent_agents]


def rank_in_zone(targets, loads, call, now, generator):
    """Compare targets of the caller's zone only."""
    own = [target for target in targets if target.zone == call.zone]
    return rank_by_load(_untried(own, call), loads, call.zone, now, generator)


def rank_without_deadline(targets, loads, call, now, generator):
    """Compare targets of all zones, also those whose agents do not answer."""
    answered = {
        agent: replace(load, unanswered_since=None) for agent, load in loads.items()
    }
    return rank_as_one(targets, answered, call, now, generator)


def rank_by_full_knowledge(targets, loads, call, now, generator):
    """Choose the best target, where balancers know the load without delay."""
    ranked = [
        RankedTarget(
            target,
            expected_time(loads[target.agent], target.slots)
            + 3 * _delay(call.zone, target.zone),
        )
        for target in targets
    ]
    return [min(ranked, key=lambda place: place.cost)]


class ZoneReplay:
    """Balancers, agents and targets of several zones, and the callers."""

    def __init__(
        self,
        openings: list[tuple[float, Zone, int]],
        rank: Rank,
        seed: int = 1,
        knows_all: bool = False,
        silent_zone: Zone | None = None,
        silent_at: float = float("inf"),
    ) -> None:
        """Prepare a replay.

        Parameters
        ----------
        knows_all : bool
            Whether balancers know the load of all targets without delay.
        silent_zone : Zone, optional
            Zone whose agents send nothing from `silent_at` on.
        """
        self.generator = Random(seed)
        self.rank = rank
        self.knows_all = knows_all
        self.silent_zone, self.silent_at = silent_zone, silent_at
        numbers = count()
        self.targets = [
            make_target(next(numbers), zone)
            for zone, targets in TARGETS_BY_ZONE.items()
            for _ in range(targets)
        ]
        self.replayed_by_agent = {
            target.agent: ReplayedTarget(
                target, SLOW_FACTOR if number % SLOW_EVERY == 0 else 1.0
            )
            for number, target in enumerate(self.targets)
        }
        self.zones_by_balancer = [
            zone
            for zone, balancers in BALANCERS_BY_ZONE.items()
            for _ in range(balancers)
        ]
        self.loads_by_balancer = [
            {
                target.agent: AgentLoad(is_near=target.zone == zone)
                for target in self.targets
            }
            for zone in self.zones_by_balancer
        ]
        self.answers: list[Answer] = []
        self.placements: list[tuple[float, Zone, Zone]] = []
        # Openings to agents of the silent zone: the time, and the seconds
        # since the balancer's first unanswered message to the agent.
        self.sent_to_silent: list[tuple[float, float]] = []
        self._order = count()
        self._events = []
        self.ends_at = openings[-1][0] + 1.0
        for at, zone, kind in openings:
            requests = self.generator.randint(1, KINDS[kind].max_requests)
            self._at(at, self._open, Call(zone, kind, at, requests))
        for agent in self.replayed_by_agent:
            for zone in ZONES:
                self._at(0.0, self._report, agent, zone)

    def run(self) -> "ZoneReplay":
        while self._events:
            now, _, action, arguments = heappop(self._events)
            action(now, *arguments)
        return self

    def _at(self, at: float, action: Callable, *arguments) -> None:
        heappush(self._events, (at, next(self._order), action, arguments))

    def _report(self, now: float, agent: Address, zone: Zone) -> None:
        """Report an agent's load to all balancers of a zone."""
        replayed = self.replayed_by_agent[agent]
        is_near = replayed.target.zone == zone
        load = replayed.load(now)
        for number, balancer_zone in enumerate(self.zones_by_balancer):
            if balancer_zone != zone:
                continue
            if self._is_silent(replayed.target, now):
                _start_deadline(self.loads_by_balancer[number][agent], now)
            else:
                _copy_report(load, self.loads_by_balancer[number][agent], now)
        if now < self.ends_at:
            interval = self.generator.uniform(
                *(NEAR_REPORT_S if is_near else FAR_REPORT_S)
            )
            self._at(now + interval, self._report, agent, zone)

    def _is_silent(self, target: Target, now: float) -> bool:
        return target.zone == self.silent_zone and now >= self.silent_at

    def _open(self, now: float, call: Call) -> None:
        balancer = self.generator.choice(
            [n for n, zone in enumerate(self.zones_by_balancer) if zone == call.zone]
        )
        loads = self.loads_by_balancer[balancer]
        if self.knows_all:
            loads = {a: r.load(now) for a, r in self.replayed_by_agent.items()}
        ranked = self.rank(self.targets, loads, call, now, self.generator)
        target = ranked[0].target
        loads[target.agent].recent_placements += 1
        if self._is_silent(target, now):
            load = loads[target.agent]
            _start_deadline(load, now)
            self.sent_to_silent.append((now, now - load.unanswered_since))
            call.silent_agents.add(target.agent)
            self._at(now + OPENING_TIMEOUT_S, self._open, call)
            return
        self._forward(now, call, call.zone, ranked)

    def _forward(
        self, now: float, call: Call, zone: Zone, ranked: list[RankedTarget]
    ) -> None:
        delay = _delay(zone, ranked[0].target.zone)
        self._at(now + delay, self._receive_opening, call, ranked)

    def _receive_opening(
        self, now: float, call: Call, ranked: list[RankedTarget]
    ) -> None:
        """Deliver, hold or forward an opening, as `connection_admission`."""
        replayed = self.replayed_by_agent[ranked[0].target.agent]
        zone = replayed.target.zone
        if self._is_silent(replayed.target, now):
            self._retry(now + OPENING_TIMEOUT_S, call)
            return
        if len(ranked) > 1:
            limit = ranked[1].cost * FORWARD_COST_FACTOR + FORWARD_COST_S
            if expected_time(replayed.load(now), 1) > limit:
                self._forward(now, call, zone, ranked[1:])
                return
        self.placements.append((now, call.zone, zone))
        if not replayed.held and replayed.running < target_limit(
            1, replayed.service_time
        ):
            self._start(now, call, replayed)
            return
        held = [now, call]
        replayed.held.append(held)
        self._at(now + MAX_HOLD_S, self._expire, held, replayed)

    def _expire(self, now: float, held: list, replayed: ReplayedTarget) -> None:
        if any(other is held for other in replayed.held):
            replayed.held = [other for other in replayed.held if other is not held]
            self._retry(now, held[1])

    def _start(self, now: float, call: Call, replayed: ReplayedTarget) -> None:
        work = KINDS[call.kind].work_s * replayed.factor
        work *= self.generator.uniform(0.5, 1.5)
        replayed.running += 1
        replayed.free_at = max(replayed.free_at, now) + work
        replayed.log_work(work)
        self._at(replayed.free_at, self._finish, call, replayed, work)

    def _finish(
        self, now: float, call: Call, replayed: ReplayedTarget, work: float
    ) -> None:
        if self._is_silent(replayed.target, now):
            self._lose(call)
            return
        replayed.running -= 1
        replayed.service_time += (work - replayed.service_time) * TIME_GAIN
        delay = _delay(call.zone, replayed.target.zone)
        wait = now + 3 * delay - call.arrived_at
        self.answers.append(Answer(call.zone, call.arrived_at, wait))
        if call.requests_left > 1:
            pause = self.generator.uniform(*KINDS[call.kind].pause_s)
            self._at(now + pause, self._continue, call, replayed)
        while replayed.held and replayed.running < target_limit(
            1, replayed.service_time
        ):
            self._start(now, replayed.held.pop()[1], replayed)

    def _continue(self, now: float, call: Call, replayed: ReplayedTarget) -> None:
        """Send the next request of an open connection."""
        following = Call(call.zone, call.kind, now, call.requests_left - 1)
        if self._is_silent(replayed.target, now):
            self._lose(following)
        elif replayed.running > TARGET_QUEUE:
            self._retry(now, following)
        else:
            self._start(now, following, replayed)

    def _retry(self, now: float, call: Call) -> None:
        if call.tries < RETRIES:
            call.tries += 1
            self._at(now + RETRY_S, self._open, call)
        else:
            self._lose(call)

    def _lose(self, call: Call) -> None:
        self.answers.append(Answer(call.zone, call.arrived_at, float("inf")))


def _start_deadline(load: AgentLoad, now: float) -> None:
    if load.unanswered_since is None:
        load.unanswered_since = now


def _copy_report(load: AgentLoad, known: AgentLoad, now: float) -> None:
    known.last_heard_at = known.reported_at = now
    known.unanswered_since = None
    known.recent_placements = 0
    known.service_time = load.service_time
    known.running = load.running
    known.busy = load.busy


def _delay(zone: Zone, other: Zone) -> float:
    return DELAY_IN_ZONE_S if zone == other else DELAY_BETWEEN_ZONES_S


def share_in_time(replay: ZoneReplay, zone: Zone | None = None) -> float:
    """Return the share of requests that were answered within the aim."""
    return fmean(a.wait <= AIM_S for a in replay.answers if zone in (None, a.zone))


def shares_by_second(replay: ZoneReplay) -> dict[tuple[Zone, int], float]:
    """Return the share within the aim for each zone and second."""
    in_time: dict[tuple[Zone, int], list[bool]] = {}
    for answer in replay.answers:
        key = answer.zone, int(answer.arrived_at)
        in_time.setdefault(key, []).append(answer.wait <= AIM_S)
    return {key: fmean(values) for key, values in in_time.items()}


def crossing_share(replay: ZoneReplay) -> float:
    """Return the share of openings placed outside their caller's zone."""
    return fmean(caller != chosen for _, caller, chosen in replay.placements)
