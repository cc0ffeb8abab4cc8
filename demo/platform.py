"""Simulation of the platform's configuration service.

Values can be read and watched over HTTP. ``PUT``, ``DELETE`` and ``/fault``
are for the tests and the demo only; the product never calls them.

With ``--journal`` each change is written to a file before it is served. A
restart reads the file, so that neither values nor revisions are lost.
"""

from argparse import ArgumentParser
from asyncio import Event, run, sleep, timeout
from collections.abc import Iterable, Iterator
from contextlib import suppress
from dataclasses import asdict, dataclass
from enum import StrEnum
from json import dumps, loads
from pathlib import Path

from aiohttp import web

from lycheeglade.address import Address, parse_address

MAX_VALUE_BYTES = 1_000_000
MAX_WAIT_S = 60.0
SLOW_S = 3.0
SUFFIX = ".ini"


class Mode(StrEnum):
    """Behaviour of the platform, normal or faulty."""

    OK = "ok"
    DOWN = "down"
    STALE = "stale"
    OLD = "old"
    SLOW = "slow"


@dataclass(frozen=True, slots=True)
class Change:
    """A numbered change of a value; `text` is None for a deletion."""

    revision: int
    name: str
    text: str | None


def _read_journal(journal: Path | None) -> list[Change]:
    """Return the changes that earlier runs of the platform recorded."""
    if journal is None or not journal.exists():
        return []
    lines = journal.read_text(encoding="utf-8").splitlines()
    return [Change(**loads(line)) for line in lines]


class Platform:
    """All changes so far and the mode in which they are served.

    Parameters
    ----------
    journal : Path, optional
        File in which the changes are stored.
    """

    def __init__(self, journal: Path | None = None):
        self.mode = Mode.OK
        self.reads = 0
        self._journal = journal
        self._changes: list[Change] = _read_journal(journal)
        self._served_revision: int | None = None
        self._changed = Event()

    @property
    def revision(self) -> int:
        """Revision up to which changes are served."""
        if self._served_revision is not None:
            return self._served_revision
        return len(self._changes)

    def put(self, name: str, text: str | None) -> int:
        """Change or delete a value and return the change's revision."""
        change = Change(len(self._changes) + 1, name, text)
        if self._journal is not None:
            with self._journal.open("a", encoding="utf-8") as journal:
                journal.write(dumps(asdict(change)) + "\n")
        self._changes.append(change)
        self.notify_watchers()
        return len(self._changes)

    def set_mode(self, mode: Mode) -> None:
        """Set the mode.

        ``stale`` serves no change made after this call; ``old`` serves only
        the first half of the changes made before it.
        """
        self.mode = mode
        served_by_mode = {
            Mode.STALE: len(self._changes),
            Mode.OLD: len(self._changes) // 2,
        }
        self._served_revision = served_by_mode.get(mode)
        self.notify_watchers()

    def latest_after(self, revision: int) -> list[Change]:
        """Return the latest served change of each name after `revision`."""
        latest_by_name = {
            change.name: change for change in self._changes[: self.revision]
        }
        changes = [each for each in latest_by_name.values() if each.revision > revision]
        return sorted(changes, key=lambda change: change.revision)

    def find(self, name: str) -> Change | None:
        """Return the latest served change of `name`."""
        for change in reversed(self._changes[: self.revision]):
            if change.name == name:
                return change
        return None

    def notify_watchers(self) -> None:
        """Make all waiting index requests check for changes."""
        self._changed.set()
        self._changed = Event()

    async def wait(self) -> None:
        """Wait until a change is made or the mode is set."""
        await self._changed.wait()


@web.middleware
async def _apply_fault(request: web.Request, handler) -> web.StreamResponse:
    platform = request.app[PLATFORM]
    if not request.path.startswith("/v1/") or request.method != "GET":
        return await handler(request)
    platform.reads += 1
    if platform.mode is Mode.DOWN:
        _drop_connection(request)
    if platform.mode is Mode.SLOW:
        await sleep(SLOW_S)
    response = await handler(request)
    if platform.mode is Mode.DOWN:
        _drop_connection(request)
    return response


