"""What a balancer believes of a store whose answers went back or are lost."""

from asyncio import create_task, gather, sleep, timeout
from functools import partial
from random import Random
from time import monotonic

import pytest

from catalog import CONFIGURATION_KEY, Catalog
from lycheeglade.address import Address, Zone
from lycheeglade.evacuation_history import KEEP_S
from lycheeglade.view import State
from lycheeglade.view_follower import ViewFollower
from store_reader import StoreReader
from tests.store_stand_in import StoreStandIn
from tests.test_catalog import ROUTE, TARGET

OWN = Address("127.0.0.1", 7720)
ZONE = Zone("viti-west", "nadi-a")
TICK_S = 0.02
# The shortest time within which the users want a change in force.
CONFIG_APPLY_S = 3.0
# Time from the end of a disruption of the store until its bounds hold again.
STABILITY_S = 4.0
# In CONFIG_APPLY_S, of a balancer that doubles its pauses up to 1 s.
MAX_REFUSED_CALLS = 9
EVACUATION_KEY = "op/evacuate/nadi-a"
FIRST_ROUTE = Address("198.18.0.1", 8443)
SECOND_ROUTE = Address("198.18.0.2", 8443)


def put_configuration(store, version, *hosts):
    routes = [{**ROUTE, "host": host} for host in hosts]
    store.put(CONFIGURATION_KEY, {"version": version, "routes": routes})


def put_target(store, number, state="ready", **fields):
    value = {**TARGET, "address": f"10.128.0.{number}:8080", "born": 1000 + number}
    store.put(f"servers/i-{number}", {**value, "state": state, **fields})


def make_reader(store, log=lambda event, **fields: None):
    make_catalog = partial(Catalog, {"nadi-a": "viti-west"}, 7720, log)
    return StoreReader(lambda: store.address, make_catalog, Random(1), log)


class FollowingBalancer:
    """A balancer without peers that follows a store."""

    def __init__(self, store):
        self.events = []
        self.versions = []
        self.views = []
        reader = make_reader(store, self.log)
        self.follower = ViewFollower(
            OWN,
            ZONE,
            Random(1),
            reader.read_view,
            reader.follow_view,
            tuple,
            lambda view, source: self.apply(view),
            lambda address, message: None,
            self.log,
            monotonic(),
        )

    def log(self, event, **fields):
        self.events.append((event, fields))

    def apply(self, view):
        self.views.append(view)
        self.versions.append(view.configuration)

    async def run(self):
        while True:
            self.follower.tick(monotonic())
            await sleep(TICK_S)

    def is_evacuated(self):
        return bool(self.views) and self.views[-1].evacuated_zones == ("nadi-a",)

    def find_targets(self, state):
        targets_by_service = self.views[-1].targets_by_service if self.views else {}
        return {
            target_id
            for targets in targets_by_service.values()
            for target_id, target in targets.items()
            if target.state is state
        }


@pytest.fixture
async def store():
    stand_in = StoreStandIn()
    stand_in.address = Address(*await stand_in.start())
    put_configuration(stand_in, 3, FIRST_ROUTE.ip)
    for number in range(5):
        put_target(stand_in, number)
    yield stand_in
    stand_in.stop()


@pytest.fixture
async def balancer(store):
    following = FollowingBalancer(store)
    task = create_task(following.run())
    await wait_until(lambda: store.calls[-2:] == ["/kv-watch", "/kv-watch"])
    await wait_until(lambda: len(following.find_targets(State.LIVE)) == 5)
    yield following
    task.cancel()
    await gather(task, return_exceptions=True)
    following.follower.close()


async def wait_until(condition, limit_s=CONFIG_APPLY_S):
    async with timeout(limit_s):
        while not condition():
            await sleep(TICK_S)


async def test_target_that_drains_after_a_restore_is_left(store, balancer):
    copy = store.copy()
    for number in range(5, 9):
        put_target(store, number)
    await wait_until(lambda: len(balancer.find_targets(State.LIVE)) == 9)
    store.restore(copy)
    put_target(store, 0, "draining")
    await wait_until(lambda: balancer.find_targets(State.LEAVING) == {"i-0"})
    await wait_until(lambda: len(balancer.find_targets(State.LIVE)) == 4)


async def test_changes_that_could_not_be_published_are_read_again(
    store, balancer, monkeypatch
):
    """They were counted as known, and the watch went on after them."""
    read_view = Catalog.view
    failures = []

    def fail_once(catalog, revision):
        if not failures:
            failures.append(revision)
            raise MemoryError
        return read_view(catalog, revision)

    monkeypatch.setattr(Catalog, "view", fail_once)
    put_target(store, 2, "draining")
    await wait_until(lambda: failures)
    await wait_until(lambda: balancer.find_targets(State.LEAVING) == {"i-2"})


