from asyncio import CancelledError, create_task, sleep, start_server, timeout, wait
from contextlib import suppress
from random import Random

import pytest

from catalog import CONFIGURATION_KEY, Catalog
from lycheeglade.address import Address
from store import (
    MAX_ANSWER_BYTES,
    AnswerTooLargeError,
    HistoryGoneError,
    StoreClient,
    StoreError,
    WireEvents,
)
from store_era import EraReader
from store_reader import follow_store
from tests.store_stand_in import StoreStandIn
from tests.test_catalog import ROUTE, TARGET


def ignore_event(event, **fields):
    pass


# Covers the whole start, up to the wait for the first watch, on loopback.
MAX_LOOP_STEPS = 120
STOP_GRACE_S = 0.5
# Failures until a pause that doubles with each is too large for a float.
MANY_FAILURES = 1100


@pytest.fixture
async def store():
    stand_in = StoreStandIn()
    stand_in.address = Address(*await stand_in.start())
    stand_in.put(CONFIGURATION_KEY, {"version": 3, "routes": [ROUTE]})
    for number in range(5):
        stand_in.put(f"servers/i-{number}", TARGET)
    yield stand_in
    stand_in.stop()


@pytest.fixture
async def follower(store):
    views = []
    catalog = Catalog({"nadi-a": "viti-west"}, 7720, ignore_event)
    client = StoreClient(lambda: store.address, EraReader(ignore_event))
    task = create_task(
        follow_store(client, catalog, views.append, Random(1), ignore_event)
    )
    yield views
    task.cancel()
    client.close()


async def wait_until(condition):
    async with timeout(5):
        while not condition():
            await sleep(0.01)


def target_count(view):
    return sum(map(len, view.targets_by_service.values()))


async def test_all_pages_are_read(store, follower):
    await wait_until(lambda: follower)
    assert target_count(follower[0]) == 5
    assert follower[0].configuration == 3
    assert follower[0].revision == store.revision


async def test_changes_arrive_by_one_watch(store, follower):
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    store.put("servers/i-9", TARGET)
    store.delete("servers/i-0")
    await wait_until(lambda: follower[-1].revision == store.revision)
    assert "i-9" in follower[-1].targets_by_service["s1"]
    assert "i-0" not in follower[-1].targets_by_service["s1"]


async def test_all_is_read_again_after_the_history_is_gone(store, follower):
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    del store.items_by_key["servers/i-0"]
    store.compact_history()
    await wait_until(lambda: target_count(follower[-1]) == 4)


async def test_history_that_is_gone_as_a_wait_ends_is_not_passed_over(store):
    """The stand-in answered such a watch as if nothing had been dropped."""
    watch = create_task(store._watch(store.revision, 0))
    await sleep(0)
    store.compact_history()
    with pytest.raises(EOFError):
        await watch


async def test_changes_that_are_too_large_for_an_answer_are_read_in_pages(
    store, follower, monkeypatch
):
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    monkeypatch.setattr("store.MAX_ANSWER_BYTES", 1500)
    store.put("servers/i-7", TARGET)
    for _ in range(20):
        store.put("servers/i-8", TARGET)
    await wait_until(lambda: target_count(follower[-1]) == 7)
    assert follower[-1].revision == store.revision


async def test_store_that_refuses_is_asked_again(store, follower):
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    store.status = 503
    store.put("servers/i-7", TARGET)
    await wait_until(lambda: store.calls.count("/kv-watch") > 3)
    store.status = 200
    store.put("servers/i-8", TARGET)
    await wait_until(lambda: target_count(follower[-1]) == 7)


async def test_store_that_is_down_for_long_is_followed_again(
    store, follower, monkeypatch
):
    """The pause overflowed after 1024 failures, in 3 minutes of the start."""

    async def skip_pause(seconds):
        await sleep(0)

    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    monkeypatch.setattr("store_reader.sleep", skip_pause)
    store.status = 503
    store.put("servers/i-7", TARGET)
    await wait_until(lambda: store.calls.count("/kv-watch") > MANY_FAILURES)
    monkeypatch.undo()
    store.status = 200
    await wait_until(lambda: target_count(follower[-1]) == 6)


