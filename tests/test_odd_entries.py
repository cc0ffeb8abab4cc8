"""An odd entry of another writer names no target, and all else is followed.

Balancers ended at nested entries, again after each restart. An entry of which
a reader stops following the store costs as much: no later change takes effect.
"""

from asyncio import create_task, timeout
from contextlib import asynccontextmanager
from dataclasses import replace
from json import dumps
from random import Random

import pytest
from msgspec.msgpack import encode as encode_messagepack

import store_reader
from catalog import CONFIGURATION_KEY, MAX_MESSAGE_INT, Catalog, WireItem
from lycheeglade.address import Address
from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    tick,
    update_routing,
)
from lycheeglade.known_view import KnownView
from lycheeglade.logs import format_field
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    Duty,
    ForwardSegment,
    LoadRequest,
    ViewStatus,
    decode_message,
    encode_message,
)
from lycheeglade.route import pick_service
from lycheeglade.store_revision import StoreRevision
from lycheeglade.view import State
from lycheeglade.view_transfer import fetch_view, serve_view
from store import StoreClient, WireEvents, WireRange
from store_era import EraReader
from store_reader import follow_store, read_store
from tests import store_stand_in
from tests.connections import (
    AGENTS,
    TARGETS,
    BalancerRecorder,
    data,
    from_caller,
    make_report,
    make_target,
    make_view,
    opening,
)
from tests.odd_entries import (
    DEPTHS,
    ENTRY,
    IDS,
    KINDS,
    NUMBERS,
    PORTS,
    TEXTS_BY_KIND,
    encode,
    format_entry,
    nest,
)
from tests.store_stand_in import PAGE_SIZE, StoreStandIn
from tests.test_catalog import ROUTE
from tests.test_foreign_input import respond
from tests.test_store import wait_until

__all__ = ["respond"]

REGIONS = {"nadi-a": "viti-west", "suva-a": "viti-east"}
# Time after which a balancer has given up agents that it never heard.
UNHEARD_S = 8.0
TICK_S = 0.02
# Ends a read that would go on forever; others take milliseconds.
ENDLESS_S = 10.0
GOOD = {**ENTRY, "address": "127.0.0.8:8165"}
# Forms of which one each is read in every way that a balancer reads the store.
ODD_CONTENTS = {
    "nested-lists": nest(100_000)["lists"],
    "nested-objects": format_entry("tags", nest(2_000)["objects"]),
    "nested-capacity": format_entry("capacity", nest(900)["both"]),
    "number-of-100000-digits": format_entry("capacity", NUMBERS["100000-digits"]),
    "number-beyond-floats": format_entry("born", NUMBERS["beyond-floats"]),
    "number-above-53-bits": format_entry("born", NUMBERS["above-53-bits"]),
    "port-70000": format_entry("address", '"127.0.0.9:70000"'),
    "port-of-5000-digits": format_entry(
        "address", f'"127.0.0.9:{PORTS["5000-digits"]}"'
    ),
    "port-empty": format_entry("address", '"127.0.0.9:"'),
    "no-json": "\x00\x01",
}


def log_formatted(event, **fields):
    """Format the fields as a log line would."""
    for value in fields.values():
        format_field(value)


def ignore_event(event, **fields):
    pass


def item(key, value):
    return WireItem(key, encode(value if isinstance(value, str) else dumps(value)))


def find_targets(view, service="s1"):
    return view.targets_by_service.get(service, {})


def make_catalog():
    catalog = Catalog(REGIONS, 7720, log_formatted)
    catalog.apply(item(CONFIGURATION_KEY, {"version": 1, "routes": [ROUTE]}))
    catalog.apply(item("servers/own", GOOD))
    return catalog


def view_of(catalog, revision):
    return catalog.view(StoreRevision(1, revision))


