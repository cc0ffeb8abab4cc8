"""Connections of a caller's address that is used again within a minute."""

from dataclasses import replace

import pytest

from lycheeglade.connection_agent import receive_from_target
from lycheeglade.connection_agent import receive_message as agent_receive
from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    tick,
)
from lycheeglade.relay_message import ConnectionNotHeld, HomeFound
from lycheeglade.target_load import CRASH_TIMEOUT_S
from tests.caller_fleet import Fleet, disturb_at_random, roll
from tests.connections import (
    AGENTS,
    BALANCER,
    KEY,
    AgentRecorder,
    BalancerRecorder,
    data,
    from_target,
    make_report,
    opening,
)

FORMER_SEQUENCE = 1000
SEQUENCE = 3_000_000_000
SEGMENT = data(acknowledgement=SEQUENCE + 1)


@pytest.fixture
def recorder():
    return BalancerRecorder()


@pytest.fixture
def balancer(recorder):
    """Return a balancer that knows the home of a former connection."""
    balancer = recorder.make_heard()
    receive_message(balancer, HomeFound(KEY, FORMER_SEQUENCE), AGENTS[0], 0.0)
    return balancer


def forwarded_to(recorder):
    return [agent for agent, _ in recorder.pop_forwarded_segments()]


def test_segment_that_acknowledges_another_target_is_searched(balancer, recorder):
    """It went to the former home, which does not hold the connection."""
    receive_segment(balancer, SEGMENT, 10.0)
    recorder.pop_forwarded_segments()
    receive_message(balancer, HomeFound(KEY, SEQUENCE), AGENTS[1], 10.01)
    receive_segment(balancer, SEGMENT, 10.1)
    assert forwarded_to(recorder) == [AGENTS[1]] * 2


def test_denial_by_a_former_home_does_not_reset_the_connection(balancer, recorder):
    """Another balancer's search made the former home deny the connection."""
    denial = ConnectionNotHeld(KEY, SEGMENT.acknowledgement)
    receive_message(balancer, denial, AGENTS[0], 10.0)
    assert recorder.resets == []


@pytest.mark.parametrize("is_open", [False, True])
def test_denied_segment_without_acknowledgement_is_searched(recorder, is_open):
    """All its copies went to the same home, which denied each of them."""
    balancer = recorder.make_heard()
    found = HomeFound(KEY, FORMER_SEQUENCE, is_open=is_open)
    receive_message(balancer, found, AGENTS[0], 0.0)
    segment = replace(SEGMENT, acknowledges=False)
    receive_segment(balancer, segment, 10.0)
    denial = ConnectionNotHeld(KEY, SEGMENT.acknowledgement)
    receive_message(balancer, denial, AGENTS[0], 10.01)
    recorder.pop_forwarded_segments()
    receive_segment(balancer, segment, 10.2)
    assert len(forwarded_to(recorder)) == len(AGENTS)
    assert recorder.resets == []


def test_denial_by_a_home_that_has_restarted_does_not_reset_at_once(recorder):
    """Its agent cannot tell which connection of the address it has found."""
    balancer = recorder.make_heard()
    receive_message(balancer, HomeFound(KEY, -1), AGENTS[0], 0.0)
    receive_segment(balancer, SEGMENT, 9.9)
    denial = ConnectionNotHeld(KEY, SEGMENT.acknowledgement)
    receive_message(balancer, denial, AGENTS[0], 10.0)
    assert recorder.resets == []


def test_denied_segment_that_acknowledges_nothing_is_searched(recorder):
    """Each copy went to a target that its caller had not chosen."""
    balancer = recorder.make_heard()
    receive_message(balancer, HomeFound(KEY, SEQUENCE, is_open=False), AGENTS[0], 1.0)
    segment = replace(data(acknowledgement=0), acknowledges=False)
    receive_segment(balancer, segment, 1.1)
    receive_message(balancer, ConnectionNotHeld(KEY, 0), AGENTS[0], 1.11)
    recorder.pop_forwarded_segments()
    receive_segment(balancer, segment, 1.3)
    assert set(forwarded_to(recorder)) == set(AGENTS)
    assert recorder.resets == []


def test_late_segment_of_a_former_connection_resets_nothing(recorder):
    """No target holds its connection, but one holds the present one."""
    balancer = recorder.make_heard()
    receive_message(balancer, HomeFound(KEY, SEQUENCE), AGENTS[0], 1.0)
    receive_segment(balancer, data(acknowledgement=FORMER_SEQUENCE + 1), 1.1)
    for agent in AGENTS:
        denial = ConnectionNotHeld(KEY, FORMER_SEQUENCE + 1)
        receive_message(balancer, denial, agent, 1.12)
    tick(balancer, 1.2)
    assert recorder.resets == []


