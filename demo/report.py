"""Report of one run and the guarantees that it checks."""

from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

from demo.account import (
    Account,
    RunAccount,
    find_double_runs,
    find_false_refusals,
    find_unrun_answers,
)

PERCENTILES = (50.0, 90.0, 99.0, 100.0)


@dataclass(frozen=True, slots=True)
class Report:
    """Measurements of a run."""

    outcomes_by_kind: Mapping[str, Mapping[str, int]]
    latencies_by_kind: Mapping[str, Mapping[str, float]]
    feeds: int
    broken_feeds: int
    feed_causes: Mapping[str, int]
    gaps: int
    repeats: int
    steps_back: int
    longest_silence: float
    longest_stall: float
    double_runs: tuple[str, ...]
    false_refusals: tuple[str, ...]
    unrun_answers: tuple[str, ...]
    wrong_deliveries: int
    wrong_answers: tuple[str, ...]
    bad_digests: tuple[str, ...]
    late_work: int
    imbalance_by_service: Mapping[str, float]
    busy_by_service: Mapping[str, Mapping[str, float]] = field(default_factory=dict)

    def as_dict(self) -> dict:
        """Return the report as a dictionary that can be encoded as JSON."""
        return asdict(self)


def measure_imbalance(busy_by_target: Mapping[str, float]) -> float:
    """Return the ratio of the maximum to the mean busy time per slot."""
    times = list(busy_by_target.values())
    mean = sum(times) / len(times) if times else 0.0
    return max(times) / mean if mean else 0.0


def build_report(
    account: Account,
    runs: RunAccount,
    busy_by_service: Mapping[str, Mapping[str, float]],
    late_work: int = 0,
) -> Report:
    """Return the report on the callers' and the upstreams' accounts."""
    feeds = account.feeds_by_id.values()
    causes: dict[str, int] = {}
    for feed in feeds:
        for cause, count in feed.causes.items():
            causes[cause] = causes.get(cause, 0) + count
    silences = [silence for feed in feeds for silence in feed.silences]
    latencies = {
        name: {
            f"p{percentile:g}": histogram.get_value_at_percentile(percentile) / 1e3
            for percentile in PERCENTILES
        }
        for name, histogram in sorted(account.histograms_by_service.items())
    }
    return Report(
        outcomes_by_kind={
            name: dict(counts)
            for name, counts in sorted(account.count_outcomes().items())
        },
        latencies_by_kind=latencies,
        feeds=len(account.feeds_by_id),
        broken_feeds=len(account.broken_feeds()),
        feed_causes=causes,
        gaps=sum(feed.gaps for feed in feeds),
        repeats=sum(feed.repeats for feed in feeds),
        steps_back=sum(feed.steps_back for feed in feeds),
        longest_silence=max(silences, default=0.0),
        longest_stall=max((feed.longest_stall for feed in feeds), default=0.0),
        double_runs=tuple(find_double_runs(account, runs)),
        false_refusals=tuple(find_false_refusals(account, runs)),
        unrun_answers=tuple(find_unrun_answers(account, runs)),
        wrong_deliveries=runs.wrong_deliveries,
        wrong_answers=tuple(account.wrong_answers),
        bad_digests=tuple(account.bad_digests),
        late_work=late_work,
        imbalance_by_service={
            name: measure_imbalance(busy) for name, busy in busy_by_service.items()
        },
        busy_by_service=busy_by_service,
    )


def find_violated_guarantees(
    report: Report, broken_feeds_allowed: int = 0
) -> list[str]:
    """Return one line for each stated guarantee that the run violated."""
    guarantees = (
        (report.broken_feeds > broken_feeds_allowed, "broken feeds"),
        (bool(report.double_runs), "confirmations that ran twice"),
        (bool(report.false_refusals), "requests that ran after a refusal"),
        (bool(report.unrun_answers), "answered confirmations that never ran"),
        (report.wrong_deliveries > 0, "packets at another service's upstream"),
        (bool(report.wrong_answers), "answers to another request"),
        (bool(report.bad_digests), "damaged downloads"),
        (report.late_work > 0, "new work on a leaving upstream after 3 s"),
    )
    return [text for is_violated, text in guarantees if is_violated]


def format_report(report: Report) -> str:
    """Return the report as a table."""
    lines = ["requests               outcomes"]
    for name, counts in report.outcomes_by_kind.items():
        text = ", ".join(f"{count} {outcome}" for outcome, count in counts.items())
        lines.append(f"  {name:20} {text}")
    lines.append("latency (ms)           " + _format_cells("p50", "p90", "p99", "p100"))
    for name, latencies in report.latencies_by_kind.items():
        cells = _format_cells(*(f"{value:.1f}" for value in latencies.values()))
        lines.append(f"  {name:20} {cells}")
    lines.append("imbalance (busy time per slot, max/mean)")
    for name, imbalance in report.imbalance_by_service.items():
        lines.append(f"  {name:20} {imbalance:>8.2f}")
    causes = ", ".join(
        f"{count} {cause}" for cause, count in report.feed_causes.items()
    )
    rows = (
        ("feeds", report.feeds),
        ("broken feeds", f"{report.broken_feeds} {causes}".strip()),
        ("  gaps", report.gaps),
        ("  repeats", report.repeats),
        ("  steps back", report.steps_back),
        ("  longest stall (s)", f"{report.longest_stall:.1f}"),
        ("  longest silence (s)", f"{report.longest_silence:.1f}"),
        ("double runs", len(report.double_runs)),
        ("ran after refusal", len(report.false_refusals)),
        ("answered but not run", len(report.unrun_answers)),
        ("wrong deliveries", report.wrong_deliveries),
        ("wrong answers", len(report.wrong_answers)),
        ("damaged downloads", len(report.bad_digests)),
        ("late work on leaving", report.late_work),
    )
    lines += [f"{name:22} {value}" for name, value in rows]
    return "\n".join(lines)


def _format_cells(*texts: str) -> str:
    return " ".join(f"{text:>8}" for text in texts)
