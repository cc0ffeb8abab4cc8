"""Memory and descriptors of a process that carries connections."""

import os
import sys
from asyncio import Event, create_subprocess_exec, sleep, start_server
from asyncio import timeout as time_limit
from asyncio.subprocess import DEVNULL
from collections import deque
from contextlib import suppress
from pathlib import Path
from resource import RLIMIT_NOFILE, prlimit
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket
from time import monotonic

import pytest

from catalog import CONFIGURATION_KEY
from demo.cluster import reserve_network_for_process
from lycheeglade.address import Address
from lycheeglade.connection_daemon import EventLog, ProcessSettings, open_sockets
from tests.platform_process import (
    PATH_VARIABLE,
    READY_PORT,
    format_settings,
    is_ready,
    read_peak_kb,
)
from tests.store_stand_in import StoreStandIn

MAIN = Path(__file__).parent.parent / "platform" / "main.py"
NETWORK = reserve_network_for_process()
STORE_IP, PROCESS_IP = f"127.{NETWORK}.9.1", f"127.{NETWORK}.9.2"
# The smallest limit of a deployment. A process that exceeds it is killed.
MEMORY_KB = 114 * 1024
STARTED_S = 20.0
ANSWER_S = 4.0
METRICS_PORT = 9464
MAX_FILES = 600
CONNECTIONS = 1000
DISTURBED_S = 4.0
CHUNK = bytes(1 << 16)
INTERNAL, EXTERNAL = Address(PROCESS_IP, 7720), Address(PROCESS_IP, 8172)
OPENING, DATA = bytes(34), bytes(1234)
OPENINGS, DATA_PACKETS, MAX_RECENT = 15_000, 5, 6000
MAX_GROWTH_KB = 40 * 1024
HEAD = b"HTTP/1.1 200 X\r\n"


def put_routes(store, version):
    route = {"host": "198.18.0.1", "prefix": "/443/", "type": "safe", "service": "s1"}
    store.put(CONFIGURATION_KEY, {"version": version, "routes": [route]})


async def wait_until(condition):
    async with time_limit(STARTED_S):
        while not await condition():
            await sleep(0.05)


async def is_ready_here():
    return await is_ready(PROCESS_IP)


@pytest.fixture
async def store():
    stand_in = StoreStandIn()
    stand_in.address = Address(*await stand_in.start(STORE_IP))
    put_routes(stand_in, 1)
    yield stand_in
    stand_in.stop()
    await sleep(0)


@pytest.fixture
async def start(store, tmp_path):
    """Return a function that starts a process and waits until it is ready."""
    started = []

    async def start_process(role, **options):
        path = tmp_path / f"{role}.conf"
        path.write_text(format_settings(role, role, PROCESS_IP, store.address, "s1"))
        process = await create_subprocess_exec(
            sys.executable,
            str(MAIN),
            role,
            env={PATH_VARIABLE: str(path)},
            stdout=DEVNULL,
            **options,
        )
        started.append(process)
        await wait_until(is_ready_here)
        return process

    yield start_process
    for process in started:
        if process.returncode is None:
            process.kill()
        await process.wait()


async def send_without_end(writer):
    writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    while True:
        writer.write(b"10000\r\n" + CHUNK + b"\r\n")
        await writer.drain()


async def send_huge(writer):
    writer.write(HEAD + b"Content-Length: 1000000000\r\n\r\n")
    while True:
        writer.write(CHUNK)
        await writer.drain()


async def send_many_items(writer):
    # The key is no valid UTF-8, so the items are decoded one by one.
    items = b",".join([b'{"key":"\xff"}'] * 10**6)
    body = b'{"events":[' + items + b'],"items":[],"current-rev":1}'
    writer.write(HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body)
    await writer.drain()


