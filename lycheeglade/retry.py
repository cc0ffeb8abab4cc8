"""Budget and backoff of retries."""

from random import Random

DEFAULT_RATIO = 0.1
DEFAULT_BURST = 10.0
# Any maximum is reached before. A float overflows after 1024 doublings.
MAX_DOUBLINGS = 32


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


def compute_ceiling(attempt: int, base: float, maximum: float) -> float:
    """Return `base`, doubled `attempt` times, but `maximum` at most.

    Attempts may go on for as long as what fails is out of reach.
    """
    return min(maximum, base * 2.0 ** min(attempt, MAX_DOUBLINGS))


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
    return generator.uniform(0.0, compute_ceiling(attempt, base, maximum))
