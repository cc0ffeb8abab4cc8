from random import Random

import pytest
from aiocoap import Code, Message, Type

from lycheeglade.address import Address
from lycheeglade.agent import (
    receive_datagram,
    receive_from_upstream,
    tick,
    update_view,
)
from lycheeglade.packet import Forward, encode_packet
from lycheeglade.staleness import note_view_age
from tests.agents import BALANCER, KEY, get_request, make_view


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


def answer_upstream(agent, recorder, now):
    request = Message.decode(recorder.upstream[-1][1])
    answer = Message(code=Code.CONTENT, payload=b"x")
    answer.mtype, answer.mid, answer.token = Type.ACK, request.mid, request.token
    receive_from_upstream(agent, KEY, None, answer.encode(), now)


def test_copy_of_a_request_that_ran_is_not_called_not_run(agent, recorder):
    receive_datagram(agent, forward(get_request()), BALANCER, 0.01)
    answer_upstream(agent, recorder, 0.02)
    agent.served_by_key[KEY].is_down = True
    receive_datagram(agent, forward(get_request()), BALANCER, 0.03)
    receive_datagram(agent, forward(get_request(2)), BALANCER, 0.03)
    codes = [answer.payload[1] for answer in recorder.answers()]
    assert codes == [Code.CONTENT, Code.TOO_MANY_REQUESTS, Code.SERVICE_UNAVAILABLE]
