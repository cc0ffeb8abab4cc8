"""Which targets may get a new connection, and why none may."""

from dataclasses import replace

import pytest

from lycheeglade.address import Zone
from lycheeglade.eligibility import (
    REMOVAL_GRACE_S,
    Cause,
    find_eligible,
    is_excluded,
)
from lycheeglade.target_load import AgentLoad
from lycheeglade.view import State
from tests.connections import ROUTE, make_target, make_view

NADI = Zone("viti-west", "nadi-a")
LAUTOKA = Zone("viti-west", "lautoka-a")
SUVA = Zone("viti-east", "suva-a")
LABASA = Zone("vanua", "labasa-a")
ZONES = [NADI, LAUTOKA, SUVA, LABASA]
TARGETS = [make_target(number, zone) for number, zone in enumerate(ZONES)]
SERVICE = "booth-sync"
NOW = 10.0


def find(
    evacuated=(), regions=None, targets=TARGETS, removals=(), loads=None, name=SERVICE
):
    view = replace(make_view(targets), evacuated_zones=tuple(evacuated))
    route = replace(ROUTE, regions=regions)
    found = find_eligible(view, route, name, removals, loads or {}, NOW)
    return [target.zone for target in found.targets], found.cause


def test_all_live_targets_are_eligible():
    assert find() == (ZONES, None)
    leaving = [replace(t, state=State.LEAVING) for t in TARGETS[:2]]
    assert find(targets=[*leaving, *TARGETS[2:]]) == ([SUVA, LABASA], None)


@pytest.mark.parametrize(
    ("evacuated", "zones"),
    [
        (["nadi-a"], [LAUTOKA, SUVA, LABASA]),
        (["nadi-a", "suva-a"], [LAUTOKA, LABASA]),
        (["unknown"], ZONES),
    ],
)
def test_evacuated_zones_are_excluded(evacuated, zones):
    assert find(evacuated) == (zones, None)


def test_all_zones_evacuated():
    assert find([zone.name for zone in ZONES]) == ([], Cause.EVACUATED)


@pytest.mark.parametrize(
    ("regions", "zones"),
    [
        (("viti-west",), [NADI, LAUTOKA]),
        (("vanua", "viti-east"), [SUVA, LABASA]),
        (("vanua", "unknown"), [LABASA]),
    ],
)
def test_other_regions_are_excluded(regions, zones):
    assert find(regions=regions) == (zones, None)


@pytest.mark.parametrize("regions", [(), ("unknown",), ("nadi-a",)])
def test_no_target_in_a_permitted_region(regions):
    assert find(regions=regions) == ([], Cause.REGION)


def test_evacuation_within_the_permitted_regions():
    assert find(["nadi-a"], ("viti-west",)) == ([LAUTOKA], None)
    found = find(["nadi-a", "lautoka-a"], ("viti-west",))
    assert found == ([], Cause.EVACUATED)
    # Without the evacuation, no target would be permitted either.
    assert find(["nadi-a"], ("unknown",)) == ([], Cause.REGION)


@pytest.mark.parametrize("name", [None, "other"])
def test_service_without_targets(name):
    assert find(name=name) == ([], Cause.NO_TARGET)


def test_service_whose_targets_all_leave():
    """The cause is not the evacuation, which a return would not mend."""
    leaving = [replace(target, state=State.LEAVING) for target in TARGETS]
    found = find(["nadi-a"], ("unknown",), targets=leaving)
    assert found == ([], Cause.NO_TARGET)


def vanished(target, gone_at, heard_at=NOW, service=SERVICE):
    load = AgentLoad(last_heard_at=heard_at)
    return {"removals": [(target, service, gone_at)], "loads": {target.agent: load}}


def test_target_that_has_just_vanished_is_eligible():
    recent = NOW - REMOVAL_GRACE_S / 2
    target = TARGETS[0]
    assert find(targets=[], **vanished(target, recent)) == ([NADI], None)
    for removal in (
        vanished(target, NOW - REMOVAL_GRACE_S),
        vanished(target, recent, heard_at=recent),
        vanished(target, recent, service="other"),
        {"removals": [(target, SERVICE, recent)]},
    ):
        assert find(targets=[], **removal) == ([], Cause.NO_TARGET)


def test_target_that_has_just_vanished_is_evacuated_with_its_zone():
    """Its agent still answers, so the opening would reach it."""
    removal = vanished(TARGETS[0], NOW - 0.1)
    found = find(["nadi-a"], targets=TARGETS[1:], **removal)
    assert found == ([LAUTOKA, SUVA, LABASA], None)
    assert find(["nadi-a"], targets=[], **removal) == ([], Cause.EVACUATED)
    assert find(regions=("vanua",), targets=[], **removal) == ([], Cause.REGION)


def test_target_is_excluded_by_its_zone_or_its_region():
    view = replace(make_view(TARGETS), evacuated_zones=("nadi-a",))
    limited = replace(ROUTE, regions=("viti-west",))
    excluded = [is_excluded(view, ROUTE, target) for target in TARGETS]
    assert excluded == [True, False, False, False]
    excluded = [is_excluded(view, limited, target) for target in TARGETS]
    assert excluded == [True, False, True, True]
