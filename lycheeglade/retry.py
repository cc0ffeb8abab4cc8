"""Budget and backoff of retries."""

from random import Random

DEFAULT_RATIO = 0.1
DEFAULT_BURST = 10.0


class RetryBudget:
    """Token bucket that limits retries to a ratio of the first attempts.

    Each first attempt adds `ratio` tokens up to `burst`, and each retry takes
    one whole token. Even if every target fails, retries add no more than
    `ratio` to the load.

    Parameters
    ----------
    ratio : float
        Retries allowed per first attempt.
    burst : float
        Maximum number of retries allowed at once, with a full bucket.
    """

    __slots__ = ("_burst", "_ratio", "_tokens")

    def __init__(self, ratio: float = DEFAULT_RATIO, burst: float = DEFAULT_BURST):
        self._ratio = ratio
        self._burst = burst
        self._tokens = burst

    def record_attempt(self) -> None:
        """Count a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._ratio)

    def try_acquire(self) -> bool:
        """Take one token for a retry, or return False if there is none."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def backoff(attempt: int, base: float, maximum: float, generator: Random) -> float:
    """Return the seconds to wait before a retry.

    The wait is drawn from zero up to an exponentially growing ceiling ("full
    jitter"), so that attempts that failed together aren't retried together.

    Parameters
    ----------
    attempt : int
        Number of retries made so far, from 0.
    base, maximum : float
        First and highest ceiling in seconds.
    """
    ceiling = min(maximum, base * 2.0 ** min(attempt, 32))
    return generator.uniform(0.0, ceiling)
