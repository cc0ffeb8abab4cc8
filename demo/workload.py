"""Callers of a whole deployment, in one process."""

from asyncio import Event, get_running_loop, sleep, wait
from dataclasses import dataclass
from hashlib import sha256
from random import Random

from demo.account import Account
from demo.caller import Caller, CallerOptions
from demo.deployment import Deployment, ServicePlan
from demo.upstream import build_reel

CALLER_ACK_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 15.0
ABORT_TIMEOUT_S = 2.0


@dataclass(frozen=True, slots=True)
class Load:
    """Load that the callers generate.

    Attributes
    ----------
    feed_callers, reel_callers : int
        Callers of the first service (feed, confirmations, small requests)
        and of the second one (downloads, small requests).
    pause, reel_pause : float
        Mean seconds between two requests of a caller.
    reel_bytes : int
        Size of a download.
    """

    feed_callers: int = 200
    reel_callers: int = 6
    pause: float = 1.0
    reel_pause: float = 1.0
    reel_bytes: int = 2 << 20


def _get_error(task) -> BaseException | None:
    return None if task.cancelled() else task.exception()


class Workload:
    """Runs the callers, which share one account."""

    def __init__(self, deployment: Deployment, load: Load, generator: Random):
        self.account = Account()
        self._deployment = deployment
        self._load = load
        self._generator = generator
        self._stopped = Event()
        self._callers: list[Caller] = []
        self._tasks = []

    async def start(self) -> None:
        """Open the flows of all callers, one after another."""
        feed_service, reel_service = self._deployment.services[:2]
        loop = get_running_loop()
        for number in range(self._load.feed_callers):
            caller = await self.open_caller(f"f{number}", feed_service)
            self._tasks.append(loop.create_task(caller.keep_feed(self._stopped)))
            self._tasks.append(loop.create_task(self._send_requests(caller)))
        for number in range(self._load.reel_callers):
            caller = await self.open_caller(f"r{number}", reel_service)
            self._tasks.append(loop.create_task(self._download_reels(caller)))

    async def stop(self, timeout: float = STOP_TIMEOUT_S) -> None:
        """Wait for the requests in progress, then close all flows.

        Requests that do not end within `timeout` seconds are counted as open.
        """
        self._stopped.set()
        _done, pending = await wait(self._tasks, timeout=timeout)
        for task in pending:
            task.cancel()
        if pending:
            await wait(pending, timeout=ABORT_TIMEOUT_S)
        results = [_get_error(task) for task in self._tasks if task not in pending]
        for caller in self._callers:
            caller.close()
        errors = [error for error in results if error is not None]
        if errors:
            raise ExceptionGroup("callers failed", errors)

    async def abort(self) -> None:
        """Cancel all requests and close all flows."""
        self._stopped.set()
        for task in self._tasks:
            task.cancel()
        if self._tasks:
            await wait(self._tasks, timeout=ABORT_TIMEOUT_S)
        for caller in self._callers:
            caller.close()

    async def open_caller(self, name: str, service: ServicePlan) -> Caller:
        """Open a caller's flow, which `stop` and `abort` close."""
        options = CallerOptions(
            service.name,
            tuple(service.address),
            self._deployment.ip(0, 9),
            service.heartbeat,
            CALLER_ACK_TIMEOUT_S,
        )
        generator = Random(self._generator.getrandbits(64))
        caller = Caller(name, options, self.account, generator)
        self._callers.append(caller)
        return await caller.open()

    async def _pause(self, mean: float):
        await sleep(min(self._generator.expovariate(1 / mean), 4 * mean))

    async def _send_requests(self, caller: Caller):
        await self._pause(self._load.pause)
        while not self._stopped.is_set():
            choice = self._generator.random()
            if choice < 0.6:
                await caller.confirm()
            elif choice < 0.8:
                await caller.get_status()
            else:
                await caller.put_item()
            await self._pause(self._load.pause)

    async def _download_reels(self, caller: Caller):
        reel, _etag = build_reel(self._load.reel_bytes)
        digest = sha256(reel).digest()
        while not self._stopped.is_set():
            await caller.download_reel(self._load.reel_bytes, digest)
            await caller.get_status()
            await self._pause(self._load.reel_pause)
