import os
from asyncio import create_task, open_connection, sleep
from asyncio import timeout as time_limit

import readiness
from demo.cluster import reserve_network_for_process
from lycheeglade.address import Address
from readiness import serve_handlers

NETWORK = reserve_network_for_process()
ADDRESS = Address(f"127.{NETWORK}.10.1", 8167)


async def test_connection_without_a_request_is_closed(monkeypatch):
    """Its descriptor could not be used for connections to the store."""
    monkeypatch.setattr(readiness, "IDLE_TIMEOUT_S", 0.2)
    server = create_task(serve_handlers(ADDRESS, {}))
    await sleep(0.05)
    reader, writer = await open_connection(*ADDRESS)
    async with time_limit(2):
        assert await reader.read() == b""
    writer.close()
    server.cancel()


async def test_answers_that_nobody_reads_are_discarded(monkeypatch):
    """The connection and its answers would stay until the peer has gone."""
    monkeypatch.setattr(readiness, "IDLE_TIMEOUT_S", 0.2)
    answer = "x" * (1 << 20)
    server = create_task(serve_handlers(ADDRESS, {"/": lambda: (200, answer)}))
    await sleep(0.05)
    descriptors = len(os.listdir("/proc/self/fd"))
    _, writer = await open_connection(*ADDRESS, limit=1)
    writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n" * 40)
    await sleep(0.1)
    assert len(os.listdir("/proc/self/fd")) == descriptors + 2
    async with time_limit(5):
        while len(os.listdir("/proc/self/fd")) != descriptors + 1:
            await sleep(0.05)
    writer.close()
    server.cancel()


async def test_request_that_never_ends_is_given_up(monkeypatch):
    """Each of its parts would start the time limit anew."""
    monkeypatch.setattr(readiness, "IDLE_TIMEOUT_S", 0.3)
    server = create_task(serve_handlers(ADDRESS, {}))
    await sleep(0.05)
    reader, writer = await open_connection(*ADDRESS)
    writer.write(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 99999\r\n\r\n")
    async with time_limit(2):
        while not reader.at_eof():
            writer.write(b"x")
            await sleep(0.05)
    writer.close()
    server.cancel()
