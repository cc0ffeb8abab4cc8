"""Passes on to a balancer that starts what has left the view before.

A target may hold connections after its entry has been removed: while it ends
its last ones, or if the store has lost the entry for a moment. It may also
hold connections of a route that has named its service before. A balancer that
starts afterwards has never had the target or that version in its view, and
could not search there.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from math import inf

from lycheeglade.connection_balancer_state import ConnectionBalancer
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S
from lycheeglade.route import FormerService, RemovedTarget, RoutingView
from lycheeglade.target_load import AgentLoad

# Minimum age of a served history before it is made anew: encoding a view takes
# long, and several balancers may fetch it at about the same time.
REFRESH_S = 0.5


@dataclass(slots=True)
class ServedHistory:
    """The view that a balancer serves to others, with what has left it.

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
        self, view: RoutingView, balancer: ConnectionBalancer, now: float
    ) -> RoutingView:
        """Return `view` with the targets and services removed before."""
        if view is not self.view or now - self.served_at >= REFRESH_S:
            self.view = view
            self.served_at = now
            self.served = replace(
                view,
                removed_targets=tuple(_list_removed_targets(balancer, now)),
                former_services=tuple(_list_former_services(balancer, now)),
                routes_known_for=min(
                    now - balancer.routes_known_at, CONNECTION_LIFETIME_S + REFRESH_S
                ),
            )
        return self.served


def clear_history(view: RoutingView) -> RoutingView:
    """Return `view` without what has left it."""
    return replace(view, removed_targets=(), former_services=(), routes_known_for=0.0)


def inherit_history(
    balancer: ConnectionBalancer, received: RoutingView, now: float
) -> None:
    """Record what left the view before this balancer had it.

    Parameters
    ----------
    received : RoutingView
        View of another balancer with its history. It has been applied before
        if it is newer.
    """
    for each in received.removed_targets:
        _inherit_target(balancer, each, now)
    for each in received.former_services:
        removed_at_by_service = balancer.former_services_by_address.setdefault(
            each.address, {}
        )
        removed_at = max(
            removed_at_by_service.get(each.service, -inf), now - each.removed_for
        )
        removed_at_by_service[each.service] = removed_at
    known = balancer.view
    if (
        received.configuration == known.configuration
        and received.routes_by_address == known.routes_by_address
    ):
        # Otherwise versions may lie between, whose services neither of the
        # two has recorded.
        known_at = now - received.routes_known_for
        balancer.routes_known_at = min(balancer.routes_known_at, known_at)


def _inherit_target(
    balancer: ConnectionBalancer, removed: RemovedTarget, now: float
) -> None:
    agent = removed.target.agent
    if agent in balancer.removed_by_agent or agent in balancer.targets_by_agent:
        return
    gone_at = now - removed.gone_for
    balancer.removed_by_agent[agent] = (removed.target, removed.service, gone_at)
    load = balancer.loads_by_agent.setdefault(agent, AgentLoad())
    load.is_near = removed.target.zone == balancer.zone


def _list_removed_targets(
    balancer: ConnectionBalancer, now: float
) -> Iterator[RemovedTarget]:
    for target, service, gone_at in balancer.removed_by_agent.values():
        if now - gone_at <= CONNECTION_LIFETIME_S:
            yield RemovedTarget(target, service, now - gone_at)


def _list_former_services(
    balancer: ConnectionBalancer, now: float
) -> Iterator[FormerService]:
    former_services = balancer.former_services_by_address.items()
    for address, removed_at_by_service in former_services:
        for service, removed_at in removed_at_by_service.items():
            if now - removed_at <= CONNECTION_LIFETIME_S:
                yield FormerService(address, service, now - removed_at)
