"""Sends the whole view to other balancers, and fetches it from them."""

from asyncio import (
    Server,
    StreamReader,
    StreamWriter,
    open_connection,
    sleep,
    start_server,
    timeout,
)
from collections.abc import Callable
from zlib import compress, decompressobj
from zlib import error as CompressionError  # noqa: N812

from msgspec.msgpack import decode, encode

from lycheeglade.address import Address
from lycheeglade.errors import DECODE_ERRORS
from lycheeglade.route import RoutingView

FETCH_TIMEOUT_S = 0.6
MAX_VIEW_BYTES = 8 << 20
COMPRESSION_LEVEL = 1


async def serve_view(address: Address, get_view: Callable[[], RoutingView]) -> Server:
    """Start a server that sends the compressed view on each connection."""
    encoded_view = RoutingView()
    content = compress(encode(encoded_view), COMPRESSION_LEVEL)

    async def send_view(reader: StreamReader, writer: StreamWriter) -> None:
        nonlocal encoded_view, content
        view = get_view()
        if view is not encoded_view:
            # Many balancers of a zone fetch each change at once.
            encoded_view = view
            content = compress(encode(view), COMPRESSION_LEVEL)
        try:
            writer.write(content)
            async with timeout(FETCH_TIMEOUT_S):
                await writer.drain()
        except (OSError, TimeoutError):
            # The peer retries with another balancer.
            pass
        finally:
            writer.close()

    return await start_server(send_view, address.ip, address.port)


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
        *DECODE_ERRORS,
    ) as error:
        log("view-not-fetched", peer=address, reason=repr(error))
        return None
    return view if view.configuration else None


async def _fetch(address: Address) -> RoutingView:
    reader, writer = await open_connection(address.ip, address.port)
    try:
        chunks, size = [], 0
        # The timeout alone would not bound the memory.
        while size < MAX_VIEW_BYTES:
            chunk = await reader.read(MAX_VIEW_BYTES)
            if not chunk:
                break
            chunks.append(chunk)
            size += len(chunk)
        content = decompressobj().decompress(b"".join(chunks), MAX_VIEW_BYTES)
        return decode(content, type=RoutingView)
    finally:
        writer.close()
