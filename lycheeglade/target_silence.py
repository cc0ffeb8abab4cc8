"""Detection of a target that has stopped answering its agent.

After a power failure, callers continue connections that are lost. A target
that is down returns none of their packets, so without this detection no
balancer would reset these connections.
"""

from collections.abc import Hashable

from lycheeglade.segment import Segment

# A target is silent if it answers none of several opening segments for
# OPENING_SILENT_S seconds. Without further segments the mark expires after
# SILENT_HOLD_S, so that the target is tried again.
OPENING_SILENT_S = 0.1
# Time-out for data of connections that the agent does not know. It is longer,
# since the target either returns the data at once or processes a request.
UNKNOWN_SILENT_S = 0.6
MIN_UNANSWERED = 2
MAX_NOTED = 64
SILENT_HOLD_S = 1.0


class Unanswered:
    """Unanswered segments of one kind that were sent to the target."""

    __slots__ = ("_last_at", "_noted", "_patience", "_since")

    def __init__(self, patience: float):
        self._patience = patience
        self._noted: set[Hashable] = set()
        self._since = 0.0
        self._last_at = 0.0

    def add(self, name: Hashable, now: float) -> None:
        """Record a sent segment; segments with equal names count once."""
        if not self._noted:
            self._since = now
        if len(self._noted) < MAX_NOTED:
            self._noted.add(name)
        self._last_at = now

    def clear(self) -> None:
        """Discard the segments, since the target has answered."""
        self._noted.clear()

    def shows_silence(self, now: float) -> bool:
        """Return whether the time-out for an answer has passed.

        The latest segment must be less than `SILENT_HOLD_S` old.
        """
        return (
            len(self._noted) >= MIN_UNANSWERED
            and now - self._since > self._patience
            and now - self._last_at < SILENT_HOLD_S
        )


class TargetSilence:
    """Detects whether one target has stopped answering."""

    __slots__ = ("_openings", "_unknown")

    def __init__(self):
        self._openings = Unanswered(OPENING_SILENT_S)
        self._unknown = Unanswered(UNKNOWN_SILENT_S)

    def note_opening(self, segment: Segment, now: float) -> None:
        """Record an opening segment, or a copy, sent to the target."""
        self._openings.add((segment.key_from_caller, segment.acknowledgement), now)

    def note_unknown(self, segment: Segment, now: float) -> None:
        """Record data of an unknown connection sent to the target.

        Copies of one connection's data count once: its request may take long.
        """
        self._unknown.add(segment.key_from_caller, now)

    def note_heard(self) -> None:
        """Record that the target sent a segment."""
        self._openings.clear()
        self._unknown.clear()

    def is_silent(self, now: float) -> bool:
        """Return whether the target has stopped answering."""
        return self._openings.shows_silence(now) or self._unknown.shows_silence(now)
