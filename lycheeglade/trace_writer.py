"""Writes the lines of a trace to a stream without blocking the process.

Lines wait in a bounded buffer. Lines that don't fit are dropped and counted,
and a ``gap`` line states how many are missing.
"""

from asyncio import (
    AbstractEventLoop,
    Future,
    get_running_loop,
    open_connection,
    sleep,
    wait_for,
)
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from logging import DEBUG, INFO, WARNING, getLogger
from os import write as write_descriptor
from queue import SimpleQueue
from select import select
from threading import Thread

from lycheeglade.address import Address, parse_address
from lycheeglade.logs import log_event
from lycheeglade.recording import Gap, encode_line

logger = getLogger(__name__)

MAX_BUFFER_BYTES = 32 * 1024 * 1024
MAX_CHUNK_BYTES = 256 * 1024
FLUSH_INTERVAL_S = 0.05
RETRY_DELAY_S = 2.0
CONNECT_TIMEOUT_S = 2.0
CLOSE_TIMEOUT_S = 2.0
STANDARD_OUTPUT = 1


@dataclass(frozen=True, slots=True)
class Stream:
    """An open destination of a trace.

    Attributes
    ----------
    send : callable
        Returns when the bytes are handed over; raises `OSError` if that
        fails.
    close : callable
        Closes the stream; bytes not yet sent may be lost.
    """

    send: Callable[[bytes], Awaitable[None]]
    close: Callable[[], None]


class TraceWriter:
    """Buffers the lines of one trace and sends them to a stream.

    Parameters
    ----------
    open_stream : callable
        Returns a `Stream`; raises `OSError` if it can't be opened now.
    on_dropped : callable
        Called with the number of dropped lines.
    max_bytes : int
        Upper bound of the buffered bytes.
    pause : callable
        Sleeps for a number of seconds.
    """

    def __init__(
        self,
        open_stream: Callable[[], Awaitable[Stream]],
        on_dropped: Callable[[int], None],
        *,
        max_bytes: int = MAX_BUFFER_BYTES,
        pause: Callable[[float], Awaitable[None]] = sleep,
    ):
        self._open_stream = open_stream
        self._on_dropped = on_dropped
        self._max_bytes = max_bytes
        self._pause = pause
        self._header = b""
        self._lines: deque[bytes] = deque()
        self._bytes = 0
        self._dropped_lines = 0
        self._last_line_at = 0.0
        self._is_finishing = False

    def start(self, header: bytes) -> None:
        """Set the header, which is the first line on every stream."""
        self._header = header

    def write(self, line: bytes, now: float) -> None:
        """Buffer a line that ends with a line break, or drop it.

        After a dropped line, all lines are dropped until the buffer is empty,
        since a replay can't check lines that follow a gap.
        """
        self._last_line_at = now
        if self._dropped_lines or self._bytes + len(line) > self._max_bytes:
            self._record_dropped(1)
            return
        self._lines.append(line)
        self._bytes += len(line)

    def drop(self, now: float) -> None:
        """Count a line that can't be written, which leaves a gap."""
        self._last_line_at = now
        self._record_dropped(1)

    async def run(self) -> None:
        """Send lines until `finish` is called and the buffer is empty.

        The stream is opened again after any error, so that tracing continues
        even if memory was used up.
        """
        failures = 0
        is_resumed = False
        while True:
            try:
                stream = await self._open_stream()
            except Exception as error:
                level = DEBUG if failures else WARNING
                log_event(logger, level, "trace-unopened", cause=repr(error))
                failures += 1
                await self._pause(RETRY_DELAY_S)
                continue
            failures = 0
            log_event(logger, INFO, "trace-opened")
            try:
                await self._send_all(stream, is_resumed)
                return
            except Exception as error:
                log_event(logger, WARNING, "trace-lost", cause=repr(error))
            finally:
                stream.close()
            is_resumed = True
            await self._pause(RETRY_DELAY_S)

    def finish(self) -> None:
        """Make `run` return once all lines are sent."""
        self._is_finishing = True

    async def _send_all(self, stream: Stream, is_resumed: bool) -> None:
        if is_resumed:
            # Lines that the previous stream accepted may be lost, and the
            # last line it delivered may lack its line break.
            await stream.send(b"\n" + self._header + self._pop_gap())
        else:
            await stream.send(self._header)
        while True:
            count, chunk = self._pop_chunk()
            if count:
                try:
                    await stream.send(chunk)
                except Exception:
                    self._record_dropped(count)
                    raise
            elif self._dropped_lines:
                await stream.send(self._pop_gap())
            elif self._is_finishing:
                return
            else:
                await self._pause(FLUSH_INTERVAL_S)

    def _pop_chunk(self) -> tuple[int, bytes]:
        """Remove buffered lines until they reach MAX_CHUNK_BYTES.

        Returns
        -------
        tuple of (int, bytes)
            Number of the removed lines, and the lines joined.
        """
        taken = []
        size = 0
        while self._lines and size < MAX_CHUNK_BYTES:
            line = self._lines.popleft()
            taken.append(line)
            size += len(line)
        self._bytes -= size
        return len(taken), b"".join(taken)

    def _pop_gap(self) -> bytes:
        missing, self._dropped_lines = self._dropped_lines, 0
        return encode_line(Gap(at=self._last_line_at, lines=missing))

    def _record_dropped(self, lines: int) -> None:
        self._dropped_lines += lines
        self._on_dropped(lines)


