"""Limit on the openings of a cold target: window, agent and balancer."""

from dataclasses import replace
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lycheeglade.address import Address
from lycheeglade.cold_targets import ServedView, count_down, warmup_left
from lycheeglade.connection_agent import receive_from_target, receive_message, tick
from lycheeglade.connection_balancer import receive_message as balancer_receive
from lycheeglade.connection_balancer import update_routing
from lycheeglade.opening_queue import MAX_HOLD_S
from lycheeglade.relay_message import (
    ForwardSegment,
    LoadReport,
    LoadRequest,
    OpeningHeld,
    OpeningRefused,
    decode_message,
    encode_message,
)
from lycheeglade.route import merge_views
from lycheeglade.segment import ConnectionKey
from lycheeglade.target_load import FULL_BUSY, AgentLoad, rank_by_load
from lycheeglade.warmup import MAX_WARMUP_S, WINDOW_S, WarmupBounds, WarmupWindow
from tests.connections import (
    AGENTS,
    BALANCER,
    OWN_ZONE,
    SERVICE,
    AgentRecorder,
    BalancerRecorder,
    from_target,
    make_report,
    make_target,
    make_view,
    opening,
)
from tests.test_target_load import rank

BOUNDS = WarmupBounds(overage=1.5, slack=5.0)
RATE = 4.0
LIMIT = 11
WARMUP_S = 30.0
OTHER = make_target(9).agent
# Agents of this age know what was delivered during the last second.
STARTED_S = 10.0
RATES = {"booth-sync": RATE}


def key_of(number):
    return ConnectionKey(Address("100.64.0.7", number), SERVICE)


def make_window(rate=RATE, bounds=BOUNDS):
    window = WarmupWindow(0.0, bounds)
    window.learn(MAX_WARMUP_S, rate, 0.0)
    return window


def admit(window, number, now):
    """Record an opening if the window admits it; return whether it does."""
    is_admitted = window.admits(key_of(number), now)
    if is_admitted:
        window.record(key_of(number), now)
    return is_admitted


def count_connections(delivered, end, seconds=1.0):
    return len({number for at, number in delivered if end - seconds <= at <= end})


arrival_gaps = st.lists(
    st.one_of(
        st.just(0.0),
        st.floats(0.0, 0.3),
        st.sampled_from([0.999, 1.0, 1.0 + 1e-9, WINDOW_S, WINDOW_S - 1e-9]),
    ),
    max_size=80,
)


@given(
    gaps=arrival_gaps,
    numbers=st.lists(st.integers(1, 40), min_size=80, max_size=80),
    rate=st.floats(0.1, 10.0),
    slack=st.floats(0.0, 5.0),
)
def test_no_second_has_more_connections_than_the_limit(gaps, numbers, rate, slack):
    """Guards against bursts and copies around the edges of the window."""
    window = make_window(rate, WarmupBounds(1.5, slack))
    now, delivered = 2.0, []
    for gap, number in zip(gaps, numbers, strict=False):
        now += gap
        if admit(window, number, now):
            delivered.append((now, number))
    for at, _ in delivered:
        assert count_connections(delivered, at) <= rate * 1.5 + slack + 1e-9


@given(
    gaps=st.lists(st.floats(0.0, 0.02), min_size=300, max_size=300),
    rate=st.integers(1, 10),
)
def test_most_of_the_limit_is_used_while_more_arrives(gaps, rate):
    """Guards against a window that is much longer than the second.

    An agent that holds openings tries again each 20 ms.
    """
    window = make_window(float(rate))
    now = 2.0
    admitted = []
    number = 0
    while now < 12.0:
        if admit(window, number, now):
            admitted.append(now)
        number += 1
        now += gaps[number] if number < len(gaps) else 0.02
    assert len(admitted) >= 0.8 * int(rate * 1.5 + 5.0) * 10


@pytest.mark.parametrize("delay_change", [0.0, 0.02, 0.049])
def test_delay_to_the_target_may_vary_between_two_openings(delay_change):
    """A window of exactly 1 s let 12 of 11 arrive within a second."""
    window = make_window()
    for number in range(LIMIT):
        admit(window, number, 2.0)
    second_at = next(
        2.0 + n / 1000 for n in range(2000) if admit(window, 99, 2.0 + n / 1000)
    )
    assert second_at - (2.0 + delay_change) > 1.0


def test_copies_count_once_and_keep_their_connection_in_the_window():
    window = make_window(rate=0.0001, bounds=WarmupBounds(1.0, 1.0))
    assert admit(window, 1, 2.0)
    assert admit(window, 1, 2.6)
    assert not admit(window, 2, 3.2)
    assert admit(window, 2, 2.6 + WINDOW_S)