def test_connection_that_is_lost_after_a_former_one_is_reset(balancer, recorder):
    """Its caller must not wait until it gives up."""
    for now in (10.0, 10.2):
        receive_segment(balancer, SEGMENT, now)
        for agent in AGENTS:
            denial = ConnectionNotHeld(KEY, SEGMENT.acknowledgement)
            receive_message(balancer, denial, agent, now + 0.01)
    assert (KEY, SEGMENT.acknowledgement) in recorder.resets


def test_long_connection_is_forwarded_without_further_searches(balancer, recorder):
    """A target may send more than a balancer expects of a connection."""
    receive_segment(balancer, SEGMENT, 10.0)
    receive_message(balancer, HomeFound(KEY, FORMER_SEQUENCE), AGENTS[0], 10.01)
    recorder.pop_forwarded_segments()
    receive_segment(balancer, SEGMENT, 10.1)
    assert forwarded_to(recorder) == [AGENTS[0]]


def test_repeated_answer_starts_no_further_search_of_a_long_download(recorder):
    """Each query of a search is answered; the second answer came last."""
    balancer = recorder.make_heard()
    acknowledgement = FORMER_SEQUENCE + 1_000_000
    for step in range(3):
        now = 10.0 + 0.16 * step
        segment = data(sequence=8 + step, acknowledgement=acknowledgement)
        receive_segment(balancer, segment, now)
    for now in (10.4, 10.56, 10.72):
        receive_message(balancer, HomeFound(KEY, FORMER_SEQUENCE), AGENTS[0], now)
    recorder.pop_forwarded_segments()
    segment = data(sequence=100, acknowledgement=acknowledgement + 1200)
    receive_segment(balancer, segment, 10.8)
    [(agent, forwarded)] = recorder.pop_forwarded_segments()
    assert (agent, forwarded.search) == (AGENTS[0], False)


def test_download_of_any_length_stays_with_its_home(balancer, recorder):
    """The acknowledgements get far from the target's initial number."""
    for step in range(1, 200):
        acknowledgement = FORMER_SEQUENCE + step * 20_000
        receive_segment(balancer, data(acknowledgement=acknowledgement), step / 500)
    assert set(forwarded_to(recorder)) == {AGENTS[0]}
    assert balancer.connections_by_key[KEY].search is None


def test_initial_number_near_that_of_a_former_home_is_told_apart(balancer, recorder):
    """Within 2^24, segments went to the former home, and then a reset came."""
    segment = data(acknowledgement=FORMER_SEQUENCE + 704_000)
    receive_segment(balancer, segment, 10.0)
    assert len(forwarded_to(recorder)) == len(AGENTS)


def test_crash_of_a_target_that_its_caller_did_not_choose_resets_nothing(recorder):
    """Two targets answered copies of the opening; the other one lives."""
    balancer = recorder.make_heard()
    receive_message(
        balancer, HomeFound(KEY, FORMER_SEQUENCE, is_open=False), AGENTS[0], 1.0
    )
    now = 1.0
    while now < 1.5 + CRASH_TIMEOUT_S:
        now += 0.1
        tick(balancer, now)
        for agent in AGENTS[1:]:
            receive_message(balancer, make_report(), agent, now)
    receive_segment(balancer, SEGMENT, now)
    assert recorder.resets == []


def test_agent_does_not_claim_a_connection_that_it_takes_for_a_former_one():
    """Its balancer would send the connection's segments here."""
    recorder = AgentRecorder()
    agent = recorder.make()
    message = recorder.make_forward_segment(opening())
    agent_receive(agent, message, BALANCER, 0.0)
    receive_from_target(agent, from_target(opens=True, sequence=FORMER_SEQUENCE), 0.0)
    receive_from_target(
        agent, from_target(sequence=FORMER_SEQUENCE + 1, data_bytes=9), 0.1
    )
    recorder.sent.clear()
    query = recorder.make_forward_segment(SEGMENT, search=True)
    agent_receive(agent, query, BALANCER, 10.0)
    assert recorder.sent == []
    ((_, tag),) = recorder.delivered[1:]
    receive_from_target(
        agent,
        replace(SEGMENT, returned=True, tag=tag),
        10.0,
    )
    assert recorder.sent == [
        (BALANCER, ConnectionNotHeld(KEY, SEGMENT.acknowledgement))
    ]


