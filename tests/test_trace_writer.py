from asyncio import Event, create_task, get_running_loop, sleep, start_server, wait_for
from json import loads
from os import pipe, read

import pytest

from lycheeglade import trace_writer
from lycheeglade.address import Address
from lycheeglade.trace_writer import (
    RETRY_DELAY_S,
    Stream,
    TraceWriter,
    open_socket,
    open_standard_output,
    parse_trace_target,
)

HEADER = b'{"kind":"recording"}\n'


class Network:
    """In-memory streams that fail on request, and recorded pauses."""

    def __init__(self):
        self.streams: list[list[bytes]] = []
        self.refusals_left = 0
        self.is_broken = False
        self.is_accepting = Event()
        self.is_accepting.set()
        self.slept: list[float] = []
        self.on_pause = lambda: None

    async def open(self):
        if self.refusals_left:
            self.refusals_left -= 1
            raise ConnectionRefusedError("connection refused by the test")
        taken = []
        self.streams.append(taken)

        async def send(data):
            await self.is_accepting.wait()
            if self.is_broken:
                self.is_broken = False
                raise ConnectionResetError("connection reset by the test")
            taken.append(data)

        return Stream(send, lambda: None)

    async def pause(self, seconds):
        self.slept.append(seconds)
        self.on_pause()
        await sleep(0)


def make_writer(network, **options):
    dropped = []
    writer = TraceWriter(network.open, dropped.append, pause=network.pause, **options)
    writer.start(HEADER)
    return writer, dropped


def split_lines(stream):
    return b"".join(stream).splitlines(keepends=True)


async def test_lines_wait_for_a_stream_and_come_in_order():
    network = Network()
    network.refusals_left = 3
    writer, dropped = make_writer(network)
    lines = [b"%d\n" % number for number in range(5)]
    for line in lines:
        writer.write(line, 1.0)
    writer.finish()
    await writer.run()
    assert split_lines(network.streams[0]) == [HEADER, *lines]
    assert network.slept == [RETRY_DELAY_S] * 3
    assert dropped == []


async def test_what_finds_no_room_is_counted_and_told_as_a_gap():
    network = Network()
    writer, dropped = make_writer(network, max_bytes=8)
    for number in range(6):
        writer.write(b"%03d\n" % number, number)
    writer.finish()
    await writer.run()
    *before, gap = split_lines(network.streams[0])
    assert before == [HEADER, b"000\n", b"001\n"]
    assert loads(gap) == {"kind": "gap", "at": 5, "lines": 4}
    assert sum(dropped) == 4


async def test_stream_that_stands_still_holds_up_no_write():
    network = Network()
    network.is_accepting.clear()
    writer, dropped = make_writer(network, max_bytes=100)
    task = create_task(writer.run())
    for number in range(1000):
        writer.write(b"%03d\n" % number, number)
        await sleep(0)
    assert sum(dropped) == 1000 - 25
    network.is_accepting.set()
    writer.finish()
    await task
    lines = split_lines(network.streams[0])
    assert len(lines) == 1 + 25 + 1
    assert loads(lines[-1])["lines"] == 975


async def test_lost_stream_is_opened_again_with_header_and_gap():
    network = Network()
    writer, dropped = make_writer(network)
    pauses = iter(range(100))

    def on_pause():
        number = next(pauses)
        if number == 1:
            network.is_broken = True
        writer.write(b"%03d\n" % number, number)
        if number == 4:
            writer.finish()

    network.on_pause = on_pause
    await writer.run()
    first, second = map(split_lines, network.streams)
    assert first == [HEADER, b"000\n"]
    line_break, header, gap, *rest = second
    assert (line_break, header) == (b"\n", HEADER)
    # Lines written after a lost line are dropped until the gap is sent.
    assert loads(gap) == {"kind": "gap", "at": 2, "lines": 2}
    assert rest == [b"003\n", b"004\n"]
    assert sum(dropped) == 2
    assert RETRY_DELAY_S in network.slept


async def test_socket_takes_the_bytes_and_a_closed_port_is_an_error():
    taken = bytearray()
    ended = Event()

    async def serve(reader, writer):
        taken.extend(await reader.read())
        writer.close()
        ended.set()

    server = await start_server(serve, "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    stream = await open_socket(address)
    await stream.send(b"x" * 1_000_000)
    stream.close()
    await wait_for(ended.wait(), 10)
    server.close()
    await server.wait_closed()
    assert len(taken) == 1_000_000
    with pytest.raises(ConnectionRefusedError):
        await open_socket(address)


async def test_standard_output_that_nobody_reads_holds_up_no_one(monkeypatch):
    reading, writing = pipe()
    monkeypatch.setattr(trace_writer, "STANDARD_OUTPUT", writing)
    stream = await open_standard_output()
    task = create_task(stream.send(b"x" * 1_000_000))
    await sleep(0.05)
    assert not task.done()
    loop = get_running_loop()
    size = 0
    while size < 1_000_000:
        size += len(await loop.run_in_executor(None, read, reading, 65536))
    await wait_for(task, 10)
    stream.close()


@pytest.mark.parametrize(
    ("text", "target"),
    [("-", None), ("127.0.0.1:7400", Address("127.0.0.1", 7400))],
)
def test_target_is_standard_output_or_an_address(text, target):
    assert parse_trace_target(text) == target


async def test_socket_that_is_gone_is_an_error():
    server = await start_server(
        lambda reader, writer: writer.transport.abort(), "127.0.0.1", 0
    )
    stream = await open_socket(Address(*server.sockets[0].getsockname()[:2]))

    async def send_on():
        for _ in range(200):
            await stream.send(b"x\n")
            await sleep(0.01)

    with pytest.raises(ConnectionError):
        await send_on()
    stream.close()
    server.close()
    await server.wait_closed()
