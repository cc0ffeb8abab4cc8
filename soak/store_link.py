"""Loopback proxy to the store, one for each process that reads the store."""

from asyncio import (
    CancelledError,
    Server,
    StreamReader,
    StreamWriter,
    create_task,
    gather,
    open_connection,
    sleep,
    start_server,
)
from enum import StrEnum

from lycheeglade.address import Address

CHUNK_BYTES = 65536
POLL_S = 0.05
SLOW_S = 0.5


class LinkState(StrEnum):
    """State of a link to the store."""

    GOOD = "good"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"


class StoreLink:
    """A proxy that forwards connections to the store as its state says."""

    def __init__(self, store: Address):
        self.state = LinkState.GOOD
        self._store = store
        self._server: Server | None = None
        self._writers: set[StreamWriter] = set()

    async def start(self, address: Address) -> None:
        """Listen for connections at `address`."""
        self._server = await start_server(self._serve, address.ip, address.port)

    def stop(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        self.reset()

    def put(self, state: LinkState) -> None:
        """Set the state of the link; RESET aborts all connections."""
        self.state = state
        if state is LinkState.RESET:
            self.reset()

    def reset(self) -> None:
        """Abort all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: StreamReader, writer: StreamWriter) -> None:
        if self.state is LinkState.RESET:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await open_connection(*self._store)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far_writer}
        stalled = (LinkState.SILENT,)
        ways = [
            create_task(self._copy(reader, far_writer, stalled)),
            create_task(
                self._copy(far_reader, writer, (*stalled, LinkState.NO_ANSWERS))
            ),
        ]
        try:
            await gather(*ways)
        except (CancelledError, OSError):
            # Either peer may disconnect at any time; the connection to the
            # other peer is aborted below.
            pass
        finally:
            for way in ways:
                way.cancel()
            for each in (writer, far_writer):
                each.transport.abort()
                self._writers.discard(each)

    async def _copy(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        stalled: tuple[LinkState, ...],
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            lost = self.state in stalled
            while self.state in stalled:
                await sleep(POLL_S)
            if lost:
                raise ConnectionResetError
            if self.state is LinkState.SLOW:
                await sleep(SLOW_S)
            writer.write(chunk)
            await writer.drain()
        raise ConnectionResetError
