"""Tables of the capacity page, worked out from measured slopes."""

from collections.abc import Iterable, Sequence

from bench import capacity_target as size
from bench.capacity_measures import sample_packets
from bench.capacity_slopes import Slope
from bench.capacity_workings import Workings, reads_at_rest, reads_by_changes
from lycheeglade.balancer import MAX_CACHED_BUCKETS, MAX_ESTABLISHED_FLOWS
from lycheeglade.membership import PINGS_PER_SECOND
from lycheeglade.routing import BUCKETS_PER_SERVICE, MAX_PREPARED_SERVICES
from lycheeglade.transport import SOCKET_BUFFER_BYTES
from lycheeglade.watch import READS_PER_S, RETRIES_PER_S, WATCHERS

UDP_IP_BYTES = 28
Row = Sequence[str]


def make_table(head: Row, rows: Iterable[Row]) -> str:
    """Return a table in Markdown."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join(f"| {' | '.join(line)} |" for line in lines)


def number(figure: float) -> str:
    """Return a figure with three digits, as plain text."""
    if abs(figure) >= 1000:
        return f"{float(f'{figure:.3g}'):,.0f}"
    return f"{figure:.3g}"


def slope_table(slopes: dict[str, Slope]) -> str:
    """Return the measured points, slopes and residuals."""
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
    head = ("Measured", "By", "Unit", "Size: figure", "Slope", "Intercept", "Residual")
    return make_table(head, rows)


def verdict(figure: float, limit: float) -> str:
    """Return whether a figure keeps its limit."""
    return "fits" if figure <= limit else "**does not fit**"


def role_table(work: Workings) -> str:
    """Return state, messages, processor time and memory by role."""
    trips = size.ROUND_TRIPS_PER_NODE_S
    config_by_role = {
        role: f"{number(work.config_mb(role))} MB" for role in ("balancer", "agent")
    }
    cache = work.each("cache", MAX_CACHED_BUCKETS) / 1000
    contests = work.each("contests", MAX_PREPARED_SERVICES) / 1000
    sockets = work.each("sockets", size.ADDRESSES) / 1000
    answered = work.each("established", MAX_ESTABLISHED_FLOWS) / 1000
    peers = work.each("peers", size.TARGETS) / 1000
    flows = work.each("feed", size.FLOWS_PER_TARGET) / 1000
    control = f"{number(work.control_bytes())} B/s"
    reads = reads_at_rest() + reads_by_changes()
    rows = [
        (
            "Balancer, packets",
            f"{MAX_CACHED_BUCKETS:,} ranked buckets {number(cache)} MB; "
            f"{MAX_ESTABLISHED_FLOWS:,} slots for answered flows "
            f"{number(answered)} MB; "
            f"{MAX_PREPARED_SERVICES:,} services to rank {number(contests)} MB; "
            f"{size.ADDRESSES:,} sockets {number(sockets)} MB; "
            f"{size.TARGETS:,} agents {number(peers)} MB, in the configuration",
            f"{number(trips)} from callers, as many answers",
            f"{work.balancer_core():.1%} of a core",
            f"{number(work.balancer_mb())} MB whole process",
            "buckets in place of state by flow; bounded tables",
        ),
        (
            "Agent, flows",
            f"{number(size.FLOWS_PER_TARGET)} flows with a feed {number(flows)} MB",
            f"{number(size.ITEMS_PER_TARGET_S)} items, as many acknowledgements; "
            f"{number(size.OPENS_PER_TARGET_S)} openings",
            f"{work.agent_core():.1%} of a core",
            f"{number(work.agent_mb())} MB whole process",
            "a flow's state lives at one agent",
        ),
        *(
            (
                f"{role.capitalize()}, control",
                f"configuration {config_by_role[role]}",
                f"1 exchange, {number(work.last('messages'))} a change; {control}",
                f"{work.control_core(role):.2%} of a core",
                f"{config_by_role[role]}, in the row above",
                "digests, pushes of a revision, one pull by whoever lacks it",
            )
            for role in ("balancer", "agent")
        ),
        (
            "Platform, reads",
            f"{WATCHERS} waiting watches",
            f"{number(reads)} over all readers",
            "the platform's own",
            "the platform's own",
            "watchers by rendezvous, at least two a zone",
        ),
    ]
    head = ("Role", "State", "Messages a second", "CPU", "Memory", "Mechanism")
    return make_table(head, rows)


def message_table(work: Workings) -> str:
    """Return each kind of message, its bytes and how often it is sent."""
    trips = size.ROUND_TRIPS_PER_NODE_S
    flows = number(size.FLOWS_PER_TARGET)
    probes = size.OPENS_PER_TARGET_S * (size.TARGETS_PER_SERVICE - 1)
    drained = size.RESTARTS_PER_DAY * size.FLOWS_PER_TARGET / size.DAY_S
    when_by_kind = {
        "Forward": (trips, "balancer", "a packet of a caller"),
        "Answer": (trips, "balancer", "a packet to a caller"),
        "Probe": (probes, "agent", "on an opening; as if no service were settled"),
        "ProbeReply": (probes, "agent", "as probes"),
        "HomeNotice": (None, "agent", f"{flows} flows at most, on a change only"),
        "Ping": (PINGS_PER_SECOND, "process", "on suspicion only; the bound"),
        "Pong": (PINGS_PER_SECOND, "process", "as pings"),
        "Delegate": (None, "agent", "a request that a peer can start sooner"),
        "DelegateReply": (None, "agent", "as delegated requests"),
        "HandoffOffer": (drained, "fleet", f"{flows} a restarted target"),
        "HandoffReady": (drained, "fleet", "as offers"),
        "HandoffCommit": (drained, "fleet", "as offers"),
        "HandoffDone": (drained, "fleet", "as offers"),
    }
    rows = []
    for kind, (rate, whose, when) in when_by_kind.items():
        length = len(sample_packets()[kind])
        bytes_per_s = "" if rate is None else number(rate * (length + UDP_IP_BYTES))
        shown = "not stated" if rate is None else f"{number(rate)} by each {whose}"
        if rate is not None and whose == "fleet":
            shown = f"{number(rate)} in the fleet"
        rows.append((kind, f"{length}", shown, bytes_per_s, when))
    head = ("Kind", "Bytes", "A second", "B/s with headers", "When")
    return make_table(head, rows)


def limit_table(work: Workings, dead_s: float, sudden_s: float) -> str:
    """Return each limit beside the figure that meets it or not."""
    rows = []

    def add(what: str, figure: float, limit: float, unit: str) -> None:
        rows.append(
            (
                what,
                f"{number(figure)} {unit}",
                f"{number(limit)} {unit}",
                verdict(figure, limit),
            )
        )

    for role in ("balancer", "agent"):
        core = 100 * work.control_core(role)
        add(f"Control, {role}, average", core, 100 * size.CONTROL_CORE, "% core")
        add(f"Change in force, {role}", work.in_force_s(role), size.IN_FORCE_S, "s")
    dead = "Change known, 30% of peers dead"
    add(f"{dead} for a minute or longer", dead_s, size.IN_FORCE_S, "s")
    add(f"{dead} since just before", sudden_s, size.IN_FORCE_S, "s")
    limit = size.CONTROL_BYTES_PER_S
    add("Control bytes, average", work.control_bytes(), limit, "B/s")
    add("Second in which a zone's list changes", work.change_bytes(), limit, "B/s")
    add(
        "Memory of a balancer, whole process", work.balancer_mb(), size.CONTROL_MB, "MB"
    )
    add("Memory of an agent, whole process", work.agent_mb(), size.CONTROL_MB, "MB")
    add("Balancer, packets", 100 * work.balancer_core(), 100, "% core")
    add("Agent, flows", 100 * work.agent_core(), 100, "% core")
    needed = work.established_needed()
    usable = MAX_ESTABLISHED_FLOWS * 2 / 3
    add("Flows answered lately, two thirds of a balancer's table", needed, usable, "")
    buckets = size.ADDRESSES * BUCKETS_PER_SERVICE
    add("Buckets of all services, cache of a balancer", buckets, MAX_CACHED_BUCKETS, "")
    reads = reads_at_rest() + reads_by_changes()
    add("Platform reads, average", reads, size.READS_PER_S, "/s")
    cold = WATCHERS * READS_PER_S
    add("Platform reads, all watchers at their budget", cold, size.READS_PER_S, "/s")
    add("Retries of all others", RETRIES_PER_S, size.READS_PER_S, "/s")
    add("Zone at once, one read each", size.HOSTS_PER_ZONE, size.READS_PER_S, "/s")
    add("Fleet at once, one read each", size.PROCESSES, size.READS_PER_S, "/s")
    head = ("What", "Worked out", "Limit", "")
    return make_table(head, rows)


def fault_table(work: Workings) -> str:
    """Return what planned and unplanned losses cost."""
    others = size.TARGETS - size.TARGETS_PER_ZONE
    reopened = size.TARGETS_PER_ZONE * size.FLOWS_PER_TARGET
    loss_s = work.at("loss", size.TARGETS)
    per_other = reopened / others
    reopen_s = work.each("request", per_other) / 1e3
    moves = size.RESTARTS_PER_DAY * size.FLOWS_PER_TARGET / size.DAY_S
    notice = work.each("notice", size.FLOWS_PER_TARGET)
    announce = work.each("move", size.FLOWS_PER_TARGET) / 1e3
    cold_s = size.ADDRESSES / READS_PER_S
    buffers = size.ADDRESSES * SOCKET_BUFFER_BYTES / 1e9
    rows = [
        (
            "One target changes in a service",
            f"each agent of it spends {number(announce)} s to rank its flows and at "
            f"most {number(notice)} B of notices",
        ),
        (
            "Restarts and replacements",
            f"{number(moves)} flows handed off a second in the fleet, "
            f"{number(size.FLOWS_PER_TARGET)} at each target that leaves: "
            f"{number(work.at('handoff', size.FLOWS_PER_TARGET) / 1e3)} s of "
            f"processor time of it and its successors and "
            f"{number(work.at('handoff_bytes', size.FLOWS_PER_TARGET))} B, in "
            f"{number(work.at('handoff_time', size.FLOWS_PER_TARGET))} s or "
            "longer",
        ),
        (
            "A host fails",
            f"{size.FAILURES_PER_DAY} times {number(size.FLOWS_PER_TARGET)} flows open "
            f"anew a day",
        ),
        (
            f"A rack of {size.HOSTS_PER_RACK} hosts",
            f"{number(size.HOSTS_PER_RACK * size.FLOWS_PER_TARGET)} flows open anew; "
            f"up to {size.HOSTS_PER_RACK} changes of a list",
        ),
        (
            "An availability zone",
            f"{number(reopened)} flows open anew, {number(per_other)} at each other "
            f"agent, {number(reopen_s)} s of its processor time; a "
            f"balancer that uses all agents suspects the last after "
            f"{number(loss_s)} s",
        ),
        (
            "A region apart",
            f"a balancer that uses all agents suspects the last after "
            f"{number(loss_s * size.ZONES / size.REGIONS)} s, if the time grows with "
            "the number lost",
        ),
        (
            "A start",
            f"{number(work.start_s())} s of processor time to read all services; "
            f"binding {size.ADDRESSES:,} addresses "
            f"{number(work.each('bind', size.ADDRESSES) / 1000)} s at a balancer",
        ),
        (
            "The fleet starts with no process that knows",
            f"{number(cold_s)} s for a watcher to read all services",
        ),
        (
            "Sockets of a balancer",
            f"{size.ADDRESSES:,}, whose receive buffers may take {number(buffers)} GB "
            "if all of them fill",
        ),
    ]
    return make_table(("Event", "Worked out"), rows)
