"""Detection of a target that has stopped answering its agent.

After a power failure, callers continue connections that are lost. A target
that is down returns none of their packets, so without this detection no
balancer would reset these connections. A target that works on long requests
sends nothing either, so the agent then checks whether a process listens at the
target's port.
"""

from collections.abc import Hashable

from lycheeglade.segment import Segment

# A target is silent if it answers none of several opening segments for
# OPENING_TIMEOUT_S seconds. Without further segments the mark expires after
# SILENCE_EXPIRY_S, so that the target is tried again.
OPENING_TIMEOUT_S = 0.1
# Time-out for data of connections that the agent does not know. It is longer,
# since the target either returns the data at once or processes a request.
UNKNOWN_DATA_TIMEOUT_S = 0.6
MIN_UNANSWERED = 2
MAX_RECORDED = 64
SILENCE_EXPIRY_S = 1.0


class UnansweredSegments:
    """Unanswered segments of one kind that were sent to the target."""

    __slots__ = ("_first_at", "_last_at", "_recorded", "_timeout")

    def __init__(self, timeout: float):
        self._timeout = timeout
        self._recorded: set[Hashable] = set()
        self._first_at = 0.0
        self._last_at = 0.0

    def add(self, name: Hashable, now: float) -> None:
        """Record a sent segment; segments with equal names count once."""
        if not self._recorded:
            self._first_at = now
        if len(self._recorded) < MAX_RECORDED:
            self._recorded.add(name)
        self._last_at = now

    def clear(self) -> None:
        """Discard the segments, since the target has answered."""
        self._recorded.clear()

    def is_timed_out(self, now: float) -> bool:
        """Return whether the time-out for an answer has passed.

        The latest segment must be less than `SILENCE_EXPIRY_S` old.
        """
        return (
            len(self._recorded) >= MIN_UNANSWERED
            and now - self._first_at > self._timeout
            and now - self._last_at < SILENCE_EXPIRY_S
        )


class TargetSilence:
    """Detects whether one target has stopped answering."""

    __slots__ = ("_openings", "_unknown")

    def __init__(self):
        self._openings = UnansweredSegments(OPENING_TIMEOUT_S)
        self._unknown = UnansweredSegments(UNKNOWN_DATA_TIMEOUT_S)

    def record_opening(self, segment: Segment, now: float) -> None:
        """Record an opening segment, or a copy, sent to the target."""
        self._openings.add((segment.key_from_caller, segment.acknowledgement), now)

    def record_unknown_data(self, segment: Segment, now: float) -> None:
        """Record data of an unknown connection sent to the target.

        Copies of one connection's data count once: its request may take long.
        """
        self._unknown.add(segment.key_from_caller, now)

    def record_answer(self) -> None:
        """Record that the target sent a segment."""
        self._openings.clear()
        self._unknown.clear()

    def is_silent(self, now: float) -> bool:
        """Return whether the target has stopped answering."""
        return self._openings.is_timed_out(now) or self._unknown.is_timed_out(now)
