from dataclasses import replace
from tracemalloc import get_traced_memory, start, stop

import pytest

from lycheeglade.address import Address
from lycheeglade.connection_agent import (
    ANSWER_TIMEOUT_S,
    receive_from_target,
    receive_message,
    tick,
)
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S
from lycheeglade.connection_load import MS_PER_S, announce_exit
from lycheeglade.relay_message import (
    OTHER_PROCESS,
    ConnectionNotHeld,
    ForwardSegment,
    HomeFound,
    LoadReport,
    LoadRequest,
)
from lycheeglade.segment import ConnectionKey
from lycheeglade.target_silence import (
    OPENING_TIMEOUT_S,
    SILENCE_EXPIRY_S,
    UNKNOWN_DATA_TIMEOUT_S,
)
from tests.connections import (
    BALANCER,
    CALLER,
    SERVICE,
    AgentRecorder,
    data,
    from_target,
    make_target,
    opening,
)

KEY = ConnectionKey(CALLER, SERVICE)
OTHER = make_target(9).agent
MAX_USED_BYTES = 2 << 20
LIFETIME = 10**12
OWN = 1
SYN_ACK = {"opens": True, "acknowledges": True, "sequence": 1000}


@pytest.fixture
def recorder():
    return AgentRecorder()


@pytest.fixture
def agent(recorder):
    return recorder.make()


def receive(agent, recorder, segment, now, **fields):
    receive_message(
        agent, recorder.make_forward_segment(segment, **fields), BALANCER, now
    )


def open_connection(agent, recorder, now=0.0):
    receive(agent, recorder, opening(), now)
    receive_from_target(agent, from_target(**SYN_ACK), now)
    receive_from_target(agent, from_target(acknowledges=True, sequence=1001), now)
    recorder.sent.clear()
    recorder.delivered.clear()


def returned(recorder):
    """Return the last delivered segment as returned by the target."""
    segment, tag = recorder.delivered[-1]
    return replace(segment, returned=True, tag=tag)


def test_opening_reaches_the_target_and_its_home_is_told(agent, recorder):
    receive(agent, recorder, opening(), 0.0)
    assert len(recorder.delivered) == 1
    receive_from_target(agent, from_target(**SYN_ACK), 0.001)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, 1000, is_open=False))]
    assert len(recorder.answers) == 1


def test_flood_of_balancers_does_not_end_the_reports(agent, recorder):
    """The more balancers were named, the later all of them were forgotten."""
    request = LoadRequest(slots=4)
    start()
    for step in range(500):
        now = step * 0.02
        if step % 25 == 0:
            receive_message(agent, request, BALANCER, now)
        for number in range(40):
            name = Address(f"10.{step >> 8}.{step & 255}.{number}", 7720)
            receive_message(agent, request, name, now)
        recorder.sent.clear()
        tick(agent, now)
    used, _ = get_traced_memory()
    stop()
    assert used < MAX_USED_BYTES
    # Reports come again soon after the flood, also without a request.
    receive_message(agent, request, BALANCER, now)
    recorder.sent.clear()
    for step in range(600):
        tick(agent, now + step * 0.02)
        if step % 100 == 0:
            receive_message(agent, request, BALANCER, now + step * 0.02)
            recorder.sent.clear()
    reports = [
        address for address, sent in recorder.sent if isinstance(sent, LoadReport)
    ]
    assert reports.count(BALANCER) >= 3
    assert set(reports) == {BALANCER}


@pytest.mark.parametrize("is_open", [True, False])
def test_balancers_of_one_connection_are_bounded(agent, recorder, is_open):
    """Each one that a segment named stayed for as long as its connection."""
    segment = data()
    if is_open:
        open_connection(agent, recorder)
    start()
    for number in range(20_000):
        name = Address(f"10.2.{number >> 8}.{number & 255}", 7720)
        message = recorder.make_forward_segment(segment, balancer=name)
        receive_message(agent, message, BALANCER, 1.0)
        recorder.sent.clear()
        recorder.delivered.clear()
        agent.last_heard_by_balancer.clear()
        agent.pending_by_tag.clear()
    used, _ = get_traced_memory()
    stop()
    assert used < MAX_USED_BYTES
    # The latest one is told of the home.
    receive_from_target(agent, from_target(**SYN_ACK | {"sequence": 5000}), 1.1)
    receive_from_target(agent, from_target(acknowledges=True, sequence=5001), 1.1)
    assert name in [
        address for address, sent in recorder.sent if isinstance(sent, HomeFound)
    ]


