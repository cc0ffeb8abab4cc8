"""Counts the bytes on the wire of the connections to one peer."""

from asyncio import (
    StreamReader,
    StreamWriter,
    gather,
    open_connection,
    start_server,
)
from contextlib import suppress
from socket import IPPROTO_TCP, TCP_INFO
from struct import unpack_from

from lycheeglade.address import Address

HEADER_BYTES = 52  # IP and TCP with timestamps
SYN_EXTRA_BYTES = 8
# Offsets in the kernel's struct tcp_info (Linux 4.6 and later).
BYTES_AT = 120
SEGMENTS_AT = 136
INFO_BYTES = 144


class CountingRelay:
    """Relays connections to a peer and counts their bytes with headers."""

    def __init__(self, peer: Address):
        self.wire_bytes = 0
        self.connections = 0
        self._peer = peer

    async def serve(self, address: Address):
        """Listen at `address` and return the server."""
        return await start_server(self._relay, *address)

    async def _relay(self, reader: StreamReader, writer: StreamWriter) -> None:
        peer_reader, peer_writer = await open_connection(*self._peer)
        await gather(_copy(reader, peer_writer), _copy(peer_reader, writer))
        self.wire_bytes += _read_wire_bytes(peer_writer)
        self.connections += 1
        peer_writer.close()
        writer.close()


async def _copy(reader: StreamReader, writer: StreamWriter) -> None:
    """Copy data until the end of the stream, then close the other side.

    A reset connection counts as the end of the stream.
    """
    with suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    with suppress(OSError):
        writer.write_eof()


def _read_wire_bytes(writer: StreamWriter) -> int:
    """Return the bytes of a connection in both directions, with headers."""
    socket = writer.get_extra_info("socket")
    info = socket.getsockopt(IPPROTO_TCP, TCP_INFO, INFO_BYTES)
    sent, received = unpack_from("QQ", info, BYTES_AT)
    segments_out, segments_in = unpack_from("II", info, SEGMENTS_AT)
    headers = (segments_out + segments_in) * HEADER_BYTES + 2 * SYN_EXTRA_BYTES
    return sent + received + headers
