"""Targets that start again at their address while a former entry is there."""

from base64 import b64encode
from json import dumps

import pytest

from catalog import CONFIGURATION_KEY, Catalog, WireItem
from lycheeglade.address import Address
from lycheeglade.address_history import KEEP_S
from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    tick,
    update_routing,
)
from lycheeglade.eligibility import REMOVAL_GRACE_S, find_eligible
from lycheeglade.known_view import KnownView
from lycheeglade.relay_message import LoadRequest
from lycheeglade.store_revision import StoreRevision
from lycheeglade.view_history import ServedHistory, inherit_history
from tests.connections import (
    OWN_ZONE,
    BalancerRecorder,
    data,
    make_report,
)

AGENT = Address("10.1.1.1", 7720)
OTHER_AGENT = Address("10.1.1.2", 7720)
ENTRY = {
    "service": "booth-sync",
    "address": "10.1.1.1:8080",
    "zone": OWN_ZONE.name,
    "capacity": 1,
    "state": "ready",
    "born": 1_000_000,
}


def make_routes(*services):
    return [
        {"host": f"198.18.0.{number}", "prefix": "/443/", "service": service}
        for number, service in enumerate(services, 1)
    ]


class Followed:
    """A balancer that follows a store."""

    def __init__(self, services=("booth-sync", "reel-depot")):
        self.revision = 10
        self.now = 0.0
        self.items = {}
        self.recorder = BalancerRecorder()
        self.catalog = self.make_catalog()
        self.known = KnownView()
        self.balancer = self.recorder.make()
        configuration = {"version": 1, "routes": make_routes(*services)}
        self.write(CONFIGURATION_KEY, configuration)

    def make_catalog(self):
        zones = {OWN_ZONE.name: OWN_ZONE.region}
        return Catalog(zones, AGENT.port, lambda event, **fields: None)

    def write(self, key, content):
        self.revision += 1
        value = b64encode(dumps(content).encode()).decode()
        self.items[key] = WireItem(key, value, revision=self.revision)
        self.apply(self.items[key])

    def limit_cold_targets(self):
        """Publish how many openings a cold target can take."""
        rated = {"name": "booth-sync", "warmup-s": 30, "warmup-per-s": 4}
        routes = make_routes("booth-sync")
        configuration = {"version": 2, "routes": routes, "services": [rated]}
        self.write(CONFIGURATION_KEY, configuration)

    def put(self, target_id, **fields):
        """Write the entry of a target."""
        self.write(f"servers/{target_id}", ENTRY | fields)

    def expire(self, target_id):
        """Remove the entry of a target."""
        self.revision += 1
        del self.items[f"servers/{target_id}"]
        self.apply(WireItem(f"servers/{target_id}", deleted=True))

    def apply(self, item):
        self.now += 0.1
        self.catalog.apply(item)
        self.publish()

    def publish(self):
        view = self.catalog.view(StoreRevision(1, self.revision))
        if self.known.receive(view, self.now):
            update_routing(self.balancer, self.known.correct(self.now), self.now)
        for agent in self.balancer.loads_by_agent:
            receive_message(self.balancer, make_report(), agent, self.now + 0.05)

    def start_anew(self):
        """Return another balancer that reads the store as it is."""
        other = Followed(())
        other.revision, other.now, other.items = self.revision, self.now, self.items
        other.catalog, other.known = self.make_catalog(), KnownView()
        other.balancer = other.recorder.make()
        for item in self.items.values():
            other.catalog.apply(item)
        other.publish()
        return other

    def find(self, service="booth-sync", now=None):
        """Return the IDs of the targets that may get a connection."""
        eligibility = find_eligible(
            self.balancer.view,
            next(iter(self.balancer.view.routes_by_address.values())),
            service,
            self.balancer.unannounced_removals_by_agent.values(),
            self.balancer.loads_by_agent,
            self.now + 0.06 if now is None else now,
        )
        return [target.target_id for target in eligibility.targets]


@pytest.fixture
def followed():
    followed = Followed()
    followed.put("former")
    assert followed.find() == ["former"]
    return followed


@pytest.mark.parametrize("is_expired", [False, True])
def test_target_that_restarts_and_drains_gets_no_connection(followed, is_expired):
    """It got connections by its former entry for 3.9 s (review/8)."""
    if is_expired:
        followed.expire("former")
    followed.put("next", born=2_000_000)
    assert followed.find() == ["next"]
    followed.put("next", born=2_000_000, state="draining")
    assert followed.find() == []
    if not is_expired:
        followed.expire("former")
    assert followed.find() == []
    assert followed.find(now=followed.now + REMOVAL_GRACE_S - 0.1) == []


