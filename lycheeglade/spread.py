"""What a process knows of the published values, and how it only grows.

A snapshot is a join semilattice: the newer revision of each name wins, so
peers that exchange snapshots in any order end with the same one [1]_.

.. [1] M. Shapiro et al., Conflict-free Replicated Data Types, SSS 2011.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from heapq import nlargest

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.configuration import SERVICE_PREFIX
from lycheeglade.errors import ConfigurationError, OptionError
from lycheeglade.value import Value, read_value, refuse_value
from lycheeglade.view import Host, Service, View

MAX_VALUES = 65_536
MAX_DELETIONS = 4096
BUCKETS = 64


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The last valid values, complete up to a revision.

    Attributes
    ----------
    revision : int
        Each change up to it is held here or was refused; 0 if nothing was
        completely read yet.
    values_by_name : Mapping
        Last valid value of each name, deletions included.
    refused_by_name : Mapping
        Revision of the invalid value that was refused after the valid one.
    floor : int
        Deletions up to this revision may be forgotten.
    digest : int
        64-bit hash over names and revisions, independent of their order.
    """

    revision: int = 0
    values_by_name: Mapping[str, Value] = field(default_factory=dict)
    refused_by_name: Mapping[str, int] = field(default_factory=dict)
    floor: int = 0
    digest: int = 0


@dataclass(frozen=True, slots=True)
class Advance:
    """A newer snapshot, and the errors of the values that it refuses."""

    snapshot: Snapshot
    errors: tuple[OptionError, ...] = ()


@dataclass(frozen=True, slots=True)
class Changes:
    """Values for a peer that knows less.

    Attributes
    ----------
    revision : int
        The peer is complete up to it once it holds `values`.
    floor : int
        A peer whose revision is lower must start from an empty snapshot.
    """

    revision: int
    floor: int
    values: tuple[Value, ...]


def advance(snapshot: Snapshot, values: Iterable[Value], revision: int) -> Advance:
    """Return a snapshot that holds newer ones of `values`.

    An invalid value is refused whole and the last valid one stays. Nothing
    goes back to an older revision.

    Parameters
    ----------
    revision : int
        Revision up to which `values` complete the snapshot.
    """
    accepted: dict[str, Value] = {}
    refused: dict[str, int] = {}
    errors: list[OptionError] = []
    for value in values:
        known = accepted.get(value.name) or snapshot.values_by_name.get(value.name)
        if not _is_news(snapshot, known, value):
            continue
        try:
            _check_bound(snapshot, accepted, value)
            accepted[value.name] = read_value(value)
        except ConfigurationError as error:
            refused[value.name] = max(value.revision, refused.get(value.name, 0))
            errors.extend(error.exceptions)
    merged = _merge(snapshot, accepted, refused, max(revision, snapshot.revision))
    return Advance(merged, tuple(errors))


def changes_after(
    snapshot: Snapshot, revision: int, max_bytes: int | None = None
) -> Changes:
    """Return what a peer that is complete up to `revision` must learn.

    Parameters
    ----------
    max_bytes : int, optional
        Size of the texts after which the rest is left for a next call; at
        least one value is returned.
    """
    newer = [v for v in snapshot.values_by_name.values() if v.revision > revision]
    newer.sort(key=lambda value: value.revision)
    sent_bytes = 0
    for count, value in enumerate(newer):
        sent_bytes += len(value.name) + len(value.text or "")
        if count and max_bytes is not None and sent_bytes > max_bytes:
            up_to = min(newer[count - 1].revision, snapshot.revision)
            return Changes(up_to, snapshot.floor, tuple(newer[:count]))
    return Changes(snapshot.revision, snapshot.floor, tuple(newer))


def replace_all(snapshot: Snapshot, loaded: Snapshot) -> Snapshot:
    """Return `loaded` with what `snapshot` knows better.

    Used when deletions may have been forgotten since `snapshot`'s revision: a
    name that `loaded` lacks is deleted unless it is newer than `loaded`.
    """
    kept = [
        value
        for name, value in snapshot.values_by_name.items()
        if value.revision > loaded.revision
        or name in loaded.values_by_name
        or name in loaded.refused_by_name
    ]
    values_by_name = dict(loaded.values_by_name)
    for value in kept:
        known = values_by_name.get(value.name)
        if known is None or known.revision < value.revision:
            values_by_name[value.name] = value
    return replace(
        loaded,
        values_by_name=values_by_name,
        digest=_digest_of(values_by_name.values()),
        floor=max(snapshot.floor, loaded.floor),
    )


def bucket_digests(snapshot: Snapshot) -> tuple[int, ...]:
    """Return a digest for each of `BUCKETS` parts of the names."""
    digests = [0] * BUCKETS
    for value in snapshot.values_by_name.values():
        digests[_bucket_of(value.name)] ^= _hash_value(value)
    return tuple(digests)


