"""A deployment on loopback: processes, store, targets and callers."""

import sys
from asyncio import (
    create_subprocess_exec,
    create_task,
    gather,
    get_running_loop,
    sleep,
)
from asyncio import timeout as time_limit
from asyncio.subprocess import Process
from collections import deque
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from math import inf
from os import environ
from pathlib import Path
from random import Random
from signal import SIGTERM
from typing import IO

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.segment import ConnectionKey
from soak.caller import Caller
from soak.network import Network
from soak.process import PROXY_VARIABLE
from soak.promises import ALL_HOSTS, PromiseChecker
from soak.store_link import StoreLink
from soak.target import Target
from tests.platform_process import (
    APP_PORT,
    DATAGRAM_PORT,
    OUTBOUND_PORT,
    PATH_VARIABLE,
    READY_PORT,
    ZONES,
    fetch,
    format_settings,
    is_ready,
)
from tests.store_stand_in import StoreCopy, StoreStandIn

ROOT = Path(__file__).parent.parent
BALANCERS = 3
SERVICES = ("feeds", "feeds", "feeds", "reels", "reels")
ROUTE_FIELDS_BY_SERVICE = {
    "feeds": {"aim-ms": 303, "priority": 1},
    "reels": {"aim-ms": 352, "priority": 0},
}
# A cold target may accept WARMUP_PER_S x OVERAGE + SLACK openings in a second,
# which the share of one of two targets in a burst exceeds.
WARMUP_S, WARMUP_PER_S, WARMUP_OVERAGE, WARMUP_SLACK = 2.0, 2.0, 1.5, 5
BURST_CONNECTIONS = 80
PUBLISH_EVERY = 20  # Connections between two updates of the target's entry.
CALLERS = 12
EVACUATION_PREFIX = "op/evacuate/"
STORE_PORT, PROXY_PORT = 7600, 7601
SERVICE_TIMES_S = (0.005, 0.01)
# Lag of the store's reads that may lag; shorter than the time within which a
# configuration comes into force.
MAX_LAG_S = 2.0
COPY_PERIOD_S = 0.1
READY_POLL_S = 0.5
MISSES_UNTIL_UNREADY = 2
READY_TIMEOUT_S = 0.4
START_S = 20.0
GRACE_S = 6.0
# A sleep that ends later than this counts as a stall of the soak's event loop.
# The processes that it started may have stalled too.
STALL_S = 0.3
STALL_POLL_S = 0.05


