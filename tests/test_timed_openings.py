"""Balancers and agents with routes whose requests have an aim."""

from dataclasses import replace

import pytest

from lycheeglade import connection_agent
from lycheeglade.connection_balancer import receive_message, receive_segment, tick
from lycheeglade.connection_opening import MIN_OPENING_TIMEOUT_S
from lycheeglade.relay_message import (
    ForwardSegment,
    HomeFound,
    OpeningHeld,
    OpeningRefused,
)
from lycheeglade.segment import ConnectionKey
from tests.connections import (
    BALANCER,
    CALLER,
    ROUTE,
    SERVICE,
    AgentRecorder,
    BalancerRecorder,
    data,
    from_target,
    make_report,
    make_target,
    make_view,
    opening,
)

KEY = ConnectionKey(CALLER, SERVICE)
TARGETS = [make_target(number) for number in (1, 2, 3)]
AGENTS = [target.agent for target in TARGETS]
OTHER_AGENT = AGENTS[1]
ATTEMPT_S = 1.4
AIM_S = 0.352
TIMED_ROUTE = replace(ROUTE, aim=AIM_S, priority=1)
WORK_S = 0.03


def make_balancer(recorder, route=TIMED_ROUTE):
    balancer = recorder.make(make_view(TARGETS, routes=(route,)))
    for agent in AGENTS:
        receive_message(balancer, make_report(), agent, 0.0)
    recorder.sent.clear()
    return balancer


@pytest.fixture
def recorder():
    return BalancerRecorder()


@pytest.fixture
def balancer(recorder):
    return make_balancer(recorder)


def hold_opening(balancer, recorder, now):
    receive_segment(balancer, opening(), now)
    ((agent, _),) = recorder.pop_forwarded_segments()
    receive_message(balancer, OpeningHeld(KEY), agent, now + 0.003)
    return agent


def test_opening_names_its_priority_and_the_times_left(balancer, recorder):
    receive_segment(balancer, opening(), 1.0)
    ((_, message),) = recorder.pop_forwarded_segments()
    assert message.priority == 1
    assert (message.aim_left, message.time_left) == (AIM_S, ATTEMPT_S)
    tick(balancer, 1.0 + MIN_OPENING_TIMEOUT_S)
    ((_, message),) = recorder.pop_forwarded_segments()
    assert message.aim_left == pytest.approx(AIM_S - MIN_OPENING_TIMEOUT_S)
    assert message.time_left == pytest.approx(ATTEMPT_S - MIN_OPENING_TIMEOUT_S)


def test_copy_counts_from_the_first_opening_segment(balancer, recorder):
    """The first segment came by another balancer 0.6 s before."""
    receive_segment(balancer, opening(copies=2), 1.0)
    ((_, message),) = recorder.pop_forwarded_segments()
    assert message.aim_left == pytest.approx(AIM_S - 0.6)
    assert message.time_left == pytest.approx(ATTEMPT_S - 0.6)


def test_copies_that_come_at_once_show_how_old_the_opening_is(balancer, recorder):
    """A balancer without a view kept them; the agent held them too long."""
    receive_segment(balancer, opening(), 1.0)
    receive_segment(balancer, opening(copies=2), 1.0)
    recorder.sent.clear()
    tick(balancer, 1.0 + MIN_OPENING_TIMEOUT_S)
    ((_, message),) = recorder.pop_forwarded_segments()
    assert message.time_left == pytest.approx(ATTEMPT_S - 0.6 - MIN_OPENING_TIMEOUT_S)


def test_route_without_aim_names_no_times(recorder):
    balancer = make_balancer(recorder, replace(ROUTE, priority=2))
    receive_segment(balancer, opening(), 1.0)
    ((_, message),) = recorder.pop_forwarded_segments()
    assert (message.aim_left, message.time_left) == (0.0, 0.0)


