from lycheeglade.delegation_log import (
    MAX_IDS_PER_HOME,
    MAX_INCARNATIONS_PER_HOME,
    Delegation,
    DelegationLog,
)


def test_copies_are_recognised():
    log = DelegationLog()
    assert log.judge("a", 1, 7) is Delegation.NEW
    log.note("a", 1, 7, ran=True)
    log.note("a", 1, 8, ran=False)
    assert log.judge("a", 1, 7) is Delegation.RAN
    assert log.judge("a", 1, 8) is Delegation.RETURNED
    assert log.judge("a", 2, 7) is Delegation.NEW
    assert log.judge("b", 1, 7) is Delegation.NEW


def test_memory_is_bounded_and_never_takes_an_old_id_for_a_new_one():
    log = DelegationLog(max_homes=2)
    for request_id in range(MAX_IDS_PER_HOME + 10):
        log.note("a", 1, request_id, ran=True)
    assert log.judge("a", 1, 9) is Delegation.TOO_OLD
    assert log.judge("a", 1, 10) is Delegation.RAN
    for incarnation in range(2, MAX_INCARNATIONS_PER_HOME + 1):
        log.note("a", incarnation, 0, ran=True)
    assert log.judge("a", 1, 10) is Delegation.RAN
    log.note("b", 1, 0, ran=True)
    log.note("a", 1, 0, ran=True)
    log.note("c", 1, 0, ran=True)
    assert log.judge("a", 1, 10) is Delegation.RAN
