"""Sends the whole view to other balancers, and fetches it from them."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    open_connection,
    sleep,
    timeout,
)
from collections.abc import Callable
from zlib import compress, decompressobj
from zlib import error as CompressionError  # noqa: N812

from msgspec.msgpack import decode, encode

from lycheeglade.address import Address
from lycheeglade.bounded_server import start_bounded_server
from lycheeglade.errors import DECODE_ERRORS, LycheegladeError
from lycheeglade.route import RoutingView

FETCH_TIMEOUT_S = 0.6
MAX_VIEW_BYTES = 8 << 20
COMPRESSION_LEVEL = 1
# The peers that fetch a view share its content, but for one such part each.
CHUNK_BYTES = 16_384


class ViewTooLargeError(LycheegladeError):
    """A peer sent more than `MAX_VIEW_BYTES`."""


async def serve_view(
    address: Address,
    get_view: Callable[[], RoutingView],
    on_eviction: Callable[[], None] = lambda: None,
) -> Server:
    """Start a server that sends the compressed view on each connection.

    A peer has `FETCH_TIMEOUT_S` seconds to read it.

    Parameters
    ----------
    on_eviction : callable
        Called after the oldest of too many connections was closed.
    """
    encoded_view = RoutingView()
    content = compress(encode(encoded_view), COMPRESSION_LEVEL)

    async def send_view(reader: StreamReader, writer: StreamWriter) -> None:
        nonlocal encoded_view, content
        view = get_view()
        if view is not encoded_view:
            # Many balancers of a zone fetch each change at once.
            encoded_view = view
            content = compress(encode(view), COMPRESSION_LEVEL)
        # The peer retries with another balancer if this fails.
        chosen = content
        async with timeout(FETCH_TIMEOUT_S):
            for start in range(0, len(chosen), CHUNK_BYTES):
                writer.write(chosen[start : start + CHUNK_BYTES])
                await writer.drain()

    return await start_bounded_server(address, send_view, on_eviction)


async def fetch_view(address: Address, log: Callable[..., None]) -> RoutingView | None:
    """Return the view of the balancer at `address`.

    Returns
    -------
    RoutingView or None
        None if the fetch fails or the balancer has no view yet.
    """
    try:
        async with timeout(FETCH_TIMEOUT_S):
            view = await _fetch(address)
            # Decoding a large view takes long: other tasks run first, and a
            # cancellation that arrived meanwhile takes effect.
            await sleep(0)
    except (
        OSError,
        TimeoutError,
        CompressionError,
        ViewTooLargeError,
        *DECODE_ERRORS,
    ) as error:
        log("view-not-fetched", peer=address, reason=repr(error))
        return None
    return view if view.configuration else None


async def _fetch(address: Address) -> RoutingView:
    reader, writer = await open_connection(address.ip, address.port)
    try:
        chunks, size = [], 0
        while chunk := await reader.read(MAX_VIEW_BYTES):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_VIEW_BYTES:
                raise ViewTooLargeError(
                    f"{address}: view is larger than {MAX_VIEW_BYTES} bytes"
                )
        content = decompressobj().decompress(b"".join(chunks), MAX_VIEW_BYTES)
        return decode(content, type=RoutingView)
    finally:
        writer.close()
