"""Order of new connections whose aim and remaining time are known.

Load pattern: a target that has become slow, or a service that has lost a zone,
gets more openings than it can answer in time. An answer within the aim of its
route is worth several times a late one, and routes have priorities.

The openings that can still be answered within their aim go first. Among them,
higher priorities go first, and within one priority the latest opening goes
first. The late openings follow in the same order. Each lower priority gets a
share of the admissions. An opening is refused as soon as its expected wait
exceeds the time that its caller still waits.
"""

from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field
from heapq import heapify, heappop, heappush

from lycheeglade.relay_message import ForwardSegment
from lycheeglade.segment import ConnectionKey

# An opening is refused this long before its caller gives up. The time covers
# the interval between two runs of the agent's periodic work, and the network
# delay of the refusal or of the target's answer.
GIVE_UP_MARGIN_S = 0.06
# Time from the delivery of an opening until the target has the first request,
# and until the answer has reached the caller.
EXCHANGE_S = 0.01
# While several priorities wait, each lower one gets at least one of this many
# admissions. With more lower priorities than fit, all get equal shares.
ADMISSIONS_PER_LOWER_TURN = 4
# Recorded times are compacted once more than half of them, and more than this
# number, belong to openings that no longer wait: an aim may be minutes long.
MIN_COMPACTED = 64


def _admissions_per_turn(lower: Collection[int]) -> int:
    return max(ADMISSIONS_PER_LOWER_TURN, len(lower) + 1)


@dataclass(slots=True)
class TimedOpening:
    """An opening that waits, with its times in monotonic seconds.

    Attributes
    ----------
    number : int
        Position in the order of arrival.
    aim : float
        Seconds in which an answer had its full worth when it arrived.
    aim_until : float
        Time until which an answer has its full worth.
    time_until : float
        Time at which its caller gives up.
    hold_until : float
        Time at which the opening is refused if it still waits.
    is_late : bool
        Whether the answer is expected after `aim_until`.
    """

    key: ConnectionKey
    number: int
    held_since: float
    priority: int
    aim: float
    aim_until: float
    time_until: float
    hold_until: float
    is_late: bool = False

    @property
    def group(self) -> tuple[bool, int]:
        """Rank of the openings among which the latest goes first."""
        return self.is_late, self.priority


