"""Servers of the processes that carry connections."""

from asyncio import Event, get_running_loop, open_connection, run, sleep

from demo.cluster import reserve_network_for_process
from lycheeglade.address import Address
from lycheeglade.bounded_server import start_bounded_server

NETWORK = reserve_network_for_process()
ADDRESS = Address(f"127.{NETWORK}.11.1", 8167)


def test_connection_that_is_open_at_the_end_is_no_failure():
    """The log named a failed callback after the process had stopped."""
    errors = []

    async def end_beside_a_connection():
        handled = Event()

        async def handle(reader, writer):
            handled.set()
            await sleep(60)

        get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context)
        )
        server = await start_bounded_server(ADDRESS, handle, lambda: None)
        await open_connection(*ADDRESS)
        await handled.wait()
        server.close()

    run(end_beside_a_connection())
    assert errors == []


def test_error_of_a_handler_is_reported():
    errors = []

    async def fail_once():
        async def handle(reader, writer):
            raise KeyError("sabotage")

        get_running_loop().set_exception_handler(
            lambda loop, context: errors.append(context["exception"])
        )
        server = await start_bounded_server(ADDRESS, handle, lambda: None)
        reader, _ = await open_connection(*ADDRESS)
        assert await reader.read() == b""
        server.close()
        await sleep(0.05)

    run(fail_once())
    assert [repr(error) for error in errors] == ["KeyError('sabotage')"]
