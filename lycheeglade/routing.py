"""Selection of the candidate targets of a flow.

Every balancer ranks targets by weighted rendezvous hashing, a pure function of
the flow's bucket, the service and the suspected targets. Balancers with the
same view and the same suspects therefore choose the same candidates.
"""

from collections.abc import Set
from dataclasses import dataclass
from enum import StrEnum
from itertools import count
from math import inf, log

from xxhash import xxh3_64_intdigest

from lycheeglade.view import Service, State, Target

BUCKETS_PER_SERVICE = 65536
MAX_CANDIDATES = 4
MAX_PREPARED_SERVICES = 4096
HASH_SCALE = 2.0**-64
NO_SUSPECTS: frozenset[str] = frozenset()


class Exclusion(StrEnum):
    """Reason why a target is not among the candidates of a flow."""

    FORBIDDEN = "its zone is not among the service's places"
    LEAVING = "it is leaving"
    WEIGHTLESS = "its weight is not above zero"
    SUSPECTED = "its agent is suspected to be dead"
    OUTRANKED = "other targets rank higher for this flow"


@dataclass(frozen=True, slots=True)
class ExcludedTarget:
    """A target that is not a candidate of a flow, with the reason."""

    target: Target
    exclusion: Exclusion


def bucket_of(flow_hash: int) -> int:
    """Return the flow's bucket, the part of its hash used for ranking."""
    return flow_hash % BUCKETS_PER_SERVICE


def exclusion_of(service: Service, target: Target) -> Exclusion | None:
    """Return why `target` is not eligible for `service`, or None if it is."""
    if not service.permits(target.zone):
        return Exclusion.FORBIDDEN
    if target.state is not State.LIVE:
        return Exclusion.LEAVING
    if not target.weight > 0:
        return Exclusion.WEIGHTLESS
    return None


def eligible_targets(service: Service) -> tuple[Target, ...]:
    """Return the live, weighted targets in permitted zones, sorted by id."""
    return tuple(
        target
        for _, target in sorted(service.targets_by_id.items())
        if exclusion_of(service, target) is None
    )


def rank_targets(
    service: Service,
    flow_hash: int,
    *,
    suspects: Set[str] = NO_SUSPECTS,
    limit: int = MAX_CANDIDATES,
) -> tuple[Target, ...]:
    """Return the candidate targets of a flow, best first.

    Suspected targets come after all others. The target that ranks first
    regardless of suspicion stays in the list, since it is probably the
    flow's home.

    Parameters
    ----------
    flow_hash : int
        Hash of the flow, see `lycheeglade.flow.hash_flow`.
    suspects : set of str
        Ids of targets whose agents are suspected to have failed.
    limit : int
        Maximum number of candidates.

    Returns
    -------
    tuple of Target
        Empty if no target is eligible.

    Notes
    -----
    Weighted rendezvous hashing after Schindelhauer and Schomaker, "Weighted
    distributed hash tables" (SPAA 2005): the target with the least
    ``-ln(u) / weight`` ranks first, where ``u`` is a uniform hash in (0, 1).
    """
    return _rank(_prepare_ranking(service), service.name, flow_hash, suspects, limit)


def explain_targets(
    service: Service,
    flow_hash: int,
    *,
    suspects: Set[str] = NO_SUSPECTS,
    limit: int = MAX_CANDIDATES,
) -> tuple[ExcludedTarget, ...]:
    """Return the targets that `rank_targets` excludes, with the reasons."""
    ranked = rank_targets(service, flow_hash, suspects=suspects, limit=limit)
    ranked_ids = {target.target_id for target in ranked}
    return tuple(
        ExcludedTarget(target, _explain(service, target, suspects))
        for target_id, target in sorted(service.targets_by_id.items())
        if target_id not in ranked_ids
    )


