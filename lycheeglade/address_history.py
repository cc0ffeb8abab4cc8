"""Decides which entry counts if several name one address.

An address has one target at a time. A target that starts again there may
register under another ID, or for another service, while the entry of the one
before is still in the store: for some check-in intervals after a crash, longer
during an outage of the store. The entry that was registered last decides, in
the order of the store's revisions, since the clocks of targets may be set. The
others name no target, not even when the last one disappears before them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from math import inf

from lycheeglade.address import Address
from lycheeglade.route import RoutingView
from lycheeglade.view import Target

# The store removes the entry of a target that has ended within this time. One
# that is still there after the entries that followed it belongs to a living
# target.
KEEP_S = 5.0


@dataclass(frozen=True, slots=True)
class Registration:
    """The latest registration at an address.

    Attributes
    ----------
    target_id, lifetime
        The registered lifetime of a target.
    revision : int
        Revision of the store, see `Target.registration`.
    until : float
        Time until which it decides, in monotonic seconds; infinity while the
        store has the entry.
    """

    target_id: str
    lifetime: int
    revision: int
    until: float = inf

    def is_of(self, target: Target) -> bool:
        """Return whether this is a registration of the target's lifetime."""
        return (self.target_id, self.lifetime) == (target.target_id, target.lifetime)


@dataclass(slots=True)
class AddressHistory:
    """Latest registrations at the addresses of the targets.

    Attributes
    ----------
    latest_by_agent : dict of Address to Registration
        By the address of the agent beside the target.
    era : int
        Era of the store whose revisions these are.
    due_at : float
        Time at which the next one of them decides no longer.
    """

    latest_by_agent: dict[Address, Registration] = field(default_factory=dict)
    era: int = 0
    due_at: float = inf

    def record(self, view: RoutingView, now: float) -> None:
        """Record the registrations in a view of the store.

        Balancers may have read different revisions of one lifetime, so that
        only those of different lifetimes are compared.
        """
        known_by_agent = self.latest_by_agent if view.era == self.era else {}
        targets = _list_routed_targets(view)
        latest_by_agent = _find_latest(targets)
        present = {
            target.agent
            for target in targets
            if target.agent in known_by_agent
            and known_by_agent[target.agent].is_of(target)
        }
        for agent in known_by_agent.keys() - present:
            known, latest = known_by_agent[agent], latest_by_agent.get(agent)
            is_later = latest is None or latest.revision < known.revision
            if is_later and known.until > now:
                until = min(known.until, now + KEEP_S)
                latest_by_agent[agent] = replace(known, until=until)
        self.era = view.era
        self.latest_by_agent = latest_by_agent
        self.due_at = min(
            (each.until for each in latest_by_agent.values()), default=inf
        )

    def is_due(self, now: float) -> bool:
        """Return whether `correct` would return more targets than before."""
        return self.due_at <= now

    def correct(self, view: RoutingView, now: float) -> RoutingView:
        """Return `view` without the targets that another has followed."""
        if self.is_due(now):
            self.record(view, now)
        targets_by_service = {
            service: {
                target_id: target
                for target_id, target in targets.items()
                if not self._is_followed(target)
            }
            for service, targets in view.targets_by_service.items()
        }
        if targets_by_service == view.targets_by_service:
            return view
        return replace(view, targets_by_service=targets_by_service)

    def _is_followed(self, target: Target) -> bool:
        latest = self.latest_by_agent.get(target.agent)
        return latest is not None and target.registration < latest.revision


def _find_latest(targets: Iterable[Target]) -> dict[Address, Registration]:
    """Return the latest registrations by address."""
    latest_by_agent: dict[Address, Registration] = {}
    for target in targets:
        latest = latest_by_agent.get(target.agent)
        if latest is None or latest.revision <= target.registration:
            latest_by_agent[target.agent] = Registration(
                target.target_id, target.lifetime, target.registration
            )
    return latest_by_agent


def _list_routed_targets(view: RoutingView) -> list[Target]:
    """Return the targets of the services that routes name.

    An entry of another writer may name a service that does not exist, and the
    address of a target that goes on.
    """
    services = {
        service
        for route in view.routes_by_address.values()
        for service in route.weights_by_service
    }
    return [
        target
        for service in services & view.targets_by_service.keys()
        for target in view.targets_by_service[service].values()
    ]