def test_opening_of_another_service_is_not_delivered(agent, recorder):
    """The address of a removed target may be assigned to another service."""
    receive(agent, recorder, opening(), 0.0, service="reel-depot")
    assert recorder.delivered == []
    assert len(recorder.resets) == 1


def test_returned_opening_goes_to_the_next_candidate(agent, recorder):
    receive(agent, recorder, opening(), 0.0, candidates=(OTHER,), costs=(1.0,))
    receive_from_target(agent, returned(recorder), 0.001)
    [(address, forwarded)] = recorder.sent
    assert address == OTHER
    assert forwarded.balancer == BALANCER
    assert forwarded.candidates == ()
    assert recorder.resets == []


def test_opening_that_nobody_takes_is_refused_at_once(agent, recorder):
    receive(agent, recorder, opening(), 0.0)
    receive_from_target(agent, returned(recorder), 0.001)
    assert recorder.resets == [(KEY, 0)]


def test_returned_copy_of_an_opening_refuses_nothing(agent, recorder):
    """The first copy may have opened the connection at another target."""
    receive(agent, recorder, opening(copies=1), 0.2)
    receive_from_target(agent, returned(recorder), 0.2)
    assert recorder.resets == []


def test_search_is_answered_by_the_home_alone(agent, recorder):
    open_connection(agent, recorder)
    receive(agent, recorder, data(), 1.0, search=True)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, 1000))]
    recorder.sent.clear()
    receive(agent, recorder, data(port=5), 1.0, search=True)
    receive_from_target(agent, returned(recorder), 1.0)
    [(_, message)] = recorder.sent
    assert isinstance(message, ConnectionNotHeld)
    assert message.key.caller.port == 5


def search_other_service(agent, recorder, now):
    recorder.sent.clear()
    recorder.delivered.clear()
    services = ("reel-depot",)
    receive(agent, recorder, data(), now, search=True, services=services)
    assert recorder.delivered == []
    return [message for _, message in recorder.sent]


def test_target_gets_no_segment_of_a_service_that_the_search_does_not_name(
    agent, recorder
):
    """Its agent denies the connection once it knows all of its target."""
    assert search_other_service(agent, recorder, CONNECTION_LIFETIME_S - 0.1) == []
    denials = search_other_service(agent, recorder, CONNECTION_LIFETIME_S)
    assert denials == [ConnectionNotHeld(KEY, 1001)]


def test_target_is_asked_for_a_connection_that_opened_before_its_agent_started(
    agent, recorder
):
    """The agent neither denied the connection nor asked, for up to 60 s."""
    services = ("reel-depot",)
    fields = {"search": True, "services": services, "any_service": True}
    receive(agent, recorder, data(), 1.0, **fields)
    assert len(recorder.delivered) == 1
    receive_from_target(agent, returned(recorder), 1.01)
    assert recorder.sent == [(BALANCER, ConnectionNotHeld(KEY, 1001))]
    receive(agent, recorder, data(port=5), CONNECTION_LIFETIME_S, **fields)
    assert len(recorder.delivered) == 1


def test_home_answers_a_search_that_does_not_name_its_service(agent, recorder):
    open_connection(agent, recorder)
    receive(agent, recorder, data(), 1.0, search=True, services=("reel-depot",))
    assert recorder.sent == [(BALANCER, HomeFound(KEY, 1000))]
    assert len(recorder.delivered) == 1


@pytest.mark.parametrize("lifetime", [0, LIFETIME])
@pytest.mark.parametrize("started_late_s", [-60.0, -5.1, -0.1, 0.4, 3.1, 60.0])
@pytest.mark.parametrize("incarnation", [0, OWN, OTHER_PROCESS])
def test_agent_denies_from_its_table_only_after_the_life_of_a_connection(
    agent, recorder, lifetime, started_late_s, incarnation
):
    """Each other rule reset connections that lived (review/2, review/7).

    The target may hold connections that an earlier process let in. That
    process may have been as short as one likes, all balancers that have heard
    it may have ended, and the time of day may have been set since.
    """
    agent.started_unix_ms = LIFETIME + started_late_s * MS_PER_S
    for now in (0.1, 1.0, 2.0):
        request = LoadRequest(1, lifetime=lifetime, incarnation=incarnation)
        receive_message(agent, request, BALANCER, now)
    for now in (2.1, 5.0, CONNECTION_LIFETIME_S - 0.1):
        assert search_other_service(agent, recorder, now) == []
    assert search_other_service(agent, recorder, CONNECTION_LIFETIME_S) != []


