"""Results seen by callers, by request id, and upstream journal totals."""

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from hdrh.histogram import HdrHistogram

from demo.journal import read_journal

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2


class Outcome(StrEnum):
    """How a request ended for its caller."""

    ANSWERED = "answered"
    REFUSED = "refused"
    UNKNOWN = "unknown"
    GIVEN_UP = "given up"
    FAILED = "failed"


@dataclass(slots=True)
class FeedRecord:
    """Statistics of one caller's feed.

    Attributes
    ----------
    longest_stall : float
        Longest time between two items, in seconds.
    broken_at : list of float
        Monotonic times at which the feed broke.
    recoveries : list of float
        Seconds from the detection of each break to the next item.
    silences : list of float
        Seconds from the last item before each break to the next item.
    """

    feed_id: str
    items: int = 0
    heartbeats: int = 0
    longest_stall: float = 0.0
    gaps: int = 0
    repeats: int = 0
    steps_back: int = 0
    registrations: int = 0
    refusals: int = 0
    causes: Counter = field(default_factory=Counter)
    broken_at: list[float] = field(default_factory=list)
    recoveries: list[float] = field(default_factory=list)
    silences: list[float] = field(default_factory=list)

    @property
    def is_broken(self) -> bool:
        """Whether the feed had a break, a gap, a repeat or a step back."""
        return bool(self.broken_at or self.gaps or self.repeats or self.steps_back)

    @property
    def has_recovered(self) -> bool:
        """Whether items arrived again after the latest break."""
        return len(self.recoveries) == len(self.broken_at)


class Account:
    """Outcomes, latencies and feeds of all the callers of one process."""

    def __init__(self):
        self.outcomes_by_id: dict[str, Outcome] = {}
        self.refusals_by_id: Counter[str] = Counter()
        self.services_by_id: dict[str, str] = {}
        self.kinds_by_id: dict[str, str] = {}
        self.histograms_by_service: dict[str, HdrHistogram] = {}
        self.feeds_by_id: dict[str, FeedRecord] = {}
        self.wrong_answers: list[str] = []
        self.bad_digests: list[str] = []
        self.counters = Counter()

    def record_request(self, request_id: str, service: str, kind: str) -> None:
        """Record the first transmission of a request."""
        self.services_by_id[request_id] = service
        self.kinds_by_id[request_id] = kind

    def record_outcome(self, request_id: str, outcome: Outcome, latency: float):
        """Record the outcome of a request and, if answered, its latency."""
        self.outcomes_by_id[request_id] = outcome
        if outcome is Outcome.ANSWERED:
            name = f"{self.services_by_id[request_id]} {self.kinds_by_id[request_id]}"
            self.record_latency(name, latency)

    def record_latency(self, name: str, latency: float) -> None:
        """Record a latency in seconds in the histogram called `name`."""
        histogram = self.histograms_by_service.get(name)
        if histogram is None:
            histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self.histograms_by_service[name] = histogram
        histogram.record_value(min(max(1, int(latency * 1e6)), MAX_LATENCY_US))

    def count_outcomes(self) -> dict[str, Counter]:
        """Return the number of requests by kind and outcome."""
        counts: dict[str, Counter] = {}
        for request_id, kind in self.kinds_by_id.items():
            name = f"{self.services_by_id[request_id]} {kind}"
            outcome = self.outcomes_by_id.get(request_id, "open")
            counts.setdefault(name, Counter())[str(outcome)] += 1
        return counts

    def broken_feeds(self) -> list[FeedRecord]:
        """Return the feeds that broke."""
        return [feed for feed in self.feeds_by_id.values() if feed.is_broken]


@dataclass(frozen=True, slots=True)
class RunAccount:
    """Requests that the upstreams ran, read from their journals."""

    runs_by_id: Counter
    done_ids: frozenset[str]
    wrong_deliveries: int


def read_journals(paths) -> RunAccount:
    """Return the totals of the journals of all upstreams."""
    entries = [entry for path in paths for entry in read_journal(path)]
    return RunAccount(
        Counter(entry.request_id for entry in entries if entry.kind == "run"),
        frozenset(entry.request_id for entry in entries if entry.kind == "done"),
        sum(entry.kind == "wrong" for entry in entries),
    )


def find_double_runs(account: Account, runs: RunAccount) -> list[str]:
    """Return the ids of the confirmations that ran more than once."""
    return sorted(
        request_id
        for request_id, count in runs.runs_by_id.items()
        if count > 1 and account.kinds_by_id.get(request_id) == "confirm"
    )


def find_false_refusals(account: Account, runs: RunAccount) -> list[str]:
    """Return the ids of the requests that ran but finally were refused."""
    return sorted(
        request_id
        for request_id, outcome in account.outcomes_by_id.items()
        if outcome is Outcome.REFUSED and runs.runs_by_id[request_id]
    )


def find_unrun_answers(account: Account, runs: RunAccount) -> list[str]:
    """Return the ids of the confirmations that were answered but never ran."""
    return sorted(
        request_id
        for request_id, outcome in account.outcomes_by_id.items()
        if outcome is Outcome.ANSWERED
        and account.kinds_by_id[request_id] == "confirm"
        and not runs.runs_by_id[request_id]
    )