@pytest.mark.parametrize("key", ["servers/odd", "servers/own", "op/evacuate/suva-a"])
@pytest.mark.parametrize("kind", KINDS)
def test_catalog_follows_all_changes_beside_an_odd_entry(kind, key):
    """Each entry of a kind is applied to its own catalog."""
    for name, text in TEXTS_BY_KIND[kind].items():
        catalog = make_catalog()
        first = find_targets(view_of(catalog, 1))["own"]
        catalog.apply(item(key, text))
        targets = find_targets(view_of(catalog, 2))
        if key != "servers/own":
            assert targets["own"] == first, name
        catalog.apply(item("servers/new", {**GOOD, "address": "127.0.0.7:8165"}))
        assert "new" in find_targets(view_of(catalog, 3)), name
        catalog.apply(item("servers/new", {**GOOD, "state": "draining"}))
        assert find_targets(view_of(catalog, 4))["new"].state is State.LEAVING, name
        catalog.apply(WireItem("servers/new", deleted=True))
        assert "new" not in find_targets(view_of(catalog, 5)), name
        catalog.apply(item("op/evacuate/nadi-a", {}))
        assert "nadi-a" in view_of(catalog, 6).evacuated_zones, name
        routes = [ROUTE, {**ROUTE, "prefix": "/81/"}]
        catalog.apply(item(CONFIGURATION_KEY, {"version": 2, "routes": routes}))
        assert len(view_of(catalog, 7).routes_by_address) == 2, name
        if key.startswith("servers/"):
            catalog.apply(item(key, GOOD))
            id_ = key.removeprefix("servers/")
            assert replace(find_targets(view_of(catalog, 8))[id_], target_id="own") == (
                first
            ), name
        catalog.apply(WireItem(key, deleted=True))
        expected = set() if key == "servers/own" else {"own"}
        assert set(find_targets(view_of(catalog, 9))) == expected, name
        assert view_of(catalog, 10).evacuated_zones == ("nadi-a",), name


@pytest.mark.parametrize("kind", KINDS)
def test_odd_configuration_leaves_routes_to_a_later_one(kind):
    texts = TEXTS_BY_KIND[kind]
    for name, text in texts.items():
        catalog = make_catalog()
        catalog.apply(item(CONFIGURATION_KEY, text))
        known = view_of(catalog, 1).configuration
        # A larger version than this one can't follow.
        later = min(known + 1, MAX_MESSAGE_INT)
        catalog.apply(item(CONFIGURATION_KEY, {"version": later, "routes": [ROUTE]}))
        view = view_of(catalog, 2)
        assert view.configuration == later, name
        assert len(view.routes_by_address) == (later > known), name


def make_odd_routes():
    values = dict(NUMBERS)
    for depth in DEPTHS:
        values |= {f"{form}-{depth}": tree for form, tree in nest(depth).items()}
    for name, value in values.items():
        for field in ("timeout-ms", "aim-ms", "priority", "attempts", "prefix"):
            route = format_entry(field, value, ROUTE)
            yield f"{name}-in-{field}", f'{{"version":2,"routes":[{route}]}}'
        split = f'[{{"service":"s1","weight":{value}}},{{"service":"s2","weight":1}}]'
        route = format_entry("backends", split, {**ROUTE, "service": ""})
        yield f"{name}-in-weight", f'{{"version":2,"routes":[{route}]}}'
    for name, port in PORTS.items():
        route = format_entry("prefix", dumps(f"/{port}/"), ROUTE)
        yield f"{name}-as-port", f'{{"version":2,"routes":[{route}]}}'


ODD_ROUTES = dict(make_odd_routes())


@pytest.mark.parametrize("name", ODD_ROUTES)
def test_odd_route_ends_no_balancer_and_is_replaced_by_the_next_one(name):
    """Openings by the odd route raise nothing, and later routes are used."""
    catalog = make_catalog()
    catalog.apply(item(CONFIGURATION_KEY, ODD_ROUTES[name]))
    recorder = BalancerRecorder()
    balancer = recorder.make(view_of(catalog, 1))
    for target in find_targets(balancer.view).values():
        receive_message(balancer, make_report(service="s1"), target.agent, 0.0)
    for address in balancer.view.routes_by_address:
        for port in range(40_001, 40_009):
            segment = replace(opening(port), destination=address)
            receive_segment(balancer, segment, 0.1)
    catalog.apply(item(CONFIGURATION_KEY, {"version": 3, "routes": []}))
    assert view_of(catalog, 2).routes_by_address == {}


