from random import Random

import pytest

from lycheeglade.address import Address, Zone
from lycheeglade.balancer import (
    BalancerActions,
    make_balancer,
    receive_datagram,
    receive_from_caller,
    update_view,
)
from lycheeglade.coap import read_caller
from lycheeglade.packet import Answer, Forward, decode_packet, encode_packet
from tests.agents import AGENT, BALANCER, LOCAL_ZONE, make_get_request, make_view

CALLER = Address("127.9.0.1", 4000)
OTHER_CALLER = Address("127.9.0.2", 4000)
OVERLOAD_BATCHES = 100


class Recorder:
    def __init__(self):
        self.sent = []
        self.answers = []
        self.counts = {}

    def count(self, name, service, cause):
        self.counts[name, cause] = self.counts.get((name, cause), 0) + 1


@pytest.fixture
def recorder():
    return Recorder()


def make_test_balancer(recorder, zone=LOCAL_ZONE):
    actions = BalancerActions(
        send=lambda address, datagram: recorder.sent.append((address, datagram)),
        answer=lambda service, caller, datagram: recorder.answers.append(
            (service, caller, datagram)
        ),
        count=recorder.count,
    )
    state = make_balancer("b1", zone, BALANCER, actions, Random(1))
    update_view(state, make_view())
    return state


def test_datagram_goes_to_the_first_candidate(recorder):
    receive_from_caller(
        make_test_balancer(recorder), "booth-sync", CALLER, make_get_request(), 0.0
    )
    [(address, datagram)] = recorder.sent
    packet = decode_packet(datagram)
    assert address == AGENT
    assert isinstance(packet, Forward)
    assert (packet.caller_ip, packet.caller_port) == CALLER
    assert packet.payload == make_get_request()


def test_balancer_outside_the_places_carries_nothing(recorder):
    balancer = make_test_balancer(recorder, Zone("viti-east", "suva-a"))
    receive_from_caller(balancer, "booth-sync", CALLER, make_get_request(), 0.0)
    answer = Answer("booth-sync", "t1", *CALLER, b"x")
    receive_datagram(balancer, encode_packet(answer), AGENT, 0.0)
    assert recorder.sent == []
    assert recorder.answers == []
    assert recorder.counts["dropped", "forbidden-place"] == 2


def test_answer_is_taken_only_from_an_agent_of_the_service(recorder):
    balancer = make_test_balancer(recorder)
    answer = encode_packet(Answer("booth-sync", "t1", *CALLER, b"x"))
    receive_datagram(balancer, answer, BALANCER, 0.0)
    receive_datagram(balancer, answer, Address("127.66.0.1", 1), 0.0)
    assert recorder.answers == []
    receive_datagram(balancer, answer, AGENT, 0.0)
    assert recorder.answers == [("booth-sync", CALLER, b"x")]


def test_overloaded_balancer_keeps_established_flows(recorder):
    balancer = make_test_balancer(recorder)
    answer = encode_packet(Answer("booth-sync", "t1", *CALLER, b"x"))
    receive_datagram(balancer, answer, AGENT, 0.0)
    recorder.answers.clear()
    for number in range(OVERLOAD_BATCHES):
        balancer.overload.record_batch(128, False, number * 0.01)
    receive_from_caller(balancer, "booth-sync", CALLER, make_get_request(), 1.0)
    assert len(recorder.sent) == 1
    receive_from_caller(balancer, "booth-sync", OTHER_CALLER, make_get_request(), 1.0)
    assert len(recorder.sent) == 1
    [(_, caller, datagram)] = recorder.answers
    assert caller == OTHER_CALLER
    assert datagram[1] == 0x9D  # 4.29
    with pytest.raises(Exception, match="not-a-request"):
        read_caller(datagram)
