"""Time that agents take to answer this process."""

# Weights of a new answer time in the mean and in the deviation, and the
# multiple of the deviation (RFC 6298).
MEAN_GAIN = 1 / 8
DEVIATION_GAIN = 1 / 4
DEVIATION_FACTOR = 4.0


class AnswerTime:
    """Running mean and deviation of the answer times of all agents.

    They include the time for which messages wait in queues of this process and
    of its link.
    """

    __slots__ = ("_deviation", "_mean")

    def __init__(self):
        self._mean = 0.0
        self._deviation = 0.0

    def observe(self, seconds: float) -> None:
        """Record the time that an answer took."""
        gap = seconds - self._mean
        self._deviation += DEVIATION_GAIN * (abs(gap) - self._deviation)
        self._mean += MEAN_GAIN * gap

    @property
    def limit(self) -> float:
        """Seconds within which hardly any answer fails to arrive."""
        return self._mean + DEVIATION_FACTOR * self._deviation