async def test_changes_whose_revisions_were_given_out_again_are_seen(store, balancer):
    copy = store.copy()
    for number in range(5, 9):
        put_target(store, number)
    await wait_until(lambda: len(balancer.find_targets(State.LIVE)) == 9)
    store.restore(copy)
    for number in range(4):
        put_target(store, number, "draining")
    put_configuration(store, 4, SECOND_ROUTE.ip)
    drained = {"i-0", "i-1", "i-2", "i-3"}
    await wait_until(lambda: balancer.find_targets(State.LEAVING) == drained)
    assert balancer.find_targets(State.LIVE) == {"i-4"}
    assert balancer.versions[-1] == 4


async def test_view_read_in_pages_holds_just_the_changes_up_to_its_revision(store):
    """Balancers take two views of one revision for the same view."""
    before = store.revision
    pages = []

    def change_after_first_page():
        pages.append(len(pages))
        if len(pages) == 2:
            put_target(store, 4, "draining")

    store.before_page = change_after_first_page
    view, _ = await make_reader(store).read_view()
    (targets,) = view.targets_by_service.values()
    is_leaving = targets["i-4"].state is State.LEAVING
    assert is_leaving == (view.revision > before)


async def test_watch_whose_answer_is_lost_is_given_up_in_time(store, balancer):
    store.loses_watch_answers = True
    put_target(store, 0, "draining")
    await sleep(TICK_S)
    store.loses_watch_answers = False
    await wait_until(
        lambda: balancer.find_targets(State.LEAVING) == {"i-0"},
        STABILITY_S + CONFIG_APPLY_S,
    )


@pytest.mark.parametrize("pauses", [False, True])
@pytest.mark.parametrize("silent_s", [0.0, 1.0, 3.3])
async def test_store_that_was_silent_is_followed_again_in_time(
    store, balancer, silent_s, pauses
):
    """A watch that was sent just before the end of the silence hung for 5 s.

    It was sent as the silence began, or after the pause that follows changes.
    """
    put_target(store, 5)
    await wait_until(lambda: len(balancer.find_targets(State.LIVE)) == 6)
    if not pauses:
        store.calls.clear()
        await wait_until(lambda: "/kv-watch" in store.calls)
    store.status = None
    await sleep(silent_s)
    store.status = 200
    put_configuration(store, 4, SECOND_ROUTE.ip)
    await wait_until(lambda: balancer.versions[-1] == 4, STABILITY_S)
    put_target(store, 0, "draining")
    await wait_until(lambda: balancer.find_targets(State.LEAVING) == {"i-0"})


async def test_older_configuration_of_a_copy_does_not_come_into_force(store, balancer):
    copy = store.copy()
    put_configuration(store, 9, SECOND_ROUTE.ip)
    await wait_until(lambda: balancer.versions[-1] == 9)
    store.restore(copy)
    await wait_until(lambda: balancer.views[-1].era == store.era)
    await sleep(10 * TICK_S)
    assert list(balancer.views[-1].routes_by_address) == [SECOND_ROUTE]
    put_configuration(store, 9, SECOND_ROUTE.ip)
    put_configuration(store, 11, FIRST_ROUTE.ip)
    await wait_until(lambda: balancer.versions[-1] == 11)
    assert balancer.versions == sorted(balancer.versions)
    (event,) = [fields for name, fields in balancer.events if name == "store-era"]
    assert (event["known_era"], event["era"]) == (1, 2)
    assert event["known_revision"] > event["revision"] == copy.revision
    assert event["configuration"] == 9


async def test_store_is_read_without_leave_to_lag_after_a_restore(store, balancer):
    copy = store.copy()
    put_target(store, 0, "draining")
    await wait_until(lambda: balancer.find_targets(State.LEAVING) == {"i-0"})
    store.stale = copy
    store.targets.clear()
    store.restore(copy)
    await wait_until(lambda: balancer.views[-1].era == store.era)
    assert any(target.startswith("/kv-range") for target in store.targets)
    assert not any("allow-stale" in target for target in store.targets)


async def test_refusal_that_names_a_new_era_voids_the_known_revision(store, balancer):
    copy = store.copy()
    for number in range(5, 9):
        put_target(store, number)
    await wait_until(lambda: len(balancer.find_targets(State.LIVE)) == 9)
    store.status = 503
    store.restore(copy)
    await wait_until(lambda: store.calls[-2:] == ["/kv-range", "/kv-range"])
    for number in range(4):
        put_target(store, number, "draining")
    put_target(store, 9)
    store.status = 200
    await wait_until(lambda: balancer.find_targets(State.LIVE) == {"i-4", "i-9"})


