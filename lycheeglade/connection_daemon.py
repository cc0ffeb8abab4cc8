"""Code shared by the processes that handle connections.

Their hosts are small and restart often, so each process imports only light
modules and none that only another role needs. The deployment passes in where
packets come from and how the view is published.
"""

from asyncio import Event, get_running_loop, sleep
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from logging import INFO, WARNING, getLogger
from signal import SIG_IGN, SIGHUP, SIGINT, SIGTERM, signal
from time import monotonic
from typing import TypeVar

from lycheeglade.address import Address, Zone
from lycheeglade.connection_limits import DEFAULT_LIMITS, ConnectionLimits
from lycheeglade.errors import PacketError
from lycheeglade.logs import log_event
from lycheeglade.segment import ConnectionKey, Segment
from lycheeglade.supervision import (
    log_failure,
    open_when_free,
    report_callback_errors,
)
from lycheeglade.transport import DatagramSocket, Receiver
from lycheeglade.warmup import WarmupBounds

logger = getLogger(__name__)

Decoded = TypeVar("Decoded")

# Maximum number of log lines per second of each kind of event; further lines
# are counted.
LOG_LINES_PER_S = 50
ANY_KIND = "any"
# A packet has up to 1,200 bytes of data. A larger datagram is cut off and then
# malformed, since its length field does not match.
MAX_PACKET_BYTES = 2048


