"""Measures the cost of membership and the time to suspect lost peers.

Usage: ``python -m bench.membership``.
"""

from random import Random
from time import perf_counter
from tracemalloc import get_traced_memory, start, stop

from bench.routing import print_fit
from lycheeglade.membership import Membership

PEERS = (1000, 4000, 16000, 36000)
CALLS = 200_000
ROUND = 0.1  # virtual seconds between two rounds
TRIALS = 200
PING_BYTES = 60  # one ping with its UDP and IPv4 headers


def measure_memory():
    """Print the memory by number of known peers."""
    print("memory, kilobytes")
    sizes = []
    for count in PEERS:
        peers = list(range(count))
        start()
        membership = Membership(Random(1))
        membership.set_peers(peers)
        sizes.append(get_traced_memory()[0] / 1000)
        stop()
        print(f"  {count:6d} peers {sizes[-1]:9.0f}")
    print_fit("fit", PEERS, sizes, "kB per peer")


def measure_calls():
    """Print the cost of the data path's calls and of an idle round."""
    membership = Membership(Random(1))
    membership.set_peers(range(36000))
    started_at = perf_counter()
    for number in range(CALLS):
        peer = number % 7
        membership.record_sent(peer, number * 1e-6)
        membership.record_received(peer, number * 1e-6)
    cost = (perf_counter() - started_at) / CALLS * 1e6
    print(f"record_sent and record_received: {cost:.2f} us together")
    started_at = perf_counter()
    for _ in range(1000):
        membership.collect_pings(0.2)
        membership.suspects(0.2)
    cost = (perf_counter() - started_at) * 1e3
    print(f"one round with 36000 idle peers: {cost:.2f} us")


def run_loss(peers, lost, seconds, seed, phase=0.0):
    """Simulate lost peers in virtual time.

    Return the time at which each lost peer was suspected, the pings in each
    second, and the CPU share of the rounds.
    """
    membership = Membership(Random(seed))
    membership.set_peers(peers)
    found, pings = {}, []
    cpu_s = 0.0
    for number in range(round(seconds / ROUND)):
        now = phase + number * ROUND
        if number % round(1 / ROUND) == 0:
            pings.append(0)
        for peer in peers:
            membership.record_sent(peer, now)
            if peer not in lost:
                membership.record_received(peer, now)
        round_start = perf_counter()
        due = membership.collect_pings(now)
        for peer in due:
            if peer not in lost:
                membership.record_received(peer, now)
        for peer in membership.suspects(now):
            found.setdefault(peer, now - phase)
        cpu_s += perf_counter() - round_start
        pings[-1] += len(due)
    return found, pings, cpu_s / seconds


def measure_one_loss():
    """Print the time until one lost peer of seven is suspected."""
    times = sorted(
        run_loss(range(7), {3}, 4, seed, phase=seed * 0.013)[0][3]
        for seed in range(TRIALS)
    )
    print(
        f"one of 7 peers lost, {TRIALS} trials: suspected after "
        f"{times[0]:.1f} to {times[-1]:.1f} s, half within {times[TRIALS // 2]:.1f} s"
    )


def measure_zone_loss():
    """Print the time until all peers of a lost zone are suspected."""
    print("1/25 of the peers lost at once, all peers in use")
    for count in PEERS:
        lost = frozenset(range(0, count, 25))
        found, pings, core_share = run_loss(range(count), lost, 30, 1)
        times = sorted(found.values())
        print(
            f"  {count:6d} peers, {len(lost):5d} lost, {len(found):5d} suspected: "
            f"half within {times[len(times) // 2]:5.1f} s, all within "
            f"{times[-1]:5.1f} s; pings {max(pings)} in the busiest second, "
            f"{sum(pings) / len(pings):.0f} per second on average "
            f"({sum(pings) / len(pings) * PING_BYTES / 1000:.1f} kB/s), "
            f"{core_share:.2%} of a core for the rounds"
        )


class Timeout:
    """Baseline that suspects a peer after 1.2 s without an answer."""

    def __init__(self):
        self._waiting = {}

    def set_peers(self, peers):
        """Do nothing; the baseline learns its peers from `record_sent`."""

    def record_sent(self, peer, now):
        """Start the timeout of `peer`, unless it runs already."""
        self._waiting.setdefault(peer, now)

    def record_received(self, peer, now):
        """Cancel the timeout of `peer`."""
        self._waiting.pop(peer, None)

    def collect_pings(self, now):
        """Return no peers; the baseline sends no pings."""
        return []

    def suspects(self, now):
        """Return the peers whose timeout has expired."""
        return frozenset(
            peer for peer, since in self._waiting.items() if now - since >= 1.2
        )


def run_fault(detector, pause=0.0, delay=0.0, is_flapping=False):
    """Return peer-seconds of false suspicion and changes of the suspect set.

    One minute with 7 peers is simulated.
    """
    detector.set_peers(range(7))
    arrivals, before, wrong, changes, now = [], frozenset(), 0.0, 0, 0.0
    for number in range(600):
        now += ROUND
        if number == 100:
            now += pause
        fault = 100 <= number < 400
        unreachable = {3} if is_flapping and fault and number % 40 < 20 else set()
        late = delay if fault else 0.0
        for peer in (peer for at, peer in arrivals if at < now):
            detector.record_received(peer, now)
        arrivals = [item for item in arrivals if item[0] >= now]
        if number == 100 and pause:
            # After the pause the process reads the clock before the packets
            # that arrived during the pause.
            arrivals += [(now, peer) for peer in range(7)]
        for peer in range(7):
            detector.record_sent(peer, now)
        for peer in (*range(7), *detector.collect_pings(now)):
            if peer in unreachable:
                continue
            if late:
                arrivals.append((now + late, peer))
            elif not (pause and number in (99, 100)):
                detector.record_received(peer, now)
        suspects = detector.suspects(now)
        changes += len(before ^ suspects)
        wrong += len(suspects - unreachable) * ROUND
        before = suspects
    return wrong, changes


def measure_faults():
    """Print the false suspicions of membership and of a fixed timeout."""
    print("one minute, 7 peers: peer-seconds of false suspicion, changes")
    faults = {
        "pause of 10 s": {"pause": 10.0},
        "all answers 3 s late for 30 s": {"delay": 3.0},
        "one peer 2 s off, 2 s on for 30 s": {"is_flapping": True},
    }
    for name, fault in faults.items():
        for detector in (Membership(Random(1)), Timeout()):
            wrong, changes = run_fault(detector, **fault)
            label = type(detector).__name__
            print(f"  {name:34} {label:10} {wrong:6.1f} s, {changes:3d} changes")


def main():
    """Print all tables."""
    measure_memory()
    measure_calls()
    measure_one_loss()
    measure_faults()
    measure_zone_loss()


if __name__ == "__main__":
    main()