def test_opening_is_placed_nowhere_after_its_caller_gave_up(balancer, recorder):
    receive_segment(balancer, opening(), 1.0)
    recorder.sent.clear()
    tick(balancer, 1.0 + ATTEMPT_S)
    assert recorder.pop_forwarded_segments() == []
    assert recorder.resets == []
    assert recorder.events[-1][1]["cause"] == "too-late"
    # The caller opens another connection from the same port.
    receive_segment(balancer, opening(), 3.0)
    ((_, message),) = recorder.pop_forwarded_segments()
    assert message.time_left == ATTEMPT_S


def test_openings_held_by_an_agent_that_restarts_are_placed_again(balancer, recorder):
    """The new process knows none of them; they waited there for ever."""
    agent = hold_opening(balancer, recorder, 1.0)
    receive_message(balancer, make_report(incarnation=2), agent, 1.1)
    tick(balancer, 1.12)
    ((chosen, message),) = recorder.pop_forwarded_segments()
    assert chosen != agent
    assert message.aim_left == pytest.approx(AIM_S - 0.12)
    # Its answer to a copy of the earlier message changes nothing.
    receive_message(balancer, HomeFound(KEY, 1000), chosen, 1.13)
    receive_message(balancer, OpeningRefused(KEY), agent, 1.14)
    assert recorder.resets == []


def test_refusal_of_all_tries_reaches_the_caller(balancer, recorder):
    agent = hold_opening(balancer, recorder, 1.0)
    receive_message(balancer, OpeningRefused(KEY), agent, 1.1)
    assert recorder.resets == [(KEY, 0)]


def test_refused_copy_does_not_reset_what_the_first_opening_opened(balancer, recorder):
    """The first opening segment came by another balancer."""
    receive_segment(balancer, opening(copies=1), 1.2)
    ((agent, _),) = recorder.pop_forwarded_segments()
    receive_message(balancer, OpeningHeld(KEY), agent, 1.203)
    receive_message(balancer, OpeningRefused(KEY), agent, 1.204)
    assert recorder.resets == []


def test_refused_try_does_not_reset_what_an_earlier_try_opened(balancer, recorder):
    """The first agent accepted the opening, but its message was lost."""
    receive_segment(balancer, opening(), 1.0)
    recorder.sent.clear()
    tick(balancer, 1.0 + MIN_OPENING_TIMEOUT_S)
    ((second, _),) = recorder.pop_forwarded_segments()
    receive_message(balancer, OpeningHeld(KEY), second, 1.034)
    receive_message(balancer, OpeningRefused(KEY), second, 1.035)
    assert recorder.resets == []
    assert recorder.events[-1][1]["is_told"] is False


def test_refusal_does_not_reset_what_an_early_copy_opened(balancer, recorder):
    """The copy came by another balancer, up to 0.03 s before its time."""
    agent = hold_opening(balancer, recorder, 1.0)
    receive_message(balancer, OpeningRefused(KEY), agent, 1.19)
    assert recorder.resets == []


def fill_target(agent, recorder, ports):
    """Start a request of each port at the target, and measure its time."""
    agent.service_time.observe(WORK_S)
    for port in ports:
        for segment in (opening(port), data(port)):
            message = recorder.make_forward_segment(segment)
            connection_agent.receive_message(agent, message, BALANCER, 0.0)
    recorder.delivered.clear()
    recorder.sent.clear()


def receive_timed(agent, recorder, port, now, **fields):
    fields = {"priority": 1, "aim_left": AIM_S, "time_left": ATTEMPT_S, **fields}
    message = recorder.make_forward_segment(opening(port), **fields)
    connection_agent.receive_message(agent, message, BALANCER, now)


@pytest.fixture
def agent_recorder():
    return AgentRecorder()


@pytest.fixture
def agent(agent_recorder):
    agent = agent_recorder.make()
    fill_target(agent, agent_recorder, range(1, 6))
    return agent


def finish(agent, port, now):
    answer = from_target(port, data_bytes=9)
    connection_agent.receive_from_target(agent, answer, now)


def delivered_ports(recorder):
    return [segment.source.port for segment, _ in recorder.delivered]


