"""One odd item or field of an answer of the store hides nothing else in it.

The whole answer counted as malformed, in each call while it lasted, and no
change of the list of targets was followed.
"""

from asyncio import create_task, sleep, timeout
from contextlib import asynccontextmanager
from json import dumps
from random import Random
from urllib.parse import parse_qs, urlsplit

import pytest

from catalog import CONFIGURATION_KEY, Catalog
from lycheeglade.address import Address
from store import MAX_NESTED, StoreClient
from store_era import EraReader
from store_reader import follow_store
from tests import store_stand_in
from tests.odd_entries import encode, nest
from tests.store_stand_in import StoreStandIn
from tests.test_catalog import ROUTE, TARGET

REGIONS = {"nadi-a": "viti-west", "nadi-b": "viti-west"}
EVACUATION_KEY = "op/evacuate/nadi-a"
FOLLOWED_S = 5.0
# A reader that refuses an answer repeats the call several times within this.
REFUSED_S = 1.0
# Marks the place of a value that is no valid JSON for `dumps`.
MARK = "odd-value"
NESTED = "[" * 2000 + "]" * 2000
HUGE = "9" * 5000
VALUE = encode(dumps(TARGET))

# Texts of items that name no key.
ITEMS_WITHOUT_KEY = {
    "null": "null",
    "number": "17",
    "huge-number": HUGE,
    "not-a-number": "NaN",
    "text": '"servers/i-1"',
    "list": '["servers/i-1"]',
    "nested": NESTED,
    "object": "{}",
    "key-null": f'{{"key":null,"value":"{VALUE}"}}',
    "key-number": f'{{"key":17,"value":"{VALUE}"}}',
    "key-nested": f'{{"key":{NESTED},"value":"{VALUE}"}}',
}
# Texts of the fields beside the key of an item that can't be read.
ODD_FIELDS = {
    "value-null": '"value":null',
    "value-number": '"value":17',
    "value-huge": f'"value":{HUGE}',
    "value-object": f'"value":{dumps(TARGET)}',
    "value-nested": f'"value":{NESTED}',
    "deleted-text": f'"value":"{VALUE}","deleted":"no"',
    "deleted-number": f'"value":"{VALUE}","deleted":0',
    "deleted-nested": f'"value":"{VALUE}","deleted":{NESTED}',
}
# Texts of the fields beside the key of an item that can be read.
USABLE_FIELDS = {
    "deleted-null": f'"value":"{VALUE}","deleted":null',
    "unused-nested": f'"value":"{VALUE}","lease":{NESTED}',
    "unused-huge": f'"value":"{VALUE}","lease":{HUGE}',
}
ODD_VALUES = {
    "null": "null",
    "number": "17",
    "text": '"yes"',
    "list": "[]",
    "object": "{}",
    "nested": nest(2000)["objects"],
}
ODD_REVISIONS = {
    "null": "null",
    "text": '"17"',
    "negative": "-1",
    "fraction": "17.5",
    "bool": "true",
    "huge": HUGE,
    "nested": NESTED,
}
LIST_BY_PATH = {"/kv-range": "items", "/kv-watch": "events"}


class OddStore(StoreStandIn):
    """Store whose answers a test changes.

    Attributes
    ----------
    spoil : callable
        Returns the text of an answer, from the path of its call and the
        answer.
    """

    def __init__(self):
        super().__init__()
        self.spoil = lambda path, body: dumps(body)
        self.queries = []

    async def _answer(self, target):
        status, body = await super()._answer(target)
        path = urlsplit(target).path
        self.queries.append((path, parse_qs(urlsplit(target).query)))
        return status, RawText(self.spoil(path, body) if status == 200 else "{}")


class RawText(dict):
    """Body of an answer that is sent as it is, whatever its text."""

    def __init__(self, text):
        super().__init__()
        self.text = text


@pytest.fixture
async def store(monkeypatch):
    monkeypatch.setattr(store_stand_in, "dumps", dump_raw)
    stand_in = OddStore()
    stand_in.address = Address(*await stand_in.start())
    stand_in.put(CONFIGURATION_KEY, {"version": 3, "routes": [ROUTE]})
    for number in range(5):
        stand_in.put(f"servers/i-{number}", TARGET)
    yield stand_in
    stand_in.stop()


def dump_raw(value):
    return value.text if isinstance(value, RawText) else dumps(value)


def insert(text, path, body):
    """Return the text of an answer with one more item.

    It is the first one, since a page is continued after its last key.
    """
    name = LIST_BY_PATH[path]
    if not body[name]:
        return dumps(body)
    return dumps({**body, name: [MARK, *body[name]]}).replace(f'"{MARK}"', text)


def replace_field(name, text, body):
    """Return the text of an answer with a field set, None to leave it out."""
    fields = {key: value for key, value in body.items() if key != name}
    if text is None:
        return dumps(fields)
    return dumps({**fields, name: MARK}).replace(f'"{MARK}"', text)


