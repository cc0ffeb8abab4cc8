"""Model of one change that spreads through a fleet, in virtual time."""

from dataclasses import dataclass
from heapq import heappop, heappush
from random import Random

from lycheeglade.watch import PUSH_NEAR_SHARE

ROUND_S = (1.5, 2.5)
# From the news at one process to the news at the peer that it was pushed to:
# a push, and a pull back, each with a new connection.
HOP_S = (0.02, 0.4)
WATCH_S = (0.01, 0.3)
TIMEOUT_S = 1.0
LIMIT_S = 120.0
BALANCERS_IN = 12


@dataclass(frozen=True, slots=True)
class Fleet:
    """Sizes of the fleet and the share of dead peers.

    Attributes
    ----------
    known_dead : bool
        Whether the dead were silent for so long that nobody counts them among
        the peers heard lately, to which pushes go first. Otherwise all of them
        die just before the change.
    """

    processes: int
    zones: int
    fanout: int
    first: int
    dead: float
    known_dead: bool = False


@dataclass(frozen=True, slots=True)
class Spread:
    """Seconds until half, 99% and all processes know, and messages sent."""

    half: float
    most: float
    all: float
    messages: float


def spread_times(fleet: Fleet, seed: int) -> Spread:
    """Return how a change spreads from the first processes that read it."""
    random = Random(seed)
    dead_pushed = 0.0 if fleet.known_dead else fleet.dead
    learnt: dict[int, float] = {}
    messages = 0
    events: list[tuple[float, int, bool]] = []
    for process in random.sample(range(fleet.processes), fleet.first):
        heappush(events, (random.uniform(*WATCH_S), process, True))
    for process in range(fleet.processes):
        heappush(events, (random.uniform(0.0, ROUND_S[1]), process, False))
    while events and len(learnt) < fleet.processes:
        now, process, is_news = heappop(events)
        if now > LIMIT_S or process in learnt:
            continue
        if is_news:
            learnt[process] = now
            for _ in range(fleet.fanout):
                messages += 2
                at = now + random.uniform(*HOP_S)
                if random.random() < dead_pushed:
                    messages += 2
                    at += TIMEOUT_S
                    if random.random() < dead_pushed:
                        continue
                peer = _choose_peer(fleet, process, random, PUSH_NEAR_SHARE)
                heappush(events, (at, peer, True))
            continue
        messages += 2
        hop = random.uniform(*HOP_S)
        if random.random() < fleet.dead:
            hop += TIMEOUT_S
        if learnt.get(_choose_peer(fleet, process, random), now) < now:
            heappush(events, (now + hop, process, True))
        heappush(events, (now + random.uniform(*ROUND_S), process, False))
    times = sorted(learnt.values())
    return Spread(
        times[len(times) // 2],
        times[int(len(times) * 0.99)],
        times[-1] if len(times) == fleet.processes else float("inf"),
        messages / fleet.processes,
    )


def _choose_peer(
    fleet: Fleet, process: int, random: Random, near_share: float = 0.5
) -> int:
    """Return one of the own zone, or a balancer of any zone."""
    if random.random() < near_share:
        zone = process % fleet.zones
        return zone + fleet.zones * random.randrange(fleet.processes // fleet.zones)
    balancer = random.randrange(max(1, fleet.processes // BALANCERS_IN))
    return balancer * BALANCERS_IN
