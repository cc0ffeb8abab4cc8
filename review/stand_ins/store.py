"""The platform's metadata store, as PROTOCOL.md describes it.

Each process may get an address of its own, so that a case can cut it from the
store: a cut link takes calls and answers none, and its open connections return
nothing further.
"""

from asyncio import Event, StreamReader, StreamWriter, sleep, start_server, wait_for
from base64 import b64encode
from contextlib import suppress
from json import dumps
from urllib.parse import parse_qs, urlsplit

from review.stand_ins.record import Record

MAX_ITEMS = 500
ANSWER_S = 0.004


class Link:
    """Path of one process to the store.

    Attributes
    ----------
    watches : int
        Watches that wait for an answer.
    """

    def __init__(self):
        self.is_cut = False
        self.cuts = 0
        self.refuses = False
        self.watches = 0
        self.writers: set[StreamWriter] = set()

    def cut(self, refuses: bool = False) -> None:
        """Let nothing pass until `mend`; open connections never recover.

        Parameters
        ----------
        refuses : bool
            Whether connections are reset; otherwise they hang.
        """
        self.is_cut = True
        self.refuses = refuses
        self.cuts += 1
        if refuses:
            for writer in self.writers:
                writer.transport.abort()

    def mend(self) -> None:
        """Let new connections pass again."""
        self.is_cut = False


class Store:
    """Linearizable store with items, ranges and watches."""

    def __init__(self, record: Record):
        self.revision = 100
        self.items_by_key: dict[str, dict] = {}
        self.events: list[dict] = []
        self._record = record
        self._changed = Event()
        self._servers = []

    async def listen(self, ip: str, port: int) -> Link:
        """Serve at an address; return the link of those who call there."""
        link = Link()

        async def serve(reader: StreamReader, writer: StreamWriter) -> None:
            await self._serve(link, reader, writer)

        self._servers.append(await start_server(serve, ip, port))
        return link

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, key: str, value: object) -> float:
        """Write an item; return when the write was acknowledged."""
        content = value if isinstance(value, bytes) else dumps(value).encode()
        self.revision += 1
        item = {
            "key": key,
            "value": b64encode(content).decode(),
            "revision": self.revision,
            "created": self.revision,
            "lease": 0,
        }
        self.items_by_key[key] = item
        self._append(item)
        text = content.decode(errors="replace")
        return self._record(f"store {self.revision} put {key} {text:.200}")

    def delete(self, key: str) -> float:
        """Delete an item; return when that was acknowledged."""
        self.revision += 1
        del self.items_by_key[key]
        self._append({"key": key, "revision": self.revision, "deleted": True})
        return self._record(f"store {self.revision} delete {key}")

    def _append(self, event: dict) -> None:
        self.events.append(event)
        self._changed.set()
        self._changed = Event()

    async def _serve(
        self, link: Link, reader: StreamReader, writer: StreamWriter
    ) -> None:
        cuts = link.cuts
        if link.is_cut and link.refuses:
            writer.transport.abort()
            return
        link.writers.add(writer)
        try:
            while True:
                request = await reader.readuntil(b"\r\n\r\n")
                if link.is_cut or link.cuts != cuts:
                    await reader.read()
                    return
                target = request.split()[1].decode()
                is_watch = target.startswith("/kv-watch")
                link.watches += is_watch
                try:
                    status, body = await self._answer(target)
                finally:
                    link.watches -= is_watch
                if link.is_cut or link.cuts != cuts:
                    await reader.read()
                    return
                content = dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n"
                )
                writer.write(head.encode() + content)
        except (OSError, EOFError):
            pass
        finally:
            link.writers.discard(writer)
            writer.close()

    async def _answer(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        pairs = parse_qs(parts.query, keep_blank_values=True)
        query = {name: values[0] for name, values in pairs.items()}
        await sleep(ANSWER_S)
        if parts.path == "/kv-range":
            return 200, self._range(query)
        if parts.path == "/kv-watch":
            return await self._watch(query)
        item = self.items_by_key.get(query.get("key", ""))
        if item is None:
            return 404, {"current-rev": self.revision}
        return 200, {**item, "current-rev": self.revision}

    def _range(self, query: dict) -> dict:
        keys = [
            key
            for key in sorted(self.items_by_key)
            if key.startswith(query["prefix"]) and key > query.get("after", "")
        ]
        return {
            "items": [self.items_by_key[key] for key in keys[:MAX_ITEMS]],
            "has-more": len(keys) > MAX_ITEMS,
            "current-rev": self.revision,
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        after, wait_s = int(query["after"]), int(query["wait-ms"]) / 1000.0
        if not self._events_after(after, query["prefix"]) and wait_s:
            with suppress(TimeoutError):
                await wait_for(self._changed.wait(), wait_s)
        events = self._events_after(after, query["prefix"])
        return 200, {"events": events, "current-rev": self.revision}

    def _events_after(self, revision: int, prefix: str) -> list[dict]:
        return [
            event
            for event in self.events
            if event["revision"] > revision and event["key"].startswith(prefix)
        ]
