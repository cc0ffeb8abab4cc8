"""Overload control of a balancer.

A balancer is overloaded while its reads leave packets in the receive backlog
for batch after batch. It then forwards the packets of established flows and
refuses new flows at once, before any ranking or sending. A flow is established
if this balancer recently forwarded an answer to its caller.
"""

from math import exp
from random import Random

from lycheeglade.established import EstablishedFlows
from lycheeglade.flow import FlowKey, hash_flow

OVERLOAD_AFTER = 0.2  # seconds of continuous backlog that start an overload
RECOVERY_TIME = 1.0  # seconds without such a backlog that end the overload
RAMP_TIME = 5.0  # seconds after an overload until all new flows are admitted
MAX_BATCH_GAP = 0.5  # seconds between two batches that interrupt a backlog
MIN_RETRY_AFTER = 2.0  # seconds
MAX_RETRY_AFTER = 30.0  # seconds
RATE_TIME = 1.0  # seconds over which the packet rate is averaged
HASH_RANGE = 2**64


class OverloadControl:
    """Decides which packets a balancer forwards.

    Parameters
    ----------
    max_flows : int
        Maximum number of established flows in memory.
    generator : random.Random
        Seeded source of the jitter in `retry_after`.
    """

    def __init__(self, max_flows: int, generator: Random):
        self.established = EstablishedFlows(max_flows)
        self._generator = generator
        self._packet_rate = 0.0
        self._last_batch_at = float("-inf")
        self._backlog_since: float | None = None
        self._overloaded_since: float | None = None
        self._last_backlog_at = float("-inf")
        self._ended_at = float("-inf")

    @property
    def packet_rate(self) -> float:
        """Recent packets per second, shown to operators."""
        return self._packet_rate

    def record_batch(self, packets: int, drained: bool, now: float) -> None:
        """Record that a batch was read from the sockets.

        Parameters
        ----------
        packets : int
            Number of packets in the batch.
        drained : bool
            Whether the batch emptied the receive backlog.
        """
        gap = now - self._last_batch_at
        self._packet_rate *= exp(-gap / RATE_TIME)
        self._packet_rate += packets / RATE_TIME
        self._last_batch_at = now
        self.established.expire(now, packets + 1)
        if gap > MAX_BATCH_GAP:
            # The process was paused or idle, so the backlog isn't continuous.
            self._backlog_since = None
        if drained:
            self._backlog_since = None
            return
        if self._backlog_since is None:
            self._backlog_since = now
        if now - self._backlog_since >= OVERLOAD_AFTER:
            self._last_backlog_at = now
            if not self.is_overloaded(now):
                self._overloaded_since = now

    def is_overloaded(self, now: float) -> bool:
        """Return whether an overload is ongoing.

        It ends `RECOVERY_TIME` seconds after the last continuous backlog.
        """
        if self._overloaded_since is None:
            return False
        if now - self._last_backlog_at < RECOVERY_TIME:
            return True
        self._overloaded_since = None
        self._ended_at = self._last_backlog_at + RECOVERY_TIME
        return False

    def admits(self, flow: FlowKey, now: float) -> bool:
        """Return whether the balancer forwards a packet of `flow`.

        After an overload the share of new flows that are admitted grows over
        `RAMP_TIME`. The hash of a flow decides whether the share includes it,
        so that copies of a refused packet aren't admitted by chance.
        """
        if self._overloaded_since is None and now - self._ended_at >= RAMP_TIME:
            return True
        if self.established.is_established(flow, now):
            return True
        if self.is_overloaded(now):
            return False
        return hash_flow(flow) / HASH_RANGE < (now - self._ended_at) / RAMP_TIME

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a refused flow may retry.

        They are drawn from a range that widens as the overload lasts.
        """
        since = self._overloaded_since
        duration = 0.0 if since is None else now - since
        maximum = min(MAX_RETRY_AFTER, 2 * MIN_RETRY_AFTER + duration)
        return self._generator.uniform(MIN_RETRY_AFTER, maximum)
