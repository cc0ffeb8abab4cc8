"""Placement of new flows and of single requests on targets.

An agent knows the current load of its own target. It learns the load of its
peers from delegations and their replies, which carry the sender's busy share,
so load exchange needs no extra messages.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from lycheeglade.admission import Load

MAX_DELEGATIONS = 4
BUSY_MARGIN = 0.02
DELEGATION_COST_S = 0.005
PEER_LOAD_LIFETIME_S = 30.0
OFFERS_PER_REQUEST = 4.0
OFFER_BURST = 50.0
REOFFER_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Accept:
    """The flow opens at this target."""


@dataclass(frozen=True, slots=True)
class ForwardTo:
    """The flow is forwarded to the candidate at `index`."""

    index: int


@dataclass(frozen=True, slots=True)
class RunHere:
    """The request runs in a free slot of this target."""


@dataclass(frozen=True, slots=True)
class QueueHere:
    """The request is queued at this target, or refused by its admission."""


@dataclass(frozen=True, slots=True)
class DelegateTo:
    """The request is offered to a peer, which runs it or returns it."""

    target_id: str


ACCEPT = Accept()
RUN_HERE = RunHere()
QUEUE_HERE = QueueHere()


class PeerLoads:
    """Busy shares that peers reported recently, one entry per peer.

    Parameters
    ----------
    prior : float
        Busy share assumed of a peer without a recent report.
    """

    def __init__(self, prior: float = 0.0):
        self._prior = prior
        self._busy_by_id: dict[str, tuple[float, float]] = {}

    def record(self, target_id: str, busy: float, now: float) -> None:
        """Store the busy share that a peer reported."""
        self._busy_by_id[target_id] = (busy, now)

    def retain(self, target_ids: Sequence[str]) -> None:
        """Remove all peers except the given ones."""
        kept = set(target_ids)
        for target_id in list(self._busy_by_id):
            if target_id not in kept:
                del self._busy_by_id[target_id]

    def busy(self, target_id: str, now: float) -> float | None:
        """Return the busy share of a peer, or None if it is unknown or old."""
        busy, noted_at = self._busy_by_id.get(target_id, (self._prior, None))
        if noted_at is None or now - noted_at > PEER_LOAD_LIFETIME_S:
            return None
        return busy

    def mean(self, own_busy: float, now: float) -> float:
        """Return the mean busy share of this target and the known peers."""
        known = [
            busy
            for busy, noted_at in self._busy_by_id.values()
            if now - noted_at <= PEER_LOAD_LIFETIME_S
        ]
        return (own_busy + sum(known)) / (1 + len(known))


def place_request(
    load: Load,
    peer_ids: Sequence[str],
    peer_loads: PeerLoads,
    delegations: int,
    now: float,
    generator: Random,
) -> RunHere | QueueHere | DelegateTo:
    """Decide at the flow's home where a request runs.

    A request is delegated if no slot is free at the home, or if the home is
    busier than the mean of the known targets. It stays if both the service
    time and the wait are shorter than the round trip to a peer, or after
    `MAX_DELEGATIONS` peers returned it.

    Parameters
    ----------
    peer_ids : sequence of str
        Permitted live peers that have not returned the request.
    delegations : int
        Number of peers that have returned it.
    """
    is_free = load.free_slots > 0
    here = RUN_HERE if is_free else QUEUE_HERE
    if not peer_ids or delegations >= MAX_DELEGATIONS:
        return here
    if max(load.service_time, load.wait_estimate) < DELEGATION_COST_S:
        return here
    mean = peer_loads.mean(load.busy, now)
    if is_free and load.busy <= mean + BUSY_MARGIN:
        return here
    return DelegateTo(_choose_peer(peer_ids, peer_loads, now, generator))


def accept_delegated(load: Load, home_busy: float, home_is_full: bool) -> bool:
    """Return whether a peer's request runs here at once.

    It does if a slot is free here, and either the request's home has no free
    slot or this target is less busy than the home.
    """
    if load.free_slots == 0:
        return False
    return home_is_full or load.busy + BUSY_MARGIN < home_busy


def place_flow(
    load: Load,
    hops: int,
    candidate_ids: Sequence[str],
    peer_loads: PeerLoads,
    now: float,
) -> Accept | ForwardTo:
    """Decide whether a new flow opens here or is forwarded to a candidate.

    A flow is forwarded at most once because of load, to the least busy
    candidate known. A target that cannot accept the flow at all forwards it
    to the next candidate, until all candidates have been asked.
    """
    following = candidate_ids[hops + 1 :]
    if load.draining or load.flows >= load.connections:
        return ForwardTo(hops + 1) if following else ACCEPT
    if hops > 0 or not following:
        return ACCEPT
    known = [
        (busy, index)
        for index, target_id in enumerate(candidate_ids)
        if index > hops and (busy := peer_loads.busy(target_id, now)) is not None
    ]
    if not known:
        return ACCEPT
    busy, index = min(known)
    return ForwardTo(index) if busy + BUSY_MARGIN < load.busy else ACCEPT


def _choose_peer(peer_ids, peer_loads, now, generator) -> str:
    # Choose the better of two random peers: if all homes chose the least busy
    # peer, they would ask the same peer at once.
    pair = generator.sample(peer_ids, min(2, len(peer_ids)))
    return min(pair, key=lambda peer_id: peer_loads.busy(peer_id, now) or 0.0)
