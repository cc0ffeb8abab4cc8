"""Decides whether a balancer's view may be too old to reset connections by.

A balancer that starts reads a copy of the store that may be seconds old. It
must not take the routes and targets that the copy lacks for missing ones.

A change also reaches the balancers one after the other. One that is behind may
get a segment of a connection that another one has opened by the newer view.
"""

from lycheeglade.connection_balancer_state import ConnectionBalancer

# A balancer that reaches neither the store nor another balancer that reads it
# takes its first view for current after this time, so that the callers of lost
# connections are told at last.
MAX_COPY_AGE_S = 5.0
# A change reaches all balancers within MAX_SPREAD_S, and those of one zone
# within MAX_ZONE_SPREAD_S of each other.
MAX_SPREAD_S = 0.6
MAX_ZONE_SPREAD_S = 0.3
# A balancer that is known to be behind, or whose zone has lost its watcher,
# has the newer view within this time.
MAX_CATCH_UP_S = 1.2
NEVER = float("-inf")


def is_view_confirmed(balancer: ConnectionBalancer, now: float) -> bool:
    """Return whether the view has been known to be current at some time."""
    if balancer.current_as_of > NEVER:
        return True
    return now - balancer.view_at >= MAX_COPY_AGE_S


def is_view_current(balancer: ConnectionBalancer, at: float, now: float) -> bool:
    """Return whether the view lacks no change made before the time `at`.

    Without word of a balancer that reads the store, that is assumed of changes
    that are so old that they would have reached this zone.
    """
    if not is_view_confirmed(balancer, now):
        return False
    if balancer.current_as_of >= at:
        return True
    limit = MAX_CATCH_UP_S if balancer.is_view_awaited else MAX_ZONE_SPREAD_S
    return now - at >= limit
