"""Fake of the platform's store: items, ranges and watches over HTTP.

A test may take a copy of the store at any moment and put it back later. The
store then has lost all later changes, gives out their revisions again and
counts its era up, which each of its answers names. It may also fall silent: a
connection that was open meanwhile never returns an answer again.
"""

from asyncio import (
    CancelledError,
    Event,
    StreamReader,
    StreamWriter,
    start_server,
    wait_for,
)
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass
from json import dumps
from urllib.parse import parse_qs, urlsplit

PAGE_SIZE = 2
ERA_HEADER = "Store-Era"


@dataclass(frozen=True)
class StoreCopy:
    """State of the store at one moment."""

    revision: int
    items_by_key: dict
    events: tuple
    compacted_revision: int


class StoreStandIn:
    """In-memory store with items by key and the history of their changes.

    Attributes
    ----------
    era : int or str or None
        Value of the answers' header; None if they have none.
    stale : StoreCopy or None
        What reads that may lag return, or None for the current state.
    before_page : callable
        Called before each page of a range is read.
    loses_watch_answers : bool
        Whether an answer to a watch is lost, and its connection stays open.
    status : int or None
        Status of all answers, 200 to serve the calls; None for no answers.
    """

    def __init__(self):
        self.revision = 10
        self.era = 1
        self.stale: StoreCopy | None = None
        self.before_page: Callable[[], None] = lambda: None
        self.loses_watch_answers = False
        self._silences = 0
        self.items_by_key = {}
        self.events = []
        self.calls = []
        self.targets = []
        self.compacted_revision = 0
        self.status = 200
        self.restores = 0
        self.changed = Event()
        self._server = None

    @property
    def status(self) -> int | None:
        return self._status

    @status.setter
    def status(self, status: int | None) -> None:
        self._status = status
        self._silences += status is None

    async def start(self, host="127.0.0.1", port=0):
        self._server = await start_server(self._serve, host, port)
        return self._server.sockets[0].getsockname()[:2]

    def stop(self):
        self._server.close()

    def put(self, key, value):
        self.revision += 1
        content = value if isinstance(value, bytes) else dumps(value).encode()
        item = {"key": key, "value": b64encode(content).decode()}
        item |= {"revision": self.revision, "created": self.revision, "lease": 0}
        self.items_by_key[key] = item
        self._append_event(item)

    def delete(self, key):
        self.revision += 1
        del self.items_by_key[key]
        self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def compact_history(self):
        """Drop all events, and close the connections of waiting watches."""
        self.revision += 1
        self.compacted_revision = self.revision
        self.events.clear()
        self.changed.set()
        self.changed = Event()

    def copy(self) -> StoreCopy:
        """Return a copy to which `restore` can go back."""
        return StoreCopy(
            self.revision,
            dict(self.items_by_key),
            tuple(self.events),
            self.compacted_revision,
        )

    def restore(self, copy: StoreCopy, raise_era: bool = True) -> None:
        """Lose all changes after `copy`, and cut the waiting watches."""
        self.revision = copy.revision
        self.items_by_key = dict(copy.items_by_key)
        self.events = list(copy.events)
        self.compacted_revision = copy.compacted_revision
        if raise_era:
            self.era += 1
        self.restores += 1
        self.changed.set()
        self.changed = Event()

    def _append_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = Event()

    async def _serve(self, reader: StreamReader, writer: StreamWriter):
        silences = self._silences
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                target = request.split()[1].decode()
                was_silent = self.status is None
                status, body = await self._answer(target)
                is_lost = self.loses_watch_answers and target.startswith("/kv-watch")
                if is_lost or was_silent or self._silences != silences:
                    await reader.read()
                    return
                content = dumps(body).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                if self.era is not None:
                    head += f"{ERA_HEADER}: {self.era}\r\n"
                head += f"Content-Length: {len(content)}\r\n\r\n"
                writer.write(head.encode() + content)
        except (CancelledError, OSError, EOFError):
            pass
        finally:
            writer.close()

    async def _answer(self, target):
        parts = urlsplit(target)
        values_by_name = parse_qs(
            parts.query, keep_blank_values=True, errors="surrogatepass"
        )
        query = {name: values[0] for name, values in values_by_name.items()}
        self.calls.append(parts.path)
        self.targets.append(target)
        if self.status != 200:
            return self.status, {}
        if parts.path == "/kv-key":
            item = self.items_by_key.get(query["key"])
            if item is None:
                return 404, {"current-rev": self.revision}
            return 200, {**item, "current-rev": self.revision}
        if parts.path == "/kv-range":
            return 200, self._range(query)
        return await self._watch(int(query["after"]), int(query["wait-ms"]))

    def _range(self, query):
        self.before_page()
        source = self
        if self.stale is not None and query.get("allow-stale") == "1":
            source = self.stale
        after = query.get("after")
        keys = [
            key
            for key in sorted(source.items_by_key)
            if key.startswith(query["prefix"]) and (after is None or key > after)
        ]
        items = [source.items_by_key[key] for key in keys[:PAGE_SIZE]]
        more = len(keys) > PAGE_SIZE
        return {"items": items, "has-more": more, "current-rev": source.revision}

    async def _watch(self, after, wait_ms):
        if not self.compacted_revision <= after <= self.revision:
            return 410, {}
        restores = self.restores
        has_ended = False
        while not has_ended and not self._events_after(after):
            try:
                await wait_for(self.changed.wait(), wait_ms / 1000)
            except TimeoutError:
                has_ended = True
            if after < self.compacted_revision or self.restores != restores:
                raise EOFError
        # Events and revision belong together: both are read after the wait.
        events = self._events_after(after)
        return 200, {"events": events, "current-rev": self.revision}

    def _events_after(self, revision):
        return [event for event in self.events if event["revision"] > revision]
