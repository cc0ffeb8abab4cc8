"""Admission control of one target: starts, queues and refuses requests.

Each agent keeps one `Admission` per upstream, which counts the upstream's
running and queued requests. It measures service times, lowers the concurrency
limit when the upstream slows down, and refuses at once a request that can't
finish by its deadline.
"""

from bisect import insort
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from lycheeglade.concurrency import SharingLimit, SlowdownLimit
from lycheeglade.service_time import RunningAverage, ServiceTime

DEFAULT_MAX_QUEUE = 64
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0
UNKNOWN_SERVICE_TIME_S = 0.1
MIN_WARM_UP_FRACTION = 0.1
MAX_CALL_GAP_S = 5.0


class RefusalCause(StrEnum):
    """Why a request is refused."""

    DRAINING = "draining"
    DEADLINE = "deadline"
    QUEUE_FULL = "queue full"
    DUPLICATE = "duplicate"


@dataclass(frozen=True, slots=True)
class AdmissionLimits:
    """Configured limits of one upstream.

    Attributes
    ----------
    slots : int
        Maximum number of concurrent requests.
    connections : int
        Maximum number of open flows.
    cold_start : float
        Seconds after the start of the upstream during which its limits ramp
        up to their full values.
    max_queue : int
        Maximum number of queued requests.
    """

    slots: int = 1
    connections: int = 2000
    cold_start: float = 0.0
    max_queue: int = DEFAULT_MAX_QUEUE


@dataclass(frozen=True, slots=True)
class Start:
    """The request is admitted and starts now."""


@dataclass(frozen=True, slots=True)
class Queued:
    """The request is queued for an estimated `wait` in seconds."""

    wait: float


@dataclass(frozen=True, slots=True)
class Refused:
    """The request isn't run and may be retried after `retry_after` seconds."""

    retry_after: float
    cause: RefusalCause


@dataclass(frozen=True, slots=True)
class Load:
    """Load of one target as its agent measures it.

    Attributes
    ----------
    running, queued, flows : int
        Number of running requests, queued requests and open flows.
    limit : int
        Current limit on concurrent requests.
    service_time : float
        Mean seconds that a request takes at the upstream.
    wait_estimate : float
        Estimated seconds that a new request would be queued.
    busy : float
        Recent utilization of the slots, 0 to 1.
    connections : int
        Current limit on open flows.
    draining : bool
        Whether the target refuses all new flows and requests.
    """

    running: int
    limit: int
    queued: int
    service_time: float
    wait_estimate: float
    busy: float = 0.0
    flows: int = 0
    connections: int = 2000
    draining: bool = False

    @property
    def free_slots(self) -> int:
        """Number of requests that could start without being queued."""
        if self.draining or self.queued:
            return 0
        return max(0, self.limit - self.running)


START = Start()


