"""Loopback proxy before the store, one for each process that reads it."""

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
    """How a link to the store fares."""

    GOOD = "good"
    SLOW = "slow"
    RESET = "reset"
    SILENT = "silent"
    NO_ANSWERS = "no-answers"


class StoreLink:
    """Passes connections to the store on, in the state that it is put in."""

    def __init__(self, store: Address):
        self.state = LinkState.GOOD
        self._store = store
        self._server: Server | None = None
        self._writers: set[StreamWriter] = set()

    async def start(self, address: Address) -> None:
        """Take connections at `address`."""
        self._server = await start_server(self._serve, address.ip, address.port)

    def stop(self) -> None:
        """Take no more connections, and end those that there are."""
        self._server.close()
        self.reset()

    def put(self, state: LinkState) -> None:
        """Put the link into `state`."""
        self.state = state
        if state is LinkState.RESET:
            self.reset()

    def reset(self) -> None:
        """End all connections at once."""
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
            # Either end may go at any time; the other learns it here.
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
