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

    def set_state(self, state: LinkState) -> None:
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
            store_reader, store_writer = await open_connection(*self._store)
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, store_writer}
        stalled_states = (LinkState.SILENT,)
        tasks = [
            create_task(self._copy(reader, store_writer, stalled_states)),
            create_task(
                self._copy(
                    store_reader, writer, (*stalled_states, LinkState.NO_ANSWERS)
                )
            ),
        ]
        try:
            await gather(*tasks)
        except (CancelledError, OSError):
            # Either peer may disconnect at any time; the connection to the
            # other peer is aborted below.
            pass
        finally:
            for task in tasks:
                task.cancel()
            for peer in (writer, store_writer):
                peer.transport.abort()
                self._writers.discard(peer)

    async def _copy(
        self,
        reader: StreamReader,
        writer: StreamWriter,
        stalled_states: tuple[LinkState, ...],
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            was_stalled = self.state in stalled_states
            while self.state in stalled_states:
                await sleep(POLL_S)
            if was_stalled:
                raise ConnectionResetError
            if self.state is LinkState.SLOW:
                await sleep(SLOW_S)
            writer.write(chunk)
            await writer.drain()
        raise ConnectionResetError
