"""Running estimates of a target's service time, busy share and failures."""

from math import exp

MEAN_GAIN = 0.1
BASELINE_GAIN = 0.01
BUSY_WINDOW_S = 20.0
FAILURE_GAIN = 0.1
FAILURE_WINDOW_S = 4.0


class ServiceTime:
    """Moving averages of the time that requests take at one upstream.

    Parameters
    ----------
    initial : float
        Estimate in seconds until the first request completes.
    """

    __slots__ = ("_baseline", "_count", "mean")

    def __init__(self, initial: float):
        self.mean = initial
        self._baseline = initial
        self._count = 0

    @property
    def is_measured(self) -> bool:
        """Whether any request has completed."""
        return self._count > 0

    @property
    def slowdown(self) -> float:
        """Ratio of the recent mean to the long-term mean."""
        return self.mean / self._baseline if self._baseline > 0.0 else 1.0

    def observe(self, elapsed: float) -> None:
        """Update the estimates with a request's time in seconds."""
        self._count += 1
        self.mean += (elapsed - self.mean) * max(MEAN_GAIN, 1 / self._count)
        gain = max(BASELINE_GAIN, 1 / self._count)
        self._baseline += (elapsed - self._baseline) * gain

    def observe_lower_bound(self, elapsed: float) -> None:
        """Update the estimates with a request abandoned after `elapsed` s.

        Its time is a lower bound, so it only counts above the mean.
        """
        if elapsed > self.mean:
            self.observe(elapsed)

    def remaining(self, elapsed: float) -> float:
        """Return the expected remaining seconds of a running request.

        For a request that has exceeded the mean, that is half the mean.
        """
        return self.mean - elapsed if elapsed < self.mean else self.mean / 2


class RunningAverage:
    """Number of running requests, averaged over a sliding window.

    Parameters
    ----------
    now : float
        Time of the first observation, in monotonic seconds.
    window : float
        Time constant in seconds, after which an observation has about a third
        (1/e) of its weight.
    """

    __slots__ = ("_average", "_running", "_updated_at", "_window")

    def __init__(self, now: float, window: float = BUSY_WINDOW_S):
        self._window = window
        self._running = 0
        self._average = 0.0
        self._updated_at = now

    def add(self, now: float, change: int) -> None:
        """Record that `change` more requests run from `now` on."""
        self._average = self.average(now)
        self._updated_at = max(now, self._updated_at)
        self._running += change

    def average(self, now: float) -> float:
        """Return the weighted mean number of running requests at `now`."""
        elapsed = max(0.0, now - self._updated_at)
        kept = exp(-elapsed / self._window)
        return self._average * kept + self._running * (1 - kept)


class FailureRate:
    """Share of the recent requests that a target failed.

    The share also decays with time, so that a target that gets no requests
    because of its failures is tried again.

    Parameters
    ----------
    window : float
        Time constant of the decay in seconds; after it, about a third (1/e)
        of the share is left.
    """

    __slots__ = ("_share", "_updated_at", "_window")

    def __init__(self, window: float = FAILURE_WINDOW_S):
        self._window = window
        self._share = 0.0
        self._updated_at = 0.0

    def observe(self, now: float, has_failed: bool) -> None:
        """Update the share with the outcome of one request."""
        share = self.share(now)
        self._share = share + (has_failed - share) * FAILURE_GAIN
        self._updated_at = now

    def share(self, now: float) -> float:
        """Return the share at `now`, 0 to 1."""
        elapsed = max(0.0, now - self._updated_at)
        return self._share * exp(-elapsed / self._window)