async def test_store_that_is_down_is_an_error(store):
    client = StoreClient(lambda: store.address, EraReader(ignore_event))
    store.status = 410
    with pytest.raises(HistoryGoneError):
        await client.get("/kv-watch?after=1&wait-ms=1&prefix=", WireEvents, 1.0)
    store.status = 429
    with pytest.raises(StoreError, match="429"):
        await client.get("/kv-watch?after=1&wait-ms=1&prefix=", WireEvents, 1.0)
    client.close()
    store.stop()
    with pytest.raises(StoreError):
        await client.get("/kv-watch?after=1&wait-ms=1&prefix=", WireEvents, 1.0)


async def test_answer_that_does_not_come_is_an_error(store):
    client = StoreClient(lambda: store.address, EraReader(ignore_event))
    path = f"/kv-watch?after={store.revision}&wait-ms=5000&prefix="
    with pytest.raises(StoreError):
        await client.get(path, WireEvents, 0.1)


async def test_answer_without_an_end_is_given_up(store):
    """The process would exceed its memory before the call times out."""
    chunk = b"10000\r\n" + bytes(1 << 16) + b"\r\n"
    sent = 0

    async def send_endlessly(reader, writer):
        nonlocal sent
        writer.write(b"HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n")
        with suppress(OSError):
            while True:
                writer.write(chunk)
                await writer.drain()
                sent += len(chunk)

    server = await start_server(send_endlessly, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    client = StoreClient(lambda: address, EraReader(ignore_event))
    with pytest.raises(AnswerTooLargeError):
        await client.get("/kv-range?prefix=", WireEvents, 1.0)
    server.close()
    # The buffers of the kernel are full as well.
    assert sent < 4 * MAX_ANSWER_BYTES


async def test_changes_that_exceed_an_answer_are_read_as_a_whole(store, follower):
    """The answer to the watch would exceed the bound at each repetition."""
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    store.status = 503
    largest = {"routes": [ROUTE], "note": "x" * (MAX_ANSWER_BYTES // 4)}
    for version in range(4, 9):
        store.put(CONFIGURATION_KEY, {"version": version, **largest})
    store.put("servers/i-9", TARGET)
    store.status = 200
    await wait_until(lambda: follower[-1].configuration == 8)
    assert "i-9" in follower[-1].targets_by_service["s1"]


async def test_follower_that_is_cancelled_at_any_await_ends_in_the_grace_time(store):
    """A balancer stops by cancelling its tasks, wherever they wait."""
    for steps in range(MAX_LOOP_STEPS):
        log = []
        client = StoreClient(lambda: store.address, EraReader(ignore_event))
        catalog = Catalog({"nadi-a": "viti-west"}, 7720, ignore_event)
        task = create_task(
            follow_store(
                client,
                catalog,
                lambda view: None,
                Random(1),
                lambda event, log=log, **fields: log.append(event),
            )
        )
        for _ in range(steps):
            await sleep(0)
        task.cancel()
        done, _ = await wait([task], timeout=STOP_GRACE_S)
        assert done, f"still runs after a cancellation at step {steps}"
        with pytest.raises(CancelledError):
            task.result()
        client.close()
        assert log == []


async def test_change_as_a_watch_of_the_stand_in_ends_is_in_its_answer(store):
    for wait_ms in (0, 1):
        after = store.revision
        watch = create_task(store._watch(after, wait_ms))
        await sleep(0)
        store.put("servers/i-8", TARGET)
        _, answer = await watch
        revisions = [event["revision"] for event in answer["events"]]
        assert (answer["current-rev"] == after) == (revisions == [])