def test_lower_priority_does_not_take_the_slot_of_a_higher_one(agent, agent_recorder):
    """The latest opening went next, whatever it carried."""
    receive_timed(agent, agent_recorder, 101, 0.0, priority=1)
    receive_timed(agent, agent_recorder, 102, 0.01, priority=2)
    finish(agent, 1, 0.03)
    assert delivered_ports(agent_recorder) == [101]


def test_late_opening_does_not_take_the_slot_of_one_in_time(agent, agent_recorder):
    """The latest opening went next, also if its aim had passed."""
    receive_timed(agent, agent_recorder, 101, 0.0)
    receive_timed(agent, agent_recorder, 102, 0.01, aim_left=-0.3, time_left=0.6)
    finish(agent, 1, 0.03)
    assert delivered_ports(agent_recorder) == [101]


def test_no_opening_is_delivered_after_its_caller_gave_up(agent, agent_recorder):
    """It was held for 1.2 s, however long its caller had waited before."""
    receive_timed(agent, agent_recorder, 101, 0.0, aim_left=-0.5, time_left=0.5)
    # The end of a request comes before the periodic work.
    finish(agent, 1, 0.5)
    assert delivered_ports(agent_recorder) == []
    assert (BALANCER, OpeningRefused(KEY._replace(caller=opening(101).source))) in (
        agent_recorder.sent
    )


def test_opening_that_cannot_be_served_in_time_does_not_wait(agent, agent_recorder):
    """It waited up to 1.2 s, although its expected wait exceeded its time."""
    agent.service_time.mean = 0.3
    fields = {"aim_left": -0.4, "time_left": 0.5}
    receive_timed(agent, agent_recorder, 101, 0.0, **fields)
    assert agent.held_openings_by_key == {}
    assert agent_recorder.events[-1][1]["cause"] == "too-late"
    sent = [message for _, message in agent_recorder.sent]
    assert isinstance(sent[-1], OpeningRefused)
    fields["candidates"] = (OTHER_AGENT,)
    receive_timed(agent, agent_recorder, 102, 0.0, **fields)
    address, forwarded = agent_recorder.sent[-1]
    assert address == OTHER_AGENT
    assert (forwarded.priority, forwarded.time_left) == (1, 0.5)
    assert agent_recorder.events[-1][1]["cause"] == "too-late"
    # The candidate would answer too late as well.
    receive_timed(agent, agent_recorder, 103, 0.0, costs=(1.5,), **fields)
    assert isinstance(agent_recorder.sent[-1][1], OpeningRefused)


def test_forwarded_opening_lost_the_time_for_which_it_was_held(agent, agent_recorder):
    receive_timed(agent, agent_recorder, 101, 0.0, candidates=(OTHER_AGENT,))
    agent.service_time.mean = 1.0
    connection_agent.tick(agent, 0.1)
    ((_, message),) = [pair for pair in agent_recorder.sent if pair[0] == OTHER_AGENT]
    assert isinstance(message, ForwardSegment)
    assert message.aim_left == pytest.approx(AIM_S - 0.1)
    assert message.time_left == pytest.approx(ATTEMPT_S - 0.1)


def test_returned_opening_that_was_held_does_not_reset_its_copys_connection(
    agent, agent_recorder
):
    """A copy may have opened the connection by another balancer."""
    receive_timed(agent, agent_recorder, 101, 0.0)
    for port in range(1, 6):
        finish(agent, port, 0.25)
    ((segment, tag),) = agent_recorder.delivered
    returned = replace(segment, returned=True, tag=tag)
    agent_recorder.sent.clear()
    connection_agent.receive_from_target(agent, returned, 0.26)
    assert agent_recorder.resets == []
    key = segment.key_from_caller
    assert agent_recorder.sent == [
        (BALANCER, OpeningHeld(key)),
        (BALANCER, OpeningRefused(key)),
    ]


def test_returned_try_does_not_reset_what_an_earlier_try_opened(agent, agent_recorder):
    """The balancer's first try was accepted late by another agent."""
    for port in range(1, 6):
        finish(agent, port, 0.03)
    receive_timed(agent, agent_recorder, 101, 0.04, time_left=ATTEMPT_S - 0.03)
    ((segment, tag),) = agent_recorder.delivered
    returned = replace(segment, returned=True, tag=tag)
    connection_agent.receive_from_target(agent, returned, 0.041)
    assert agent_recorder.resets == []
    assert agent_recorder.sent[-1] == (
        BALANCER,
        OpeningRefused(returned.key_from_caller),
    )