@pytest.mark.parametrize(
    ("left", "rate"),
    [
        (0.0, 0.0),
        (0.0, RATE),
        (-1.0, RATE),
        (float("nan"), RATE),
        (float("inf"), RATE),
        (MAX_WARMUP_S + 1.0, RATE),
        (WARMUP_S, float("nan")),
        (WARMUP_S, -1.0),
        (WARMUP_S, float("inf")),
        (WARMUP_S, 0.0),
    ],
)
def test_values_that_name_no_warmup_limit_nothing(left, rate):
    window = WarmupWindow(0.0, BOUNDS)
    window.learn(left, rate, 0.0)
    assert all(admit(window, number, 0.0) for number in range(100))


@pytest.mark.parametrize("rate", [1e300, 1e-300])
def test_extreme_rates_do_no_harm(rate):
    window = make_window(rate)
    assert window.has_room(2.0)
    load = AgentLoad(warmup_rate=rate, cold_until=9.0)
    [place, *_] = rank({make_target(1).agent: load}, [make_target(1)])
    assert place.cost > 0.0


def test_latest_end_of_the_warmup_is_in_force():
    window = make_window()
    window.cold_until = 0.0
    window.learn(5.0, RATE, 10.0)
    window.learn(1.0, RATE, 10.0)
    window.learn(0.0, RATE, 10.0)
    assert window.is_cold(14.9)
    assert not window.is_cold(15.0)


def test_withdrawn_rate_ends_the_limit():
    window = make_window()
    window.learn(5.0, 0.0, 1.0)
    assert window.limit(1.0) is None


@pytest.fixture
def recorder():
    return AgentRecorder()


def make_agent(recorder, bounds=BOUNDS, rate=RATE, left=WARMUP_S, now=STARTED_S):
    agent = recorder.make()
    agent.warmup_bounds = agent.warmup.bounds = bounds
    receive_message(agent, LoadRequest(50, True, left, rate), BALANCER, now)
    recorder.sent.clear()
    return agent


def receive_openings(agent, recorder, ports, now=STARTED_S, **fields):
    for port in ports:
        message = recorder.make_forward_segment(opening(port), **fields)
        receive_message(agent, message, BALANCER, now)


def sent(recorder, kind):
    return [message for _, message in recorder.sent if isinstance(message, kind)]


def test_cold_target_gets_no_more_openings_than_its_limit(recorder):
    """Agents delivered all openings to a target that had just started."""
    agent = make_agent(recorder)
    receive_openings(agent, recorder, range(100), candidates=(OTHER,), costs=(9.0,))
    assert len(recorder.delivered) == LIMIT
    assert len(sent(recorder, ForwardSegment)) == 100 - LIMIT
    causes = {f["cause"] for event, f in recorder.events if event == "passed-on"}
    assert causes == {"cold"}


@pytest.mark.parametrize(
    "fields", [{"rate": 0.0}, {"left": 0.0}, {"bounds": None}, {"rate": -1.0}]
)
def test_target_that_is_not_cold_gets_all_openings(recorder, fields):
    agent = make_agent(recorder, **fields)
    receive_openings(agent, recorder, range(40), candidates=(OTHER,), costs=(9.0,))
    assert len(recorder.delivered) == 40


def test_opening_without_another_candidate_waits_for_room_or_is_refused(recorder):
    agent = make_agent(recorder)
    receive_openings(agent, recorder, range(100))
    assert len(recorder.delivered) == LIMIT
    assert len(sent(recorder, OpeningHeld)) == 100 - LIMIT
    # Those that the window cannot admit in time are refused at once.
    refused = sent(recorder, OpeningRefused)
    assert 100 - 3 * LIMIT <= len(refused) <= 100 - 2 * LIMIT
    tick(agent, STARTED_S + WINDOW_S - 0.001)
    assert len(recorder.delivered) == LIMIT
    tick(agent, STARTED_S + WINDOW_S)
    assert len(recorder.delivered) == 2 * LIMIT
    tick(agent, STARTED_S + MAX_HOLD_S + 0.01)
    delivered = {segment.source.port for segment, _ in recorder.delivered}
    refused = {message.key.caller.port for message in sent(recorder, OpeningRefused)}
    assert delivered | refused == set(range(100))
    assert not delivered & refused