@dataclass(frozen=True, slots=True)
class SegmentCodec:
    """Wire format of segments in a deployment.

    Attributes
    ----------
    decode : callable
        Decode a segment from a datagram. Raises `PacketError`.
    tag : callable
        Return a datagram with a tag, which the target returns unchanged.
    encode_reset : callable
        Return the datagram that resets a connection.
    """

    decode: Callable[[bytes], Segment]
    tag: Callable[[bytes, int], bytes]
    encode_reset: Callable[[ConnectionKey, int], bytes]


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of a process that handles connections.

    Attributes
    ----------
    internal : Address
        Address for messages of other balancers and agents.
    external : Address
        Address for packets of callers (balancer) or of the target (agent).
    caller_port : int
        Port at which callers receive packets.
    zone : Zone, optional
        Zone of a balancer.
    upstream : Address, optional
        Address at which an agent's target receives packets.
    service : str
        Service of an agent's target.
    warmup_overage : float, optional
        Factor by which a cold target may get more than its rate.
    warmup_slack : float, optional
        New connections that it may get in addition, in any second.
    """

    host_id: str
    internal: Address
    external: Address
    caller_port: int
    zone: Zone | None = None
    upstream: Address | None = None
    service: str = ""
    limits: ConnectionLimits = DEFAULT_LIMITS
    warmup_overage: float | None = None
    warmup_slack: float | None = None

    @property
    def warmup_bounds(self) -> WarmupBounds | None:
        """Bounds for a cold target, None unless both are set."""
        if self.warmup_overage is None or self.warmup_slack is None:
            return None
        return WarmupBounds(self.warmup_overage, self.warmup_slack)


class EventLog:
    """Logs and counts events, and records latencies.

    The number of lines per second is bounded for each kind of event; events
    beyond the bound are only counted. The histogram module is imported with
    the first latency, to keep the start of the process short.

    Attributes
    ----------
    service : str
        Label of the latencies.

    Parameters
    ----------
    lost_by_event : Counter
        Lines that the log's handler could not write, by event. They are
        reported and removed.
    """

    def __init__(self, service: str = "", lost_by_event: Counter[str] | None = None):
        self.service = service
        self._second = 0
        self._lines_by_event: Counter[str] = Counter()
        self._left_out_by_event: Counter[str] = Counter()
        self._lost_by_event = Counter() if lost_by_event is None else lost_by_event
        self._counts_by_event: Counter[tuple[str, str]] = Counter()
        self._gauges_by_name: dict[str, float] = {}
        self._metrics = None

    def __call__(self, event: str, count: int = 1, **fields: object) -> None:
        """Count `event`, and log it unless its rate limit is reached.

        Parameters
        ----------
        count : int
            Number of equal events that one line stands for.
        """
        self._counts_by_event[event, str(fields.get("cause", ""))] += count
        second = int(monotonic())
        if second != self._second:
            self._second = second
            self._lines_by_event.clear()
            self._report_left_out()
        self._lines_by_event[event] += 1
        if self._lines_by_event[event] > LOG_LINES_PER_S:
            self._left_out_by_event[event] += 1
            return
        if count > 1:
            fields["count"] = count
        log_event(logger, INFO, event, **fields)

    def _report_left_out(self) -> None:
        """Log how many lines of each kind are missing since last time."""
        left_out = self._left_out_by_event + self._lost_by_event
        self._left_out_by_event.clear()
        self._lost_by_event.clear()
        for kind, lines in sorted(left_out.items()):
            self._counts_by_event["log-bounded", kind] += lines
            log_event(logger, WARNING, "log-bounded", kind=kind, left_out=lines)

    def record(self, stage: str, seconds: float) -> None:
        """Record a latency in seconds."""
        if self._metrics is None:
            from lycheeglade.histograms import Metrics

            self._metrics = Metrics()
        self._metrics.record(self.service, ANY_KIND, stage, seconds)

    def set_gauge(self, name: str, value: float) -> None:
        """Set a metric that may rise and fall."""
        self._gauges_by_name[name] = value

    def format(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [
            f'lycheeglade_events_total{{event="{event}",cause="{cause}"}} {count}'
            for (event, cause), count in sorted(self._counts_by_event.items())
        ]
        lines += [
            f"lycheeglade_{name} {value:g}"
            for name, value in sorted(self._gauges_by_name.items())
        ]
        if self._metrics is not None:
            for summary in self._metrics.percentiles():
                labels = f'service="{summary.service}",stage="{summary.stage}"'
                name = "lycheeglade_latency_seconds"
                lines += [
                    f'{name}{{{labels},quantile="0.5"}} {summary.p50_s:g}',
                    f'{name}{{{labels},quantile="0.99"}} {summary.p99_s:g}',
                    f"{name}_count{{{labels}}} {summary.count}",
                ]
        return "\n".join(lines) + "\n"


def decode_or_log(
    decode: Callable[[bytes], Decoded], datagram: bytes, source: tuple, log: EventLog
) -> Decoded | None:
    """Return the decoded datagram, or log it and return None if malformed."""
    try:
        return decode(datagram)
    except PacketError as error:
        log("malformed", source=source, cause=error.cause)
        return None


def install_stop_handlers() -> Event:
    """Return an event that SIGTERM and SIGINT set; poll it.

    The handlers stay until the process has ended. Those of an event loop are
    removed before, and a further signal would then have its default action.
    """
    stop = Event()
    for number in (SIGTERM, SIGINT):
        signal(number, lambda number, frame: stop.set())
    # SIGHUP needs no reload: settings that may change are read at each use.
    signal(SIGHUP, SIG_IGN)
    return stop


def log_callback_failures(log: EventLog) -> None:
    """Log errors of callbacks and forgotten tasks of the event loop."""
    report_callback_errors(partial(log_failure, "callback", log=log))


async def open_sockets(
    settings: ProcessSettings,
    on_message: Receiver,
    on_segment: Receiver,
    stop: Event,
    log: EventLog,
) -> tuple[DatagramSocket, DatagramSocket] | None:
    """Open the internal and the external socket, as soon as both can be.

    Returns
    -------
    tuple of DatagramSocket or None
        None if `stop` was set before.
    """
    loop = get_running_loop()

    def open_both() -> tuple[DatagramSocket, DatagramSocket]:
        internal = DatagramSocket(loop, on_message, local=settings.internal)
        try:
            external = DatagramSocket(
                loop,
                on_segment,
                local=settings.external,
                max_bytes=MAX_PACKET_BYTES,
            )
        except OSError:
            internal.close()
            raise
        return internal, external

    return await open_when_free(open_both, "sockets", stop, log)


async def run_until(stop: Event, tick: Callable[[float], None], period: float) -> None:
    """Call `tick` with the current time every `period` seconds."""
    while not stop.is_set():
        tick(monotonic())
        await sleep(period)
