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


def test_aim_and_priority_of_a_route(catalog, events):
    plain = {**ROUTE, "prefix": "/80/"}
    del plain["aim-ms"], plain["priority"]
    catalog.apply(configuration(7, ROUTE, plain))
    routes = catalog.view(StoreRevision(1, 1)).routes_by_address
    route = routes[Address("198.18.0.1", 8443)]
    assert (route.aim, route.priority) == (0.225, 2)
    route = routes[Address("198.18.0.1", 80)]
    assert (route.aim, route.priority) == (0.0, 0)
    assert events == []


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("aim-ms", "225"),
        ("aim-ms", -1),
        ("aim-ms", None),
        ("aim-ms", True),
        ("aim-ms", 1e9),
        ("priority", 1.5),
        ("priority", -1),
        ("priority", "high"),
        ("priority", [1]),
        ("priority", False),
        ("priority", 1 << 70),
    ],
)
def test_unreadable_aim_or_priority_does_not_cost_the_route(field, value):
    """A typed field would make the whole configuration unreadable."""
    lines = []
    catalog = Catalog({}, 7720, lambda event, **fields: lines.append((event, fields)))
    catalog.apply(configuration(7, {**ROUTE, field: value}))
    routes = catalog.view(StoreRevision(1, 1)).routes_by_address
    route = routes[Address("198.18.0.1", 8443)]
    assert route.timeout == 2.0
    expected = (0.0, 2) if field == "aim-ms" else (0.225, 0)
    assert (route.aim, route.priority) == expected
    ((event, fields),) = lines
    assert event == "route-field-ignored"
    assert fields["field"] == field
    assert fields["got"] == repr(value)
    assert fields["expected"]


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
