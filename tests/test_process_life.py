"""Disturbances of a process that carries connections, start to end."""

import os
import sys
from asyncio import create_subprocess_exec, open_connection, sleep
from asyncio import timeout as time_limit
from asyncio.subprocess import DEVNULL, PIPE
from contextlib import suppress
from pathlib import Path
from resource import RLIMIT_AS, RLIMIT_NOFILE, prlimit
from signal import SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGUSR2
from socket import AF_INET, SO_REUSEADDR, SOCK_DGRAM, SOCK_STREAM, SOL_SOCKET, socket

import pytest

from catalog import CONFIGURATION_KEY
from demo.cluster import reserve_network_for_process
from lycheeglade.address import Address
from lycheeglade.connection_agent_daemon import EXIT_REPORT_PAUSES_S
from tests.platform_process import (
    DATAGRAM_PORT,
    INTERNAL_PORT,
    OUTBOUND_PORT,
    PATH_VARIABLE,
    READY_PORT,
    fetch,
    format_settings,
    is_ready,
)
from tests.store_stand_in import StoreStandIn

MAIN = Path(__file__).parent.parent / "platform" / "main.py"
NETWORK = reserve_network_for_process()
STORE_IP, PROCESS_IP = f"127.{NETWORK}.9.1", f"127.{NETWORK}.9.2"
METRICS_PORT = 9464
ROLES = ("balancer", "agent")
# Modules in the order of their import: the first ones, some in between, and
# one that only a role imports when it runs.
MOMENTS = (
    ("balancer", "gc"),
    ("balancer", "signal"),
    ("balancer", "asyncio"),
    ("balancer", "deployed_settings"),
    ("balancer", "store_reader"),
    ("agent", "gc"),
    ("agent", "signal"),
    ("agent", "asyncio"),
    ("agent", "deployed_settings"),
    ("agent", "lycheeglade.connection_agent_daemon"),
)
HELD = (
    ("balancer", "metrics", SOCK_STREAM, METRICS_PORT),
    ("balancer", "readiness", SOCK_STREAM, READY_PORT),
    ("balancer", "views", SOCK_STREAM, INTERNAL_PORT),
    ("balancer", "sockets", SOCK_DGRAM, INTERNAL_PORT),
    ("balancer", "sockets", SOCK_DGRAM, DATAGRAM_PORT),
    ("agent", "metrics", SOCK_STREAM, METRICS_PORT),
    ("agent", "readiness", SOCK_STREAM, READY_PORT),
    ("agent", "sockets", SOCK_DGRAM, INTERNAL_PORT),
    ("agent", "sockets", SOCK_DGRAM, OUTBOUND_PORT),
)
HELD_S = 1.5
STARTED_S = 20.0
MAX_FILES = 40
ROOM_BYTES = 1 << 20
MANY_ROUTES = 5000
# A stopping process has this time; the platform then kills it.
GRACE_S = 6.0
HANGUP_PAUSE_S = 0.005
STOP_PAUSE_S = 0.0005
# Not every repetition hits the end of the interpreter.
STOPS = 4
# Runs the program in its arguments with a report of the exit that fails.
FAILING_EXIT_REPORT = """
import runpy, sys
from os.path import dirname
from lycheeglade import connection_load

def fail(agent, now):
    raise ValueError("sabotage")

connection_load.announce_exit = fail
del sys.argv[0]
sys.path.insert(0, dirname(sys.argv[0]))
runpy.run_path(sys.argv[0], run_name="__main__")
"""


def put_routes(store, version, count):
    route = {"host": "198.18.0.1", "type": "safe", "service": "s1"}
    routes = [{**route, "prefix": f"/{443 + number}/"} for number in range(count)]
    store.put(CONFIGURATION_KEY, {"version": version, "routes": routes})


