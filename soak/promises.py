"""What callers and targets must see, checked while the soak runs."""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from lycheeglade.address import Address
from lycheeglade.segment import ConnectionKey
from soak.packets import unmarked

# Bounds of the users' pages, seconds.
STABILITY_S = 4.0
DRAIN_S = 3.0
APPLY_S = 3.0
FLOW_TIMEOUT_S = 2.0
FLOW_PACKETS = 3
ALL = ""


@dataclass(slots=True)
class Life:
    """What was seen of one connection.

    Attributes
    ----------
    target : object, optional
        Where it opened, once the target has the end of the handshake.
    taker : str
        IP address of the balancer that the caller's latest packet went to.
    astray : list of float
        When packets reached other targets since the last one reached its own.
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
    """Takes what is seen, and notes each promise that is broken.

    Parameters
    ----------
    clock : callable
        Returns the present time in seconds.
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
        """Note unplanned trouble at hosts while the block runs."""
        span = [self._clock(), float("inf")]
        for ip in ips:
            self._trouble_by_ip.setdefault(ip, []).append(span)
        try:
            yield
        finally:
            span[1] = self._clock()

    def is_calm(self, *ips: str, since: float | None = None) -> bool:
        """Tell whether hosts had no trouble for the whole stability window."""
        now = self._clock()
        start = (now if since is None else since) - STABILITY_S
        return not any(
            began <= now and ended >= start
            for ip in (*ips, ALL)
            for began, ended in self._trouble_by_ip.get(ip, ())
        )

    def break_promise(self, rule: str, key: object, what: str) -> None:
        """Note that a promise is broken."""
        self.breaches.append(f"{self._clock():.3f} {rule} {key}: {what}")

    def note_sent(self, key: ConnectionKey, entry: str, datagram: bytes) -> None:
        """Note that a caller sent a packet to the balancer at `entry`."""
        life = self.lives_by_key[key]
        life.taker = entry
        life.entry = life.entry or entry
        life.sent.add(unmarked(datagram))

    def note_reached(self, key: ConnectionKey, target, datagram: bytes) -> None:
        """Note that a packet of a caller reached a target."""
        life = self.lives_by_key.get(key)
        if life is None or unmarked(datagram) not in life.sent:
            self.break_promise("UNASKED", key, "packet that no caller sent so")
            return
        now = self._clock()
        if life.target is target:
            life.astray.clear()
        elif life.target and life.target.is_alive and not life.is_closed:
            life.astray.append(now)
            hosts = (life.taker, life.target.ip)
            lasts = now - life.astray[0] >= FLOW_TIMEOUT_S
            if lasts and len(life.astray) >= FLOW_PACKETS and self.is_calm(*hosts):
                self.break_promise("FLOW", key, "packets reach other targets only")

    def note_opened(self, key: ConnectionKey, target) -> None:
        """Note that a target took the end of the handshake."""
        life = self.lives_by_key[key]
        if life.target is None:
            life.target = target
        elif life.target is not target:
            self.break_promise("FLOW", key, "open at two targets")
        if life.refused:
            self.break_promise("NOT-RUN", key, "opened after its refusal")

    def note_closed(self, key: ConnectionKey) -> None:
        """Note that a target has ended a connection, as either end wished."""
        self.lives_by_key[key].is_closed = True

    def note_accepted(self, key: ConnectionKey, target) -> None:
        """Note that a target took an opening packet."""
        life = self.lives_by_key[key]
        if life.service != target.service:
            self.break_promise("ROUTE", key, f"opened at {target.service}")
        calm = self.is_calm(life.entry, target.ip, since=life.began_at)
        left_at = self.leaving_at.get(target.target_id)
        if left_at is not None and life.began_at > left_at + DRAIN_S and calm:
            self.break_promise("DRAIN", key, f"opened at {target.target_id}")
        dropped_at = self.dropped_at.get(key.service)
        if dropped_at is not None and life.began_at > dropped_at + APPLY_S and calm:
            self.break_promise("CONFIG", key, "opened by a dropped route")

    def note_run(self, key: ConnectionKey, sequence: int) -> None:
        """Note that a target began to work on a request."""
        life = self.lives_by_key[key]
        life.runs[sequence] += 1
        if life.runs[sequence] > 1:
            self.break_promise("ONCE", key, f"request {sequence} ran again")

    def note_answer(self, key: ConnectionKey, datagram: bytes) -> None:
        """Note that a target sent a packet to a caller."""
        self.lives_by_key[key].answered.add(unmarked(datagram))

    def was_sent(self, key: ConnectionKey, datagram: bytes) -> bool:
        """Tell whether a target sent a packet."""
        life = self.lives_by_key.get(key)
        return life is not None and unmarked(datagram) in life.answered

    def note_got(self, key: ConnectionKey, datagram: bytes) -> None:
        """Note that a caller got a packet which is no reset of the system."""
        if not self.was_sent(key, datagram):
            self.break_promise("MIXED", key, "packet that no target sent so")

    def note_reset(self, key: ConnectionKey, sender: str) -> None:
        """Note that a caller got a reset of the system."""
        life = self.lives_by_key[key]
        if life.target is None:
            life.refused = True
            self.counts["refused"] += 1
            if life.runs:
                self.break_promise("NOT-RUN", key, "refused after it ran")
            return
        dropped = key.service in self.dropped_at
        hosts = (sender, life.taker, life.target.ip)
        is_open = life.target.is_alive and not life.is_closed
        if is_open and not dropped and self.is_calm(*hosts):
            self.break_promise("FLOW", key, f"reset by {sender}")
