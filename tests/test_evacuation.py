"""New connections of a balancer while zones are evacuated or not permitted."""

from collections import Counter
from dataclasses import replace

import pytest

from lycheeglade.address import Zone
from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    tick,
    update_routing,
)
from lycheeglade.connection_opening import MIN_OPENING_TIMEOUT_S
from lycheeglade.opening_times import CALLER_ATTEMPT_S
from lycheeglade.relay_message import HomeFound
from lycheeglade.segment import ConnectionKey
from lycheeglade.store_revision import StoreRevision
from lycheeglade.view import State
from tests.connections import (
    CALLER,
    OTHER_ZONE,
    OWN_ZONE,
    ROUTE,
    SERVICE,
    BalancerRecorder,
    data,
    make_report,
    make_target,
    make_view,
    opening,
)

KEY = ConnectionKey(CALLER, SERVICE)
FAR_ZONE = Zone("vanua", "labasa-a")
ZONES = [OWN_ZONE, OTHER_ZONE, FAR_ZONE]
TARGETS = [
    make_target(10 * place + number, zone, slots=4)
    for place, zone in enumerate(ZONES)
    for number in range(1, 5)
]
ZONES_BY_AGENT = {target.agent: target.zone for target in TARGETS}
OPENINGS = 300


def agents_in(*zones):
    return {agent for agent, zone in ZONES_BY_AGENT.items() if zone in zones}


class Zones:
    """A balancer of one of three zones in two regions."""

    def __init__(self):
        self.recorder = BalancerRecorder()
        self.revision = 5
        self.port = 1000
        self.balancer = self.recorder.make(make_view(TARGETS))
        for agent in ZONES_BY_AGENT:
            receive_message(self.balancer, make_report(), agent, 0.0)
        self.recorder.sent.clear()

    def update(self, *evacuated, targets=TARGETS, regions=None, now=0.1):
        self.revision += 1
        route = replace(ROUTE, regions=regions)
        view = make_view(targets, routes=[route], revision=self.revision)
        names = tuple(sorted(zone.name for zone in evacuated))
        update_routing(self.balancer, replace(view, evacuated_zones=names), now)

    def open(self, now=0.2, **fields):
        receive_segment(self.balancer, opening(**fields), now)

    def open_many(self, now=0.2):
        """Return the agents that new connections may reach."""
        for _ in range(OPENINGS):
            self.port += 1
            self.open(now, port=self.port)
        chosen = self.recorder.pop_forwarded_segments()
        self.first_agents = Counter(agent for agent, _ in chosen)
        reached = set(self.first_agents)
        return reached.union(*(message.candidates for _, message in chosen))

    def events(self, name):
        return [fields for event, fields in self.recorder.events if event == name]


@pytest.fixture
def zones():
    return Zones()


def test_opening_goes_to_no_target_of_an_evacuated_zone(zones):
    """Also as a candidate, to which an agent passes an opening on."""
    assert zones.open_many() == set(ZONES_BY_AGENT)
    zones.update(OTHER_ZONE)
    assert zones.open_many() == agents_in(OWN_ZONE, FAR_ZONE)
    assert zones.recorder.resets == []


def test_displaced_load_does_not_all_go_to_one_zone(zones):
    zones.update(OWN_ZONE)
    assert zones.open_many() == agents_in(OTHER_ZONE, FAR_ZONE)
    by_zone = Counter()
    for agent, openings in zones.first_agents.items():
        by_zone[ZONES_BY_AGENT[agent]] += openings
    assert by_zone.total() == OPENINGS
    assert min(by_zone.values()) > OPENINGS / 4


def test_displaced_load_goes_where_the_wait_is_short(zones):
    zones.update(OWN_ZONE)
    busy = make_report(running=40, busy=1.0)
    for agent in agents_in(OTHER_ZONE):
        receive_message(zones.balancer, busy, agent, 0.1)
    zones.open_many()
    far = sum(zones.first_agents[agent] for agent in agents_in(FAR_ZONE))
    assert far > OPENINGS * 3 / 4


def test_zone_gets_openings_again_when_its_evacuation_ends(zones):
    zones.update(OTHER_ZONE)
    zones.update()
    assert zones.open_many() == set(ZONES_BY_AGENT)


