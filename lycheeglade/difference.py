"""Effects of a change of the published configuration on flows."""

from dataclasses import dataclass, fields, replace
from enum import StrEnum

from lycheeglade.routing import (
    CandidateCache,
    eligible_targets,
)
from lycheeglade.view import Service, View

SAMPLED_BUCKETS = 16384
SEPARATELY_COMPARED = ("name", "revision", "places", "targets_by_id")


class Presence(StrEnum):
    """Whether a service exists before and after a change."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True)
class Capacity:
    """Total capacity of a service's targets that accept new flows."""

    targets: int = 0
    slots: int = 0
    connections: int = 0


@dataclass(frozen=True, slots=True)
class ServiceDifference:
    """Effects of a change on one service.

    Attributes
    ----------
    moved_share : float
        Fraction, from 0 to 1, of new flows whose first candidate changes,
        estimated from a sample of the buckets. Open flows keep their homes.
    places_allowed, places_forbidden : tuple of str
        Places that the change adds to or removes from those where the
        service's traffic may be handled.
    targets_allowed, targets_forbidden : tuple of str
        Ids of the targets that start or cease to accept new flows.
    targets_moved : tuple of str
        Ids of the targets whose host, agent or upstream address changes.
    targets_without_capacity : tuple of str
        Ids of the targets that accept new flows, but have no slot or no
        connection to serve them.
    options_changed : tuple of str
        Names of the service's other options whose values change.
    """

    name: str
    presence: Presence
    moved_share: float
    places_allowed: tuple[str, ...]
    places_forbidden: tuple[str, ...]
    targets_allowed: tuple[str, ...]
    targets_forbidden: tuple[str, ...]
    targets_moved: tuple[str, ...]
    targets_without_capacity: tuple[str, ...]
    options_changed: tuple[str, ...]
    capacity_before: Capacity
    capacity_after: Capacity


@dataclass(frozen=True, slots=True)
class Difference:
    """Effects of a change of the configuration.

    Attributes
    ----------
    services : tuple of ServiceDifference
        Effects on each service that changes, sorted by name.
    upstreams_reused : tuple of tuple of str
        Address, old service and new service of each upstream that moves from
        one service to another.
    """

    services: tuple[ServiceDifference, ...]
    upstreams_reused: tuple[tuple[str, str, str], ...]


def compare_views(old: View, new: View) -> Difference:
    """Return how the change from view `old` to view `new` affects flows.

    The revisions of the services are ignored.
    """
    names = sorted({*old.services_by_name, *new.services_by_name})
    pairs = [
        (old.services_by_name.get(name), new.services_by_name.get(name))
        for name in names
    ]
    return Difference(
        tuple(_compare(before, after) for before, after in pairs if before != after),
        _find_reused_upstreams(old, new),
    )


def format_difference(difference: Difference) -> tuple[str, ...]:
    """Return lines that describe a difference to an operator."""
    if not difference.services:
        return ("nothing changes",)
    lines = []
    for service in difference.services:
        lines += _format_service(service)
    lines += [
        f"upstream {address} moves from {before} to {after}"
        for address, before, after in difference.upstreams_reused
    ]
    return tuple(lines)


def _compare(before, after):
    presence = Presence.CHANGED
    if before is None:
        presence = Presence.ADDED
        before = replace(after, places=(), targets_by_id={})
    elif after is None:
        presence = Presence.REMOVED
        after = replace(before, places=(), targets_by_id={})
    old_targets = {target.target_id: target for target in eligible_targets(before)}
    new_targets = {target.target_id: target for target in eligible_targets(after)}
    return ServiceDifference(
        before.name,
        presence,
        _estimate_moved_share(before, after),
        _find_uncovered_places(after.places, before.places),
        _find_uncovered_places(before.places, after.places),
        _find_missing(new_targets, old_targets),
        _find_missing(old_targets, new_targets),
        _find_moved_targets(before, after),
        tuple(
            target_id
            for target_id, target in new_targets.items()
            if target.slots < 1 or target.connections < 1
        ),
        tuple(
            field.name
            for field in fields(Service)
            if field.name not in SEPARATELY_COMPARED
            and getattr(before, field.name) != getattr(after, field.name)
        ),
        _sum_capacity(old_targets.values()),
        _sum_capacity(new_targets.values()),
    )


def _find_missing(names, other_names):
    """Return the sorted names that aren't in `other_names`."""
    return tuple(sorted(set(names) - set(other_names)))


def _find_uncovered_places(places, other_places):
    """Return the places that are not, or not by region, in `other_places`."""
    return tuple(
        place
        for place in _find_missing(places, other_places)
        if place.partition("/")[0] not in other_places
    )


def _estimate_moved_share(before, after):
    if eligible_targets(before) == eligible_targets(after):
        return 0.0
    ranks = CandidateCache(2).rank, CandidateCache(2).rank
    moved = 0
    for bucket in range(SAMPLED_BUCKETS):
        old_ids, new_ids = (
            [target.target_id for target in rank(service, bucket)[:1]]
            for rank, service in zip(ranks, (before, after), strict=True)
        )
        moved += old_ids != new_ids
    return moved / SAMPLED_BUCKETS


def _find_moved_targets(before, after):
    moved = []
    for target_id, old in sorted(before.targets_by_id.items()):
        new = after.targets_by_id.get(target_id, old)
        if (old.host_id, old.agent, old.upstream) != (
            new.host_id,
            new.agent,
            new.upstream,
        ):
            moved.append(target_id)
    return tuple(moved)


def _sum_capacity(targets):
    return Capacity(
        len(targets),
        sum(target.slots for target in targets),
        sum(target.connections for target in targets),
    )


def _find_reused_upstreams(old, new):
    names_before = _names_by_upstream(old)
    return tuple(
        (str(upstream), names_before[upstream], name)
        for upstream, name in sorted(_names_by_upstream(new).items())
        if names_before.get(upstream, name) != name
    )


def _names_by_upstream(view):
    return {
        target.upstream: service.name
        for service in view.services_by_name.values()
        for target in service.targets_by_id.values()
    }


def _format_service(service):
    lines = [f"service {service.name} is {service.presence}"]
    if service.presence is Presence.CHANGED:
        lines.append(
            f"  {service.moved_share:.1%} of new flows get another first candidate;"
            " open flows stay where they are"
        )
    lines += _format_names("place {} is newly allowed", service.places_allowed)
    lines += _format_names(
        "place {} is no longer allowed as a whole", service.places_forbidden
    )
    lines += _format_names("target {} takes new flows", service.targets_allowed)
    lines += _format_names(
        "target {} takes no new flows any more", service.targets_forbidden
    )
    lines += _format_names("target {} has another address", service.targets_moved)
    lines += _format_names("option {} has another value", service.options_changed)
    return lines + _format_capacity(service)


def _format_names(template, names):
    return ["  " + template.format(name) for name in names]


def _format_capacity(service):
    lines = _format_names(
        "WARNING: target {} has no slot or no connection",
        service.targets_without_capacity,
    )
    before, after = service.capacity_before, service.capacity_after
    if service.presence is Presence.REMOVED:
        return lines
    if not after.targets:
        return [*lines, "  WARNING: no target takes new flows"]
    for unit in ("slots", "connections"):
        old_total, new_total = getattr(before, unit), getattr(after, unit)
        if new_total < old_total:
            lines.append(f"  WARNING: {new_total} {unit} in all, {old_total} before")
    return lines