def _drop_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
    raise web.HTTPServiceUnavailable


async def _get_index(request: web.Request) -> web.Response:
    platform = request.app[PLATFORM]
    after = int(request.query.get("after", "0"))
    wait = min(float(request.query.get("wait", "0")), MAX_WAIT_S)
    changes = platform.latest_after(after)
    with suppress(TimeoutError):
        async with timeout(wait):
            while not changes and platform.mode is not Mode.DOWN:
                await platform.wait()
                changes = platform.latest_after(after)
    entries = [
        {"name": each.name, "revision": each.revision, "deleted": each.text is None}
        for each in changes
    ]
    return web.json_response({"revision": platform.revision, "changes": entries})


async def _get_value(request: web.Request) -> web.Response:
    change = request.app[PLATFORM].find(request.match_info["name"])
    if change is None or change.text is None:
        raise web.HTTPNotFound
    return web.Response(text=change.text, headers={"Revision": str(change.revision)})


async def _put_value(request: web.Request) -> web.Response:
    text = await request.text()
    revision = request.app[PLATFORM].put(request.match_info["name"], text)
    return web.json_response({"revision": revision})


async def _delete_value(request: web.Request) -> web.Response:
    revision = request.app[PLATFORM].put(request.match_info["name"], None)
    return web.json_response({"revision": revision})


async def _set_fault(request: web.Request) -> web.Response:
    mode = Mode((await request.json())["mode"])
    request.app[PLATFORM].set_mode(mode)
    return web.json_response({"mode": mode})


async def _get_stats(request: web.Request) -> web.Response:
    platform = request.app[PLATFORM]
    return web.json_response({"reads": platform.reads, "revision": platform.revision})


PLATFORM = web.AppKey("platform", Platform)


def make_app(platform: Platform) -> web.Application:
    """Return the HTTP application that serves `platform`."""
    app = web.Application(middlewares=[_apply_fault], client_max_size=MAX_VALUE_BYTES)
    app[PLATFORM] = platform
    app.router.add_get("/v1/index", _get_index)
    app.router.add_get("/v1/values/{name:.+}", _get_value)
    app.router.add_put("/v1/values/{name:.+}", _put_value)
    app.router.add_delete("/v1/values/{name:.+}", _delete_value)
    app.router.add_post("/fault", _set_fault)
    app.router.add_get("/stats", _get_stats)
    return app


async def start_platform(platform: Platform, listen: Address) -> web.AppRunner:
    """Serve `platform` at `listen` until the runner's ``cleanup``."""
    runner = web.AppRunner(make_app(platform), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, listen.ip, listen.port).start()
    return runner


def read_values(directory: Path) -> Iterator[tuple[str, str]]:
    """Return name and text of each value under `directory`."""
    for path in sorted(directory.rglob(f"*{SUFFIX}")):
        name = path.relative_to(directory).with_suffix("").as_posix()
        yield name, path.read_text(encoding="utf-8")


async def _serve(
    listen: Address, values: Iterable[tuple[str, str]], journal: Path | None
) -> None:
    platform = Platform(journal)
    if not platform.revision:
        for name, text in values:
            platform.put(name, text)
    await start_platform(platform, listen)
    await Event().wait()


def main() -> None:
    """Run the simulated platform until it is interrupted."""
    parser = ArgumentParser(prog="python -m demo.platform", description=__doc__)
    parser.add_argument("--listen", type=parse_address, required=True)
    parser.add_argument("--values", type=Path, required=True)
    parser.add_argument("--journal", type=Path, help="file in which changes are stored")
    arguments = parser.parse_args()
    values = read_values(arguments.values)
    with suppress(KeyboardInterrupt):
        run(_serve(arguments.listen, values, arguments.journal))


if __name__ == "__main__":
    main()
