"""Tells whether a target answers, from what its agent sends and gets.

Answers the load pattern after a loss of power: callers go on with
connections that are gone, and a target that isn't there returns none of their
packets, so that nobody would tell the callers.
"""

from collections.abc import Hashable

from lycheeglade.segment import Segment

# A target that answers none of several opening segments for that long is
# silent. After a while it is given another chance.
OPENING_SILENT_S = 0.1
# So long for data of connections that the agent doesn't know: a target either
# returns it at once or works on it.
UNKNOWN_SILENT_S = 0.6
MIN_UNANSWERED = 2
MAX_NOTED = 64
SILENT_HOLD_S = 1.0


class Unanswered:
    """Segments of one kind that the target has not answered."""

    __slots__ = ("_last_at", "_noted", "_patience", "_since")

    def __init__(self, patience: float):
        self._patience = patience
        self._noted: set[Hashable] = set()
        self._since = 0.0
        self._last_at = 0.0

    def add(self, name: Hashable, now: float) -> None:
        """Note a segment that was sent; equal names count once."""
        if not self._noted:
            self._since = now
        if len(self._noted) < MAX_NOTED:
            self._noted.add(name)
        self._last_at = now

    def clear(self) -> None:
        """Note that the target is heard."""
        self._noted.clear()

    def shows_silence(self, now: float) -> bool:
        """Tell whether the target should have been heard by now."""
        return (
            len(self._noted) >= MIN_UNANSWERED
            and now - self._since > self._patience
            and now - self._last_at < SILENT_HOLD_S
        )


class TargetSilence:
    """What one target has not answered."""

    __slots__ = ("_openings", "_unknown")

    def __init__(self):
        self._openings = Unanswered(OPENING_SILENT_S)
        self._unknown = Unanswered(UNKNOWN_SILENT_S)

    def note_opening(self, segment: Segment, now: float) -> None:
        """Note an opening segment, or a copy, that was sent to the target."""
        self._openings.add((segment.key_from_caller, segment.acknowledgement), now)

    def note_unknown(self, segment: Segment, now: float) -> None:
        """Note data of an unknown connection that was sent to the target.

        Copies of one connection's data say nothing: its request may take long.
        """
        self._unknown.add(segment.key_from_caller, now)

    def note_heard(self) -> None:
        """Note any segment of the target."""
        self._openings.clear()
        self._unknown.clear()

    def is_silent(self, now: float) -> bool:
        """Tell whether the target is silent, as far as can be seen."""
        return self._openings.shows_silence(now) or self._unknown.shows_silence(now)
