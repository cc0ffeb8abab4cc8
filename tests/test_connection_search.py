"""Searches of a balancer for connections that it does not know."""

from dataclasses import replace

import pytest

from lycheeglade.connection_balancer import (
    receive_message,
    receive_segment,
    tick,
    update_routing,
)
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S
from lycheeglade.connection_search import (
    ROUND_TRIP_TIMEOUT_S,
    SEARCH_RETRY_S,
    SEARCH_TIMEOUT_S,
)
from lycheeglade.relay_message import (
    ConnectionNotHeld,
    HomeFound,
)
from lycheeglade.view import State
from tests.connections import (
    AGENTS,
    CALLER,
    KEY,
    ROUTE,
    TARGETS,
    BalancerRecorder,
    data,
    make_report,
    make_target,
    make_view,
    opening,
)

# Queries until a delay that doubles with each is too large for a float.
MANY_QUERIES = 1100


@pytest.fixture
def recorder():
    return BalancerRecorder()


@pytest.fixture
def balancer(recorder):
    return recorder.make_heard()


def test_unknown_connection_is_searched_and_its_segments_follow(balancer, recorder):
    receive_segment(balancer, data(), 1.0)
    forwarded_segments = recorder.pop_forwarded_segments()
    assert {agent for agent, _ in forwarded_segments} == set(AGENTS)
    assert all(forwarded.search for _, forwarded in forwarded_segments)
    receive_segment(balancer, data(sequence=108), 1.001)
    assert recorder.pop_forwarded_segments() == []
    receive_message(balancer, HomeFound(KEY, -1), AGENTS[1], 1.002)
    forwarded_segments = recorder.pop_forwarded_segments()
    assert [agent for agent, _ in forwarded_segments] == [AGENTS[1]] * 2
    assert not any(forwarded.search for _, forwarded in forwarded_segments)


def test_search_includes_targets_that_are_gone_from_the_view(balancer, recorder):
    update_routing(balancer, make_view(TARGETS[:2], revision=6), 1.0)
    recorder.pop_forwarded_segments()
    receive_segment(balancer, data(), 1.1)
    assert {agent for agent, _ in recorder.pop_forwarded_segments()} == set(AGENTS)


def change_services(balancer, services, now, configuration=2, regions=None):
    """Let the route name other services; `reel-depot` has one target."""
    route = replace(ROUTE, weights_by_service=services, regions=regions)
    view = make_view(TARGETS, (route,))
    depot = make_target(4)
    update_routing(
        balancer,
        replace(
            view,
            revision=4 + configuration,
            configuration=configuration,
            targets_by_service={
                **view.targets_by_service,
                "reel-depot": {depot.target_id: depot},
            },
        ),
        now,
    )
    balancer.loads_by_agent[depot.agent].last_heard_at = now
    return depot.agent


def test_connection_of_a_service_that_its_route_no_longer_names_is_not_reset(recorder):
    """Only the agents of the new service were asked, and denied it."""
    restarted = recorder.make()
    depot = change_services(restarted, {"reel-depot": 1.0}, 0.0)
    recorder.sent.clear()
    receive_segment(restarted, data(), 1.0)
    forwarded_segments = recorder.pop_forwarded_segments()
    assert {agent for agent, _ in forwarded_segments} == {*AGENTS, depot}
    assert all(sent.services == ("reel-depot",) for _, sent in forwarded_segments)
    receive_message(restarted, ConnectionNotHeld(KEY, 77), depot, 1.01)
    tick(restarted, 1.02)
    assert recorder.resets == []
    recorder.pop_forwarded_segments()
    receive_message(restarted, HomeFound(KEY, -1), AGENTS[1], 1.03)
    assert [agent for agent, _ in recorder.pop_forwarded_segments()] == [AGENTS[1]]


def search_former_service(recorder, regions=None):
    """Search after a restart; return the agent of the route's new service."""
    restarted = recorder.make()
    depot = change_services(restarted, {"reel-depot": 1.0}, 0.0, regions=regions)
    recorder.sent.clear()
    receive_segment(restarted, data(), 1.0)
    assert not any(sent.any_service for _, sent in recorder.pop_forwarded_segments())
    return restarted, depot