def only(path, spoil):
    """Return a function that spoils the answers to calls of `path` alone."""
    return lambda called, body: spoil(body) if called == path else dumps(body)


@asynccontextmanager
async def follow(store):
    """Follow a store; yields the views and the log."""
    views, log = [], []
    catalog = Catalog(REGIONS, 7720, lambda *names, **fields: log.append(fields))
    client = StoreClient(lambda: store.address, EraReader(ignore_event))

    def record(event, **fields):
        log.append({"event": event, **fields})

    task = create_task(follow_store(client, catalog, views.append, Random(1), record))
    try:
        yield views, log
        assert not task.done()
    finally:
        task.cancel()
        client.close()


def ignore_event(event, **fields):
    pass


async def wait_until(condition):
    async with timeout(FOLLOWED_S):
        while not condition():
            await sleep(0.01)


def find_targets(views):
    return set(views[-1].targets_by_service.get("s1", {})) if views else set()


async def assert_followed(store, views, names=("i-0", "i-1", "i-2", "i-3", "i-4")):
    """Check that all is known and that later changes are followed."""
    await wait_until(lambda: find_targets(views) >= set(names))
    store.put("servers/new", TARGET)
    store.delete("servers/i-0")
    expected = {*names, "new"} - {"i-0"}
    await wait_until(lambda: expected <= find_targets(views))
    await wait_until(lambda: "i-0" not in find_targets(views))
    store.put(CONFIGURATION_KEY, {"version": 4, "routes": [ROUTE]})
    await wait_until(lambda: views[-1].configuration == 4)


@pytest.mark.parametrize("text", ITEMS_WITHOUT_KEY.values(), ids=ITEMS_WITHOUT_KEY)
@pytest.mark.parametrize("path", LIST_BY_PATH)
async def test_item_without_a_key_is_left_out_and_logged(store, path, text):
    store.spoil = only(path, lambda body: insert(text, path, body))
    async with follow(store) as (views, log):
        await assert_followed(store, views)
    assert any(fields.get("key") == "-" for fields in log)
    assert not any(fields.get("event") == "store-lost" for fields in log)


@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS)
@pytest.mark.parametrize("path", LIST_BY_PATH)
async def test_item_with_an_odd_field_is_an_unreadable_entry(store, path, fields):
    """Its target is removed, like one whose value can't be read."""
    text = f'{{"key":"servers/odd",{fields}}}'
    store.spoil = only(path, lambda body: insert(text, path, body))
    async with follow(store) as (views, log):
        await assert_followed(store, views)
        assert "odd" not in find_targets(views)
    assert any(fields.get("key") == "servers/odd" for fields in log)
    assert not any(fields.get("event") == "store-lost" for fields in log)


@pytest.mark.parametrize("fields", USABLE_FIELDS.values(), ids=USABLE_FIELDS)
@pytest.mark.parametrize("path", LIST_BY_PATH)
async def test_item_whose_used_fields_are_whole_is_used(store, path, fields):
    text = f'{{"key":"servers/odd",{fields}}}'
    store.spoil = only(path, lambda body: insert(text, path, body))
    async with follow(store) as (views, _):
        await assert_followed(store, views)
        assert "odd" in find_targets(views)


@pytest.mark.parametrize("fields", ODD_FIELDS.values(), ids=ODD_FIELDS)
@pytest.mark.parametrize("key", [CONFIGURATION_KEY, EVACUATION_KEY])
async def test_odd_field_of_a_configuration_or_evacuation_changes_nothing(
    store, key, fields
):
    store.put(EVACUATION_KEY, {})
    text = f'{{"key":"{key}",{fields}}}'
    async with follow(store) as (views, _):
        await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
        store.spoil = only("/kv-watch", lambda body: insert(text, "/kv-watch", body))
        await assert_followed(store, views)
        assert views[-1].evacuated_zones == ("nadi-a",)
        assert views[-1].routes_by_address


@pytest.mark.parametrize("value", ["null", "17", "[]"])
async def test_deletion_is_followed_whatever_its_value(store, value):
    """An evacuation would have stayed in force for ever."""
    store.put(EVACUATION_KEY, {})
    text = f'{{"key":"{EVACUATION_KEY}","value":{value},"deleted":true}}'
    async with follow(store) as (views, _):
        await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
        store.spoil = only("/kv-watch", lambda body: insert(text, "/kv-watch", body))
        await assert_followed(store, views)
        assert views[-1].evacuated_zones == ()


@pytest.mark.parametrize("text", ODD_VALUES.values(), ids=ODD_VALUES)
async def test_odd_mark_of_further_pages_hides_no_page(store, text):
    """Whether there are more is asked, at the price of one call."""
    store.spoil = only("/kv-range", lambda body: replace_field("has-more", text, body))
    async with follow(store) as (views, log):
        await assert_followed(store, views)
    pages = [query.get("after") for path, query in store.queries if path == "/kv-range"]
    assert len(pages) == 4
    assert not any(fields.get("event") == "store-lost" for fields in log)


