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

Openings whose aim and remaining time are known are ordered by these
(`opening_order`). If both kinds wait, the latest opening of all decides which
kind goes next, so that each gets admissions as it gets openings.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from lycheeglade.opening_order import EXCHANGE_S, OpeningOrder
from lycheeglade.opening_times import is_timed
from lycheeglade.relay_message import ForwardSegment
from lycheeglade.segment import ConnectionKey

# Requests that a target gets beyond its slots are those that it is expected to
# start within this time.
MAX_TARGET_WAIT_S = 0.06
MIN_EXTRA_REQUESTS = 4
# For an opening with an aim, these are no more than those that are expected to
# start within this share of the aim: four requests at a target that takes
# 150 ms would use up an aim of 303 ms.
AIM_SHARE_AT_TARGET = 0.5
# A slot may be idle for this share of a request's time while the next one is
# delivered. A request that waits at the target to prevent this would make the
# one behind it late if the target needs more than half of the aim for each.
MAX_IDLE_SHARE = 0.25
# A new connection waits at most this long. A caller that is refused then comes
# back sooner than one that hears nothing.
MAX_HOLD_S = 1.2
# An accepted connection counts as a request until its first data arrives, or
# until this time has passed: some callers have given up meanwhile.
FIRST_REQUEST_TIMEOUT_S = 0.1


def target_limit(slots: int, service_time: float, aim: float | None = None) -> int:
    """Return how many requests and new connections the target may have.

    Parameters
    ----------
    service_time : float
        Expected seconds that the target takes for a request.
    aim : float, optional
        Seconds in which the next answer has its full worth, None if unknown.
    """
    extra = max(MIN_EXTRA_REQUESTS, int(slots * MAX_TARGET_WAIT_S / service_time))
    if aim is not None:
        in_time = int(slots * AIM_SHARE_AT_TARGET * aim / service_time)
        idle = slots * EXCHANGE_S / service_time
        extra = min(extra, max(in_time, int(idle + 1.0 - MAX_IDLE_SHARE)))
    return slots + extra


def queue_limit(slots: int, service_time: float) -> int:
    """Return how many new connections get their turn within `MAX_HOLD_S`."""
    return max(1, int(slots * MAX_HOLD_S / service_time))


@dataclass(slots=True)
class OpeningQueue:
    """New connections that wait for a slot of one target.

    Attributes
    ----------
    held_since_by_key : OrderedDict
        Arrival time of the connections that wait and whose remaining time is
        unknown, latest last.
    order : OpeningOrder
        The other connections that wait.
    accepted_at_by_key : OrderedDict
        Time of delivery of the connections without a request so far.
    """

    held_since_by_key: OrderedDict[ConnectionKey, float] = field(
        default_factory=OrderedDict
    )
    order: OpeningOrder = field(default_factory=OpeningOrder)
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
        self,
        running: int,
        slots: int,
        service_time: float,
        now: float,
        aim: float | None = None,
    ) -> bool:
        """Return whether the target can take another new connection.

        Parameters
        ----------
        aim : float, optional
            Seconds in which that connection's answer has its full worth, None
            if unknown.
        """
        occupied = running + self.count_accepted(now)
        return occupied < target_limit(slots, service_time, aim)

    def hold(
        self,
        key: ConnectionKey,
        slots: int,
        service_time: float,
        now: float,
        message: ForwardSegment | None = None,
    ) -> list[ConnectionKey]:
        """Let a connection wait; return those that will not get their turn.

        With a `message` whose times are known, `take_hopeless` returns these.
        """
        if message is not None and is_timed(message):
            self.order.add(key, message, MAX_HOLD_S, now)
            return []
        self.held_since_by_key.setdefault(key, now)
        refused = []
        while len(self.held_since_by_key) > queue_limit(slots, service_time):
            refused.append(self.held_since_by_key.popitem(last=False)[0])
        return refused

    def take_hopeless(
        self, running: int, slots: int, service_time: float, now: float
    ) -> list[ConnectionKey]:
        """Remove and return the connections that would wait too long."""
        if not self.order.openings_by_key:
            return []
        in_front = self._start_delay(running, slots, service_time, now)
        self.order.mark_late(in_front + service_time + EXCHANGE_S, now)
        return self.order.take_hopeless(in_front, service_time / slots, now)

    def _start_delay(
        self, running: int, slots: int, service_time: float, now: float
    ) -> float:
        """Return the seconds until a connection's first request is started."""
        occupied = running + self.count_accepted(now)
        return max(0, occupied + 1 - slots) * service_time / slots

    def expire(self, now: float) -> list[ConnectionKey]:
        """Remove and return the connections that have waited too long."""
        expired = self.order.take_expired(now)
        while self.held_since_by_key:
            key, since = next(iter(self.held_since_by_key.items()))
            if now - since < MAX_HOLD_S:
                break
            del self.held_since_by_key[key]
            expired.append(key)
        return expired

    def next_aim(
        self, running: int, slots: int, service_time: float, now: float
    ) -> float | None:
        """Return the aim of the connection whose turn it is.

        Returns
        -------
        float or None
            Seconds, 0 for a connection that can't be answered within its aim,
            None if the aim is unknown or no connection waits.
        """
        if self._is_untimed_next():
            return None
        in_front = self._start_delay(running, slots, service_time, now)
        self.order.mark_late(in_front + service_time + EXCHANGE_S, now)
        opening = self.order.choose()
        if opening is None:
            return None
        return 0.0 if opening.is_late else opening.aim

    def take_next(self) -> ConnectionKey | None:
        """Remove and return the connection whose turn it is.

        That is the latest if its times are unknown, and otherwise the first in
        `order`.
        """
        if self._is_untimed_next():
            return self.held_since_by_key.popitem()[0]
        opening = self.order.take()
        return None if opening is None else opening.key

    def _is_untimed_next(self) -> bool:
        if not self.held_since_by_key:
            return False
        latest = next(reversed(self.held_since_by_key.values()))
        return latest >= self.order.latest_held_since()

    def record_accepted(self, key: ConnectionKey, now: float) -> None:
        """Record that the opening segment of a connection was delivered."""
        self.held_since_by_key.pop(key, None)
        self.order.remove(key)
        self.accepted_at_by_key[key] = now
        self.accepted_at_by_key.move_to_end(key)

    def remove(self, key: ConnectionKey) -> None:
        """Forget a connection that sent its first request, or has ended."""
        self.accepted_at_by_key.pop(key, None)
        self.held_since_by_key.pop(key, None)
        self.order.remove(key)