def test_targets_of_other_services_are_asked_once_those_of_the_route_deny(recorder):
    """After a kill of all processes, nobody asked the connection's target."""
    restarted, depot = search_former_service(recorder)
    receive_message(restarted, ConnectionNotHeld(KEY, 77), AGENTS[0], 1.01)
    tick(restarted, 1.02)
    assert recorder.pop_forwarded_segments() == []
    receive_message(restarted, ConnectionNotHeld(KEY, 77), depot, 1.03)
    asked = recorder.pop_forwarded_segments()
    assert [agent for agent, _ in asked] == AGENTS[1:]
    assert all(sent.any_service for _, sent in asked)
    for agent in AGENTS[1:]:
        assert recorder.resets == []
        receive_message(restarted, ConnectionNotHeld(KEY, 77), agent, 1.04)
    assert recorder.resets == [(KEY, 1001)]


def test_targets_of_regions_that_the_route_excludes_get_no_segment(recorder):
    """Its callers wait, since only these targets could deny the connection."""
    restarted, depot = search_former_service(recorder, regions=("viti-east",))
    receive_message(restarted, ConnectionNotHeld(KEY, 77), depot, 1.03)
    for now in (1.1, 1.3, 2.0, 2.9):
        tick(restarted, now)
    asked = recorder.pop_forwarded_segments()
    assert {agent for agent, _ in asked} == set(AGENTS)
    assert not any(sent.any_service for _, sent in asked)
    assert recorder.resets == []


def test_targets_of_other_services_get_a_segment_without_data_first(recorder):
    restarted, depot = search_former_service(recorder)
    bare = data(data_bytes=0)
    receive_segment(restarted, bare, 1.01)
    receive_segment(restarted, data(sequence=108), 1.02)
    receive_message(restarted, ConnectionNotHeld(KEY, 77), depot, 1.03)
    asked = recorder.pop_forwarded_segments()
    assert {sent.datagram for _, sent in asked} == {bare.datagram}
    tick(restarted, 1.04 + 2.0 * SEARCH_RETRY_S)
    asked = recorder.pop_forwarded_segments()
    assert {sent.datagram for _, sent in asked} == {data(sequence=108).datagram}


def test_targets_of_a_former_service_get_segments_for_a_lifetime(balancer, recorder):
    depot = change_services(balancer, {"reel-depot": 1.0}, 1.0)
    recorder.sent.clear()
    receive_segment(balancer, data(), 2.0)
    forwarded_segments = recorder.pop_forwarded_segments()
    assert {sent.services for _, sent in forwarded_segments} == {
        ("booth-sync", "reel-depot")
    }
    late = 1.1 + CONNECTION_LIFETIME_S
    receive_segment(balancer, data(port=40002), late)
    forwarded_segments = recorder.pop_forwarded_segments()
    assert [agent for agent, _ in forwarded_segments] == [depot]
    assert [sent.services for _, sent in forwarded_segments] == [("reel-depot",)]


def test_former_services_of_a_version_that_was_written_again_are_searched(
    balancer, recorder
):
    """Only the agents of the new service were asked, and denied it."""
    late = 1.0 + CONNECTION_LIFETIME_S
    change_services(balancer, {"reel-depot": 1.0}, late, configuration=1)
    view = replace(balancer.view, revision=9)
    update_routing(balancer, view, late)
    recorder.sent.clear()
    receive_segment(balancer, data(), late + 1.0)
    services = {sent.services for _, sent in recorder.pop_forwarded_segments()}
    assert services == {("booth-sync", "reel-depot")}


def test_services_of_a_version_that_was_not_seen_are_searched(balancer, recorder):
    """Another balancer opened the connection while it was in force."""
    change_services(balancer, {"booth-sync": 1.0}, 1.0)
    seen_at = 2.0 + CONNECTION_LIFETIME_S
    depot = change_services(balancer, {"booth-sync": 1.0}, seen_at, configuration=4)
    recorder.sent.clear()
    receive_segment(balancer, data(), seen_at + 1.0)
    agents = {agent for agent, _ in recorder.pop_forwarded_segments()}
    assert agents == {*AGENTS, depot}
    known_at = seen_at + CONNECTION_LIFETIME_S + 0.1
    receive_segment(balancer, data(port=40002), known_at)
    agents = {agent for agent, _ in recorder.pop_forwarded_segments()}
    assert agents == set(AGENTS)


def test_services_of_routes_that_came_after_the_first_view_are_searched(recorder):
    """The first view had targets only; other balancers had older routes."""
    balancer = recorder.make(replace(make_view(TARGETS), configuration=0), 1.0)
    known_at = 2.0 + CONNECTION_LIFETIME_S
    depot = change_services(balancer, {"booth-sync": 1.0}, known_at, configuration=1)
    recorder.sent.clear()
    receive_segment(balancer, data(), known_at + 1.0)
    agents = {agent for agent, _ in recorder.pop_forwarded_segments()}
    assert agents == {*AGENTS, depot}