def test_copy_of_an_opening_needs_no_room(recorder):
    """A copy that is dropped or counted again delays a caller for nothing."""
    agent = make_agent(recorder)
    receive_openings(agent, recorder, range(LIMIT))
    message = recorder.make_forward_segment(opening(3, copies=1))
    receive_message(agent, message, Address("10.1.0.11", 7720), STARTED_S + 0.2)
    assert len(recorder.delivered) == LIMIT + 1
    # Its connection counts from now on, the others from their first segment.
    receive_openings(agent, recorder, range(100, 120), STARTED_S + WINDOW_S)
    assert len(recorder.delivered) == LIMIT + 1 + LIMIT - 1


def test_copy_of_a_held_opening_is_not_delivered_twice(recorder):
    agent = make_agent(recorder)
    receive_openings(agent, recorder, range(LIMIT + 1))
    message = recorder.make_forward_segment(opening(LIMIT, copies=1))
    receive_message(agent, message, Address("10.1.0.11", 7720), STARTED_S + 0.2)
    tick(agent, STARTED_S + WINDOW_S)
    tick(agent, STARTED_S + 2 * WINDOW_S)
    ports = [segment.source.port for segment, _ in recorder.delivered]
    assert sorted(ports) == list(range(LIMIT + 1))


def test_late_copy_does_not_exceed_the_limit(recorder):
    """A copy from outside the window reaches the target as another one."""
    agent = make_agent(recorder)
    receive_openings(agent, recorder, range(LIMIT))
    later = STARTED_S + WINDOW_S
    receive_openings(agent, recorder, range(100, 100 + LIMIT), later)
    receive_openings(agent, recorder, [0], later)
    assert len(recorder.delivered) == 2 * LIMIT


def test_agent_that_has_just_started_counts_the_window_as_full(recorder):
    """The previous process had admitted as many as the limit allows."""
    agent = make_agent(recorder, now=0.3)
    receive_openings(agent, recorder, range(5), 0.3, candidates=(OTHER,), costs=(9.0,))
    assert recorder.delivered == []
    receive_openings(agent, recorder, range(5, 10), WINDOW_S)
    assert len(recorder.delivered) == 5


def test_agent_that_nobody_has_told_anything_admits_the_slack(recorder):
    agent = recorder.make()
    agent.warmup_bounds = agent.warmup.bounds = BOUNDS
    receive_openings(agent, recorder, range(20), WINDOW_S)
    assert len(recorder.delivered) == 5
    late = WINDOW_S + 0.1
    receive_message(agent, LoadRequest(50), BALANCER, late)
    receive_openings(agent, recorder, range(20, 30), late, candidates=(OTHER,))
    assert len(recorder.delivered) > 10


def test_agent_that_starts_admits_nothing_before_it_is_told(recorder):
    """Its predecessor may have used up the window (review/5).

    The slack that it admitted was more than the limit allows.
    """
    agent = recorder.make()
    agent.warmup_bounds = agent.warmup.bounds = BOUNDS
    receive_openings(agent, recorder, range(3), 0.1)
    assert recorder.delivered == []
    reports = [message for _, message in recorder.sent]
    assert isinstance(reports[0], LoadReport)
    receive_message(agent, LoadRequest(50), BALANCER, 0.2)
    tick(agent, 0.2)
    assert len(recorder.delivered) == 3


def test_agent_that_starts_beside_a_warm_target_is_told_at_once():
    """Openings there waited for the next regular request."""
    recorder = BalancerRecorder()
    balancer = recorder.make_heard()
    balancer_receive(balancer, make_report(incarnation=2), AGENTS[0], 0.3)
    requests = [to for to, message in recorder.sent if isinstance(message, LoadRequest)]
    assert requests == [AGENTS[0]]


def test_openings_before_the_warmup_was_known_count(recorder):
    """A target restarts, and its balancers learn of it a second later."""
    agent = make_agent(recorder, left=0.0)
    receive_openings(agent, recorder, range(LIMIT + 3))
    receive_message(agent, LoadRequest(50, True, 9.0, RATE), BALANCER, STARTED_S + 0.5)
    receive_openings(agent, recorder, [99], STARTED_S + 0.5)
    assert len(recorder.delivered) == LIMIT + 3


def test_missing_bounds_are_logged_once(recorder):
    agent = make_agent(recorder, bounds=None)
    receive_message(agent, LoadRequest(50, True, 9.0, RATE), BALANCER, STARTED_S)
    events = [event for event, _ in recorder.events]
    assert events.count("warmup-invalid") == 1


def test_agent_without_bounds_and_rate_logs_nothing(recorder):
    make_agent(recorder, bounds=None, rate=0.0)
    assert recorder.events == []


