from base64 import b64encode
from json import dumps

import pytest

from catalog import CONFIGURATION_KEY, Catalog, WireItem
from lycheeglade.address import Address, Zone
from lycheeglade.store_revision import StoreRevision
from lycheeglade.view import State

TARGET = {
    "service": "s1",
    "address": "10.128.0.9:8080",
    "zone": "nadi-a",
    "version": "v1",
    "capacity": 3,
    "state": "ready",
    "warmup-left-ms": 0,
    "sequence": 4,
}
ROUTE = {
    "name": "r1",
    "host": "198.18.0.1",
    "prefix": "/8443/",
    "type": "safe",
    "timeout-ms": 2000,
    "aim-ms": 225,
    "priority": 2,
    "service": "s1",
    "attempts": 2,
}
SPLIT = [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}]


def item(key, value, **fields):
    content = value if isinstance(value, bytes) else dumps(value).encode()
    return WireItem(key, b64encode(content).decode(), **fields)


@pytest.fixture
def events():
    return []


@pytest.fixture
def catalog(events):
    return Catalog(
        {"nadi-a": "viti-west"}, 7720, lambda event, **fields: events.append(event)
    )


def configuration(version, *routes):
    return item(CONFIGURATION_KEY, {"version": version, "routes": routes})


def test_routes(catalog):
    unsafe = {**ROUTE, "prefix": "/80/", "type": "unsafe", "backends": SPLIT}
    del unsafe["service"]
    catalog.apply(configuration(7, ROUTE, unsafe))
    view = catalog.view(StoreRevision(1, 100))
    assert (view.revision, view.configuration) == (100, 7)
    route = view.routes_by_address[Address("198.18.0.1", 8443)]
    assert route.weights_by_service == {"s1": 1.0}
    assert route.timeout == 2.0
    assert route.repeatable
    split = view.routes_by_address[Address("198.18.0.1", 80)]
    assert split.weights_by_service == {"s1": 90, "s2": 10}
    assert not split.repeatable


def test_older_configuration_is_not_taken(catalog):
    catalog.apply(configuration(7, ROUTE))
    catalog.apply(configuration(6))
    assert len(catalog.view(StoreRevision(1, 1)).routes_by_address) == 1


def test_targets(catalog):
    catalog.apply(item("servers/i-1", TARGET))
    catalog.apply(item("servers/i-2", {**TARGET, "state": "draining"}))
    targets = catalog.view(StoreRevision(1, 1)).targets_by_service["s1"]
    assert targets["i-1"].agent == Address("10.128.0.9", 7720)
    assert targets["i-1"].upstream == Address("10.128.0.9", 8080)
    assert targets["i-1"].zone == Zone("viti-west", "nadi-a")
    assert targets["i-1"].slots == 3
    assert targets["i-2"].state is State.LEAVING
    catalog.apply(WireItem("servers/i-1", deleted=True))
    assert list(catalog.view(StoreRevision(1, 2)).targets_by_service["s1"]) == ["i-2"]


@pytest.mark.parametrize(
    "value",
    [
        b"\xff\x00",
        {**TARGET, "state": "asleep"},
        {**TARGET, "zone": "moon"},
        {**TARGET, "address": "here"},
        {**TARGET, "address": 5},
        {key: TARGET[key] for key in ("service", "zone")},
        {**TARGET, "capacity": "many"},
        {**TARGET, "capacity": 10**30},
        {**TARGET, "born": 10**30},
        {**TARGET, "born": "today"},
        [],
    ],
)
def test_entry_that_cannot_be_read_names_no_target(catalog, events, value):
    catalog.apply(item("servers/i-1", TARGET))
    catalog.apply(item("servers/i-2", TARGET))
    catalog.apply(item("servers/i-1", value))
    assert list(catalog.view(StoreRevision(1, 1)).targets_by_service["s1"]) == ["i-2"]
    assert events == ["unreadable"]


def test_value_that_is_no_base64(catalog, events):
    catalog.apply(WireItem("servers/i-1", "%%%"))
    assert events == ["unreadable"]


