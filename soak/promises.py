"""Checks of the promises that the system makes to callers and targets.

A promise is a guarantee of the user documentation. An observation that
contradicts it is recorded as a breach.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterator
from contextlib import AbstractContextManager, contextmanager
from dataclasses import dataclass, field

from lycheeglade.address import Address
from lycheeglade.segment import ConnectionKey
from soak.packets import strip_marks

# Limits from the user documentation, in seconds; FLOW_PACKETS is a count.
STABILITY_S = 4.0
DRAIN_S = 3.0
APPLY_S = 3.0
EVACUATE_S = 5.0
WARMUP_WINDOW_S = 1.0
# WARMUP_PER_S x WARMUP_OVERAGE + WARMUP_SLACK of the deployment.
MAX_COLD_OPENINGS = 8
FLOW_TIMEOUT_S = 2.0
FLOW_PACKETS = 3
ALL_HOSTS = ""
# Prefix of a host's IP address for the faults of its access to the store.
STORE_OF = "store of "


@dataclass(slots=True)
class ConnectionRecord:
    """Observations of one connection.

    Attributes
    ----------
    target : object, optional
        Target that completed the handshake.
    latest_balancer_ip : str
        IP address of the balancer to which the caller sent its latest packet.
    stray_times : list of float
        Times of packets that reached other targets since the last packet that
        reached `target`.
    sent_at_by_packet : dict of bytes to float
        When the caller sent each packet, without marks.
    """

    service: str
    began_at: float
    first_balancer_ip: str = ""
    target: object = None
    latest_balancer_ip: str = ""
    stray_times: list[float] = field(default_factory=list)
    sent_at_by_packet: dict[bytes, float] = field(default_factory=dict)
    answered: set[bytes] = field(default_factory=set)
    runs: Counter = field(default_factory=Counter)
    refused: bool = False
    is_closed: bool = False


class PromiseChecker:
    """Checks the observations of a round and records each breach.

    Parameters
    ----------
    clock : callable
        Returns the current time in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self.breaches: list[str] = []
        self.counts: Counter = Counter()
        self.records_by_key: dict[ConnectionKey, ConnectionRecord] = {}
        self._fault_spans_by_ip: dict[str, list[list[float]]] = {}
        self.draining_since_by_id: dict[str, float] = {}
        # When the store acknowledged the evacuation of a zone.
        self.evacuated_since_by_zone: dict[str, float] = {}
        # When each cold target accepted its latest openings.
        self._cold_openings_by_id: dict[str, deque[float]] = defaultdict(
            lambda: deque(maxlen=MAX_COLD_OPENINGS + 1)
        )
        self.removed_at_by_address: dict[Address, float] = {}
        # When a route stopped naming a service, by address and service.
        self.unnamed_at_by_route: dict[tuple[Address, str], float] = {}

    @contextmanager
    def unplanned_fault(self, *ips: str) -> Iterator[None]:
        """Record an unplanned fault of hosts while the block runs."""
        span = [self._clock(), float("inf")]
        for ip in ips:
            self._fault_spans_by_ip.setdefault(ip, []).append(span)
        try:
            yield
        finally:
            span[1] = self._clock()

    def store_fault(self, *ips: str) -> AbstractContextManager[None]:
        """Record a fault of the store, or of the access of hosts to it."""
        return self.unplanned_fault(*(STORE_OF + ip for ip in ips))

    def is_stable(self, *ips: str, since: float | None = None) -> bool:
        """Return whether hosts and their store had no unplanned fault.

        `are_hosts_stable` gives the window that counts.
        """
        stores = (STORE_OF + ip for ip in (*ips, ALL_HOSTS))
        return self.are_hosts_stable(*ips, *stores, since=since)

    def are_hosts_stable(self, *ips: str, since: float | None = None) -> bool:
        """Return whether hosts had no unplanned fault in the stability window.

        Open connections don't depend on the store, whose faults do not count.
        The window begins STABILITY_S seconds before `since`, or before the
        current time if `since` is None, and ends at the current time.
        """
        now = self._clock()
        start = (now if since is None else since) - STABILITY_S
        return not any(
            began <= now and ended >= start
            for ip in (*ips, ALL_HOSTS)
            for began, ended in self._fault_spans_by_ip.get(ip, ())
        )

    def record_breach(self, rule: str, key: object, detail: str) -> None:
        """Record a breach of the promise that `rule` names."""
        self.breaches.append(f"{self._clock():.3f} {rule} {key}: {detail}")

    def record_sent(
        self, key: ConnectionKey, balancer_ip: str, datagram: bytes
    ) -> None:
        """Record that a caller sent a packet to a balancer."""
        record = self.records_by_key[key]
        record.latest_balancer_ip = balancer_ip
        record.first_balancer_ip = record.first_balancer_ip or balancer_ip
        record.sent_at_by_packet[strip_marks(datagram)] = self._clock()

    def record_delivery(self, key: ConnectionKey, target, datagram: bytes) -> None:
        """Record that a packet of a caller reached a target.

        It is a breach of FLOW if FLOW_PACKETS or more packets reach only other
        targets for FLOW_TIMEOUT_S seconds while the connection is open.
        """
        record = self.records_by_key.get(key)
        if record is None or strip_marks(datagram) not in record.sent_at_by_packet:
            self.record_breach(
                "UNASKED", key, "target received a packet that the caller did not send"
            )
            return
        now = self._clock()
        if record.target is target:
            record.stray_times.clear()
        elif record.target and record.target.is_alive and not record.is_closed:
            record.stray_times.append(now)
            ips = (record.latest_balancer_ip, record.target.ip)
            is_overdue = now - record.stray_times[0] >= FLOW_TIMEOUT_S
            if (
                is_overdue
                and len(record.stray_times) >= FLOW_PACKETS
                and self.are_hosts_stable(*ips)
            ):
                self.record_breach("FLOW", key, "packets reach only other targets")

    def record_opened(self, key: ConnectionKey, target) -> None:
        """Record that a target completed the handshake."""
        record = self.records_by_key[key]
        if record.target is None:
            record.target = target
        elif record.target is not target:
            self.record_breach("FLOW", key, "handshake completed at a second target")
        if record.refused:
            self.record_breach(
                "NOT-RUN", key, "handshake completed after the caller got a reset"
            )

    def record_closed(self, key: ConnectionKey) -> None:
        """Record that a target closed a connection as either end asked."""
        self.records_by_key[key].is_closed = True

    def record_accepted(self, key: ConnectionKey, target, datagram: bytes) -> None:
        """Record that a target accepted the SYN of a connection."""
        record = self.records_by_key[key]
        self._check_evacuation(key, target, datagram)
        if target.warmup_left_ms:
            self._check_warmup(key, target)
        stable = self.is_stable(
            record.first_balancer_ip, target.ip, since=record.began_at
        )
        if record.service != target.service:
            route = key.service, target.service
            unnamed_at = self.unnamed_at_by_route.get(route)
            is_overdue = (
                unnamed_at is not None and record.began_at > unnamed_at + APPLY_S
            )
            if unnamed_at is None or (is_overdue and stable):
                self.record_breach(
                    "ROUTE" if unnamed_at is None else "CONFIG",
                    key,
                    f"accepted by a target of service {target.service}",
                )
        draining_since = self.draining_since_by_id.get(target.target_id)
        if (
            draining_since is not None
            and record.began_at > draining_since + DRAIN_S
            and stable
        ):
            self.record_breach(
                "DRAIN", key, f"accepted by draining target {target.target_id}"
            )
        removed_at = self.removed_at_by_address.get(key.service)
        if removed_at is not None and record.began_at > removed_at + APPLY_S and stable:
            self.record_breach("CONFIG", key, "accepted through a removed route")

    def _check_evacuation(self, key: ConnectionKey, target, datagram: bytes) -> None:
        """Check that the zone of a target that accepted a SYN may get it."""
        record = self.records_by_key[key]
        began_at = self.evacuated_since_by_zone.get(target.zone, float("inf"))
        sent_at = record.sent_at_by_packet.get(strip_marks(datagram), record.began_at)
        elapsed = sent_at - began_at
        ips = (record.first_balancer_ip, record.latest_balancer_ip, target.ip)
        if elapsed > EVACUATE_S and self.is_stable(*ips, since=record.began_at):
            self.record_breach("EVAC", key, f"{elapsed:.3f} s, at {target.target_id}")

    def _check_warmup(self, key: ConnectionKey, target) -> None:
        """Check how many openings a cold target accepted in a second."""
        times = self._cold_openings_by_id[target.target_id]
        times.append(self._clock())
        self.counts["cold-opened"] += 1
        is_over = len(times) == times.maxlen and times[-1] - times[0] < WARMUP_WINDOW_S
        # A stall of the soak may deliver the openings of two windows at once,
        # and nobody can read the entry of a target while the store is away.
        if is_over and self.is_stable():
            self.record_breach("FAILBACK", key, f"above the limit, {target.target_id}")

    def record_run(self, key: ConnectionKey, sequence: int) -> None:
        """Record that a target started to process a request."""
        record = self.records_by_key[key]
        record.runs[sequence] += 1
        if record.runs[sequence] > 1:
            self.record_breach("ONCE", key, f"request {sequence} was processed again")

    def record_answer(self, key: ConnectionKey, datagram: bytes) -> None:
        """Record that a target sent a packet to a caller."""
        self.records_by_key[key].answered.add(strip_marks(datagram))

    def was_sent_by_target(self, key: ConnectionKey, datagram: bytes) -> bool:
        """Return whether a target sent a packet."""
        record = self.records_by_key.get(key)
        return record is not None and strip_marks(datagram) in record.answered

    def record_received(self, key: ConnectionKey, datagram: bytes) -> None:
        """Record that a caller received a packet.

        Resets that no target sent are recorded by `record_reset` instead.
        """
        if not self.was_sent_by_target(key, datagram):
            self.record_breach(
                "MIXED", key, "caller received a packet that no target sent"
            )

    def record_reset(self, key: ConnectionKey, sender: str) -> None:
        """Record that a caller received a reset that no target sent."""
        record = self.records_by_key[key]
        if record.target is None:
            record.refused = True
            self.counts["refused"] += 1
            if record.runs:
                self.record_breach(
                    "NOT-RUN", key, "reset after a request was processed"
                )
            return
        is_removed = key.service in self.removed_at_by_address
        ips = (sender, record.latest_balancer_ip, record.target.ip)
        is_open = record.target.is_alive and not record.is_closed
        if is_open and not is_removed and self.are_hosts_stable(*ips):
            self.record_breach("FLOW", key, f"reset by {sender}")
