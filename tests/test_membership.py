from dataclasses import replace
from random import Random

import pytest

from lycheeglade.address import Address
from lycheeglade.membership import Membership, suspected_targets
from tests.test_routing import make_service, make_target

TICK = 0.1  # seconds between two rounds
PEERS = tuple(f"agent-{number}" for number in range(7))


class Network:
    """A process that sends to its peers, some of which don't answer."""

    def __init__(self, peers=PEERS):
        self.now = 100.0
        self.membership = Membership(Random(1))
        self.membership.watch(peers)
        self.peers = peers
        self.silent = set()
        self.pings = 0

    def run(self, seconds, sends_to=None):
        """Return the suspects of each round."""
        rounds = []
        for _ in range(round(seconds / TICK)):
            self.now += TICK
            for peer in self.peers if sends_to is None else sends_to:
                self.membership.note_sent(peer, self.now)
                self._answer(peer)
            for peer in self.membership.collect_pings(self.now):
                self.pings += 1
                self._answer(peer)
            rounds.append(self.membership.suspects(self.now))
        return rounds

    def _answer(self, peer):
        if peer not in self.silent:
            self.membership.note_heard(peer, self.now + TICK / 100)


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
        network.membership.note_sent(peer, network.now)
    network.now += pause
    assert network.membership.suspects(network.now) == frozenset()
    assert not any(network.run(5))


def test_a_peer_whose_packets_arrive_but_that_misses_ours_is_suspected():
    network = Network()
    network.silent = {"agent-3"}
    for _ in range(20):
        network.run(TICK)
        network.membership.note_heard("agent-3", network.now, answers=False)
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
    assert suspected_targets(service, set(agents[:2])) == {"t0", "t1"}
    assert suspected_targets(service, set(agents[:3])) == frozenset()
    assert suspected_targets(service, set(agents[:3]), {agents[0]}) == {"t0"}
    assert suspected_targets(service, set(agents), set(agents)) == frozenset()