@dataclass(slots=True)
class OpeningOrder:
    """Openings that wait for a slot, in the order of this module.

    Attributes
    ----------
    openings_by_key : dict
        The openings that wait.
    numbers_by_group : dict
        Their numbers in ascending order, without empty groups.
    openings_by_number : dict
        The same openings by their position in the order of arrival.
    latest_number : int
        Number of the opening that arrived last.
    passed_over_by_priority : Counter
        How far each lower priority is behind its share: rises with each
        admission of another priority, and falls with its own.
    """

    openings_by_key: dict[ConnectionKey, TimedOpening] = field(default_factory=dict)
    openings_by_number: dict[int, TimedOpening] = field(default_factory=dict)
    numbers_by_group: dict[tuple[bool, int], list[int]] = field(default_factory=dict)
    passed_over_by_priority: Counter[int] = field(default_factory=Counter)
    latest_number: int = 0
    _aims: list[tuple[float, int]] = field(default_factory=list)
    _ends: list[tuple[float, int]] = field(default_factory=list)

    def add(
        self, key: ConnectionKey, message: ForwardSegment, max_hold: float, now: float
    ) -> None:
        """Let an opening wait for `max_hold` seconds at most."""
        if key in self.openings_by_key:
            return
        self.latest_number += 1
        opening = TimedOpening(
            key,
            number=self.latest_number,
            held_since=now,
            priority=message.priority,
            aim=message.aim_left,
            aim_until=now + message.aim_left,
            time_until=now + message.time_left,
            hold_until=now + min(max_hold, message.time_left - GIVE_UP_MARGIN_S),
        )
        self.openings_by_key[key] = opening
        self.openings_by_number[opening.number] = opening
        self._insert(opening)
        heappush(self._aims, (opening.aim_until, opening.number))
        heappush(self._ends, (opening.hold_until, opening.number))

    def remove(self, key: ConnectionKey) -> TimedOpening | None:
        """Remove an opening, and return it if it waited."""
        opening = self.openings_by_key.pop(key, None)
        if opening is not None:
            del self.openings_by_number[opening.number]
            self._extract(opening)
            if len(self._aims) > 2 * len(self.openings_by_number) + MIN_COMPACTED:
                self._compact()
        return opening

    def _compact(self) -> None:
        """Drop the times of openings that no longer wait."""
        for times in (self._aims, self._ends):
            times[:] = [pair for pair in times if pair[1] in self.openings_by_number]
            heapify(times)

    def _insert(self, opening: TimedOpening) -> None:
        numbers = self.numbers_by_group.setdefault(opening.group, [])
        insort(numbers, opening.number)

    def _extract(self, opening: TimedOpening) -> None:
        numbers = self.numbers_by_group[opening.group]
        del numbers[bisect_left(numbers, opening.number)]
        if not numbers:
            del self.numbers_by_group[opening.group]

    def mark_late(self, answer_time: float, now: float) -> None:
        """Move the openings that can't be answered within their aim.

        Parameters
        ----------
        answer_time : float
            Expected seconds until the answer to the opening that goes next.
        """
        while self._aims and self._aims[0][0] < now + answer_time:
            opening = self.openings_by_number.get(heappop(self._aims)[1])
            if opening is not None:
                self._extract(opening)
                opening.is_late = True
                self._insert(opening)

    def choose(self) -> TimedOpening | None:
        """Return the opening whose turn it is."""
        if not self.numbers_by_group:
            return None
        group = min(self.numbers_by_group)
        lower = self._lower_priorities()
        if lower:
            due = max(lower, key=lambda p: (self.passed_over_by_priority[p], -p))
            # Priorities that are due at the same time go one after another.
            limit = _admissions_per_turn(lower) - len(lower)
            if self.passed_over_by_priority[due] >= limit:
                group = min(g for g in self.numbers_by_group if g[1] == due)
        return self.openings_by_number[self.numbers_by_group[group][-1]]

    def take(self) -> TimedOpening | None:
        """Remove and return the opening whose turn it is."""
        opening = self.choose()
        if opening is None:
            return None
        lower = self._lower_priorities()
        for priority in lower:
            self.passed_over_by_priority[priority] += 1
        if opening.priority in lower:
            behind = self.passed_over_by_priority[opening.priority]
            self.passed_over_by_priority[opening.priority] = max(
                1 - len(lower), behind - _admissions_per_turn(lower)
            )
        return self.remove(opening.key)

    def _lower_priorities(self) -> set[int]:
        """Return the priorities that wait, except for the highest."""
        priorities = {priority for _, priority in self.numbers_by_group}
        priorities.discard(min(priorities, default=0))
        return priorities

    def take_expired(self, now: float) -> list[ConnectionKey]:
        """Remove and return the openings that have waited too long."""
        expired = []
        while self._ends and self._ends[0][0] <= now:
            opening = self.openings_by_number.get(heappop(self._ends)[1])
            if opening is not None:
                self.remove(opening.key)
                expired.append(opening.key)
        return expired

    def take_hopeless(
        self, time_in_front: float, time_per_turn: float, now: float
    ) -> list[ConnectionKey]:
        """Remove and return the openings whose expected wait is too long.

        Only the oldest of each group is examined, until one remains: it has
        the most openings in front of it and the least time left.

        Parameters
        ----------
        time_in_front : float
            Expected seconds until the opening that goes next is started.
        time_per_turn : float
            Expected seconds between two starts.
        """
        hopeless = []
        in_front = 0
        in_front_by_priority: Counter[int] = Counter()
        lower = self._lower_priorities()
        for group in sorted(self.numbers_by_group):
            priority = group[1]
            while numbers := self.numbers_by_group.get(group, ()):
                position = in_front + len(numbers) - 1
                if priority in lower:
                    own = in_front_by_priority[priority] + len(numbers)
                    position = min(position, own * _admissions_per_turn(lower))
                opening = self.openings_by_number[numbers[0]]
                starts_at = now + time_in_front + position * time_per_turn
                if starts_at <= opening.time_until:
                    break
                self.remove(opening.key)
                hopeless.append(opening.key)
            in_front += len(numbers)
            in_front_by_priority[priority] += len(numbers)
        return hopeless

    def latest_held_since(self) -> float:
        """Return the latest arrival of an opening that waits, or -inf."""
        latest = max((n[-1] for n in self.numbers_by_group.values()), default=0)
        opening = self.openings_by_number.get(latest)
        return float("-inf") if opening is None else opening.held_since

    def count_by_priority(self) -> dict[int, int]:
        """Return how many openings of each priority wait."""
        counts: Counter[int] = Counter()
        for (_, priority), numbers in self.numbers_by_group.items():
            counts[priority] += len(numbers)
        return dict(sorted(counts.items()))
