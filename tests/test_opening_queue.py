import pytest

from lycheeglade import connection_admission, connection_agent
from lycheeglade.opening_queue import (
    FIRST_REQUEST_TIMEOUT_S,
    MAX_HOLD_S,
    OpeningQueue,
    queue_limit,
    target_limit,
)
from lycheeglade.relay_message import OpeningRefused
from lycheeglade.segment import ConnectionKey
from tests.connections import BALANCER, SERVICE, AgentRecorder, data, opening
from tests.opening_replay import Call, Kind, OpeningReplay, read_arrivals

KEYS = [ConnectionKey(opening(port).source, SERVICE) for port in range(40001, 40040)]
SLOTS = 4
# A request takes 62.9 ms, and 1.6 times as long at a target that has just
# started. Its caller wants the answer within AIM_S.
WORK_S = 0.0629 * 1.6
AIM_S = 0.275
TARGETS = 6
# An answer in time counts 1, a late one LATE_WORTH, none nothing. No window of
# a day should be worth less than WORST_WINDOW.
LATE_WORTH = 0.3
WORST_WINDOW = 0.6


def replay_return(target):
    arrivals = read_arrivals("return-after-power-loss", TARGETS, target)
    calls = [Call(at, Kind(WORK_S)) for at in arrivals]
    return OpeningReplay(calls, SLOTS, seed=target).run()


def mean_worth(calls):
    worths = [
        1.0
        if call.answered_at - call.arrived_at <= AIM_S
        else LATE_WORTH * (call.answered_at < float("inf"))
        for call in calls
    ]
    return sum(worths) / len(worths)


@pytest.mark.parametrize("target", range(TARGETS))
def test_callers_that_all_return_at_once_are_served(target):
    assert mean_worth(replay_return(target)) >= WORST_WINDOW


def test_without_the_queue_callers_use_up_their_retries(monkeypatch):
    """The target refuses what exceeds its queue; callers return at once."""
    monkeypatch.setattr(connection_admission, "_has_room", lambda agent, *_: True)
    worths = [mean_worth(replay_return(target)) for target in range(TARGETS)]
    assert min(worths) < WORST_WINDOW


def test_limits_follow_from_the_measured_service_time():
    assert target_limit(1, 0.015) == 5
    assert target_limit(4, 0.08) == 8
    assert target_limit(4, 0.01) == 28
    assert queue_limit(4, 0.08) > queue_limit(1, 0.08) > 0


def test_latest_goes_first_and_the_oldest_is_refused_when_it_is_full():
    queue = OpeningQueue()
    limit = queue_limit(1, 0.25)
    refused = [
        key
        for number, key in enumerate(KEYS[: limit + 2])
        for key in queue.hold(key, 1, 0.25, number / 100)
    ]
    assert refused == KEYS[:2]
    assert queue.take_next() == KEYS[limit + 1]


def test_what_has_waited_too_long_is_refused():
    queue = OpeningQueue()
    queue.hold(KEYS[0], 1, 0.1, 0.0)
    queue.hold(KEYS[1], 1, 0.1, 0.5)
    assert queue.expire(MAX_HOLD_S - 0.01) == []
    assert queue.expire(MAX_HOLD_S) == [KEYS[0]]


def test_caller_that_never_sends_its_request_frees_its_place():
    queue = OpeningQueue()
    for key in KEYS[: target_limit(1, 0.1)]:
        queue.record_accepted(key, 0.0)
    assert not queue.has_room(0, 1, 0.1, 0.0)
    assert queue.has_room(0, 1, 0.1, FIRST_REQUEST_TIMEOUT_S)


def test_held_connection_that_is_refused_was_never_at_the_target():
    """A refusal says that nothing has run, so it has to be true."""
    recorder = AgentRecorder()
    agent = recorder.make()
    ports = range(1, 80)
    for port in ports:
        message = recorder.make_forward_segment(opening(port))
        connection_agent.receive_message(agent, message, BALANCER, 0.0)
    for step in range(100):
        connection_agent.tick(agent, step * 0.02)
    messages = [message for _, message in recorder.sent]
    refused = {m.key.caller.port for m in messages if isinstance(m, OpeningRefused)}
    delivered = {segment.source.port for segment, _ in recorder.delivered}
    assert refused
    # An open connection may have come of a copy; only a balancer knows.
    assert recorder.resets == []
    assert refused | delivered == set(ports)
    assert not refused & delivered


def test_only_what_finds_the_queue_full_goes_to_another_agent():
    recorder = AgentRecorder()
    agent = recorder.make()
    other = opening().source._replace(ip="10.1.1.9")
    for port in range(101, 106):
        for segment in (opening(port), data(port)):
            message = recorder.make_forward_segment(segment)
            connection_agent.receive_message(agent, message, BALANCER, 0.0)
    for port in range(1, 30):
        message = recorder.make_forward_segment(
            opening(port), candidates=(other,), costs=(9.0,)
        )
        connection_agent.receive_message(agent, message, BALANCER, 0.0)
    forwarded = [m for a, m in recorder.sent if a == other]
    recorder.sent.clear()
    for step in range(100):
        connection_agent.tick(agent, step * 0.02)
    assert [m for a, m in recorder.sent if a == other] == []
    assert any(isinstance(m, OpeningRefused) for _, m in recorder.sent)
    assert len(forwarded) < 29
