from asyncio import (
    CancelledError,
    Event,
    create_task,
    get_running_loop,
    sleep,
    start_server,
    timeout,
    wait,
)
from base64 import b64encode
from contextlib import suppress
from dataclasses import replace
from os import listdir
from random import Random
from socket import AF_INET, SO_RCVBUF, SOCK_STREAM, SOL_SOCKET, socket
from zlib import compress

import pytest
from msgspec import to_builtins
from msgspec.msgpack import encode

from lycheeglade import view_transfer
from lycheeglade.address import Address
from lycheeglade.bounded_server import MAX_CONNECTIONS
from lycheeglade.route import RoutingView
from lycheeglade.view_transfer import MAX_VIEW_BYTES, fetch_view, serve_view
from tests.connections import ROUTE, make_target, make_view

PEER = Address("10.1.0.2", 7720)
# Covers a whole fetch on loopback.
MAX_LOOP_STEPS = 200
STOP_GRACE_S = 0.5
CHUNK = bytes(1 << 16)
BLOCK_BYTES = 1 << 20
# What a sender may have handed over before its receiver reads it.
SOCKET_BUFFERS_BYTES = 16 << 20


def make_large_view():
    """Return a view that exceeds the buffers of the kernel if compressed."""
    generator = Random(1)
    service = b64encode(generator.randbytes(11 << 19)).decode()
    return replace(make_view([]), warmup_rates_by_service={service: 1.0})


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


async def connect_without_reading(address):
    client = socket(AF_INET, SOCK_STREAM)
    client.setsockopt(SOL_SOCKET, SO_RCVBUF, 4096)
    client.setblocking(False)
    await get_running_loop().sock_connect(client, address)
    return client


async def test_peers_that_do_not_read_are_given_up():
    """Each kept a descriptor and a copy of the view until it was gone."""
    view = make_large_view()
    server = await serve_view(Address("127.0.0.1", 0), lambda: view)
    address = Address(*server.sockets[0].getsockname()[:2])
    before = len(listdir("/proc/self/fd"))
    clients = [await connect_without_reading(address) for _ in range(20)]
    assert await fetch_view(address, lambda event, **fields: None) == view
    async with timeout(5):
        while len(listdir("/proc/self/fd")) > before + len(clients):
            await sleep(0.05)
    for client in clients:
        client.close()
    server.close()


async def test_peers_that_do_not_read_do_not_keep_others_out(monkeypatch):
    """Thousands of connections would take all descriptors and the memory."""
    # None of them is given up while the others connect.
    monkeypatch.setattr(view_transfer, "FETCH_TIMEOUT_S", 30.0)
    view = make_large_view()
    evictions = []
    server = await serve_view(
        Address("127.0.0.1", 0), lambda: view, lambda: evictions.append(None)
    )
    address = Address(*server.sockets[0].getsockname()[:2])
    before = len(listdir("/proc/self/fd"))
    clients = [
        await connect_without_reading(address) for _ in range(MAX_CONNECTIONS + 50)
    ]
    async with timeout(10):
        while len(evictions) < 50:
            await sleep(0.05)
    opened = len(listdir("/proc/self/fd")) - before
    assert opened <= len(clients) + MAX_CONNECTIONS
    assert await fetch_view(address, lambda event, **fields: None) == view
    for client in clients:
        client.close()
    server.close()


async def test_view_without_an_end_is_not_read():
    """The process would exceed its memory before the fetch times out."""
    sent = 0

    async def send_endlessly(reader, writer):
        nonlocal sent
        with suppress(OSError):
            while True:
                writer.write(CHUNK)
                await writer.drain()
                sent += len(CHUNK)

    server = await start_server(send_endlessly, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    reasons = []

    def log(event, peer, reason):
        reasons.append(reason)

    assert await fetch_view(address, log) is None
    server.close()
    assert "larger than" in reasons[0]
    # The buffers of the kernel are full as well.
    assert sent < 4 * MAX_VIEW_BYTES


async def fetch_from(content):
    """Return the view that a balancer which sends `content` gives."""

    async def send(reader, writer):
        writer.write(compress(encode(content)))
        writer.close()

    server = await start_server(send, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    view = await fetch_view(address, lambda event, **fields: None)
    server.close()
    return view


async def test_evacuated_zones_and_regions_pass_between_processes():
    route = replace(ROUTE, regions=("vanua",))
    view = replace(make_view([], [route]), evacuated_zones=("nadi-a", "suva-a"))
    assert await fetch_from(view) == view


async def test_view_of_an_earlier_build_is_understood():
    """It names no evacuated zones, no regions and no warmup."""
    view = make_view([make_target(1)])
    content = to_builtins(view, str_keys=False, builtin_types=())
    for name in ("evacuated_zones", "warmup_rates_by_service"):
        del content[name]
    for route in content["routes_by_address"].values():
        for name in ("aim", "priority", "regions"):
            del route[name]
    for targets in content["targets_by_service"].values():
        for target in targets.values():
            del target["warmup_left"]
    assert await fetch_from(content) == view


async def test_fields_of_a_later_build_are_ignored():
    """An earlier build receives the fields that this one has appended."""
    view = replace(make_view([make_target(1)]), evacuated_zones=("nadi-a",))
    content = to_builtins(view, str_keys=False, builtin_types=())
    content["later_field"] = {"a": 1}
    assert await fetch_from(content) == view


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


async def test_answer_without_an_end_uses_up_no_memory():
    """Another service may listen at the address of a former balancer."""
    sent_bytes = 0
    block = bytes(BLOCK_BYTES)

    async def send_endlessly(reader, writer):
        nonlocal sent_bytes
        with suppress(OSError):
            while True:
                writer.write(block)
                await writer.drain()
                sent_bytes += BLOCK_BYTES

    server = await start_server(send_endlessly, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    assert await fetch_view(address, lambda event, **fields: None) is None
    server.close()
    assert sent_bytes <= view_transfer.MAX_VIEW_BYTES + SOCKET_BUFFERS_BYTES
