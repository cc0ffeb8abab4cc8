"""Deadlines of one process, in the order in which they fall due."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

TimerCallback = Callable[[float], None]


class TimerQueue:
    """Callbacks ordered by due time.

    A callback is called with the present time, which may be well past its due
    time if the process was paused. It checks for itself whether its cause
    still holds, so that timers need not be cancelled.
    """

    def __init__(self):
        self._entries: list[tuple[float, int, TimerCallback]] = []
        self._numbers = count()

    def __len__(self):
        return len(self._entries)

    def call_at(self, due: float, callback: TimerCallback) -> None:
        """Call `callback` at `due`, in seconds of the process's clock."""
        heappush(self._entries, (due, next(self._numbers), callback))

    def next_due(self) -> float | None:
        """Return the earliest due time, or None if there is none."""
        return self._entries[0][0] if self._entries else None

    def run_due(self, now: float) -> None:
        """Call all callbacks that were due by `now` when this was called."""
        due = []
        while self._entries and self._entries[0][0] <= now:
            due.append(heappop(self._entries)[2])
        for callback in due:
            callback(now)
