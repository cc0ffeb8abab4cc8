"""Replay of openings at one agent and its target, in virtual time.

The agent's decisions are those of the real agent. The target has slots and a
short queue, and refuses at once what exceeds it. A caller that is refused, or
whose connection is reset, opens another connection.
"""

from collections import Counter
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from pathlib import Path
from random import Random

from lycheeglade.connection_agent import (
    receive_from_target,
    receive_message,
    tick,
)
from lycheeglade.opening_queue import OpeningQueue
from lycheeglade.opening_times import times_left
from lycheeglade.relay_message import LoadRequest, OpeningRefused
from lycheeglade.segment import ConnectionKey
from tests.connections import (
    BALANCER,
    AgentRecorder,
    data,
    from_target,
    opening,
)

DATA = Path(__file__).parent / "data" / "load"
BIN_S = 0.1
TICK_S = 0.02
ROUND_TRIP_S = 0.003
TARGET_QUEUE = 8
REFUSAL_S = 0.0005
RETRIES = 2


def read_arrivals(name: str, targets: int, target: int) -> list[float]:
    """Return the arrival times of recorded openings at one of `targets`."""
    lines = (DATA / f"{name}.txt").read_text().splitlines()
    counts = [
        int(n) for line in lines if not line.startswith("#") for n in line.split()
    ]
    arrivals = [
        (number + position / recorded) * BIN_S
        for number, recorded in enumerate(counts)
        for position in range(recorded)
    ]
    return arrivals[target::targets]


def read_arrivals_by_priority(name: str) -> dict[int, list[int]]:
    """Return the recorded openings of each priority, by tenths of a second."""
    lines = (DATA / f"{name}.txt").read_text().splitlines()
    rows = [line.split(":") for line in lines if not line.startswith("#")]
    return {
        int(priority): [int(number) for number in numbers.split()]
        for priority, numbers in rows
    }


@dataclass(frozen=True)
class Kind:
    """A kind of requests.

    Attributes
    ----------
    work_s : float
        Seconds that a request takes at a target of normal speed.
    aim_s : float
        Seconds within which an answer has its full worth, 0 if unknown.
    timeout_s : float
        Seconds after which the caller abandons a request.
    """

    work_s: float
    priority: int = 0
    worth: float = 1.0
    aim_s: float = 0.0
    timeout_s: float = float("inf")


@dataclass
class Call:
    """A caller's request, over all connections that it opens for it."""

    arrived_at: float
    kind: Kind
    tries: int = 0
    answered_at: float = float("inf")


class ObservedQueue(OpeningQueue):
    """Counts the admissions while openings of several priorities wait.

    Attributes
    ----------
    contested : Counter
        Admissions while openings of a priority and of a higher one waited.
    won : Counter
        Those of them that went to that priority.
    """

    def __init__(self):
        super().__init__()
        self.contested: Counter[int] = Counter()
        self.won: Counter[int] = Counter()

    def take_next(self) -> ConnectionKey | None:
        priorities = self.order.count_by_priority()
        opening_by_key = dict(self.order.openings_by_key)
        key = super().take_next()
        lower = [p for p in priorities if p > min(priorities)]
        self.contested.update(lower)
        if key in opening_by_key and opening_by_key[key].priority in lower:
            self.won[opening_by_key[key].priority] += 1
        return key