def test_two_zones_are_evacuated_at_once(zones):
    zones.update(OWN_ZONE, FAR_ZONE)
    assert zones.open_many() == agents_in(OTHER_ZONE)
    zones.update(FAR_ZONE)
    assert zones.open_many() == agents_in(OWN_ZONE, OTHER_ZONE)


def test_openings_are_refused_at_once_while_all_zones_are_evacuated(zones):
    zones.update(*ZONES)
    zones.open()
    assert zones.recorder.pop_forwarded_segments() == []
    assert zones.recorder.resets == [(KEY, 0)]
    (refusal,) = zones.events("refused")
    assert (refusal["cause"], refusal["targets"]) == ("evacuated", 0)
    zones.update(OWN_ZONE)
    zones.open(now=1.0)
    assert len(zones.recorder.pop_forwarded_segments()) == 1


def test_retry_goes_to_no_target_of_an_evacuated_zone(zones):
    """The evacuation begins between an opening and its retry."""
    zones.open(0.2)
    ((first, _),) = zones.recorder.pop_forwarded_segments()
    remaining = next(zone for zone in ZONES if zone != ZONES_BY_AGENT[first])
    zones.update(*(zone for zone in ZONES if zone != remaining), now=0.21)
    tick(zones.balancer, 0.2 + MIN_OPENING_TIMEOUT_S)
    ((second, message),) = zones.recorder.pop_forwarded_segments()
    assert {second, *message.candidates} <= agents_in(remaining)


def test_retry_ends_in_silence_when_all_zones_are_evacuated(zones):
    """The first target may have accepted the connection: no reset."""
    zones.open(0.2)
    zones.recorder.pop_forwarded_segments()
    zones.update(*ZONES, now=0.21)
    tick(zones.balancer, 0.2 + MIN_OPENING_TIMEOUT_S)
    tick(zones.balancer, 0.2 + 2 * MIN_OPENING_TIMEOUT_S)
    assert zones.recorder.pop_forwarded_segments() == []
    assert zones.recorder.resets == []
    assert len(zones.events("refused")) == 1


def open_in(zones, zone, now=0.2):
    """Open a connection whose home is in `zone`; return the home's agent."""
    zones.open(now)
    zones.recorder.pop_forwarded_segments()
    home = min(agents_in(zone))
    receive_message(zones.balancer, HomeFound(KEY, 1000), home, now + 0.01)
    return home


def test_open_connection_stays_in_an_evacuated_zone(zones):
    home = open_in(zones, OWN_ZONE)
    zones.update(OWN_ZONE, now=0.3)
    zones.open(0.4, copies=1)
    receive_segment(zones.balancer, data(), 0.5)
    receive_segment(zones.balancer, data(sequence=108), 20.0)
    forwarded = zones.recorder.pop_forwarded_segments()
    assert [agent for agent, _ in forwarded] == [home] * 3
    assert zones.recorder.resets == []


def test_search_asks_the_agents_of_an_evacuated_zone(zones):
    """They may hold a connection that opened before the evacuation."""
    zones.update(OWN_ZONE, OTHER_ZONE)
    receive_segment(zones.balancer, data(), 1.0)
    asked = set()
    for agent, message in zones.recorder.pop_forwarded_segments():
        asked |= {agent, *message.candidates}
    assert asked == set(ZONES_BY_AGENT)


@pytest.mark.parametrize("is_removed", [False, True])
@pytest.mark.parametrize("copies", [0, 1])
def test_caller_address_that_is_used_again_opens_elsewhere(zones, is_removed, copies):
    """The new connection went to the home of the address's earlier one."""
    open_in(zones, OWN_ZONE)
    targets = [t for t in TARGETS if not is_removed or t.zone != OWN_ZONE]
    zones.update(OWN_ZONE, targets=targets, now=0.3)
    now = 0.2 + 2 * CALLER_ATTEMPT_S
    zones.open(now, copies=copies)
    ((agent, message),) = zones.recorder.pop_forwarded_segments()
    assert {agent, *message.candidates} <= agents_in(OTHER_ZONE, FAR_ZONE)
    receive_message(zones.balancer, HomeFound(KEY, 9000), agent, now + 0.01)
    zones.open(now + 0.2, copies=2)
    receive_segment(zones.balancer, data(acknowledgement=9001), now + 0.3)
    forwarded = zones.recorder.pop_forwarded_segments()
    assert [first for first, _ in forwarded] == [agent] * 2


