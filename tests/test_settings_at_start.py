"""Processes whose settings can't be used, or change at any moment."""

import sys
from asyncio import (
    DatagramProtocol,
    create_subprocess_exec,
    get_running_loop,
    sleep,
)
from asyncio import timeout as time_limit
from asyncio.subprocess import PIPE
from dataclasses import replace
from os import fsdecode, mkfifo
from pathlib import Path
from signal import SIGCONT, SIGSTOP, SIGTERM
from time import monotonic

import pytest

from lycheeglade.address import Address
from tests.platform_process import (
    INTERNAL_PORT,
    PATH_VARIABLE,
    format_settings,
    is_ready,
)
from tests.store_stand_in import StoreStandIn
from tests.test_connection_daemon import (
    ADDED_IP,
    AGENT_IP,
    BALANCER_IP,
    IP_BY_ROLE,
    ROOT,
    SEEDS_PERIOD_S,
    STORE_IP,
    make_key,
    put_routes,
    wait_for_route,
    wait_ready,
    wait_until,
)
from tests.test_connection_daemon import deployment as start_deployment

# The settings are read again several times within this time.
WAIT_S = 0.5
STOP_S = 0.5
PAUSED_S = 5.0
# Lines that use up memory and processor time at each read.
MANY_LINES = 1 << 20

deployment = start_deployment


async def start(role, *arguments, path=None):
    """Start a process whose settings are at `path`, whatever they are."""
    return await create_subprocess_exec(
        sys.executable,
        str(ROOT / "platform" / "main.py"),
        role,
        *arguments,
        env={} if path is None else {PATH_VARIABLE: str(path)},
        stdout=PIPE,
        stderr=PIPE,
    )


def make_settings(deployment, role, **fields):
    ip = IP_BY_ROLE[role]
    return format_settings(role, role, ip, deployment.address, "s1", **fields)


def find_events(output, event):
    key = f" event={event} "
    return [line for line in output.decode().splitlines() if key in line]


async def read_reason(process):
    """Return the line of a process that it begins to wait for settings."""
    async with time_limit(10):
        starting = (await process.stdout.readline()).decode()
        line = (await process.stdout.readline()).decode()
    assert " event=starting " in starting
    assert " event=settings-unreadable " in line
    return line


async def end(process):
    """End the process, and return what it has written to standard output."""
    if process.returncode is None:
        process.kill()
    output, _ = await process.communicate()
    return output


@pytest.mark.parametrize(
    ("role", "line"),
    [
        ("agent", "platform.address="),
        ("agent", "platform.address=10.0.0.1:99999"),
        ("agent", "zone="),
        ("agent", "seeds=edge-a:8166"),
        ("balancer", "listen.outbound=nowhere"),
        ("balancer", "app=10.1.0.13:many"),
    ],
)
async def test_process_starts_without_a_value_that_it_does_not_use(
    deployment, role, line
):
    """Each start ended with exit code 2."""
    ip = IP_BY_ROLE[role]
    process = await deployment.start(role, ip, more_settings=f"{line}\n")
    try:
        await wait_ready(ip)
    finally:
        await end(process)


async def test_balancer_starts_with_a_seed_that_cannot_be_used(deployment):
    """Each start ended with exit code 2."""
    seeds = "seeds=10.0.0.9:8166,edge-a:8166\n"
    process = await deployment.start("balancer", BALANCER_IP, PIPE, seeds)
    try:
        await wait_ready(BALANCER_IP)
    finally:
        output = await end(process)
    (line,) = find_events(output, "seed-ignored")
    assert "seed=edge-a:8166 reason=\"'edge-a' does not" in line


