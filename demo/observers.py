"""Observe registrations (RFC 7641) of an upstream and their notifications.

All targets of a service send item ``n`` at wall-clock time ``n * period``, so
that a feed can move from one target to another without a gap.
"""

from collections.abc import Callable
from dataclasses import dataclass
from time import time

from aiocoap import CON, CONTENT

from demo.coap import Endpoint, Remote, build_message

OBSERVE_MODULUS = 1 << 24
ITEM_BYTES = 8


@dataclass(slots=True)
class Observer:
    """An Observe registration."""

    remote: Remote
    token: bytes
    unanswered: int = 0


class ObserverRegistry:
    """Observe registrations and the timer of their notifications.

    Parameters
    ----------
    endpoint : Endpoint
        Sends the notifications.
    loop : AbstractEventLoop
        Event loop that runs the timer.
    period : float
        Seconds between two items.
    max_observers : int
        Maximum number of registrations.
    on_change : callable
        Called with the number of registrations after each change.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        loop,
        period: float,
        max_observers: int,
        on_change: Callable[[int], None] = lambda count: None,
    ):
        self.sent = 0
        self._endpoint = endpoint
        self._loop = loop
        self._period = period
        self._max_observers = max_observers
        self._on_change = on_change
        self._observers_by_key: dict[tuple[Remote, bytes], Observer] = {}
        self._last_item = self.current_item(time())
        self._schedule()

    @property
    def count(self) -> int:
        """Number of registrations."""
        return len(self._observers_by_key)

    def current_item(self, wall_now: float) -> int:
        """Return the number of the latest item at wall time `wall_now`."""
        return int(wall_now / self._period)

    def register(self, remote: Remote, token: bytes) -> bool:
        """Add an observer unless at the limit; return whether it is added."""
        key = (remote, token)
        if key not in self._observers_by_key and self.count >= self._max_observers:
            return False
        self._observers_by_key[key] = Observer(remote, token)
        self._on_change(self.count)
        return True

    def deregister(self, remote: Remote, token: bytes) -> None:
        """Remove an observer."""
        self._observers_by_key.pop((remote, token), None)
        self._on_change(self.count)

    def build_item(self, item: int | None = None):
        """Return the response that carries an item (the latest by default)."""
        item = self._last_item if item is None else item
        return build_message(
            CONTENT,
            payload=f"item {item}".encode(),
            observe=item % OBSERVE_MODULUS,
            etag=item.to_bytes(ITEM_BYTES, "big"),
            max_age=max(1, round(self._period * 2)),
        )

    def _schedule(self):
        next_at = (self._last_item + 1) * self._period
        self._loop.call_later(max(next_at - time(), 0.001), self._tick)

    def _tick(self):
        current = self.current_item(time())
        while self._last_item < current:
            self._last_item += 1
            self._notify_all()
        self._schedule()

    def _notify_all(self):
        template = self.build_item()
        for key, observer in list(self._observers_by_key.items()):
            template.token = observer.token
            template.mtype = CON
            template.mid = self._endpoint.allocate_mid()
            self.sent += 1

            def stop(key=key):
                self.deregister(*key)

            self._endpoint.send_confirmable(
                template.encode(), template.mid, observer.remote, stop, stop
            )
