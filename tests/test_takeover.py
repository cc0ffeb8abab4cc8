from lycheeglade.agent import receive_datagram, tick
from lycheeglade.flow import FlowKey
from lycheeglade.flow_state import FlowState, encode_state
from lycheeglade.packet import (
    HandoffCommit,
    HandoffDone,
    HandoffOffer,
    HandoffReady,
    encode_packet,
)
from lycheeglade.ticket import TicketRegistry
from tests.agents import BALANCER, TARGET_KEY

FLOW = FlowKey("booth-sync", "127.9.0.1", 4000)
HOME_ADDRESS = BALANCER


def make_offer(handoff_id):
    return encode_packet(
        HandoffOffer("booth-sync", "t1", "t2", *FLOW[1:], handoff_id, ())
    )


def make_commit(handoff_id, now):
    tickets = TicketRegistry(b"key", "t2", 1).export_flow(FLOW, now)
    state = encode_state(FlowState(*BALANCER, 7, (), (), tickets))
    return encode_packet(
        HandoffCommit("booth-sync", "t1", "t2", *FLOW[1:], handoff_id, state)
    )


def run_ticks(state, since, until):
    for number in range(round(since * 10), round(until * 10) + 1):
        tick(state, number / 10)


def sent_kinds(recorder, kind):
    return [packet for _, packet in recorder.sent if isinstance(packet, kind)]


def test_repeated_offer_renews_the_wait_for_its_commit(agent, recorder):
    receive_datagram(agent, make_offer(1), HOME_ADDRESS, 0.0)
    run_ticks(agent, 0.1, 2.8)
    receive_datagram(agent, make_offer(2), HOME_ADDRESS, 2.8)
    run_ticks(agent, 2.9, 4.0)
    assert [ready.accepted for ready in sent_kinds(recorder, HandoffReady)] == [1, 1]
    receive_datagram(agent, make_commit(2, 4.0), HOME_ADDRESS, 4.0)
    assert FLOW in agent.served_by_key[TARGET_KEY].records_by_flow


def test_repeated_commit_is_only_acknowledged(agent, recorder):
    receive_datagram(agent, make_offer(1), HOME_ADDRESS, 0.0)
    receive_datagram(agent, make_commit(1, 0.1), HOME_ADDRESS, 0.1)
    record = agent.served_by_key[TARGET_KEY].records_by_flow[FLOW]
    receive_datagram(agent, make_commit(1, 0.2), HOME_ADDRESS, 0.2)
    assert agent.served_by_key[TARGET_KEY].records_by_flow[FLOW] is record
    assert len(sent_kinds(recorder, HandoffDone)) == 2


def test_commit_without_an_offer_is_dropped(agent, recorder):
    receive_datagram(agent, make_commit(9, 0.1), HOME_ADDRESS, 0.1)
    assert agent.served_by_key[TARGET_KEY].records_by_flow == {}
    assert sent_kinds(recorder, HandoffDone) == []
    assert recorder.counts["handoff", "late-commit"] == 1
