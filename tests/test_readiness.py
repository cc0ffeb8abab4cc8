from asyncio import create_task, open_connection, sleep
from asyncio import timeout as time_limit

import readiness
from demo.cluster import reserve_network_for_process
from lycheeglade.address import Address
from readiness import serve_handlers

NETWORK = reserve_network_for_process()
ADDRESS = Address(f"127.{NETWORK}.10.1", 8167)


async def test_connection_without_a_request_is_closed(monkeypatch):
    """Its descriptor could not be used for connections to the store."""
    monkeypatch.setattr(readiness, "IDLE_TIMEOUT_S", 0.2)
    server = create_task(serve_handlers(ADDRESS, {}))
    await sleep(0.05)
    reader, writer = await open_connection(*ADDRESS)
    async with time_limit(2):
        assert await reader.read() == b""
    writer.close()
    server.cancel()
