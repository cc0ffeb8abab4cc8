"""An odd entry costs only itself, wherever it stands and however it is read.

Each test reads one odd entry in one way: in the pages of the list, in a watch,
in pages that show different revisions, after a lost history, and in a new era
of the store. The process must go on, all other targets must stay served, and
later changes must take effect.
"""

from asyncio import sleep, start_server
from json import dumps

import pytest

from catalog import MAX_SERVICE_CHARS
from lycheeglade.address import Address
from lycheeglade.known_view import KnownView
from lycheeglade.view import State
from lycheeglade.view_transfer import fetch_view, serve_view
from store import StoreClient, WireEvents
from store_era import EraReader
from tests import store_stand_in
from tests.odd_entries import NUMBERS, encode, format_entry, nest
from tests.test_odd_entries import (
    GOOD,
    find_targets,
    follow,
    ignore_event,
    item,
    make_catalog,
    read_once,
    store,
    view_of,
)
from tests.test_store import wait_until

__all__ = ["store"]

# One content of each form that a reader treats differently.
CONTENTS = {
    "nested": nest(100_000)["lists"],
    "nested-in-service": format_entry("service", nest(2_000)["objects"]),
    "nested-just-within-the-limit": format_entry("capacity", nest(900)["both"]),
    "number-of-5000-digits": format_entry("born", NUMBERS["5000-digits"]),
    "number-beyond-floats": format_entry("capacity", NUMBERS["beyond-floats"]),
    "number-of-64-bits": format_entry("capacity", NUMBERS["64-bits"]),
    "number-negative": format_entry("born", NUMBERS["negative"]),
    "number-fraction": format_entry("capacity", NUMBERS["fraction"]),
    "port-0": format_entry("address", '"127.0.0.9:0"'),
    "port-negative": format_entry("address", '"127.0.0.9:-1"'),
    "port-65536": format_entry("address", '"127.0.0.9:65536"'),
    "port-as-text": format_entry("address", '"127.0.0.9:http"'),
}
GOOD_IDS = ("d", "own", "q")
# Where the odd entry stands among the good ones, in the order of their keys.
IDS_BY_PLACE = {"first": "a", "middle": "m", "last": "z", "formerly-good": "q"}


def put_good(store, target_id, **fields):
    number = sum(target_id.encode())
    address = f"127.0.1.{number % 250 + 1}:8165"
    store.put(f"servers/{target_id}", {**GOOD, "address": address, **fields})


def put_list(store):
    for target_id in GOOD_IDS:
        put_good(store, target_id)


async def put_before_start(store, key, odd):
    store.put(key, odd)


async def put_in_watch(store, key, odd):
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    store.put(key, odd)


async def put_between_good_ones(store, key, odd):
    """One answer has the odd entry between changes of good ones."""
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    put_good(store, "n1")
    store.put(key, odd)
    put_good(store, "n2")
    store.delete("servers/n1")
    await sleep(0)


async def put_and_lose_history(store, key, odd):
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    store.put(key, odd)
    store.compact_history()


async def put_in_new_era(store, key, odd):
    await wait_until(lambda: store.calls[-1:] == ["/kv-watch"])
    store.restore(store.copy())
    store.put(key, odd)


async def put_between_pages(store, key, odd):
    """The pages show different revisions; a watch brings what they lack."""
    is_put = False

    def put_once():
        nonlocal is_put
        if not is_put and store.calls[-2:] == ["/kv-range"] * 2:
            is_put = True
            store.put(key, odd)

    store.before_page = put_once


WAYS = {
    "range": put_before_start,
    "watch": put_in_watch,
    "watch-with-good-ones": put_between_good_ones,
    "lost-history": put_and_lose_history,
    "new-era": put_in_new_era,
    "between-pages": put_between_pages,
}
EARLY_WAYS = ("range", "between-pages")


