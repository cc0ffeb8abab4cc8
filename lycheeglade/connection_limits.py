"""Limits that depend on the size of a fleet whose connections are carried.

The defaults hold up to some hundred balancers, since what grows with the fleet
follows from it: an agent spreads its reports a second over the balancers that
it hears, so that reports get rarer as these become more.
"""

from dataclasses import dataclass

MAX_RELAYED_QUERIES = 40
# Connections are open for up to CONNECTION_LIFETIME_S seconds.
CONNECTION_LIFETIME_S = 60.0


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits of the processes that carry connections.

    Attributes
    ----------
    balancer_connections : int
        Connections in a balancer's table; the least recently used is evicted.
    agent_connections : int
        Connections in an agent's table.
    load_request_interval_s : float
        Seconds between a balancer's requests for load reports.
    report_interval_s : float
        Minimum seconds between an agent's reports of a changed load.
    reports_per_s : float
        Maximum report datagrams per second of an agent, over all balancers
        of its zone.
    far_reports_per_s : float
        The same over all balancers of other zones. Replies to their requests
        count.
    relayed_queries : int
        Agents that one agent asks for a balancer that searches a connection.
    """

    balancer_connections: int = 20_000
    agent_connections: int = 8_000
    load_request_interval_s: float = 0.5
    report_interval_s: float = 0.1
    reports_per_s: float = 100.0
    far_reports_per_s: float = 40.0
    relayed_queries: int = MAX_RELAYED_QUERIES


DEFAULT_LIMITS = ConnectionLimits()


def load_limits(path: str) -> ConnectionLimits:
    """Read the limits in the INI file at `path`.

    Raises
    ------
    ConfigurationError
        If the file can't be read or is invalid, with one `OptionError` for
        each error.
    """
    # A process without such a file starts without these modules.
    from lycheeglade.options import OptionReader
    from lycheeglade.settings import read_text

    reader = OptionReader(read_text(path), path)
    section = reader.get_section("limits")
    default = DEFAULT_LIMITS
    limits = ConnectionLimits(
        section.get_int(
            "balancer_connections", default.balancer_connections, 100, 1_000_000
        ),
        section.get_int("agent_connections", default.agent_connections, 100, 1_000_000),
        section.get_float(
            "load_request_interval_s", default.load_request_interval_s, 0.05, 2.0
        ),
        section.get_float("report_interval_s", default.report_interval_s, 0.02, 2.0),
        section.get_float("reports_per_s", default.reports_per_s, 1.0, 10_000.0),
        section.get_float(
            "far_reports_per_s", default.far_reports_per_s, 1.0, 10_000.0
        ),
        section.get_int("relayed_queries", default.relayed_queries, 1, 1_000),
    )
    section.refuse_unknown()
    reader.finish()
    return limits
