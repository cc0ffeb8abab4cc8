from asyncio import CancelledError, Event, create_task, sleep, wait

import pytest

from lycheeglade import view_transfer
from lycheeglade.address import Address
from lycheeglade.route import RoutingView
from lycheeglade.view_transfer import fetch_view, serve_view
from tests.connections import make_target, make_view

PEER = Address("10.1.0.2", 7720)
# Covers a whole fetch on loopback.
MAX_LOOP_STEPS = 200
STOP_GRACE_S = 0.5


async def test_whole_view_passes_between_processes():
    view = make_view([make_target(number) for number in range(50)])
    server = await serve_view(Address("127.0.0.1", 0), lambda: view)
    address = Address(*server.sockets[0].getsockname()[:2])
    events = []
    assert await fetch_view(address, lambda event, **fields: None) == view
    server.close()
    await server.wait_closed()
    assert await fetch_view(address, lambda event, **_: events.append(event)) is None
    assert events == ["view-not-fetched"]


async def test_process_that_knows_nothing_gives_nothing():
    server = await serve_view(Address("127.0.0.1", 0), RoutingView)
    address = Address(*server.sockets[0].getsockname()[:2])
    assert await fetch_view(address, lambda event, **fields: None) is None
    server.close()


async def test_fetch_that_is_cancelled_as_it_ends_is_cancelled(monkeypatch):
    """A lost cancellation would keep a stopping process from ending.

    It occurs if the fetch completes in the same loop iteration as it is
    cancelled; the process then runs until it is killed.
    """
    arrived = Event()

    async def fetch(address):
        await arrived.wait()
        return make_view([])

    monkeypatch.setattr(view_transfer, "_fetch", fetch)
    task = create_task(fetch_view(PEER, lambda event, **fields: None))
    await sleep(0)
    await sleep(0)
    arrived.set()
    await sleep(0)
    task.cancel()
    with pytest.raises(CancelledError):
        await task


async def test_fetch_that_is_cancelled_at_any_await_ends_in_the_grace_time():
    view = make_view([make_target(number) for number in range(50)])
    server = await serve_view(Address("127.0.0.1", 0), lambda: view)
    address = Address(*server.sockets[0].getsockname()[:2])
    ended_by_itself = 0
    for steps in range(MAX_LOOP_STEPS):
        task = create_task(fetch_view(address, lambda event, **fields: None))
        for _ in range(steps):
            await sleep(0)
        is_cancelled = task.cancel()
        done, _ = await wait([task], timeout=STOP_GRACE_S)
        assert done, f"still runs after a cancellation at step {steps}"
        assert task.cancelled() is is_cancelled
        ended_by_itself += not is_cancelled
    server.close()
    assert 0 < ended_by_itself < MAX_LOOP_STEPS
