"""An unmodified aiocoap client through two alternating balancers."""

from asyncio import run, wait_for

import pytest
from aiocoap import CHANGED, CONTENT, GET, POST, PUT, UNAUTHORIZED, Context, Message

from demo.account import read_journals
from demo.cluster import Cluster, reserve_network_for_process
from demo.deployment import plan_deployment
from demo.examples import keep_subset, read_example
from demo.upstream import build_reel

REEL_BYTES = 2 << 20
TIMEOUT_S = 60.0


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    answers = read_example("reelbure")
    answers = keep_subset(answers, 2, {"booth-sync": 3, "reel-depot": 2})
    deployment = plan_deployment(answers, reserve_network_for_process())
    cluster = Cluster(deployment, tmp_path_factory.mktemp("stock"), alternate=True)
    try:
        run(cluster.start())
        yield cluster
    finally:
        cluster.stop()


@pytest.fixture
async def client(cluster):
    context = await Context.create_client_context()
    yield context
    await context.shutdown()


def build_request(cluster, code, service_index, path, request_id="", **options):
    service = cluster.deployment.services[service_index]
    uri = f"coap://{service.address}/{path}?service={service.name}&id={request_id}"
    return Message(code=code, uri=uri, **options)


async def ask(client, message):
    return await wait_for(client.request(message).response, TIMEOUT_S)


def packets_by_balancer(cluster):
    counters = cluster.command_fabric("counters")["counters"]
    return [counters.get(f"to {item.ip}", 0) for item in cluster.deployment.balancers]


async def test_get_and_put_pass_both_balancers(cluster, client):
    before = packets_by_balancer(cluster)
    for number in range(4):
        message = build_request(cluster, GET, 0, "status", f"get-{number}")
        answer = await ask(client, message)
        assert (answer.code, answer.payload) == (CONTENT, b"get-%d" % number)
        message = build_request(cluster, PUT, 0, "item", f"put-{number}")
        answer = await ask(client, message)
        assert (answer.code, answer.payload) == (CHANGED, b"put-%d" % number)
    after = packets_by_balancer(cluster)
    assert all(new > old for old, new in zip(before, after, strict=True))


async def test_whole_reel(cluster, client):
    message = build_request(cluster, GET, 1, "reel")
    answer = await ask(client, message)
    assert answer.code == CONTENT
    assert answer.payload == build_reel(REEL_BYTES)[0]


async def test_feed_has_every_item_once(cluster, client):
    message = build_request(cluster, GET, 0, "feed", observe=0)
    request = client.request(message)
    items = [await wait_for(request.response, TIMEOUT_S)]
    notifications = aiter(request.observation)
    while len(items) < 8:
        items.append(await wait_for(anext(notifications), TIMEOUT_S))
    request.observation.cancel()
    numbers = [int.from_bytes(item.opt.etag, "big") for item in items]
    assert numbers == list(range(numbers[0], numbers[0] + 8))


async def test_post_runs_once_with_its_ticket(cluster, client):
    message = build_request(cluster, POST, 0, "confirm", "once", payload=b"once")
    challenge = await ask(client, message)
    assert challenge.code == UNAUTHORIZED
    assert read_journals(cluster.journals).runs_by_id["once"] == 0
    message = build_request(cluster, POST, 0, "confirm", "once", payload=b"once")
    message.opt.echo = challenge.opt.echo
    first = await ask(client, message)
    message = build_request(cluster, POST, 0, "confirm", "once", payload=b"once")
    message.opt.echo = challenge.opt.echo
    again = await ask(client, message)
    assert first.code == again.code == CHANGED
    assert first.payload == again.payload == b"once"
    assert read_journals(cluster.journals).runs_by_id["once"] == 1