def test_unreadable_configuration_leaves_the_last_one_in_force(catalog, events):
    catalog.apply(configuration(7, ROUTE))
    catalog.apply(item(CONFIGURATION_KEY, {"version": 8, "routes": "none"}))
    catalog.apply(item(CONFIGURATION_KEY, {"version": 10**30, "routes": []}))
    assert catalog.view(StoreRevision(1, 1)).configuration == 7
    assert events == ["unreadable", "unreadable"]


def test_other_keys_are_left_alone(catalog, events):
    catalog.apply(item("op/other", {"version": 9}))
    assert catalog.view(StoreRevision(1, 1)).configuration == 0
    assert events == []


@pytest.mark.parametrize(
    ("kind", "repeatable", "is_bulk"),
    [
        ("safe", True, False),
        ("download", True, True),
        ("upload", False, True),
        ("unsafe", False, False),
    ],
)
def test_what_a_kind_of_route_allows(catalog, kind, repeatable, is_bulk):
    catalog.apply(configuration(7, {**ROUTE, "type": kind}))
    (route,) = catalog.view(StoreRevision(1, 100)).routes_by_address.values()
    assert (route.repeatable, route.is_bulk) == (repeatable, is_bulk)


def test_change_of_unused_fields_keeps_the_view_and_its_revision(catalog):
    catalog.apply(configuration(7, ROUTE))
    catalog.apply(item("servers/i-1", TARGET))
    view = catalog.view(StoreRevision(1, 100))
    catalog.apply(item("servers/i-1", {**TARGET, "sequence": 9, "warmup-left-ms": 50}))
    assert catalog.view(StoreRevision(1, 104)) is view
    catalog.apply(item("servers/i-1", {**TARGET, "state": "draining"}))
    assert catalog.view(StoreRevision(1, 105)).revision == 105


def test_catalog_goes_on_from_a_view_of_another_balancer(catalog):
    catalog.apply(configuration(7, ROUTE))
    catalog.apply(item("servers/i-1", TARGET))
    view = catalog.view(StoreRevision(1, 100))
    follower = Catalog({"nadi-a": "viti-west"}, 7720, lambda event, **fields: None)
    follower.restore(view)
    assert follower.view(StoreRevision(1, 101)) is view
    follower.apply(item("servers/i-1", {}, deleted=True))
    changed = follower.view(StoreRevision(1, 102))
    assert changed.revision == 102
    assert changed.routes_by_address == view.routes_by_address
    assert not changed.targets_by_service


COLD = {**TARGET, "born": 1000, "warmup-left-ms": 30000}
RATED = [{"name": "s1", "warmup-per-s": 4}, {"name": "s2", "warmup-per-s": 0}]


def rated_configuration(services, version=7):
    return item(
        CONFIGURATION_KEY,
        {"version": version, "routes": [ROUTE], "services": services},
    )


def warmup_of(view, target_id="i-1"):
    return view.targets_by_service["s1"][target_id].warmup_left


def test_rates_and_times_of_cold_targets(catalog, events):
    catalog.apply(rated_configuration([*RATED, {"name": "s3"}]))
    catalog.apply(item("servers/i-1", COLD))
    catalog.apply(item("servers/i-2", {**COLD, "service": "s2"}))
    view = catalog.view(StoreRevision(1, 1))
    assert view.warmup_rates_by_service == {"s1": 4.0}
    assert warmup_of(view) == 30.0
    assert view.targets_by_service["s2"]["i-2"].warmup_left == 0.0
    assert events == []


def test_heartbeats_of_a_cold_target_leave_the_view_as_it_is(catalog):
    """Each heartbeat of each cold target was sent to all balancers."""
    catalog.apply(rated_configuration(RATED))
    catalog.apply(item("servers/i-1", COLD))
    view = catalog.view(StoreRevision(1, 100))
    for heartbeat, left_ms in enumerate((29230, 28460, 500, 0, 0)):
        catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": left_ms}))
        assert catalog.view(StoreRevision(1, 101 + heartbeat)) is view
    catalog.clear_targets()
    catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": 0}))
    assert catalog.view(StoreRevision(1, 110)) is view


