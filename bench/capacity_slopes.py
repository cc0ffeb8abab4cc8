"""Measures the linear costs from which the capacity page is calculated."""

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
CACHED_SERVICES = (1024, 2048, 4096)
SERVICES = (1100, 3300, 11_000)
SERVICES_READ = (500, 1000, 2000)
PEERS = (1000, 4000, 16_000)
PEERS_IN_USE = (6000, 9000, 12_000)
PROCESSES = (300, 3300, 39_300)


@dataclass(frozen=True, slots=True)
class Slope:
    """Figures measured at three sizes or more, and the line fitted to them."""

    title: str
    bench: str
    unit: str
    sizes: tuple[float, ...]
    figures: tuple[float, ...]
    line: Line

    def at(self, size: float) -> float:
        """Return the value of the fitted line at `size`."""
        return self.line.slope * size + self.line.intercept


def measure_slope(
    title: str,
    bench: str,
    unit: str,
    sizes: Sequence[float],
    measure: Callable[[float], float],
) -> Slope:
    """Measure at each size, fit a line and print it."""
    figures = tuple(measure(size) for size in sizes)
    line = fit_line(sizes, figures)
    print(f"{title}: slope {line.slope:.4g} {unit}, residual {line.residual:.1%}")
    return Slope(title, bench, unit, tuple(sizes), figures, line)


def measure_slopes() -> dict[str, Slope]:
    """Return all measured slopes by the names that the tables use."""
    plan = {
        "relay": (
            "CPU of a balancer, by round trips",
            "datapath",
            "ms",
            ROUND_TRIPS,
            lambda n: measures.min_of_runs(measures.relayed_cpu, n),
        ),
        "rank": (
            "time to rank an uncached bucket, by targets",
            "routing",
            "us",
            TARGETS,
            measures.rank_us,
        ),
        "cache": (
            "memory of cached buckets, by buckets",
            "routing",
            "kB",
            ENTRIES,
            lambda n: measures.traced_kb(lambda: measures.make_cache(n)),
        ),
        "cached_services": (
            "memory of services with a cached bucket, by services",
            "capacity",
            "kB",
            CACHED_SERVICES,
            measures.multi_service_cache_kb,
        ),
        "established": (
            "memory of the table of recently answered flows, by entries",
            "capacity",
            "kB",
            ENTRIES,
            lambda n: measures.traced_kb(lambda: measures.make_established(n)),
        ),
        "peers": (
            "memory of the known peers, by peers",
            "membership",
            "kB",
            PEERS,
            lambda n: measures.traced_kb(lambda: measures.make_membership(n)),
        ),
        "loss": (
            "time to suspect all agents of a lost zone, by peers in use",
            "membership",
            "s",
            PEERS_IN_USE,
            measures.detection_time,
        ),
        "flow": (
            "memory of an agent, by flows without a feed",
            "agent",
            "kB",
            TRACED_FLOWS,
            lambda n: agent.measure_memory(n, feeds=False),
        ),
        "feed": (
            "memory of an agent, by flows with a feed",
            "agent",
            "kB",
            TRACED_FLOWS,
            lambda n: agent.measure_memory(n, feeds=True),
        ),
        "request": (
            "CPU of an agent, by requests",
            "agent",
            "ms",
            FLOWS,
            measures.requests_ms,
        ),
        "item": (
            "CPU of an agent, by feed items and their acknowledgements",
            "agent",
            "ms",
            FLOWS,
            measures.items_ms,
        ),
        "rerank": (
            "CPU of an agent for a view change, by flows ranked anew",
            "agent",
            "ms",
            FLOWS,
            measures.rerank_ms,
        ),
        "handoff": (
            "CPU of all agents for handoffs, by flows with a feed",
            "handoff",
            "ms",
            TRACED_FLOWS,
            lambda n: measures.min_of_runs(
                lambda m: handoff.measure_handoffs(m).cpu_ms, n
            ),
        ),
        "handoff_bytes": (
            "bytes of handoffs, by flows with a feed",
            "handoff",
            "B",
            TRACED_FLOWS,
            lambda n: handoff.measure_handoffs(n).sent_bytes,
        ),
        "handoff_time": (
            "virtual time of handoffs without network delay, by flows with a feed",
            "handoff",
            "s",
            TRACED_FLOWS,
            lambda n: handoff.measure_handoffs(n).seconds,
        ),
        "delegation": (
            "CPU of all agents, by delegated requests",
            "handoff",
            "ms",
            TRACED_FLOWS,
            lambda n: measures.min_of_runs(
                lambda m: handoff.measure_delegations(m).cpu_ms, n
            ),
        ),
        "delegation_bytes": (
            "bytes of delegation, by delegated requests",
            "handoff",
            "B",
            TRACED_FLOWS,
            lambda n: handoff.measure_delegations(n).sent_bytes,
        ),
        "notice": (
            "bytes of a home notice, by flows",
            "capacity",
            "B",
            (10, 100, 500),
            measures.notice_bytes,
        ),
        "unused": (
            "memory of unused tickets, by tickets",
            "tickets",
            "kB",
            ENTRIES,
            lambda n: tickets.measure_memory(tickets.make_unused, n) / 1000,
        ),
        "used": (
            "memory of used tickets with 64-byte outcomes, by tickets",
            "tickets",
            "kB",
            ENTRIES,
            lambda n: tickets.measure_memory(tickets.make_used, n) / 1000,
        ),
        "ticket": (
            "CPU of the ticket registry for one request, by records",
            "tickets",
            "us",
            ENTRIES,
            lambda n: 1e6 * measures.min_of_runs(tickets.measure_ticket_time, n),
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
        "list": (
            "bytes of a list of hosts, by hosts",
            "spread",
            "B",
            HOSTS,
            control.list_bytes,
        ),
        "difference": (
            "bytes of a change of one host in a list, by hosts",
            "capacity",
            "B",
            HOSTS,
            control.difference_bytes,
        ),
        "list_cpu": (
            "CPU to read a list with one host changed, by hosts",
            "spread",
            "ms",
            HOSTS,
            lambda n: spread.measure_host_change(spread.make_hosts(0, n)),
        ),
        "read": (
            "CPU to read all services at start-up, by services",
            "spread",
            "ms",
            SERVICES_READ,
            control.read_ms,
        ),
        "view": (
            "CPU to build a view, by services",
            "spread",
            "ms",
            SERVICES,
            control.view_ms,
        ),
        "balancer_view": (
            "CPU of a balancer to apply a view, by services",
            "capacity",
            "ms",
            SERVICES,
            lambda n: control.role_view_ms("balancer", n),
        ),
        "agent_view": (
            "CPU of an agent to apply a view, by services",
            "capacity",
            "ms",
            SERVICES,
            lambda n: control.role_view_ms("agent", n),
        ),
        "bind": (
            "CPU to bind service addresses, by sockets",
            "capacity",
            "ms",
            SOCKETS,
            measures.bind_ms,
        ),
        "sockets": (
            "memory of open sockets outside the kernel, by sockets",
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
            "time until all processes know a change (model), by processes",
            "epidemic",
            "s",
            PROCESSES,
            control.spread_seconds,
        ),
        "messages": (
            "messages per process for a change (model), by processes",
            "epidemic",
            "",
            PROCESSES,
            control.spread_messages,
        ),
    }
    return {name: measure_slope(*entry) for name, entry in plan.items()}
