"""Slots of an upstream: concurrency limit, queueing and load shedding."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

COLD_SPEED_SHARE = 0.2


@dataclass(slots=True)
class Job:
    """The work of one request.

    `work` is in seconds at speed 1; `expires_at` is the deadline of its end.
    """

    key: object
    work: float
    expires_at: float | None
    on_start: Callable[[], None]
    on_done: Callable[[], None]
    on_refused: Callable[[float], None]
    started_at: float | None = None
    timer: object = field(default=None)


class Slots:
    """Runs jobs in a number of slots.

    Parameters
    ----------
    loop : AbstractEventLoop
        Clock and timers.
    slots, queue : int
        Maximum numbers of running and of waiting jobs.
    speed : float
        Seconds of work done per second.
    cold_start : float
        Seconds over which the speed rises linearly from a fifth to full.
    """

    def __init__(self, loop, slots: int, queue: int, speed: float, cold_start: float):
        self.slots = slots
        self.busy_time = 0.0
        self.finished = 0
        self.shed = 0
        self.cancelled = 0
        self.draining = False
        self._loop = loop
        self._queue_limit = queue
        self._speed = speed
        self._cold_start = cold_start
        self._started_at = loop.time()
        self._running: dict[object, Job] = {}
        self._waiting: deque[Job] = deque()
        self._backlog = 0.0

    @property
    def running(self) -> int:
        """Number of jobs in slots."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Number of jobs that wait for a slot."""
        return len(self._waiting)

    def speed(self, now: float) -> float:
        """Return the speed at time `now`, reduced during the cold start."""
        age = now - self._started_at
        if age >= self._cold_start:
            return self._speed
        share = COLD_SPEED_SHARE + (1 - COLD_SPEED_SHARE) * age / self._cold_start
        return self._speed * share

    def set_speed(self, speed: float) -> None:
        """Set the speed of jobs that start later; running jobs keep theirs."""
        self._speed = speed

    def __contains__(self, key) -> bool:
        """Return whether a job with `key` is running or waiting."""
        return key in self._running or any(job.key == key for job in self._waiting)

    def offer(self, job: Job) -> bool:
        """Start, queue or refuse a job; return whether it was accepted."""
        now = self._loop.time()
        wait = self._backlog / self.slots / self.speed(now)
        ends_at = now + wait + job.work / self.speed(now)
        late = job.expires_at is not None and ends_at > job.expires_at
        full = self.running >= self.slots and self.queued >= self._queue_limit
        if self.draining or late or full:
            self.shed += 1
            job.on_refused(max(wait, 0.0))
            return False
        self._backlog += job.work
        if self.running < self.slots:
            self._start(job, now)
        else:
            self._waiting.append(job)
        return True

    def cancel(self, key) -> bool:
        """Cancel the job with `key`; return whether it was found."""
        job = self._running.pop(key, None)
        if job is not None:
            job.timer.cancel()
            self._record_busy_time(job)
        else:
            job = next((item for item in self._waiting if item.key == key), None)
            if job is None:
                return False
            self._waiting.remove(job)
        self._backlog -= job.work
        self.cancelled += 1
        self._start_waiting_jobs()
        return True

    def _start(self, job: Job, now: float):
        job.started_at = now
        self._running[job.key] = job
        job.on_start()
        duration = job.work / self.speed(now)
        job.timer = self._loop.call_later(duration, self._finish, job)

    def _finish(self, job: Job):
        del self._running[job.key]
        self._record_busy_time(job)
        self._backlog -= job.work
        self.finished += 1
        job.on_done()
        self._start_waiting_jobs()

    def _record_busy_time(self, job: Job):
        self.busy_time += self._loop.time() - job.started_at

    def _start_waiting_jobs(self):
        while self._waiting and self.running < self.slots:
            job = self._waiting.popleft()
            now = self._loop.time()
            if job.expires_at is not None and now > job.expires_at:
                self._backlog -= job.work
                self.shed += 1
                job.on_refused(0.0)
            else:
                self._start(job, now)
