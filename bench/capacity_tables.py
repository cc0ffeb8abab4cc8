"""Formats the tables of the capacity page."""

from collections.abc import Iterable, Sequence

from bench import capacity_target as size
from bench.capacity_measures import sample_packets
from bench.capacity_slopes import Slope
from bench.capacity_workings import (
    CapacityEstimate,
    change_reads_per_s,
    idle_reads_per_s,
)
from lycheeglade.balancer import MAX_CACHED_BUCKETS, MAX_ESTABLISHED_FLOWS
from lycheeglade.membership import PINGS_PER_SECOND
from lycheeglade.routing import BUCKETS_PER_SERVICE, MAX_PREPARED_SERVICES
from lycheeglade.transport import SOCKET_BUFFER_BYTES
from lycheeglade.watch import READS_PER_S, RETRIES_PER_S, WATCHERS

UDP_IP_BYTES = 28
Row = Sequence[str]


def make_table(head: Row, rows: Iterable[Row]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def number(figure: float) -> str:
    """Return a figure with three significant digits, without an exponent."""
    if abs(figure) >= 1000:
        return f"{float(f'{figure:.3g}'):,.0f}"
    return f"{figure:.3g}"


def slope_table(slopes: dict[str, Slope]) -> str:
    """Return the table of measured points, slopes and residuals."""
    rows = []
    for slope in slopes.values():
        points = zip(slope.sizes, slope.figures, strict=True)
        figures = "; ".join(f"{at:,}: {number(figure)}" for at, figure in points)
        line = slope.line
        rows.append(
            (
                slope.title,
                f"`bench.{slope.bench}`",
                slope.unit or "messages",
                figures,
                f"{line.slope:.3g}",
                f"{line.intercept:.3g}",
                f"{line.residual:.1%}",
            )
        )
    head = (
        "Measured",
        "Benchmark",
        "Unit",
        "Size: figure",
        "Slope",
        "Intercept",
        "Residual",
    )
    return make_table(head, rows)


def verdict(figure: float, limit: float) -> str:
    """Return the table cell that says whether a figure is within its limit."""
    return "within" if figure <= limit else "**exceeded**"


def role_table(work: CapacityEstimate) -> str:
    """Return the table of state, messages, CPU time and memory by role."""
    trips = size.ROUND_TRIPS_PER_NODE_S
    config_by_role = {
        role: f"{number(work.config_mb(role))} MB" for role in ("balancer", "agent")
    }
    cache = work.scale("cache", MAX_CACHED_BUCKETS) / 1000
    cached_services_mb = work.scale("cached_services", MAX_PREPARED_SERVICES) / 1000
    sockets = work.scale("sockets", size.ADDRESSES) / 1000
    answered = work.scale("established", MAX_ESTABLISHED_FLOWS) / 1000
    peers = work.scale("peers", size.TARGETS) / 1000
    flows = work.scale("feed", size.FLOWS_PER_TARGET) / 1000
    control = f"{number(work.control_bytes())} B/s"
    reads = idle_reads_per_s() + change_reads_per_s()
    rows = [
        (
            "Balancer, packets",
            f"{MAX_CACHED_BUCKETS:,} ranked buckets {number(cache)} MB; "
            f"{MAX_ESTABLISHED_FLOWS:,} table entries for answered flows "
            f"{number(answered)} MB; "
            f"{MAX_PREPARED_SERVICES:,} prepared services "
            f"{number(cached_services_mb)} MB; "
            f"{size.ADDRESSES:,} sockets {number(sockets)} MB; "
            f"{size.TARGETS:,} agents {number(peers)} MB, part of the configuration",
            f"{number(trips)} from callers, as many answers",
            f"{work.balancer_core():.1%} of a core",
            f"{number(work.balancer_mb())} MB for the process",
            "buckets instead of state per flow; bounded tables",
        ),
        (
            "Agent, flows",
            f"{number(size.FLOWS_PER_TARGET)} flows with a feed {number(flows)} MB",
            f"{number(size.ITEMS_PER_TARGET_S)} items, as many acknowledgements; "
            f"{number(size.OPENS_PER_TARGET_S)} openings",
            f"{work.agent_core():.1%} of a core",
            f"{number(work.agent_mb())} MB for the process",
            "one agent holds a flow's state",
        ),
        *(
            (
                f"{role.capitalize()}, control",
                f"configuration {config_by_role[role]}",
                f"1 exchange, {number(work.at_largest_size('messages'))} per change; "
                f"{control}",
                f"{work.control_core(role):.2%} of a core",
                f"{config_by_role[role]}, in the row above",
                "digests, pushes of a revision, one pull by each process that lacks it",
            )
            for role in ("balancer", "agent")
        ),
        (
            "Platform, reads",
            f"{WATCHERS} open watches",
            f"{number(reads)} by all watchers",
            "on the platform",
            "on the platform",
            "watchers chosen by rendezvous hashing, at least two per zone",
        ),
    ]
    head = ("Role", "State", "Messages per second", "CPU", "Memory", "Mechanism")
    return make_table(head, rows)


def message_table(work: CapacityEstimate) -> str:
    """Return the table of message kinds with their sizes and rates."""
    trips = size.ROUND_TRIPS_PER_NODE_S
    flows = number(size.FLOWS_PER_TARGET)
    probes = size.OPENS_PER_TARGET_S * (size.TARGETS_PER_SERVICE - 1)
    drained = size.RESTARTS_PER_DAY * size.FLOWS_PER_TARGET / size.DAY_S
    when_by_kind = {
        "Forward": (trips, "balancer", "a packet of a caller"),
        "Answer": (trips, "balancer", "a packet to a caller"),
        "Probe": (probes, "agent", "on an opening; assumes that no service is settled"),
        "ProbeReply": (probes, "agent", "answers a probe"),
        "HomeNotice": (None, "agent", f"at most {flows} flows, only on a change"),
        "Ping": (PINGS_PER_SECOND, "process", "only on suspicion; upper limit"),
        "Pong": (PINGS_PER_SECOND, "process", "answers a ping"),
        "Delegate": (None, "agent", "a request that a peer can start earlier"),
        "DelegateReply": (None, "agent", "answers a delegated request"),
        "HandoffOffer": (drained, "fleet", f"{flows} for a restarted target"),
        "HandoffReady": (drained, "fleet", "one per offer"),
        "HandoffCommit": (drained, "fleet", "one per offer"),
        "HandoffDone": (drained, "fleet", "one per offer"),
    }
    rows = []
    for kind, (rate, sender, when) in when_by_kind.items():
        length = len(sample_packets()[kind])
        bytes_per_s = "" if rate is None else number(rate * (length + UDP_IP_BYTES))
        rate_text = (
            "not estimated" if rate is None else f"{number(rate)} by each {sender}"
        )
        if rate is not None and sender == "fleet":
            rate_text = f"{number(rate)} in the fleet"
        rows.append((kind, f"{length}", rate_text, bytes_per_s, when))
    head = ("Kind", "Bytes", "Per second", "B/s with headers", "When")
    return make_table(head, rows)


def limit_table(
    work: CapacityEstimate, known_failed_s: float, newly_failed_s: float
) -> str:
    """Return the table of limits and the estimates compared with them."""
    rows = []

    def add(label: str, figure: float, limit: float, unit: str) -> None:
        rows.append(
            (
                label,
                f"{number(figure)} {unit}",
                f"{number(limit)} {unit}",
                verdict(figure, limit),
            )
        )

    for role in ("balancer", "agent"):
        core = 100 * work.control_core(role)
        add(f"Control, {role}, average", core, 100 * size.CONTROL_CORE, "% core")
        add(f"Change in force, {role}", work.in_force_s(role), size.IN_FORCE_S, "s")
    failed = "Change known, 30% of peers failed"
    add(f"{failed} for a minute or longer", known_failed_s, size.IN_FORCE_S, "s")
    add(f"{failed} just before the change", newly_failed_s, size.IN_FORCE_S, "s")
    limit = size.CONTROL_BYTES_PER_S
    add("Control bytes, average", work.control_bytes(), limit, "B/s")
    add("Second in which a zone's list changes", work.change_bytes(), limit, "B/s")
    add("Memory of a balancer process", work.balancer_mb(), size.CONTROL_MB, "MB")
    add("Memory of an agent process", work.agent_mb(), size.CONTROL_MB, "MB")
    add("Balancer, packets", 100 * work.balancer_core(), 100, "% core")
    add("Agent, flows", 100 * work.agent_core(), 100, "% core")
    needed = work.established_flows()
    usable = MAX_ESTABLISHED_FLOWS * 2 / 3
    add("Recently answered flows, two thirds of a balancer's table", needed, usable, "")
    buckets = size.ADDRESSES * BUCKETS_PER_SERVICE
    add(
        "Buckets of all services, in a balancer's cache",
        buckets,
        MAX_CACHED_BUCKETS,
        "",
    )
    reads = idle_reads_per_s() + change_reads_per_s()
    add("Platform reads, average", reads, size.READS_PER_S, "/s")
    max_reads = WATCHERS * READS_PER_S
    add(
        "Platform reads, all watchers at their rate limit",
        max_reads,
        size.READS_PER_S,
        "/s",
    )
    add(
        "Platform read retries of all other processes",
        RETRIES_PER_S,
        size.READS_PER_S,
        "/s",
    )
    add(
        "Platform reads, one by each process of a zone at once",
        size.HOSTS_PER_ZONE,
        size.READS_PER_S,
        "/s",
    )
    add(
        "Platform reads, one by each process of the fleet at once",
        size.PROCESSES,
        size.READS_PER_S,
        "/s",
    )
    head = ("What", "Estimate", "Limit", "")
    return make_table(head, rows)


def fault_table(work: CapacityEstimate) -> str:
    """Return the table of costs of changes, losses and starts."""
    others = size.TARGETS - size.TARGETS_PER_ZONE
    reopened = size.TARGETS_PER_ZONE * size.FLOWS_PER_TARGET
    loss_s = work.at("loss", size.TARGETS)
    per_other = reopened / others
    reopen_s = work.scale("request", per_other) / 1e3
    handoffs_per_s = size.RESTARTS_PER_DAY * size.FLOWS_PER_TARGET / size.DAY_S
    notice = work.scale("notice", size.FLOWS_PER_TARGET)
    announce = work.scale("rerank", size.FLOWS_PER_TARGET) / 1e3
    read_all_s = size.ADDRESSES / READS_PER_S
    buffers = size.ADDRESSES * SOCKET_BUFFER_BYTES / 1e9
    rows = [
        (
            "One target changes in a service",
            f"each of its agents takes {number(announce)} s to rank its flows and "
            f"sends at most {number(notice)} B of notices",
        ),
        (
            "Restarts and replacements",
            f"{number(handoffs_per_s)} flows handed off per second in the fleet, "
            f"{number(size.FLOWS_PER_TARGET)} by each leaving target: "
            f"{number(work.at('handoff', size.FLOWS_PER_TARGET) / 1e3)} s of "
            f"CPU time of the target and its successors and "
            f"{number(work.at('handoff_bytes', size.FLOWS_PER_TARGET))} B, in "
            f"at least {number(work.at('handoff_time', size.FLOWS_PER_TARGET))} s",
        ),
        (
            "A host fails",
            f"{number(size.FLOWS_PER_TARGET)} flows reopen, "
            f"{size.FAILURES_PER_DAY} times per day",
        ),
        (
            f"A rack of {size.HOSTS_PER_RACK} hosts",
            f"{number(size.HOSTS_PER_RACK * size.FLOWS_PER_TARGET)} flows reopen; "
            f"up to {size.HOSTS_PER_RACK} changes of a list",
        ),
        (
            "An availability zone",
            f"{number(reopened)} flows reopen, {number(per_other)} at each other "
            f"agent, {number(reopen_s)} s of its CPU time; a "
            f"balancer that uses all agents suspects the last one after "
            f"{number(loss_s)} s",
        ),
        (
            "A region cut off",
            f"a balancer that uses all agents suspects the last one after "
            f"{number(loss_s * size.ZONES / size.REGIONS)} s, if the time grows with "
            "the number of lost agents",
        ),
        (
            "Start of a process",
            f"{number(work.start_s())} s of CPU time to read all services; "
            f"binding {size.ADDRESSES:,} addresses "
            f"{number(work.scale('bind', size.ADDRESSES) / 1000)} s at a balancer",
        ),
        (
            "Start of the fleet, no process knows the configuration",
            f"{number(read_all_s)} s for a watcher to read all services",
        ),
        (
            "Sockets of a balancer",
            f"{size.ADDRESSES:,}, whose receive buffers may take {number(buffers)} GB "
            "if all of them fill",
        ),
    ]
    return make_table(("Event", "Estimate"), rows)
