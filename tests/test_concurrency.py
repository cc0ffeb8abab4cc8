from lycheeglade.concurrency import SharingLimit


def observe(limit, times, count=60):
    for _ in range(count):
        for concurrency, elapsed in enumerate(times, 1):
            limit.observe(elapsed, concurrency, slowdown=1.0)


def test_runs_side_by_side_while_that_saves_time():
    limit = SharingLimit(3)
    observe(limit, [1.0, 1.1, 1.2])
    assert limit.current == 3.0


def test_waits_where_running_side_by_side_costs_more():
    limit = SharingLimit(3)
    observe(limit, [1.0, 2.5, 4.5])
    limits = []
    for _ in range(100):
        limit.observe(1.0, 1, slowdown=1.0)
        limits.append(limit.current)
    assert limits.count(1.0) > 90
    assert max(limits) == 2.0
