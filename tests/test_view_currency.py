"""Resets by a balancer whose view lacks routes or targets that others know."""

import pytest

from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    tick,
    update_routing,
)
from lycheeglade.relay_message import ConnectionNotHeld, HomeFound
from tests.connections import (
    AGENTS,
    KEY,
    TARGETS,
    BalancerRecorder,
    data,
    make_report,
    make_target,
    make_view,
)

NEW_TARGET = make_target(4)


@pytest.fixture
def recorder():
    return BalancerRecorder()


@pytest.fixture
def balancer(recorder):
    balancer = recorder.make(make_view(TARGETS), 1.0)
    for agent in AGENTS:
        receive_message(balancer, make_report(), agent, 1.0)
    recorder.sent.clear()
    return balancer


def deny(balancer, agents, now):
    for agent in agents:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, now)


def test_target_that_the_view_gains_during_a_search_is_asked(balancer, recorder):
    """Another balancer had placed the connection at it before."""
    receive_segment(balancer, data(acknowledgement=77), 9.0)
    deny(balancer, AGENTS[:2], 9.01)
    update_routing(balancer, make_view([*TARGETS, NEW_TARGET], revision=6), 9.02)
    receive_message(balancer, make_report(), NEW_TARGET.agent, 9.02)
    deny(balancer, AGENTS[2:], 9.03)
    tick(balancer, 9.04)
    assert recorder.resets == []
    receive_message(balancer, HomeFound(KEY, 1000), NEW_TARGET.agent, 9.05)
    agents = [agent for agent, _ in recorder.pop_forwarded_segments()]
    assert agents[-1] == NEW_TARGET.agent


def test_target_that_the_view_gains_during_a_search_may_deny_it(balancer, recorder):
    receive_segment(balancer, data(acknowledgement=77), 9.0)
    update_routing(balancer, make_view([*TARGETS, NEW_TARGET], revision=6), 9.02)
    deny(balancer, AGENTS, 9.03)
    assert recorder.resets == []
    deny(balancer, [NEW_TARGET.agent], 9.04)
    assert recorder.resets == [(KEY, 77)]