def cut_off(path, text):
    path.write_text(text[: len(text) // 2])


SPOIL_BY_NAME = {
    "empty": lambda path, text: path.write_text(""),
    "cut-off": cut_off,
    "not-utf-8": lambda path, text: path.write_bytes(text.encode() + b"a=\xff\n"),
    "missing": lambda path, text: None,
    "folder": lambda path, text: path.mkdir(),
    "below-a-file": lambda path, text: path.parent.write_text(text),
    "too-long": lambda path, text: path.write_text(text + "a=b\n" * MANY_LINES),
    "pipe": lambda path, text: mkfifo(path),
    "wrong-value": lambda path, text: path.write_text(f"{text}ip=nowhere\n"),
}


def remove(path):
    if path.parent.is_file():
        path.parent.unlink()
    elif path.is_dir():
        path.rmdir()
    elif path.is_fifo():
        path.unlink()
    path.parent.mkdir(exist_ok=True)


async def pause(process):
    """Stop a process until it gets SIGCONT."""
    process.send_signal(SIGSTOP)
    async with time_limit(PAUSED_S):
        while "State:\tT" not in Path(f"/proc/{process.pid}/status").read_text():
            await sleep(0.01)


@pytest.mark.parametrize("spoil", SPOIL_BY_NAME.values(), ids=SPOIL_BY_NAME)
@pytest.mark.parametrize("role", IP_BY_ROLE)
async def test_process_waits_for_settings_that_it_can_use(deployment, role, spoil):
    """It ended with exit code 2, and again at each restart."""
    path = deployment.folder / role / "boot.conf"
    text = make_settings(deployment, role)
    if spoil is not SPOIL_BY_NAME["below-a-file"]:
        path.parent.mkdir()
    spoil(path, text)
    process = await start(role, path=path)
    try:
        line = await read_reason(process)
        await sleep(WAIT_S)
        assert process.returncode is None
        assert not await is_ready(IP_BY_ROLE[role])
        # A folder can't be replaced by a file at once: the process might read
        # the path while it is absent, and rightly log that as well.
        await pause(process)
        remove(path)
        path.write_text(text)
        process.send_signal(SIGCONT)
        await wait_ready(IP_BY_ROLE[role])
    finally:
        output = await end(process)
    assert f" path={path} reason=" in line
    assert find_events(output, "settings-unreadable") == []
    assert len(find_events(output, "settings-regained")) == 1


@pytest.mark.parametrize("name", [b"\xff\xfe", b"x" * 5000], ids=["bytes", "long"])
async def test_process_waits_where_its_path_is_no_usual_text(tmp_path, name):
    """It ended as it logged a path that is not UTF-8."""
    process = await start("agent", path=fsdecode(bytes(tmp_path) + b"/" + name))
    try:
        line = await read_reason(process)
        await sleep(WAIT_S)
        assert process.returncode is None
    finally:
        output = await end(process)
    assert " reason=" in line
    assert find_events(output, "settings-unreadable") == []


@pytest.mark.parametrize("role", IP_BY_ROLE)
async def test_stop_ends_a_process_that_waits_for_its_settings(deployment, role):
    process = await start(role, path=deployment.folder / "missing.conf")
    try:
        await read_reason(process)
        process.send_signal(SIGTERM)
        stopped_at = monotonic()
        assert await process.wait() in (0, -SIGTERM)
        assert monotonic() - stopped_at < STOP_S
    finally:
        await end(process)


@pytest.mark.parametrize("role", IP_BY_ROLE)
async def test_missing_variable_and_bad_command_lines_are_usage_errors(tmp_path, role):
    """Time doesn't mend them, so the process must not wait."""
    path = tmp_path / "missing.conf"
    limits = tmp_path / "limits.ini"
    limits.write_text("[limits]\nbalancer_connections = many\n")
    for process in (
        await start(role),
        await start(role, "a", "b", path=path),
        await start(role + "s", path=path),
        await start(role, str(limits), path=path),
        await start(role, str(path), path=path),
    ):
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert errors


@pytest.mark.parametrize("value", ["listen.outbound", "app", "service"])
async def test_agent_waits_for_each_value_that_it_needs(deployment, value):
    """It ended with a traceback, or dropped or denied all packets forever."""
    path = deployment.folder / "boot.conf"
    text = make_settings(deployment, "agent")
    path.write_text(f"{text}{value}=\n")
    process = await start("agent", path=path)
    try:
        line = await read_reason(process)
        await sleep(WAIT_S)
        assert process.returncode is None
        assert not await is_ready(AGENT_IP)
        path.write_text(text)
        await wait_ready(AGENT_IP)
    finally:
        output = await end(process)
    assert f'reason="{value}: is missing or empty"' in line
    assert find_events(output, "settings-unreadable") == []


async def test_balancer_uses_targets_of_its_zone_if_the_list_of_zones_lacks_it(
    deployment,
):
    """It left them all out as unreadable, and refused all openings."""
    path = deployment.folder / "boot.conf"
    text = make_settings(deployment, "balancer")
    path.write_text(text.replace("zones.nadi-a=", "zones.elsewhere="))
    processes = [await start("balancer", path=path)]
    try:
        processes.append(await deployment.start("agent", AGENT_IP))
        await wait_ready(BALANCER_IP)
        await wait_ready(AGENT_IP)
        await wait_for_route(deployment, make_key(40031))
    finally:
        for process in processes:
            await end(process)


class Seed(DatagramProtocol):
    """Counts the datagrams of a balancer to one of its seeds."""

    def __init__(self):
        self.received = 0

    def datagram_received(self, data, addr):
        self.received += 1


@pytest.fixture
async def seed():
    transport, protocol = await get_running_loop().create_datagram_endpoint(
        Seed, local_addr=(ADDED_IP, INTERNAL_PORT)
    )
    yield protocol
    transport.close()
    await sleep(0)


async def test_balancer_that_runs_keeps_the_latest_seeds_that_it_could_read(
    deployment, seed
):
    """It fell back to the seeds of its start, of which none may be left."""
    path = deployment.folder / "boot.conf"
    path.write_text(make_settings(deployment, "balancer"))
    process = await start("balancer", path=path)
    try:
        await wait_ready(BALANCER_IP)
        assert not seed.received
        text = make_settings(deployment, "balancer", seeds=(ADDED_IP,))
        path.write_text(text)
        await wait_until(lambda: seed.received)
        for spoil in (cut_off, SPOIL_BY_NAME["empty"], SPOIL_BY_NAME["not-utf-8"]):
            spoil(path, text)
            await sleep(SEEDS_PERIOD_S)
            received = seed.received
            await wait_until(lambda: seed.received > received)  # noqa: B023
        path.unlink()
        await sleep(SEEDS_PERIOD_S)
        received = seed.received
        await wait_until(lambda: seed.received > received)
        mkfifo(path)
        await sleep(SEEDS_PERIOD_S)
        received = seed.received
        await wait_until(lambda: seed.received > received)
        assert process.returncode is None
    finally:
        await end(process)


async def test_seeds_are_read_again_beside_a_value_that_cannot_be_used(
    deployment, seed
):
    """Any wrong value made a balancer go on with the seeds of its start."""
    path = deployment.folder / "boot.conf"
    path.write_text(make_settings(deployment, "balancer"))
    process = await start("balancer", path=path)
    try:
        await wait_ready(BALANCER_IP)
        text = make_settings(deployment, "balancer", seeds=("edge-a", ADDED_IP))
        path.write_text(text + "listen.ready-addr=nowhere\n")
        await wait_until(lambda: seed.received)
        await sleep(SEEDS_PERIOD_S)
    finally:
        output = await end(process)
    assert len(find_events(output, "seed-ignored")) == 1


def refuse(store):
    store.status = 503


def fall_silent(store):
    store.status = None


LEAVE_BY_NAME = {
    "serves": lambda store: None,
    "refuses": refuse,
    "silent": fall_silent,
    "gone": lambda store: store.stop(),
}


@pytest.mark.parametrize("leave", LEAVE_BY_NAME.values(), ids=LEAVE_BY_NAME)
async def test_balancer_that_runs_follows_a_store_that_moves(deployment, leave):
    """It asked the address of its start until it was restarted."""
    path = deployment.folder / "boot.conf"
    path.write_text(make_settings(deployment, "balancer"))
    processes = [await start("balancer", path=path)]
    moved = StoreStandIn()
    moved.restore(deployment.store.copy())
    moved.era = deployment.store.era
    try:
        processes.append(await deployment.start("agent", AGENT_IP))
        await wait_ready(BALANCER_IP)
        await wait_ready(AGENT_IP)
        address = Address(*await moved.start(STORE_IP))
        there = replace(deployment, store=moved, address=address)
        leave(deployment.store)
        path.write_text("platform.address=nowhere\n")
        await sleep(SEEDS_PERIOD_S)
        assert not moved.calls
        path.write_text(make_settings(there, "balancer"))
        await wait_until(lambda: "/kv-watch" in moved.calls)
        put_routes(there, 2, 443, 444)
        await wait_for_route(there, make_key(40021, service_port=444))
    finally:
        output, *_ = [await end(process) for process in processes]
        moved.stop()
    (line,) = find_events(output, "store-moved")
    assert f" address={address} known={deployment.address}" in line
