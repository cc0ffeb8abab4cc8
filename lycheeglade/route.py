"""Routes: the services of connections, and properties of their requests."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from lycheeglade.address import Address
from lycheeglade.store_revision import Versioned
from lycheeglade.view import Target

DEFAULT_TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Route:
    """Rules for connections to one address of the fabric.

    Attributes
    ----------
    address : Address
        Address that callers connect to.
    weights_by_service : mapping of str to float
        Services of new connections, with their relative weights.
    timeout : float
        Seconds after which a caller abandons a request.
    repeatable : bool
        Whether a request may run more than once.
    is_bulk : bool
        Whether requests or answers are long.
    aim : float
        Seconds within which an answer has its full worth, 0 if unknown.
    priority : int
        Priority of the requests; 0 is the highest.
    regions : tuple of str, optional
        Regions in which the requests may be served, None for any.
    """

    address: Address
    weights_by_service: Mapping[str, float]
    timeout: float = DEFAULT_TIMEOUT_S
    repeatable: bool = True
    is_bulk: bool = False
    aim: float = 0.0
    priority: int = 0
    regions: tuple[str, ...] | None = None


@dataclass(frozen=True, slots=True)
class RemovedTarget:
    """Target whose entry the store no longer has.

    Attributes
    ----------
    gone_for : float
        Seconds since it was removed from the view.
    """

    target: Target
    service: str
    gone_for: float


@dataclass(frozen=True, slots=True)
class FormerService:
    """Service that a route no longer names.

    Attributes
    ----------
    address : Address
        Address of the route.
    removed_for : float
        Seconds since the service was removed from the route.
    """

    address: Address
    service: str
    removed_for: float


@dataclass(frozen=True, slots=True)
class RoutingView(Versioned):
    """Routes and targets as published up to one revision.

    Attributes
    ----------
    revision : int
        Revision of the store whose targets these are, within `era`.
    configuration : int
        Version of the routes, 0 until any are known.
    era : int
        Era of the store; see `StoreRevision`.
    evacuated_zones : tuple of str
        Names of the zones whose targets get no new connections, sorted.
    warmup_rates_by_service : mapping of str to float
        New connections per second that a cold target of a service can handle.
    removed_targets : tuple of RemovedTarget
        Targets that were removed from the view of the balancer that serves
        it, empty in the view that a balancer uses.
    former_services : tuple of FormerService
        Services that were removed from the routes, likewise.
    routes_known_for : float
        Seconds for which the balancer that serves the view has followed the
        routes without missing a version, 0 in the view that a balancer uses.
    """

    revision: int = 0
    configuration: int = 0
    routes_by_address: Mapping[Address, Route] = field(default_factory=dict)
    targets_by_service: Mapping[str, Mapping[str, Target]] = field(default_factory=dict)
    era: int = 0
    evacuated_zones: tuple[str, ...] = ()
    warmup_rates_by_service: Mapping[str, float] = field(default_factory=dict)
    removed_targets: tuple[RemovedTarget, ...] = ()
    former_services: tuple[FormerService, ...] = ()
    routes_known_for: float = 0.0


def merge_views(known: RoutingView, received: RoutingView) -> RoutingView:
    """Return the newer targets of two views with the newer routes.

    The evacuated zones belong to the targets: both follow the store's
    revision.

    Returns
    -------
    RoutingView
        `known` itself if `received` has neither.
    """
    latest, other = known, received
    if received.store > known.store:
        latest, other = received, known
    if other.configuration < latest.configuration:
        return latest
    if other.configuration == latest.configuration:
        # Balancers of earlier builds pass on the same configuration without
        # the rates.
        rates = latest.warmup_rates_by_service or other.warmup_rates_by_service
        if latest.warmup_rates_by_service == rates:
            return latest
        return replace(latest, warmup_rates_by_service=rates)
    return replace(
        latest,
        configuration=other.configuration,
        routes_by_address=other.routes_by_address,
        warmup_rates_by_service=other.warmup_rates_by_service,
    )


def pick_service(route: Route, flow_hash: int) -> str | None:
    """Return the service of a new connection, or None without weights.

    The choice depends only on the hash, so copies of an opening segment get
    the same service.
    """
    total = sum(route.weights_by_service.values())
    if total <= 0.0:
        return None
    point = flow_hash % (1 << 32) / (1 << 32) * total
    for service, weight in sorted(route.weights_by_service.items()):
        point -= weight
        if point < 0.0:
            return service
    return None
