"""Simulates the spread of one change through a fleet by gossip."""

from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from lycheeglade.watch import PUSH_NEAR_SHARE

ROUND_S = (1.5, 2.5)
# Time for a change to pass from one process to a peer: a push and the peer's
# pull, each with a new connection.
HOP_S = (0.02, 0.4)
WATCH_S = (0.01, 0.3)
TIMEOUT_S = 1.0
LIMIT_S = 120.0
PROCESSES_PER_BALANCER = 12


@dataclass(frozen=True, slots=True)
class Fleet:
    """Size of the fleet and the share of failed peers.

    Attributes
    ----------
    known_failed : bool
        Whether the failed peers have been silent for so long that they are no
        longer among the recently heard peers, which are pushed to first.
        Otherwise all of them fail just before the change.
    """

    processes: int
    zones: int
    fanout: int
    first_readers: int
    failed_share: float
    known_failed: bool = False


@dataclass(frozen=True, slots=True)
class Spread:
    """Seconds until 50%, 99% and all processes know; messages per process."""

    p50: float
    p99: float
    all: float
    messages: float


def spread_times(fleet: Fleet, seed: int) -> Spread:
    """Return the spread of a change that `first_readers` processes read."""
    random = Random(seed)
    failed_push_share = 0.0 if fleet.known_failed else fleet.failed_share
    informed_at: dict[int, float] = {}
    messages = 0
    events: list[tuple[float, int, bool]] = []
    for process in random.sample(range(fleet.processes), fleet.first_readers):
        heappush(events, (random.uniform(*WATCH_S), process, True))
    for process in range(fleet.processes):
        heappush(events, (random.uniform(0.0, ROUND_S[1]), process, False))
    while events and len(informed_at) < fleet.processes:
        now, process, is_update = heappop(events)
        if now > LIMIT_S or process in informed_at:
            continue
        if is_update:
            informed_at[process] = now
            for _ in range(fleet.fanout):
                messages += 2
                at = now + random.uniform(*HOP_S)
                if random.random() < failed_push_share:
                    messages += 2
                    at += TIMEOUT_S
                    if random.random() < failed_push_share:
                        continue
                peer = _choose_peer(fleet, process, random, PUSH_NEAR_SHARE)
                heappush(events, (at, peer, True))
            continue
        messages += 2
        hop = random.uniform(*HOP_S)
        if random.random() < fleet.failed_share:
            hop += TIMEOUT_S
        if informed_at.get(_choose_peer(fleet, process, random), now) < now:
            heappush(events, (now + hop, process, True))
        heappush(events, (now + random.uniform(*ROUND_S), process, False))
    times = sorted(informed_at.values())
    return Spread(
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
        times[-1] if len(times) == fleet.processes else float("inf"),
        messages / fleet.processes,
    )


def _choose_peer(
    fleet: Fleet, process: int, random: Random, near_share: float = 0.5
) -> int:
    """Return a process of the same zone, or a balancer of any zone."""
    if random.random() < near_share:
        zone = process % fleet.zones
        return zone + fleet.zones * random.randrange(fleet.processes // fleet.zones)
    balancer = random.randrange(max(1, fleet.processes // PROCESSES_PER_BALANCER))
    return balancer * PROCESSES_PER_BALANCER
