"""Snapshots of the published values, and how they are merged.

Snapshots form a join semilattice: a merge keeps the newer revision of each
name, so peers that exchange snapshots in any order converge to the same one
[1]_.

.. [1] M. Shapiro et al., Conflict-free Replicated Data Types, SSS 2011.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.configuration import SERVICE_PREFIX
from lycheeglade.errors import ConfigurationError, OptionError
from lycheeglade.value import Value, parse_value, raise_invalid_value
from lycheeglade.view import Host, Service, View

MAX_VALUES = 65_536
BUCKETS = 64


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Latest valid revisions of all values, complete up to a revision.

    Attributes
    ----------
    revision : int
        Each change up to this revision is contained or was refused; 0 until
        all values were received once.
    values_by_name : Mapping
        Latest valid value of each name, deletions included. Above `MAX_VALUES`
        names the oldest deletions are discarded.
    refused_by_name : Mapping
        Revision of the latest invalid value of each name, which this process
        or a peer has refused. An older valid value of the name may be missing
        in this snapshot.
    digest : int
        64-bit hash over names and revisions, independent of their order.
    """

    revision: int = 0
    values_by_name: Mapping[str, Value] = field(default_factory=dict)
    refused_by_name: Mapping[str, int] = field(default_factory=dict)
    digest: int = 0


@dataclass(frozen=True, slots=True)
class MergeResult:
    """Merged snapshot, and the errors of the values that were refused."""

    snapshot: Snapshot
    errors: tuple[OptionError, ...] = ()


@dataclass(frozen=True, slots=True)
class Changes:
    """Values that bring a peer with an older revision up to date.

    Attributes
    ----------
    revision : int
        Revision up to which the peer is complete once it has applied `values`.
    refused : tuple of (str, int)
        Names and revisions of the values that were refused as invalid.
    """

    revision: int
    values: tuple[Value, ...] = ()
    refused: tuple[tuple[str, int], ...] = ()


def merge_values(
    snapshot: Snapshot,
    values: Iterable[Value],
    revision: int,
    refused: Mapping[str, int] | None = None,
) -> MergeResult:
    """Return `snapshot` merged with those of `values` that are newer.

    An invalid value is refused as a whole and the latest valid one of its name
    stays. No value and no snapshot goes back to an older revision.

    Parameters
    ----------
    revision : int
        Revision up to which the snapshot is complete with `values`.
    refused : Mapping, optional
        Revision by name of the values that the sender has refused.
    """
    accepted: dict[str, Value] = {}
    refused = dict(refused or {})
    errors: list[OptionError] = []
    for value in values:
        known = accepted.get(value.name) or snapshot.values_by_name.get(value.name)
        if not _is_newer(snapshot, known, value):
            continue
        try:
            _check_limit(snapshot, accepted, value)
            accepted[value.name] = parse_value(value, known)
        except ConfigurationError as error:
            refused[value.name] = max(value.revision, refused.get(value.name, 0))
            errors.extend(error.exceptions)
        except MemoryError:
            # The value is valid once there is memory again.
            raise
        except Exception as error:
            # An error of the parser concerns this value only. Otherwise the
            # values after it would never be applied.
            refused[value.name] = max(value.revision, refused.get(value.name, 0))
            errors.append(OptionError(value.name, "-", "value", repr(error)))
    merged = _merge(snapshot, accepted, refused)
    merged = replace(merged, revision=max(revision, merged.revision))
    return MergeResult(_discard_deletions(merged), tuple(errors))


def changes_after(
    snapshot: Snapshot, revision: int, max_bytes: int | None = None
) -> Changes:
    """Return the changes for a peer that is complete up to `revision`.

    Parameters
    ----------
    max_bytes : int, optional
        Bound on the size of names and texts; further values are left to the
        next call. At least one value is returned.
    """
    newer = [v for v in snapshot.values_by_name.values() if v.revision > revision]
    newer.sort(key=lambda value: value.revision)
    refused = tuple(
        (name, at) for name, at in snapshot.refused_by_name.items() if at > revision
    )
    sent_bytes = 0
    for count, value in enumerate(newer):
        sent_bytes += len(value.name) + len(value.text or "")
        if count and max_bytes is not None and sent_bytes > max_bytes:
            up_to = min(newer[count - 1].revision, snapshot.revision)
            return Changes(up_to, tuple(newer[:count]), refused)
    return Changes(snapshot.revision, tuple(newer), refused)