@pytest.mark.parametrize("text", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize("path", LIST_BY_PATH)
async def test_odd_field_that_nobody_reads_hides_no_item(store, path, text):
    store.spoil = only(path, lambda body: replace_field("x", text, body))
    async with follow(store) as (views, log):
        await assert_followed(store, views)
    assert not any(fields.get("event") == "store-lost" for fields in log)


async def test_page_that_ends_with_items_without_a_key_is_followed_by_the_next(store):
    def spoil(body):
        return dumps({**body, "items": [*body["items"], None, {"value": ""}]})

    store.spoil = only("/kv-range", spoil)
    async with follow(store) as (views, _):
        await assert_followed(store, views)


@pytest.mark.parametrize("path", LIST_BY_PATH)
@pytest.mark.parametrize(
    "text", [None, *ODD_REVISIONS.values()], ids=["missing", *ODD_REVISIONS]
)
async def test_answer_without_a_usable_revision_is_refused_whole(store, path, text):
    """What it shows could be older than what is known."""
    store.spoil = only(path, lambda body: replace_field("current-rev", text, body))
    async with follow(store) as (views, log):
        await wait_until(lambda: store.calls[-1:] == [path])
        store.put("servers/late", TARGET)
        await sleep(REFUSED_S)
        assert "late" not in find_targets(views)
        assert any(
            fields.get("event") == "store-lost" and "current-rev" in str(fields)
            for fields in log
        )
        store.spoil = lambda path, body: dumps(body)
        await assert_followed(store, views)
        assert "late" in find_targets(views)


@pytest.mark.parametrize(
    "text", [None, "null", "17", '"x"', "{}"], ids=["missing", "null", "17", "x", "{}"]
)
async def test_range_without_a_list_is_refused_and_empties_no_list(store, text):
    """Taken for an empty list, it would remove all targets."""
    async with follow(store) as (views, log):
        await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
        store.spoil = only("/kv-range", lambda body: replace_field("items", text, body))
        store.compact_history()
        await sleep(REFUSED_S)
        assert len(find_targets(views)) == 5
        assert any(fields.get("event") == "store-lost" for fields in log)
        store.spoil = lambda path, body: dumps(body)
        await assert_followed(store, views)


async def test_null_in_place_of_an_empty_list_of_events_is_no_failure(store):
    def spoil(body):
        return dumps({**body, "events": body["events"] or None})

    store.spoil = only("/kv-watch", spoil)
    async with follow(store) as (views, log):
        await wait_until(lambda: store.calls.count("/kv-watch") > 1)
        await assert_followed(store, views)
    assert not any(fields.get("event") == "store-lost" for fields in log)


@pytest.mark.parametrize(
    "text", [None, "null", "17", '"x"', "{}"], ids=["missing", "null", "17", "x", "{}"]
)
async def test_watch_without_a_list_hides_no_change(store, text):
    """The changes in place of which it stands are read by the next call."""
    async with follow(store) as (views, log):
        await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
        store.spoil = only(
            "/kv-watch", lambda body: replace_field("events", text, body)
        )
        store.put("servers/late", TARGET)
        await sleep(REFUSED_S)
        assert any(fields.get("event") == "store-lost" for fields in log)
        store.spoil = lambda path, body: dumps(body)
        await wait_until(lambda: "late" in find_targets(views))
        await assert_followed(store, views)


@pytest.mark.parametrize("text", ["null", "[]", '"x"', "17", "{}"])
@pytest.mark.parametrize("path", LIST_BY_PATH)
async def test_answer_that_is_no_envelope_is_refused(store, path, text):
    store.spoil = only(path, lambda body: text)
    async with follow(store) as (views, log):
        await wait_until(lambda: store.calls[-1:] == [path])
        await sleep(REFUSED_S)
        assert any(fields.get("event") == "store-lost" for fields in log)
        store.spoil = lambda path, body: dumps(body)
        await assert_followed(store, views)


@pytest.mark.parametrize("form", ["[]", "{}"])
@pytest.mark.parametrize("path", LIST_BY_PATH)
async def test_answer_with_too_much_nesting_is_refused(store, path, form):
    """The process forwards nothing while the nested values are removed."""
    begin, end = ("[", "]") if form == "[]" else ('{"a":', "}")
    text = begin * MAX_NESTED + "1" + end * MAX_NESTED
    store.spoil = only(path, lambda body: replace_field("x", text, body))
    async with follow(store) as (views, log):
        await wait_until(lambda: store.calls[-1:] == [path])
        await sleep(REFUSED_S)
        assert any(fields.get("event") == "store-lost" for fields in log)
        store.spoil = lambda path, body: dumps(body)
        await assert_followed(store, views)
