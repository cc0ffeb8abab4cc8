"""TCP server with a bound on its connections and on what each may hold."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    Task,
    create_task,
    start_server,
    timeout,
)
from collections.abc import Awaitable, Callable
from socket import SO_RCVBUF, SOL_SOCKET

from lycheeglade.address import Address

# The process needs its descriptors for the store and for the other servers.
MAX_CONNECTIONS = 256
# Bytes that a connection may hold unread or unsent, beside a single write.
BUFFER_BYTES = 16_384
CLOSE_TIMEOUT_S = 1.0

Handler = Callable[[StreamReader, StreamWriter], Awaitable[None]]


async def start_bounded_server(
    address: Address, handle: Handler, on_eviction: Callable[[], None]
) -> Server:
    """Start a server of at most `MAX_CONNECTIONS` connections.

    A further connection evicts the oldest one. A client with a request is
    answered long before that, but one that sends none can't keep others out.

    Parameters
    ----------
    handle : callable
        Serves one connection, which is closed after it returns. What the peer
        has not read `CLOSE_TIMEOUT_S` later is discarded.
    on_eviction : callable
        Called after each eviction.

    Raises
    ------
    OSError
        If the address cannot be bound.
    """
    tasks: set[Task[None]] = set()
    # In order of arrival.
    open_writers: dict[StreamWriter, None] = {}

    def add(writer: StreamWriter) -> None:
        if len(open_writers) >= MAX_CONNECTIONS:
            oldest = next(iter(open_writers))
            del open_writers[oldest]
            oldest.transport.abort()
            on_eviction()
        open_writers[writer] = None

    async def handle_connection(reader: StreamReader, writer: StreamWriter) -> None:
        add(writer)
        writer.transport.set_write_buffer_limits(BUFFER_BYTES)
        try:
            await handle(reader, writer)
            writer.close()
            async with timeout(CLOSE_TIMEOUT_S):
                await writer.wait_closed()
        except (OSError, TimeoutError):
            # The peer is gone or does not read.
            pass
        finally:
            open_writers.pop(writer, None)
            # A transport that is only closed waits for its peer to read.
            writer.transport.abort()

    def start_task(reader: StreamReader, writer: StreamWriter) -> None:
        # The task that asyncio starts for a coroutine function fails in a
        # callback if it is cancelled, as at the end of the process.
        task = create_task(handle_connection(reader, writer))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    server = await start_server(
        start_task, address.ip, address.port, limit=BUFFER_BYTES
    )
    # The sockets of the connections inherit it.
    server.sockets[0].setsockopt(SOL_SOCKET, SO_RCVBUF, BUFFER_BYTES)
    return server
