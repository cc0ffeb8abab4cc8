"""Decides whether a balancer's view may be too old to reset connections by.

A balancer that starts reads a copy of the store that may be seconds old. It
must not take the routes and targets that the copy lacks for missing ones.
"""

from lycheeglade.connection_balancer_state import ConnectionBalancer

# A balancer that reaches neither the store nor another balancer that reads it
# takes its first view for current after this time, so that the callers of lost
# connections are told at last.
MAX_COPY_AGE_S = 5.0
NEVER = float("-inf")


def is_view_confirmed(balancer: ConnectionBalancer, now: float) -> bool:
    """Return whether the view has been current since this process started."""
    if balancer.current_as_of > NEVER:
        return True
    return now - balancer.view_at >= MAX_COPY_AGE_S
