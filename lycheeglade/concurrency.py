"""Adaptive limits on concurrent requests, based on response times."""

FAILURE_FACTOR = 0.7
SLOWDOWN_FACTOR = 0.9
SLOWDOWN_TOLERANCE = 2.0
MEAN_GAIN = 0.03
TIME_PER_REQUEST_TOLERANCE = 1.05
MIN_SAMPLES = 10
PROBE_INTERVAL = 50


class SlowdownLimit:
    """Concurrency limit that falls while responses are slower than usual.

    The limit increases additively with each response, and decreases by a
    factor with each failure and while the slowdown exceeds its tolerance.

    Parameters
    ----------
    slots : int
        Upper bound of the limit.
    """

    def __init__(self, slots: int):
        self._slots = slots
        self.value = float(slots)

    def observe(self, elapsed: float, concurrency: int, slowdown: float) -> None:
        """Record one response time.

        Parameters
        ----------
        elapsed : float
            Seconds that the request took.
        concurrency : int
            Number of running requests when it started, itself included.
        slowdown : float
            Ratio of the recent mean response time to the long-term mean.
        """
        if slowdown > SLOWDOWN_TOLERANCE:
            self._reduce(SLOWDOWN_FACTOR)
            return
        raised = self.value + 1 / self.value / self._slots
        self.value = min(float(self._slots), raised)

    @property
    def current(self) -> float:
        """Maximum number of concurrent requests."""
        return self.value

    def record_failure(self) -> None:
        """Record a failed request."""
        self._reduce(FAILURE_FACTOR)

    def _reduce(self, factor: float) -> None:
        self.value = max(1.0, self.value * factor)


class SharingLimit(SlowdownLimit):
    """Concurrency limit with the least time per request.

    The limit is the highest concurrency at which response time divided by
    concurrency is at most ``TIME_PER_REQUEST_TOLERANCE`` times its minimum.
    The next higher concurrency is probed during the first `slots` of every
    ``PROBE_INTERVAL`` responses.

    Notes
    -----
    Equation 1 of "PALDIA: Enabling SLO-Compliant and Cost-Effective Serverless
    Computing on Heterogeneous Hardware" with a batch of one: of N requests, y
    wait for ``solo * y`` and the others run concurrently for
    ``solo * (N - y) * FBR``, with the FBR measured as
    ``time(n) / (n * time(1))``.
    """

    def __init__(self, slots: int):
        super().__init__(slots)
        self._times = [0.0] * (slots + 1)
        self._samples = [0] * (slots + 1)
        self._observed = 0
        self._best_concurrency = slots

    def observe(self, elapsed: float, concurrency: int, slowdown: float) -> None:
        """Record one response time."""
        super().observe(elapsed, concurrency, slowdown)
        concurrency = min(concurrency, self._slots)
        self._samples[concurrency] += 1
        gain = max(MEAN_GAIN, 1 / self._samples[concurrency])
        self._times[concurrency] += (elapsed - self._times[concurrency]) * gain
        self._observed += 1
        self._best_concurrency = self._find_best_concurrency()

    @property
    def current(self) -> float:
        """The limit, raised by one while a higher concurrency is probed."""
        is_probing = self._observed % PROBE_INTERVAL < self._slots
        return min(self.value, float(self._best_concurrency + is_probing))

    def _find_best_concurrency(self) -> int:
        if min(self._samples[1:]) < MIN_SAMPLES:
            return self._slots
        times_per_request = [self._times[n] / n for n in range(1, self._slots + 1)]
        threshold = min(times_per_request) * TIME_PER_REQUEST_TOLERANCE
        return max(
            n for n, seconds in enumerate(times_per_request, 1) if seconds <= threshold
        )