def test_copy_of_a_new_opening_does_not_go_to_a_home_that_a_search_found(zones):
    """The first opening segment was lost; the home's zone is evacuated."""
    receive_segment(zones.balancer, data(), 0.2)
    (agent, *_) = agents_in(OWN_ZONE)
    receive_message(zones.balancer, HomeFound(KEY, 1000), agent, 0.21)
    zones.update(OWN_ZONE, now=0.3)
    zones.recorder.sent.clear()
    zones.open(0.2 + 2 * CALLER_ATTEMPT_S, copies=1)
    ((agent, message),) = zones.recorder.pop_forwarded_segments()
    assert {agent, *message.candidates} <= agents_in(OTHER_ZONE, FAR_ZONE)


class Unlisted(dict):
    """Targets by service that may be looked up only."""

    def values(self):
        raise AssertionError("all targets were listed")


def test_opening_of_a_used_address_does_not_list_all_targets(zones):
    """The work for a segment grew with the fleet."""
    open_in(zones, OWN_ZONE)
    zones.update(OWN_ZONE, now=0.3)
    view = zones.balancer.view
    targets_by_service = Unlisted(view.targets_by_service)
    zones.balancer.view = replace(view, targets_by_service=targets_by_service)
    zones.open(0.2 + 2 * CALLER_ATTEMPT_S)
    ((agent, _),) = zones.recorder.pop_forwarded_segments()
    assert agent in agents_in(OTHER_ZONE, FAR_ZONE)


def test_duplicate_of_an_opening_goes_to_the_home(zones):
    """The network may deliver a datagram twice."""
    home = open_in(zones, OWN_ZONE)
    zones.update(OWN_ZONE, now=0.3)
    zones.open(0.4)
    assert [a for a, _ in zones.recorder.pop_forwarded_segments()] == [home]


def test_target_that_vanishes_during_an_evacuation_gets_nothing(zones):
    remaining = [target for target in TARGETS if target.zone != OWN_ZONE]
    zones.update(OWN_ZONE, targets=remaining, now=0.1)
    for agent in agents_in(OWN_ZONE):
        receive_message(zones.balancer, make_report(), agent, 0.15)
    assert zones.open_many() == agents_in(OTHER_ZONE, FAR_ZONE)


def test_opening_goes_to_permitted_regions_only(zones):
    zones.update(regions=("vanua",))
    assert zones.open_many() == agents_in(FAR_ZONE)
    zones.update(regions=("viti-west",))
    assert zones.open_many() == agents_in(OWN_ZONE, OTHER_ZONE)
    zones.update(OWN_ZONE, regions=("viti-west",))
    assert zones.open_many() == agents_in(OTHER_ZONE)


@pytest.mark.parametrize("regions", [(), ("unknown",)])
def test_opening_is_refused_at_once_without_a_permitted_region(zones, regions):
    zones.update(regions=regions)
    zones.open()
    assert zones.recorder.pop_forwarded_segments() == []
    assert zones.recorder.resets == [(KEY, 0)]
    assert [event["cause"] for event in zones.events("refused")] == ["region"]


def test_view_of_a_peer_that_is_older_ends_no_evacuation(zones):
    zones.update(OWN_ZONE)
    older = make_view(TARGETS, revision=zones.revision - 1)
    update_routing(zones.balancer, older, 0.15)
    assert zones.open_many() == agents_in(OTHER_ZONE, FAR_ZONE)


def test_begin_and_end_of_an_evacuation_are_logged_once(zones):
    leaving = replace(TARGETS[0], state=State.LEAVING)
    targets = [leaving, *TARGETS[1:]]
    zones.update(OWN_ZONE, FAR_ZONE, targets=targets)
    zones.update(FAR_ZONE, targets=targets)
    zones.update(FAR_ZONE, targets=targets[1:])
    first = {"cause": "begun", "revision": StoreRevision(0, 6)}
    assert zones.events("evacuation") == [
        {"zone": "labasa-a", **first, "targets": 4},
        {"zone": "nadi-a", **first, "targets": 3},
        {
            "zone": "nadi-a",
            "cause": "ended",
            "revision": StoreRevision(0, 7),
            "targets": 3,
        },
    ]


def test_evacuation_that_the_first_view_names_is_logged():
    recorder = BalancerRecorder()
    recorder.make(replace(make_view(TARGETS), evacuated_zones=("nadi-a",)))
    assert [event for event, _ in recorder.events] == ["evacuation"]
