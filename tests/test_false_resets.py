"""Open connections whose targets hold them, and what must not reset them.

The balancer and the agents are the real ones. Each test names the condition
under which a balancer took an agent that lives for one that is gone.
"""

from random import Random

import pytest

from lycheeglade.connection_balancer import receive_message
from lycheeglade.relay_message import HomeFound
from tests.connection_fleet import Fleet
from tests.connections import KEY

FAR = 2  # index of an agent in another zone
CALL_INTERVAL_S = 0.04


def call_steadily(fleet, start, end):
    """Let the connection's caller send data from `start` to `end`."""
    for number in range(round((end - start) / CALL_INTERVAL_S)):
        fleet.call(start + number * CALL_INTERVAL_S, sequence=8 + 100 * number)


def hold(fleet, number=FAR, is_known=True):
    """Let a target hold the connection, and its agent and balancer know it."""
    home = fleet.agents[number]
    home.held.add(KEY)
    if is_known:
        receive_message(
            fleet.balancer, HomeFound(KEY, 1000), home.address, fleet.now or 1e-6
        )
    return home


def make_lossy(fleet, share, seed):
    generator = Random(seed)
    fleet.is_lost = lambda source, to: generator.random() < share


@pytest.mark.parametrize("seed", range(5))
def test_late_answers_and_a_few_lost_ones_reset_nothing(seed):
    """The link's queue was half full; one lost answer looked like a crash."""
    fleet = Fleet()
    hold(fleet)
    make_lossy(fleet, 0.03, seed)
    fleet.delay = lambda now: 0.22
    call_steadily(fleet, 1.0, 20.0)
    fleet.run(20.0)
    assert not fleet.is_reset()


@pytest.mark.parametrize("lost_at", [3.0, 3.25, 3.5, 3.75, 4.0])
@pytest.mark.parametrize("is_request", [True, False])
def test_one_lost_datagram_of_a_distant_agent_resets_nothing(lost_at, is_request):
    """Among many balancers, an agent of another zone is heard but rarely."""
    fleet = Fleet()
    home = hold(fleet)
    ends = [fleet.balancer.address, home.address]
    lost = []

    def is_lost(source, to):
        is_chosen = (source, to) == tuple(ends if is_request else ends[::-1])
        if lost or not is_chosen or fleet.now < lost_at:
            return False
        lost.append(fleet.now)
        return True

    fleet.is_lost = is_lost
    for number in range(80):
        # The calls are as rare as those of a feed.
        fleet.call(1.0 + number * 0.1, sequence=8 + 100 * number)
    fleet.run(9.0)
    assert lost
    assert not fleet.is_reset()


@pytest.mark.parametrize("peak", [0.25, 0.5, 0.75])
def test_answers_that_get_late_reset_nothing(peak):
    """The queue of the balancer's link grew, and agents counted as crashed."""
    fleet = Fleet()
    hold(fleet)
    # The delay grows by half of the time that passes.
    fleet.delay = lambda now: min(peak, max(0.005, (now - 3.0) / 2))
    call_steadily(fleet, 1.0, 10.0)
    fleet.run(10.0)
    assert not fleet.is_reset()


@pytest.mark.parametrize("offset", [0.0, 0.1, 0.2, 0.3, 0.4])
@pytest.mark.parametrize("pause", [0.3, 0.45])
def test_short_pause_of_the_balancer_resets_nothing(offset, pause):
    """It read callers' segments before the agents' answers."""
    fleet = Fleet()
    hold(fleet)
    call_steadily(fleet, 1.0, 8.0)
    for cycle in range(4):
        start = 2.0 + offset + cycle * 1.3
        fleet.run(start)
        fleet.paused_until = start + pause
    fleet.run(8.0)
    assert not fleet.is_reset()


@pytest.mark.parametrize("offset", [0.0, 0.25, 0.5, 0.75])
@pytest.mark.parametrize("length", [0.4, 0.8])
def test_short_loss_of_all_datagrams_resets_nothing(offset, length):
    """A link that was full for a moment made all far agents look crashed."""
    fleet = Fleet()
    hold(fleet)
    start = 3.0 + offset
    fleet.is_lost = lambda source, to: start <= fleet.now < start + length
    call_steadily(fleet, 1.0, 6.0)
    fleet.run(6.0)
    assert not fleet.is_reset()


def test_balancer_that_starts_while_an_agent_restarts_resets_nothing():
    """It had not heard that the agent would be back."""
    fleet = Fleet()
    fleet.run(3.0)
    home = hold(fleet, is_known=False)
    home.restart(3.0, seconds=3.0)
    fleet.run(3.1)
    fleet.start_balancer()
    fleet.call(3.2)
    for number in range(1, 6):
        fleet.call(3.2 + number * 0.5)
    fleet.run(5.9)
    assert not fleet.is_reset()
    fleet.run(7.0)
    home_is_found = any(event == "found" for _, event, _ in fleet.logged)
    assert home_is_found


