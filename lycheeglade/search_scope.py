"""Which agents a search for a connection asks.

A connection stays with its target when its route changes its services. So the
search covers the services that the route named within the longest life of a
connection. A balancer that has not followed the routes for that time asks the
agents of all services. A segment reaches targets of a service that the route
is not known to have named last: in regions that the route permits, and only
once no target of the named services holds the connection.
"""

from collections.abc import Iterator

from lycheeglade.address import Address
from lycheeglade.completeness import knows_all_services
from lycheeglade.connection_balancer_state import ConnectionBalancer, SearchScope
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S
from lycheeglade.eligibility import is_region_permitted
from lycheeglade.route import Route, RoutingView
from lycheeglade.view import Target


def record_former_services(
    balancer: ConnectionBalancer, previous: RoutingView, now: float
) -> None:
    """Record which services the routes of the current view name no longer."""
    version = balancer.view.configuration
    if not previous.configuration or version > previous.configuration + 1:
        # A version that was never seen here may have named other services.
        balancer.routes_known_at = now
    routes = balancer.view.routes_by_address
    # A version may be written again with other services.
    for address, route in previous.routes_by_address.items():
        current = routes.get(address)
        if current is route:
            continue
        named = current.weights_by_service if current is not None else {}
        removed = route.weights_by_service.keys() - named.keys()
        if removed:
            former = balancer.former_services_by_address.setdefault(address, {})
            former.update(dict.fromkeys(removed, now))
    for address, former in list(balancer.former_services_by_address.items()):
        for service, removed_at in list(former.items()):
            if now - removed_at > CONNECTION_LIFETIME_S:
                del former[service]
        if not former:
            del balancer.former_services_by_address[address]


def find_scope(balancer: ConnectionBalancer, route: Route, now: float) -> SearchScope:
    """Return the agents whose targets may hold a connection of `route`.

    Those of services that the route is not known to have named are left out if
    this balancer has followed the routes for `CONNECTION_LIFETIME_S`, without
    missing a version.
    """
    services = _find_services(balancer, route, now)
    is_complete = knows_all_services(balancer, now)
    named, others, permitted_others = set(), set(), set()
    for target, service in _list_targets(balancer, now):
        agent = target.agent
        if service in services:
            named.add(agent)
        elif not (is_complete or is_of_earlier_build(balancer, agent)):
            others.add(agent)
            if is_region_permitted(route, target):
                permitted_others.add(agent)
    return SearchScope(
        services,
        frozenset(named),
        frozenset(others - named),
        frozenset(permitted_others - named),
    )


def _find_services(
    balancer: ConnectionBalancer, route: Route, now: float
) -> tuple[str, ...]:
    """Return the services that the route names or is known to have named."""
    former = balancer.former_services_by_address.get(route.address, {})
    recent = {
        service
        for service, removed_at in former.items()
        if now - removed_at <= CONNECTION_LIFETIME_S
    }
    return tuple(sorted(recent | route.weights_by_service.keys()))


def _list_targets(
    balancer: ConnectionBalancer, now: float
) -> Iterator[tuple[Target, str]]:
    """Return the targets that may hold connections, with their services."""
    for service, targets in balancer.view.targets_by_service.items():
        for target in targets.values():
            yield target, service
    for target, service, gone_at in balancer.removed_by_agent.values():
        if now - gone_at <= CONNECTION_LIFETIME_S:
            yield target, service


def is_of_earlier_build(balancer: ConnectionBalancer, agent: Address) -> bool:
    """Return whether an agent ignores the services that a query names.

    It would deliver a segment to a target of another service, or let others do
    so. Such an agent does not report its age.
    """
    load = balancer.loads_by_agent.get(agent)
    return (
        load is not None
        and load.reported_at > float("-inf")
        and load.started_at == float("-inf")
    )
