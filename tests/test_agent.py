from dataclasses import replace
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
from lycheeglade.agent_state import is_idle, send_packet
from lycheeglade.packet import Forward, Ping, Pong, Probe, encode_packet
from lycheeglade.staleness import update_view_freshness
from tests.agents import AGENT, BALANCER, TARGET_KEY, make_get_request, make_view


def forward(payload, service="booth-sync", target_id="t1"):
    return encode_packet(
        Forward(
            service, target_id, 1, "127.9.0.1", 4000, ("t1",), 0, *BALANCER, payload
        )
    )


def test_request_reaches_the_upstream(agent, recorder):
    receive_datagram(agent, forward(make_get_request()), BALANCER, 0.01)
    assert [key for key, _ in recorder.upstream] == [TARGET_KEY]


@pytest.mark.parametrize(
    ("datagram", "source", "count"),
    [
        (
            forward(make_get_request(), service="reel-depot"),
            BALANCER,
            "not-served-here",
        ),
        (forward(make_get_request(), target_id="t2"), BALANCER, "not-served-here"),
        (forward(make_get_request()), Address("127.66.0.1", 1), "unknown-source"),
    ],
)
def test_stray_packets_are_dropped(agent, recorder, datagram, source, count):
    receive_datagram(agent, datagram, source, 0.01)
    assert recorder.upstream == []
    assert recorder.counts["dropped", count] == 1


def test_agent_in_a_forbidden_place_serves_nothing(agent, recorder):
    update_view(agent, make_view(2, places=("viti-east",)), 0.01)
    receive_datagram(agent, forward(make_get_request()), BALANCER, 0.02)
    assert recorder.upstream == []
    assert recorder.counts["dropped", "forbidden-place"] == 1


def test_paused_agent_decides_only_after_it_has_read_its_view(agent, recorder):
    receive_datagram(agent, forward(make_get_request()), BALANCER, 100.0)
    update_view_freshness(agent, False, 100.01)
    tick(agent, 100.01)
    assert recorder.upstream == []
    update_view(agent, make_view(2, places=("viti-east",)), 100.02)
    update_view_freshness(agent, True, 100.03)
    assert recorder.upstream == []
    assert recorder.counts["dropped", "forbidden-place"] == 1


def test_paused_agent_serves_what_waited_if_nothing_changed(agent, recorder):
    receive_datagram(agent, forward(make_get_request()), BALANCER, 100.0)
    update_view_freshness(agent, True, 100.03)
    assert len(recorder.upstream) == 1


def test_agent_is_idle_until_a_flow_comes(agent):
    assert is_idle(agent)
    receive_datagram(agent, forward(make_get_request()), BALANCER, 0.01)
    assert not is_idle(agent)


def test_random_datagrams_raise_nothing_and_reach_nobody(agent, recorder):
    generator = Random(7)
    valid = [forward(make_get_request(number)) for number in range(1, 9)]
    for number in range(4000):
        datagram = bytearray(generator.choice(valid))
        for _ in range(generator.randrange(1, 6)):
            datagram[generator.randrange(len(datagram))] = generator.randrange(256)
        del datagram[generator.randrange(len(datagram)) :]
        receive_datagram(agent, bytes(datagram), BALANCER, 1.0 + number * 1e-4)
        noise = generator.randbytes(generator.randrange(64))
        receive_datagram(agent, noise, BALANCER, 1.0 + number * 1e-4)
        receive_from_upstream(agent, TARGET_KEY, None, noise, 1.0 + number * 1e-4)
    assert recorder.answers() == []
    assert recorder.counts["malformed", "encoding"] > 0
    assert recorder.counts["malformed", "version"] > 0


def answer_upstream(agent, recorder, now):
    request = Message.decode(recorder.upstream[-1][1])
    answer = Message(code=Code.CONTENT, payload=b"x")
    answer.mtype, answer.mid, answer.token = Type.ACK, request.mid, request.token
    receive_from_upstream(agent, TARGET_KEY, None, answer.encode(), now)


def test_copy_of_a_request_that_ran_is_not_called_not_run(agent, recorder):
    receive_datagram(agent, forward(make_get_request()), BALANCER, 0.01)
    answer_upstream(agent, recorder, 0.02)
    agent.served_by_key[TARGET_KEY].is_down = True
    receive_datagram(agent, forward(make_get_request()), BALANCER, 0.03)
    receive_datagram(agent, forward(make_get_request(2)), BALANCER, 0.03)
    codes = [answer.payload[1] for answer in recorder.answers()]
    assert codes == [Code.CONTENT, Code.TOO_MANY_REQUESTS, Code.SERVICE_UNAVAILABLE]


def test_upstream_of_a_removed_target_is_left_alone(agent, recorder):
    served = agent.served_by_key[TARGET_KEY]
    served.unanswered_since = 0.0
    view = make_view(2)
    service = replace(view.services_by_name["booth-sync"], targets_by_id={})
    update_view(agent, replace(view, services_by_name={"booth-sync": service}), 1.0)
    assert not served.has_flows
    for step in range(50, 500):
        tick(agent, step * 0.02)
    assert TARGET_KEY in agent.served_by_key
    assert recorder.upstream == []


def test_agent_that_nobody_answers_is_no_witness_of_itself(agent, recorder):
    peers = {name: Address(f"127.2.0.{name}", 7100) for name in "2345"}
    view = make_view(2)
    service = view.services_by_name["booth-sync"]
    targets = dict(service.targets_by_id)
    for name, address in peers.items():
        targets[name] = replace(
            targets["t1"], target_id=name, host_id=f"h{name}", agent=address
        )
    service = replace(service, targets_by_id=targets)
    update_view(agent, replace(view, services_by_name={"booth-sync": service}), 1.0)
    probe = Probe("booth-sync", "2", "127.9.0.1", 4000)
    for step in range(50, 1500):
        now = step * 0.02
        if step % 50 == 0:
            send_packet(agent, peers["2"], probe, now)
        recorder.sent.clear()
        tick(agent, now)
        for address, packet in list(recorder.sent):
            if address == AGENT and isinstance(packet, Ping):
                receive_datagram(agent, encode_packet(packet), AGENT, now)
                receive_datagram(agent, encode_packet(Pong(packet.nonce)), AGENT, now)
        assert agent.suspects == frozenset()
