"""Well-formed but absurd numbers in an entry do no harm beyond the entry.

No reader raises at them. They did harm by what they claim: an entry that names
a start in the far future outranked all later entries of the target, and one of
an immense capacity drew all openings.
"""

from collections import Counter
from dataclasses import replace

import pytest

from catalog import (
    CONFIGURATION_KEY,
    MAX_BORN_AHEAD_MS,
    MAX_BORN_MS,
    MAX_CAPACITY,
    Catalog,
)
from lycheeglade.address import Address
from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    update_routing,
)
from lycheeglade.known_view import KnownView
from lycheeglade.view import State
from tests.connections import BalancerRecorder, make_report, opening
from tests.test_catalog import ROUTE
from tests.test_odd_entries import (
    GOOD,
    REGIONS,
    find_targets,
    item,
    log_formatted,
    view_of,
)

HOUR_MS = 3_600_000
NOW_MS = GOOD["born"] + HOUR_MS
FUTURES = {
    "two-days": NOW_MS + 2 * MAX_BORN_AHEAD_MS,
    "ten-years": NOW_MS + 10 * 365 * 24 * HOUR_MS,
    "latest": MAX_BORN_MS,
}
OPENINGS = 200
AGENT = Address("127.0.0.8", 7720)


def make_catalog(log=log_formatted, **configuration):
    catalog = Catalog(REGIONS, AGENT.port, log, lambda: NOW_MS)
    content = {"version": 1, "routes": [ROUTE], **configuration}
    catalog.apply(item(CONFIGURATION_KEY, content))
    return catalog


@pytest.mark.parametrize("odd_id", ["own", "odd"])
@pytest.mark.parametrize("born", FUTURES.values(), ids=FUTURES)
def test_draining_entry_of_a_future_start_binds_no_later_one(born, odd_id):
    """The target counted as draining for as long as its entry was there."""
    catalog, known = make_catalog(), KnownView()

    def publish(revision):
        known.receive(view_of(catalog, revision), float(revision))
        return find_targets(known.correct(float(revision)))

    catalog.apply(item("servers/own", GOOD))
    publish(1)
    odd = {**GOOD, "state": "draining", "born": born}
    catalog.apply(item(f"servers/{odd_id}", odd))
    assert publish(2)[odd_id].state is State.LEAVING
    catalog.apply(item(f"servers/{odd_id}", GOOD))
    assert publish(3)[odd_id].state is State.LIVE
    restarted = {**GOOD, "born": GOOD["born"] + 1}
    catalog.apply(item(f"servers/{odd_id}", restarted))
    assert publish(4)[odd_id].state is State.LIVE
    catalog.apply(item(f"servers/{odd_id}", {**restarted, "state": "draining"}))
    assert publish(5)[odd_id].state is State.LEAVING
    assert publish(6)["own"].state is State.LEAVING or odd_id != "own"


@pytest.mark.parametrize("odd_id", ["own", "odd"])
@pytest.mark.parametrize("born", FUTURES.values(), ids=FUTURES)
def test_entry_of_a_future_start_hides_no_warmup(born, odd_id):
    """The target's later starts counted as earlier, and were not limited."""
    catalog = make_catalog(services=[{"name": "s1", "warmup-per-s": 2}])
    catalog.apply(item(f"servers/{odd_id}", {**GOOD, "born": born}))
    balancer = BalancerRecorder().make(view_of(catalog, 1))
    cold = {**GOOD, "born": GOOD["born"] + 1, "warmup-left-ms": 30_000}
    catalog.apply(item("servers/own", cold))
    update_routing(balancer, view_of(catalog, 2), 5.0)
    assert balancer.loads_by_agent[AGENT].is_cold(6.0)


