"""Balancer and agent processes, with a fake caller, target and store."""

import sys
from asyncio import (
    DatagramProtocol,
    create_subprocess_exec,
    get_running_loop,
    sleep,
)
from asyncio import timeout as time_limit
from base64 import b64decode
from contextlib import suppress
from dataclasses import dataclass
from json import loads
from os import close, pipe, read, set_blocking, write
from pathlib import Path
from select import select
from signal import SIGHUP, SIGTERM
from time import monotonic

import pytest

from catalog import CONFIGURATION_KEY
from demo.cluster import reserve_network_for_process
from lycheeglade.address import Address
from lycheeglade.segment import ConnectionKey
from soak.packets import ACK, SYN, decode_segment, mark_returned, pack_segment
from tests.platform_process import (
    APP_PORT,
    DATAGRAM_PORT,
    OUTBOUND_PORT,
    PATH_VARIABLE,
    fetch,
    format_settings,
    is_ready,
)
from tests.store_stand_in import StoreStandIn

ROOT = Path(__file__).parent.parent
# Each test process on this machine uses its own addresses.
NETWORK = reserve_network_for_process()
STORE_IP, BALANCER_IP, AGENT_IP, CALLER_IP, ADDED_IP = (
    f"127.{NETWORK}.8.{n}" for n in (1, 2, 3, 4, 5)
)
METRICS_PORT = 9464
FULL_PIPE_S = 5.0
TARGET_SEQUENCE = 5000
# Times after which a balancer has read a change of the store, and its seeds.
ENTRY_SPREAD_S = 1.0
SEEDS_PERIOD_S = 1.5
IP_BY_ROLE = {"agent": AGENT_IP, "balancer": BALANCER_IP}


class Endpoint(DatagramProtocol):
    """A UDP socket that records the segments it receives."""

    def __init__(self):
        self.segments = []
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.segments.append(decode_segment(data))


class Target(Endpoint):
    """Accepts each connection and returns segments of unknown ones."""

    def __init__(self):
        super().__init__()
        self.open_keys = set()

    def datagram_received(self, data, addr):
        segment = decode_segment(data)
        self.segments.append(segment)
        key = segment.key_from_caller
        if segment.opens:
            self.open_keys.add(key)
            answer = pack_segment(SYN | ACK, key, TARGET_SEQUENCE, from_target=True)
            self._send(answer)
        elif key not in self.open_keys:
            self._send(mark_returned(data))
        elif segment.data_bytes:
            number = TARGET_SEQUENCE + 1
            self._send(
                pack_segment(ACK, key, number, content=b"answer", from_target=True)
            )

    def _send(self, datagram):
        self.transport.sendto(datagram, (AGENT_IP, OUTBOUND_PORT))


@dataclass
class Deployment:
    store: StoreStandIn
    caller: Endpoint
    target: Target
    folder: Path
    address: Address

    async def start(self, role, ip, stdout=None, more_settings="", seeds=()):
        path = self.folder / f"{ip}.conf"
        text = format_settings(role, role, ip, self.address, "s1", seeds=seeds)
        path.write_text(text + more_settings)
        return await create_subprocess_exec(
            sys.executable,
            str(ROOT / "platform" / "main.py"),
            role,
            env={PATH_VARIABLE: str(path)},
            stdout=stdout,
        )

    def send(self, key, flags, sequence, ack=0, content=b"", ip=BALANCER_IP):
        datagram = pack_segment(flags, key, sequence, ack, content)
        self.caller.transport.sendto(datagram, (ip, DATAGRAM_PORT))


async def wait_until(condition):
    async with time_limit(10):
        while not condition():
            await sleep(0.01)


async def wait_ready(ip):
    async with time_limit(10):
        while not await is_ready(ip):
            await sleep(0.02)