def test_load_names_the_openings_held_by_priority(agent, agent_recorder):
    for port, priority in ((101, 2), (102, 1), (103, 2)):
        receive_timed(agent, agent_recorder, port, 0.0, priority=priority)
    connection_agent.tick(agent, 1.0)
    ((_, fields),) = [e for e in agent_recorder.events if e[0] == "load"]
    assert fields["held"] == 3
    assert fields["held_by_priority"] == "1:1,2:2"


def test_time_held_is_recorded_by_priority(agent, agent_recorder):
    records = []
    agent.actions = replace(agent.actions, record=lambda *args: records.append(args))
    receive_timed(agent, agent_recorder, 101, 0.0, priority=2)
    finish(agent, 1, 0.04)
    assert ("held-2", 0.04) in records


def test_opening_survives_the_restart_of_the_agent_where_it_waits(balancer, recorder):
    """The balancer suppressed the caller's copies for 1.2 s."""
    recorders = {address: AgentRecorder() for address in AGENTS}
    agents = {address: each.make() for address, each in recorders.items()}
    delivered = []

    def exchange(now):
        for address, message in recorder.pop_forwarded_segments():
            each = recorders[address]
            each.segments_by_datagram[message.datagram] = opening()
            connection_agent.receive_message(agents[address], message, BALANCER, now)
        for address, each in recorders.items():
            for segment, _ in each.delivered:
                delivered.append((address, segment.key_from_caller))
                answer = from_target(segment.source.port, opens=True, sequence=1000)
                connection_agent.receive_from_target(agents[address], answer, now)
            each.delivered.clear()
            for to, message in each.sent:
                if to == BALANCER:
                    receive_message(balancer, message, address, now)
            each.sent.clear()

    for address, each in recorders.items():
        fill_target(agents[address], each, range(1, 6))
        report = make_report(service_time=WORK_S, running=5)
        receive_message(balancer, report, address, 0.9)
    receive_segment(balancer, opening(), 1.0)
    exchange(1.0)
    (holder,) = [a for a, agent in agents.items() if agent.held_openings_by_key]
    agents[holder] = recorders[holder].make()
    agents[holder].incarnation = 2
    for address, agent in agents.items():
        if address != holder:
            for port in range(1, 6):
                finish(agent, port, 1.1)
    connection_agent.tick(agents[holder], 1.1)
    receive_message(balancer, make_report(incarnation=2), holder, 1.1)
    for now in (1.12, 1.14, 1.16, 1.18):
        tick(balancer, now)
        exchange(now)
    receive_segment(balancer, opening(copies=1), 1.2)
    exchange(1.2)
    homes = {address for address, key in delivered if key == KEY}
    assert len(homes) == 1
    assert holder not in homes


@pytest.mark.parametrize("times", [{}, {"aim_left": 0.0, "time_left": 0.0}])
def test_held_opening_that_the_target_answers_is_not_refused(
    agent, agent_recorder, times
):
    """The target got it from an earlier process of the agent.

    The refusal reset the connection, and a copy of the opening left an entry
    that stopped this process.
    """
    key = KEY._replace(caller=opening(101).source)
    receive_timed(agent, agent_recorder, 101, 0.2, **times)
    answer = from_target(101, opens=True, sequence=1000)
    connection_agent.receive_from_target(agent, answer, 0.21)
    assert (BALANCER, HomeFound(key, 1000, is_open=False)) in agent_recorder.sent
    receive_timed(agent, agent_recorder, 101, 0.22, **times)
    assert agent.held_openings_by_key == {}
    for port in range(1, 6):
        finish(agent, port, 0.3)
    connection_agent.tick(agent, 1.7)
    assert (BALANCER, OpeningRefused(key)) not in agent_recorder.sent
