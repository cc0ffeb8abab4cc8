"""Evacuations that stay in force although a restored store lacks them."""

from dataclasses import replace

import pytest

from lycheeglade.evacuation_history import KEEP_S
from lycheeglade.known_view import KnownView
from lycheeglade.opening_queue import MAX_HOLD_S
from tests.connections import make_target, make_view
from tests.watch_fleet import WatchFleet

TARGETS = [make_target(1), make_target(2)]
NADI, SUVA = "nadi-a", "suva-a"
# Time after the store's acknowledgement from which on no opening may reach a
# target of an evacuated zone. Agents hold openings for part of it.
EVACUATE_S = 5.0


class Balancer:
    """A view that a balancer knows, and what is in force there."""

    def __init__(self):
        self.known = KnownView()

    def receive(self, now, era, revision, *zones, configuration=1, targets=TARGETS):
        view = replace(
            make_view(targets, revision=revision),
            era=era,
            configuration=configuration,
            evacuated_zones=zones,
        )
        return self.known.receive(view, now)

    def zones_at(self, now):
        return self.known.correct(now).evacuated_zones


@pytest.fixture
def balancer():
    made = Balancer()
    made.receive(0.0, 1, 20)
    made.receive(1.0, 1, 21, NADI)
    return made


def test_evacuation_that_the_copy_lacks_is_kept_for_a_time(balancer):
    assert balancer.receive(2.0, 2, 16)
    assert balancer.zones_at(2.0) == (NADI,)
    # Other balancers get what the store says.
    assert balancer.known.view.evacuated_zones == ()
    just_before = 2.0 + KEEP_S - 0.01
    assert not balancer.known.is_due(just_before)
    assert balancer.zones_at(just_before) == (NADI,)
    assert balancer.known.is_due(2.0 + KEEP_S)
    assert balancer.zones_at(2.0 + KEEP_S) == ()
    assert not balancer.known.is_due(2.0 + KEEP_S)


def test_evacuation_is_kept_without_targets():
    balancer = Balancer()
    balancer.receive(1.0, 1, 21, NADI, targets=[])
    balancer.receive(2.0, 2, 16, targets=[])
    assert balancer.zones_at(2.0) == (NADI,)


def test_changes_of_the_new_era_end_no_kept_evacuation(balancer):
    balancer.receive(2.0, 2, 16)
    balancer.receive(3.0, 2, 17, targets=TARGETS[1:])
    balancer.receive(3.1, 2, 18, SUVA)
    assert balancer.zones_at(3.2) == (NADI, SUVA)
    balancer.receive(3.3, 2, 19)
    assert balancer.zones_at(3.4) == (NADI,)


def test_evacuation_that_is_written_again_stays(balancer):
    balancer.receive(2.0, 2, 16)
    balancer.receive(3.0, 2, 17, NADI)
    assert not balancer.known.is_due(9.0)
    assert balancer.zones_at(9.0) == (NADI,)


def test_evacuation_that_is_written_again_ends_with_its_deletion(balancer):
    """The store's content is authoritative again, also within the time."""
    balancer.receive(2.0, 2, 16)
    balancer.receive(3.0, 2, 17, NADI)
    balancer.receive(4.0, 2, 18)
    assert balancer.zones_at(4.0) == ()


def test_evacuation_that_the_copy_names_ends_with_its_deletion(balancer):
    balancer.receive(2.0, 2, 16, NADI)
    assert balancer.zones_at(2.0) == (NADI,)
    balancer.receive(3.0, 2, 17)
    assert balancer.zones_at(3.0) == ()


def test_evacuation_that_the_copy_reintroduces_is_obeyed(balancer):
    balancer.receive(2.0, 1, 22)
    assert balancer.zones_at(2.0) == ()
    balancer.receive(3.0, 2, 21, NADI)
    assert balancer.zones_at(60.0) == (NADI,)


def test_evacuation_that_ended_before_the_restore_is_not_kept(balancer):
    balancer.receive(2.0, 1, 22)
    balancer.receive(3.0, 2, 16)
    assert balancer.zones_at(3.0) == ()


def test_two_zones_are_kept_and_end_together(balancer):
    balancer.receive(1.5, 1, 22, NADI, SUVA)
    balancer.receive(2.0, 2, 16)
    assert balancer.zones_at(2.0) == (NADI, SUVA)
    assert balancer.zones_at(2.0 + KEEP_S) == ()


def test_one_of_two_zones_is_in_the_copy(balancer):
    balancer.receive(1.5, 1, 22, NADI, SUVA)
    balancer.receive(2.0, 2, 21, NADI)
    assert balancer.zones_at(2.0) == (NADI, SUVA)
    assert balancer.zones_at(2.0 + KEEP_S) == (NADI,)


def test_second_restore_starts_the_time_anew(balancer):
    balancer.receive(2.0, 2, 16)
    balancer.receive(5.0, 3, 14)
    assert balancer.zones_at(5.0 + KEEP_S - 0.01) == (NADI,)
    assert balancer.zones_at(5.0 + KEEP_S) == ()


def test_kept_evacuation_that_has_run_out_is_not_kept_again(balancer):
    balancer.receive(2.0, 2, 16)
    balancer.receive(2.0 + KEEP_S, 3, 14)
    assert balancer.zones_at(2.0 + KEEP_S) == ()


def test_peer_of_an_earlier_era_ends_and_begins_nothing(balancer):
    balancer.receive(2.0, 2, 16, SUVA)
    assert not balancer.receive(3.0, 1, 500)
    assert not balancer.receive(3.0, 1, 500, "labasa-a")
    assert balancer.zones_at(3.0) == (NADI, SUVA)


def test_older_view_of_a_peer_lacks_the_evacuation(balancer):
    assert not balancer.receive(2.0, 1, 20)
    assert balancer.zones_at(2.0) == (NADI,)
    # Its routes are newer, and are taken without its targets.
    assert balancer.receive(3.0, 1, 20, configuration=9)
    assert balancer.known.view.configuration == 9
    assert balancer.zones_at(3.0) == (NADI,)


def test_newer_view_with_an_older_configuration_begins_an_evacuation(balancer):
    balancer.receive(1.5, 1, 21, NADI, configuration=9)
    balancer.receive(2.0, 1, 22, NADI, SUVA, configuration=7)
    assert balancer.known.view.configuration == 9
    assert balancer.zones_at(2.0) == (NADI, SUVA)


def zones_in_fleet(fleet):
    return {
        node.known.correct(fleet.now).evacuated_zones
        for node in fleet.nodes_by_address.values()
        if node.is_alive
    }


@pytest.mark.parametrize("fault", ["none", "killed", "cut-off", "restored"])
def test_evacuation_is_in_force_in_all_balancers_in_time(fault):
    """Watchers that fail as it is written must not delay it too long."""
    fleet = WatchFleet(zones=6, per_zone=10)
    fleet.advance(5.0)
    copy = fleet.view
    fleet.evacuate([NADI])
    if fault == "restored":
        fleet.advance(EVACUATE_S - MAX_HOLD_S)
        fleet.restore(copy)
        fleet.advance(1.5)
        assert zones_in_fleet(fleet) == {(NADI,)}
        fleet.evacuate([NADI])
    for node in [*fleet.watchers("zone-1"), *fleet.watchers("zone-2")]:
        node.is_alive = fault != "killed"
        node.reaches_store = fault != "cut-off"
    fleet.advance(EVACUATE_S - MAX_HOLD_S)
    assert zones_in_fleet(fleet) == {(NADI,)}
    fleet.evacuate([])
    fleet.advance(EVACUATE_S)
    assert zones_in_fleet(fleet) == {()}
