"""Order in which new connections reach a target that has no free slot.

Load pattern: a whole fleet of callers returns at once after a loss of power,
or a burst meets targets that became fewer. Served in the order of arrival,
every caller waits as long as the backlog, and none is answered in time until
it has drained. A target also refuses what exceeds its short queue, and callers
use up their retries within milliseconds.

So new connections wait at the agent, beside the target, and the latest goes
first while some wait (adaptive LIFO, Maurer, "Fail at Scale", ACM Queue 2015).
Callers that have just come are answered in time; those that came before are
late either way, and get what is left of the capacity. What cannot get its turn
is refused at once, so that its caller returns while the others are served.
Requests of connections that are already open are never held.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from lycheeglade.segment import ConnectionKey

# Requests that a target gets beyond its slots are those that it is expected to
# start within this time.
MAX_TARGET_WAIT_S = 0.06
MIN_EXTRA_REQUESTS = 4
# A new connection waits at most this long. A caller that is refused then comes
# back sooner than one that hears nothing.
MAX_HOLD_S = 1.2
# An accepted connection counts as a request until its first data arrives, or
# until this time has passed: some callers have given up meanwhile.
FIRST_REQUEST_TIMEOUT_S = 0.1


def target_limit(slots: int, service_time: float) -> int:
    """Return how many requests and new connections the target may have."""
    extra = slots * MAX_TARGET_WAIT_S / service_time
    return slots + max(MIN_EXTRA_REQUESTS, int(extra))


def queue_limit(slots: int, service_time: float) -> int:
    """Return how many new connections get their turn within `MAX_HOLD_S`."""
    return max(1, int(slots * MAX_HOLD_S / service_time))


@dataclass(slots=True)
class OpeningQueue:
    """New connections that wait for a slot of one target.

    Attributes
    ----------
    held_since_by_key : OrderedDict
        Arrival time of the connections that wait, latest last.
    accepted_at_by_key : OrderedDict
        Time of delivery of the connections without a request so far.
    """

    held_since_by_key: OrderedDict[ConnectionKey, float] = field(
        default_factory=OrderedDict
    )
    accepted_at_by_key: OrderedDict[ConnectionKey, float] = field(
        default_factory=OrderedDict
    )

    def count_accepted(self, now: float) -> int:
        """Return the number of connections whose first request is expected."""
        while self.accepted_at_by_key:
            key, at = next(iter(self.accepted_at_by_key.items()))
            if now - at < FIRST_REQUEST_TIMEOUT_S:
                break
            del self.accepted_at_by_key[key]
        return len(self.accepted_at_by_key)

    def has_room(
        self, running: int, slots: int, service_time: float, now: float
    ) -> bool:
        """Return whether the target can take another new connection."""
        occupied = running + self.count_accepted(now)
        return occupied < target_limit(slots, service_time)

    def hold(
        self, key: ConnectionKey, slots: int, service_time: float, now: float
    ) -> list[ConnectionKey]:
        """Let a connection wait; return those that will not get their turn."""
        self.held_since_by_key.setdefault(key, now)
        refused = []
        while len(self.held_since_by_key) > queue_limit(slots, service_time):
            refused.append(self.held_since_by_key.popitem(last=False)[0])
        return refused

    def expire(self, now: float) -> list[ConnectionKey]:
        """Remove and return the connections that have waited too long."""
        expired = []
        while self.held_since_by_key:
            key, since = next(iter(self.held_since_by_key.items()))
            if now - since < MAX_HOLD_S:
                break
            del self.held_since_by_key[key]
            expired.append(key)
        return expired

    def take_next(self) -> ConnectionKey | None:
        """Remove and return the connection whose turn it is: the latest."""
        if not self.held_since_by_key:
            return None
        return self.held_since_by_key.popitem()[0]

    def record_accepted(self, key: ConnectionKey, now: float) -> None:
        """Record that the opening segment of a connection was delivered."""
        self.held_since_by_key.pop(key, None)
        self.accepted_at_by_key[key] = now
        self.accepted_at_by_key.move_to_end(key)

    def remove(self, key: ConnectionKey) -> None:
        """Forget a connection that sent its first request, or has ended."""
        self.accepted_at_by_key.pop(key, None)
        self.held_since_by_key.pop(key, None)
