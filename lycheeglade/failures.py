"""Contains, logs and counts the failures of the parts of a process."""

from asyncio import CancelledError, current_task, sleep
from collections.abc import Awaitable, Callable
from logging import ERROR, getLogger
from random import Random
from time import monotonic

from lycheeglade.blackboard import NEVER
from lycheeglade.histograms import Metrics
from lycheeglade.logs import log_event
from lycheeglade.retry import backoff
from lycheeglade.supervision import contain_errors, find_place

logger = getLogger(__name__)

# Seconds during which a part's failures after the first are only counted.
LOG_INTERVAL_S = 5.0
MIN_RESTART_S = 0.1
MAX_RESTART_S = 5.0
# Seconds without a failure after which the next restart isn't delayed more.
STABLE_S = 30.0
MAX_REASON_CHARS = 500


class FailureLog:
    """Logs and counts the failures of the parts of one process.

    Each failure is counted as ``failure`` with its part as the cause, and is
    logged unless another one of its part was within `LOG_INTERVAL_S` seconds.
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._next_log_by_part: dict[str, float] = {}
        self._unlogged_by_part: dict[str, int] = {}

    def record(self, part: str, error: BaseException, now: float) -> None:
        """Count and log a failure of `part`."""
        self._metrics.count("failure", "", part)
        if now < self._next_log_by_part.get(part, NEVER):
            self._unlogged_by_part[part] = self._unlogged_by_part.get(part, 0) + 1
            return
        self._next_log_by_part[part] = now + LOG_INTERVAL_S
        unlogged = self._unlogged_by_part.pop(part, 0)
        first = find_first_error(error)
        log_event(
            logger,
            ERROR,
            "part-failed",
            part=part,
            reason=repr(first)[:MAX_REASON_CHARS],
            place=find_place(first),
            unlogged=unlogged,
        )


def find_first_error(error: BaseException) -> BaseException:
    """Return the first error that isn't a group, within nested groups."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def contain(part: str, step: Callable[..., None], failures: FailureLog) -> Callable:
    """Return `step` wrapped to record its exceptions instead of raising them.

    The wrapped function returns whether the step succeeded.
    """
    return contain_errors(step, lambda error: failures.record(part, error, monotonic()))


async def run_restarted(
    part: str,
    run: Callable[[], Awaitable[None]],
    failures: FailureLog,
    generator: Random,
) -> None:
    """Run a background task until it returns or is cancelled.

    After an exception it is run again, after a delay that grows while it
    fails repeatedly.
    """
    attempt = 0
    while True:
        started_at = monotonic()
        try:
            await run()
            return
        except CancelledError as error:
            # A library may raise it although nobody cancels this task.
            if current_task().cancelling():
                raise
            failures.record(part, error, monotonic())
        except Exception as error:
            failures.record(part, error, monotonic())
        if monotonic() - started_at > STABLE_S:
            attempt = 0
        delay = backoff(attempt, MIN_RESTART_S, MAX_RESTART_S, generator)
        await sleep(MIN_RESTART_S + delay)
        attempt += 1
