"""Read-only HTTP server for operators: status, metrics and histograms."""

from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager
from itertools import groupby

from aiohttp.web import (
    Application,
    AppRunner,
    HTTPMethodNotAllowed,
    Request,
    Response,
    StreamResponse,
    TCPSite,
    middleware,
)
from hdrh.histogram import HdrHistogram
from msgspec.json import encode
from msgspec.json import format as format_json
from prometheus_client import CollectorRegistry, ProcessCollector
from prometheus_client.core import CounterMetricFamily, HistogramMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from lycheeglade.address import Address
from lycheeglade.histograms import US_PER_SECOND, Metrics

READ_METHODS = ("GET", "HEAD")
MAX_REQUEST_BYTES = 4096
SHUTDOWN_TIMEOUT = 1.0
BUCKET_BOUNDS_S = (0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25)
BUCKET_BOUNDS_S += (0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
METRIC_PREFIX = "lycheeglade"

DescribeStatus = Callable[[], Mapping[str, object]]


class MetricsCollector:
    """Exports a process's metrics to the Prometheus client library."""

    def __init__(self, metrics: Metrics):
        self._metrics = metrics

    def collect(self) -> Iterator[Metric]:
        """Yield metric families with the current values."""
        counters_by_name = groupby(self._metrics.counters(), lambda item: item[0].name)
        for name, counters in counters_by_name:
            family = CounterMetricFamily(
                f"{METRIC_PREFIX}_{name.replace('-', '_')}",
                f"Events counted as {name}.",
                labels=("service", "cause"),
            )
            for key, count in counters:
                family.add_metric((key.service, key.cause), count)
            yield family
        family = HistogramMetricFamily(
            f"{METRIC_PREFIX}_latency_seconds",
            "Latency by service, class of work and stage.",
            labels=("service", "work", "stage"),
        )
        for key, histogram in self._metrics.histograms():
            total_us = histogram.get_mean_value() * histogram.get_total_count()
            family.add_metric(
                tuple(map(str, key)),
                _cumulate_buckets(histogram),
                total_us / US_PER_SECOND,
            )
        yield family


def _cumulate_buckets(histogram: HdrHistogram) -> list[tuple[str, int]]:
    # The histogram rounds values to its resolution. The lowest value of each
    # step decides the bucket, so bounds hold to within that resolution.
    counts = [0] * (len(BUCKET_BOUNDS_S) + 1)
    for item in histogram.get_recorded_iterator():
        lowest = histogram.get_lowest_equivalent_value(item.value_iterated_to)
        seconds = lowest / US_PER_SECOND
        index = sum(seconds > bound for bound in BUCKET_BOUNDS_S)
        counts[index] += item.count_added_in_this_iter_step
    buckets = []
    cumulative = 0
    for bound, count in zip((*map(str, BUCKET_BOUNDS_S), "+Inf"), counts, strict=True):
        cumulative += count
        buckets.append((bound, cumulative))
    return buckets


@middleware
async def _reject_writes(request: Request, handler) -> StreamResponse:
    if request.method not in READ_METHODS:
        raise HTTPMethodNotAllowed(request.method, READ_METHODS)
    return await handler(request)


def build_application(metrics: Metrics, describe_status: DescribeStatus) -> Application:
    """Return the read-only HTTP application.

    Parameters
    ----------
    metrics : Metrics
        Metrics to serve at ``/metrics`` and ``/histograms``.
    describe_status : callable
        Returns the fields of ``/status``, of types that ``msgspec`` encodes
        as JSON. It is called in the event loop, once per request.
    """
    registry = CollectorRegistry()
    registry.register(MetricsCollector(metrics))
    ProcessCollector(registry=registry)

    async def status(request: Request) -> Response:
        return _json_response(describe_status())

    async def histograms(request: Request) -> Response:
        return _json_response(metrics.percentiles())

    async def prometheus(request: Request) -> Response:
        headers = {"Content-Type": CONTENT_TYPE_LATEST}
        return Response(body=generate_latest(registry), headers=headers)

    application = Application(
        middlewares=[_reject_writes], client_max_size=MAX_REQUEST_BYTES
    )
    application.router.add_get("/status", status)
    application.router.add_get("/histograms", histograms)
    application.router.add_get("/metrics", prometheus)
    return application


def _json_response(value: object) -> Response:
    body = format_json(encode(value), indent=2) + b"\n"
    return Response(body=body, content_type="application/json")


@asynccontextmanager
async def serve_operations(
    address: Address, metrics: Metrics, describe_status: DescribeStatus
) -> AsyncIterator[None]:
    """Serve operators' requests at `address` until the context exits.

    Raises
    ------
    OSError
        If `address` can't be bound.
    """
    application = build_application(metrics, describe_status)
    runner = AppRunner(application, access_log=None, shutdown_timeout=SHUTDOWN_TIMEOUT)
    await runner.setup()
    try:
        await TCPSite(runner, address.ip, address.port).start()
        yield
    finally:
        await runner.cleanup()