def bucket_digests(snapshot: Snapshot) -> tuple[int, ...]:
    """Return a digest of the values in each of the `BUCKETS` buckets."""
    digests = [0] * BUCKETS
    for value in snapshot.values_by_name.values():
        digests[_bucket_of(value.name)] ^= _hash_value(value)
    return tuple(digests)


def find_differing_values(snapshot: Snapshot, digests: tuple[int, ...]) -> list[Value]:
    """Return the values of each bucket whose digest differs."""
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
    """Return the view of `snapshot`, and the conflicts between its values.

    An address that several services publish is assigned to the service whose
    value has the oldest revision, so that all processes decide alike; the
    other services lose the address. If `previous` is newer than `snapshot`, it
    is returned unchanged.
    """
    if previous is not None and previous.revision > snapshot.revision:
        return previous, ()
    services, host_values = [], []
    for value in snapshot.values_by_name.values():
        if isinstance(value.content, Service):
            services.append(value.content)
        elif value.content is not None:
            host_values.append(value)
    services, errors = _resolve_address_conflicts(services)
    hosts_by_id: dict[str, Host] = {}
    for value in sorted(host_values, key=_by_revision):
        hosts_by_id.update({host.host_id: host for host in value.content})
    services_by_name = {service.name: service for service in services}
    return View(snapshot.revision, services_by_name, hosts_by_id), errors


def _by_revision(value: Value) -> tuple[int, str]:
    return value.revision, value.name


def _resolve_address_conflicts(
    services: list[Service],
) -> tuple[list[Service], tuple[OptionError, ...]]:
    addresses = [address for service in services for address in service.addresses]
    if len(set(addresses)) == len(addresses):
        return services, ()
    errors: list[OptionError] = []
    service_by_address: dict[Address, Service] = {}
    services = sorted(services, key=lambda service: (service.revision, service.name))
    settled = [
        _claim_addresses(service, service_by_address, errors) for service in services
    ]
    return settled, tuple(errors)


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


def _is_newer(snapshot: Snapshot, known: Value | None, value: Value) -> bool:
    if known is not None:
        return value.revision > known.revision
    return value.revision > snapshot.revision or value.name in snapshot.refused_by_name


def _check_limit(snapshot: Snapshot, accepted: dict[str, Value], value: Value) -> None:
    if value.is_deletion or value.name in snapshot.values_by_name:
        return
    if len(snapshot.values_by_name) + len(accepted) < MAX_VALUES:
        return
    values = {**snapshot.values_by_name, **accepted}.values()
    if sum(not each.is_deletion for each in values) >= MAX_VALUES:
        reason = f"more than {MAX_VALUES} values are published"
        raise_invalid_value(value, "-", "value", reason)


def _merge(
    snapshot: Snapshot,
    accepted: dict[str, Value],
    refused: dict[str, int],
) -> Snapshot:
    if not accepted and not refused:
        return snapshot
    digest = snapshot.digest
    for name, value in accepted.items():
        digest ^= _hash_value(snapshot.values_by_name.get(name))
        digest ^= _hash_value(value)
    values_by_name = {**snapshot.values_by_name, **accepted}
    for name, at in snapshot.refused_by_name.items():
        refused[name] = max(at, refused.get(name, 0))
    refused_by_name = {
        name: at
        for name, at in refused.items()
        if name not in values_by_name or values_by_name[name].revision < at
    }
    return replace(
        snapshot,
        values_by_name=values_by_name,
        refused_by_name=refused_by_name,
        digest=digest,
    )


def _discard_deletions(snapshot: Snapshot) -> Snapshot:
    """Discard the oldest deletions above `MAX_VALUES` names."""
    excess = len(snapshot.values_by_name) - MAX_VALUES
    if excess <= 0:
        return snapshot
    deletions = [
        value
        for value in snapshot.values_by_name.values()
        if value.is_deletion
        and value.revision <= snapshot.revision
        and value.name not in snapshot.refused_by_name
    ]
    forgotten = nsmallest(excess, deletions, key=_by_revision)
    names = {value.name for value in forgotten}
    values_by_name = {
        name: value
        for name, value in snapshot.values_by_name.items()
        if name not in names
    }
    return replace(snapshot, values_by_name=values_by_name)


def _bucket_of(name: str) -> int:
    return xxh3_64_intdigest(name.encode()) % BUCKETS


def _hash_value(value: Value | None) -> int:
    """Return a hash of name and revision, 0 for no value or a deletion."""
    if value is None or value.is_deletion:
        return 0
    return xxh3_64_intdigest(f"{value.name}\0{value.revision}".encode())