def test_larger_time_and_new_lifetime_change_the_view(catalog):
    catalog.apply(rated_configuration(RATED))
    catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": 5000}))
    assert warmup_of(catalog.view(StoreRevision(1, 1))) == 5.0
    catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": 9000}))
    assert warmup_of(catalog.view(StoreRevision(1, 2))) == 9.0
    catalog.apply(item("servers/i-1", {**COLD, "born": 2000, "warmup-left-ms": 8000}))
    assert warmup_of(catalog.view(StoreRevision(1, 3))) == 8.0


def test_rate_that_is_published_later_takes_the_time_that_is_left(catalog):
    """The first value of a warm target would have made it cold again."""
    catalog.apply(rated_configuration([]))
    catalog.apply(item("servers/i-1", COLD))
    assert warmup_of(catalog.view(StoreRevision(1, 1))) == 0.0
    catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": 2000}))
    catalog.apply(rated_configuration(RATED, 8))
    assert warmup_of(catalog.view(StoreRevision(1, 2))) == 2.0
    catalog.apply(rated_configuration([], 9))
    view = catalog.view(StoreRevision(1, 3))
    assert (warmup_of(view), view.warmup_rates_by_service) == (0.0, {})


def test_catalog_that_goes_on_from_a_view_keeps_its_warmup(catalog):
    catalog.apply(rated_configuration(RATED))
    catalog.apply(item("servers/i-1", COLD))
    view = catalog.view(StoreRevision(1, 100))
    follower = Catalog({"nadi-a": "viti-west"}, 7720, lambda event, **fields: None)
    follower.restore(view)
    follower.apply(item("servers/i-1", {**COLD, "warmup-left-ms": 12000}))
    assert follower.view(StoreRevision(1, 101)) is view


@pytest.mark.parametrize(
    "left_ms", [-1, 600_001, 1e300, 10**30, "30000", True, None, [], {}]
)
def test_invalid_warmup_time_is_logged_once_and_not_used(catalog, events, left_ms):
    catalog.apply(rated_configuration(RATED))
    for _ in range(3):
        catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": left_ms}))
    assert warmup_of(catalog.view(StoreRevision(1, 1))) == 0.0
    assert events == ["warmup-invalid"]
    catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": 600_000}))
    assert warmup_of(catalog.view(StoreRevision(1, 2))) == 600.0
    catalog.apply(item("servers/i-1", {**COLD, "warmup-left-ms": left_ms}))
    assert events == ["warmup-invalid"] * 2


def test_missing_warmup_time_is_logged_only_where_a_rate_is_published(catalog, events):
    without = {key: COLD[key] for key in COLD if key != "warmup-left-ms"}
    catalog.apply(rated_configuration(RATED))
    catalog.apply(item("servers/i-2", {**without, "service": "s2"}))
    assert events == []
    for _ in range(3):
        catalog.apply(item("servers/i-1", without))
    assert events == ["warmup-invalid"]
    catalog.apply(item("servers/i-1", {}, deleted=True))
    catalog.apply(item("servers/i-1", without))
    assert events == ["warmup-invalid"] * 2


@pytest.mark.parametrize(
    "services",
    [
        5,
        None,
        {"s2": 4},
        ["s2"],
        [{"warmup-per-s": 4}],
        [{"name": 7, "warmup-per-s": 4}],
        [{"name": "s2", "warmup-per-s": -1}],
        [{"name": "s2", "warmup-per-s": "4"}],
        [{"name": "s2", "warmup-per-s": True}],
        [{"name": "s2", "warmup-per-s": None}],
        [{"name": "s2", "warmup-per-s": 1e300}],
    ],
)
def test_invalid_rate_leaves_the_rest_of_the_configuration(catalog, events, services):
    valid = [RATED[0]] if isinstance(services, list) else []
    if isinstance(services, list):
        services = [*services, RATED[0]]
    catalog.apply(rated_configuration(services))
    view = catalog.view(StoreRevision(1, 1))
    assert (view.configuration, len(view.routes_by_address)) == (7, 1)
    assert view.warmup_rates_by_service == ({"s1": 4.0} if valid else {})
    assert events == ["warmup-invalid"]


def test_without_rates_the_view_is_as_before(catalog):
    catalog.apply(configuration(7, ROUTE))
    catalog.apply(item("servers/i-1", COLD))
    view = catalog.view(StoreRevision(1, 1))
    assert warmup_of(view) == 0.0
    assert view.warmup_rates_by_service == {}
