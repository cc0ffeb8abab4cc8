from dataclasses import replace
from random import Random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lycheeglade.address import Address
from lycheeglade.membership import (
    ANSWER_TIMEOUT,
    MAX_HOLD_DOWN,
    PAUSE_THRESHOLD,
    WITNESSES,
    Membership,
    find_suspected_targets,
)
from tests.conftest import make_machine_settings
from tests.test_routing import ZONES, make_service, make_target

TICK = 0.1  # seconds between rounds
PEERS = tuple(f"agent-{number}" for number in range(7))


class Network:
    """Simulated process that sends to peers, some of which don't answer."""

    def __init__(self, peers=PEERS):
        self.now = 100.0
        self.membership = Membership(Random(1))
        self.membership.set_peers(peers)
        self.peers = peers
        self.silent = set()
        self.pings = 0

    def run(self, seconds, sends_to=None):
        """Run rounds for `seconds` and return the suspects of each round."""
        rounds = []
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for peer in self.peers if sends_to is None else sends_to:
                self.membership.record_sent(peer, self.now)
                self._answer(peer)
            for peer in self.membership.collect_pings(self.now):
                self.pings += 1
                self._answer(peer)
            rounds.append(self.membership.suspects(self.now))
        return rounds

    def _answer(self, peer):
        if peer not in self.silent:
            self.membership.record_received(peer, self.now + TICK / 100)


def test_a_dead_peer_is_suspected_in_time_and_trusted_when_back():
    network = Network()
    assert not any(network.run(5))
    assert network.pings == 0
    network.silent = {"agent-3"}
    assert network.run(1.6)[-1] == {"agent-3"}
    network.silent = set()
    assert network.run(2.5)[-1] == frozenset()


def test_a_peer_that_is_the_only_one_in_use_is_suspected_by_witnesses():
    network = Network()
    network.silent = {"agent-3"}
    assert network.run(1.6, sends_to=["agent-3"])[-1] == {"agent-3"}


def test_nobody_is_suspected_when_all_are_late_at_once():
    network = Network()
    network.run(1)
    network.silent = set(PEERS)
    assert not any(network.run(60))
    network.silent = {"agent-3"}
    assert network.run(2)[-1] == {"agent-3"}


@pytest.mark.parametrize("pause", [2.5, 10.0, 300.0])
def test_a_pause_of_this_process_makes_no_suspects(pause):
    network = Network()
    network.run(1)
    for peer in PEERS:
        network.membership.record_sent(peer, network.now)
    network.now += pause
    assert network.membership.suspects(network.now) == frozenset()
    assert not any(network.run(5))


def test_a_peer_whose_packets_arrive_but_that_misses_ours_is_suspected():
    network = Network()
    network.silent = {"agent-3"}
    for _ in range(20):
        network.run(TICK)
        network.membership.record_received("agent-3", network.now, answers=False)
    assert network.membership.suspects(network.now) == {"agent-3"}


def test_a_flapping_peer_has_to_answer_longer_each_time():
    network = Network()
    holds = []
    for _ in range(5):
        network.silent = {"agent-3"}
        assert network.run(4)[-1] == {"agent-3"}
        network.silent = set()
        holds.append(sum(1 for suspects in network.run(35) if suspects) * TICK)
        assert network.membership.suspects(network.now) == frozenset()
    assert holds[0] < 2.6
    assert holds[3] > 8.0


def test_more_than_half_of_a_service_is_suspected_only_after_long_silence():
    targets = [
        replace(make_target(f"t{n}"), agent=Address("127.2.0.1", 7100 + n))
        for n in range(5)
    ]
    service = make_service(*targets)
    agents = [target.agent for target in targets]
    assert find_suspected_targets(service, set(agents[:2])) == {"t0", "t1"}
    assert find_suspected_targets(service, set(agents[:3])) == frozenset()
    assert find_suspected_targets(service, set(agents[:3]), {agents[0]}) == {"t0"}
    assert find_suspected_targets(service, set(agents), set(agents)) == frozenset()


