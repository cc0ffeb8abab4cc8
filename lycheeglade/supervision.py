"""Keeps a failure in one part of a process from ending the whole process.

A part that fails is logged and tried again. The state of the process outlives
the error: connections and views would be lost with it.
"""

from asyncio import AbstractEventLoop, Event, get_running_loop, sleep
from collections.abc import Awaitable, Callable, Mapping
from contextlib import suppress
from functools import partial
from time import monotonic
from typing import Any, TypeVar

Resource = TypeVar("Resource")
Log = Callable[..., None]

# Pauses between attempts of a part that fails again and again.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5


def find_place(error: BaseException) -> str:
    """Return the module and line that raised an error, such as ``a.py:3``.

    The module `traceback` would read the source files for it.
    """
    place = error.__traceback__
    if place is None:
        return "-"
    while place.tb_next is not None:
        place = place.tb_next
    module = place.tb_frame.f_code.co_filename.rpartition("/")[2]
    return f"{module}:{place.tb_lineno}"


def log_failure(name: str, error: Exception, log: Log) -> None:
    """Log why and where a part of the process has failed."""
    # Memory may be used up. The part is then tried again without a log line.
    with suppress(Exception):
        log("part-failed", cause=name, reason=repr(error), place=find_place(error))


def contain_errors(
    step: Callable[..., None], report: Callable[[Exception], None]
) -> Callable[..., bool]:
    """Return `step` with its errors passed to `report` instead of raised.

    The returned function returns whether the step succeeded.
    """

    def run_step(*arguments) -> bool:
        try:
            step(*arguments)
        except Exception as error:
            report(error)
            return False
        return True

    return run_step


def contain(
    step: Callable[[float], None], name: str, log: Log
) -> Callable[[float], bool]:
    """Return `step` with its errors logged as those of the part `name`."""
    return contain_errors(step, partial(log_failure, name, log=log))


def report_callback_errors(report: Callable[[Exception], None]) -> None:
    """Report errors of callbacks and forgotten tasks of the event loop.

    Its default handler writes a traceback for each, such as one a datagram.
    """

    def handle(loop: AbstractEventLoop, context: Mapping[str, Any]) -> None:
        report(context.get("exception") or RuntimeError(context["message"]))

    get_running_loop().set_exception_handler(handle)


async def keep_running(
    work: Callable[[], Awaitable[None]], name: str, log: Log
) -> None:
    """Run `work` until cancelled, and again after each of its failures.

    Equal failures in a row are logged once. The pauses between them grow up to
    `MAX_PAUSE_S`.
    """
    pause, previous = MIN_PAUSE_S, ""
    while True:
        started_at = monotonic()
        try:
            await work()
        except Exception as error:
            if monotonic() - started_at > MAX_PAUSE_S:
                pause, previous = MIN_PAUSE_S, ""
            if repr(error) != previous:
                log_failure(name, error, log)
            previous = repr(error)
        await sleep(pause)
        pause = min(2 * pause, MAX_PAUSE_S)


async def open_when_free(
    open_resource: Callable[[], Resource], name: str, stop: Event, log: Log
) -> Resource | None:
    """Open a resource of the host as soon as the host permits it.

    Its address may still be held by a process that is stopping, or the
    descriptors may be used up.

    Returns
    -------
    Resource or None
        None if `stop` was set before.
    """
    started_at = monotonic()
    previous = ""
    while not stop.is_set():
        try:
            resource = open_resource()
        except OSError as error:
            if repr(error) != previous:
                log_failure(name, error, log)
            previous = repr(error)
            await sleep(MIN_PAUSE_S)
            continue
        if previous:
            log("part-recovered", cause=name, after_s=monotonic() - started_at)
        return resource
    return None