@pytest.mark.parametrize("acknowledgement", [1, 20_000])
def test_agent_does_not_deny_a_delayed_segment_of_a_long_answer(acknowledgement):
    """A balancer repeats a search by an old segment if its answer was lost.

    It reset the connection for the denial, while the target still held it.
    """
    recorder = AgentRecorder()
    agent = recorder.make()
    message = recorder.make_forward_segment(opening())
    agent_receive(agent, message, BALANCER, 0.0)
    receive_from_target(agent, from_target(opens=True, sequence=FORMER_SEQUENCE), 0.0)
    sequence = FORMER_SEQUENCE + 1
    for _ in range(100):
        segment = from_target(sequence=sequence, data_bytes=1200)
        receive_from_target(agent, segment, 0.1)
        sequence += 1200
    receive_from_target(agent, from_target(sequence=sequence, finishes=True), 0.2)
    recorder.sent.clear()
    delayed = data(acknowledgement=FORMER_SEQUENCE + acknowledgement)
    query = recorder.make_forward_segment(delayed, search=True)
    agent_receive(agent, query, BALANCER, 0.3)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, FORMER_SEQUENCE))]


def test_agent_does_not_report_a_half_open_connection_as_open():
    """Its balancers preferred it to the target that the caller had chosen.

    They reset the connection once this target returned a segment of it.
    """
    recorder = AgentRecorder()
    agent = recorder.make()
    message = recorder.make_forward_segment(opening())
    agent_receive(agent, message, BALANCER, 0.0)
    receive_from_target(agent, from_target(opens=True, sequence=FORMER_SEQUENCE), 0.0)
    receive_from_target(
        agent, from_target(sequence=FORMER_SEQUENCE + 1, data_bytes=9), 0.1
    )
    recorder.sent.clear()
    agent_receive(agent, message, BALANCER, 10.0)
    receive_from_target(agent, from_target(opens=True, sequence=SEQUENCE), 10.0)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, SEQUENCE, is_open=False))]


def test_agent_does_not_report_a_former_connection_for_a_new_opening():
    """A balancer that searched the new connection took it for its home."""
    recorder = AgentRecorder()
    agent = recorder.make()
    message = recorder.make_forward_segment(opening())
    agent_receive(agent, message, BALANCER, 0.0)
    receive_from_target(agent, from_target(opens=True, sequence=FORMER_SEQUENCE), 0.0)
    receive_from_target(
        agent, from_target(sequence=FORMER_SEQUENCE + 1, data_bytes=9), 0.1
    )
    recorder.sent.clear()
    other_balancer = BALANCER._replace(ip="10.1.0.11")
    copy = recorder.make_forward_segment(opening(copies=1), balancer=other_balancer)
    agent_receive(agent, copy, other_balancer, 0.2)
    assert recorder.sent == [(other_balancer, HomeFound(KEY, FORMER_SEQUENCE))]
    recorder.sent.clear()
    third_balancer = BALANCER._replace(ip="10.1.0.12")
    new_opening = recorder.make_forward_segment(
        replace(opening(), sequence=8, datagram=b"new"), balancer=third_balancer
    )
    agent_receive(agent, new_opening, third_balancer, 10.0)
    assert recorder.sent == []


@pytest.mark.parametrize("search", [False, True])
def test_target_with_a_finished_connection_gets_no_search_for_another(search):
    """A target answers data of an ended connection with a reset."""
    recorder = AgentRecorder()
    agent = recorder.make()
    message = recorder.make_forward_segment(opening())
    agent_receive(agent, message, BALANCER, 0.0)
    receive_from_target(agent, from_target(opens=True, sequence=FORMER_SEQUENCE), 0.0)
    finish = from_target(sequence=FORMER_SEQUENCE + 1, finishes=True)
    receive_from_target(agent, finish, 0.1)
    recorder.delivered.clear()
    recorder.sent.clear()
    query = recorder.make_forward_segment(SEGMENT, search=search)
    agent_receive(agent, query, BALANCER, 10.0)
    assert len(recorder.delivered) == (not search)
    denial = BALANCER, ConnectionNotHeld(KEY, SEGMENT.acknowledgement)
    assert recorder.sent == ([denial] if search else [])


@pytest.mark.parametrize("seed", range(4))
def test_planned_restarts_break_no_connection_of_a_reused_address(seed):
    """Balancers that knew former homes reset the present connections."""
    fleet = Fleet(seed, reuse_share=0.5, slow_share=0.3)
    roll(fleet, 60.0)
    assert fleet.violations == []


@pytest.mark.parametrize("seed", range(4))
def test_disturbances_elsewhere_break_no_connection_of_a_reused_address(seed):
    """A former home was taken for the present one after a crash or a pause."""
    fleet = Fleet(seed, reuse_share=0.5, slow_share=0.3)
    disturb_at_random(fleet, 60.0)
    assert fleet.violations == []
