from random import Random

import pytest

from lycheeglade.admission import (
    MAX_RETRY_AFTER_S,
    START,
    Admission,
    AdmissionLimits,
    Queued,
    RefusalCause,
    Refused,
)


def make_admission(**options):
    return Admission(AdmissionLimits(**options), 0.0, Random(1))


def run_requests(admission, service_time, now=0.0, count=50):
    for request_id in range(-count, 0):
        assert admission.offer(request_id, now, now + 1e6) == START
        now += service_time
        admission.finish(request_id, now)
    return now


def test_starts_up_to_the_slots_then_queues_in_order():
    admission = make_admission(slots=2)
    assert [admission.offer(i, 0.0, 10.0) for i in (1, 2)] == [START, START]
    assert isinstance(admission.offer(3, 0.0, 10.0), Queued)
    assert isinstance(admission.offer(4, 0.0, 10.0), Queued)
    assert admission.start_next(0.0) == []
    admission.finish(1, 0.1)
    assert admission.start_next(0.1) == [3]
    admission.cancel(4, 0.1)
    admission.finish(2, 0.2)
    assert admission.start_next(0.2) == []
    assert admission.load(0.2).running == 1


def test_refuses_at_once_what_cannot_finish_in_time():
    admission = make_admission()
    now = run_requests(admission, 2.0)
    admission.offer(1, now, now + 10.0)
    assert isinstance(admission.offer(2, now, now + 4.1), Queued)
    refused = admission.offer(3, now, now + 4.1)
    assert refused.cause is RefusalCause.DEADLINE
    assert refused.retry_after >= 2.0


def test_expire_reports_requests_once_they_are_hopeless():
    admission = make_admission()
    now = run_requests(admission, 2.0)
    admission.offer(1, now, now + 10.0)
    admission.offer(2, now, now + 5.0)
    assert admission.expire(now + 2.0) == []
    assert admission.expire(now + 3.5) == [2]
    assert admission.expire(now + 3.5) == []
    assert admission.load(now + 3.5).queued == 0


def test_refused_do_not_come_back_together():
    admission = make_admission(max_queue=0)
    now = run_requests(admission, 0.5)
    admission.offer(0, now, now + 10.0)
    answers = [admission.offer(i, now, now + 10.0) for i in range(1, 41)]
    times = sorted(answer.retry_after for answer in answers)
    assert all(isinstance(answer, Refused) for answer in answers)
    assert times[0] >= 1.0
    assert times[-1] <= MAX_RETRY_AFTER_S
    for start in range(1, 40):
        assert sum(start <= time < start + 1 for time in times) <= 6


def test_cold_start_ramps_slots_and_connections():
    admission = make_admission(slots=3, connections=100, cold_start=10.0)
    limits = [admission.load(now).limit for now in (0.0, 4.0, 6.0, 10.0)]
    assert limits == [1, 1, 2, 3]
    assert sum(admission.admit_flow(0.0) for _ in range(100)) == 10
    assert sum(admission.admit_flow(10.0) for _ in range(200)) == 90
    admission.release_flow()
    assert admission.admit_flow(10.0)


def test_limit_falls_when_responses_slow_down_and_recovers():
    admission = make_admission(slots=3)
    now = run_requests(admission, 0.1, count=200)
    now = run_requests(admission, 1.0, now, count=30)
    assert admission.load(now).limit == 1
    now = run_requests(admission, 0.1, now, count=100)
    assert admission.load(now).limit == 3


def test_failures_lower_the_limit():
    admission = make_admission(slots=3)
    for request_id in range(4):
        admission.offer(request_id, 0.0, 10.0)
        admission.finish(request_id, 0.1, failed=True)
    assert admission.load(0.1).limit == 1


def test_pause_is_not_taken_for_a_slow_upstream():
    admission = make_admission()
    now = run_requests(admission, 0.1)
    admission.offer(1, now, now + 10.0)
    admission.offer(2, now, now + 10.0)
    now += 600.0
    assert admission.expire(now) == [2]
    admission.finish(1, now)
    assert admission.load(now).service_time == pytest.approx(0.1)


def test_drain_refuses_new_work_and_finishes_the_old():
    admission = make_admission()
    admission.offer(1, 0.0, 10.0)
    admission.offer(2, 0.0, 10.0)
    admission.drain(0.0)
    assert admission.offer(3, 0.0, 10.0).cause is RefusalCause.DRAINING
    assert not admission.admit_flow(0.0)
    admission.finish(1, 0.1)
    assert admission.start_next(0.1) == [2]


def test_same_id_is_never_admitted_twice():
    admission = make_admission(slots=2)
    admission.offer(1, 0.0, 10.0)
    assert admission.offer(1, 0.0, 10.0).cause is RefusalCause.DUPLICATE
    assert admission.load(0.0).running == 1


def test_slow_spell_does_not_refuse_forever():
    admission = make_admission()
    now = run_requests(admission, 4.0)
    answers = []
    for request_id in range(40):
        answer = admission.offer(request_id, now, now + 3.0)
        answers.append(answer)
        now += 0.1
        admission.finish(request_id, now)
    assert answers[-1] == START
    assert admission.load(now).service_time < 1.0
