from asyncio import (
    FIRST_COMPLETED,
    CancelledError,
    Event,
    create_task,
    get_running_loop,
    sleep,
    wait,
)
from asyncio import timeout as time_limit

import pytest

from lycheeglade import supervision
from lycheeglade.connection_daemon import (
    LOG_LINES_PER_S,
    EventLog,
    log_callback_failures,
)
from lycheeglade.supervision import contain, keep_running, open_when_free


class LogProbe(list):
    def __call__(self, event, **fields):
        self.append((event, fields.get("cause"), fields.get("reason")))


@pytest.mark.parametrize("error", [ValueError("odd"), MemoryError(), RecursionError()])
def test_step_that_fails_is_logged_and_run_again(error):
    log = LogProbe()
    calls = []

    def step(now):
        calls.append(now)
        raise error

    contained = contain(step, "connections", log)
    contained(1.0)
    contained(2.0)
    assert calls == [1.0, 2.0]
    assert log == [("part-failed", "connections", repr(error))] * 2


@pytest.mark.parametrize("failing", ["log", "linecache"])
def test_failure_that_cannot_be_logged_ends_no_process(monkeypatch, failing):
    """If memory is used up, its log line needs more than there is."""

    def fail(*arguments, **fields):
        raise MemoryError

    log = fail if failing == "log" else LogProbe()
    with monkeypatch.context() as patches:
        if failing == "linecache":
            patches.setattr("linecache.checkcache", fail)
        contain(lambda now: fail(), "connections", log)(1.0)


async def test_work_whose_failure_cannot_be_logged_runs_again():
    runs = []
    done = Event()

    def fail(event, **fields):
        raise MemoryError

    async def work():
        runs.append(len(runs))
        if len(runs) == 3:
            done.set()
            await sleep(60)
        raise OSError("in use")

    task = create_task(keep_running(work, "metrics", fail))
    async with time_limit(5):
        await wait([task, create_task(done.wait())], return_when=FIRST_COMPLETED)
    assert not task.done()
    task.cancel()


async def test_work_that_fails_runs_again_and_is_logged_once():
    log = LogProbe()
    runs = []
    done = Event()

    async def work():
        runs.append(len(runs))
        if len(runs) == 3:
            done.set()
            await sleep(60)
        raise OSError("in use")

    task = create_task(keep_running(work, "metrics", log))
    async with time_limit(5):
        await done.wait()
    task.cancel()
    with pytest.raises(CancelledError):
        await task
    assert log == [("part-failed", "metrics", "OSError('in use')")]


async def test_pauses_of_work_that_fails_grow_up_to_a_limit(monkeypatch):
    pauses = []

    async def record_pause(seconds):
        pauses.append(seconds)
        if len(pauses) == 8:
            raise CancelledError

    async def work():
        raise OSError

    monkeypatch.setattr(supervision, "sleep", record_pause)
    with pytest.raises(CancelledError):
        await keep_running(work, "views", LogProbe())
    assert pauses == [0.05, 0.1, 0.2, 0.4, 0.5, 0.5, 0.5, 0.5]


async def test_stop_ends_the_wait_for_a_resource():
    stop = Event()
    attempts = []

    def fail():
        attempts.append(stop.is_set())
        if len(attempts) == 2:
            stop.set()
        raise OSError("in use")

    log = LogProbe()
    async with time_limit(5):
        assert await open_when_free(fail, "sockets", stop, log) is None
    assert attempts == [False, False]
    assert log == [("part-failed", "sockets", "OSError('in use')")]


async def test_error_of_a_callback_is_counted_and_bounded(caplog):
    """Each datagram could cause a traceback that nobody counted."""
    caplog.set_level("INFO", logger="lycheeglade")
    log = EventLog()
    loop = get_running_loop()
    log_callback_failures(log)

    def fail():
        raise ValueError("odd")

    for _ in range(2 * LOG_LINES_PER_S):
        loop.call_soon(fail)
    await sleep(0.05)
    total = 2 * LOG_LINES_PER_S
    assert f'event="part-failed",cause="callback"}} {total}' in log.format()
    assert len(caplog.records) <= 2 * LOG_LINES_PER_S
    assert caplog.records[0].event_fields["reason"] == "ValueError('odd')"
