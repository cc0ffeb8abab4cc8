"""State machine of targets that start again at their addresses.

Balancers read the store at different times, follow it, and pass their views on
to each other. The machine checks that the entry that changed last at an
address decides alone at each balancer that knows the store's latest change.
"""

from base64 import b64encode
from dataclasses import dataclass, field
from json import dumps

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from catalog import CONFIGURATION_KEY, Catalog, WireItem
from lycheeglade.known_view import KnownView
from lycheeglade.store_revision import StoreRevision
from lycheeglade.view import State
from tests.conftest import make_machine_settings
from tests.connections import OWN_ZONE

ADDRESSES = ["10.1.1.1:8080", "10.1.1.2:8080"]
IDS = ["a", "b", "c"]
SERVICES = ["booth-sync", "reel-depot"]
BALANCERS = 3
STEP_S = 0.1
# Balancers that read a change at once.
FOLLOWERS = st.sets(st.integers(0, BALANCERS - 1))
STATES_BY_NAME = {"ready": State.LIVE, "draining": State.LEAVING}
ENTRY = {"zone": OWN_ZONE.name, "capacity": 1, "state": "ready", "sequence": 0}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {"host": "198.18.0.1", "prefix": f"/{port}/", "service": service}
        for port, service in enumerate(SERVICES, 440)
    ],
}


@dataclass
class Reader:
    """What a balancer knows of the store."""

    catalog: Catalog
    known: KnownView = field(default_factory=KnownView)
    revision: int = 0


class Lifetimes(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.revision = 10
        self.events = []
        self.items_by_key = {}
        self.entries_by_id = {}
        self.living_ids = set()
        self.clock = 1_000_000
        self.write(CONFIGURATION_KEY, CONFIGURATION)
        self.readers = [self.make_reader() for _ in range(BALANCERS)]

    def write(self, key, content):
        self.revision += 1
        value = b64encode(dumps(content).encode()).decode()
        self.items_by_key[key] = WireItem(key, value, revision=self.revision)
        self.events.append((self.revision, self.items_by_key[key]))

    def write_entry(self, target_id):
        entry = self.entries_by_id[target_id]
        entry["sequence"] += 1
        self.write(f"servers/{target_id}", entry)

    def make_reader(self):
        zones = {OWN_ZONE.name: OWN_ZONE.region}
        reader = Reader(Catalog(zones, 7720, lambda event, **fields: None))
        for item in self.items_by_key.values():
            reader.catalog.apply(item)
        self.publish(reader)
        return reader

    def publish(self, reader):
        self.now += STEP_S
        reader.revision = self.revision
        view = reader.catalog.view(StoreRevision(1, self.revision))
        reader.known.receive(view, self.now)

    @rule(
        target_id=st.sampled_from(IDS),
        address=st.sampled_from(ADDRESSES),
        service=st.sampled_from(SERVICES),
        step_ms=st.integers(-2000, 3000).filter(bool),
        followers=FOLLOWERS,
    )
    def start(self, target_id, address, service, step_ms, followers):
        """Start a target; one that ran under the ID or at the address ends."""
        self.living_ids = {
            each
            for each in self.living_ids - {target_id}
            if self.entries_by_id[each]["address"] != address
        }
        self.living_ids.add(target_id)
        self.clock += step_ms
        starts = {"born": self.clock, "address": address, "service": service}
        self.entries_by_id[target_id] = ENTRY | starts
        self.write_entry(target_id)
        self.follow(followers)

    @rule(target_id=st.sampled_from(IDS), followers=FOLLOWERS)
    def check_in(self, target_id, followers):
        if target_id in self.living_ids:
            self.write_entry(target_id)
        self.follow(followers)

    @rule(target_id=st.sampled_from(IDS), followers=FOLLOWERS)
    def drain(self, target_id, followers):
        if target_id in self.living_ids:
            self.entries_by_id[target_id]["state"] = "draining"
            self.write_entry(target_id)
        self.follow(followers)

    @rule(target_id=st.sampled_from(IDS), followers=FOLLOWERS)
    def expire(self, target_id, followers):
        """Remove the entry of a target that has ended."""
        if target_id in self.entries_by_id and target_id not in self.living_ids:
            del self.entries_by_id[target_id]
            del self.items_by_key[f"servers/{target_id}"]
            self.revision += 1
            deletion = WireItem(f"servers/{target_id}", deleted=True)
            self.events.append((self.revision, deletion))
        self.follow(followers)

    def follow(self, followers):
        for number in sorted(followers):
            reader = self.readers[number]
            for revision, item in self.events:
                if revision > reader.revision:
                    reader.catalog.apply(item)
            self.publish(reader)

    @rule(number=st.integers(0, BALANCERS - 1))
    def read_anew(self, number):
        """Read all items, as after a lost history."""
        reader = self.readers[number]
        reader.catalog.clear_targets()
        for item in self.items_by_key.values():
            reader.catalog.apply(item)
        self.publish(reader)

    @rule(number=st.integers(0, BALANCERS - 1))
    def restart(self, number):
        self.readers[number] = self.make_reader()

    @rule(
        source=st.integers(0, BALANCERS - 1),
        to=st.integers(0, BALANCERS - 1),
    )
    def fetch(self, source, to):
        """Pass on a view; its receiver follows the store from it."""
        self.now += STEP_S
        view = self.readers[source].known.view
        reader = self.readers[to]
        if reader.known.receive(view, self.now):
            reader.catalog.restore(reader.known.view)
            reader.revision = reader.known.view.revision

    @invariant()
    def latest_entry_decides(self):
        for reader in self.readers:
            if reader.revision < self.revision:
                continue
            found = {
                (target.target_id, service, target.state)
                for service, targets in reader.known.correct(
                    self.now
                ).targets_by_service.items()
                for target in targets.values()
            }
            expected = {
                (each, entry["service"], STATES_BY_NAME[entry["state"]])
                for each in self.living_ids
                for entry in [self.entries_by_id[each]]
            }
            assert expected <= found
            ended_ids = {target_id for target_id, _, _ in found - expected}
            living_at = {self.entries_by_id[e]["address"] for e in self.living_ids}
            assert not any(
                self.entries_by_id[each]["address"] in living_at for each in ended_ids
            )


TestLifetimes = Lifetimes.TestCase
TestLifetimes.settings = make_machine_settings(300, 40)
