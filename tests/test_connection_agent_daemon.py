from asyncio import start_server

from lycheeglade.address import Address
from lycheeglade.connection_agent_daemon import accepts_connections


async def test_closed_port_shows_that_the_target_has_ended():
    """Balancers waited for the restart of the agent, which was removed."""
    server = await start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    address = Address(*server.sockets[0].getsockname()[:2])
    assert await accepts_connections(address)
    server.close()
    await server.wait_closed()
    assert not await accepts_connections(address)
