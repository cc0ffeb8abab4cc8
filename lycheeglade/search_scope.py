"""Which agents a search for a connection asks.

A connection stays with its target when its route changes its services. So the
search covers the services that the route named within the longest life of a
connection. A balancer that has not followed the routes for that time asks the
agents of all services; those of a service that it cannot name answer from
their tables only, since a segment must not reach a target of another service.
"""

from lycheeglade.address import Address
from lycheeglade.connection_balancer_state import ConnectionBalancer
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S
from lycheeglade.route import Route, RoutingView


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


def find_searched_services(
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


def find_searched_agents(
    balancer: ConnectionBalancer, services: tuple[str, ...], now: float
) -> set[Address]:
    """Return the agents whose targets may hold a connection.

    Parameters
    ----------
    services : tuple of str
        Services that the connection's route is known to have named. They are
        all of them if this balancer has followed the routes for
        `CONNECTION_LIFETIME_S`, without missing a version.
    """
    knows_all_services = now - balancer.routes_known_at > CONNECTION_LIFETIME_S
    agents = set()
    for service, targets in balancer.view.targets_by_service.items():
        if service in services:
            agents.update(target.agent for target in targets.values())
        elif not knows_all_services:
            agents.update(
                target.agent
                for target in targets.values()
                if not is_of_earlier_build(balancer, target.agent)
            )
    for agent, (_, service, gone_at) in list(balancer.removed_by_agent.items()):
        if now - gone_at > CONNECTION_LIFETIME_S:
            del balancer.removed_by_agent[agent]
        elif service in services or not (
            knows_all_services or is_of_earlier_build(balancer, agent)
        ):
            agents.add(agent)
    return agents


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