def values_that_differ(snapshot: Snapshot, digests: tuple[int, ...]) -> list[Value]:
    """Return the values in the buckets whose digests are not `digests`."""
    own = bucket_digests(snapshot)
    if len(digests) != len(own):
        return []
    differing = {bucket for bucket in range(BUCKETS) if own[bucket] != digests[bucket]}
    return [
        value
        for value in snapshot.values_by_name.values()
        if _bucket_of(value.name) in differing
    ]


def build_view(
    snapshot: Snapshot, previous: View | None = None
) -> tuple[View, tuple[OptionError, ...]]:
    """Return what `snapshot` declares, and the conflicts between its values.

    An address that several services publish belongs to the one whose value is
    the oldest, in every process; the others do without it. A view that is
    newer than `snapshot` is returned as it is.
    """
    if previous is not None and previous.revision > snapshot.revision:
        return previous, ()
    errors: list[OptionError] = []
    service_by_address: dict[Address, Service] = {}
    services_by_name: dict[str, Service] = {}
    hosts_by_id: dict[str, Host] = {}
    for value in sorted(snapshot.values_by_name.values(), key=_by_revision):
        if isinstance(value.content, Service):
            service = _claim_addresses(value.content, service_by_address, errors)
            services_by_name[service.name] = service
        elif value.content is not None:
            hosts_by_id.update({host.host_id: host for host in value.content})
    view = View(snapshot.revision, services_by_name, hosts_by_id)
    return view, tuple(errors)


def _by_revision(value: Value) -> tuple[int, str]:
    return value.revision, value.name


def _claim_addresses(
    service: Service,
    service_by_address: dict[Address, Service],
    errors: list[OptionError],
) -> Service:
    own = []
    for address in service.addresses:
        owner = service_by_address.setdefault(address, service)
        if owner is service:
            own.append(address)
            continue
        source = SERVICE_PREFIX + service.name
        reason = f"{address} belongs to service {owner.name}"
        errors.append(OptionError(source, "service", "addresses", reason))
    if len(own) == len(service.addresses):
        return service
    return replace(service, addresses=tuple(own))


def _is_news(snapshot: Snapshot, known: Value | None, value: Value) -> bool:
    refused = snapshot.refused_by_name.get(value.name)
    if refused == value.revision:
        return False
    if known is not None:
        return value.revision > known.revision
    return refused is not None or value.revision > snapshot.floor


def _check_bound(snapshot: Snapshot, accepted: dict[str, Value], value: Value) -> None:
    known = value.name in snapshot.values_by_name or value.name in accepted
    count = len(snapshot.values_by_name) + len(accepted)
    if not known and count >= MAX_VALUES:
        refuse_value(
            value, "-", "value", f"more than {MAX_VALUES} values are published"
        )


def _merge(
    snapshot: Snapshot,
    accepted: dict[str, Value],
    refused: dict[str, int],
    revision: int,
) -> Snapshot:
    if not accepted and not refused:
        return replace(snapshot, revision=revision)
    digest = snapshot.digest
    for name, value in accepted.items():
        digest ^= _hash_value(snapshot.values_by_name.get(name))
        digest ^= _hash_value(value)
    values_by_name = {**snapshot.values_by_name, **accepted}
    refused_by_name = {
        name: at
        for name, at in {**snapshot.refused_by_name, **refused}.items()
        if name not in values_by_name or values_by_name[name].revision < at
    }
    floor = _forget_deletions(values_by_name, snapshot.floor)
    return Snapshot(revision, values_by_name, refused_by_name, floor, digest)


def _forget_deletions(values_by_name: dict[str, Value], floor: int) -> int:
    """Forget the oldest deletions above the bound and return the floor."""
    deletions = [value for value in values_by_name.values() if value.text is None]
    if len(deletions) <= MAX_DELETIONS:
        return floor
    kept = nlargest(MAX_DELETIONS // 2, deletions, key=_by_revision)
    kept_names = {value.name for value in kept}
    for value in deletions:
        if value.name not in kept_names:
            del values_by_name[value.name]
            floor = max(floor, value.revision)
    return floor


def _bucket_of(name: str) -> int:
    return xxh3_64_intdigest(name.encode()) % BUCKETS


def _hash_value(value: Value | None) -> int:
    """Return a hash of name and revision; 0 for a deletion."""
    if value is None or value.text is None:
        return 0
    return xxh3_64_intdigest(f"{value.name}\0{value.revision}".encode())


def _digest_of(values: Iterable[Value]) -> int:
    digest = 0
    for value in values:
        digest ^= _hash_value(value)
    return digest