@dataclass(slots=True)
class Host:
    """A simulated host, its balancer or agent process and its zone."""

    name: str
    role: str
    ip: str
    zone: str
    service: str = ""
    store_link: StoreLink | None = None
    process: Process | None = None
    log: IO | None = None
    misses: int = MISSES_UNTIL_UNREADY
    is_busy: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether the fabric forwards packets of callers to this host."""
        return self.misses < MISSES_UNTIL_UNREADY


class Deployment:
    """All components of one round.

    Parameters
    ----------
    slot : int
        Third octet of the addresses, which differs between parallel rounds.
    folder : Path
        Directory for the settings and logs of the processes.
    """

    def __init__(self, slot: int, folder: Path, generator: Random):
        self.generator = generator
        self.promises = PromiseChecker(get_running_loop().time)
        self.network = Network(generator)
        self.store = StoreStandIn()
        self.targets_by_ip: dict[str, Target] = {}
        self.routes: dict[Address, str] = {}
        # Addresses of agents whose target is being removed or replaced.
        self.unavailable_target_ips: set[str] = set()
        self.evacuated_zone = ""
        self._slot = slot
        self._folder = folder
        self._version = 0
        self._target_count = 0
        self._tasks = []
        self._callers: list[Caller] = []
        self._started = ExitStack()
        self._refusals: list[int | None] = []
        self._copies: deque[StoreCopy] = deque(maxlen=round(MAX_LAG_S / COPY_PERIOD_S))
        self._proxy = Address(self._ip(1), PROXY_PORT)
        self.balancers = [
            Host(f"balancer-{n}", "balancer", self._ip(10 + n), ZONES[n % len(ZONES)])
            for n in range(BALANCERS)
        ]
        self.agents = [
            Host(f"agent-{n}", "agent", self._ip(20 + n), ZONES[n % len(ZONES)], name)
            for n, name in enumerate(SERVICES)
        ]

    def now(self) -> float:
        """Return the time of the event loop in seconds."""
        return get_running_loop().time()

    def _ip(self, number: int) -> str:
        return f"127.9.{self._slot}.{number}"

    @property
    def hosts(self) -> list[Host]:
        """The hosts of all balancers and agents."""
        return self.balancers + self.agents

    async def start(self) -> None:
        """Start all components, the callers once all balancers are ready."""
        await self.network.start(self._proxy)
        self._started.callback(self.network.stop)
        store = Address(*await self.store.start(self._ip(2), STORE_PORT))
        self._started.callback(self.store.stop)
        for balancer in self.balancers:
            balancer.store_link = StoreLink(store)
            await balancer.store_link.start(Address(balancer.ip, STORE_PORT))
            self._started.callback(balancer.store_link.stop)
        self.publish_routes({Address("198.18.0.1", 443): "feeds"})
        self.publish_routes({**self.routes, Address("198.18.0.2", 443): "reels"})
        for agent in self.agents:
            self.add_target(agent)
        await gather(*map(self.start_process, self.hosts))
        self._tasks.append(create_task(self._poll_readiness()))
        self._tasks.append(create_task(self._watch_stalls()))
        self._tasks.append(create_task(self._age_copies()))
        async with time_limit(START_S):
            await self._wait_ready()
            await gather(*map(self.wait_started, self.agents))
        for number in range(CALLERS):
            caller = Caller(
                Address(self._ip(100 + number), DATAGRAM_PORT),
                self.network,
                self.promises,
                self.choose_balancer,
                self._choose_route,
                self.generator,
            )
            self._callers.append(caller)
            self._tasks.append(create_task(caller.run()))

    async def stop(self) -> None:
        """Stop the deployment, which may have started only in part."""
        for task in self._tasks:
            task.cancel()
        await gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            if host.process is not None and host.process.returncode is None:
                host.process.kill()
                await host.process.wait()
            if host.log is not None:
                host.log.close()
        for target in self.targets_by_ip.values():
            target.close()
        self._started.close()
        await sleep(0)

    def check_tasks(self) -> None:
        """Raise the error of a failed task and record unexpected exits."""
        for task in self._tasks:
            if task.done():
                task.result()
        for host in self.hosts:
            if not host.is_busy and host.process.returncode is not None:
                code = host.process.returncode
                self.promises.record_breach("ENDED", host.name, f"exit code {code}")
                host.is_busy = True

    async def start_process(self, host: Host) -> None:
        """Write the settings of a host and start its process."""
        seeds = tuple(b.ip for b in self.balancers if b is not host)
        path = self._folder / f"{host.name}.conf"
        path.write_text(
            format_settings(
                host.name,
                host.role,
                host.ip,
                Address(host.ip, STORE_PORT),
                host.service,
                host.zone,
                seeds,
            )
            + f"bounds.warmup-overage={WARMUP_OVERAGE}\n"
            + f"bounds.warmup-slack={WARMUP_SLACK}\n"
        )
        if host.log is None:
            host.log = (self._folder / f"{host.name}.log").open("ab")
        host.process = await create_subprocess_exec(
            sys.executable,
            "-m",
            "soak.process",
            host.role,
            cwd=ROOT,
            env={
                **environ,
                PATH_VARIABLE: str(path),
                PROXY_VARIABLE: f"{self._proxy.ip}:{self._proxy.port}",
            },
            stdout=host.log,
            stderr=host.log,
        )

    async def wait_started(self, host: Host) -> None:
        """Wait until a process handles signals, or has exited."""
        async with time_limit(START_S):
            while host.process.returncode is None and not await fetch(
                host.ip, READY_PORT, "/ready"
            ):
                await sleep(STALL_POLL_S)

    async def stop_process(self, host: Host) -> None:
        """Stop a process with SIGTERM and check its exit.

        The process has to exit within GRACE_S seconds and with code 0.
        """
        host.process.send_signal(SIGTERM)
        try:
            async with time_limit(GRACE_S):
                code = await host.process.wait()
        except TimeoutError:
            self.promises.record_breach(
                "GRACE", host.name, "still running at the end of the grace time"
            )
            host.process.kill()
            code = await host.process.wait()
        if code:
            self.promises.record_breach("ENDED", host.name, f"exit code {code}")

    def publish_routes(self, routes: dict[Address, str]) -> None:
        """Publish a configuration with `routes` and record its changes."""
        now = self.now()
        for address in self.routes.keys() - routes.keys():
            self.promises.removed_at_by_address[address] = now
            self.promises.unnamed_at_by_route[address, self.routes[address]] = now
        for address in routes.keys() - self.routes.keys():
            self.promises.removed_at_by_address.pop(address, None)
        for address, service in routes.items():
            former = self.routes.get(address, service)
            if former != service:
                # Either service may be seen until the change is in force.
                self.promises.unnamed_at_by_route[address, former] = now
                self.promises.unnamed_at_by_route[address, service] = inf
        self.routes = dict(routes)
        self._version += 1
        self._write_configuration()

    def _write_configuration(self) -> None:
        self.store.put(
            "op/config",
            {
                "version": self._version,
                "routes": [
                    {"host": address.ip, "prefix": f"/{address.port}/", "type": "safe"}
                    | {"service": service, "timeout-ms": 1500}
                    | ROUTE_FIELDS_BY_SERVICE[service]
                    for address, service in self.routes.items()
                ],
                "services": [
                    {"name": name, "warmup-per-s": WARMUP_PER_S}
                    for name in ROUTE_FIELDS_BY_SERVICE
                ],
            },
        )

    def add_target(self, agent: Host, warmup_s: float = 0.0) -> None:
        """Start a target on an agent's host and publish it in the store."""
        self._target_count += 1
        target = Target(
            f"i-{self._target_count}",
            agent.service,
            agent.zone,
            Address(agent.ip, APP_PORT),
            Address(agent.ip, OUTBOUND_PORT),
            self.generator.choice(SERVICE_TIMES_S),
            self.network,
            self.promises,
            self.generator,
            self._target_count,
            warmup_s,
        )
        self.targets_by_ip[agent.ip] = target
        self.publish_target(target, agent)

    async def load_cold_target(self, agent: Host) -> None:
        """Open connections to the service of a cold target that warms up."""
        target = self.targets_by_ip[agent.ip]
        connections = []
        for _ in range(BURST_CONNECTIONS):
            await sleep(WARMUP_S / BURST_CONNECTIONS)
            routes = [r for r in sorted(self.routes.items()) if r[1] == agent.service]
            caller, route = map(self.generator.choice, (self._callers, routes))
            connections.append(create_task(caller.run_connection(*route, 1)))
            if target.is_alive and len(connections) % PUBLISH_EVERY == 0:
                self.publish_target(target, agent)
        await gather(*connections)

    def publish_target(self, target: Target, agent: Host) -> None:
        """Write the registration of a target to the store."""
        self.store.put(
            f"servers/{target.target_id}",
            {
                "service": target.service,
                "address": f"{target.app.ip}:{target.app.port}",
                "zone": target.zone,
                "capacity": 1,
                "state": "draining" if target.leaving else "ready",
                "born": target.born,
                "warmup-left-ms": target.warmup_left_ms,
            },
        )

    def remove_entry(self, target: Target) -> None:
        """Remove the registration of a target, unless the store lost it."""
        key = f"servers/{target.target_id}"
        if key in self.store.items_by_key:
            self.store.delete(key)

    def write_evacuation(self, zone: str) -> None:
        """Let the store name `zone` alone as evacuated, or none if empty."""
        self.evacuated_zone = zone
        for key in list(self.store.items_by_key):
            if key.startswith(EVACUATION_PREFIX) and not (zone and key.endswith(zone)):
                self.store.delete(key)
        self.promises.evacuated_since_by_zone.clear()
        if zone:
            self.store.put(f"{EVACUATION_PREFIX}{zone}", {})
            self.promises.evacuated_since_by_zone[zone] = self.now()

    def write_again(self) -> None:
        """Write what the store may have lost, as operators and targets do.

        Entries of targets and evacuations that have ended are removed.
        """
        self._write_configuration()
        self.write_evacuation(self.evacuated_zone)
        published = {f"servers/{t.target_id}" for t in self.targets_by_ip.values()}
        for key in self.store.items_by_key.keys() - published:
            if key.startswith("servers/"):
                self.store.delete(key)
        agents_by_ip = {agent.ip: agent for agent in self.agents}
        for ip, target in self.targets_by_ip.items():
            if target.is_alive:
                self.publish_target(target, agents_by_ip[ip])

    def restore_store(self, copy: StoreCopy) -> None:
        """Put the store back to `copy`; reads that may lag don't show more."""
        self.store.restore(copy)
        self._copies.clear()
        self.store.stale = copy

    async def _age_copies(self) -> None:
        """Let reads that may lag show the store of up to MAX_LAG_S ago."""
        while True:
            self._copies.append(self.store.copy())
            self.store.stale = self._copies[0]
            await sleep(COPY_PERIOD_S)

    @contextmanager
    def refusing_store(self, status: int | None) -> Iterator[None]:
        """Let the store refuse all calls while the block runs.

        Blocks may overlap; the store answers again after the last one.

        Parameters
        ----------
        status : int or None
            Status of the refusals, or None for a store that is silent.
        """
        self._refusals.append(status)
        self.store.status = status
        try:
            yield
        finally:
            self._refusals.remove(status)
            self.store.status = self._refusals[-1] if self._refusals else 200
            # The time to evacuate a zone begins again: the store was away.
            zones = self.promises.evacuated_since_by_zone
            zones.update(dict.fromkeys(zones, self.now()))

    def choose_balancer(self, key: ConnectionKey) -> Address:
        """Return the balancer to which the fabric sends packets of `key`."""
        hosts = [host for host in self.balancers if host.is_ready] or self.balancers
        best = max(
            hosts, key=lambda host: xxh3_64_intdigest(f"{host.ip} {key}".encode())
        )
        return Address(best.ip, DATAGRAM_PORT)

    def _choose_route(self) -> tuple[Address, str]:
        return self.generator.choice(sorted(self.routes.items()))

    async def _wait_ready(self) -> None:
        while not all(balancer.is_ready for balancer in self.balancers):
            for host in self.hosts:
                if host.process.returncode is not None:
                    raise RuntimeError(
                        f"{host.name}: exited during the start, see {host.log.name}"
                    )
            await sleep(STALL_POLL_S)

    async def _poll_readiness(self) -> None:
        while True:
            await gather(*map(self._poll, self.balancers))
            await sleep(READY_POLL_S)

    async def _poll(self, host: Host) -> None:
        try:
            async with time_limit(READY_TIMEOUT_S):
                ready = await is_ready(host.ip)
        except (OSError, TimeoutError):
            ready = False
        host.misses = 0 if ready else host.misses + 1

    async def _watch_stalls(self) -> None:
        """Record stalls of this process as a fault of all hosts.

        Other processes of the machine may have stalled too.
        """
        loop = get_running_loop()
        while True:
            sleep_began_at = loop.time()
            await sleep(STALL_POLL_S)
            if loop.time() - sleep_began_at > STALL_S:
                with self.promises.unplanned_fault(ALL_HOSTS):
                    self.promises.counts["stalls"] += 1
