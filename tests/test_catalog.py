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


REGIONS_BY_ZONE = {"nadi-a": "viti-west", "suva-a": "viti-east", "labasa-a": "vanua"}


class LoggingCatalog(Catalog):
    """A catalog of three regions that keeps the fields of its log lines."""

    def __init__(self):
        self.lines = []
        super().__init__(
            REGIONS_BY_ZONE, 7720, lambda event, **fields: self.lines.append(fields)
        )

    def evacuate(self, zone, value=None):
        self.apply(item(f"op/evacuate/{zone}", {} if value is None else value))

    def take_back(self, zone):
        self.apply(WireItem(f"op/evacuate/{zone}", deleted=True))

    def zones_at(self, revision, era=1):
        return self.view(StoreRevision(era, revision)).evacuated_zones


@pytest.fixture
def regions_catalog():
    return LoggingCatalog()


def test_evacuation_is_in_the_view_until_it_is_taken_back(regions_catalog):
    regions_catalog.apply(item("servers/i-1", TARGET))
    before = regions_catalog.view(StoreRevision(1, 1))
    assert before.evacuated_zones == ()
    regions_catalog.evacuate("suva-a")
    regions_catalog.evacuate("nadi-a")
    during = regions_catalog.view(StoreRevision(1, 3))
    assert (during.revision, during.evacuated_zones) == (3, ("nadi-a", "suva-a"))
    assert during.targets_by_service == before.targets_by_service
    assert regions_catalog.view(StoreRevision(1, 4)) is during
    regions_catalog.take_back("suva-a")
    assert regions_catalog.zones_at(5) == ("nadi-a",)
    regions_catalog.take_back("nadi-a")
    assert regions_catalog.zones_at(6) == ()
    assert regions_catalog.lines == []


def test_all_zones_may_be_evacuated(regions_catalog):
    for zone in REGIONS_BY_ZONE:
        regions_catalog.evacuate(zone)
    assert regions_catalog.zones_at(1) == ("labasa-a", "nadi-a", "suva-a")


@pytest.mark.parametrize("zone", ["", "moon", "viti-west/nadi-a"])
def test_evacuation_of_an_unknown_zone_is_one_line(regions_catalog, zone):
    regions_catalog.evacuate("suva-a")
    regions_catalog.evacuate(zone)
    assert regions_catalog.zones_at(1) == ("suva-a",)
    (line,) = regions_catalog.lines
    assert line["key"] == f"op/evacuate/{zone}"
    assert f"got {zone!r}" in line["reason"]
    assert "nadi-a" in line["reason"]
    regions_catalog.take_back(zone)
    assert regions_catalog.zones_at(2) == ("suva-a",)


@pytest.mark.parametrize("value", [b"", b"\xff\x00", b"{", [], "yes", 1])
def test_evacuation_with_an_unreadable_value_changes_nothing(regions_catalog, value):
    regions_catalog.evacuate("suva-a")
    regions_catalog.evacuate("suva-a", value)
    regions_catalog.evacuate("nadi-a", value)
    assert regions_catalog.zones_at(1) == ("suva-a",)
    first, second = regions_catalog.lines
    assert first["key"] == "op/evacuate/suva-a"
    assert second["key"] == "op/evacuate/nadi-a"
    assert "expected {}, got " in first["reason"]


def test_evacuation_whose_value_is_no_base64_changes_nothing(regions_catalog):
    regions_catalog.evacuate("suva-a")
    regions_catalog.apply(WireItem("op/evacuate/suva-a", "a"))
    assert regions_catalog.zones_at(1) == ("suva-a",)
    assert "got 'a'" in regions_catalog.lines[0]["reason"]


def test_evacuations_are_read_anew_with_the_targets(regions_catalog):
    """A deletion that was missed would otherwise stay without effect."""
    for zone in ("nadi-a", "suva-a"):
        regions_catalog.evacuate(zone)
    assert regions_catalog.zones_at(2) == ("nadi-a", "suva-a")
    regions_catalog.clear_targets()
    regions_catalog.evacuate("suva-a", b"{")
    assert regions_catalog.zones_at(1, era=2) == ("suva-a",)


def test_catalog_goes_on_from_the_evacuations_of_a_view(regions_catalog):
    regions_catalog.apply(configuration(7, ROUTE))
    regions_catalog.evacuate("suva-a")
    view = regions_catalog.view(StoreRevision(1, 100))
    follower = LoggingCatalog()
    follower.restore(view)
    assert follower.view(StoreRevision(1, 101)) is view
    follower.take_back("suva-a")
    assert follower.zones_at(102) == ()


def regions_of(catalog, route, tenants=None):
    value = {"version": 7, "routes": [{**ROUTE, **route}]}
    if tenants is not None:
        value["tenants"] = tenants
    catalog.apply(item(CONFIGURATION_KEY, value))
    (translated,) = catalog.view(StoreRevision(1, 1)).routes_by_address.values()
    return translated.regions


@pytest.mark.parametrize(
    ("route", "tenants", "regions"),
    [
        ({}, None, None),
        ({"allowed-regions": []}, None, None),
        ({"allowed-regions": None}, None, None),
        ({"allowed-regions": ["vanua", "viti-east"]}, None, ("vanua", "viti-east")),
        ({"tenant": "a"}, None, None),
        ({"tenant": "b"}, [{"name": "a", "allowed-regions": ["vanua"]}], None),
        ({"tenant": "a"}, [{"name": "a"}], None),
        ({"tenant": "a"}, [{"name": "a", "allowed-regions": []}], None),
        (
            {"tenant": "a"},
            [{"name": "a", "allowed-regions": ["vanua"]}, {"name": "b"}],
            ("vanua",),
        ),
        (
            {"tenant": "a", "allowed-regions": ["viti-east"]},
            [{"name": "a"}],
            ("viti-east",),
        ),
        (
            {"tenant": "a", "allowed-regions": ["viti-east", "vanua"]},
            [{"name": "a", "allowed-regions": ["vanua", "viti-west"]}],
            ("vanua",),
        ),
        (
            {"tenant": "a", "allowed-regions": ["viti-east"]},
            [{"name": "a", "allowed-regions": ["vanua"]}],
            (),
        ),
    ],
)
def test_route_permits_the_regions_of_itself_and_its_tenant(
    regions_catalog, route, tenants, regions
):
    assert regions_of(regions_catalog, route, tenants) == regions
    assert regions_catalog.lines == []


@pytest.mark.parametrize("value", ["vanua", {"vanua": True}, 5, True, ["vanua", 5]])
def test_malformed_list_of_regions_leaves_the_last_configuration(
    regions_catalog, value
):
    assert regions_of(regions_catalog, {"allowed-regions": ["vanua"]}) == ("vanua",)
    assert regions_of(regions_catalog, {"allowed-regions": value}) == ("vanua",)
    tenants = [{"name": "a", "allowed-regions": value}]
    assert regions_of(regions_catalog, {"tenant": "a"}, tenants) == ("vanua",)
    for line, owner in zip(
        regions_catalog.lines, ("route 198.18.0.1:/8443/", "tenant a"), strict=True
    ):
        reason = str(line["reason"])
        assert f"allowed-regions of {owner}: expected a list" in reason
        assert f"got {value!r}" in reason


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
