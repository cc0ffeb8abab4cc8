from asyncio import CancelledError, get_running_loop, sleep
from dataclasses import replace
from random import Random
from time import monotonic

import pytest

from lycheeglade import view_follower
from lycheeglade.address import Address, Zone
from lycheeglade.relay_message import Duty, ViewStatus
from lycheeglade.store_revision import StoreRevision
from lycheeglade.view_currency import NEVER
from lycheeglade.view_exchange import FETCH_RETRY_S
from lycheeglade.view_follower import ViewFollower
from tests.connections import make_target, make_view

OWN = Address("127.0.0.1", 7720)
FAILURES_S = 1.2


class FollowerProbe:
    """A follower whose calls to the store are made by the test."""

    def __init__(self, now=0.0):
        self.applied = []
        self.events = []
        self.follower = ViewFollower(
            OWN,
            Zone("viti-west", "nadi-a"),
            Random(1),
            self._read_store,
            self._follow_store,
            tuple,
            lambda view, source: self.applied.append((view, source)),
            lambda address, message: None,
            lambda event, **fields: self.events.append((event, fields)),
            now,
        )

    async def _read_store(self):
        return None

    async def _follow_store(self, view, checked, publish, observe):
        raise NotImplementedError


def test_view_that_is_older_than_the_known_one_is_logged():
    probe = FollowerProbe()
    view = make_view([make_target(1)], revision=9)
    probe.follower._publish(view, "store")
    probe.follower._publish(replace(view, revision=8), "10.1.0.2:7720")
    assert probe.applied == [(view, "store")]
    (event,) = probe.events
    assert event == (
        "view-ignored",
        {
            "source": "10.1.0.2:7720",
            "revision": StoreRevision(0, 8),
            "known": StoreRevision(0, 9),
        },
    )


async def run_ticks(follower, seconds):
    loop = get_running_loop()
    end = loop.time() + seconds
    while loop.time() < end:
        follower.tick(monotonic())
        await sleep(0.02)


class FailingStore(FollowerProbe):
    """The first call of each kind to the store fails unexpectedly."""

    def __init__(self, view, error=None):
        self.error = error or RecursionError("first watch")
        self.view = view
        self.reads = 0
        self.follows = []
        super().__init__()

    async def _read_store(self):
        self.reads += 1
        raise RecursionError("first read")

    async def _follow_store(self, view, checked, publish, observe):
        self.follows.append(view)
        if len(self.follows) == 1:
            raise self.error
        publish(self.view)
        observe(self.view.store)
        await sleep(60)


async def test_unexpected_error_of_the_store_is_logged_and_the_store_followed():
    view = make_view([make_target(1)], revision=9)
    probe = FailingStore(view)
    await run_ticks(probe.follower, FAILURES_S)
    probe.follower.close()
    assert [applied for applied, _ in probe.applied] == [view]
    failures = [fields["cause"] for event, fields in probe.events if "failed" in event]
    assert failures == ["store-reader", "store-follower"]


async def test_store_is_followed_after_a_cancellation_that_nobody_asked_for():
    """A library may raise it; the store was never followed again."""
    view = make_view([make_target(1)], revision=9)
    probe = FailingStore(view, CancelledError())
    await run_ticks(probe.follower, FAILURES_S)
    probe.follower.close()
    assert [applied for applied, _ in probe.applied] == [view]


async def test_unexpected_error_of_a_fetched_view_is_logged(monkeypatch):
    """It is fetched again after a pause, as after a failed fetch."""
    calls = []

    async def fetch(address, log):
        calls.append(address)
        raise MemoryError

    monkeypatch.setattr(view_follower, "fetch_view", fetch)
    probe = FollowerProbe()
    status = ViewStatus("viti-west/nadi-a", 9, 9, Duty.WATCHER, configuration=1)
    probe.follower.receive(status, Address("127.0.0.2", 7720), monotonic())
    await run_ticks(probe.follower, FAILURES_S)
    probe.follower.close()
    failures = [fields["cause"] for event, fields in probe.events if "failed" in event]
    assert failures.count("view-fetcher") == len(calls)
    assert 1 <= len(calls) <= 1 + FAILURES_S / FETCH_RETRY_S


class FailingApplication(FollowerProbe):
    """The first application of a view fails, as if memory was used up."""

    def __init__(self, view):
        self.view = view
        self.attempts = 0
        self.starts = []
        super().__init__()
        self.follower._apply_view = self._apply

    def _apply(self, view, source):
        self.attempts += 1
        if self.attempts == 1:
            raise MemoryError
        self.applied.append((view, source))

    async def _follow_store(self, view, checked, publish, observe):
        self.starts.append(view.store)
        if view.store < self.view.store:
            publish(self.view)
        observe(self.view.store)
        await sleep(60)


async def test_view_that_could_not_be_applied_is_applied_again():
    """The store and the peers have nothing newer that would bring it again."""
    view = make_view([make_target(1)], revision=9)
    probe = FailingApplication(view)
    await run_ticks(probe.follower, FAILURES_S)
    probe.follower.close()
    assert probe.starts == [StoreRevision(), StoreRevision(0, 9)]
    assert [applied for applied, _ in probe.applied] == [view]


def test_view_that_could_not_be_applied_does_not_count_as_current():
    """Connections whose targets only the newer view has would be reset."""
    view = make_view([make_target(1)], revision=9)
    probe = FailingApplication(view)
    with pytest.raises(MemoryError):
        probe.follower._publish(view, "store")
    probe.follower._observe(view.store)
    assert probe.follower.current_as_of == NEVER
    assert probe.follower.is_awaiting_view()


async def test_history_that_could_not_be_taken_is_fetched_again(monkeypatch):
    """Without it, a target that has left the view would count as unknown."""
    view = make_view([make_target(1)], revision=9)
    inherited = []

    async def fetch(address, log):
        return view

    def inherit(received):
        inherited.append(received)
        if len(inherited) == 1:
            raise MemoryError

    monkeypatch.setattr(view_follower, "fetch_view", fetch)
    probe = FollowerProbe(monotonic())
    probe.follower._inherit = inherit
    status = ViewStatus(
        "viti-west/nadi-a", 9, 9, Duty.WATCHER, configuration=1, age=60.0
    )
    probe.follower.receive(status, Address("127.0.0.2", 7720), monotonic())
    await run_ticks(probe.follower, 3 * FETCH_RETRY_S)
    probe.follower.close()
    assert inherited == [view, view]