def test_former_entry_counts_no_more_when_the_next_one_is_gone(followed):
    """The store may keep it for longer during an outage."""
    followed.put("next", born=2_000_000, state="draining")
    followed.expire("next")
    assert followed.find() == []
    assert not followed.known.is_due(followed.now + KEEP_S - 0.1)


def test_former_entry_that_stays_is_of_a_living_target(followed):
    """The entry that followed it was written by somebody else."""
    followed.put("next", born=2_000_000, state="draining")
    followed.expire("next")
    followed.now += KEEP_S
    assert followed.known.is_due(followed.now)
    corrected = followed.known.correct(followed.now)
    assert not followed.known.is_due(followed.now)
    update_routing(followed.balancer, corrected, followed.now)
    assert followed.find() == ["former"]


def test_entry_that_changes_after_the_next_one_is_of_a_living_target(followed):
    """The next entry was written by somebody else."""
    followed.put("next", born=2_000_000)
    followed.put("former", capacity=2)
    assert followed.find() == ["former"]


def test_target_that_restarts_beside_a_draining_entry_is_used_at_once(followed):
    followed.put("former", state="draining")
    assert followed.find() == []
    followed.put("next", born=2_000_000)
    assert followed.find() == ["next"]
    followed.expire("former")
    assert followed.find() == ["next"]


def test_order_of_lifetimes_is_that_of_the_store(followed):
    """The clock of the target was set back before its restart."""
    followed.put("next", born=500_000, state="draining")
    assert followed.find() == []
    followed.put("third", born=400_000)
    assert followed.find() == ["third"]


def test_target_whose_clock_was_set_back_is_not_draining_for_good(followed):
    """Its next lifetime under the same ID got no connection."""
    followed.put("former", state="draining")
    followed.put("former", born=500_000)
    assert followed.find() == ["former"]
    followed.put("former", born=500_000, state="draining")
    assert followed.find() == []


@pytest.mark.parametrize("target_id", ["former", "next"])
def test_target_whose_clock_was_set_back_is_cold_after_its_start(target_id):
    """It got the openings of a warm target."""
    followed = Followed()
    followed.limit_cold_targets()
    followed.put("former", **{"warmup-left-ms": 0})
    assert not followed.balancer.loads_by_agent[AGENT].is_cold(followed.now)
    followed.put(target_id, born=500_000, **{"warmup-left-ms": 30_000})
    load = followed.balancer.loads_by_agent[AGENT]
    assert load.is_cold(followed.now)
    assert load.lifetime == 500_000
    requests = [m for _, m in followed.recorder.sent if isinstance(m, LoadRequest)]
    assert (requests[-1].lifetime, requests[-1].warmup_left) == (500_000, 30.0)


def test_next_lifetime_does_not_inherit_the_warmup_of_the_former_one(followed):
    followed.limit_cold_targets()
    followed.put("former", born=1_500_000, **{"warmup-left-ms": 30_000})
    assert followed.balancer.loads_by_agent[AGENT].is_cold(followed.now)
    followed.put("next", born=1_200_000, **{"warmup-left-ms": 0})
    assert not followed.balancer.loads_by_agent[AGENT].is_cold(followed.now)


def test_target_that_crashes_twice_is_used_by_its_latest_entry(followed):
    followed.put("next", born=2_000_000, capacity=2)
    followed.put("third", born=3_000_000, capacity=3)
    assert followed.find() == ["third"]
    for target_id in ("former", "next"):
        followed.expire(target_id)
        assert followed.find() == ["third"]
    assert followed.balancer.loads_by_agent[AGENT].slots == 3


def test_former_id_that_is_used_again_is_the_latest_entry(followed):
    followed.put("next", born=2_000_000)
    followed.put("former", born=3_000_000, state="draining")
    assert followed.find() == []
    followed.expire("next")
    assert followed.find() == []


def test_address_that_another_service_uses_gets_no_connection(followed):
    """Its former entry sent connections to the agent of another service."""
    followed.put("next", born=2_000_000, service="reel-depot")
    assert followed.find() == []
    assert followed.find("reel-depot") == ["next"]
    followed.expire("former")
    assert followed.find() == []


def test_search_does_not_ask_for_connections_of_an_ended_lifetime(followed):
    """The address is of another service now, whose target returns them all."""
    followed.put("second", address="10.1.1.2:8080")
    followed.expire("former")
    followed.put("next", born=2_000_000, service="reel-depot")
    balancer = followed.balancer
    balancer.routes_known_at = -1000.0
    followed.recorder.sent.clear()
    receive_segment(balancer, data(), followed.now + 1.0)
    asked = followed.recorder.pop_forwarded_segments()
    assert [agent for agent, _ in asked] == [OTHER_AGENT]