@pytest.mark.parametrize("place", IDS_BY_PLACE)
@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("name", CONTENTS)
async def test_other_targets_stay_and_changes_take_effect(store, name, way, place):
    """Balancers ended at nested entries, or followed no later change."""
    odd_id = IDS_BY_PLACE[place]
    key, odd = f"servers/{odd_id}", CONTENTS[name].encode()
    others = set(GOOD_IDS) - {odd_id}
    put_list(store)
    if way in EARLY_WAYS:
        await WAYS[way](store, key, odd)
    async with follow(store) as views:
        if way not in EARLY_WAYS:
            await WAYS[way](store, key, odd)

        async def wait_for(condition):
            await wait_until(lambda: condition(find_targets(views[-1])))

        await wait_for(
            lambda targets: odd_id not in targets and others <= targets.keys()
        )
        read_until = len(views)
        put_good(store, "new")
        await wait_for(lambda targets: "new" in targets)
        put_good(store, "d", state="draining")
        await wait_for(lambda targets: targets["d"].state is State.LEAVING)
        store.delete("servers/d")
        await wait_for(lambda targets: "d" not in targets)
        put_good(store, odd_id)
        await wait_for(lambda targets: odd_id in targets)
        store.put(key, odd)
        put_good(store, "new", state="draining")
        await wait_for(lambda targets: odd_id not in targets)
        assert find_targets(views[-1])["new"].state is State.LEAVING
        # The deletion of the odd entry comes together with a good change.
        store.delete(key)
        put_good(store, "new")
        await wait_for(lambda targets: targets["new"].state is State.LIVE)
        put_good(store, odd_id)
        await wait_for(lambda targets: odd_id in targets)
        for view in views[read_until - 1 :]:
            assert others - {"d"} <= find_targets(view).keys()


@pytest.mark.parametrize("count", [1, 20])
@pytest.mark.parametrize("chars", [MAX_SERVICE_CHARS, 1_000_000])
async def test_peers_fetch_the_view_beside_long_names(chars, count):
    """The view was larger than balancers accept, and none followed it."""
    catalog = make_catalog()
    for number in range(count):
        odd = {**GOOD, "service": f"{number:02}".rjust(chars, "x")}
        catalog.apply(item(f"servers/odd-{number}", odd))
    view = view_of(catalog, 1)
    server = await serve_view(Address("127.0.0.1", 0), lambda: view)
    address = Address(*server.sockets[0].getsockname()[:2])
    fetched = await fetch_view(address, ignore_event)
    server.close()
    assert fetched == view
    assert set(find_targets(fetched)) == {"own"}


@pytest.mark.parametrize("page_size", [1, 2, 3, 500])
@pytest.mark.parametrize("place", ["first", "middle", "last"])
async def test_pages_are_read_beside_all_odd_entries(
    store, monkeypatch, place, page_size
):
    """The good entries of a page, and the pages after it, must be read."""
    monkeypatch.setattr(store_stand_in, "PAGE_SIZE", page_size)
    put_list(store)
    for name, content in CONTENTS.items():
        store.put(f"servers/{IDS_BY_PLACE[place]}-{name}", content.encode())
    view, _ = await read_once(store)
    assert set(find_targets(view)) == set(GOOD_IDS)


ODD_DELETIONS = {
    "of-unknown-key": '"key":"servers/unknown","deleted":true',
    "with-nested-lease": (
        f'"key":"servers/odd","deleted":true,"lease":{nest(500)["lists"]}'
    ),
    **{
        f"of-revision-{name}": (
            f'"key":"servers/odd","deleted":true,"revision":{number}'
        )
        for name, number in NUMBERS.items()
    },
    **{
        f"with-content-{name}": (
            f'"key":"servers/odd","deleted":true,"value":"{encode(content)}"'
        )
        for name, content in CONTENTS.items()
    },
}


@pytest.fixture
async def answer_call():
    """Return a function that starts a server, which answers with a body."""
    servers = []

    async def start(body):
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + body)
            await writer.drain()
            writer.close()

        servers.append(await start_server(answer, "127.0.0.1", 0))
        return Address(*servers[-1].sockets[0].getsockname()[:2])

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize("deletion", ODD_DELETIONS.values(), ids=ODD_DELETIONS)
async def test_odd_deletion_leaves_the_events_beside_it_in_force(answer_call, deletion):
    new, later = (
        f'{{"key":"servers/{name}","value":"{encode(dumps(content))}","revision":7}}'
        for name, content in (
            ("new", GOOD | {"address": "10.1.1.8:80"}),
            ("later", GOOD | {"address": "10.1.1.9:80"}),
        )
    )
    events = ",".join((new, "{" + deletion + "}", later))
    body = f'{{"events":[{events}],"current-rev":9}}'.encode()
    address = await answer_call(body)
    client = StoreClient(lambda: address, EraReader(ignore_event))
    answer = await client.get("/kv-watch", WireEvents, 1.0)
    client.close()
    catalog, known = make_catalog(), KnownView()
    known.receive(view_of(catalog, 1), 0.0)
    for event in answer.events:
        catalog.apply(event)
    assert known.receive(view_of(catalog, answer.current_rev), 1.0)
    assert set(find_targets(known.correct(1.0))) == {"own", "new", "later"}