@pytest.mark.parametrize("born", FUTURES.values(), ids=FUTURES)
def test_agent_is_told_of_no_start_in_the_future(born):
    """Its table counted as complete, and connections of its target as lost."""
    catalog, recorder = make_catalog(), BalancerRecorder()
    catalog.apply(item("servers/own", {**GOOD, "born": born}))
    balancer = recorder.make(view_of(catalog, 1))
    receive_message(balancer, make_report(service="s1"), AGENT, 0.0)
    assert {message.lifetime for _, message in recorder.sent} == {0}
    catalog.apply(item("servers/own", GOOD))
    update_routing(balancer, view_of(catalog, 2), 1.0)
    assert recorder.sent[-1][1].lifetime == GOOD["born"]


def test_start_slightly_ahead_of_the_clock_is_kept():
    """The clocks of two hosts may differ, and a start must not be lost."""
    events = []

    def log(event, **fields):
        events.append((event, fields))

    catalog = make_catalog(log)
    for revision, born in enumerate((NOW_MS + HOUR_MS, NOW_MS + MAX_BORN_AHEAD_MS), 1):
        catalog.apply(item("servers/own", {**GOOD, "born": born}))
        assert find_targets(view_of(catalog, revision))["own"].lifetime == born
    assert events == []


def test_start_in_the_future_is_logged_and_its_target_used():
    events = []

    def log(event, **fields):
        events.append((event, fields))

    catalog = make_catalog(log)
    catalog.apply(item("servers/own", GOOD))
    expected = replace(find_targets(view_of(catalog, 1))["own"], lifetime=0)
    catalog.apply(item("servers/own", {**GOOD, "born": FUTURES["two-days"]}))
    assert find_targets(view_of(catalog, 2))["own"] == expected
    ((event, fields),) = events
    assert event == "target-field-ignored"
    assert fields["key"] == "servers/own"
    assert fields["field"] == "born"
    assert fields["got"] == FUTURES["two-days"]


@pytest.mark.parametrize("odd_id", ["own", "odd"])
@pytest.mark.parametrize("capacity", [MAX_CAPACITY + 1, 2**31, 2**53])
def test_entry_of_an_absurd_capacity_draws_no_openings(capacity, odd_id):
    """Such a target counted as free at any load, and got all openings."""
    catalog = make_catalog()
    ids = ("own", "odd", "b", "c")
    for number, target_id in enumerate(ids):
        address = f"127.0.0.{number + 8}:8165"
        catalog.apply(item(f"servers/{target_id}", {**GOOD, "address": address}))
    agents = {t.agent for t in find_targets(view_of(catalog, 1)).values()}
    odd_agent = find_targets(view_of(catalog, 1))[odd_id].agent
    odd = {**GOOD, "address": f"{odd_agent.ip}:8165", "capacity": capacity}
    catalog.apply(item(f"servers/{odd_id}", odd))
    openings_by_agent = count_openings(view_of(catalog, 2), agents)
    assert openings_by_agent.keys() == agents - {odd_agent}
    assert max(openings_by_agent.values()) < OPENINGS / 2
    catalog.apply(item(f"servers/{odd_id}", {**odd, "capacity": 1}))
    assert count_openings(view_of(catalog, 3), agents).keys() == agents


def count_openings(view, agents):
    """Return the agents that a burst of openings is forwarded to, by agent."""
    recorder = BalancerRecorder()
    balancer = recorder.make(view)
    for agent in agents:
        receive_message(balancer, make_report(service="s1"), agent, 0.0)
    recorder.sent.clear()
    (destination,) = view.routes_by_address
    for port in range(40_001, 40_001 + OPENINGS):
        segment = replace(opening(port), destination=destination)
        receive_segment(balancer, segment, 0.1)
    return Counter(agent for agent, _ in recorder.pop_forwarded_segments())


def test_largest_capacity_names_a_target():
    catalog = make_catalog()
    catalog.apply(item("servers/own", {**GOOD, "capacity": MAX_CAPACITY}))
    assert find_targets(view_of(catalog, 1))["own"].slots == MAX_CAPACITY