def test_agent_denies_no_connection_that_its_full_table_discarded(agent, recorder):
    """Its target holds the connection, which the balancer reset."""
    agent.limits = replace(agent.limits, agent_connections=1)
    started = CONNECTION_LIFETIME_S
    open_connection(agent, recorder, started)
    receive(agent, recorder, opening(port=5), started + 1.0)
    assert KEY not in agent.connections_by_key
    assert search_other_service(agent, recorder, started + 2.0) == []
    assert search_other_service(agent, recorder, 2.0 * started + 1.0) != []


def test_agent_that_started_anew_learns_its_connections(agent, recorder):
    """The target holds connections that opened before the agent started."""
    receive(agent, recorder, data(), 0.0, search=True)
    assert len(recorder.delivered) == 1
    receive_from_target(agent, from_target(acknowledges=True, data_bytes=50), 0.01)
    recorder.sent.clear()
    receive(agent, recorder, data(sequence=108), 0.02, search=True)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, -1))]


def test_target_that_lost_a_connection_is_reported(agent, recorder):
    open_connection(agent, recorder)
    receive(agent, recorder, data(acknowledgement=1300), 1.0)
    receive_from_target(agent, returned(recorder), 1.0)
    assert recorder.sent == [(BALANCER, ConnectionNotHeld(KEY, 1300))]
    assert agent.running_by_key == {}


def test_answer_time_is_learnt_without_the_wait_at_the_target(agent, recorder):
    """With one slot, two requests arrive at once and take 20 ms each."""
    for port in (1, 2):
        receive(agent, recorder, opening(port=port), 0.0)
        receive_from_target(agent, from_target(port=port, **SYN_ACK), 0.0)
        receive(agent, recorder, data(port=port), 0.0)
    for port, now in ((1, 0.02), (2, 0.04)):
        receive_from_target(agent, from_target(port=port, data_bytes=600), now)
    assert agent.service_time.mean == pytest.approx(0.02)


def test_refusal_of_a_full_target_teaches_nothing(agent, recorder):
    open_connection(agent, recorder)
    before = agent.service_time.mean
    receive(agent, recorder, data(), 1.0)
    receive_from_target(agent, from_target(data_bytes=80), 1.0002)
    assert agent.service_time.mean == before
    assert agent.running_by_key == {}


def test_copy_of_a_request_is_not_counted_again(agent, recorder):
    open_connection(agent, recorder)
    for _ in range(3):
        receive(agent, recorder, data(), 1.0)
    assert len(agent.running_by_key) == 1
    assert len(recorder.delivered) == 3


def test_lost_answer_does_not_count_for_good(agent, recorder):
    open_connection(agent, recorder)
    receive(agent, recorder, data(), 1.0)
    tick(agent, 1.1 + ANSWER_TIMEOUT_S)
    assert agent.running_by_key == {}
    assert agent.busy.average(100.0) == pytest.approx(0.0, abs=0.01)


def test_busy_share_counts_slots_and_not_the_queue(agent, recorder):
    """Queued requests must not add to the busy share of a single slot."""
    for port in range(1, 6):
        receive(agent, recorder, opening(port=port), 0.0)
        receive_from_target(agent, from_target(port=port, **SYN_ACK), 0.0)
        receive(agent, recorder, data(port=port), 0.0)
    for port in range(1, 6):
        receive_from_target(agent, from_target(port=port, data_bytes=9), port * 0.02)
    assert agent.busy.average(0.1) < 0.06
    assert agent.busy.average(60.0) < 0.001


def test_reports_go_to_balancers_that_were_heard(agent, recorder):
    receive_message(agent, LoadRequest(3), BALANCER, 0.0)
    [(address, report)] = recorder.sent
    assert address == BALANCER
    assert isinstance(report, LoadReport)
    assert agent.slots == 3
    recorder.sent.clear()
    tick(agent, 0.5)
    assert [address for address, _ in recorder.sent] == [BALANCER]
    recorder.sent.clear()
    tick(agent, 20.0)
    assert recorder.sent == []