def test_services_of_a_route_that_was_removed_and_returned_are_searched(
    balancer, recorder
):
    change_services(balancer, {"booth-sync": 1.0, "reel-depot": 1.0}, 1.0)
    removed = replace(balancer.view, revision=7, configuration=3, routes_by_address={})
    update_routing(balancer, removed, 2.0)
    change_services(balancer, {"reel-depot": 1.0}, 3.0, configuration=4)
    recorder.sent.clear()
    receive_segment(balancer, data(), 3.1)
    services = {sent.services for _, sent in recorder.pop_forwarded_segments()}
    assert services == {("booth-sync", "reel-depot")}


def test_connection_that_no_target_holds_is_reset(balancer, recorder):
    receive_segment(balancer, data(acknowledgement=77), 1.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
        assert recorder.resets == []
    receive_message(balancer, ConnectionNotHeld(KEY, 77), AGENTS[2], 1.01)
    assert recorder.resets == [(KEY, 77)]


def test_no_reset_while_one_agent_has_not_answered(balancer, recorder):
    """The target of a restarting agent may hold the connection."""
    receive_segment(balancer, data(), 1.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    for step in range(20):
        receive_message(balancer, make_report(), AGENTS[2], 1.0 + step / 10)
        tick(balancer, 1.0 + step / 10)
    assert recorder.resets == []


def test_agent_that_left_holds_up_no_search(balancer, recorder):
    receive_message(balancer, make_report(leaving=True), AGENTS[2], 0.1)
    for step in range(2, 60):
        tick(balancer, step / 10)
    receive_segment(balancer, data(acknowledgement=77), 6.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 6.01)
    assert recorder.resets == []
    tick(balancer, 6.0 + SEARCH_TIMEOUT_S)
    assert recorder.resets == [(KEY, 77)]


def test_search_does_not_wait_for_an_agent_whose_target_has_ended(balancer, recorder):
    """After a loss of power, each search waited 5 s for its restart."""
    report = make_report(leaving=True, target_ended=True)
    receive_message(balancer, report, AGENTS[2], 0.1)
    update_routing(balancer, make_view(TARGETS[:2], revision=6), 0.2)
    receive_segment(balancer, data(acknowledgement=77), 1.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    tick(balancer, 1.01 + ROUND_TRIP_TIMEOUT_S)
    assert recorder.resets == [(KEY, 77)]


def test_search_finds_the_next_target_of_a_host_before_the_view_names_it(
    balancer, recorder
):
    """Another balancer knows the new target and has placed the connection."""
    report = make_report(leaving=True, target_ended=True)
    receive_message(balancer, report, AGENTS[2], 0.9)
    receive_segment(balancer, data(acknowledgement=77), 1.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    receive_message(balancer, HomeFound(KEY, 1000), AGENTS[2], 1.02)
    tick(balancer, 1.01 + ROUND_TRIP_TIMEOUT_S)
    assert recorder.resets == []


def test_connection_of_a_target_that_has_only_closed_its_port_is_not_reset(
    balancer, recorder
):
    """A target that drains closes its port before its last connections."""
    receive_message(balancer, HomeFound(KEY, 1000), AGENTS[0], 0.0)
    report = make_report(leaving=True, target_ended=True)
    receive_message(balancer, report, AGENTS[0], 0.1)
    receive_segment(balancer, data(acknowledgement=77), 0.2)
    receive_segment(balancer, data(port=40002, acknowledgement=77), 0.2)
    key = KEY._replace(caller=CALLER._replace(port=40002))
    for agent in AGENTS[1:]:
        receive_message(balancer, ConnectionNotHeld(key, 77), agent, 0.21)
    tick(balancer, 0.22 + SEARCH_TIMEOUT_S)
    assert recorder.resets == []


@pytest.mark.parametrize("is_known", [False, True])
def test_draining_target_that_left_the_view_may_have_closed_its_port_only(
    recorder, is_known
):
    """Its agent had restarted, and took long requests for its silence."""
    draining = replace(TARGETS[0], state=State.LEAVING)
    balancer = recorder.make(make_view([draining, *TARGETS[1:]]))
    for agent in AGENTS:
        receive_message(balancer, make_report(), agent, 0.0)
    if is_known:
        receive_message(balancer, HomeFound(KEY, 1000), AGENTS[0], 0.5)
    update_routing(balancer, make_view(TARGETS[1:], revision=6), 0.6)
    report = make_report(silent=True, target_ended=True)
    receive_message(balancer, report, AGENTS[0], 1.0)
    receive_segment(balancer, data(acknowledgement=1001), 1.1)
    for agent in AGENTS[1:]:
        receive_message(balancer, ConnectionNotHeld(KEY, 1001), agent, 1.11)
    tick(balancer, 1.12 + SEARCH_TIMEOUT_S)
    assert recorder.resets == []
    report = make_report(silent=True, leaving=True, target_ended=True)
    receive_message(balancer, report, AGENTS[0], 1.6)
    receive_segment(balancer, data(sequence=108, acknowledgement=1001), 1.61)
    tick(balancer, 1.62)
    assert recorder.resets == [(KEY, 1001)]


def test_search_waits_for_the_next_target_of_a_host(balancer, recorder):
    """The end of the target before it was reported, its own start not yet."""
    report = make_report(leaving=True, target_ended=True)
    receive_message(balancer, report, AGENTS[2], 0.1)
    targets = [*TARGETS[:2], replace(TARGETS[2], lifetime=2)]
    update_routing(balancer, make_view(targets, revision=6), 0.5)
    receive_segment(balancer, data(acknowledgement=77), 1.1)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.11)
    assert recorder.resets == []


def test_crashed_agent_holds_up_a_search_for_one_round_trip_only(balancer, recorder):
    """After a loss of power, each lost connection waited 0.4 s for it."""
    for step in range(1, 21):
        tick(balancer, step / 10)
        for agent in AGENTS[:2]:
            receive_message(balancer, make_report(), agent, step / 10)
    receive_segment(balancer, data(acknowledgement=77), 2.0)
    asked = [agent for agent, _ in recorder.pop_forwarded_segments()]
    assert asked == AGENTS
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 2.01)
    assert recorder.resets == []
    tick(balancer, 2.01 + ROUND_TRIP_TIMEOUT_S)
    assert recorder.resets == [(KEY, 77)]


def test_reset_names_why_agents_were_given_up(balancer, recorder):
    """The log showed a reset by time-out like one by denial."""
    for step in range(1, 21):
        tick(balancer, step / 10)
        for agent in AGENTS[:2]:
            receive_message(balancer, make_report(), agent, step / 10)
    receive_segment(balancer, data(), 2.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 2.01)
    tick(balancer, 2.01 + ROUND_TRIP_TIMEOUT_S)
    [fields] = [fields for event, fields in recorder.events if event == "reset"]
    assert fields["denied"] == 2
    assert fields["given_up"] == "crashed:1"


@pytest.mark.parametrize(("delay", "is_logged"), [(0.5, True), (2.5, False)])
def test_answer_of_the_home_after_the_reset_is_logged(
    balancer, recorder, delay, is_logged
):
    """Nothing in the log showed that a connection was reset that lived."""
    receive_segment(balancer, data(), 1.0)
    for agent in AGENTS:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    assert recorder.resets
    receive_message(balancer, HomeFound(KEY, 1000), AGENTS[0], 1.01 + delay)
    events = [event for event, _ in recorder.events]
    assert ("reset-contradicted" in events) is is_logged


@pytest.mark.parametrize(("young", "is_reset"), [(3, False), (4, True)])
def test_agents_of_other_services_hold_up_no_search_after_a_mass_restart(
    recorder, young, is_reset
):
    """After a loss of power, none of them could deny a connection."""
    balancer = recorder.make()
    depot = change_services(balancer, {"booth-sync": 1.0}, 0.0)
    for number, agent in enumerate([depot, *AGENTS]):
        service = "booth-sync" if number else "reel-depot"
        age = 2.0 if number < young else 100.0
        report = make_report(service=service, age=age)
        receive_message(balancer, report, agent, 0.5)
    tick(balancer, 0.6)
    receive_segment(balancer, data(acknowledgement=77), 1.0)
    for agent in AGENTS:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    receive_message(balancer, make_report(service="reel-depot", age=2.5), depot, 1.05)
    assert recorder.resets == []
    tick(balancer, 1.0 + ROUND_TRIP_TIMEOUT_S)
    assert recorder.resets == []
    tick(balancer, 1.02 + ROUND_TRIP_TIMEOUT_S)
    assert recorder.resets == ([(KEY, 77)] if is_reset else [])


@pytest.mark.parametrize(("age", "is_reset"), [(2.0, True), (100.0, False)])
def test_agent_that_is_stopped_holds_up_no_search_after_a_mass_restart(
    balancer, recorder, age, is_reset
):
    """After a loss of power, each search waited 5 s for its return."""
    for agent in AGENTS:
        report = make_report(age=age, leaving=agent == AGENTS[2])
        receive_message(balancer, report, agent, 0.9)
    tick(balancer, 0.95)
    receive_segment(balancer, data(acknowledgement=77), 1.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    tick(balancer, 1.01 + ROUND_TRIP_TIMEOUT_S)
    assert recorder.resets == ([(KEY, 77)] if is_reset else [])


def test_restart_of_all_agents_in_turn_is_no_mass_restart(balancer, recorder):
    """Open connections of the agent that was away were reset after 0.15 s."""
    for number, agent in enumerate(AGENTS):
        leaving = make_report(incarnation=1, age=100.0, leaving=True)
        receive_message(balancer, leaving, agent, 1.0 + number)
        started = make_report(incarnation=2, age=0.1)
        receive_message(balancer, started, agent, 1.5 + number)
    leaving = make_report(incarnation=2, age=0.5, leaving=True)
    receive_message(balancer, leaving, AGENTS[2], 3.9)
    tick(balancer, 3.95)
    receive_segment(balancer, data(acknowledgement=77), 4.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 4.01)
    tick(balancer, 4.01 + ROUND_TRIP_TIMEOUT_S)
    assert recorder.resets == []


def test_search_does_not_reset_the_next_connection_of_its_address(balancer, recorder):
    """Its target has answered the caller; the home's message is on its way."""
    receive_segment(balancer, data(acknowledgement=77), 1.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    receive_segment(balancer, opening(), 1.1)
    receive_message(balancer, ConnectionNotHeld(KEY, 77), AGENTS[2], 1.11)
    tick(balancer, 3.0)
    assert recorder.resets == []


def test_search_is_repeated_although_its_caller_is_silent(balancer, recorder):
    """A query was lost, and the caller's next copy comes after 1.6 s."""
    receive_segment(balancer, data(), 1.0)
    recorder.pop_forwarded_segments()
    receive_message(balancer, ConnectionNotHeld(KEY, 77), AGENTS[0], 1.01)
    tick(balancer, 1.0 + 2 * SEARCH_RETRY_S - 0.01)
    assert recorder.pop_forwarded_segments() == []
    tick(balancer, 1.0 + 2 * SEARCH_RETRY_S)
    agents = [agent for agent, _ in recorder.pop_forwarded_segments()]
    assert agents == AGENTS[1:]
    receive_message(balancer, HomeFound(KEY, 1000), AGENTS[1], 1.4)
    recorder.sent.clear()
    tick(balancer, 3.0)
    assert recorder.pop_forwarded_segments() == []


def test_search_of_a_silent_caller_resets_no_later_connection(balancer, recorder):
    """The caller used its port again, and another balancer placed it."""
    receive_segment(balancer, data(), 1.0)
    for agent in AGENTS[:2]:
        receive_message(balancer, ConnectionNotHeld(KEY, 77), agent, 1.01)
    for step in range(1, 40):
        receive_message(balancer, make_report(), AGENTS[2], 1.0 + step / 10)
        tick(balancer, 1.0 + step / 10)
    recorder.sent.clear()
    tick(balancer, 5.0)
    assert recorder.pop_forwarded_segments() == []
    receive_message(balancer, ConnectionNotHeld(KEY, 77), AGENTS[2], 5.0)
    assert recorder.resets == []
    # It is searched again if the caller has not given up.
    receive_segment(balancer, data(), 5.1)
    agents = [agent for agent, _ in recorder.pop_forwarded_segments()]
    assert agents == AGENTS


def test_search_goes_on_while_its_caller_sends_and_an_agent_keeps_silent(
    balancer, recorder
):
    """The delay overflowed, and then the periodic work failed at each tick."""
    now = 1.0
    for step in range(MANY_QUERIES):
        now += 2 * SEARCH_RETRY_S
        receive_segment(balancer, data(sequence=100 + step), now)
        for agent in AGENTS:
            receive_message(balancer, make_report(), agent, now)
        tick(balancer, now)
    assert balancer.connections_by_key[KEY].search.queries >= MANY_QUERIES
    recorder.sent.clear()
    receive_segment(balancer, data(), now + 2 * SEARCH_RETRY_S)
    assert {agent for agent, _ in recorder.pop_forwarded_segments()} == set(AGENTS)
