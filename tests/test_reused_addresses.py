from dataclasses import replace

import pytest

from lycheeglade.connection_agent import receive_from_target
from lycheeglade.connection_agent import receive_message as agent_receive
from lycheeglade.connection_balancer import receive_message, receive_segment
from tests.connections import (
    BALANCER,
    ROUTE,
    AgentRecorder,
    BalancerRecorder,
    data,
    from_target,
    make_report,
    make_target,
    make_view,
    opening,
)

TARGET = make_target(1)


@pytest.mark.parametrize("aim", [0.0, 0.352])
def test_opening_of_an_address_whose_connection_was_reset_is_not_lost(aim):
    """The balancer sends it to the old home, whose agent drops it."""
    recorder, agent_recorder = BalancerRecorder(), AgentRecorder()
    balancer = recorder.make(make_view([TARGET], (replace(ROUTE, aim=aim),)))
    agent = agent_recorder.make()
    receive_message(balancer, make_report(), TARGET.agent, 0.0)

    def send(segment, now):
        receive_segment(balancer, segment, now)
        for _, message in recorder.pop_forwarded_segments():
            agent_recorder.segments_by_datagram[message.datagram] = segment
            agent_receive(agent, message, BALANCER, now)
        for _, message in agent_recorder.sent:
            receive_message(balancer, message, TARGET.agent, now)
        agent_recorder.sent.clear()

    send(opening(), 1.0)
    receive_from_target(agent, from_target(opens=True, sequence=1000), 1.0)
    send(data(), 1.1)
    receive_from_target(agent, from_target(data_bytes=9), 1.15)
    send(data(sequence=108), 1.2)
    receive_from_target(agent, from_target(resets=True), 1.25)
    agent_recorder.delivered.clear()
    for copies, now in enumerate((11.0, 11.2, 11.6)):
        send(opening(copies=copies), now)
    assert agent_recorder.delivered or recorder.resets or agent_recorder.resets
