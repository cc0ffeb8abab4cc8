from asyncio import Event, get_running_loop
from logging import getLogger
from types import SimpleNamespace

import pytest

from lycheeglade.daemon import (
    EXIT_OK,
    EXIT_WORK_INTERRUPTED,
    ProcessParts,
    stop_process,
)
from lycheeglade.failures import FailureLog
from lycheeglade.histograms import Metrics

GRACE_S = 1.0


def make_parts(count_pending_work):
    return ProcessParts(
        tick=lambda now: None,
        begin_stop=lambda now: None,
        count_pending_work=count_pending_work,
        describe=dict,
    )


async def stop(count_pending_work, caplog, *, second_signal=False):
    caplog.set_level("INFO", logger="lycheeglade")
    stop_at_once = Event()
    if second_signal:
        get_running_loop().call_later(GRACE_S / 5, stop_at_once.set)
    code = await stop_process(
        SimpleNamespace(grace=GRACE_S),
        make_parts(count_pending_work),
        stop_at_once,
        FailureLog(Metrics()),
        getLogger("lycheeglade.stop"),
    )
    return code, caplog.records[-1].event_fields


async def test_stop_waits_until_no_work_is_left(caplog):
    remaining_counts = iter([3, 2, 1, 0])
    code, fields = await stop(lambda now: next(remaining_counts), caplog)
    assert (code, fields) == (EXIT_OK, {"cut": 0})


@pytest.mark.parametrize("second_signal", [False, True])
async def test_grace_or_a_second_signal_ends_it_and_tells_what_was_cut(
    caplog, second_signal
):
    loop = get_running_loop()
    started_at = loop.time()
    code, fields = await stop(lambda now: 3, caplog, second_signal=second_signal)
    assert (code, fields) == (EXIT_WORK_INTERRUPTED, {"cut": 3})
    assert (loop.time() - started_at < GRACE_S) is second_signal
