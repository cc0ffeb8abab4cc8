"""Answers of the store that are odd as a whole, to a balancer's process."""

import sys
from asyncio import create_subprocess_exec, sleep, start_server
from asyncio import timeout as time_limit
from asyncio.subprocess import PIPE
from base64 import b64encode
from functools import partial
from json import dumps
from pathlib import Path
from signal import SIGTERM

import pytest

from catalog import CONFIGURATION_KEY
from demo.cluster import reserve_network_for_process
from lycheeglade.address import Address
from tests.platform_process import (
    PATH_VARIABLE,
    format_settings,
    is_ready,
    read_peak_kb,
)
from tests.test_catalog import ROUTE

MAIN = Path(__file__).parent.parent / "platform" / "main.py"
NETWORK = reserve_network_for_process()
STORE_IP, BALANCER_IP = f"127.{NETWORK}.10.1", f"127.{NETWORK}.10.2"
STARTED_S = 20.0
ODD_S = 4.0
# A balancer needs about 22 MB without any connections.
# Calls in ODD_S seconds, about as many as beside a store that refuses them.
MAX_CALLS = 40
# The same while a process without a view tries again sooner, 3 pages a time.
MAX_PAGED_CALLS = 120
MAX_MEMORY_KB = 100_000
CHUNK = b"%x\r\n%s\r\n" % (1 << 20, b" " * (1 << 20))


def format_answer(body, status=200, era=1):
    content = dumps(body).encode()
    head = f"HTTP/1.1 {status} X\r\n"
    if era is not None:
        head += f"Store-Era: {era}\r\n"
    head += f"Content-Length: {len(content)}\r\n\r\n"
    return head.encode() + content


def format_item(key, value, revision):
    content = b64encode(dumps(value).encode()).decode()
    return {"key": key, "value": content, "revision": revision}


class OddStore:
    """Store with a configuration, whose answers a test may replace.

    Attributes
    ----------
    version : int
        Version of the configuration, and its revision.
    era : int
        Era that the answers name, None for no era.
    answer : callable or None
        Coroutine function that writes the answer to a call, given its target
        and the stream; None for the usual answers.
    """

    def __init__(self):
        self.version = 1
        self.era = 1
        self.answer = None
        self.calls = 0

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.calls += 1
                target = head.split()[1].decode()
                await (self.answer or self.answer_usually)(target, writer)
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            writer.close()

    async def answer_usually(self, target, writer):
        value = {"version": self.version, "routes": [ROUTE]}
        item = format_item(CONFIGURATION_KEY, value, self.version)
        if target.startswith("/kv-range"):
            body = {"items": [item], "has-more": False}
        else:
            after = int(target.partition("&after=")[2].partition("&")[0])
            wait_s = int(target.rpartition("=")[2]) / 1000
            while self.version <= after and wait_s > 0:
                await sleep(0.02)
                wait_s -= 0.02
            body = {"events": [item] if self.version > after else []}
        body["current-rev"] = self.version
        writer.write(format_answer(body, era=self.era))


@pytest.fixture
async def store():
    odd_store = OddStore()
    server = await start_server(odd_store.serve, STORE_IP, 0)
    odd_store.address = Address(*server.sockets[0].getsockname()[:2])
    yield odd_store
    server.close()
    # The event loop closes the sockets in its next iteration.
    await sleep(0)


@pytest.fixture
async def start(store, tmp_path):
    """Return a function that starts the balancer, which must not end."""
    path = tmp_path / "balancer.conf"
    path.write_text(format_settings("b", "balancer", BALANCER_IP, store.address, "s1"))
    started = []

    async def start_balancer():
        process = await create_subprocess_exec(
            sys.executable,
            str(MAIN),
            "balancer",
            env={PATH_VARIABLE: str(path)},
            stdout=PIPE,
        )
        started.append(process)
        return process

    yield start_balancer
    for process in started:
        assert process.returncode is None
        process.send_signal(SIGTERM)
        assert await process.wait() == 0


async def wait_ready():
    async with time_limit(STARTED_S):
        while not await is_ready(BALANCER_IP):
            await sleep(0.02)


