"""The simulated caller handles requests while it switches to a new flow."""

from asyncio import gather, get_running_loop
from random import Random

import pytest
from aiocoap import CONTENT, GET

from demo.account import Account
from demo.caller import Caller, CallerOptions
from demo.coap import Endpoint, LostError, build_message, open_endpoint

LOOPBACK = "127.0.0.1"


def answer_with(endpoint: Endpoint):
    def answer(message, remote):
        endpoint.reply(message, remote, build_message(CONTENT, payload=b"here"))

    return answer


@pytest.fixture
async def server():
    endpoint = Endpoint(Random(1))
    endpoint.on_request = answer_with(endpoint)
    yield await open_endpoint(endpoint, (LOOPBACK, 0))
    endpoint.close()


@pytest.fixture
async def caller(server):
    options = CallerOptions("booth-sync", server.local, LOOPBACK)
    caller = await Caller("f1", options, Account(), Random(2)).open()
    yield caller
    caller.close()


async def test_requests_go_out_while_a_new_flow_is_being_opened(caller):
    request = caller.request(build_message(GET, uri_path=("status",)), 5.0)
    loop = get_running_loop()
    reopened = loop.create_task(caller.reopen())
    answered = loop.create_task(request)
    _nothing, answer = await gather(reopened, answered)
    assert answer.payload == b"here"


async def test_a_request_on_the_old_flow_ends_there(caller, server):
    server.on_request = None
    request = get_running_loop().create_task(
        caller.request(build_message(GET, uri_path=("status",)), 0.2)
    )
    await caller.reopen()
    with pytest.raises(LostError):
        await request