def test_target_that_answers_nothing_is_reported_silent(agent, recorder):
    receive_message(agent, LoadRequest(1), BALANCER, 0.0)
    for port in (1, 2, 3):
        receive(agent, recorder, opening(port=port), 0.0)
    recorder.sent.clear()
    tick(agent, OPENING_TIMEOUT_S + 0.1)
    assert recorder.sent[-1][1].silent
    receive_from_target(agent, from_target(port=1, **SYN_ACK), OPENING_TIMEOUT_S + 0.2)
    tick(agent, OPENING_TIMEOUT_S + 0.3)
    assert not recorder.sent[-1][1].silent


def test_silent_target_gets_another_chance(agent, recorder):
    """Only new segments to the target can show that it answers again."""
    for port in (1, 2, 3):
        receive(agent, recorder, opening(port=port), 0.0)
    tick(agent, OPENING_TIMEOUT_S + 0.1)
    assert recorder.sent[-1][1].silent
    receive_message(agent, LoadRequest(1), BALANCER, 1.0)
    tick(agent, SILENCE_EXPIRY_S + 0.1)
    assert not recorder.sent[-1][1].silent


def search(agent, recorder, port, now):
    receive(agent, recorder, data(port=port), now, search=True, service="")


def test_target_that_returns_no_unknown_data_is_reported_silent(agent, recorder):
    """Without the report, callers are not told that connections are lost."""
    receive_message(agent, LoadRequest(1), BALANCER, 0.0)
    search(agent, recorder, 1, 0.0)
    search(agent, recorder, 2, 0.1)
    recorder.sent.clear()
    tick(agent, UNKNOWN_DATA_TIMEOUT_S - 0.05)
    assert not recorder.sent[-1][1].silent
    search(agent, recorder, 3, UNKNOWN_DATA_TIMEOUT_S)
    tick(agent, UNKNOWN_DATA_TIMEOUT_S + 0.1)
    assert recorder.sent[-1][1].silent
    # The next unanswered segment marks the target silent again at the next
    # tick.
    tick(agent, UNKNOWN_DATA_TIMEOUT_S + SILENCE_EXPIRY_S + 1.0)
    assert not recorder.sent[-1][1].silent
    search(agent, recorder, 4, UNKNOWN_DATA_TIMEOUT_S + SILENCE_EXPIRY_S + 1.1)
    tick(agent, UNKNOWN_DATA_TIMEOUT_S + SILENCE_EXPIRY_S + 1.2)
    assert recorder.sent[-1][1].silent
    receive_from_target(agent, from_target(port=9, acknowledges=True), 2.9)
    tick(agent, 3.4)
    assert not recorder.sent[-1][1].silent


def test_target_that_works_on_one_unknown_request_is_not_silent(agent, recorder):
    receive_message(agent, LoadRequest(1), BALANCER, 0.0)
    for copy in range(4):
        search(agent, recorder, 1, 0.3 * copy)
    tick(agent, 1.0)
    assert not recorder.sent[-1][1].silent


def test_acknowledgements_need_no_answer(agent, recorder):
    receive_message(agent, LoadRequest(1), BALANCER, 0.0)
    for port in range(1, 5):
        acknowledgement = data(port=port, data_bytes=0)
        receive(agent, recorder, acknowledgement, 0.0, search=True, service="")
    tick(agent, UNKNOWN_DATA_TIMEOUT_S + 0.1)
    assert not recorder.sent[-1][1].silent


def run_request(agent, recorder, port, now, seconds=0.02):
    """Run a request on a new connection until it is answered."""
    receive(agent, recorder, opening(port=port), now)
    receive_from_target(agent, from_target(port=port, **SYN_ACK), now)
    receive(agent, recorder, data(port=port), now)
    answer = from_target(port=port, acknowledges=True, sequence=1001, data_bytes=9)
    receive_from_target(agent, answer, now + seconds)


def failing_share(agent, recorder, now):
    receive_message(agent, LoadRequest(1), BALANCER, now)
    return recorder.sent[-1][1].failing


def test_answers_are_no_failures(agent, recorder):
    for port in range(1, 6):
        run_request(agent, recorder, port, 0.1 * port)
    assert failing_share(agent, recorder, 0.7) == 0.0