@pytest.mark.parametrize("send", [send_without_end, send_huge, send_many_items])
async def test_large_answers_of_the_store_do_not_use_up_the_memory(store, start, send):
    """The balancers were killed for it, and again after each restart."""

    async def answer(reader, writer):
        with suppress(OSError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            await send(writer)
        writer.close()

    process = await start("balancer")
    store.stop()
    # The next call opens a new connection.
    store.compact_history()
    server = await start_server(answer, *store.address)
    await sleep(DISTURBED_S)
    assert process.returncode is None
    assert 0 < read_peak_kb(process.pid) < MEMORY_KB
    server.close()
    await store.start(*store.address)
    calls = len(store.calls)
    put_routes(store, 2)
    await wait_until(lambda: has_followed(store, calls))


async def connect_to(port):
    """Open more connections than the process has descriptors."""
    sockets = []
    for _ in range(CONNECTIONS):
        client = socket(AF_INET, SOCK_STREAM)
        client.setblocking(False)
        client.connect_ex((PROCESS_IP, port))
        sockets.append(client)
        if len(sockets) % 50 == 0:
            await sleep(0.01)
    return sockets


@pytest.mark.parametrize("role", ["balancer", "agent"])
@pytest.mark.parametrize("port", [READY_PORT, METRICS_PORT])
async def test_silent_clients_do_not_take_all_descriptors(start, role, port):
    """The readiness was not answered until their connections timed out."""
    process = await start(role)
    prlimit(process.pid, RLIMIT_NOFILE, (MAX_FILES, MAX_FILES))
    clients = await connect_to(port)
    await sleep(1)
    async with time_limit(ANSWER_S):
        assert await is_ready_here()
    assert len(os.listdir(f"/proc/{process.pid}/fd")) < MAX_FILES
    for client in clients:
        client.close()
    await wait_until(is_ready_here)


@pytest.mark.parametrize("role", ["balancer", "agent"])
@pytest.mark.parametrize(
    "request_head",
    [
        b"POST /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n",
        b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n" * 1000,
        b"GET /ready HTTP/1.1\r\n" + b"a: b\r\n" * 1000,
    ],
    ids=["body", "pipelined", "headers"],
)
async def test_clients_that_only_send_do_not_use_up_the_memory(
    start, role, request_head
):
    """Each connection held what its client had sent and had not read."""
    process = await start(role)
    clients = await connect_to(READY_PORT)
    ends_at = monotonic() + DISTURBED_S
    data = request_head
    while monotonic() < ends_at:
        for client in clients:
            with suppress(OSError):
                client.send(data)
        data = CHUNK
        await sleep(0.05)
    assert process.returncode is None
    assert 0 < read_peak_kb(process.pid) < MEMORY_KB
    for client in clients:
        client.close()
    await wait_until(is_ready_here)


def read_memory_kb():
    """Return the resident memory of this process."""
    status = Path("/proc/self/status").read_text()
    fields = dict(line.split(":", 1) for line in status.splitlines())
    return int(fields["VmRSS"].split()[0])


async def test_kept_packets_do_not_keep_the_memory_around_them():
    """An opening is kept for a minute, the data of a search for seconds.

    The space of the data between two openings was too small for the buffer of
    another packet, so that a balancer grew by all data that it had got.
    """
    kept, recent = [], deque(maxlen=MAX_RECENT)

    def receive(datagram, source):
        (kept if len(datagram) == len(OPENING) else recent).append(datagram)

    sockets = await open_sockets(
        ProcessSettings("x", INTERNAL, EXTERNAL, EXTERNAL.port),
        receive,
        receive,
        Event(),
        EventLog(),
    )
    client = socket(AF_INET, SOCK_DGRAM)
    before_kb = read_memory_kb()
    for number in range(OPENINGS):
        client.sendto(OPENING, EXTERNAL)
        for _ in range(DATA_PACKETS):
            client.sendto(DATA, EXTERNAL)
        if number % 8 == 0:
            await sleep(0)
    grown_kb = read_memory_kb() - before_kb
    # Few are lost on the way.
    assert len(kept) > 0.9 * OPENINGS
    assert grown_kb < MAX_GROWTH_KB
    for each in sockets:
        each.close()
    client.close()


async def has_followed(store, calls):
    """Return whether a watch after the latest change waits."""
    after = f"after={store.revision}&"
    return any(after in target for target in store.targets[calls:])