SAFE_AFTER = 2.0  # seconds after which a reachable peer can't become suspected
DETECTION_LIMIT = 4.0  # seconds within which an unreachable peer is suspected
# Seconds after which no reachable peer is suspected any more.
RECOVERY_LIMIT = MAX_HOLD_DOWN + 5.0
PEER = st.sampled_from(PEERS)
SERVICE = make_service(
    *(
        replace(make_target(peer), agent=peer, zone=ZONES[number % 2])
        for number, peer in enumerate(PEERS)
    )
)


class Link:
    """Simulated path in both directions between this process and one peer."""

    def __init__(self, now):
        self.cut_out = False
        self.cut_in = False
        self.paused = False
        self.is_mute = False
        self.delay = 0.0
        self.answers = []
        self.queued = 0
        self.reachable_since = now
        self.unreachable_since = None
        self.answered_at = now

    @property
    def is_reachable(self):
        return not (self.cut_out or self.cut_in or self.paused or self.delay)

    def update_reachability(self, now):
        if not self.is_reachable:
            self.reachable_since = None
        elif self.reachable_since is None:
            self.reachable_since = now
        if not (self.cut_out or self.cut_in or self.paused):
            self.unreachable_since = None
        elif self.unreachable_since is None:
            self.unreachable_since = now

    def transmit(self, now, ping=False):
        if self.cut_out or (self.is_mute and not ping):
            return
        if self.paused:
            self.queued += 1
            return
        self.answers.append(now + self.delay)

    def resume(self, now):
        self.paused = False
        self.answers += [now] * self.queued
        self.queued = 0


