"""Limit on the openings that reach a target while it is cold.

Load pattern: a zone returns cold at full load. All balancers see targets
without load, and would send them many times what they can handle. All openings
of a target pass through its agent, so the agent alone can keep the sum over
all balancers below the limit.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from lycheeglade.segment import ConnectionKey

# Longest warmup that is accepted.
MAX_WARMUP_S = 600.0
# The limit is on segments that arrive at the target within one second. The
# delay from the agent to the target varies, so segments that leave the agent
# slightly more than a second apart may arrive within one.
WINDOW_S = 1.05
# Guards against the rounding of a product that is a whole number.
ROUNDING = 1e-9
MAX_LIMIT = 1_000_000


@dataclass(frozen=True, slots=True)
class WarmupBounds:
    """Openings per second that a cold target gets, relative to its rate.

    The limit in any second is the published rate multiplied by `overage`,
    plus `slack`.
    """

    overage: float
    slack: float


@dataclass(slots=True)
class WarmupWindow:
    """Sliding window over the openings that an agent has delivered.

    Attributes
    ----------
    started_at : float
        Start of this process in monotonic seconds.
    bounds : WarmupBounds, optional
        None if the settings have none; then nothing is limited.
    rate : float
        New connections per second that the cold target can handle, 0 if no
        limit is published.
    cold_until : float
        Latest end of the warmup that a balancer has named.
    is_told : bool
        Whether any balancer has sent its knowledge of the target.
    delivered_at_by_key : OrderedDict
        Time of the latest opening segment of each connection, oldest first.
    """

    started_at: float
    bounds: WarmupBounds | None = None
    rate: float = 0.0
    cold_until: float = float("-inf")
    is_told: bool = False
    delivered_at_by_key: OrderedDict[ConnectionKey, float] = field(
        default_factory=OrderedDict
    )

    def learn(self, warmup_left: float, rate: float, now: float) -> None:
        """Apply what a balancer knows of the target.

        Parameters
        ----------
        warmup_left : float
            Seconds for which the target stays cold. Balancers of earlier
            builds name none, and values outside 0 to `MAX_WARMUP_S` are
            ignored.
        rate : float
            New connections per second, 0 if the limit was withdrawn.
        """
        self.is_told = True
        if 0.0 < warmup_left <= MAX_WARMUP_S and 0.0 <= rate < float("inf"):
            self.rate = rate
            self.cold_until = max(self.cold_until, now + warmup_left)

    def is_cold(self, now: float) -> bool:
        """Return whether the target is cold and its openings are limited."""
        return self.bounds is not None and self.rate > 0.0 and now < self.cold_until

    def limit(self, now: float) -> int | None:
        """Return the openings that one window may have, None for any number.

        An agent that no balancer has told anything admits the slack: it cannot
        know whether the target is cold.
        """
        if self.is_cold(now):
            allowed = self.rate * self.bounds.overage + self.bounds.slack
        elif self.bounds is not None and not self.is_told:
            allowed = self.bounds.slack
        else:
            return None
        return int(min(allowed + ROUNDING, MAX_LIMIT))

    def must_ask(self) -> bool:
        """Return whether a balancer has to tell if the target is cold."""
        return self.bounds is not None and not self.is_told

    def has_room(self, now: float) -> bool:
        """Return whether the opening of another connection may be delivered.

        The previous process of this agent may have used up the window
        immediately before this one started.
        """
        limit = self.limit(now)
        if limit is None:
            return True
        if now < self.started_at + WINDOW_S:
            return False
        return self._count(now) < limit

    def admits(self, key: ConnectionKey, now: float) -> bool:
        """Return whether an opening segment of a connection may be delivered.

        Copies count as one connection, so a copy needs no room while the
        window contains an earlier one.
        """
        if self.has_room(now):
            return True
        self._count(now)
        return key in self.delivered_at_by_key

    def record(self, key: ConnectionKey, now: float) -> None:
        """Record that an opening segment was delivered.

        Segments are also recorded while the target is not known to be cold:
        they count in the window if it turns out to be.
        """
        if self.bounds is None:
            return
        self.delivered_at_by_key[key] = now
        self.delivered_at_by_key.move_to_end(key)
        self._count(now)

    def seconds_per_opening(self, now: float) -> float:
        """Return the mean interval of the openings, 0 without a limit."""
        limit = self.limit(now)
        if limit is None:
            return 0.0
        return WINDOW_S / limit if limit else float("inf")

    def _count(self, now: float) -> int:
        """Return the number of connections in the window that ends now."""
        delivered_at_by_key = self.delivered_at_by_key
        while delivered_at_by_key:
            key, at = next(iter(delivered_at_by_key.items()))
            if now - at < WINDOW_S:
                break
            del delivered_at_by_key[key]
        return len(delivered_at_by_key)
