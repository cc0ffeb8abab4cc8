"""Odd numbers of the platform are errors of it, and end no process."""

from asyncio import start_server

import pytest
from aiohttp import ClientSession

from lycheeglade.gossip_message import Exchange, decode_message, encode_message
from lycheeglade.platform_client import PlatformClient, PlatformError
from tests.odd_entries import DEPTHS, NUMBERS, nest

REVISIONS = {
    name: number
    for name, number in NUMBERS.items()
    # The header of an answer has at most 8,190 bytes.
    if len(number) < 8000
} | {"empty": "", "superscript": "\N{SUPERSCRIPT TWO}", "text": "r7"}
MAX_REVISION = 2**63 - 1


@pytest.fixture
async def serve():
    """Return a function that sets the answer to all calls of a client."""
    answers = []

    async def send(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answers[-1])
        writer.close()

    server = await start_server(send, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with ClientSession() as session:

        def set_answer(body, revision="1"):
            head = f"HTTP/1.1 200 OK\r\nRevision: {revision}\r\n"
            head += f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
            answers.append(head.encode() + body)
            return PlatformClient(f"http://127.0.0.1:{port}", session)

        yield set_answer
    server.close()


def is_usable(number):
    return (
        number.isascii()
        and number.isdigit()
        and len(number) < 20
        and int(number) <= MAX_REVISION
    )


def assert_can_be_sent(revision):
    exchange = Exchange(revision, 0, "127.0.0.1", 1)
    assert decode_message(encode_message(exchange)) == exchange


@pytest.mark.parametrize("number", REVISIONS.values(), ids=REVISIONS)
async def test_odd_revision_of_a_value(serve, number):
    """The task that follows the platform ended, and the process with it."""
    client = serve(b"[service]\n", number)
    if is_usable(number):
        assert_can_be_sent((await client.read_value("services/a")).revision)
    else:
        with pytest.raises(PlatformError):
            await client.read_value("services/a")
    client = serve(b"[service]\n", "7")
    assert (await client.read_value("services/a")).revision == 7


@pytest.mark.parametrize("number", NUMBERS.values(), ids=NUMBERS)
@pytest.mark.parametrize(
    "index",
    [
        '{"revision":NUMBER,"changes":[]}',
        '{"revision":1,"changes":[{"name":"services/a","revision":NUMBER}]}',
    ],
)
async def test_odd_revision_in_the_index(serve, index, number):
    """No message to other processes could be encoded with it."""
    client = serve(index.replace("NUMBER", number).encode())
    if is_usable(number):
        read = await client.read_index(0, 0.0)
        for revision in (read.revision, *(each.revision for each in read.changes)):
            assert_can_be_sent(revision)
    else:
        with pytest.raises(PlatformError):
            await client.read_index(0, 0.0)
    client = serve(b'{"revision":7,"changes":[]}')
    assert (await client.read_index(0, 0.0)).revision == 7


@pytest.mark.parametrize("depth", DEPTHS)
async def test_nested_index(serve, depth):
    for tree in nest(depth).values():
        for index in (tree, f'{{"revision":1,"changes":{tree}}}'):
            client = serve(index.encode())
            with pytest.raises(PlatformError):
                await client.read_index(0, 0.0)
    client = serve(b'{"revision":7,"changes":[]}')
    assert (await client.read_index(0, 0.0)).revision == 7
