from random import Random

import pytest
from aiocoap import Code, Message, Type

from lycheeglade.address import Address, Zone
from lycheeglade.agent import (
    make_agent,
    note_view_age,
    receive_datagram,
    receive_from_upstream,
    tick,
    update_view,
)
from lycheeglade.agent_state import AgentActions
from lycheeglade.packet import Answer, Forward, encode_packet
from lycheeglade.served_target import TargetKey
from lycheeglade.view import Host, Protocol, Role, Service, Target, View

HERE = Zone("viti-west", "nadi-a")
ELSEWHERE = Zone("viti-east", "suva-a")
AGENT = Address("127.2.0.1", 7100)
BALANCER = Address("127.1.0.1", 7100)
KEY = TargetKey("booth-sync", "t1")


class Recorder:
    def __init__(self):
        self.sent = []
        self.upstream = []
        self.counts = {}

    def actions(self):
        return AgentActions(
            send=lambda address, packet: self.sent.append((address, packet)),
            send_upstream=lambda key, flow, datagram: self.upstream.append(
                (key, datagram)
            ),
            close_upstream=lambda key, flow: None,
            count=self.count,
            record=lambda service, work, stage, seconds: None,
        )

    def count(self, name, service, cause):
        self.counts[name, cause] = self.counts.get((name, cause), 0) + 1

    def answers(self):
        return [packet for _, packet in self.sent if isinstance(packet, Answer)]


def make_view(revision=1, places=("viti-west",), upstream_port=5683):
    target = Target(
        "t1", "h1", HERE, AGENT, Address("127.2.0.1", upstream_port), slots=1
    )
    service = Service(
        "booth-sync",
        "reelbure",
        revision,
        Protocol.COAP,
        (Address("127.10.0.1", 5683),),
        places,
        {"t1": target},
        flow_idle=60.0,
    )
    hosts = {
        "h1": Host("h1", Role.AGENT, HERE, AGENT, AGENT),
        "b1": Host("b1", Role.BALANCER, HERE, BALANCER, BALANCER),
    }
    return View(revision, {"booth-sync": service}, hosts)


@pytest.fixture
def recorder():
    return Recorder()


@pytest.fixture
def agent(recorder):
    state = make_agent("h1", HERE, recorder.actions(), Random(1), 100, 0.0)
    update_view(state, make_view(), 0.0)
    tick(state, 0.0)
    return state


def get_request(message_id=1):
    message = Message(code=Code.GET, uri_path=("status",))
    message.mtype, message.mid, message.token = Type.CON, message_id, b"\x01"
    return message.encode()


def forward(payload, service="booth-sync", target_id="t1"):
    return encode_packet(
        Forward(
            service, target_id, 1, "127.9.0.1", 4000, ("t1",), 0, *BALANCER, payload
        )
    )


def test_request_reaches_the_upstream(agent, recorder):
    receive_datagram(agent, forward(get_request()), BALANCER, 0.01)
    assert [key for key, _ in recorder.upstream] == [KEY]


@pytest.mark.parametrize(
    ("datagram", "source", "count"),
    [
        (forward(get_request(), service="reel-depot"), BALANCER, "not-served-here"),
        (forward(get_request(), target_id="t2"), BALANCER, "not-served-here"),
        (forward(get_request()), Address("127.66.0.1", 1), "unknown-source"),
    ],
)
def test_stray_packets_are_dropped(agent, recorder, datagram, source, count):
    receive_datagram(agent, datagram, source, 0.01)
    assert recorder.upstream == []
    assert recorder.counts["dropped", count] == 1


def test_agent_in_a_forbidden_place_serves_nothing(agent, recorder):
    update_view(agent, make_view(2, places=("viti-east",)), 0.01)
    receive_datagram(agent, forward(get_request()), BALANCER, 0.02)
    assert recorder.upstream == []
    assert recorder.counts["dropped", "forbidden-place"] == 1


def test_paused_agent_decides_only_after_it_has_read_its_view(agent, recorder):
    receive_datagram(agent, forward(get_request()), BALANCER, 100.0)
    note_view_age(agent, False, 100.01)
    tick(agent, 100.01)
    assert recorder.upstream == []
    update_view(agent, make_view(2, places=("viti-east",)), 100.02)
    note_view_age(agent, True, 100.03)
    assert recorder.upstream == []
    assert recorder.counts["dropped", "forbidden-place"] == 1


def test_paused_agent_serves_what_waited_if_nothing_changed(agent, recorder):
    receive_datagram(agent, forward(get_request()), BALANCER, 100.0)
    note_view_age(agent, True, 100.03)
    assert len(recorder.upstream) == 1


def test_random_datagrams_raise_nothing_and_reach_nobody(agent, recorder):
    generator = Random(7)
    valid = [forward(get_request(number)) for number in range(1, 9)]
    for number in range(4000):
        datagram = bytearray(generator.choice(valid))
        for _ in range(generator.randrange(1, 6)):
            datagram[generator.randrange(len(datagram))] = generator.randrange(256)
        del datagram[generator.randrange(len(datagram)) :]
        receive_datagram(agent, bytes(datagram), BALANCER, 1.0 + number * 1e-4)
        noise = generator.randbytes(generator.randrange(64))
        receive_datagram(agent, noise, BALANCER, 1.0 + number * 1e-4)
        receive_from_upstream(agent, KEY, None, noise, 1.0 + number * 1e-4)
    assert recorder.answers() == []
    assert recorder.counts["malformed", "encoding"] > 0
    assert recorder.counts["malformed", "version"] > 0