@pytest.mark.parametrize("length", [0.9, 1.1])
def test_agent_that_answers_after_a_second_ends_no_search(length):
    """It was given up after 0.8 s, though it did not count as crashed."""
    fleet = Fleet(agents=8)
    home = hold(fleet, is_known=False)
    fleet.is_lost = lambda source, to: (
        home.address in (source, to) and 3.0 <= fleet.now < 3.0 + length
    )
    for number in range(6):
        fleet.call(3.0 + number * 0.4)
    fleet.run(6.0)
    assert not fleet.is_reset()


def test_target_that_works_on_the_requests_of_a_restarted_agent_is_not_lost():
    """Two requests took over 0.6 s each, and the agent knew neither."""
    fleet = Fleet()
    fleet.run(2.0)
    home = hold(fleet, is_known=False)
    home.held.add(KEY._replace(caller=KEY.caller._replace(port=40002)))
    home.service_time = 2.5
    home.restart(2.0, seconds=1.0)
    for number in range(4):
        fleet.call(3.2 + number * 0.4)
        fleet.call(3.2 + number * 0.4, port=40002)
    fleet.run(8.0)
    assert fleet.resets == []


@pytest.mark.parametrize("interval", [0.2, 0.4])
def test_agents_that_restart_in_turn_reset_nothing(interval):
    """The last ones were given up at once, as after a loss of power."""
    fleet = Fleet()
    fleet.run(2.0)
    home = hold(fleet, number=11, is_known=False)
    for number, agent in enumerate(fleet.agents):
        agent.restart(2.0 + number * interval, seconds=1.2)
    stopped_at = 2.0 + 11 * interval
    for number in range(8):
        fleet.call(stopped_at + 0.1 + number * 0.2)
    fleet.run(stopped_at + 3.0)
    assert not fleet.is_reset()
    assert KEY in home.held


@pytest.mark.parametrize("share", [0.2, 0.4])
@pytest.mark.parametrize("seed", [2, 3])
def test_lost_datagrams_reset_nothing(share, seed):
    """The balancer's link was full; four lost messages were a crash."""
    fleet = Fleet()
    hold(fleet)
    make_lossy(fleet, share, seed)
    call_steadily(fleet, 1.0, 20.0)
    fleet.run(20.0)
    assert not fleet.is_reset()


@pytest.mark.parametrize(("delay", "limit"), [(0.005, 1.4), (0.2, 2.2)])
def test_connection_of_a_crashed_agent_is_still_reset_soon(delay, limit):
    fleet = Fleet()
    home = hold(fleet)
    fleet.delay = lambda now: delay
    call_steadily(fleet, 1.0, 10.0)
    fleet.run(5.0)
    home.stop()
    fleet.run(5.0 + limit)
    assert fleet.is_reset()


def test_search_after_a_loss_of_power_waits_for_no_agent_that_stays_away():
    """The store still names its target, which did not start again."""
    fleet = Fleet()
    fleet.run(3.0)
    for agent in fleet.agents[:-2]:
        agent.start_with_target(3.0)
    for agent in fleet.agents[-2:]:
        agent.stop()
    fleet.start_balancer()
    for number in range(8):
        fleet.call(3.1 + number * 0.2)
    fleet.run(4.0)
    assert fleet.is_reset()


def test_loss_of_power_is_told_once_the_store_names_the_targets_new_starts():
    """Until then, all targets seemed to have outlived their agents.

    The agents kept to this, so that the loss of power was never detected and
    searches waited for the agents that stayed away.
    """
    fleet = Fleet()
    fleet.run(3.0)
    named = [agent.target for agent in fleet.agents]
    for agent in fleet.agents[:-2]:
        agent.start_with_target(3.0)
    for agent in fleet.agents[-2:]:
        agent.stop()
    fleet.start_balancer(named)
    for number in range(12):
        fleet.call(3.1 + number * 0.2)
    fleet.run(3.8)
    fleet.apply_view([agent.target for agent in fleet.agents])
    fleet.run(4.6)
    assert fleet.is_reset()


@pytest.mark.parametrize("agents", [8, 48])
@pytest.mark.parametrize("seed", range(4))
def test_agents_that_restart_in_turn_have_not_lost_power(agents, seed):
    """Balancers that have started meanwhile heard no announcement."""
    generator = Random(seed)
    fleet = Fleet(agents)
    fleet.others = fleet.others[:2]
    detected = []

    def check():
        if fleet.balancer.is_mass_restart:
            detected.append(fleet.now)
        fleet.at(fleet.now + 0.05, check)

    for number, agent in enumerate(fleet.agents):
        at = 1.0 + number // 3 * 0.5
        # The agents are away for so long that as many as possible return at
        # once, or for any time.
        seconds = 2.5 - at % 2.5 if seed % 2 else generator.uniform(0.2, 2.5)
        agent.restart(at, max(0.4, seconds))
    for second in range(2, 10):
        fleet.at(second + generator.random(), fleet.start_balancer)
    fleet.at(0.5, check)
    fleet.run(11.0)
    assert detected == []