def test_load_event_names_the_cold_target_and_its_held_openings(recorder):
    agent = make_agent(recorder)
    receive_openings(agent, recorder, range(LIMIT + 2))
    tick(agent, STARTED_S + 0.1)
    [fields] = [fields for event, fields in recorder.events if event == "load"]
    assert (fields["cold"], fields["cold_held"], fields["held"]) == (True, 2, 2)
    tick(agent, STARTED_S + WARMUP_S)
    fields = recorder.events[-1][1]
    assert (fields["cold"], fields["cold_held"]) == (False, 0)


def test_balancers_learn_at_once_when_the_window_is_full_and_when_it_has_room(
    recorder,
):
    """Otherwise they send openings that the agent can only forward."""
    agent = make_agent(recorder)
    receive_openings(agent, recorder, range(LIMIT))
    for port in range(LIMIT):
        receive_from_target(agent, from_target(port, resets=True), STARTED_S)
    tick(agent, STARTED_S + 0.1)
    tick(agent, STARTED_S + WINDOW_S - 0.11)
    recorder.sent.clear()
    tick(agent, STARTED_S + WINDOW_S)
    [report] = sent(recorder, LoadReport)
    assert report.busy < FULL_BUSY
    receive_openings(agent, recorder, range(100, 100 + LIMIT), STARTED_S + WINDOW_S)
    recorder.sent.clear()
    tick(agent, STARTED_S + WINDOW_S + 0.11)
    [report] = sent(recorder, LoadReport)
    assert report.busy == FULL_BUSY


COLD = replace(make_target(1), warmup_left=WARMUP_S, lifetime=1000)


def make_cold_view(target=COLD, revision=5, rates=RATES, era=0):
    targets = [target, make_target(2)]
    view = make_view(targets, revision=revision)
    return replace(view, warmup_rates_by_service=rates, era=era)


def requests_to(recorder, agent):
    found = [m for a, m in recorder.sent if a == agent and isinstance(m, LoadRequest)]
    recorder.sent.clear()
    return found


def test_agent_is_told_as_soon_as_its_target_is_known():
    recorder = BalancerRecorder()
    balancer = recorder.make(make_cold_view(), now=100.0)
    [request] = requests_to(recorder, COLD.agent)
    assert (request.warmup_left, request.warmup_rate) == (WARMUP_S, RATE)
    balancer.load_request_sent_at = 0.0
    update_routing(balancer, make_cold_view(revision=6), 112.0)
    assert requests_to(recorder, COLD.agent) == []
    assert warmup_left(balancer.loads_by_agent[COLD.agent], 112.0) == 18.0
    assert warmup_left(balancer.loads_by_agent[COLD.agent], 131.0) == 0.0


def test_target_that_starts_again_under_its_id_is_cold_anew():
    """The agent of a target that restarted was not told of its warmup."""
    recorder = BalancerRecorder()
    balancer = recorder.make(make_cold_view(), now=100.0)
    recorder.sent.clear()
    again = replace(COLD, lifetime=2000, warmup_left=12.0)
    update_routing(balancer, make_cold_view(again, 6), 150.0)
    [request] = requests_to(recorder, COLD.agent)
    assert request.warmup_left == 12.0
    # The store may still name the earlier lifetime.
    update_routing(balancer, make_cold_view(COLD, 7), 151.0)
    assert warmup_left(balancer.loads_by_agent[COLD.agent], 151.0) == 11.0


def test_larger_time_of_a_lifetime_extends_the_warmup():
    recorder = BalancerRecorder()
    balancer = recorder.make(make_cold_view(), now=100.0)
    update_routing(balancer, make_cold_view(replace(COLD, warmup_left=40.0), 6), 105.0)
    assert warmup_left(balancer.loads_by_agent[COLD.agent], 105.0) == 40.0


def test_warmup_counts_down_while_the_store_is_restored():
    """The older copy has a time from before, of the same lifetime."""
    recorder = BalancerRecorder()
    view = make_cold_view(replace(COLD, warmup_left=12.0), era=1)
    balancer = recorder.make(view, now=100.0)
    copy = replace(COLD, warmup_left=25.0)
    update_routing(balancer, make_cold_view(copy, 2, era=2), 105.0)
    assert warmup_left(balancer.loads_by_agent[COLD.agent], 105.0) == 7.0
    update_routing(balancer, make_cold_view(copy, 3, era=2), 106.0)
    assert warmup_left(balancer.loads_by_agent[COLD.agent], 106.0) == 6.0


def test_withdrawn_rate_is_told_to_the_agent():
    recorder = BalancerRecorder()
    balancer = recorder.make(make_cold_view(), now=100.0)
    recorder.sent.clear()
    no_rate = make_cold_view(replace(COLD, warmup_left=0.0), 6, rates={})
    update_routing(balancer, no_rate, 105.0)
    [request] = requests_to(recorder, COLD.agent)
    assert (request.warmup_left, request.warmup_rate) == (25.0, 0.0)


