"""Decides which targets may get a new connection.

Load pattern: operators evacuate a zone, or permit a route only some regions,
while callers keep connecting. The load goes to the remaining targets; if there
are none, the connection is refused at once. Targets that a transient error of
the platform removes from the view stay usable for a short time.

Open connections are not affected.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from lycheeglade.address import Address
from lycheeglade.route import Route, RoutingView
from lycheeglade.target_load import AgentLoad
from lycheeglade.view import State, Target

# A target that is removed from the view while live, without draining first,
# may be missing after a transient error of the platform. It stays usable for
# REMOVAL_GRACE_S.
REMOVAL_GRACE_S = 2.0


class Cause(StrEnum):
    """Reason why no target is eligible."""

    NO_TARGET = "no-target"
    REGION = "region"
    EVACUATED = "evacuated"


@dataclass(frozen=True, slots=True)
class Eligibility:
    """Targets that may get a new connection.

    Attributes
    ----------
    cause : Cause, optional
        Reason why there are no targets, None if there are any.
    """

    targets: tuple[Target, ...] = ()
    cause: Cause | None = None


def find_eligible(
    view: RoutingView,
    route: Route,
    service: str | None,
    removals: Iterable[tuple[Target, str, float]],
    loads_by_agent: Mapping[Address, AgentLoad],
    now: float,
) -> Eligibility:
    """Return the targets that may get a new connection of `service`.

    Targets that vanished from the view less than `REMOVAL_GRACE_S` ago are
    included if their agents sent a message since.

    Parameters
    ----------
    service : str, optional
        None if the route has no service, so that no target is eligible.
    removals : iterable of tuple of Target, str and float
        Live targets that vanished from the view, with their services and the
        times at which they did, in monotonic seconds.
    now : float
        Monotonic seconds.
    """
    published = view.targets_by_service.get(service, {}).values()
    live = [target for target in published if target.state is State.LIVE]
    for target, name, gone_at in removals:
        if name == service and now - gone_at < REMOVAL_GRACE_S:
            load = loads_by_agent.get(target.agent)
            if load is not None and load.last_heard_at > gone_at:
                live.append(target)
    if not live:
        return Eligibility(cause=Cause.NO_TARGET)
    if route.regions is None and not view.evacuated_zones:
        return Eligibility(tuple(live))
    permitted = [target for target in live if is_region_permitted(route, target)]
    if not permitted:
        return Eligibility(cause=Cause.REGION)
    targets = tuple(target for target in permitted if not is_evacuated(view, target))
    return Eligibility(targets, None if targets else Cause.EVACUATED)


def is_evacuated(view: RoutingView, target: Target) -> bool:
    """Return whether the target's zone gets no new connections."""
    return target.zone.name in view.evacuated_zones


def is_excluded(view: RoutingView, route: Route, target: Target) -> bool:
    """Return whether the target's zone or region rules out new connections."""
    return is_evacuated(view, target) or not is_region_permitted(route, target)


def is_region_permitted(route: Route, target: Target) -> bool:
    """Return whether the route permits the target's region."""
    return route.regions is None or target.zone.region in route.regions
