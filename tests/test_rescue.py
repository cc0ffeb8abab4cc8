"""Flows of a failed upstream are handed off even with requests in progress."""

from dataclasses import replace

import pytest
from aiocoap import GET, POST, Message
from aiocoap.numbers.codes import Code

from lycheeglade.address import Address
from lycheeglade.agent import (
    receive_datagram,
    receive_upstream_failure,
    tick,
    update_view,
)
from lycheeglade.flow import FlowKey
from lycheeglade.home import record_home
from lycheeglade.packet import (
    Answer,
    Delegate,
    Forward,
    HandoffOffer,
    Ping,
    Pong,
    encode_packet,
)
from tests.agents import AGENT, BALANCER, TARGET_KEY, make_view

FLOW = ("127.9.0.1", 4000)
FAILED_PEER = Address("127.2.0.2", 7100)
LIVE_PEER = Address("127.2.0.3", 7100)
HEARTBEAT_S = 2.0
OFFER_DEADLINE_S = HEARTBEAT_S + 5.0
TICK_S = 0.02


@pytest.fixture
def served(agent):
    view = make_view(2)
    service = view.services_by_name["booth-sync"]
    (own,) = service.targets_by_id.values()
    targets = {"t1": own}
    for target_id, address in (("t2", FAILED_PEER), ("t3", LIVE_PEER)):
        host_id = f"host-{target_id}"
        targets[target_id] = replace(
            own, target_id=target_id, host_id=host_id, agent=address
        )
    service = replace(service, targets_by_id=targets, heartbeat=HEARTBEAT_S)
    update_view(
        agent, replace(view, services_by_name={TARGET_KEY.service: service}), 0.0
    )
    return agent.served_by_key[TARGET_KEY]


def make_forward(message, message_id):
    message.mtype, message.mid, message.token = 0, message_id, bytes([message_id])
    packet = Forward(
        TARGET_KEY.service, "t1", 2, *FLOW, ("t1", "t2"), 1, *BALANCER, message.encode()
    )
    return encode_packet(packet)


def send_ticketed_request(agent, recorder, now):
    """Send a request that may not be repeated, with the ticket for it.

    The ticket is in the answer to a first request without one.
    """
    receive_datagram(agent, make_forward(Message(code=POST), 1), BALANCER, now)
    echo = Message.decode(recorder.answers()[-1].payload).opt.echo
    request = Message(code=POST, echo=echo)
    receive_datagram(agent, make_forward(request, 2), BALANCER, now)


def run_until_offered(agent, recorder, since):
    """Return the seconds until the flow is offered to another agent.

    Live peers answer the agent's pings meanwhile.
    """
    for step in range(round(OFFER_DEADLINE_S / TICK_S)):
        now = since + step * TICK_S
        before = len(recorder.sent)
        tick(agent, now)
        for address, packet in recorder.sent[before:]:
            if isinstance(packet, HandoffOffer):
                return now - since
            if isinstance(packet, Ping) and address not in (FAILED_PEER, AGENT):
                pong = encode_packet(Pong(packet.nonce))
                receive_datagram(agent, pong, address, now)
    raise AssertionError(f"the flow was not offered within {OFFER_DEADLINE_S} s")


def answer_codes(recorder):
    answers = [packet for _, packet in recorder.sent if isinstance(packet, Answer)]
    return [Message.decode(answer.payload).code for answer in answers]


def test_flow_leaves_a_silent_upstream_that_holds_its_request(agent, served, recorder):
    send_ticketed_request(agent, recorder, 0.1)
    assert served.requests_by_upstream_token
    run_until_offered(agent, recorder, 0.1)
    assert answer_codes(recorder)[-1] is Code.GATEWAY_TIMEOUT


def test_flow_leaves_although_a_dead_peer_holds_its_request(agent, served, recorder):
    receive_datagram(agent, make_forward(Message(code=GET), 9), BALANCER, 0.1)
    served.incarnations_by_peer["t2"] = 1
    send_ticketed_request(agent, recorder, 0.1)
    assert any(isinstance(packet, Delegate) for _, packet in recorder.sent)
    receive_upstream_failure(agent, TARGET_KEY, 0.1)
    run_until_offered(agent, recorder, 0.1)
    assert answer_codes(recorder)[-1] is Code.GATEWAY_TIMEOUT


def make_new_flow_forward(candidates, hops):
    message = Message(code=GET, uri_path=("status",))
    message.mtype, message.mid, message.token = 0, 5, b"new"
    packet = Forward(
        TARGET_KEY.service,
        "t1",
        2,
        *FLOW,
        candidates,
        hops,
        *BALANCER,
        message.encode(),
    )
    return encode_packet(packet)


def test_last_candidate_that_is_down_gives_a_new_flow_back(agent, served, recorder):
    receive_upstream_failure(agent, TARGET_KEY, 0.1)
    receive_datagram(agent, make_new_flow_forward(("t3", "t1"), 1), LIVE_PEER, 0.1)
    assert recorder.answers() == []
    passed = [
        address for address, packet in recorder.sent if isinstance(packet, Forward)
    ]
    assert passed == [LIVE_PEER]


def test_new_flow_that_comes_back_opens_here(agent, served, recorder):
    record_home(agent, served, FlowKey(TARGET_KEY.service, *FLOW), "t3", 0.1)
    receive_datagram(agent, make_new_flow_forward(("t1", "t3"), 2), LIVE_PEER, 0.1)
    assert [key for key, _ in recorder.upstream] == [TARGET_KEY]
