"""Slopes that the capacity page is worked out from."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench import agent, handoff, spread, tickets
from bench import capacity_control as control
from bench import capacity_measures as measures
from bench.fit import Line, fit_line

ROUND_TRIPS = (20_000, 40_000, 80_000)
TARGETS = (3, 7, 20, 36)
SOCKETS = (100, 200, 400)
FLOWS = (500, 1000, 2000)
TRACED_FLOWS = (250, 500, 1000)
ENTRIES = (5_000, 10_000, 20_000)
HOSTS = (100, 400, 1572)
CONTESTS = (1024, 2048, 4096)
SERVICES = (1100, 3300, 11_000)
READ_AT_START = (500, 1000, 2000)
PEERS = (1000, 4000, 16_000)
LOST_FROM = (6000, 9000, 12_000)
PROCESSES = (300, 3300, 39_300)


@dataclass(frozen=True, slots=True)
class Slope:
    """Figures at three sizes or more and the line through them."""

    title: str
    bench: str
    unit: str
    sizes: tuple[float, ...]
    figures: tuple[float, ...]
    line: Line

    def at(self, size: float) -> float:
        """Return the figure of the line at `size`."""
        return self.line.slope * size + self.line.intercept


def measure_slope(
    title: str,
    bench: str,
    unit: str,
    sizes: Sequence[float],
    measure: Callable[[float], float],
) -> Slope:
    """Measure at each size and fit a line."""
    figures = tuple(measure(size) for size in sizes)
    line = fit_line(sizes, figures)
    print(f"{title}: {line.slope:.4g} {unit} each, residual {line.residual:.1%}")
    return Slope(title, bench, unit, tuple(sizes), figures, line)


def measure_slopes() -> dict[str, Slope]:
    """Measure all slopes, by the names that the tables use."""
    plan = {
        "relay": (
            "balancer CPU by round trips",
            "datapath",
            "ms",
            ROUND_TRIPS,
            lambda n: measures.least(measures.relayed_cpu, n),
        ),
        "rank": (
            "ranking of an uncached bucket by targets",
            "routing",
            "us",
            TARGETS,
            measures.rank_us,
        ),
        "cache": (
            "cached buckets",
            "routing",
            "kB",
            ENTRIES,
            lambda n: measures.traced_kb(lambda: measures.make_cache(n)),
        ),
        "contests": (
            "services with a cached bucket",
            "capacity",
            "kB",
            CONTESTS,
            measures.contests_kb,
        ),
        "established": (
            "flows answered lately at a balancer, by slots",
            "capacity",
            "kB",
            ENTRIES,
            lambda n: measures.traced_kb(lambda: measures.make_established(n)),
        ),
        "peers": (
            "peers known to a process",
            "membership",
            "kB",
            PEERS,
            lambda n: measures.traced_kb(lambda: measures.make_membership(n)),
        ),
        "loss": (
            "time to suspect a lost zone by peers in use",
            "membership",
            "s",
            LOST_FROM,
            measures.detection_time,
        ),
        "flow": (
            "agent memory by flows without a feed",
            "agent",
            "kB",
            TRACED_FLOWS,
            lambda n: agent.measure_memory(n, feeds=False),
        ),
        "feed": (
            "agent memory by flows with a feed",
            "agent",
            "kB",
            TRACED_FLOWS,
            lambda n: agent.measure_memory(n, feeds=True),
        ),
        "request": (
            "agent CPU by requests",
            "agent",
            "ms",
            FLOWS,
            measures.requests_ms,
        ),
        "item": (
            "agent CPU by feed items and their acknowledgements",
            "agent",
            "ms",
            FLOWS,
            measures.items_ms,
        ),
        "move": (
            "agent CPU of a view change by flows ranked anew",
            "agent",
            "ms",
            FLOWS,
            measures.moves_ms,
        ),
        "handoff": (
            "CPU of both agents by flows handed over with a feed",
            "handoff",
            "ms",
            TRACED_FLOWS,
            lambda n: measures.least(lambda m: handoff.measure_handoffs(m).cpu_ms, n),
        ),
        "handoff_bytes": (
            "bytes by flows handed over with a feed",
            "handoff",
            "B",
            TRACED_FLOWS,
            lambda n: handoff.measure_handoffs(n).sent_bytes,
        ),
        "handoff_time": (
            "time to hand flows over, packets arriving at once (virtual)",
            "handoff",
            "s",
            TRACED_FLOWS,
            lambda n: handoff.measure_handoffs(n).seconds,
        ),
        "delegation": (
            "CPU of both agents by delegated requests",
            "handoff",
            "ms",
            TRACED_FLOWS,
            lambda n: measures.least(
                lambda m: handoff.measure_delegations(m).cpu_ms, n
            ),
        ),
        "delegation_bytes": (
            "bytes by delegated requests",
            "handoff",
            "B",
            TRACED_FLOWS,
            lambda n: handoff.measure_delegations(n).sent_bytes,
        ),
        "notice": (
            "bytes of a home notice by flows",
            "capacity",
            "B",
            (10, 100, 500),
            measures.notice_bytes,
        ),
        "unused": (
            "unused tickets",
            "tickets",
            "kB",
            ENTRIES,
            lambda n: tickets.memory_of(tickets.make_unused, n) / 1000,
        ),
        "used": (
            "used tickets with 64-byte outcomes",
            "tickets",
            "kB",
            ENTRIES,
            lambda n: tickets.memory_of(tickets.make_used, n) / 1000,
        ),
        "ticket": (
            "one request through the ticket book, by records",
            "tickets",
            "us",
            ENTRIES,
            lambda n: 1e6 * measures.least(tickets.ticket_time, n),
        ),
        "balancer_config": (
            "resident memory of a balancer's configuration, by services",
            "capacity",
            "kB",
            SERVICES,
            lambda n: control.in_force_kb("balancer", n),
        ),
        "agent_config": (
            "resident memory of an agent's configuration, by services",
            "capacity",
            "kB",
            SERVICES,
            lambda n: control.in_force_kb("agent", n),
        ),
        "list": ("bytes of a list of hosts", "spread", "B", HOSTS, control.list_bytes),
        "difference": (
            "bytes of a change of one listed host",
            "capacity",
            "B",
            HOSTS,
            control.difference_bytes,
        ),
        "list_cpu": (
            "CPU to read a list with one host changed",
            "spread",
            "ms",
            HOSTS,
            lambda n: spread.measure_host_change(spread.make_hosts(0, n)),
        ),
        "read": (
            "CPU to read services at a start",
            "spread",
            "ms",
            READ_AT_START,
            control.read_ms,
        ),
        "view": (
            "CPU to build a view by services",
            "spread",
            "ms",
            SERVICES,
            control.view_ms,
        ),
        "balancer_view": (
            "CPU of a balancer to take a view, by services",
            "capacity",
            "ms",
            SERVICES,
            lambda n: control.role_view_ms("balancer", n),
        ),
        "agent_view": (
            "CPU of an agent to take a view, by services",
            "capacity",
            "ms",
            SERVICES,
            lambda n: control.role_view_ms("agent", n),
        ),
        "bind": (
            "CPU to bind service addresses",
            "capacity",
            "ms",
            SOCKETS,
            measures.bind_ms,
        ),
        "sockets": (
            "memory of open sockets, without the kernel's",
            "capacity",
            "kB",
            SOCKETS,
            measures.sockets_kb,
        ),
        "gossip_cpu": (
            "CPU of an idle exchange, both ends, by services",
            "spread",
            "ms",
            SERVICES,
            lambda n: control.exchange_costs(n)[0],
        ),
        "gossip": (
            "bytes of an idle exchange, both ways, by services",
            "spread",
            "B",
            SERVICES,
            lambda n: control.exchange_costs(n)[1],
        ),
        "spread": (
            "time until all know a change (model), by processes",
            "epidemic",
            "s",
            PROCESSES,
            control.spread_seconds,
        ),
        "messages": (
            "messages a process a change (model), by processes",
            "epidemic",
            "",
            PROCESSES,
            control.spread_messages,
        ),
    }
    return {name: measure_slope(*entry) for name, entry in plan.items()}
