"""Decides whether a process knows all that it needs of the time before.

A process that has just started has empty tables. That something is missing in
them shows only what has not happened since, and that no other process tells of
it shows nothing: the others may have started as late. A table is complete once
the process has kept it for as long as its entries may matter.

Times are monotonic seconds. Clocks of the day are set while processes run, so
that the order of two starts cannot be derived from them.
"""

from lycheeglade.connection_agent_state import ConnectionAgent
from lycheeglade.connection_balancer_state import ConnectionBalancer
from lycheeglade.connection_limits import CONNECTION_LIFETIME_S


def is_table_complete(agent: ConnectionAgent, now: float) -> bool:
    """Return whether an agent knows all open connections of its target.

    That takes as long as a connection may be open, since an earlier process
    may have let connections in. A table that was full lacks connections for as
    long. Only the target knows them until then.
    """
    return _covers_lifetime(max(agent.started_at, agent.discarded_at), now)


def knows_all_services(balancer: ConnectionBalancer, now: float) -> bool:
    """Return whether a balancer knows all services that a route has named.

    That is the case if it, or the balancer from which it has the history, has
    followed the routes for as long as a connection may be open, without
    missing a version.
    """
    return _covers_lifetime(balancer.routes_known_at, now)


def _covers_lifetime(since: float, now: float) -> bool:
    return now - since >= CONNECTION_LIFETIME_S