@pytest.fixture
async def start(tmp_path):
    """Return a function that starts a process beside a store."""
    store = StoreStandIn()
    address = Address(*await store.start(STORE_IP))
    put_routes(store, 1, 1)
    started = []

    async def start_process(role, *options, **streams):
        path = tmp_path / f"{role}.conf"
        path.write_text(format_settings(role, role, PROCESS_IP, address, "s1"))
        process = await create_subprocess_exec(
            sys.executable,
            *options,
            str(MAIN),
            role,
            env={PATH_VARIABLE: str(path)},
            **{"stdout": DEVNULL, **streams},
        )
        started.append(process)
        return process

    start_process.store = store
    yield start_process
    for process in started:
        if process.returncode is None:
            process.kill()
        await process.wait()
    store.stop()
    # The event loop closes the sockets in its next iteration.
    await sleep(0)


async def wait_ready(process):
    async with time_limit(STARTED_S):
        while not await is_ready(PROCESS_IP):
            assert process.returncode is None
            await sleep(0.02)


async def wait_imported(process, module):
    """Wait until a process that reports its imports has loaded `module`."""
    async with time_limit(STARTED_S):
        while line := await process.stderr.readline():
            if line.rpartition(b"|")[2].strip() == module.encode():
                return
    raise AssertionError(f"{module} was not imported")


async def stop(process):
    process.send_signal(SIGTERM)
    async with time_limit(GRACE_S):
        return await process.wait()


def hold(kind, port):
    """Return a socket that holds an address of the process."""
    holder = socket(AF_INET, kind)
    # Connections of an earlier process may not have ended.
    holder.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
    holder.bind((PROCESS_IP, port))
    if kind == SOCK_STREAM:
        holder.listen()
    return holder


@pytest.mark.parametrize(("role", "module"), MOMENTS)
async def test_hangup_during_the_start_ends_no_process(start, role, module):
    process = await start(role, "-X", "importtime", stderr=PIPE)
    await wait_imported(process, module)
    process.send_signal(SIGHUP)
    process.stderr.feed_eof()
    await wait_ready(process)


@pytest.mark.parametrize(("role", "module"), MOMENTS)
async def test_stop_during_the_start_is_no_failure(start, role, module):
    process = await start(role, "-X", "importtime", stderr=PIPE)
    await wait_imported(process, module)
    process.stderr.feed_eof()
    assert await stop(process) == 0


@pytest.mark.parametrize(("role", "module"), MOMENTS)
async def test_interrupt_during_the_start_is_no_failure(start, role, module):
    """As in a process that runs; it ended with the signal and a traceback."""
    process = await start(role, "-X", "importtime", stderr=PIPE)
    await wait_imported(process, module)
    process.send_signal(SIGINT)
    process.stderr.feed_eof()
    async with time_limit(GRACE_S):
        assert await process.wait() == 0


@pytest.mark.parametrize("number", [SIGUSR1, SIGUSR2])
@pytest.mark.parametrize("role", ROLES)
async def test_signals_without_a_meaning_end_no_process(start, role, number):
    process = await start(role, "-X", "importtime", stderr=PIPE)
    await wait_imported(process, "gc")
    process.send_signal(number)
    process.stderr.feed_eof()
    await wait_ready(process)
    process.send_signal(number)
    assert await stop(process) == 0


@pytest.mark.parametrize("role", ROLES)
async def test_hangup_during_the_stop_is_no_failure(start, role):
    """The last ones arrive after the event loop has been closed."""
    process = await start(role)
    await wait_ready(process)
    process.send_signal(SIGTERM)
    async with time_limit(GRACE_S):
        while process.returncode is None:
            # `send_signal` would take the exit code of a process that ended.
            with suppress(ProcessLookupError):
                os.kill(process.pid, SIGHUP)
            await sleep(HANGUP_PAUSE_S)
    assert process.returncode == 0


@pytest.mark.parametrize("role", ROLES)
async def test_repeated_stop_signals_are_no_failure(start, role):
    """The last ones arrive while the interpreter ends."""
    for _ in range(STOPS):
        process = await start(role)
        await wait_ready(process)
        async with time_limit(GRACE_S):
            while process.returncode is None:
                with suppress(ProcessLookupError):
                    os.kill(process.pid, SIGTERM)
                await sleep(STOP_PAUSE_S)
        assert process.returncode == 0


