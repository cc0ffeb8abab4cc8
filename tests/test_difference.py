from dataclasses import replace

import pytest

from lycheeglade.difference import Presence, compare_views, format_difference
from lycheeglade.view import State, View
from tests.test_routing import SEVEN_TARGET_SERVICE, ZONES, make_target

VIEW = View(1, {SEVEN_TARGET_SERVICE.name: SEVEN_TARGET_SERVICE})


def compare(*services):
    return compare_views(VIEW, View(2, {item.name: item for item in services}))


def with_target(target):
    targets_by_id = {**SEVEN_TARGET_SERVICE.targets_by_id, target.target_id: target}
    return replace(SEVEN_TARGET_SERVICE, revision=2, targets_by_id=targets_by_id)


def test_no_change():
    assert format_difference(compare(SEVEN_TARGET_SERVICE)) == ("nothing changes",)


@pytest.mark.parametrize(
    "target", [make_target("t3", state=State.LEAVING), make_target("t7")]
)
def test_share_of_moved_flows(target):
    (service,) = compare(with_target(target)).services
    size = len(SEVEN_TARGET_SERVICE.targets_by_id) + (target.target_id == "t7")
    assert service.moved_share == pytest.approx(1 / size, rel=0.06)


def test_added_and_removed_services():
    added = replace(SEVEN_TARGET_SERVICE, name="reel-depot", targets_by_id={})
    difference = compare(added)
    presences = {item.name: item.presence for item in difference.services}
    assert presences == {"booth-sync": Presence.REMOVED, "reel-depot": Presence.ADDED}
    assert format_difference(difference)[-1] == "  WARNING: no target takes new flows"


def test_places_capacity_and_addresses_in_plain_words():
    other = replace(SEVEN_TARGET_SERVICE.targets_by_id["t0"], connections=0)
    service = replace(
        with_target(replace(other, zone=ZONES[1])),
        places=("viti-west/nadi-b",),
        grace=60.0,
    )
    depot = replace(
        SEVEN_TARGET_SERVICE, name="reel-depot", targets_by_id={"t0": other}
    )
    assert format_difference(compare(service, depot)) == (
        "service booth-sync is changed",
        "  86.0% of new flows get another first candidate; "
        "open flows stay where they are",
        "  place viti-west is no longer allowed as a whole",
        *(f"  target t{n} takes no new flows any more" for n in range(1, 7)),
        "  option grace has another value",
        "  WARNING: target t0 has no slot or no connection",
        "  WARNING: 1 slots in all, 7 before",
        "  WARNING: 0 connections in all, 14000 before",
        "service reel-depot is added",
        "  place viti-west is newly allowed",
        "  target t0 takes new flows",
        "  WARNING: target t0 has no slot or no connection",
        "upstream 127.2.0.1:7100 moves from booth-sync to reel-depot",
    )
