"""Placement by 59 balancers before 109 targets of one slot."""

from random import Random

import pytest

from lycheeglade.connection_balancer import receive_message, receive_segment
from lycheeglade.service_time import ServiceTime
from lycheeglade.target_load import RESPONSE_TIMEOUT_S, AgentLoad, rank_by_load
from tests.connections import (
    OWN_ZONE,
    BalancerRecorder,
    make_report,
    make_target,
    make_view,
    opening,
)
from tests.placement_replay import (
    place_at_best_of_all,
    place_at_random,
    place_by_load,
    replay,
)

BALANCERS = 59
TARGETS = 109
WORK_S = 0.015
SLOW_FACTOR = 8.0
AIM_S = 0.1
# Half of the targets' capacity.
REQUESTS_PER_S = 0.5 * TARGETS / WORK_S
SECONDS = 3.0


def make_arrivals(seed, share=1.0):
    generator = Random(seed)
    arrivals, now = [], 0.0
    while now < SECONDS:
        now += generator.expovariate(REQUESTS_PER_S * share)
        arrivals.append(now)
    return arrivals


def share_in_time(place, report_s, service_times=(WORK_S,) * TARGETS, share=1.0):
    return replay(
        make_arrivals(1, share),
        list(service_times),
        AIM_S,
        place,
        balancers=BALANCERS,
        report_s=report_s,
    )


@pytest.mark.parametrize("report_s", [0.1, 0.5])
def test_balancers_do_not_herd_to_the_target_that_looks_best(report_s):
    """All balancers see the same old reports; samples differ."""
    sampled = share_in_time(place_by_load, report_s)
    assert sampled > share_in_time(place_at_best_of_all, report_s)
    assert sampled >= 0.97


def count_placements(loads, rounds=4000):
    targets = [make_target(number) for number in range(TARGETS)]
    generator = Random(3)
    counts = dict.fromkeys(loads, 0)
    for _ in range(rounds):
        place = rank_by_load(targets, loads, OWN_ZONE, 0.0, generator)[0]
        counts[place.target.agent] += 1
    return counts


def make_loads(slow):
    """Return the loads of idle targets of which `slow` have turned slow."""
    return {
        make_target(number).agent: AgentLoad(
            last_heard_at=0.0,
            reported_at=0.0,
            service_time=WORK_S * (SLOW_FACTOR if number in slow else 1.0),
            slots=1,
        )
        for number in range(TARGETS)
    }


@pytest.mark.parametrize("slow_count", [1, TARGETS // 5])
def test_slow_targets_get_less(slow_count):
    slow = set(range(slow_count))
    counts = list(count_placements(make_loads(slow)).values())
    of_slow = sum(counts[:slow_count]) / slow_count
    of_others = sum(counts[slow_count:]) / (TARGETS - slow_count)
    assert of_slow < of_others / 4


@pytest.mark.parametrize("slow_count", [1, TARGETS // 5])
def test_requests_are_in_time_while_some_targets_are_slow(slow_count):
    times = [WORK_S * (SLOW_FACTOR if n < slow_count else 1.0) for n in range(TARGETS)]
    placed = share_in_time(place_by_load, 0.5, times, share=0.6)
    assert placed > share_in_time(place_at_random, 0.5, times, share=0.6)
    assert placed >= 0.95


def test_nobody_is_blamed_if_all_are_slow():
    counts = count_placements(make_loads(set(range(TARGETS))))
    assert max(counts.values()) < 2.5 * sum(counts.values()) / TARGETS
    assert min(counts.values()) > 0


def test_target_that_turns_slow_and_quick_is_found_within_a_few_requests():
    time = ServiceTime(WORK_S)
    for _ in range(100):
        time.observe(WORK_S)
    for slow in (True, False, True):
        work = WORK_S * SLOW_FACTOR if slow else WORK_S
        for _ in range(12):
            time.observe(work)
        middle = WORK_S * (1.0 + SLOW_FACTOR) / 2
        assert (time.mean > middle) is slow


def test_own_stall_of_a_balancer_blames_no_target():
    targets = [make_target(number) for number in range(TARGETS)]
    recorder = BalancerRecorder()
    balancer = recorder.make(make_view(targets))
    for target in targets:
        receive_message(balancer, make_report(), target.agent, 0.0)
    for number in range(200):
        receive_segment(balancer, opening(41000 + number), 0.01)
    # The process gets no processor time for longer than agents may be silent.
    resumed_at = 0.01 + 2 * RESPONSE_TIMEOUT_S
    receive_segment(balancer, opening(42000), resumed_at)
    loads = balancer.loads_by_agent.values()
    assert not any(load.is_unresponsive(resumed_at + 0.01) for load in loads)
