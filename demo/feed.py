"""A caller's feed (RFC 7641) and the checks on its items."""

from asyncio import Event, get_running_loop, sleep, wait_for
from contextlib import suppress

from aiocoap import CONTENT, SERVICE_UNAVAILABLE, Message

from demo.account import FeedRecord

SILENT_HEARTBEATS = 2.5
HEARTBEAT_TOLERANCE = 0.9
REGISTRATION_PAUSE_S = 0.2
POLL_S = 0.1
SILENT = "silent"
LOST = "lost or reset"
OBSERVE_HALF = 1 << 23
OBSERVE_MODULUS = 1 << 24


def is_newer(first: int, second: int) -> bool:
    """Return whether Observe number `second` is newer (RFC 7641, 3.4)."""
    return 0 < (second - first) % OBSERVE_MODULUS < OBSERVE_HALF


class Feed:
    """One feed, registered again after failures, and checks on its items.

    After a heartbeat without notifications, the latest item may be sent again
    as a keep-alive; at any other time it counts as a repeat.
    """

    def __init__(self, caller, record: FeedRecord):
        self._caller = caller
        self._record = record
        self._token = b""
        self._changed = Event()
        self._failure_cause = ""
        self._retry_after_s = 0.0
        self._last_item = None
        self._last_observe = None
        self._last_message_at = None
        self._last_item_at = None
        self._missing: set[int] = set()
        self._open_break = None
        self._clock = get_running_loop().time
        self._min_heartbeat_gap = caller.options.heartbeat * HEARTBEAT_TOLERANCE

    async def run(self, stopped: Event):
        """Register, detect failures, and register again.

        After a silence or a lost registration the caller opens a new flow,
        since a device on the path may have dropped the state of the old flow.
        """
        silence_s = self._caller.options.heartbeat * SILENT_HEARTBEATS
        while not stopped.is_set():
            self._register()
            while not self._failure_cause:
                self._changed.clear()
                with suppress(TimeoutError):
                    await wait_for(self._changed.wait(), POLL_S)
                if stopped.is_set():
                    break
                if self._clock() - self._last_message_at > silence_s:
                    self._fail(SILENT)
            self._caller.close_feed(self._token)
            if self._failure_cause in (SILENT, LOST):
                await self._caller.reopen()
            if not stopped.is_set():
                await sleep(self._retry_after_s or REGISTRATION_PAUSE_S)

    def count_missing_items(self) -> None:
        """Count the items that never arrived as gaps."""
        self._record.gaps += len(self._missing)
        self._missing.clear()

    def _register(self):
        self._record.registrations += 1
        self._failure_cause = ""
        self._retry_after_s = 0.0
        self._last_message_at = self._clock()
        self._last_observe = None
        self._token = self._caller.make_token()
        self._caller.open_feed(self._token, self, lambda: self._fail(LOST))

    def _fail(self, cause: str):
        if self._failure_cause:
            return
        self._failure_cause = cause
        self._changed.set()
        if self._last_item is None or self._open_break is not None:
            return
        now = self._clock()
        self._record.causes[cause] += 1
        self._record.broken_at.append(now)
        self._open_break = (now, self._last_item_at)

    def handle_duplicate(self) -> None:
        """Record a duplicate message as evidence that the feed is alive."""
        self._last_message_at = self._clock()

    def handle_notification(self, message: Message) -> None:
        """Handle a notification or the response that ends the feed."""
        if message.code == SERVICE_UNAVAILABLE:
            self._record.refusals += 1
            self._retry_after_s = float(message.opt.max_age or 1)
            self._fail("refused")
            return
        if message.code != CONTENT or message.opt.observe is None:
            self._fail(f"error {message.code}")
            return
        now = self._clock()
        item = int.from_bytes(message.opt.etag, "big")
        idle = now - self._last_message_at
        self._last_message_at = now
        if item == self._last_item and idle >= self._min_heartbeat_gap:
            self._record.heartbeats += 1
            self._last_observe = message.opt.observe
            return
        self._record_stall(now)
        self._record.items += 1
        if self._open_break is not None:
            detected_at, last_item_at = self._open_break
            self._record.recoveries.append(now - detected_at)
            self._record.silences.append(now - last_item_at)
            self._open_break = None
            self._last_item = None
        self._check_order(item, message.opt.observe)

    def _record_stall(self, now: float):
        if self._last_item_at is not None:
            stall = now - self._last_item_at
            self._record.longest_stall = max(self._record.longest_stall, stall)
        self._last_item_at = now

    def _check_order(self, item: int, observe: int):
        last, last_observe = self._last_item, self._last_observe
        is_stale = last_observe is not None and not is_newer(last_observe, observe)
        if is_stale or last is None:
            self._missing.discard(item)
            if last is None:
                self._last_item = item
                self._last_observe = observe
            return
        self._last_observe = observe
        if item == last:
            self._record.repeats += 1
        elif item < last:
            self._record.steps_back += 1
        else:
            self._missing.update(range(last + 1, item))
            self._last_item = item
