"""Checks of the promises that the system makes to callers and targets.

A promise is a guarantee of the user documentation. An observation that
contradicts it is recorded as a breach.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from lycheeglade.address import Address
from lycheeglade.segment import ConnectionKey
from soak.packets import unmarked

# Limits from the user documentation, in seconds; FLOW_PACKETS is a count.
STABILITY_S = 4.0
DRAIN_S = 3.0
APPLY_S = 3.0
FLOW_TIMEOUT_S = 2.0
FLOW_PACKETS = 3
ALL = ""


@dataclass(slots=True)
class Life:
    """Observations of one connection.

    Attributes
    ----------
    target : object, optional
        Target that completed the handshake.
    taker : str
        IP address of the balancer to which the caller sent its latest packet.
    astray : list of float
        Times of packets that reached other targets since the last packet that
        reached `target`.
    """

    service: str
    began_at: float
    entry: str = ""
    target: object = None
    taker: str = ""
    astray: list[float] = field(default_factory=list)
    sent: set[bytes] = field(default_factory=set)
    answered: set[bytes] = field(default_factory=set)
    runs: Counter = field(default_factory=Counter)
    refused: bool = False
    is_closed: bool = False


class Promises:
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
        self.lives_by_key: dict[ConnectionKey, Life] = {}
        self._trouble_by_ip: dict[str, list[list[float]]] = {}
        self.leaving_at: dict[str, float] = {}
        self.dropped_at: dict[Address, float] = {}

    @contextmanager
    def trouble(self, *ips: str) -> Iterator[None]:
        """Record an unplanned fault of hosts while the block runs."""
        span = [self._clock(), float("inf")]
        for ip in ips:
            self._trouble_by_ip.setdefault(ip, []).append(span)
        try:
            yield
        finally:
            span[1] = self._clock()

    def is_calm(self, *ips: str, since: float | None = None) -> bool:
        """Return whether hosts had no unplanned fault in the stability window.

        The window begins STABILITY_S seconds before `since`, or before the
        current time if `since` is None, and ends at the current time.
        """
        now = self._clock()
        start = (now if since is None else since) - STABILITY_S
        return not any(
            began <= now and ended >= start
            for ip in (*ips, ALL)
            for began, ended in self._trouble_by_ip.get(ip, ())
        )

    def break_promise(self, rule: str, key: object, what: str) -> None:
        """Record a breach of the promise that `rule` names."""
        self.breaches.append(f"{self._clock():.3f} {rule} {key}: {what}")

    def note_sent(self, key: ConnectionKey, entry: str, datagram: bytes) -> None:
        """Record that a caller sent a packet to the balancer at `entry`."""
        life = self.lives_by_key[key]
        life.taker = entry
        life.entry = life.entry or entry
        life.sent.add(unmarked(datagram))

    def note_reached(self, key: ConnectionKey, target, datagram: bytes) -> None:
        """Record that a packet of a caller reached a target.

        It is a breach of FLOW if FLOW_PACKETS or more packets reach only other
        targets for FLOW_TIMEOUT_S seconds while the connection is open.
        """
        life = self.lives_by_key.get(key)
        if life is None or unmarked(datagram) not in life.sent:
            self.break_promise(
                "UNASKED", key, "target received a packet that the caller did not send"
            )
            return
        now = self._clock()
        if life.target is target:
            life.astray.clear()
        elif life.target and life.target.is_alive and not life.is_closed:
            life.astray.append(now)
            hosts = (life.taker, life.target.ip)
            lasts = now - life.astray[0] >= FLOW_TIMEOUT_S
            if lasts and len(life.astray) >= FLOW_PACKETS and self.is_calm(*hosts):
                self.break_promise("FLOW", key, "packets reach only other targets")

    def note_opened(self, key: ConnectionKey, target) -> None:
        """Record that a target completed the handshake."""
        life = self.lives_by_key[key]
        if life.target is None:
            life.target = target
        elif life.target is not target:
            self.break_promise("FLOW", key, "handshake completed at a second target")
        if life.refused:
            self.break_promise(
                "NOT-RUN", key, "handshake completed after the caller got a reset"
            )

    def note_closed(self, key: ConnectionKey) -> None:
        """Record that a target closed a connection as either end asked."""
        self.lives_by_key[key].is_closed = True

    def note_accepted(self, key: ConnectionKey, target) -> None:
        """Record that a target accepted the SYN of a connection."""
        life = self.lives_by_key[key]
        if life.service != target.service:
            self.break_promise(
                "ROUTE", key, f"accepted by a target of service {target.service}"
            )
        calm = self.is_calm(life.entry, target.ip, since=life.began_at)
        left_at = self.leaving_at.get(target.target_id)
        if left_at is not None and life.began_at > left_at + DRAIN_S and calm:
            self.break_promise(
                "DRAIN", key, f"accepted by draining target {target.target_id}"
            )
        dropped_at = self.dropped_at.get(key.service)
        if dropped_at is not None and life.began_at > dropped_at + APPLY_S and calm:
            self.break_promise("CONFIG", key, "accepted through a removed route")

    def note_run(self, key: ConnectionKey, sequence: int) -> None:
        """Record that a target started to process a request."""
        life = self.lives_by_key[key]
        life.runs[sequence] += 1
        if life.runs[sequence] > 1:
            self.break_promise("ONCE", key, f"request {sequence} was processed again")

    def note_answer(self, key: ConnectionKey, datagram: bytes) -> None:
        """Record that a target sent a packet to a caller."""
        self.lives_by_key[key].answered.add(unmarked(datagram))

    def was_sent(self, key: ConnectionKey, datagram: bytes) -> bool:
        """Return whether a target sent a packet."""
        life = self.lives_by_key.get(key)
        return life is not None and unmarked(datagram) in life.answered

    def note_got(self, key: ConnectionKey, datagram: bytes) -> None:
        """Record that a caller received a packet.

        Resets that no target sent are recorded by `note_reset` instead.
        """
        if not self.was_sent(key, datagram):
            self.break_promise(
                "MIXED", key, "caller received a packet that no target sent"
            )

    def note_reset(self, key: ConnectionKey, sender: str) -> None:
        """Record that a caller received a reset that no target sent."""
        life = self.lives_by_key[key]
        if life.target is None:
            life.refused = True
            self.counts["refused"] += 1
            if life.runs:
                self.break_promise(
                    "NOT-RUN", key, "reset after a request was processed"
                )
            return
        dropped = key.service in self.dropped_at
        hosts = (sender, life.taker, life.target.ip)
        is_open = life.target.is_alive and not life.is_closed
        if is_open and not dropped and self.is_calm(*hosts):
            self.break_promise("FLOW", key, f"reset by {sender}")