class MembershipMachine(RuleBasedStateMachine):
    """Faults on the links of one process that sends to all of its peers."""

    def __init__(self):
        super().__init__()
        self.now = 100.0
        self.awake_since = self.now
        self.membership = Membership(Random(1))
        self.membership.set_peers(PEERS)
        self.links = {peer: Link(self.now) for peer in PEERS}
        self.sends_to = PEERS
        self.sends_since = self.now
        self.suspects = frozenset()
        self.pinged_at = {}

    @rule(peer=PEER, way=st.sampled_from(["cut_out", "cut_in", "paused"]))
    def cut(self, peer, way):
        setattr(self.links[peer], way, True)
        self.links[peer].update_reachability(self.now)

    @rule(number=st.integers(0, 1))
    def lose_zone(self, number):
        for link in list(self.links.values())[number::2]:
            link.cut_out = link.cut_in = True
            link.update_reachability(self.now)

    @rule(delay=st.sampled_from([0.0, 1.0, 3.0, 20.0]))
    def delay_all(self, delay):
        for link in self.links.values():
            link.delay = delay
            link.update_reachability(self.now)

    @rule(peer=PEER, delay=st.sampled_from([0.3, 0.9, 5.0]))
    def delay(self, peer, delay):
        self.links[peer].delay = delay
        self.links[peer].update_reachability(self.now)

    @rule(peers=st.one_of(st.just(PEERS), st.lists(PEER, min_size=1)))
    def heal(self, peers):
        for link in (self.links[peer] for peer in peers):
            link.resume(self.now)
            link.cut_out = link.cut_in = False
            link.delay = 0.0
            link.update_reachability(self.now)

    @rule(peer=PEER, is_mute=st.booleans())
    def answer_only_pings(self, peer, is_mute):
        self.links[peer].is_mute = is_mute

    @rule()
    def settle(self):
        for peer in PEERS:
            self.answer_only_pings(peer, False)
        self.heal(PEERS)
        self.advance(RECOVERY_LIMIT + 1.0)

    @rule(peer=PEER, times=st.integers(1, 4))
    def flap(self, peer, times):
        for _ in range(times):
            self.cut(peer, "cut_out")
            self.advance(3.0)
            self.heal([peer])
            self.advance(1.0)

    @rule(pause=st.sampled_from([0.5, 1.9, 2.1, 60.0]))
    def sleep(self, pause):
        self.now += pause
        self.awake_since = self.now
        if pause > PAUSE_THRESHOLD:
            self.suspects = self.membership.suspects(self.now)
            assert self.suspects == frozenset()

    @rule(peers=st.one_of(st.just(PEERS), st.tuples(PEER)))
    def send_to(self, peers):
        self.sends_to = peers
        self.sends_since = self.now

    @rule(seconds=st.sampled_from([0.1, 0.7, 1.5, 5.0, 40.0]))
    def advance(self, seconds):
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            self._run_round()

    @invariant()
    def floor_holds(self):
        confirmed = self.membership.confirmed_suspects(self.now)
        assert confirmed <= self.suspects
        suspected = find_suspected_targets(SERVICE, self.suspects, confirmed)
        assert len(suspected) <= len(PEERS) // 2 or suspected <= confirmed
        assert len(suspected) < len(PEERS)

    def _run_round(self):
        for peer, link in self.links.items():
            due = [moment for moment in link.answers if moment <= self.now]
            link.answers = [moment for moment in link.answers if moment > self.now]
            if link.cut_in or link.paused:
                continue
            if due:
                link.answered_at = self.now
                self.membership.record_received(peer, self.now)
            self.membership.record_received(peer, self.now, answers=False)
        for peer in self.sends_to:
            self.membership.record_sent(peer, self.now)
            self.links[peer].transmit(self.now)
        pings = self.membership.collect_pings(self.now)
        for peer in pings:
            self.links[peer].transmit(self.now, ping=True)
        before = self.suspects
        self.suspects = self.membership.suspects(self.now)
        self._check_safety(self.suspects - before)
        self._check_detection()
        self._check_idle(pings)

    def _check_safety(self, added):
        for peer in added:
            since = self.links[peer].reachable_since
            assert since is None or self.now - since < SAFE_AFTER
            others = [link for name, link in self.links.items() if name != peer]
            witnessed = max(link.answered_at for link in others)
            assert witnessed - self.links[peer].answered_at >= ANSWER_TIMEOUT - TICK

    def _check_detection(self):
        for peer in self.sends_to:
            link = self.links[peer]
            if link.unreachable_since is None:
                continue
            overdue_since = max(
                link.unreachable_since,
                link.answered_at,
                self.sends_since,
                self.awake_since,
            )
            witnessed = any(
                other.reachable_since is not None
                and other.reachable_since <= overdue_since
                for other in self.links.values()
            )
            if witnessed and self.now - overdue_since > DETECTION_LIMIT:
                assert peer in self.suspects

    def _check_idle(self, pings):
        since = [link.reachable_since for link in self.links.values()]
        if None not in since and self.now - max(since) > RECOVERY_LIMIT:
            assert self.suspects == frozenset()
            for peer in pings:
                assert self.links[peer].is_mute
                assert self.now - self.pinged_at.get(peer, 0.0) >= ANSWER_TIMEOUT - TICK
        self.pinged_at.update(dict.fromkeys(pings, self.now))


TestMembershipMachine = MembershipMachine.TestCase
TestMembershipMachine.settings = make_machine_settings(max_examples=60, steps=20)


class FirstItemsRandom(Random):
    """Generator whose samples are the first items of the population."""

    def sample(self, population, k):
        return population[:k]


def test_order_of_pings_does_not_depend_on_the_order_of_a_set():
    peers = [f"127.2.{number % 7}.{number}" for number in range(40)]
    membership = Membership(FirstItemsRandom(1))
    membership.set_peers(frozenset(peers))
    membership.record_sent("127.9.0.1", 0.0)
    pinged = membership.collect_pings(ANSWER_TIMEOUT)
    assert sorted(pinged) == sorted([*sorted(peers)[:WITNESSES], "127.9.0.1"])