async def test_answer_of_an_earlier_era_is_dropped_with_a_log_line(store, balancer):
    store.era = 7
    put_target(store, 5)
    await wait_until(lambda: balancer.views[-1].era == 7)
    store.era = 6
    put_target(store, 0, "draining")
    await wait_until(lambda: "store-lost" in dict(balancer.events))
    assert "expected an answer of era 7, got 6" in str(dict(balancer.events))
    assert balancer.find_targets(State.LEAVING) == set()
    store.era = 7
    await wait_until(lambda: balancer.find_targets(State.LEAVING) == {"i-0"})


@pytest.mark.parametrize("header", [None, "", "two", "-1", "1.5", "9" * 30])
async def test_answers_without_a_readable_era_leave_it_as_it_was(
    store, balancer, header
):
    store.era = header
    for number in (5, 6):
        put_target(store, number)
        await wait_until(
            lambda: len(balancer.find_targets(State.LIVE)) > number  # noqa: B023
        )
    lines = [fields for name, fields in balancer.events if "unreadable" in name]
    (line,) = lines
    assert line["era"] == 1
    assert line["expected"] == "Store-Era: a whole number"
    assert balancer.views[-1].era == 1


async def test_store_without_eras_is_followed(store):
    store.era = None
    following = FollowingBalancer(store)
    task = create_task(following.run())
    await wait_until(lambda: len(following.find_targets(State.LIVE)) == 5)
    put_target(store, 5)
    await wait_until(lambda: len(following.find_targets(State.LIVE)) == 6)
    task.cancel()
    await gather(task, return_exceptions=True)
    following.follower.close()
    names = [name for name, _ in following.events]
    assert names.count("store-era-unreadable") == 1


async def test_refusals_after_a_restore_are_answered_with_rare_calls(store, balancer):
    """Only a process without a view tries at short intervals."""
    store.status = 503
    store.restore(store.copy())
    await wait_until(lambda: "/kv-range" in store.calls[-1:])
    store.calls.clear()
    await sleep(CONFIG_APPLY_S)
    assert len(store.calls) <= MAX_REFUSED_CALLS


async def test_evacuation_of_the_store_comes_into_force_and_ends(store, balancer):
    store.put(EVACUATION_KEY, {})
    await wait_until(balancer.is_evacuated)
    assert len(balancer.find_targets(State.LIVE)) == 5
    store.delete(EVACUATION_KEY)
    await wait_until(lambda: not balancer.is_evacuated())


async def test_evacuation_outlives_a_restore_that_lacks_it(store, balancer):
    """Without it, openings would reach the zone until it is written again."""
    copy = store.copy()
    store.put(EVACUATION_KEY, {})
    await wait_until(balancer.is_evacuated)
    seen = len(balancer.views)
    store.restore(copy)
    put_target(store, 0, "draining")
    # The next watch may begin after the restore, at a revision that the store
    # has given out again, and then shows the new era only when its wait ends.
    await wait_until(
        lambda: balancer.find_targets(State.LEAVING) == {"i-0"},
        STABILITY_S + CONFIG_APPLY_S,
    )
    (event,) = [fields for name, fields in balancer.events if name == "store-era"]
    assert event["kept_evacuated"] == "nadi-a"
    store.put(EVACUATION_KEY, {})
    await wait_until(
        lambda: balancer.follower.get_view().evacuated_zones == ("nadi-a",)
    )
    await sleep(KEEP_S)
    assert all(view.evacuated_zones == ("nadi-a",) for view in balancer.views[seen:])
    store.delete(EVACUATION_KEY)
    await wait_until(lambda: not balancer.is_evacuated())


async def test_evacuation_that_nobody_writes_again_ends_after_a_restore(
    store, balancer
):
    copy = store.copy()
    store.put(EVACUATION_KEY, {})
    await wait_until(balancer.is_evacuated)
    store.restore(copy)
    restored_at = monotonic()
    await wait_until(lambda: balancer.views[-1].era == store.era)
    await wait_until(lambda: not balancer.is_evacuated(), KEEP_S + CONFIG_APPLY_S)
    assert monotonic() - restored_at >= KEEP_S


async def test_evacuation_that_a_copy_reintroduces_is_obeyed(store, balancer):
    store.put(EVACUATION_KEY, {})
    await wait_until(balancer.is_evacuated)
    copy = store.copy()
    store.delete(EVACUATION_KEY)
    await wait_until(lambda: not balancer.is_evacuated())
    store.restore(copy)
    await wait_until(balancer.is_evacuated)


async def test_evacuation_that_ends_in_a_gap_of_the_history_ends(store, balancer):
    """The deletion is in no watch, and the store is read anew."""
    store.put(EVACUATION_KEY, {})
    await wait_until(balancer.is_evacuated)
    store.delete(EVACUATION_KEY)
    store.compact_history()
    await wait_until(lambda: not balancer.is_evacuated())


async def test_evacuation_is_read_at_the_start(store):
    store.put(EVACUATION_KEY, {})
    view, _ = await make_reader(store).read_view()
    assert view.evacuated_zones == ("nadi-a",)
