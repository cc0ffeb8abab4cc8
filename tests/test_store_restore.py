"""What a balancer believes of a store whose answers went back or are lost."""

from asyncio import create_task, gather, sleep, timeout
from random import Random
from time import monotonic

import pytest

from catalog import CONFIGURATION_KEY
from lycheeglade.address import Address, Zone
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
FIRST_ROUTE = Address("198.18.0.1", 8443)
SECOND_ROUTE = Address("198.18.0.2", 8443)


def put_configuration(store, version, *hosts):
    routes = [{**ROUTE, "host": host} for host in hosts]
    store.put(CONFIGURATION_KEY, {"version": version, "routes": routes})


def put_target(store, number, state="ready", **fields):
    value = {**TARGET, "address": f"10.128.0.{number}:8080", "born": 1000 + number}
    store.put(f"servers/i-{number}", {**value, "state": state, **fields})


def make_reader(store, log=lambda event, **fields: None):
    return StoreReader(store.address, {"nadi-a": "viti-west"}, 7720, Random(1), log)


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