@pytest.fixture
async def deployment(tmp_path):
    store = StoreStandIn()
    ip, port = await store.start(STORE_IP)
    store.put(
        CONFIGURATION_KEY,
        {
            "version": 1,
            "routes": [
                {"host": "198.18.0.1", "prefix": "/443/", "type": "safe"}
                | {"service": "s1", "timeout-ms": 1500, "aim-ms": 100, "priority": 1}
            ],
        },
    )
    store.put(
        "servers/i-1",
        {"service": "s1", "address": f"{AGENT_IP}:{APP_PORT}", "zone": "nadi-a"}
        | {"capacity": 1, "state": "ready"},
    )
    loop = get_running_loop()
    _, caller = await loop.create_datagram_endpoint(
        Endpoint, local_addr=(CALLER_IP, DATAGRAM_PORT)
    )
    _, target = await loop.create_datagram_endpoint(
        Target, local_addr=(AGENT_IP, APP_PORT)
    )
    made = Deployment(store, caller, target, tmp_path, Address(ip, port))
    yield made
    caller.transport.close()
    target.transport.close()
    store.stop()
    # The event loop closes the sockets in its next iteration.
    await sleep(0)


@pytest.fixture
async def processes(deployment):
    started = {}
    try:
        for role, ip in IP_BY_ROLE.items():
            started[role] = await deployment.start(role, ip)
            await wait_ready(ip)
        yield started
    finally:
        for process in started.values():
            if process.returncode is None:
                process.kill()
            await process.wait()


def make_key(port, service_port=443):
    return ConnectionKey(Address(CALLER_IP, port), Address("198.18.0.1", service_port))


async def open_connection_from(deployment, key):
    count = len(deployment.caller.segments)
    deployment.send(key, SYN, 100)
    await wait_until(lambda: len(deployment.caller.segments) > count)
    answer = deployment.caller.segments[-1]
    assert answer.opens
    assert answer.key_from_target == key
    deployment.send(key, ACK, 101, TARGET_SEQUENCE + 1)


async def send_request(deployment, key, sequence):
    count = len(deployment.caller.segments)
    deployment.send(key, ACK, sequence, TARGET_SEQUENCE + 1, b"question")
    await wait_until(lambda: len(deployment.caller.segments) > count)
    return deployment.caller.segments[-1]


async def test_request_passes_both_ways(deployment, processes):
    key = make_key(40001)
    await open_connection_from(deployment, key)
    answer = await send_request(deployment, key, 101)
    assert answer.datagram.endswith(b"answer")
    assert answer.key_from_target == key
    metrics = await fetch(AGENT_IP, METRICS_PORT, "/metrics")
    assert b'event="started"' in metrics
    assert b" 404 " in await fetch(AGENT_IP, METRICS_PORT, "/other")


async def test_unknown_route_is_refused_at_once(deployment, processes):
    deployment.send(make_key(40002, service_port=9), SYN, 100)
    await wait_until(lambda: deployment.caller.segments)
    assert deployment.caller.segments[-1].resets
    assert deployment.target.segments == []


async def test_connection_survives_restarts_and_settings_that_change(
    deployment, processes
):
    key = make_key(40003)
    await open_connection_from(deployment, key)
    for process in processes.values():
        process.send_signal(SIGHUP)
    for role, ip in IP_BY_ROLE.items():
        processes[role].send_signal(SIGTERM)
        assert await processes[role].wait() == 0
        processes[role] = await deployment.start(role, ip)
        await wait_ready(ip)
    answer = await send_request(deployment, key, 101)
    assert answer.datagram.endswith(b"answer")


async def test_connection_that_its_target_lost_is_reset(deployment, processes):
    key = make_key(40004)
    await open_connection_from(deployment, key)
    await send_request(deployment, key, 101)
    deployment.target.open_keys.clear()
    answer = await send_request(deployment, key, 109)
    assert answer.resets
    assert answer.sequence == TARGET_SEQUENCE + 1


async def test_connection_that_was_never_answered_is_searched_before_its_reset(
    deployment, processes
):
    key = make_key(40005)
    await open_connection_from(deployment, key)
    await sleep(0.6)
    deployment.target.open_keys.clear()
    count = len(deployment.caller.segments)
    async with time_limit(5):
        while len(deployment.caller.segments) == count:
            deployment.send(key, ACK, 101, TARGET_SEQUENCE + 1, b"question")
            await sleep(0.2)
    assert deployment.caller.segments[-1].resets