async def write_endlessly(target, writer):
    head = "HTTP/1.1 200 X\r\nStore-Era: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
    writer.write(head.encode())
    while True:
        writer.write(CHUNK)
        await writer.drain()


async def test_answer_without_an_end_uses_up_no_memory(store, start):
    """It was read whole until its time-out, up to 1.6 GB."""
    balancer = await start()
    await wait_ready()
    store.answer = write_endlessly
    await sleep(ODD_S)
    assert 0 < read_peak_kb(balancer.pid) < MAX_MEMORY_KB
    assert await is_ready(BALANCER_IP)


async def answer_without_a_wait(store, target, writer):
    target = target.partition("&wait-ms=")[0]
    await store.answer_usually(f"{target}&wait-ms=0", writer)


async def lack_history(store, target, writer):
    if target.startswith("/kv-range"):
        await store.answer_usually(target, writer)
    else:
        writer.write(format_answer({}, 410))


async def lack_everything(store, target, writer):
    writer.write(format_answer({}, 410))


async def begin_an_era(store, target, writer):
    store.era += 1
    body = {"items": [], "events": [], "current-rev": store.version}
    writer.write(format_answer(body, era=store.era))


async def omit_all_fields(store, target, writer):
    writer.write(format_answer({}, era=store.era))


async def count_from_zero(store, target, writer):
    item = format_item(CONFIGURATION_KEY, {"version": 1, "routes": [ROUTE]}, 0)
    body = {"items": [item], "events": [], "current-rev": 0}
    writer.write(format_answer(body, era=store.era))


@pytest.mark.parametrize(
    "answer",
    [answer_without_a_wait, lack_history, lack_everything, begin_an_era],
)
async def test_store_is_not_called_without_a_pause(store, start, answer):
    """Over 1,000 calls a second took the processor from the connections."""
    balancer = await start()
    await wait_ready()
    store.answer = partial(answer, store)
    await sleep(1.0)
    before = store.calls
    await sleep(ODD_S)
    assert store.calls - before <= MAX_CALLS
    store.answer = None
    store.version = 2
    async with time_limit(STARTED_S):
        while b"configuration=2" not in await balancer.stdout.readline():
            pass


async def answer_after_hints(store, target, writer):
    writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n")
    writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
    await store.answer_usually(target, writer)


async def test_answers_that_are_not_final_precede_the_final_one(store, start):
    """Each call failed, and the balancer never got routes."""
    store.answer = partial(answer_after_hints, store)
    balancer = await start()
    await wait_ready()
    store.version = 2
    async with time_limit(STARTED_S):
        while b"configuration=2" not in await balancer.stdout.readline():
            pass


async def return_to_the_first_page(store, target, writer):
    """Answer with the last items of two pages in turn."""
    key = "op/a" if target.endswith("op/b") else "op/b"
    item = format_item(key, {}, store.version)
    body = {"items": [item], "has-more": True, "current-rev": store.version}
    writer.write(format_answer(body))


async def test_pages_without_an_end_are_a_failure_of_the_store(store, start):
    """They were read forever, and the store was never taken for lost."""
    store.answer = partial(return_to_the_first_page, store)
    balancer = await start()
    async with time_limit(STARTED_S):
        while b"event=store-lost" not in await balancer.stdout.readline():
            pass
    before = store.calls
    await sleep(ODD_S)
    assert store.calls - before <= MAX_PAGED_CALLS
    store.answer = None
    await wait_ready()


@pytest.mark.parametrize("answer", [omit_all_fields, count_from_zero])
async def test_answer_without_a_revision_is_a_failure_of_the_store(
    store, start, answer
):
    """It counted as a store that was not read yet, which was read at once."""
    store.answer = partial(answer, store)
    store.era = None
    balancer = await start()
    async with time_limit(STARTED_S):
        while b"event=store-lost" not in await balancer.stdout.readline():
            pass
    before = store.calls
    await sleep(ODD_S)
    assert store.calls - before <= MAX_CALLS
    store.answer, store.era = None, 1
    await wait_ready()