@pytest.fixture
async def store(monkeypatch):
    monkeypatch.setattr(store_reader, "BATCH_PAUSE_S", 0.005)
    stand_in = StoreStandIn()
    stand_in.address = Address(*await stand_in.start())
    stand_in.put(CONFIGURATION_KEY, {"version": 1, "routes": [ROUTE]})
    stand_in.put("servers/own", GOOD)
    yield stand_in
    stand_in.stop()


async def read_once(store):
    """Read the store as a balancer does at its start."""
    client = StoreClient(lambda: store.address, EraReader(ignore_event))
    try:
        catalog = Catalog(REGIONS, 7720, log_formatted)
        return await read_store(client, catalog, log_formatted)
    finally:
        client.close()


@asynccontextmanager
async def follow(store):
    """Follow the store as a balancer does, and yield the published views."""
    views = []
    client = StoreClient(lambda: store.address, EraReader(ignore_event))
    catalog = Catalog(REGIONS, 7720, log_formatted)
    task = create_task(
        follow_store(client, catalog, views.append, Random(1), log_formatted)
    )
    try:
        await wait_until(lambda: views or task.done())
        yield views
        assert not task.done()
    finally:
        task.cancel()
        client.close()


async def assert_all_followed(store, views, odd_key):
    """Make one change after another, each of which has to arrive."""

    async def wait_for_view(condition):
        await wait_until(lambda: condition(views[-1]))

    await wait_for_view(lambda view: "own" in find_targets(view))
    store.put("servers/new", {**GOOD, "address": "127.0.0.7:8165"})
    await wait_for_view(lambda view: "new" in find_targets(view))
    store.put("servers/new", {**GOOD, "state": "draining"})
    await wait_for_view(lambda view: find_targets(view)["new"].state is State.LEAVING)
    store.delete("servers/new")
    await wait_for_view(lambda view: "new" not in find_targets(view))
    store.put(CONFIGURATION_KEY, {"version": 2, "routes": []})
    await wait_for_view(lambda view: view.configuration == 2)
    store.put("op/evacuate/nadi-a", {})
    await wait_for_view(lambda view: view.evacuated_zones == ("nadi-a",))
    odd = store.items_by_key[odd_key]
    odd_id = odd_key.removeprefix("servers/")
    store.put(odd_key, GOOD)
    await wait_for_view(lambda view: odd_id in find_targets(view))
    store.put(odd_key, b"{")
    await wait_for_view(lambda view: odd_id not in find_targets(view))
    store.put(odd_key, GOOD)
    await wait_for_view(lambda view: odd_id in find_targets(view))
    store.items_by_key[odd_key] = odd
    store.delete(odd_key)
    await wait_for_view(lambda view: odd_id not in find_targets(view))


async def read_before_start(store, odd_key, odd):
    store.put(odd_key, odd)
    return lambda: None


async def read_by_watch(store, odd_key, odd):
    return lambda: store.put(odd_key, odd)


async def read_after_lost_history(store, odd_key, odd):
    def lose():
        store.put(odd_key, odd)
        store.compact_history()

    return lose


async def read_in_new_era(store, odd_key, odd):
    def restore():
        copy = store.copy()
        store.restore(copy)
        store.put(odd_key, odd)

    return restore


@pytest.mark.parametrize(
    "way",
    [read_before_start, read_by_watch, read_after_lost_history, read_in_new_era],
)
@pytest.mark.parametrize("name", ODD_CONTENTS)
async def test_store_is_followed_after_an_odd_entry(store, name, way):
    change = await way(store, "servers/odd", ODD_CONTENTS[name].encode())
    async with follow(store) as views:
        await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
        change()
        await assert_all_followed(store, views, "servers/odd")


