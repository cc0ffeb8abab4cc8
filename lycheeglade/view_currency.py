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
# A change reaches all balancers of a zone within this time.
MAX_SPREAD_S = 0.6
NEVER = float("-inf")


def is_view_confirmed(balancer: ConnectionBalancer, now: float) -> bool:
    """Return whether the view has been current since this process started."""
    if balancer.current_as_of > NEVER:
        return True
    return now - balancer.view_at >= MAX_COPY_AGE_S


def is_view_current(balancer: ConnectionBalancer, at: float, now: float) -> bool:
    """Return whether the view lacks no change made before the time `at`."""
    if not is_view_confirmed(balancer, now):
        return False
    return balancer.current_as_of >= at or now - at >= MAX_SPREAD_S
