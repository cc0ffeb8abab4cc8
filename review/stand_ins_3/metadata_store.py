"""The platform's metadata store, in memory, as PROTOCOL.md describes it."""

from asyncio import (
    CancelledError,
    Event,
    IncompleteReadError,
    start_server,
    wait_for,
)
from base64 import b64encode
from contextlib import suppress
from json import dumps
from urllib.parse import parse_qs, urlsplit

PAGE_ITEMS = 500


class Store:
    """Items by key, the history of their changes, ranges and watches."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.changed = Event()
        self.calls = 0
        # Reads that may lag are answered from this copy, if there is one.
        self.lagging = None
        self._server = None

    async def start(self, ip, port):
        """Serve at an address."""
        self._server = await start_server(self._serve, ip, port)

    def close(self):
        """Accept no more connections."""
        self._server.close()

    def put(self, key, value):
        """Write an item; its value is encoded as JSON unless it is bytes."""
        content = value if isinstance(value, bytes) else dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(content).decode(),
            "revision": self.revision,
            "created": self.items.get(key, {}).get("created", self.revision),
            "lease": 0,
        }
        self.items[key] = item
        self._add_event(item)

    def delete(self, key):
        """Delete an item."""
        self.revision += 1
        del self.items[key]
        self._add_event({"key": key, "revision": self.revision, "deleted": True})

    def copy(self):
        """Return what a read of this moment shows."""
        return dict(self.items), self.revision

    def _add_event(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = Event()

    async def _serve(self, reader, writer):
        with suppress(IncompleteReadError, ConnectionError, CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                status, body = await self._answer(head.split()[1].decode())
                content = dumps(body).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n" % (status, len(content)) + content
                )
                await writer.drain()
        writer.close()

    async def _answer(self, target):
        self.calls += 1
        parts = urlsplit(target)
        query = {
            name: values[0]
            for name, values in parse_qs(parts.query, keep_blank_values=True).items()
        }
        if parts.path == "/kv-key":
            item = self.items.get(query["key"])
            now = {"current-rev": self.revision}
            return (404, now) if item is None else (200, {**item, **now})
        if parts.path == "/kv-range":
            return 200, self._range(query)
        if parts.path == "/kv-watch":
            return 200, await self._watch(query)
        return 404, {}

    def _range(self, query):
        items, revision = self.items, self.revision
        if query.get("allow-stale") == "1" and self.lagging is not None:
            items, revision = self.lagging
        after = query.get("after")
        keys = [
            key
            for key in sorted(items)
            if key.startswith(query["prefix"]) and (after is None or key > after)
        ]
        return {
            "items": [items[key] for key in keys[:PAGE_ITEMS]],
            "has-more": len(keys) > PAGE_ITEMS,
            "current-rev": revision,
        }

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]

        def find():
            return [
                event
                for event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]

        with suppress(TimeoutError):
            if not find():
                await wait_for(self.changed.wait(), int(query["wait-ms"]) / 1000)
        return {"events": find(), "current-rev": self.revision}
