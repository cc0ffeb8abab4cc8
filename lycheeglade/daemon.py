"""Main loop and graceful shutdown, common to balancers and agents."""

from asyncio import (
    CancelledError,
    Event,
    create_task,
    get_running_loop,
    sleep,
)
from asyncio import wait_for as wait_for_async
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from logging import INFO, WARNING, Logger
from random import Random, SystemRandom
from signal import SIGINT, SIGTERM
from time import monotonic

from lycheeglade.blackboard import Blackboard
from lycheeglade.failures import FailureLog, contain
from lycheeglade.gossip import follow_configuration
from lycheeglade.histograms import Metrics
from lycheeglade.logs import count_lost_lines, log_event
from lycheeglade.operations import serve_operations
from lycheeglade.settings import Settings
from lycheeglade.supervision import report_callback_errors
from lycheeglade.view import View

TICK_S = 0.02
IDLE_TICK_S = 0.1
STOP_POLL_S = 0.05
MIN_RETRY_VIEW_S = 0.5
MAX_RETRY_VIEW_S = 8.0
EXIT_OK = 0
EXIT_WORK_INTERRUPTED = 1


@dataclass(frozen=True, slots=True)
class ProcessParts:
    """Callbacks of `run_process` that depend on the role of the process.

    Attributes
    ----------
    tick : callable
        Called with the current time every `TICK_S` or `IDLE_TICK_S` seconds.
    begin_stop : callable
        Called with the current time when a graceful shutdown begins.
    count_pending_work : callable
        Takes the current time; returns the number of pieces of work that
        ending the process would interrupt.
    describe : callable
        Returns the fields of ``/status`` that are specific to the role.
    is_idle : callable
        Returns whether the process has no caller's work, so that ticks at the
        longer interval suffice.
    """

    tick: Callable[[float], None]
    begin_stop: Callable[[float], None]
    count_pending_work: Callable[[float], int]
    describe: Callable[[], Mapping[str, object]]
    is_idle: Callable[[], bool] = lambda: False


class ViewApplier:
    """Applies each view in steps, and repeats the steps that fail.

    Parameters
    ----------
    step_by_part : Mapping
        Functions that take the view, by the names of the failing parts.
    """

    def __init__(
        self,
        step_by_part: Mapping[str, Callable[[View], None]],
        failures: FailureLog,
    ):
        self._steps = [
            contain(part, step, failures) for part, step in step_by_part.items()
        ]
        self._view = View()
        self._pending: list[Callable[[View], bool]] = []
        self._delay = MIN_RETRY_VIEW_S
        self._retry_at = 0.0

    def apply(self, view: View, now: float) -> None:
        """Apply `view` in place of the one before."""
        self._view = view
        self._pending = self._steps
        self._delay = MIN_RETRY_VIEW_S
        self._run(now)

    def retry(self, now: float) -> None:
        """Repeat the steps that have failed, if their delay is over."""
        if self._pending and now >= self._retry_at:
            self._delay = min(2 * self._delay, MAX_RETRY_VIEW_S)
            self._run(now)

    def _run(self, now: float) -> None:
        self._pending = [step for step in self._pending if not step(self._view)]
        self._retry_at = now + self._delay


async def run_process(
    settings: Settings,
    blackboard: Blackboard,
    metrics: Metrics,
    failures: FailureLog,
    parts: ProcessParts,
    logger: Logger,
) -> int:
    """Run the process until a signal stops it.

    A failure of one part is recorded in `failures` and doesn't end the
    process, unless the part can't bind its address at the start.

    Returns
    -------
    int
        Exit code: 0 if no work was interrupted, else 1.
    """
    stop_requests = _install_signal_handlers()
    generator = Random(SystemRandom().getrandbits(64))
    _record_callback_failures(failures)
    follower = create_task(
        follow_configuration(settings, blackboard, generator, failures)
    )
    ticker = create_task(_tick_forever(parts, failures))
    log_event(logger, INFO, "started", host=settings.host_id, zone=settings.zone)
    try:
        describe = partial(_describe, blackboard, parts)
        async with serve_operations(settings.operators, metrics, describe):
            await _wait_for_stop(stop_requests[0], follower, ticker)
            blackboard.stopping.write(True)
            return await stop_process(
                settings, parts, stop_requests[1], failures, logger
            )
    finally:
        for task in (follower, ticker):
            task.cancel()


def _describe(blackboard: Blackboard, parts: ProcessParts) -> dict[str, object]:
    return {
        **parts.describe(),
        "stopping": blackboard.stopping.value,
        "lost_log_lines": count_lost_lines(),
    }


def _install_signal_handlers() -> tuple[Event, Event]:
    """Return events that the first and the second stop signal set."""
    events = (Event(), Event())

    def handle_signal():
        (events[1] if events[0].is_set() else events[0]).set()

    loop = get_running_loop()
    for signal_number in (SIGTERM, SIGINT):
        loop.add_signal_handler(signal_number, handle_signal)
    return events


async def _wait_for_stop(stop: Event, *tasks) -> None:
    """Wait for `stop`; raise the error of a background task that fails."""
    while not stop.is_set():
        for task in tasks:
            if task.done():
                await task
        try:
            await wait_for_async(stop.wait(), timeout=1.0)
        except TimeoutError:
            continue


def _record_callback_failures(failures: FailureLog) -> None:
    """Record exceptions of callbacks, such as those that receive datagrams."""
    report_callback_errors(
        lambda error: failures.record("callback", error, monotonic())
    )


async def _tick_forever(parts: ProcessParts, failures: FailureLog) -> None:
    tick = contain("tick", parts.tick, failures)
    while True:
        await sleep(IDLE_TICK_S if parts.is_idle() else TICK_S)
        tick(monotonic())


async def stop_process(
    settings: Settings,
    parts: ProcessParts,
    stop_at_once: Event,
    failures: FailureLog,
    logger: Logger,
) -> int:
    """Finish pending work within the grace period; return the exit code."""
    started_at = monotonic()
    contain("stop", parts.begin_stop, failures)(started_at)
    log_event(logger, INFO, "stopping", grace_s=settings.grace)
    while not stop_at_once.is_set() and monotonic() - started_at < settings.grace:
        if not parts.count_pending_work(monotonic()):
            log_event(logger, INFO, "stopped", cut=0)
            return EXIT_OK
        try:
            await sleep(STOP_POLL_S)
        except CancelledError:
            break
    cut = parts.count_pending_work(monotonic())
    log_event(logger, WARNING if cut else INFO, "stopped", cut=cut)
    return EXIT_WORK_INTERRUPTED if cut else EXIT_OK
