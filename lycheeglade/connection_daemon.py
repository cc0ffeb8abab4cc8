"""What processes that carry connections have in common.

Their hosts are small and restart often, so that each imports light modules
only, and none that another role needs. Where packets come from and how the
view is published is a matter of the deployment, which passes it in.
"""

from asyncio import Event, Task, get_running_loop, sleep
from collections.abc import Callable
from dataclasses import dataclass
from logging import INFO, WARNING, getLogger
from signal import SIGHUP, SIGINT, SIGTERM
from time import monotonic
from typing import TypeVar

from lycheeglade.address import Address, Zone
from lycheeglade.errors import PacketError
from lycheeglade.logs import log_event
from lycheeglade.segment import ConnectionKey, Segment

logger = getLogger(__name__)

Decoded = TypeVar("Decoded")

# Lines a second that the log of one process takes; what is over is counted.
LOG_LINES_PER_S = 50
ANY_WORK = "any"


@dataclass(frozen=True, slots=True)
class SegmentCodec:
    """How segments look on the wire of a deployment.

    Attributes
    ----------
    decode : callable
        Read a segment from a datagram. Raises `PacketError`.
    tag : callable
        Return a datagram with a tag that a target leaves alone.
    encode_reset : callable
        Return the datagram that resets a connection.
    """

    decode: Callable[[bytes], Segment]
    tag: Callable[[bytes, int], bytes]
    encode_reset: Callable[[ConnectionKey, int], bytes]


@dataclass(frozen=True, slots=True)
class CarrierSettings:
    """What a process that carries connections is told of itself.

    Attributes
    ----------
    internal : Address
        Where other processes of the system send to.
    outside : Address
        Where callers (balancer) or the target (agent) send to.
    caller_port : int
        Port at which callers receive.
    upstream : Address, optional
        Where an agent's target receives.
    service : str
        What an agent's target serves.
    """

    host_id: str
    zone: Zone
    internal: Address
    outside: Address
    caller_port: int
    upstream: Address | None = None
    service: str = ""


class EventLog:
    """Logs and counts events, and records latencies.

    The log takes a bounded number of lines a second; what is over is counted
    alone. Histograms are loaded with the first latency, since a process that
    starts has more urgent work.

    Parameters
    ----------
    service : str
        Label of the latencies.
    """

    def __init__(self, service: str = ""):
        self._service = service
        self._second = 0
        self._lines = 0
        self._left_out = 0
        self._counts_by_event: dict[tuple[str, str], int] = {}
        self._metrics = None

    def __call__(self, event: str, **fields: object) -> None:
        """Count `event`, and log it unless there are too many lines."""
        key = (event, str(fields.get("cause", "")))
        self._counts_by_event[key] = self._counts_by_event.get(key, 0) + 1
        second = int(monotonic())
        if second != self._second:
            if self._left_out:
                log_event(logger, WARNING, "log-bounded", left_out=self._left_out)
            self._second, self._lines, self._left_out = second, 0, 0
        if self._lines >= LOG_LINES_PER_S:
            self._left_out += 1
            return
        self._lines += 1
        log_event(logger, INFO, event, **fields)

    def record(self, stage: str, seconds: float) -> None:
        """Record a latency in seconds."""
        if self._metrics is None:
            from lycheeglade.histograms import Metrics

            self._metrics = Metrics()
        self._metrics.record(self._service, ANY_WORK, stage, seconds)

    def format(self) -> str:
        """Return all counts and latencies in Prometheus's text format."""
        lines = [
            f'lycheeglade_events_total{{event="{event}",cause="{cause}"}} {count}'
            for (event, cause), count in sorted(self._counts_by_event.items())
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
    """Return what a datagram holds; one that can't be read is logged."""
    try:
        return decode(datagram)
    except PacketError as error:
        log("malformed", source=source, cause=error.cause)
        return None


def watch_signals() -> Event:
    """Return an event that a request to stop sets."""
    stop = Event()
    loop = get_running_loop()
    for number in (SIGTERM, SIGINT):
        loop.add_signal_handler(number, stop.set)
    # What may change while a process runs is read each time it is used.
    loop.add_signal_handler(SIGHUP, lambda: None)
    return stop


async def run_until(stop: Event, tick: Callable[[float], None], period: float) -> None:
    """Call `tick` with the present time each `period` seconds."""
    while not stop.is_set():
        tick(monotonic())
        await sleep(period)


def raise_failures(tasks: list[Task]) -> None:
    """Raise the error of a background task that has failed."""
    for task in tasks:
        if task.done() and not task.cancelled():
            task.result()
