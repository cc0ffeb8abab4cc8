"""Latency histograms and counters of one process.

Metrics are recorded by service and class of work. The number of series is
limited: at the limit, existing series continue, and values of new services are
recorded under the service ``other``.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MAX_HISTOGRAMS = 600
MAX_COUNTERS = 4000
MIN_LATENCY_US = 1
MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 2
US_PER_SECOND = 1_000_000
OTHER = "other"


class Work(StrEnum):
    """Class of work that a latency belongs to.

    A balancer doesn't parse the packets that it carries and records `ANY`.
    `FLOW` is the flow itself, before its first request.
    """

    ANY = "any"
    FLOW = "flow"
    FEED = "feed"
    REPEATABLE = "repeatable"
    NOT_REPEATABLE = "not-repeatable"


class Stage(StrEnum):
    """Part of a request's path to which a latency belongs."""

    BALANCER = "balancer"
    QUEUE = "queue"
    UPSTREAM = "upstream"
    OPENING = "opening"
    WHOLE = "whole"


class HistogramKey(NamedTuple):
    """Labels of one histogram."""

    service: str
    work: str
    stage: str


class CounterKey(NamedTuple):
    """Name and labels of one counter; the labels may be empty."""

    name: str
    service: str
    cause: str


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Summary of one histogram, with latencies in seconds."""

    service: str
    work: str
    stage: str
    count: int
    mean_s: float
    p50_s: float
    p90_s: float
    p99_s: float
    p999_s: float
    max_s: float


class Metrics:
    """Histograms and counters of one process.

    Parameters
    ----------
    max_histograms, max_counters : int
        Limits of the number of series. At the limit, a latency of a new
        series is recorded for service ``other`` with its class and stage,
        and a count under its name with service and cause ``other``. Names,
        classes and stages are constants of the program, so that few series
        are added past the limits.
    """

    def __init__(
        self, max_histograms: int = MAX_HISTOGRAMS, max_counters: int = MAX_COUNTERS
    ):
        self._max_histograms = max_histograms
        self._max_counters = max_counters
        self._histograms_by_key: dict[HistogramKey, HdrHistogram] = {}
        self._counts_by_key: dict[CounterKey, int] = {}

    def count(
        self, name: str, service: str = "", cause: str = "", amount: int = 1
    ) -> None:
        """Add `amount` to the counter with this name and these labels."""
        key = (name, service, cause)
        counts_by_key = self._counts_by_key
        if key in counts_by_key:
            counts_by_key[key] += amount
            return
        if len(counts_by_key) >= self._max_counters:
            key = (name, OTHER, OTHER)
        counts_by_key[CounterKey(*key)] = counts_by_key.get(key, 0) + amount

    def record(
        self, service: str, work: Work | str, stage: Stage | str, seconds: float
    ) -> None:
        """Record a latency, clamped to the range 1 microsecond to 120 s."""
        key = (service, work, stage)
        histogram = self._histograms_by_key.get(key)
        if histogram is None:
            histogram = self._get_or_add_histogram(HistogramKey(*key))
        microseconds = int(seconds * US_PER_SECOND)
        histogram.record_value(min(max(microseconds, MIN_LATENCY_US), MAX_LATENCY_US))

    def counter(self, name: str, service: str = "", cause: str = "") -> int:
        """Return the value of one counter, or 0 if it does not exist."""
        return self._counts_by_key.get((name, service, cause), 0)

    def counters(self) -> list[tuple[CounterKey, int]]:
        """Return all counters, sorted by name and labels."""
        return sorted(self._counts_by_key.items())

    def histograms(self) -> Iterator[tuple[HistogramKey, HdrHistogram]]:
        """Return all histograms, in microseconds, sorted by labels."""
        return iter(sorted(self._histograms_by_key.items(), key=_get_labels))

    def percentiles(self) -> list[Percentiles]:
        """Return summaries of all histograms, sorted by labels."""
        return [_summarize(*item) for item in self.histograms()]

    def _get_or_add_histogram(self, key: HistogramKey) -> HdrHistogram:
        if len(self._histograms_by_key) >= self._max_histograms:
            key = key._replace(service=OTHER)
        histogram = self._histograms_by_key.get(key)
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self._histograms_by_key[key] = histogram
        return histogram


def _get_labels(item: tuple[HistogramKey, HdrHistogram]) -> HistogramKey:
    return item[0]


def _summarize(key: HistogramKey, histogram: HdrHistogram) -> Percentiles:
    p50, p90, p99, p999 = (
        histogram.get_value_at_percentile(percentile) / US_PER_SECOND
        for percentile in (50, 90, 99, 99.9)
    )
    return Percentiles(
        *map(str, key),
        count=histogram.get_total_count(),
        mean_s=histogram.get_mean_value() / US_PER_SECOND,
        p50_s=p50,
        p90_s=p90,
        p99_s=p99,
        p999_s=p999,
        max_s=histogram.get_max_value() / US_PER_SECOND,
    )