@dataclass(frozen=True, slots=True)
class TraceOptions:
    """Options of the recording that an operator asks for.

    Attributes
    ----------
    address : Address or None
        TCP destination of the trace; None for standard output.
    is_whole : bool
        Whether payloads are written unredacted.
    """

    address: Address | None = None
    is_whole: bool = False


def parse_trace_target(text: str) -> Address | None:
    """Return the address of ``IP:PORT``, or None for ``-``, standard output.

    Raises
    ------
    ValueError
        If `text` is neither ``IP:PORT`` nor ``-``.
    """
    return None if text == "-" else parse_address(text)


def open_stream(options: TraceOptions) -> Awaitable[Stream]:
    """Return a stream to the destination given by `options`."""
    if options.address is None:
        return open_standard_output()
    return open_socket(options.address)


async def open_socket(address: Address) -> Stream:
    """Return a stream over a TCP connection to `address`.

    Raises
    ------
    OSError
        If the connection is refused or not accepted within
        CONNECT_TIMEOUT_S seconds.
    """
    _, writer = await wait_for(open_connection(*address), CONNECT_TIMEOUT_S)
    writer.transport.set_write_buffer_limits(0)

    async def send(data: bytes) -> None:
        # Chunks, since the transport copies data that it can't send at once.
        for start in range(0, len(data), MAX_CHUNK_BYTES):
            writer.write(data[start : start + MAX_CHUNK_BYTES])
            await writer.drain()

    return Stream(send, writer.close)


async def open_standard_output() -> Stream:
    """Return a stream to the standard output of this process.

    A thread writes to it, so that a blocked pipe, terminal or file does not
    block the event loop.
    """
    jobs: SimpleQueue[tuple[bytes, Future] | None] = SimpleQueue()
    loop = get_running_loop()
    Thread(target=_write_jobs, args=(jobs, loop), daemon=True).start()

    async def send(data: bytes) -> None:
        future = loop.create_future()
        jobs.put((data, future))
        await future

    return Stream(send, lambda: jobs.put(None))


def _write_jobs(jobs: SimpleQueue, loop: AbstractEventLoop) -> None:
    while (job := jobs.get()) is not None:
        data, future = job
        error = None
        try:
            _write_all(STANDARD_OUTPUT, data)
        except Exception as raised:
            error = raised
        # The event loop is closed if the process has ended.
        with suppress(RuntimeError):
            loop.call_soon_threadsafe(_complete_future, future, error)


def _write_all(descriptor: int, data: bytes) -> None:
    rest = memoryview(data)
    while rest:
        try:
            rest = rest[write_descriptor(descriptor, rest) :]
        except BlockingIOError:
            select([], [descriptor], [])


def _complete_future(future: Future, error: Exception | None) -> None:
    if future.done():
        return
    if error is None:
        future.set_result(None)
    else:
        future.set_exception(error)
