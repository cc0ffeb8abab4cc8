"""Computes and applies differences between views, for recordings."""

from collections.abc import Iterable, Mapping
from typing import TypeVar

from lycheeglade.recording import Action, ViewChange
from lycheeglade.view import View

Entry = TypeVar("Entry")


def describe_change(
    previous: View,
    view: View,
    at: float,
    *,
    did: tuple[Action, ...] | None = None,
    raised: str = "",
) -> ViewChange:
    """Return the recording line that turns `previous` into `view`."""
    services, gone_services, service_order = _compare(
        previous.services_by_name, view.services_by_name
    )
    hosts, gone_hosts, host_order = _compare(previous.hosts_by_id, view.hosts_by_id)
    return ViewChange(
        at=at,
        revision=view.revision,
        services=services,
        gone_services=gone_services,
        service_order=service_order,
        hosts=hosts,
        gone_hosts=gone_hosts,
        host_order=host_order,
        did=did,
        raised=raised,
    )


def apply_change(previous: View, change: ViewChange) -> View:
    """Return `previous` with `change` applied."""
    services = {service.name: service for service in change.services}
    hosts = {host.host_id: host for host in change.hosts}
    return View(
        change.revision,
        _merge(
            previous.services_by_name,
            services,
            change.gone_services,
            change.service_order,
        ),
        _merge(previous.hosts_by_id, hosts, change.gone_hosts, change.host_order),
    )


def _compare(
    old: Mapping[str, Entry], new: Mapping[str, Entry]
) -> tuple[tuple[Entry, ...], tuple[str, ...], tuple[str, ...] | None]:
    changed = {name: entry for name, entry in new.items() if old.get(name) is not entry}
    gone = tuple(name for name in old if name not in new)
    is_ordered = list(_merge(old, changed, gone, None)) == list(new)
    return tuple(changed.values()), gone, None if is_ordered else tuple(new)


def _merge(
    old: Mapping[str, Entry],
    changed: Mapping[str, Entry],
    gone: Iterable[str],
    order: Iterable[str] | None,
) -> dict[str, Entry]:
    merged = {**old, **changed}
    for name in gone:
        merged.pop(name, None)
    if order is None:
        return merged
    return {name: merged[name] for name in order if name in merged}