@pytest.mark.parametrize(("role", "part", "kind", "port"), HELD)
async def test_held_address_ends_no_process(start, role, part, kind, port):
    """As at a restart beside a predecessor that has not ended yet."""
    with hold(kind, port):
        process = await start(role, stdout=PIPE)
        await sleep(HELD_S)
        assert process.returncode is None
    await wait_ready(process)
    async with time_limit(STARTED_S):
        while b"lycheeglade_events_total" not in (
            metrics := await fetch(PROCESS_IP, METRICS_PORT, "/metrics")
        ):
            await sleep(0.02)
    assert f'event="part-failed",cause="{part}"}} 1'.encode() in metrics


@pytest.mark.parametrize("role", ROLES)
async def test_process_that_waits_for_its_address_can_be_stopped(start, role):
    with hold(SOCK_DGRAM, INTERNAL_PORT):
        process = await start(role)
        await sleep(HELD_S)
        assert await stop(process) == 0


@pytest.mark.parametrize("role", ROLES)
async def test_metrics_address_that_is_held_keeps_no_process_from_serving(start, role):
    with hold(SOCK_STREAM, METRICS_PORT):
        process = await start(role)
        await wait_ready(process)
        assert await stop(process) == 0


@pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
@pytest.mark.parametrize("role", ROLES)
async def test_closed_standard_descriptors_end_no_process(start, role, closed):
    def close_descriptors():
        for descriptor in closed:
            os.close(descriptor)

    process = await start(role, preexec_fn=close_descriptors)
    await wait_ready(process)
    # None of its sockets has the number of a standard descriptor.
    links = [os.readlink(f"/proc/{process.pid}/fd/{number}") for number in closed]
    assert links == ["/dev/null"] * len(closed)
    assert await stop(process) == 0


@pytest.mark.parametrize("role", ROLES)
async def test_used_up_descriptors_end_no_process(start, role):
    """Connections on which no request arrives take all of them."""
    process = await start(role)
    await wait_ready(process)
    prlimit(process.pid, RLIMIT_NOFILE, (MAX_FILES, MAX_FILES))
    writers = []
    for _ in range(2 * MAX_FILES):
        _, writer = await open_connection(PROCESS_IP, READY_PORT)
        writers.append(writer)
    await sleep(HELD_S)
    assert process.returncode is None
    for writer in writers:
        writer.close()
    await wait_ready(process)
    assert await stop(process) == 0


async def test_used_up_memory_ends_no_balancer(start):
    """A configuration that doesn't fit in is read once there is room."""
    process = await start("balancer", stdout=PIPE)
    await wait_ready(process)
    status = Path(f"/proc/{process.pid}/status").read_text()
    size = int(status.partition("VmSize:")[2].split()[0]) * 1024
    _, hard = prlimit(process.pid, RLIMIT_AS)
    prlimit(process.pid, RLIMIT_AS, (size + ROOM_BYTES, hard))
    put_routes(start.store, 2, MANY_ROUTES)
    await sleep(HELD_S)
    assert process.returncode is None
    prlimit(process.pid, RLIMIT_AS, (hard, hard))
    async with time_limit(STARTED_S):
        while f"routes={MANY_ROUTES}".encode() not in await process.stdout.readline():
            pass


async def test_failing_report_of_the_exit_ends_no_agent_early(start):
    """The agent ended with exit code 1, and cut the requests that ran."""
    process = await start("agent", "-c", FAILING_EXIT_REPORT, stdout=PIPE)
    await wait_ready(process)
    process.send_signal(SIGTERM)
    async with time_limit(GRACE_S):
        output, _ = await process.communicate()
    log = output.decode()
    assert process.returncode == 0
    assert log.count(" event=part-failed cause=exit-report ") == len(
        EXIT_REPORT_PAUSES_S
    )
    assert log.count(" event=stopped ") == 1
    assert " event=ended " not in log
