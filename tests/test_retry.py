from random import Random

from lycheeglade.retry import RetryBudget, backoff


def test_retries_stay_a_share_of_the_attempts():
    budget = RetryBudget(ratio=0.1, burst=5.0)
    retries = 0
    for _ in range(1000):
        budget.record_attempt()
        retries += budget.try_acquire()
    assert 100 <= retries <= 105


def test_backoff_grows_to_its_maximum_and_is_spread():
    generator = Random(1)
    waits = [backoff(attempt, 0.5, 8.0, generator) for attempt in range(200)]
    assert waits[0] <= 0.5
    assert 7.0 < max(waits) <= 8.0
    assert min(waits[10:]) < 1.0
