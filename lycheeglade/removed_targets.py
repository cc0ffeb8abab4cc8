"""Passes on to a balancer that starts which targets have left the view.

A target may hold connections after its entry has been removed: while it ends
its last ones, or if the store has lost the entry for a moment. A balancer that
starts then has never had the target in its view, and could not search there.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from lycheeglade.address import Address
from lycheeglade.connection_balancer_state import ConnectionBalancer
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S
from lycheeglade.route import RemovedTarget, RoutingView
from lycheeglade.target_load import AgentLoad
from lycheeglade.view import Target

# Minimum age of a served list before it is made anew: encoding a view takes
# long, and several balancers may fetch it at about the same time.
REFRESH_S = 0.5


@dataclass(slots=True)
class ServedRemovals:
    """The view that a balancer serves to others, with the removed targets.

    Attributes
    ----------
    view : RoutingView
        View from which `served` was made.
    served_at : float
        Monotonic seconds.
    """

    view: RoutingView = field(default_factory=RoutingView)
    served: RoutingView = field(default_factory=RoutingView)
    served_at: float = 0.0

    def get(
        self,
        view: RoutingView,
        removed_by_agent: dict[Address, tuple[Target, str, float]],
        now: float,
    ) -> RoutingView:
        """Return `view` with the targets removed a short time ago."""
        if not removed_by_agent:
            return view
        if view is not self.view or now - self.served_at >= REFRESH_S:
            self.view = view
            self.served_at = now
            removed = tuple(
                RemovedTarget(target, service, now - gone_at)
                for target, service, gone_at in removed_by_agent.values()
                if now - gone_at <= CONNECTION_LIFETIME_S
            )
            self.served = replace(view, removed_targets=removed)
        return self.served


def inherit_removals(
    balancer: ConnectionBalancer, removed: Iterable[RemovedTarget], now: float
) -> None:
    """Record targets that left the view before this balancer had it."""
    for each in removed:
        agent = each.target.agent
        if agent in balancer.removed_by_agent:
            continue
        gone_at = now - each.gone_for
        balancer.removed_by_agent[agent] = (each.target, each.service, gone_at)
        load = balancer.loads_by_agent.setdefault(agent, AgentLoad())
        load.is_near = each.target.zone == balancer.zone
