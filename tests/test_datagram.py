"""A service whose datagrams are forwarded without being parsed."""

from asyncio import DatagramProtocol, Queue, get_running_loop, run, wait_for
from dataclasses import replace

import pytest

from demo.account import read_journals
from demo.cluster import Cluster, reserve_network_for_process
from demo.deployment import plan_deployment
from demo.examples import keep_subset, read_example
from lycheeglade.view import Protocol

FLOWS = 12
DATAGRAMS = 20
TIMEOUT_S = 10.0


class Client(DatagramProtocol):
    def __init__(self):
        self.answers = Queue()

    def datagram_received(self, datagram, remote):
        self.answers.put_nowait(datagram)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory):
    answers = keep_subset(read_example("reelbure"), 2, {"booth-sync": 3})
    booth = answers.services_by_name["booth-sync"]
    booth = replace(booth, protocol=Protocol.DATAGRAM)
    answers = replace(answers, services_by_name={booth.name: booth})
    deployment = plan_deployment(answers, reserve_network_for_process())
    cluster = Cluster(deployment, tmp_path_factory.mktemp("datagram"), alternate=True)
    try:
        run(cluster.start())
        yield cluster
    finally:
        cluster.stop()


async def open_client(cluster):
    service = cluster.deployment.services[0]
    return await get_running_loop().create_datagram_endpoint(
        Client,
        local_addr=(cluster.deployment.ip(0, 9), 0),
        remote_addr=tuple(service.address),
    )


async def test_each_flow_gets_its_own_datagrams_back(cluster):
    clients = [await open_client(cluster) for _flow in range(FLOWS)]
    for flow, (transport, client) in enumerate(clients):
        for number in range(DATAGRAMS):
            text = b"service=booth-sync \xff%d %d" % (flow, number)
            transport.sendto(text)
            assert await wait_for(client.answers.get(), TIMEOUT_S) == text
    for transport, client in clients:
        assert client.answers.empty()
        transport.close()
    assert read_journals(cluster.journals).wrong_deliveries == 0


async def test_datagram_of_full_size(cluster):
    transport, client = await open_client(cluster)
    datagram = bytes(range(256)) * 32
    transport.sendto(datagram)
    assert await wait_for(client.answers.get(), TIMEOUT_S) == datagram
    transport.close()
