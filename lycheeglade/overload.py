"""What a balancer carries that gets more packets than it can.

A balancer is overloaded while its receive backlog isn't drained from batch to
batch. It then carries the packets of established flows and refuses new flows
at once, before any ranking or sending. A flow is established when an answer
went back through this balancer lately.
"""

from math import exp
from random import Random

from lycheeglade.established import EstablishedFlows
from lycheeglade.flow import FlowKey, hash_flow

OVERLOAD_AFTER = 0.2  # seconds of backlog that make an overload
RECOVERY_TIME = 1.0  # seconds without backlog that end it
RAMP_TIME = 5.0  # seconds after its end until all new flows are admitted
MAX_GAP = 0.5  # seconds between two batches after which the backlog is new
MIN_RETRY_AFTER = 2.0  # seconds
MAX_RETRY_AFTER = 30.0  # seconds
RATE_TIME = 1.0  # seconds over which the packet rate is averaged
HASH_RANGE = 2**64


class OverloadControl:
    """Decides which packets a balancer carries.

    Parameters
    ----------
    max_flows : int
        Established flows that are remembered.
    generator : random.Random
        Seeded source of the spread of `retry_after`.
    """

    def __init__(self, max_flows: int, generator: Random):
        self.established = EstablishedFlows(max_flows)
        self._generator = generator
        self._packet_rate = 0.0
        self._batch_at = float("-inf")
        self._backlog_since: float | None = None
        self._overloaded_since: float | None = None
        self._backlog_at = float("-inf")
        self._ended_at = float("-inf")

    @property
    def packet_rate(self) -> float:
        """Packets a second of the last batches, for the operators' view."""
        return self._packet_rate

    def record_batch(self, packets: int, drained: bool, now: float) -> None:
        """Note that a batch was read from the sockets.

        Parameters
        ----------
        packets : int
            Packets of the batch.
        drained : bool
            Whether the batch left nothing to read.
        """
        gap = now - self._batch_at
        self._packet_rate *= exp(-gap / RATE_TIME)
        self._packet_rate += packets / RATE_TIME
        self._batch_at = now
        self.established.expire(now, packets + 1)
        if gap > MAX_GAP:
            # This process slept, or had nothing to do, with no batch to read.
            self._backlog_since = None
        if drained:
            self._backlog_since = None
            return
        if self._backlog_since is None:
            self._backlog_since = now
        if now - self._backlog_since >= OVERLOAD_AFTER:
            self._backlog_at = now
            if not self.is_overloaded(now):
                self._overloaded_since = now

    def is_overloaded(self, now: float) -> bool:
        """Tell whether the backlog isn't drained, now or until just now."""
        if self._overloaded_since is None:
            return False
        if now - self._backlog_at < RECOVERY_TIME:
            return True
        self._overloaded_since = None
        self._ended_at = self._backlog_at + RECOVERY_TIME
        return False

    def admits(self, flow: FlowKey, now: float) -> bool:
        """Tell whether a packet of `flow` is carried.

        A new flow that is refused stays so for its copies; after an overload
        the share of new flows that are admitted grows over `RAMP_TIME`.
        """
        if self._overloaded_since is None and now - self._ended_at >= RAMP_TIME:
            return True
        if self.established.is_established(flow, now):
            return True
        if self.is_overloaded(now):
            return False
        return hash_flow(flow) / HASH_RANGE < (now - self._ended_at) / RAMP_TIME

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a refused flow may come back.

        They are spread over a span that grows with the overload.
        """
        since = self._overloaded_since
        lasted = 0.0 if since is None else now - since
        greatest = min(MAX_RETRY_AFTER, 2 * MIN_RETRY_AFTER + lasted)
        return self._generator.uniform(MIN_RETRY_AFTER, greatest)
