"""Timers of a process, ordered by due time."""

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count

TimerCallback = Callable[[float], None]


class TimerQueue:
    """Queue of callbacks, ordered by due time.

    Each callback receives the current time, which may be much later than its
    due time if the process was paused. Timers need not be cancelled, since a
    callback checks whether the reason for its timer still applies.
    """

    def __init__(self):
        self._entries: list[tuple[float, int, TimerCallback]] = []
        self._numbers = count()

    def __len__(self):
        return len(self._entries)

    def call_at(self, due: float, callback: TimerCallback) -> None:
        """Schedule `callback` for `due`, in seconds of the process's clock."""
        heappush(self._entries, (due, next(self._numbers), callback))

    def next_due(self) -> float | None:
        """Return the earliest due time, or None if the queue is empty."""
        return self._entries[0][0] if self._entries else None

    def run_due(self, now: float) -> None:
        """Call all callbacks that are due by `now`.

        Timers that the callbacks add are not run, even if they are due. If a
        callback raises an exception, the callbacks after it stay due.
        """
        due = []
        while self._entries and self._entries[0][0] <= now:
            due.append(heappop(self._entries))
        called = 0
        try:
            for _, _, callback in due:
                called += 1
                callback(now)
        finally:
            for entry in due[called:]:
                heappush(self._entries, entry)