class OpeningReplay:
    """One agent, its target and the callers.

    Parameters
    ----------
    calls : list of Call
        Requests in the order of their arrival.
    slowness : float
        Factor of the time that the target takes for a request.
    is_timed : bool
        Whether the balancer sends priorities and remaining times.
    """

    def __init__(
        self,
        calls: list[Call],
        slots: int,
        seed: int = 1,
        slowness: float = 1.0,
        is_timed: bool = True,
    ):
        self.generator = Random(seed)
        self.slots = slots
        self.slowness = slowness
        self.is_timed = is_timed
        self.recorder = AgentRecorder()
        self.agent = self.recorder.make()
        receive_message(self.agent, LoadRequest(slots), BALANCER, 0.0)
        self.queue = self.agent.opening_queue = ObservedQueue()
        self.calls = calls
        self.refusals = 0
        self.calls_by_port: dict[int, Call] = {}
        self._ports = count(2000)
        self._order = count()
        self._events = []
        self._working = 0
        self._waiting: list[int] = []
        for call in self.calls:
            self._at(call.arrived_at, self._open, call)
        for number in range(int((calls[-1].arrived_at + 8.0) / TICK_S)):
            self._at(number * TICK_S, self._tick)

    def run(self) -> list[Call]:
        while self._events:
            now, _, action, arguments = heappop(self._events)
            action(now, *arguments)
            self._follow_up(now)
        return self.calls

    def _at(self, at: float, action, *arguments) -> None:
        heappush(self._events, (at, next(self._order), action, arguments))

    def _open(self, now: float, call: Call) -> None:
        port = next(self._ports)
        self.calls_by_port[port] = call
        kind = call.kind
        times = {}
        if self.is_timed:
            aim_left, time_left = times_left(kind.aim_s, kind.timeout_s, 0.0)
            times = {
                "priority": kind.priority,
                "aim_left": aim_left,
                "time_left": time_left,
            }
        message = self.recorder.make_forward_segment(opening(port), **times)
        receive_message(self.agent, message, BALANCER, now)

    def _tick(self, now: float) -> None:
        tick(self.agent, now)

    def _follow_up(self, now: float) -> None:
        """Let the target and the callers react to what the agent did."""
        delivered, self.recorder.delivered[:] = list(self.recorder.delivered), []
        for segment, _ in delivered:
            if segment.opens:
                self._at(now, self._accept, segment.source.port)
            else:
                self._receive_request(now, segment.source.port)
        resets, self.recorder.resets[:] = list(self.recorder.resets), []
        refused = [
            m.key for _, m in self.recorder.sent if isinstance(m, OpeningRefused)
        ]
        self.recorder.sent.clear()
        for key in [key for key, _ in resets] + refused:
            self.refusals += 1
            self._retry(now, key.caller.port)

    def _accept(self, now: float, port: int) -> None:
        answer = from_target(port, opens=True, acknowledges=True, sequence=1000)
        receive_from_target(self.agent, answer, now)
        self._at(now + ROUND_TRIP_S, self._send_request, port)

    def _send_request(self, now: float, port: int) -> None:
        message = self.recorder.make_forward_segment(data(port))
        receive_message(self.agent, message, BALANCER, now)

    def _receive_request(self, now: float, port: int) -> None:
        if self._working < self.slots:
            self._start(now, port)
        elif len(self._waiting) < TARGET_QUEUE:
            self._waiting.append(port)
        else:
            self._at(now + REFUSAL_S, self._refuse, port)

    def _start(self, now: float, port: int) -> None:
        self._working += 1
        work_s = self.calls_by_port[port].kind.work_s * self.slowness
        seconds = work_s * self.generator.uniform(0.7, 1.3)
        self._at(now + seconds, self._answer, port)

    def _answer(self, now: float, port: int) -> None:
        self._working -= 1
        self.calls_by_port[port].answered_at = now
        if self._waiting:
            self._start(now, self._waiting.pop(0))
        receive_from_target(self.agent, from_target(port, data_bytes=9), now)

    def _refuse(self, now: float, port: int) -> None:
        receive_from_target(self.agent, from_target(port, data_bytes=9), now)
        self._retry(now, port)

    def _retry(self, now: float, port: int) -> None:
        call = self.calls_by_port[port]
        is_abandoned = now - call.arrived_at >= call.kind.timeout_s
        if call.tries < RETRIES and not is_abandoned:
            call.tries += 1
            self._at(now + 2 * ROUND_TRIP_S, self._open, call)


def replay_service(
    recording: str,
    kinds_by_priority: dict[int, Kind],
    slowness_by_target: list[float],
    slots: int,
    is_timed: bool,
) -> list[OpeningReplay]:
    """Return the replays of recorded openings at each target of a service.

    Targets get openings in proportion to their speed, drawn at random: the
    balancers place by the expected wait.
    """
    generator = Random(1)
    arrivals = sorted(
        ((number + position / count) * BIN_S, priority)
        for priority, counts in read_arrivals_by_priority(recording).items()
        for number, count in enumerate(counts)
        for position in range(count)
    )
    targets = range(len(slowness_by_target))
    weights = [1.0 / slowness for slowness in slowness_by_target]
    calls_by_target: dict[int, list[Call]] = {target: [] for target in targets}
    for arrived_at, priority in arrivals:
        (target,) = generator.choices(targets, weights)
        call = Call(arrived_at, kinds_by_priority[priority])
        calls_by_target[target].append(call)
    replays = [
        OpeningReplay(calls, slots, target, slowness_by_target[target], is_timed)
        for target, calls in calls_by_target.items()
    ]
    for replay in replays:
        replay.run()
    return replays
