from dataclasses import replace
from random import Random

from lycheeglade.address import Address, Zone
from lycheeglade.store_revision import StoreRevision
from lycheeglade.view_follower import ViewFollower
from tests.connections import make_target, make_view

OWN = Address("127.0.0.1", 7720)


class FollowerProbe:
    """A follower whose calls to the store are made by the test."""

    def __init__(self):
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
            0.0,
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