def test_connection_of_a_target_that_has_ended_is_reset():
    """Its agent lives, and its entry is still in the store."""
    fleet = Fleet()
    fleet.run(2.0)
    home = hold(fleet, is_known=False)
    home.has_target_ended = True
    for number in range(10):
        fleet.call(2.0 + number * 0.2)
        fleet.call(2.0 + number * 0.2, port=40002)
    fleet.run(3.2)
    assert fleet.is_reset()


def test_balancer_that_is_cut_off_does_not_fill_its_link():
    """It cannot tell a crash, and would ask all agents 20 times a second."""
    fleet = Fleet()
    fleet.run(3.0)
    sent = []
    fleet.is_lost = lambda source, to: (
        source != fleet.balancer.address or sent.append(fleet.now) or True
    )
    fleet.run(10.0)
    late = [at for at in sent if at > 6.0]
    assert len(late) / 4.0 <= 2.0 * len(fleet.agents)


@pytest.mark.parametrize("interval", [0.15, 1.0])
@pytest.mark.parametrize("service_time", [0.02, 1.5])
@pytest.mark.parametrize("seed", range(2))
def test_restarts_of_agents_and_balancers_reset_nothing(interval, service_time, seed):
    """A series at each, at the same time, while datagrams are lost."""
    generator = Random(seed)
    fleet = Fleet(agents=24, seed=seed)
    make_lossy(fleet, 0.05, seed)
    fleet.delay = lambda now: 0.05 * (0.5 + generator.random())
    for number in range(40):
        port = 41000 + number
        home = fleet.agents[number % len(fleet.agents)]
        home.held.add(KEY._replace(caller=KEY.caller._replace(port=port)))
        home.service_time = service_time
        at = 2.0 + generator.uniform(0.0, 3.0)
        while at < 20.0:
            fleet.call(at, port=port, sequence=round(at * 1000))
            at += generator.choice([0.05, 0.2, 0.4, 1.0, 1.6])
    for number, agent in enumerate(generator.sample(fleet.agents, 24)):
        agent.restart(4.0 + number * interval, generator.uniform(0.8, 2.5))
    for at in range(5, 20, 4):
        fleet.at(at, fleet.start_balancer)
    fleet.run(20.0)
    assert fleet.resets == []


@pytest.mark.parametrize("length", [0.1, 0.25])
def test_exit_whose_first_reports_are_lost_is_no_crash(length):
    """The link of the balancer was full while an agent stopped by plan."""
    fleet = Fleet()
    home = hold(fleet)
    call_steadily(fleet, 1.0, 8.0)
    home.restart(3.0, seconds=2.5)
    fleet.is_lost = lambda source, to: 3.0 <= fleet.now < 3.0 + length
    fleet.run(8.0)
    assert not fleet.is_reset()


@pytest.mark.parametrize("seed", range(3))
def test_balancer_that_starts_amid_a_quick_series_of_restarts_resets_nothing(seed):
    """All agents that it heard were new to it, as after a loss of power."""
    generator = Random(seed)
    fleet = Fleet(agents=16, seed=seed)
    for number in range(32):
        port = 41000 + number
        home = fleet.agents[number % len(fleet.agents)]
        home.held.add(KEY._replace(caller=KEY.caller._replace(port=port)))
        at = 2.0 + generator.uniform(0.0, 1.0)
        while at < 10.0:
            fleet.call(at, port=port, sequence=round(at * 1000))
            at += generator.choice([0.05, 0.2, 0.4, 1.0])
    for number, agent in enumerate(fleet.agents):
        agent.restart(3.0 + number * 0.1, seconds=1.0 if number < 14 else 4.0)
    fleet.at(5.0, fleet.start_balancer)
    fleet.run(10.0)
    assert fleet.resets == []


@pytest.mark.parametrize("seconds", [1.5, 4.0])
def test_balancer_that_starts_amid_restarts_resets_no_paused_connection(seconds):
    """It took the agents' restarts for a loss of power (review/3).

    It had not heard that they were planned, and connections that pause do not
    show that the targets have outlived them.
    """
    fleet = Fleet(agents=8)
    fleet.run(3.0)
    home = hold(fleet, number=7, is_known=False)
    for number, agent in enumerate(fleet.agents):
        agent.restart(3.0 + number // 2, seconds if agent is home else 1.5)
    fleet.at(6.4, fleet.start_balancer)
    for number in range(12):
        fleet.call(6.9 + number * 0.4)
    fleet.run(11.0)
    assert not fleet.is_reset()
    assert any(event == "found" for _, event, _ in fleet.logged)
