"""Chooses which processes read the platform, how often, and their peers."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from random import Random

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address, Zone
from lycheeglade.retry import compute_ceiling
from lycheeglade.settings import Settings
from lycheeglade.view import Host, Role, State, View

# Processes of all zones together that hold a long poll on the platform.
WATCHERS = 50
MIN_WATCHERS_PER_ZONE = 2
# Seconds without confirmation by the platform after which the number of
# watchers doubles.
WATCHER_DOUBLING_S = 20.0
MAX_DOUBLINGS = 20
# Platform reads per second that the retries of all hosts except the regular
# watchers share.
RETRIES_PER_S = 500.0
BASE_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 3.0
# Seconds for which a view is fresh after the last request for a newer one. A
# longer gap between requests means that the process was paused.
VIEW_FRESH_S = 6.0
READS_PER_S = 20.0
READ_BURST = 40.0
# Seconds after an answer during which a peer gets new revisions before others.
RESPONSIVE_S = 60.0
MAX_RESPONSIVE = 256
# Agents get new revisions from their own zone only, balancers from all zones.
PUSH_NEAR_SHARE = 5 / 6


def is_view_fresh(checked_at: float, now: float) -> bool:
    """Return whether this process has recently requested a newer view.

    After a pause of the process the result is False until it has sent requests
    to peers or the platform again. Until then it must not decide anything that
    a newer view may forbid.

    Parameters
    ----------
    checked_at : float
        Monotonic seconds, the blackboard's ``checked_at``.
    now : float
        Monotonic seconds, read after the process has resumed.
    """
    return now - checked_at < VIEW_FRESH_S


class ReadBudget:
    """Token bucket that limits the platform reads of one process.

    Parameters
    ----------
    rate : float
        Reads per second.
    burst : float
        Reads that may follow immediately after an idle period.
    """

    def __init__(self, rate: float = READS_PER_S, burst: float = READ_BURST):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._filled_at: float | None = None

    def reserve(self, now: float) -> float:
        """Reserve one read and return the seconds to wait before it."""
        if self._filled_at is not None:
            gained = max(0.0, now - self._filled_at) * self._rate
            self._tokens = min(self._burst, self._tokens + gained)
        self._filled_at = now
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self._rate)


@dataclass(frozen=True, slots=True)
class Rank:
    """Rank of a host among those that may watch the platform.

    Attributes
    ----------
    position : int
        Position among the live hosts of the zone, from zero.
    zones : int
        Number of zones that have hosts.
    hosts : int
        Number of hosts in all zones.
    """

    position: int = 0
    zones: int = 1
    hosts: int = 1


def rank_watcher(host_id: str, zone: Zone, hosts_by_id: Mapping[str, Host]) -> Rank:
    """Return the rank of a host.

    Hosts are ordered by a hash of their names (rendezvous hashing), so that
    each process with the same list computes the same order. A host that isn't
    listed gets the rank that it would have in the list.
    """
    own = _hash_watcher(host_id)
    position = sum(
        host.zone == zone
        and host.state is State.LIVE
        and _hash_watcher(host.host_id) < own
        for host in hosts_by_id.values()
    )
    zones = {zone, *(host.zone for host in hosts_by_id.values())}
    return Rank(position, len(zones), max(1, len(hosts_by_id)))


def is_watcher(rank: Rank, confirmation_age: float) -> bool:
    """Return whether the host with `rank` watches the platform.

    Parameters
    ----------
    confirmation_age : float
        Seconds since the platform last confirmed the snapshot, to this process
        or to a peer.
    """
    per_zone = max(MIN_WATCHERS_PER_ZONE, WATCHERS // rank.zones)
    doublings = min(MAX_DOUBLINGS, max(0, int(confirmation_age / WATCHER_DOUBLING_S)))
    return rank.position < per_zone * 2**doublings


def retry_delay(failures: int, rank: Rank, random: Random) -> float:
    """Return the seconds to wait after a failed read, with full jitter.

    The regular watchers retry within `MAX_RETRY_DELAY_S` seconds. All other
    hosts share a rate of `RETRIES_PER_S`, however many they are.

    Parameters
    ----------
    failures : int
        Number of consecutive failed reads.
    """
    ceiling = compute_ceiling(failures, BASE_RETRY_DELAY_S, MAX_RETRY_DELAY_S)
    if not is_watcher(rank, 0.0):
        ceiling = max(MAX_RETRY_DELAY_S, 2 * rank.hosts / RETRIES_PER_S)
    return random.uniform(0.1 * ceiling, ceiling)


@dataclass(frozen=True, slots=True)
class Peers:
    """Control addresses of the peers of one process.

    Attributes
    ----------
    near : tuple of Address
        All other processes of its zone.
    far : tuple of Address
        Balancers of the other zones, and the seeds of the settings.
    """

    near: tuple[Address, ...]
    far: tuple[Address, ...]

    def knows(self, address: Address) -> bool:
        """Return whether `address` is one of the peers."""
        return address in self.near or address in self.far


def list_peers(settings: Settings, view: View) -> Peers:
    """Return the peers of the process with `settings`."""
    near, far = set(), set(settings.seeds)
    for host in view.hosts_by_id.values():
        if host.zone == settings.zone:
            near.add(host.control)
        elif host.role is Role.BALANCER:
            far.add(host.control)
    own = {settings.control}
    return Peers(tuple(sorted(near - own)), tuple(sorted(far - near - own)))


def choose_peers(
    peers: Peers, count: int, random: Random, near_share: float = 0.5
) -> list[Address]:
    """Return up to `count` random peers, `near_share` of them near ones."""
    wanted = int(count * near_share + random.random())
    from_near = min(len(peers.near), max(wanted, count - len(peers.far)))
    from_far = min(len(peers.far), count - from_near)
    chosen = random.sample(peers.near, from_near)
    chosen += random.sample(peers.far, from_far)
    random.shuffle(chosen)
    return chosen


def choose_responsive_peers(
    peers: Peers, responsive: Collection[Address], count: int, random: Random
) -> list[Address]:
    """Return up to `count` random peers, those in `responsive` first.

    The share of near peers is `PUSH_NEAR_SHARE`, as far as possible.
    """
    near = tuple(address for address in peers.near if address in responsive)
    far = tuple(address for address in peers.far if address in responsive)
    chosen = choose_peers(Peers(near, far), count, random, PUSH_NEAR_SHARE)
    others = choose_peers(peers, count, random, PUSH_NEAR_SHARE)
    chosen += [address for address in others if address not in chosen]
    return chosen[:count]


class ResponsivePeers:
    """Peers that have recently answered a request of this process.

    Above `MAX_RESPONSIVE` peers the one with the oldest answer is discarded.
    """

    def __init__(self):
        self._answered_at: dict[Address, float] = {}

    def record_answer(self, peer: Address, now: float) -> None:
        """Record an answer of `peer`."""
        self._answered_at.pop(peer, None)
        self._answered_at[peer] = now
        if len(self._answered_at) > MAX_RESPONSIVE:
            del self._answered_at[next(iter(self._answered_at))]

    def discard(self, peer: Address) -> None:
        """Discard `peer`, since it did not answer."""
        self._answered_at.pop(peer, None)

    def list_recent(self, now: float) -> set[Address]:
        """Return the peers whose last answer is newer than `RESPONSIVE_S`."""
        return {
            peer for peer, at in self._answered_at.items() if now - at < RESPONSIVE_S
        }


def _hash_watcher(host_id: str) -> int:
    return xxh3_64_intdigest(f"watch\0{host_id}".encode())