async def test_cold_target_gets_no_more_openings_than_its_limit(deployment):
    """Nothing that the store and the settings say of it reached the agent."""
    route = {"host": "198.18.0.1", "prefix": "/443/", "type": "safe", "service": "s1"}
    deployment.store.put(
        CONFIGURATION_KEY,
        {"version": 2, "routes": [{**route, "timeout-ms": 1500}]}
        | {"services": [{"name": "s1", "warmup-per-s": 2}]},
    )
    deployment.store.put(
        "servers/i-1",
        {"service": "s1", "address": f"{AGENT_IP}:{APP_PORT}", "zone": "nadi-a"}
        | {"capacity": 1, "state": "ready", "born": 1, "warmup-left-ms": 30000},
    )
    started = []
    try:
        for role, ip in IP_BY_ROLE.items():
            bounds = "bounds.warmup-overage=1.5\nbounds.warmup-slack=1\n"
            started.append(await deployment.start(role, ip, more_settings=bounds))
            await wait_ready(ip)
        # The agent counts the second before its start as full.
        await sleep(1.2)
        for port in range(42000, 42030):
            deployment.send(make_key(port), SYN, 100)
        await sleep(0.7)
        opened = {s.key_from_caller for s in deployment.target.segments if s.opens}
        assert len(opened) == 4
    finally:
        for process in started:
            process.kill()
            await process.wait()


async def test_log_that_nobody_reads_holds_up_no_request(deployment):
    """The pipe of the log fills up, since its reader does nothing."""
    read_end, write_end = pipe()
    set_blocking(write_end, False)
    with suppress(BlockingIOError):
        while True:
            write(write_end, b"x" * 4096)
    started = {}
    try:
        for role, ip in IP_BY_ROLE.items():
            started[role] = await deployment.start(role, ip, stdout=write_end)
            await wait_ready(ip)
        begun_at = monotonic()
        port = 41000
        while monotonic() - begun_at < FULL_PIPE_S:
            port += 1
            key = make_key(port)
            async with time_limit(1):
                await open_connection_from(deployment, key)
                answer = await send_request(deployment, key, 101)
            assert answer.datagram.endswith(b"answer")
        assert all(process.returncode is None for process in started.values())
        assert port > 41100
        # Once the log is read again, it says what is missing.
        set_blocking(read_end, False)
        while read(read_end, 1 << 20):
            await sleep(0)
            if not select([read_end], [], [], 0)[0]:
                break
        await sleep(1.1)
        await open_connection_from(deployment, make_key(port + 1))
        await wait_until(lambda: select([read_end], [], [], 0)[0])
        assert b"event=log-bounded kind=placed left_out=" in read(read_end, 1 << 20)
    finally:
        for process in started.values():
            process.kill()
            await process.wait()
        close(read_end)
        close(write_end)


def put_routes(deployment, version, *ports):
    route = {"host": "198.18.0.1", "type": "safe", "service": "s1", "timeout-ms": 1500}
    routes = [{**route, "prefix": f"/{port}/"} for port in ports]
    deployment.store.put(CONFIGURATION_KEY, {"version": version, "routes": routes})


async def restart_balancer(deployment, processes):
    processes["balancer"].send_signal(SIGTERM)
    assert await processes["balancer"].wait() == 0
    processes["balancer"] = await deployment.start("balancer", BALANCER_IP)


async def retransmit_until_answered(deployment, key, ip=BALANCER_IP):
    """Return the first segment that the caller gets for its request."""
    count = len(deployment.caller.segments)
    async with time_limit(10):
        while len(deployment.caller.segments) == count:
            deployment.send(key, ACK, 101, TARGET_SEQUENCE + 1, b"question", ip)
            await sleep(0.05)
    return deployment.caller.segments[count]


async def test_restarted_balancer_resets_no_connection_of_a_route_it_lacks(
    deployment, processes
):
    """The copy that it read at its start was older than the route."""
    deployment.store.stale = deployment.store.copy()
    put_routes(deployment, 2, 443, 444)
    key = make_key(40006, service_port=444)
    await wait_for_route(deployment, key)
    await open_connection_from(deployment, key)
    await restart_balancer(deployment, processes)
    answer = await retransmit_until_answered(deployment, key)
    assert answer.datagram.endswith(b"answer")


