from random import Random

import pytest

from lycheeglade.target_load import (
    RESPONSE_TIMEOUT_S,
    AgentLoad,
    expected_time,
    rank_by_load,
)
from tests.connections import OTHER_ZONE, OWN_ZONE, make_target
from tests.placement_replay import (
    place_at_random,
    place_by_load,
    place_ignoring_failures,
    replay,
)

TARGETS = [make_target(number) for number in (1, 2, 3)]
AIM_S = 0.1


def rank(loads, targets=TARGETS, now=0.0, seed=1):
    return rank_by_load(targets, loads, OWN_ZONE, now, Random(seed))


def test_backlog_and_speed_decide_together():
    fast_but_busy = AgentLoad(service_time=0.01, running=5)
    slow_but_idle = AgentLoad(service_time=0.03)
    assert expected_time(slow_but_idle, 1) < expected_time(fast_but_busy, 1)
    assert expected_time(AgentLoad(service_time=0.01), 1) < expected_time(
        slow_but_idle, 1
    )


def test_slots_share_the_backlog():
    load = AgentLoad(service_time=0.02, running=6)
    assert expected_time(load, 3) < expected_time(load, 1)


def test_busy_target_costs_more_while_nothing_waits_there():
    assert expected_time(AgentLoad(busy=0.9), 1) > expected_time(AgentLoad(busy=0.2), 1)


def test_own_placements_count_before_they_are_reported():
    loads = {target.agent: AgentLoad(service_time=0.02) for target in TARGETS}
    chosen = []
    for _ in range(6):
        agent = rank(loads)[0].target.agent
        loads[agent].recent_placements += 1
        chosen.append(agent)
    assert sorted(chosen) == sorted(target.agent for target in TARGETS * 2)


@pytest.mark.parametrize(
    "load",
    [
        AgentLoad(silent=True),
        AgentLoad(leaving=True),
        AgentLoad(unanswered_since=0.0),
    ],
)
def test_target_that_answers_nothing_is_left_out(load):
    loads = {TARGETS[0].agent: load}
    ranked = rank(loads, now=RESPONSE_TIMEOUT_S + 0.1)
    assert TARGETS[0] not in [place.target for place in ranked]


def test_no_target_is_left_out_if_all_are_silent():
    loads = {target.agent: AgentLoad(silent=True) for target in TARGETS}
    assert len(rank(loads)) == len(TARGETS)


def test_own_zone_is_preferred_at_equal_load():
    targets = [
        make_target(1, zone=OTHER_ZONE),
        make_target(2),
        make_target(3, zone=OTHER_ZONE),
    ]
    assert rank({}, targets)[0].target.zone == OWN_ZONE


def test_no_targets():
    assert rank({}, []) == []


def mean_share(arrivals, service_times, place, failing=()):
    shares = [
        replay(arrivals, service_times, AIM_S, place, seed, failing)
        for seed in range(5)
    ]
    return sum(shares) / len(shares)


def test_callers_that_all_return_at_once():
    """300 callers arrive within a second, before any load is reported.

    The targets have capacity to answer 96% of them within the aim.
    """
    generator = Random(7)
    arrivals = [generator.uniform(0.2, 1.2) for _ in range(300)]
    service_times = [0.024] * 7
    assert mean_share(arrivals, service_times, place_by_load) > 1.1 * mean_share(
        arrivals, service_times, place_at_random
    )


def test_unequal_speeds_that_nobody_publishes():
    """Two of seven targets are twice as fast as the others, at 60% load."""
    generator = Random(8)
    arrivals = [generator.uniform(0.0, 10.0) for _ in range(2640)]
    service_times = [0.0085] * 2 + [0.018] * 5
    by_load = mean_share(arrivals, service_times, place_by_load)
    assert by_load > 0.99
    assert by_load > mean_share(arrivals, service_times, place_at_random)


def test_targets_that_fail_behind_good_health():
    """Two of seven targets fail almost half of their requests, at 36% load.

    The other targets have capacity for all requests.
    """
    generator = Random(9)
    arrivals = [generator.uniform(0.0, 10.0) for _ in range(1250)]
    service_times = [0.02] * 7
    failing = (0.45, 0.45)
    by_load = mean_share(arrivals, service_times, place_by_load, failing)
    ignoring_failures = mean_share(
        arrivals, service_times, place_ignoring_failures, failing
    )
    assert by_load > 0.99
    assert 1.0 - by_load < 0.5 * (1.0 - ignoring_failures)


def test_all_targets_that_fail_are_used():
    loads = {target.agent: AgentLoad(failing=0.5) for target in TARGETS}
    assert len(rank(loads)) == len(TARGETS)


def test_callers_that_move_to_one_zone_use_the_other_zones_too():
    near = [make_target(number) for number in range(4)]
    far = [make_target(number, OTHER_ZONE) for number in range(4, 12)]
    loads = {
        target.agent: AgentLoad(last_heard_at=0.0, service_time=0.02, running=6)
        for target in near
    }
    loads |= {
        target.agent: AgentLoad(last_heard_at=0.0, service_time=0.02) for target in far
    }
    for seed in range(20):
        assert rank(loads, near + far, seed=seed)[0].target in far


def test_target_that_goes_down_and_up_is_avoided_while_it_is_down():
    """It comes back under its old address and is used again at once."""
    loads = {t.agent: AgentLoad(last_heard_at=0.0) for t in TARGETS}
    flapping = loads[TARGETS[0].agent]
    for cycle in range(5):
        down_at = 2.0 * cycle
        flapping.unanswered_since = down_at
        late = down_at + RESPONSE_TIMEOUT_S + 0.01
        for seed in range(10):
            assert rank(loads, now=late, seed=seed)[0].target is not TARGETS[0]
        flapping.unanswered_since = None
        chosen = {rank(loads, now=late + 0.1, seed=s)[0].target for s in range(30)}
        assert TARGETS[0] in chosen
