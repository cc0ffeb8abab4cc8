"""What a process keeps of targets against a store that was restored."""

from dataclasses import replace

import pytest

from lycheeglade.known_view import KnownView
from lycheeglade.target_history import MEMORY_S, WITHHOLD_S
from lycheeglade.view import State
from tests.connections import make_target, make_view

FIRST, SECOND = (replace(make_target(n), lifetime=100 + n) for n in (1, 2))
LEAVING = replace(FIRST, state=State.LEAVING)


def view_at(era, revision, *targets, configuration=1, service="booth-sync"):
    view = make_view(targets, revision=revision, service=service)
    return replace(view, era=era, configuration=configuration)


def states(known, now):
    return {
        target_id: target.state
        for targets in known.correct(now).targets_by_service.values()
        for target_id, target in targets.items()
    }


@pytest.fixture
def known():
    known = KnownView()
    known.receive(view_at(1, 20, FIRST, SECOND), 0.0)
    return known


def test_target_that_leaves_is_not_ready_again_after_a_restore(known):
    known.receive(view_at(1, 21, LEAVING, SECOND), 1.0)
    assert known.receive(view_at(2, 16, FIRST, SECOND), 2.0)
    assert states(known, 2.0) == {"t1": State.LEAVING, "t2": State.LIVE}
    # Its process has started anew.
    known.receive(view_at(2, 17, replace(FIRST, lifetime=900), SECOND), 3.0)
    assert states(known, 3.0) == {"t1": State.LIVE, "t2": State.LIVE}


def test_target_that_was_removed_is_not_used_because_the_copy_has_it(known):
    known.receive(view_at(1, 21, SECOND), 1.0)
    known.receive(view_at(2, 16, FIRST, SECOND), 2.0)
    assert states(known, 2.0) == {"t2": State.LIVE}
    known.receive(view_at(2, 17, FIRST), 3.0)
    assert states(known, 3.0) == {}
    # The store has kept the entry, so its target lives.
    assert known.is_due(2.0 + WITHHOLD_S)
    assert states(known, 2.0 + WITHHOLD_S) == {"t1": State.LIVE}
    assert not known.is_due(2.0 + WITHHOLD_S)


def test_target_that_left_and_ended_is_not_used_because_the_copy_has_it(known):
    known.receive(view_at(1, 21, LEAVING, SECOND), 1.0)
    known.receive(view_at(1, 22, SECOND), 1.5)
    known.receive(view_at(2, 16, FIRST, SECOND), 2.0)
    known.receive(view_at(2, 17, SECOND), 3.0)
    known.receive(view_at(3, 16, FIRST, SECOND), 4.0)
    assert states(known, 4.0) == {"t2": State.LIVE}


def test_earlier_lifetime_in_a_copy_does_not_hide_that_a_target_leaves(known):
    later = replace(LEAVING, lifetime=900)
    known.receive(view_at(1, 21, later), 1.0)
    known.receive(view_at(2, 16, FIRST), 2.0)
    known.receive(view_at(2, 17, replace(later, state=State.LIVE)), 3.0)
    assert states(known, 3.0) == {"t1": State.LEAVING}


def test_target_without_a_lifetime_may_return_after_it_has_left():
    known = KnownView()
    for revision, state in ((1, State.LIVE), (2, State.LEAVING), (3, None), (4, None)):
        target = replace(make_target(1), state=state or State.LIVE)
        targets = [] if revision == 3 else [target]
        known.receive(view_at(1, revision, *targets), float(revision))
    assert states(known, 5.0) == {"t1": State.LIVE}


def test_target_that_leaves_is_remembered_across_a_copy_that_lacks_it(known):
    known.receive(view_at(1, 21, LEAVING, SECOND), 1.0)
    known.receive(view_at(2, 14, SECOND), 2.0)
    known.receive(view_at(3, 16, FIRST, SECOND), 3.0)
    assert states(known, 3.0) == {"t1": State.LEAVING, "t2": State.LIVE}
    known.receive(view_at(3, 17, SECOND), 4.0)
    known.receive(view_at(3, 18, SECOND, configuration=2), 4.1 + MEMORY_S)
    assert not known.history.leaving_by_id


def test_removal_is_forgotten_when_no_copy_is_that_old(known):
    known.receive(view_at(1, 21, SECOND), 1.0)
    late = 1.1 + MEMORY_S
    known.receive(view_at(2, 16, FIRST, SECOND), late)
    assert states(known, late) == {"t1": State.LIVE, "t2": State.LIVE}
    assert not known.history.removals_by_id


def test_target_that_returns_within_an_era_is_used_at_once(known):
    known.receive(view_at(1, 21, SECOND), 1.0)
    known.receive(view_at(1, 22, FIRST, SECOND), 2.0)
    assert states(known, 2.0) == {"t1": State.LIVE, "t2": State.LIVE}


def test_older_configuration_of_a_copy_does_not_come_into_force(known):
    known.receive(view_at(1, 21, FIRST, SECOND, configuration=9), 1.0)
    known.receive(view_at(2, 16, FIRST, SECOND, configuration=7), 2.0)
    assert known.view.store.era == 2
    assert known.view.configuration == 9
    known.receive(view_at(2, 17, FIRST, SECOND, configuration=11), 3.0)
    assert known.view.configuration == 11


def test_newer_configuration_of_a_peer_is_taken_with_the_own_targets(known):
    known.receive(view_at(2, 16, FIRST), 2.0)
    assert known.receive(view_at(1, 21, SECOND, configuration=9), 3.0)
    assert known.view.configuration == 9
    assert states(known, 3.0) == {"t1": State.LIVE}


def test_view_of_an_earlier_era_is_not_taken(known):
    known.receive(view_at(2, 16, FIRST), 2.0)
    assert not known.receive(view_at(1, 500, FIRST, SECOND), 3.0)
    assert states(known, 3.0) == {"t1": State.LIVE}