@pytest.mark.parametrize("pages", [1, 2, 4])
@pytest.mark.parametrize("id_", IDS.values(), ids=IDS)
async def test_store_is_followed_beside_an_odd_key(store, id_, pages):
    """The odd key is the last one of a page: the next page comes after it."""
    key = f"servers/{id_}"
    store.put(key, ODD_CONTENTS["port-70000"].encode())
    before = sorted(store.items_by_key).index(key) + 1
    missing = -before % PAGE_SIZE
    for number in range(missing):
        store.put(f"op/a{number}", {})
    for number in range(PAGE_SIZE * (pages - 1)):
        store.put(f"servers/zz{number}", GOOD)
    keys = sorted(store.items_by_key)
    assert (keys.index(key) + 1) % PAGE_SIZE == 0
    view, _ = await read_once(store)
    assert len(find_targets(view)) == 1 + PAGE_SIZE * (pages - 1)
    assert store.calls.count("/kv-range") == -(-len(keys) // PAGE_SIZE)
    async with follow(store) as views:
        await assert_all_followed(store, views, key)


async def test_peer_gets_the_view_that_was_read_beside_odd_entries():
    """Numbers and IDs that one balancer accepts can be sent to all others."""
    catalog = make_catalog()
    for number, texts in enumerate(TEXTS_BY_KIND.values()):
        for name, text in texts.items():
            catalog.apply(item(f"servers/{number}-{name}", text))
    for id_ in IDS.values():
        catalog.apply(item(f"servers/{id_}", GOOD))
    view = view_of(catalog, 5)
    server = await serve_view(Address("127.0.0.1", 0), lambda: view)
    address = Address(*server.sockets[0].getsockname()[:2])
    fetched = await fetch_view(address, ignore_event)
    server.close()
    assert set(IDS.values()) < set(find_targets(fetched))
    assert fetched == view


@pytest.mark.parametrize("count", [1, 50])
def test_target_that_nobody_has_heard_gets_no_openings(count):
    """An entry may be well-formed, and name a process that does not exist."""
    odd = [
        replace(make_target(100 + number, slots=2**53), lifetime=2**53)
        for number in range(count)
    ]
    recorder = BalancerRecorder()
    balancer = recorder.make(make_view([*TARGETS, *odd]))
    for target in TARGETS:
        receive_message(balancer, make_report(), target.agent, 0.0)
    recorder.sent.clear()
    for port in range(40_001, 40_201):
        receive_segment(balancer, opening(port), 0.1)
    sent = recorder.pop_forwarded_segments()
    assert len(sent) == 200
    named = {
        agent for address, message in sent for agent in (address, *message.candidates)
    }
    assert named == {target.agent for target in TARGETS}


@pytest.mark.parametrize("born", [2**53, 4_102_444_800_001])
def test_start_in_the_far_future_leaves_no_target_draining(born):
    """All later entries counted as older than the odd one."""
    catalog, known = make_catalog(), KnownView()

    def publish(revision):
        known.receive(view_of(catalog, revision), float(revision))
        return find_targets(known.correct(float(revision))).get("own")

    publish(1)
    odd = {**GOOD, "state": "draining", "born": born}
    catalog.apply(item("servers/own", odd))
    publish(2)
    catalog.apply(item("servers/own", {**GOOD, "born": GOOD["born"] + 1}))
    assert publish(3).state is State.LIVE


def test_start_in_the_far_future_hides_no_warmup():
    """A cold target was not limited while the odd entry named its address."""
    catalog = make_catalog()
    services = [{"name": "s1", "warmup-per-s": 2}]
    catalog.apply(
        item(CONFIGURATION_KEY, {"version": 2, "routes": [ROUTE], "services": services})
    )
    catalog.apply(item("servers/odd", {**GOOD, "born": 2**53}))
    balancer = BalancerRecorder().make(view_of(catalog, 1))
    cold = {**GOOD, "born": GOOD["born"] + 1, "warmup-left-ms": 30_000}
    catalog.apply(item("servers/own", cold))
    update_routing(balancer, view_of(catalog, 2), 5.0)
    assert balancer.loads_by_agent[Address("127.0.0.8", 7720)].is_cold(6.0)


@pytest.mark.parametrize(
    "revision",
    [-1, 2**53 + 1, 2**63, 2**64, 10**400],
    ids=lambda each: str(each)[:20],
)
async def test_odd_revision_of_the_store_is_an_error_of_the_store(store, revision):
    """Messages to other balancers could not be encoded with it."""
    sound, store.revision = store.revision, revision
    assert await read_once(store) is None
    store.revision = sound
    view, checked = await read_once(store)
    status = ViewStatus("nadi-a", view.revision, checked.revision, Duty.WATCHER)
    assert decode_message(encode_message(status)) == status


async def test_watch_goes_on_after_an_odd_revision_of_the_store(store):
    async with follow(store) as views:
        await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
        store.revision = 10**400
        store.put("servers/new", {**GOOD, "address": "127.0.0.7:8165"})
        await wait_until(lambda: len(store.calls) > 5)
        assert all(view.revision < 2**53 for view in views)
        store.revision = 20
        store.put("servers/new", {**GOOD, "address": "127.0.0.7:8165"})
        await wait_until(lambda: "new" in find_targets(views[-1]))


@pytest.mark.parametrize(
    "revision", [*NUMBERS.values(), '"x"', "null", "[]"], ids=lambda each: each[:20]
)
async def test_odd_revision_of_an_item_leaves_its_page_readable(respond, revision):
    """The whole answer was malformed, in each call, though nobody reads it."""
    own = f'{{"key":"servers/own","value":"{encode(dumps(GOOD))}","revision":3}}'
    odd = f'{{"key":"servers/odd","value":"e30=","revision":{revision}}}'
    body = f'{{"items":[{own},{odd}],"has-more":false,"current-rev":5}}'.encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    address = await respond(head + body)
    client = StoreClient(lambda: address, EraReader(ignore_event))
    catalog = Catalog(REGIONS, 7720, log_formatted)
    answer = await read_store(client, catalog, log_formatted)
    client.close()
    assert answer is not None
    assert set(find_targets(answer[0])) == {"own"}


@pytest.mark.parametrize(
    "ip",
    [
        "0.0.0.0",
        "255.255.255.255",
        "224.0.0.1",
        "239.255.255.250",
        "[::1]",
        "[::]",
        "[fe80::1%eth0]",
        "[::ffff:10.128.0.9]",
    ],
)
def test_address_at_which_no_target_can_be_reached_names_none(ip):
    """Searches for connections waited for such targets."""
    catalog = make_catalog()
    odd = {**GOOD, "address": f"{ip}:8165"}
    catalog.apply(item("servers/odd", odd))
    catalog.apply(item("servers/own", odd))
    assert set(find_targets(view_of(catalog, 1))) == set()
    catalog.apply(item("servers/own", GOOD))
    assert set(find_targets(view_of(catalog, 2))) == {"own"}


@pytest.mark.parametrize("mark", ["!", "%", " ", "\n", "-", "\x00", "\N{SNOWMAN}"])
@pytest.mark.parametrize(
    "key", ["servers/odd", CONFIGURATION_KEY, "op/evacuate/nadi-a"]
)
def test_value_with_a_character_outside_base64_is_unreadable(key, mark):
    """The decoder dropped the characters and read what remained."""
    catalog = make_catalog()
    value = {"version": 7} if key == CONFIGURATION_KEY else GOOD
    encoded = encode(dumps(value))
    catalog.apply(WireItem(key, encoded[:4] + mark + encoded[4:]))
    view = view_of(catalog, 1)
    assert set(find_targets(view)) == {"own"}
    assert (view.configuration, view.evacuated_zones) == (1, ())


@pytest.mark.parametrize("page_size", [1, 2])
async def test_page_that_ends_with_an_empty_key_is_read_once(
    store, monkeypatch, page_size
):
    """The first page was read again and again, without a pause."""
    monkeypatch.setattr(store_stand_in, "PAGE_SIZE", page_size)
    store.put("", ODD_CONTENTS["no-json"].encode())
    async with timeout(ENDLESS_S):
        view, _ = await read_once(store)
    assert set(find_targets(view)) == {"own"}


async def test_page_that_ends_with_the_key_before_it_is_an_error(store, monkeypatch):
    """A store that does not continue after an odd key was read forever."""
    page = store._range
    monkeypatch.setattr(
        store,
        "_range",
        lambda query: {**page({"prefix": query["prefix"]}), "has-more": True},
    )
    async with timeout(ENDLESS_S):
        assert await read_once(store) is None
    assert store.calls.count("/kv-range") == 2


KEYS_OUTSIDE_UTF_8 = {
    "surrogate": b"servers/\\ud800",
    "surrogate-of-own": b"servers/own\\udfff",
    "byte": b"servers/\xff",
    "truncated": b"servers/\xe2\x98",
    "raw-control": b"servers/\x01\n",
    "own-zone": b"op/evacuate/\\ud800",
}


@pytest.mark.parametrize("odd", KEYS_OUTSIDE_UTF_8.values(), ids=KEYS_OUTSIDE_UTF_8)
@pytest.mark.parametrize("path", ["/kv-range", "/kv-watch"])
async def test_key_outside_utf_8_leaves_the_other_items_readable(respond, odd, path):
    """The whole answer was malformed, in each call until the key was gone."""
    value = encode(dumps(GOOD)).encode()
    items = b'{"key":"servers/own","value":"%b"},{"key":"%b","value":"%b"}'
    name = b"items" if path == "/kv-range" else b"events"
    body = b'{"%b":[%b],"current-rev":5}' % (name, items % (value, odd, value))
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    address = await respond(head + body)
    client = StoreClient(lambda: address, EraReader(ignore_event))
    kind = WireRange if path == "/kv-range" else WireEvents
    answer = await client.get(path, kind, 1.0)
    client.close()
    lines = []

    def log(event, **fields):
        lines.append(" ".join(map(format_field, fields.values())).encode())

    catalog = Catalog(REGIONS, 7720, log)
    for each in answer.items if path == "/kv-range" else answer.events:
        catalog.apply(each)
    targets = find_targets(view_of(catalog, 1))
    assert "own" in targets
    # The view can be sent to the other balancers.
    assert len(encode_messagepack(view_of(catalog, 1))) > 0
    assert len(targets) + len(lines) == 2


async def test_next_page_begins_after_a_key_outside_utf_8(store):
    """The first page was malformed, in each call until the key was gone."""
    store.put("servers/a\ud800", ODD_CONTENTS["no-json"].encode())
    store.put("servers/z", GOOD)
    assert sorted(store.items_by_key)[1] == "servers/a\ud800"
    view, _ = await read_once(store)
    assert set(find_targets(view)) == {"own", "z"}
    assert any("after=servers/a%ED%A0%80" in target for target in store.targets)


@pytest.mark.parametrize("weight", [1e308, 1.7e308])
def test_largest_weights_leave_the_services_in_use(weight):
    """Their sum is infinite, and no service was chosen for any opening."""
    backends = [{"service": name, "weight": weight} for name in ("s1", "s2")]
    route = {**ROUTE, "service": "", "backends": backends}
    catalog = make_catalog()
    catalog.apply(item(CONFIGURATION_KEY, {"version": 2, "routes": [route]}))
    (route,) = view_of(catalog, 1).routes_by_address.values()
    picked = [pick_service(route, number << 24) for number in range(256)]
    assert picked.count("s1") == picked.count("s2") == 128


@pytest.mark.parametrize("count", [1, 50])
def test_search_ends_beside_targets_that_nobody_has_heard(count):
    """It asks their agents too, and must not wait for them."""
    odd = [make_target(100 + number, slots=2**53) for number in range(count)]
    recorder = BalancerRecorder()
    balancer = recorder.make(make_view([*TARGETS, *odd]))
    key = from_caller().key_from_caller
    now = 0.0
    while not recorder.resets and now < UNHEARD_S + 1.0:
        now += TICK_S
        if now > UNHEARD_S:
            receive_segment(balancer, data(), now)
        tick(balancer, now)
        sent, recorder.sent[:] = list(recorder.sent), []
        for agent, message in sent:
            if agent not in AGENTS:
                continue
            if isinstance(message, LoadRequest):
                receive_message(balancer, make_report(), agent, now)
            elif isinstance(message, ForwardSegment):
                receive_message(balancer, ConnectionNotHeld(key, 1), agent, now)
    assert [reset for reset, _ in recorder.resets] == [key]
    assert now < UNHEARD_S + 0.4