def test_capacity_of_a_former_entry_does_not_count(followed):
    followed.put("former", capacity=9)
    followed.put("next", born=2_000_000, capacity=2)
    assert followed.balancer.loads_by_agent[AGENT].slots == 2
    assert sum(map(len, followed.balancer.view.targets_by_service.values())) == 1


def test_agent_is_told_the_start_of_the_latest_lifetime(followed):
    followed.put("next", born=2_000_000)
    requests = [m for _, m in followed.recorder.sent if isinstance(m, LoadRequest)]
    assert requests[-1].lifetime == 2_000_000


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_balancer_that_starts_beside_both_entries_uses_the_latest(followed, state):
    followed.put("next", born=500_000, state=state)
    added = followed.start_anew()
    assert added.find() == (["next"] if state == "ready" else [])
    added.expire("former")
    assert added.find() == (["next"] if state == "ready" else [])


def test_balancer_that_starts_before_the_next_lifetime_follows_it(followed):
    added = followed.start_anew()
    assert added.find() == ["former"]
    added.put("next", born=2_000_000, state="draining")
    assert added.find() == []


def test_balancer_inherits_no_target_whose_address_is_used_again(followed):
    followed.expire("former")
    served = ServedHistory().get(followed.known.view, followed.balancer, followed.now)
    assert [each.target.target_id for each in served.removed_targets] == ["former"]
    followed.put("next", born=2_000_000, service="reel-depot")
    added = followed.start_anew()
    inherit_history(added.balancer, served, added.now)
    assert added.balancer.removed_by_agent == {}


def test_entry_that_lapsed_during_an_outage_is_taken_back(followed):
    followed.expire("former")
    assert followed.find() == ["former"]
    late = followed.now + REMOVAL_GRACE_S + 0.1
    tick(followed.balancer, late)
    assert followed.find(now=late) == []
    followed.put("former")
    assert followed.find() == ["former"]


def test_view_that_was_passed_on_orders_the_lifetimes(followed):
    """The balancer that fetches it has not read the store itself."""
    followed.put("next", born=500_000, state="draining")
    known = KnownView()
    known.receive(followed.known.view, 0.0)
    (targets,) = known.correct(0.0).targets_by_service.values()
    assert list(targets) == ["next"]


def test_heartbeats_of_a_target_leave_the_view_as_it_is(followed):
    """Each change of the view is sent to all balancers."""
    view = followed.known.view
    followed.put("former", sequence=5)
    followed.catalog.clear_targets()
    followed.put("former", sequence=6)
    assert followed.known.view is view


def test_balancers_that_read_different_revisions_of_an_entry_keep_it(followed):
    """One that fetched the view of another hid all targets for 5 s.

    The other had read the entries before their latest heartbeats.
    """
    followed.put("former", sequence=5)
    added = followed.start_anew()
    assert added.find() == ["former"]
    followed.put("second", address="10.1.1.2:8080")
    added.now = followed.now
    assert added.known.receive(followed.known.view, added.now)
    update_routing(added.balancer, added.known.correct(added.now), added.now)
    receive_message(added.balancer, make_report(), OTHER_AGENT, added.now)
    assert sorted(added.find()) == ["former", "second"]


@pytest.mark.parametrize("service", ["unknown", ""])
def test_entry_of_an_unknown_service_displaces_no_target(followed, service):
    """It is of another writer, and names no target."""
    followed.put("odd", service=service)
    assert followed.find() == ["former"]


@pytest.mark.parametrize("revision", [None, "x", -1, 1.5, True, 2**53 + 1, [1]])
def test_entry_of_an_unknown_revision_displaces_no_target(followed, revision):
    content = b64encode(dumps(ENTRY).encode()).decode()
    followed.apply(WireItem("servers/odd", content, revision=revision))
    assert followed.find() == ["former"]


def test_latest_registration_of_an_earlier_era_decides_nothing(followed):
    """The store was restored, and counts its revisions anew."""
    followed.put("next", born=2_000_000)
    followed.catalog.clear_targets()
    item = replace_revision(followed.items["servers/former"], 5)
    followed.catalog.apply(item)
    view = followed.catalog.view(StoreRevision(2, 6))
    followed.known.receive(view, followed.now)
    corrected = followed.known.correct(followed.now)
    assert list(corrected.targets_by_service["booth-sync"]) == ["former"]


def replace_revision(item, revision):
    return WireItem(item.key, item.value, revision=revision)
