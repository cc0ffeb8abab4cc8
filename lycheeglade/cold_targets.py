"""What a balancer knows of the targets that are cold.

A view keeps the `warmup_left` that a target had when it was first read, since
each change of a view is sent to all balancers. Each balancer therefore counts
down from the time at which it learned of the target, and passes on what is
left: to agents in load requests, and to other balancers with the view.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lycheeglade.address import Address
from lycheeglade.lifetime import Lifetime, is_later
from lycheeglade.route import RoutingView
from lycheeglade.target_load import AgentLoad
from lycheeglade.view import Target

# Minimum age of a view with counted down times before it is made anew: a
# zone's balancers fetch a change of the view at about the same time, and
# encoding it takes long.
REFRESH_S = 0.5
DECIMALS = 3


def learn_warmup(
    load: AgentLoad,
    target: Target,
    rate: float,
    now: float,
    is_restored: bool,
    era: int,
) -> bool:
    """Update the record of an agent; return whether the agent must be told.

    Parameters
    ----------
    rate : float
        New connections per second that a cold target of the service can
        handle, 0 if no limit is published.
    is_restored : bool
        Whether the view is the first one of a store that was restored from an
        older copy. The copy's times of known lifetimes have passed.
    era : int
        Era of the store that has the target's entry.
    """
    is_changed = load.warmup_rate != rate
    load.warmup_rate = rate
    known = Lifetime(load.lifetime, load.era, load.registration)
    is_new = is_later(Lifetime(target.lifetime, era, target.registration), known)
    if not is_new and target.lifetime not in (0, load.lifetime):
        return is_changed
    load.era, load.registration = era, target.registration
    if is_new:
        load.lifetime = target.lifetime
        load.warmup_known = 0.0
        load.cold_until = float("-inf")
    if target.warmup_left > load.warmup_known:
        load.warmup_known = target.warmup_left
        if is_new or not is_restored:
            load.cold_until = max(load.cold_until, now + target.warmup_left)
            is_changed = True
    return is_changed


def warmup_left(load: AgentLoad, now: float) -> float:
    """Return the seconds for which the agent's target stays cold."""
    return max(0.0, load.cold_until - now)


def count_down(
    view: RoutingView, loads_by_agent: Mapping[Address, AgentLoad], now: float
) -> RoutingView:
    """Return `view` with the times that are left now."""

    def count_down_target(target: Target) -> Target:
        load = loads_by_agent.get(target.agent)
        if not target.warmup_left or load is None or load.lifetime != target.lifetime:
            return target
        left = round(warmup_left(load, now), DECIMALS)
        return replace(target, warmup_left=left)

    if not _has_cold_target(view):
        return view
    targets_by_service = {
        service: {
            target_id: count_down_target(target)
            for target_id, target in targets.items()
        }
        for service, targets in view.targets_by_service.items()
    }
    return replace(view, targets_by_service=targets_by_service)


@dataclass(slots=True)
class ServedView:
    """The view that a balancer serves to others, with the times counted down.

    A balancer that starts long after a target would otherwise learn that the
    target is cold, and limit its load again.

    Attributes
    ----------
    published : RoutingView
        View from which `counted_down` was made.
    counted_down_at : float
        Monotonic seconds.
    """

    published: RoutingView = field(default_factory=RoutingView)
    counted_down: RoutingView = field(default_factory=RoutingView)
    counted_down_at: float = 0.0

    def get(
        self,
        view: RoutingView,
        loads_by_agent: Mapping[Address, AgentLoad],
        now: float,
    ) -> RoutingView:
        """Return `view` with the times that are left about now."""
        if view is not self.published or (
            now - self.counted_down_at >= REFRESH_S
            and _has_cold_target(self.counted_down)
        ):
            self.published = view
            self.counted_down = count_down(view, loads_by_agent, now)
            self.counted_down_at = now
        return self.counted_down


def _has_cold_target(view: RoutingView) -> bool:
    return any(
        target.warmup_left
        for targets in view.targets_by_service.values()
        for target in targets.values()
    )