def test_lost_answers_are_failures(agent, recorder):
    receive(agent, recorder, opening(), 0.0)
    receive_from_target(agent, from_target(**SYN_ACK), 0.0)
    receive(agent, recorder, data(), 0.0)
    tick(agent, ANSWER_TIMEOUT_S + 0.1)
    assert failing_share(agent, recorder, ANSWER_TIMEOUT_S + 0.1) > 0.0


def test_resets_of_requests_are_failures_that_fade(agent, recorder):
    open_connection(agent, recorder)
    receive(agent, recorder, data(), 0.0)
    receive_from_target(agent, from_target(resets=True), 0.01)
    share = failing_share(agent, recorder, 0.01)
    assert share > 0.0
    assert 0.0 < failing_share(agent, recorder, 5.0) < 0.5 * share


def test_refusals_of_a_target_with_a_free_slot_are_failures(agent, recorder):
    run_request(agent, recorder, 1, 0.0, seconds=0.0001)
    assert failing_share(agent, recorder, 0.01) > 0.0


def test_refusals_of_a_full_target_are_none(agent, recorder):
    open_connection(agent, recorder)
    receive(agent, recorder, data(), 0.0)
    run_request(agent, recorder, 2, 0.001, seconds=0.0001)
    assert failing_share(agent, recorder, 0.01) == 0.0


def test_planned_end_is_told(agent, recorder):
    receive_message(agent, LoadRequest(1), BALANCER, 0.0)
    announce_exit(agent, 0.1)
    assert recorder.sent[-1][1].leaving


def test_target_that_answers_is_not_reported_as_ended(agent, recorder):
    """It started anew while its agent stopped; its connections were reset."""
    receive_message(agent, LoadRequest(1), BALANCER, 0.0)
    agent.has_target_ended = True
    announce_exit(agent, 1.0)
    open_connection(agent, recorder, 1.1)
    tick(agent, 1.2)
    reports = [m for _, m in recorder.sent if isinstance(m, LoadReport)]
    assert [report.target_ended for report in reports] == [False]


def test_busy_agent_hands_an_opening_to_a_much_better_place(agent, recorder):
    for port in range(1, 5):
        receive(agent, recorder, opening(port=port), 0.0)
        receive_from_target(agent, from_target(port=port, **SYN_ACK), 0.0)
        receive(agent, recorder, data(port=port), 0.0)
    recorder.sent.clear()
    receive(agent, recorder, opening(port=9), 0.01, candidates=(OTHER,), costs=(0.02,))
    assert [type(message) for _, message in recorder.sent] == [ForwardSegment]
    delivered = len(recorder.delivered)
    receive(agent, recorder, opening(port=10), 0.01, candidates=(OTHER,), costs=(9.0,))
    assert len(recorder.delivered) == delivered + 1


def test_half_of_a_connection_is_no_home(agent, recorder):
    """The caller accepted another target's answer to its opening segment."""
    receive(agent, recorder, opening(), 0.0)
    receive_from_target(agent, from_target(**SYN_ACK), 0.001)
    recorder.sent.clear()
    receive(agent, recorder, data(), 10.0, search=True)
    assert recorder.sent == []
    receive_from_target(agent, returned(recorder), 10.001)
    [(_, message)] = recorder.sent
    assert isinstance(message, ConnectionNotHeld)


def test_balancers_are_told_when_a_connection_opens(agent, recorder):
    receive(agent, recorder, opening(), 0.0)
    receive_from_target(agent, from_target(**SYN_ACK), 0.001)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, 1000, is_open=False))]
    recorder.sent.clear()
    receive_from_target(agent, from_target(acknowledges=True), 0.02)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, 1000, is_open=True))]


def test_search_is_answered_when_the_target_shows_that_it_holds(agent, recorder):
    receive(agent, recorder, data(), 0.0, search=True)
    receive_from_target(agent, from_target(acknowledges=True), 0.01)
    assert recorder.sent == [(BALANCER, HomeFound(KEY, -1, is_open=True))]


def test_doubled_opening_at_a_process_that_started_anew_refuses_nothing(
    agent, recorder
):
    """The balancer knows this home: the target holds the connection."""
    receive(agent, recorder, opening(), 0.0, service="")
    assert recorder.resets == []