async def wait_for_route(deployment, key):
    """Wait until the balancer accepts connections to a new address."""
    async with time_limit(5):
        while True:
            count = len(deployment.caller.segments)
            probe = key._replace(caller=key.caller._replace(port=key.caller.port + 50))
            deployment.send(probe, SYN, 100)
            await wait_until(lambda: len(deployment.caller.segments) > count)  # noqa: B023
            if deployment.caller.segments[-1].opens:
                return
            await sleep(0.05)


async def test_restarted_balancer_resets_no_connection_of_a_target_it_lacks(
    deployment, processes
):
    """The copy lacked the target's entry, and no watch was answered."""
    entry = deployment.store.items_by_key["servers/i-1"]
    deployment.store.delete("servers/i-1")
    deployment.store.stale = deployment.store.copy()
    deployment.store.put("servers/i-1", loads(b64decode(entry["value"])))
    key = make_key(40007)
    await open_connection_from(deployment, key)
    deployment.store.loses_watch_answers = True
    await restart_balancer(deployment, processes)
    await wait_ready(BALANCER_IP)
    count = len(deployment.caller.segments)
    ready_at = monotonic()
    while monotonic() - ready_at < 2.0:
        deployment.send(key, ACK, 101, TARGET_SEQUENCE + 1, b"question")
        await sleep(0.1)
    deployment.store.loses_watch_answers = False
    answer = await retransmit_until_answered(deployment, key)
    segments = deployment.caller.segments[count:]
    assert not any(segment.resets for segment in segments)
    assert answer.datagram.endswith(b"answer")


async def assert_added_balancer_finds(deployment, key):
    """Start another balancer, and expect an answer through it."""
    added = await deployment.start("balancer", ADDED_IP, seeds=(BALANCER_IP,))
    try:
        await wait_ready(ADDED_IP)
        answer = await retransmit_until_answered(deployment, key, ADDED_IP)
        assert answer.datagram.endswith(b"answer")
    finally:
        added.kill()
        await added.wait()


async def test_added_balancer_resets_no_connection_of_a_target_that_left_the_view(
    deployment, processes
):
    """A draining target goes on after its entry has been removed."""
    key = make_key(40008)
    await open_connection_from(deployment, key)
    # The second watch waits for changes, so that the deletion is seen at once.
    await wait_until(lambda: deployment.store.calls.count("/kv-watch") > 1)
    deployment.store.delete("servers/i-1")
    await sleep(0.1)
    await assert_added_balancer_finds(deployment, key)


async def test_added_balancer_finds_a_connection_of_a_former_service(
    deployment, processes
):
    """Neither balancer nor restarted agent knew of it, and it was reset."""
    key = make_key(40010)
    await open_connection_from(deployment, key)
    processes["agent"].send_signal(SIGTERM)
    assert await processes["agent"].wait() == 0
    processes["agent"] = await deployment.start("agent", AGENT_IP)
    route = {"host": "198.18.0.1", "prefix": "/443/", "type": "safe", "service": "s2"}
    deployment.store.put(CONFIGURATION_KEY, {"version": 3, "routes": [route]})
    await wait_ready(AGENT_IP)
    await sleep(ENTRY_SPREAD_S)
    await assert_added_balancer_finds(deployment, key)


async def test_nested_entry_of_another_writer_ends_no_balancer(deployment, processes):
    """It ended as it read the entry, and again after each restart."""
    deployment.store.put(
        "servers/tmp-7", b'{"tags":' + b"[" * 2000 + b"]" * 2000 + b"}"
    )
    await sleep(ENTRY_SPREAD_S)
    await open_connection_from(deployment, make_key(40011))
    processes["balancer"].send_signal(SIGTERM)
    assert await processes["balancer"].wait() == 0
    processes["balancer"] = await deployment.start("balancer", BALANCER_IP)
    await wait_ready(BALANCER_IP)
    await open_connection_from(deployment, make_key(40012))


async def test_settings_that_are_not_utf_8_end_no_balancer(deployment, processes):
    """It ended as it read its seeds again."""
    path = deployment.folder / f"{BALANCER_IP}.conf"
    path.write_bytes(path.read_bytes() + b"seeds=\xff\xfe\n")
    await sleep(SEEDS_PERIOD_S)
    await open_connection_from(deployment, make_key(40013))
    assert processes["balancer"].returncode is None