class Admission:
    """Load and limits of one target on one agent.

    Parameters
    ----------
    limits : AdmissionLimits
        Limits from the target's configuration.
    started_at : float
        Monotonic time in seconds at which the upstream started.
    generator : Random
        Source of the jitter in the retry times of refused requests.
    make_limit : callable
        Factory of the adaptive concurrency limit, called with the number of
        slots.
    """

    def __init__(
        self,
        limits: AdmissionLimits,
        started_at: float,
        generator: Random | None = None,
        make_limit: Callable[[int], SlowdownLimit] = SharingLimit,
    ):
        self.limits = limits
        self._started_at = started_at
        self._generator = generator or Random(0)
        self._adaptive_limit = make_limit(limits.slots)
        self._service_time = ServiceTime(UNKNOWN_SERVICE_TIME_S)
        self._busy = RunningAverage(started_at)
        self._running_by_id: dict[int, tuple[float, int]] = {}
        self._deadlines_by_id: dict[int, float] = {}
        self._queue: list[tuple[float, int]] = []
        self._flows = 0
        self._draining = False
        self._next_retry_at = started_at
        self._last_call_at = started_at
        self._resumed_at = started_at

    def admit_flow(self, now: float) -> bool:
        """Admit and count a new flow unless the flow limit is reached."""
        if self._draining or self._flows >= self._connections(now):
            return False
        self._flows += 1
        return True

    def release_flow(self) -> None:
        """Subtract a flow that has ended from the count."""
        self._flows = max(0, self._flows - 1)

    def offer(
        self, request_id: int, now: float, deadline: float
    ) -> Start | Queued | Refused:
        """Start, queue or refuse a new request with a `deadline`."""
        self._detect_pause(now)
        if self._draining:
            return self._refuse(now, RefusalCause.DRAINING)
        if request_id in self._running_by_id or request_id in self._deadlines_by_id:
            return self._refuse(now, RefusalCause.DUPLICATE)
        wait = self._estimate_wait(now, len(self._deadlines_by_id))
        if self._would_miss_deadline(now, wait, deadline):
            return self._refuse(now, RefusalCause.DEADLINE)
        if not self._deadlines_by_id and self._has_free_slot(now):
            self._start(request_id, now)
            return START
        if len(self._deadlines_by_id) >= self.limits.max_queue:
            return self._refuse(now, RefusalCause.QUEUE_FULL)
        self._deadlines_by_id[request_id] = deadline
        insort(self._queue, (deadline, request_id))
        return Queued(wait)

    def start_next(self, now: float) -> list[int]:
        """Start queued requests in free slots, earliest deadline first.

        This method doesn't check deadlines: call `expire` before it.

        Returns
        -------
        list of int
            Ids of the requests that start.
        """
        self._detect_pause(now)
        started = []
        while self._queue and self._has_free_slot(now):
            _, request_id = self._queue[0]
            self._remove_from_queue(request_id)
            self._start(request_id, now)
            started.append(request_id)
        return started

    def finish(self, request_id: int, now: float, failed: bool = False) -> None:
        """Free the slot of a running request that was answered or failed."""
        self._detect_pause(now)
        if request_id not in self._running_by_id:
            return
        started_at, concurrency = self._running_by_id.pop(request_id)
        self._busy.add(now, -1)
        if failed:
            self._adaptive_limit.record_failure()
        elif started_at >= self._resumed_at:
            self._record_service_time(now - started_at, concurrency)

    def cancel(self, request_id: int, now: float) -> None:
        """Remove a running or queued request that was abandoned."""
        self._detect_pause(now)
        self._remove_from_queue(request_id)
        if request_id not in self._running_by_id:
            return
        started_at, _ = self._running_by_id.pop(request_id)
        self._busy.add(now, -1)
        if started_at >= self._resumed_at:
            self._service_time.observe_lower_bound(now - started_at)

    def expire(self, now: float) -> list[int]:
        """Remove queued requests that can't meet their deadline.

        This method must be called at least once a second, so that each expired
        request is answered without delay and a pause of the process is
        detected.

        Returns
        -------
        list of int
            Ids of the removed requests.
        """
        self._detect_pause(now)
        expired = []
        ahead = 0
        for deadline, request_id in list(self._queue):
            if self._would_miss_deadline(
                now, self._estimate_wait(now, ahead), deadline
            ):
                self._remove_from_queue(request_id)
                expired.append(request_id)
            else:
                ahead += 1
        return expired

    def next_queued(self) -> int | None:
        """Return the id of the queued request with the earliest deadline."""
        return self._queue[0][1] if self._queue else None

    def load(self, now: float) -> Load:
        """Return the current load."""
        return Load(
            running=len(self._running_by_id),
            limit=self._limit(now),
            queued=len(self._deadlines_by_id),
            service_time=self._service_time.mean,
            wait_estimate=self._estimate_wait(now, len(self._deadlines_by_id)),
            busy=min(1.0, self._busy.average(now) / self._limit(now)),
            flows=self._flows,
            connections=self._connections(now),
            draining=self._draining,
        )

    def drain(self, now: float) -> None:
        """Refuse new flows and requests; admitted ones continue."""
        self._detect_pause(now)
        self._draining = True

    def resume(self, now: float) -> None:
        """Admit flows and requests again after a drain was cancelled."""
        self._detect_pause(now)
        self._draining = False

    def _detect_pause(self, now: float) -> None:
        # A long gap between calls means that this process was paused. Requests
        # that started before the pause have no valid service time.
        if now - self._last_call_at > MAX_CALL_GAP_S:
            self._resumed_at = now
        self._last_call_at = now

    def _warm_up_fraction(self, now: float) -> float:
        age = now - self._started_at
        if age >= self.limits.cold_start:
            return 1.0
        return max(MIN_WARM_UP_FRACTION, age / self.limits.cold_start)

    def _limit(self, now: float) -> int:
        ramp = self.limits.slots * self._warm_up_fraction(now)
        return max(1, int(min(ramp, self._adaptive_limit.current) + 0.5))

    def _connections(self, now: float) -> int:
        return max(1, int(self.limits.connections * self._warm_up_fraction(now)))

    def _has_free_slot(self, now: float) -> bool:
        return len(self._running_by_id) < self._limit(now)

    def _would_miss_deadline(self, now: float, wait: float, deadline: float) -> bool:
        if now >= deadline:
            return True
        # An idle upstream gets a request even if the estimate exceeds the
        # deadline. Without new samples the estimate would never recover after
        # a slow period.
        if not self._running_by_id:
            return False
        return now + wait + self._service_time.mean > deadline

    def _remove_from_queue(self, request_id: int) -> None:
        deadline = self._deadlines_by_id.pop(request_id, None)
        if deadline is not None:
            self._queue.remove((deadline, request_id))

    def _start(self, request_id: int, now: float) -> None:
        self._running_by_id[request_id] = (now, len(self._running_by_id) + 1)
        self._busy.add(now, 1)

    def _estimate_wait(self, now: float, ahead: int) -> float:
        limit = self._limit(now)
        if len(self._running_by_id) + ahead < limit:
            return 0.0
        mean = self._service_time.mean
        left = sum(
            self._service_time.remaining(now - started_at)
            for started_at, _ in self._running_by_id.values()
        )
        return (left + ahead * mean) / limit

    def _refuse(self, now: float, cause: RefusalCause) -> Refused:
        # Each refusal reserves the next share of the upstream's time, so that
        # refused requests are retried one after another.
        share = self._service_time.mean / self._limit(now)
        backlog = now + self._estimate_wait(now, len(self._deadlines_by_id))
        self._next_retry_at = max(self._next_retry_at, backlog) + share
        wait = max(self._next_retry_at - now, MIN_RETRY_AFTER_S)
        if wait > MAX_RETRY_AFTER_S / 2:
            self._next_retry_at = now + MAX_RETRY_AFTER_S / 2
            wait = MAX_RETRY_AFTER_S / 2
        return Refused(wait * self._generator.uniform(1.0, 2.0), cause)

    def _record_service_time(self, elapsed: float, concurrency: int) -> None:
        self._service_time.observe(elapsed)
        slowdown = self._service_time.slowdown
        self._adaptive_limit.observe(elapsed, concurrency, slowdown)