def test_served_view_has_the_time_that_is_left():
    """A balancer that started later took a warm target for a cold one."""
    balancer = BalancerRecorder().make(make_cold_view(), now=100.0)
    served = ServedView()
    view = served.get(balancer.view, balancer.loads_by_agent, 110.0)
    assert view.targets_by_service["booth-sync"]["t1"].warmup_left == 20.0
    assert served.get(balancer.view, balancer.loads_by_agent, 110.1) is view
    later = served.get(balancer.view, balancer.loads_by_agent, 140.0)
    assert later.targets_by_service["booth-sync"]["t1"].warmup_left == 0.0
    assert served.get(balancer.view, balancer.loads_by_agent, 200.0) is later
    recorder = BalancerRecorder()
    recorder.make(later, now=140.0)
    assert requests_to(recorder, COLD.agent)[0].warmup_left == 0.0


def test_view_without_cold_targets_is_served_as_it_is():
    view = make_view([make_target(1)])
    assert count_down(view, {}, 5.0) is view
    assert ServedView().get(view, {}, 5.0) is view


def test_rates_follow_the_newer_configuration():
    """The merged view had the newer routes and the older rates."""
    known = replace(make_cold_view(revision=9), configuration=1)
    received = replace(make_cold_view(revision=8, rates={"a": 2.0}), configuration=2)
    assert merge_views(known, received).warmup_rates_by_service == {"a": 2.0}
    assert merge_views(received, known).warmup_rates_by_service == {"a": 2.0}


def test_view_of_an_earlier_build_does_not_remove_the_rates():
    known = make_cold_view(revision=5)
    received = make_cold_view(revision=6, rates={})
    merged = merge_views(known, received)
    assert merged.revision == 6
    assert merged.warmup_rates_by_service == RATES
    assert merge_views(known, known) is known


def test_requests_and_reports_of_earlier_builds_name_no_warmup(recorder):
    agent = make_agent(recorder)
    receive_message(
        agent, decode_message(encode_message(LoadRequest(3))), BALANCER, STARTED_S
    )
    assert agent.warmup.is_cold(STARTED_S + WARMUP_S - 0.1)


def test_cold_target_costs_at_least_the_interval_of_its_openings():
    cold = AgentLoad(service_time=0.01, warmup_rate=RATE, cold_until=10.0)
    loads = {make_target(1).agent: cold}

    def cost(now=0.0, overage=1.5):
        places = rank_by_load(
            [make_target(1)], loads, OWN_ZONE, now, Random(1), False, overage
        )
        return places[0].cost

    assert cost() == pytest.approx(1 / 6)
    assert cost(overage=1.0) == pytest.approx(1 / 4)
    assert cost(now=10.0) < 0.02
    cold.recent_placements = 3
    assert cost() >= 4 / 6


def test_cold_target_without_room_is_left_out_until_its_report_is_old():
    targets = [make_target(1), make_target(2)]
    loads = {
        target.agent: AgentLoad(last_heard_at=0.0, reported_at=0.0)
        for target in targets
    }
    cold = loads[targets[0].agent]
    cold.warmup_rate, cold.cold_until, cold.busy = RATE, 10.0, FULL_BUSY
    assert [p.target for p in rank(loads, targets)] == [targets[1]]
    assert len(rank(loads, targets, now=WINDOW_S)) == 2
    # A cold target is better than none.
    assert len(rank(loads, targets[:1])) == 1
    cold.warmup_rate = 0.0
    assert len(rank(loads, targets)) == 2


def test_one_candidate_is_not_cold():
    """With six cold candidates an opening waited although others had room."""
    cold = [make_target(number) for number in range(30)]
    warm = make_target(99)
    loads = {
        target.agent: AgentLoad(last_heard_at=0.0, warmup_rate=RATE, cold_until=9.0)
        for target in cold
    }
    loads[warm.agent] = AgentLoad(last_heard_at=0.0, running=50)
    for seed in range(20):
        assert warm in [p.target for p in rank(loads, [*cold, warm], seed=seed)]


def test_full_report_of_a_balancers_cold_target_is_recorded():
    recorder = BalancerRecorder()
    balancer = recorder.make(make_cold_view(), now=100.0)
    report = make_report(busy=FULL_BUSY)
    balancer_receive(balancer, report, COLD.agent, 100.1)
    assert balancer.loads_by_agent[COLD.agent].takes_no_opening(100.2)
