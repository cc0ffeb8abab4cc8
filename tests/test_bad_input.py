"""Sends truncated, oversized, random and replayed input to every socket."""

from asyncio import sleep
from random import Random
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, socket

from tests.faults import check_planned, run_faults

UNKNOWN_IP = "127.66.0.1"
PACKETS_PORT = 7100
CONTROL_PORT = 7200
OPERATORS_PORT = 7300
ROUNDS = 150
OVERSIZED_BYTES = 60_000
COAP_GET = bytes.fromhex("41010001a1b6737461747573")


def make_invalid_datagrams(generator):
    """Yield datagrams that are not valid packets of any kind."""
    for number in range(ROUNDS):
        yield generator.randbytes(generator.randrange(80))
        yield b"\x01" + generator.randbytes(40)
        yield COAP_GET[: number % len(COAP_GET)]
    yield bytes(OVERSIZED_BYTES)


def send_datagrams(source_ip, address, datagrams):
    with socket(AF_INET, SOCK_DGRAM) as sender:
        sender.bind((source_ip, 0))
        for datagram in datagrams:
            sender.sendto(datagram, address)


def send_stream(address, data):
    with socket(AF_INET, SOCK_STREAM) as sender:
        sender.settimeout(2.0)
        sender.connect(address)
        sender.sendall(data)


async def test_noise_on_every_socket_breaks_nothing(tmp_path):
    generator = Random(5)
    async with run_faults(tmp_path, name="noise") as run:
        balancer_ip = run.deployment.balancers[0].ip
        for host_id, ip in run.cluster.daemon_ips_by_host.items():
            datagrams = list(make_invalid_datagrams(generator))
            send_datagrams(UNKNOWN_IP, (ip, PACKETS_PORT), datagrams)
            # Source is a port of a known host that the view doesn't list.
            send_datagrams(balancer_ip, (ip, PACKETS_PORT), datagrams)
            send_stream((ip, CONTROL_PORT), generator.randbytes(500))
            send_stream((ip, OPERATORS_PORT), generator.randbytes(500))
            await sleep(0.05)
            status = await run.cluster.fetch_status(host_id)
            assert status["revision"] > 0
        for service in run.deployment.services:
            datagrams = list(make_invalid_datagrams(generator))
            send_datagrams(UNKNOWN_IP, tuple(service.address), datagrams)
            send_datagrams(UNKNOWN_IP, tuple(service.address), [COAP_GET] * ROUNDS)
        await sleep(2.0)
        report = await run.finish()
        check_planned(run, report)
        assert run.find_logged_errors() == []
