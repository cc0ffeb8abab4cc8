from dataclasses import replace
from random import Random

import pytest

from lycheeglade.agent import receive_datagram, tick, update_view
from lycheeglade.packet import (
    Answer,
    Delegate,
    DelegateReply,
    Forward,
    HandoffCommit,
    HandoffDone,
    HandoffOffer,
    HandoffReady,
    HomeNotice,
    Ping,
    Pong,
    Probe,
    ProbeReply,
    encode_packet,
)
from lycheeglade.transport import DatagramSocket
from lycheeglade.view import Protocol
from tests.agents import BALANCER, make_get_request, make_view

NAME = ("booth-sync", "t1")
CALLER = ("127.9.0.1", 4000)
ROUNDS = 3000
PACKETS = (
    Forward(*NAME, 1, *CALLER, ("t1",), 0, *BALANCER, make_get_request()),
    Answer(*NAME, *CALLER, b"x"),
    Probe(*NAME, *CALLER),
    ProbeReply(*NAME, *CALLER, "t1"),
    HomeNotice(*NAME, "t2", (CALLER,)),
    Ping(1),
    Pong(1),
    Delegate(*NAME, "t2", 1, 0, 0.5, True, make_get_request()),
    Delegate(*NAME, "t2", 2, 0, 0.5, True, b"no request"),
    DelegateReply(*NAME, "t2", 1, True, b"x", 0.5, 1),
    HandoffOffer(*NAME, "t2", *CALLER, 1, (make_get_request(), b"no request")),
    HandoffReady(*NAME, 1, True),
    HandoffCommit(*NAME, "t2", *CALLER, 1, b"no state"),
    HandoffDone(*NAME, 1),
)


@pytest.mark.parametrize("protocol", Protocol)
def test_no_packet_of_a_peer_raises(agent, protocol):
    view = make_view(2)
    service = replace(view.services_by_name["booth-sync"], protocol=protocol)
    agent.served_by_key.clear()
    update_view(agent, replace(view, services_by_name={"booth-sync": service}), 0.0)
    generator = Random(3)
    datagrams = [encode_packet(packet) for packet in PACKETS]
    for datagram in datagrams:
        receive_datagram(agent, datagram, BALANCER, 0.0)
    for number in range(ROUNDS):
        datagram = bytearray(generator.choice(datagrams))
        for _ in range(generator.randrange(1, 4)):
            datagram[generator.randrange(len(datagram))] = generator.randrange(256)
        now = number * 0.005
        receive_datagram(agent, bytes(datagram), BALANCER, now)
        tick(agent, now)


async def test_impossible_address_is_counted_as_dropped():
    from asyncio import get_running_loop

    socket = DatagramSocket(
        get_running_loop(), lambda datagram, source: None, local=BALANCER
    )
    socket.send(b"x", ("127.0.0.1", 70_000))
    socket.send(b"x", ("127.0.0.1\0", 7000))
    socket.send(b"x", ("not an address", 7000))
    socket.close()
    assert socket.dropped == 3