class CandidateCache:
    """Bounded cache of ranked candidates by service and bucket.

    The cache has two generations. A full young generation replaces the old
    one; entries of the old generation are evicted unless they are used before
    that and move to the young one. Entries of past revisions and of past
    suspicions are evicted the same way.

    Parameters
    ----------
    max_entries : int
        Maximum number of entries in both generations together.
    """

    def __init__(self, max_entries: int):
        self._max_young = max(1, max_entries // 2)
        self._young: dict[int, tuple[Target, ...]] = {}
        self._old: dict[int, tuple[Target, ...]] = {}
        self._prepared_services: dict[tuple, tuple[int, _RankingInputs]] = {}
        self._next_numbers = count()
        self._suspects = NO_SUSPECTS
        self._suspects_by_service: dict[tuple[str, int], frozenset[str]] = {}

    def __len__(self):
        return len(self._young) + len(self._old)

    def rank(
        self,
        service: Service,
        flow_hash: int,
        suspects: frozenset[str] = NO_SUSPECTS,
    ) -> tuple[Target, ...]:
        """Return the result of `rank_targets` with the default limit."""
        if suspects:
            suspects = self._suspects_of(service, suspects)
        numbered = self._prepared_services.get(
            (service.name, service.revision, suspects)
        )
        number, inputs = numbered or self._prepare_service(service, suspects)
        # An integer key instead of a tuple halves the memory of an entry.
        key = number * BUCKETS_PER_SERVICE + flow_hash % BUCKETS_PER_SERVICE
        candidates = self._young.get(key)
        if candidates is None:
            candidates = self._promote(key, service, inputs, flow_hash, suspects)
        return candidates

    def _promote(self, key, service, inputs, flow_hash, suspects):
        candidates = self._old.pop(key, None)
        if candidates is None:
            candidates = _rank(
                inputs, service.name, flow_hash, suspects, MAX_CANDIDATES
            )
        if len(self._young) >= self._max_young:
            self._old = self._young
            self._young = {}
        self._young[key] = candidates
        return candidates

    def _prepare_service(self, service, suspects):
        """Prepare a service for ranking under a number never used before."""
        if len(self._prepared_services) >= min(self._max_young, MAX_PREPARED_SERVICES):
            self._prepared_services.clear()
        numbered = next(self._next_numbers), _prepare_ranking(service)
        self._prepared_services[service.name, service.revision, suspects] = numbered
        return numbered

    def _suspects_of(self, service, suspects):
        """Return the suspects that are targets of the service."""
        if suspects is not self._suspects:
            self._suspects = suspects
            self._suspects_by_service.clear()
        key = (service.name, service.revision)
        own = self._suspects_by_service.get(key)
        if own is None:
            if len(self._suspects_by_service) >= self._max_young:
                self._suspects_by_service.clear()
            own = suspects.intersection(service.targets_by_id)
            self._suspects_by_service[key] = own
        return own


@dataclass(frozen=True, slots=True)
class _RankingInputs:
    """The eligible targets of a service with precomputed ranking inputs.

    `keys` are hashed for each bucket; `factors` are ``-1 / weight``.
    """

    targets: tuple[Target, ...]
    keys: tuple[bytes, ...]
    factors: tuple[float, ...]


def _prepare_ranking(service):
    targets = eligible_targets(service)
    keys = tuple([target.target_id.encode() for target in targets])
    factors = tuple([-1 / target.weight for target in targets])
    return _RankingInputs(targets, keys, factors)


def _rank(inputs, service_name, flow_hash, suspects, limit):
    seed = xxh3_64_intdigest(f"{service_name}\0{bucket_of(flow_hash)}".encode())
    costs = [
        log((xxh3_64_intdigest(key, seed) + 0.5) * HASH_SCALE) * factor
        for key, factor in zip(inputs.keys, inputs.factors, strict=True)
    ]
    if suspects:
        # Of equal costs the lower id ranks first, since targets are sorted by
        # id.
        order = sorted(range(len(costs)), key=costs.__getitem__)
        ranked = [inputs.targets[index] for index in order]
        return _put_suspects_last(ranked, suspects, limit)
    ranked = []
    for _ in range(min(limit, len(costs))):
        index = costs.index(min(costs))
        costs[index] = inf
        ranked.append(inputs.targets[index])
    return tuple(ranked)


def _put_suspects_last(ranked, suspects, limit):
    trusted = [target for target in ranked if target.target_id not in suspects]
    suspected = [target for target in ranked if target.target_id in suspects]
    kept = limit
    if ranked and ranked[0].target_id in suspects:
        kept = max(1, limit - 1)
    candidates = trusted[:kept]
    candidates += suspected[: limit - len(candidates)]
    return tuple(candidates)


def _explain(service, target, suspects):
    exclusion = exclusion_of(service, target)
    if exclusion is not None:
        return exclusion
    if target.target_id in suspects:
        return Exclusion.SUSPECTED
    return Exclusion.OUTRANKED
