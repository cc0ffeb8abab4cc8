"""An agent that no balancer can reach hands off its flows to peers."""

from dataclasses import replace

import pytest
from aiocoap import GET, Message

from lycheeglade.address import Address
from lycheeglade.agent import receive_datagram, tick, update_view
from lycheeglade.packet import Forward, HandoffOffer, Ping, Pong, encode_packet
from lycheeglade.upstream_health import (
    record_upstream_datagram,
    record_upstream_response,
)
from tests.agents import BALANCER, TARGET_KEY, make_view

PEER = Address("127.2.0.3", 7100)
HEARTBEAT_S = 2.0
OFFER_DEADLINE_S = HEARTBEAT_S + 5.0
TICK_S = 0.02
TICKS_PER_S = 50


@pytest.fixture
def isolated(agent):
    view = make_view(2)
    service = view.services_by_name["booth-sync"]
    (own,) = service.targets_by_id.values()
    peer = replace(own, target_id="t3", host_id="host-t3", agent=PEER)
    service = replace(service, targets_by_id={"t1": own, "t3": peer})
    update_view(
        agent, replace(view, services_by_name={TARGET_KEY.service: service}), 0.0
    )
    receive_datagram(agent, make_forward(4000), BALANCER, 0.1)
    assert agent.served_by_key[TARGET_KEY].records_by_flow
    return agent


def make_forward(port):
    message = Message(code=GET, uri_path=("status",))
    message.mtype, message.mid, message.token = 1, port, b"t"
    packet = Forward(
        TARGET_KEY.service,
        "t1",
        2,
        "127.9.0.1",
        port,
        ("t1",),
        1,
        *BALANCER,
        message.encode(),
    )
    return encode_packet(packet)


def run_ticks(agent, recorder, seconds, peers_forward=True, pongs=False, pings=False):
    """Return the handoff offers of the agent while its upstream answers."""
    (served,) = agent.served_by_key.values()
    for step in range(1, round(seconds * TICKS_PER_S) + 1):
        now = 0.1 + step * TICK_S
        record_upstream_datagram(served, now)
        record_upstream_response(served, now)
        sent = len(recorder.sent)
        tick(agent, now)
        for address, packet in recorder.sent[sent:]:
            if isinstance(packet, Ping) and (pongs or address == PEER):
                pong = encode_packet(Pong(packet.nonce))
                receive_datagram(agent, pong, address, now)
        if peers_forward and step % TICKS_PER_S == 0:
            receive_datagram(agent, make_forward(4000), PEER, now)
        if pings and step % TICKS_PER_S == 0:
            receive_datagram(agent, encode_packet(Ping(step)), BALANCER, now)
        for request in list(served.requests_by_id.values()):
            served.requests_by_id.pop(request.request_id)
        for record in served.records_by_flow.values():
            record.requests_by_message_id.clear()
    return [packet for _, packet in recorder.sent if isinstance(packet, HandoffOffer)]


@pytest.mark.parametrize("pings", [False, True])
def test_flows_move_if_peers_pass_what_no_balancer_brings(isolated, recorder, pings):
    assert run_ticks(isolated, recorder, OFFER_DEADLINE_S, pings=pings)
    assert recorder.counts["isolation", "begun"] == 1


def test_flows_stay_if_a_balancer_answers(isolated, recorder):
    assert run_ticks(isolated, recorder, 20.0, pongs=True) == []


def test_flows_stay_if_no_peer_has_a_balancer(isolated, recorder):
    assert run_ticks(isolated, recorder, 20.0, peers_forward=False) == []


def test_flows_stay_once_a_balancer_answers_again(isolated, recorder):
    assert run_ticks(isolated, recorder, OFFER_DEADLINE_S)
    receive_datagram(isolated, encode_packet(Pong(1)), BALANCER, 0.1 + OFFER_DEADLINE_S)
    tick(isolated, 0.2 + OFFER_DEADLINE_S)
    assert recorder.counts["isolation", "ended"] == 1
    assert not isolated.served_by_key[TARGET_KEY].must_move


def test_agent_without_flows_asks_nobody(agent, recorder):
    for step in range(200):
        tick(agent, step * 0.1)
    assert recorder.sent == []
