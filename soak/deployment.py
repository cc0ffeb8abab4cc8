"""A deployment on loopback: processes, store, targets and callers."""

import sys
from asyncio import (
    Lock,
    create_subprocess_exec,
    create_task,
    gather,
    get_running_loop,
    sleep,
)
from asyncio import timeout as time_limit
from asyncio.subprocess import Process
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from dataclasses import dataclass, field
from errno import EADDRINUSE
from math import inf
from os import environ, kill
from pathlib import Path
from random import Random
from signal import SIGHUP, SIGKILL, SIGTERM
from sysconfig import get_path
from typing import IO

from xxhash import xxh3_64_intdigest

from lycheeglade.address import Address
from lycheeglade.segment import ConnectionKey
from soak.caller import Caller
from soak.network import Network
from soak.process import PROXY_VARIABLE
from soak.promises import ALL_HOSTS, STABILITY_S, PromiseChecker
from soak.store_link import StoreLink
from soak.target import Target
from tests.platform_process import (
    APP_PORT,
    DATAGRAM_PORT,
    OUTBOUND_PORT,
    PATH_VARIABLE,
    ZONES,
    format_settings,
    is_ready,
    read_peak_kb,
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
# The smallest limit of a deployment. The platform kills a process beyond it.
MAX_MEMORY_KB = 104 * 1024
START_S = 20.0
GRACE_S = 6.0
# The platform starts a process again after this time.
RESTART_DELAY_S = 0.25
# No signal is sent to a process within this time after its start, nor before
# it has used MIN_SIGNAL_CPU_S of processor time: until the interpreter runs
# the first line of the program, a signal has its default action whatever the
# program does. That takes up to 0.022 s of processor time, and longer on a
# machine that is busy.
MIN_SIGNAL_DELAY_S = 0.05
MIN_SIGNAL_CPU_S = 0.03
SIGNAL_POLL_S = 0.005
NS_PER_S = 1e9
# Most handlers are installed, and most imports are done, before the first.
EARLY_SIGNAL_S, LATE_SIGNAL_S = 0.3, 1.0
# Numbers of SIGHUPs after a start, one of which is chosen.
HANGUPS = (0, 1, 1, 3)
# Between two SIGHUPs to a process that stops.
MAX_STOP_HANGUP_S = 0.1
STOP_HANGUP_SHARE = 0.5  # Share of the stops with SIGHUPs.
# Parts of log lines that tell of an error in the program.
ERROR_MARKS = ("Traceback", "never retrieved", "event=part-failed", "level=error")
# The soak holds addresses, and records each end itself.
EXPECTED_ERRORS = (f"OSError({EADDRINUSE}, ", "event=ended")
PROGRAM = (sys.executable, "-S", str(ROOT / "soak" / "process.py"))
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
    # Whether a process that ends by itself is started again.
    is_wanted: bool = False
    # Held while a process of the host is being created.
    creating: Lock = field(default_factory=Lock)
    # The process that the soak itself has stopped or killed.
    stopped: Process | None = None
    started_at: float = 0.0
    hangup_at: float = -inf
    # Disturbances of the current start, see `soak.starts`.
    disturbances: list[str] = field(default_factory=list)
    # Factor by which the process is slowed down.
    slowdown: float = 1.0
    # Changes the settings before they are written; None leaves no file.
    damage: Callable[[str], str | None] = str
    extra_seeds: tuple[str, ...] = ()
    output: IO | int | None = None
    has_output: bool = True

    @property
    def is_running(self) -> bool:
        """Whether the process of the host runs."""
        return self.process is not None and self.process.returncode is None

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
        self.program = PROGRAM
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
        await gather(*(self.check_serving(host, START_S) for host in self.hosts))
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
            if host.is_running:
                self.send_signal(host, SIGKILL)
                await host.process.wait()
            if host.log is not None:
                host.log.close()
        for target in self.targets_by_ip.values():
            target.close()
        self._started.close()
        await sleep(0)

    def check_tasks(self) -> None:
        """Raise the error of a failed task."""
        for task in self._tasks:
            if task.done():
                task.result()
        self._tasks = [task for task in self._tasks if not task.done()]

    def write_settings(self, host: Host) -> None:
        """Write the settings file of a host, or remove it, as damaged."""
        seeds = tuple(b.ip for b in self.balancers if b is not host)
        text = host.damage(
            format_settings(
                host.name,
                host.role,
                host.ip,
                Address(host.ip, STORE_PORT),
                host.service,
                host.zone,
                host.extra_seeds + seeds,
            )
            + f"bounds.warmup-overage={WARMUP_OVERAGE}\n"
            + f"bounds.warmup-slack={WARMUP_SLACK}\n"
        )
        path = self._settings_path(host)
        if text is None:
            path.unlink(missing_ok=True)
        else:
            path.write_text(text)

    def _settings_path(self, host: Host) -> Path:
        return self._folder / f"{host.name}.conf"

    async def start_process(self, host: Host) -> None:
        """Write the settings of a host and start its process.

        SIGHUP may follow at any moment of the start.
        """
        self.write_settings(host)
        host.is_wanted = True
        async with host.creating:
            await self._spawn(host)
        for _ in range(self.generator.choice(HANGUPS)):
            delay = self.draw_signal_delay(host)
            self._tasks.append(create_task(self._hang_up_later(host, delay)))

    async def _spawn(self, host: Host) -> None:
        """Start the process of a host, which is started again when it ends."""
        if host.log is None:
            host.log = (self._folder / f"{host.name}.log").open("ab")
        program = (*self.program, host.role)
        if not host.has_output:
            program = ("/bin/sh", "-c", 'exec "$0" "$@" >&-', *program)
        host.started_at = self.now()
        host.process = await create_subprocess_exec(
            *program,
            cwd=ROOT,
            env={
                **environ,
                "PYTHONPATH": get_path("purelib"),
                PATH_VARIABLE: str(self._settings_path(host)),
                PROXY_VARIABLE: f"{self._proxy.ip}:{self._proxy.port}",
            },
            stdout=host.log if host.output is None else host.output,
            stderr=host.log,
        )
        self._tasks.append(create_task(self._watch_process(host, host.process)))

    async def _watch_process(self, host: Host, process: Process) -> None:
        """Record the end of a process that nobody stopped, and restart it.

        The platform does so too, with the settings file as it is.
        """
        code = await process.wait()
        if process is host.stopped:
            return
        self._record_end(host, code)
        await sleep(RESTART_DELAY_S)
        async with host.creating:
            if host.is_wanted and host.process is process:
                await self._spawn(host)

    def _record_end(self, host: Host, code: int) -> None:
        now = self.now()
        detail = f"exit code {code}, {now - host.started_at:.3f} s after its start"
        if host.hangup_at >= host.started_at:
            detail += f", {now - host.hangup_at:.3f} s after SIGHUP"
        if host.process is host.stopped:
            detail += ", stopping"
        if host.disturbances:
            detail += f", {' and '.join(host.disturbances)}"
        self.promises.record_breach("ENDED", host.name, detail)
        self.promises.counts[f"ended-{host.name}"] += 1

    def draw_signal_delay(self, host: Host) -> float:
        """Return when a signal is sent, in seconds after the start."""
        latest = self.generator.choice((EARLY_SIGNAL_S, LATE_SIGNAL_S))
        return host.slowdown * self.generator.uniform(MIN_SIGNAL_DELAY_S, latest)

    async def _hang_up_later(self, host: Host, delay: float) -> None:
        await sleep(delay)
        await self._wait_for_program(host)
        self.hang_up(host)

    async def _wait_for_program(self, host: Host) -> None:
        """Wait until the process of a host runs its program, or has ended."""
        while host.is_running and not self._has_begun(host):
            await sleep(SIGNAL_POLL_S)

    def _has_begun(self, host: Host) -> bool:
        try:
            text = Path(f"/proc/{host.process.pid}/schedstat").read_text()
        except OSError:
            # The process has just ended.
            return False
        used_s = int(text.split()[0]) / NS_PER_S
        elapsed = self.now() - host.started_at
        return used_s >= MIN_SIGNAL_CPU_S and elapsed >= MIN_SIGNAL_DELAY_S

    def hang_up(self, host: Host) -> None:
        """Send SIGHUP to the process of a host, unless it just started."""
        if host.is_running and self._has_begun(host):
            host.hangup_at = self.now()
            self.send_signal(host, SIGHUP)

    def send_signal(self, host: Host, number: int) -> None:
        """Send a signal to the process of a host, if it runs."""
        if host.is_running:
            # `Process.send_signal` may take the exit code from its watcher.
            with suppress(ProcessLookupError):
                kill(host.process.pid, number)

    async def check_serving(self, host: Host, limit: float = STABILITY_S) -> None:
        """Check that a process gets ready within `limit` seconds.

        Faults of the host or of its store extend the time, to at most START_S
        seconds.
        """
        began_at = self.now()
        while not await self._is_ready(host):
            elapsed = self.now() - began_at
            is_late = elapsed > limit and self.promises.is_stable(host.ip)
            if is_late or elapsed > START_S:
                reasons = " and ".join(host.disturbances) or "no disturbance"
                self.promises.record_breach(
                    "READY", host.name, f"not ready in {elapsed:.3f} s, {reasons}"
                )
                return
            await sleep(STALL_POLL_S)
        host.disturbances.clear()

    async def _end_restarts(self, host: Host) -> None:
        """Let a process that is being created be the last one."""
        host.is_wanted = False
        async with host.creating:
            pass

    async def stop_process(self, host: Host) -> None:
        """Stop a process with SIGTERM and check its exit.

        The process has to exit within GRACE_S seconds and with code 0, also if
        it gets SIGHUP meanwhile.
        """
        await self._end_restarts(host)
        await self._wait_for_program(host)
        if not host.is_running:
            return
        host.stopped = host.process
        self.send_signal(host, SIGTERM)
        hangups = create_task(self._hang_up_while_stopping(host))
        try:
            async with time_limit(GRACE_S):
                code = await host.process.wait()
        except TimeoutError:
            # The news of an end comes late if this event loop stalls.
            self.send_signal(host, SIGKILL)
            code = await host.process.wait()
            if code == -SIGKILL:
                self.promises.record_breach(
                    "GRACE", host.name, "still running at the end of the grace time"
                )
                return
        finally:
            hangups.cancel()
        if code:
            self._record_end(host, code)

    async def _hang_up_while_stopping(self, host: Host) -> None:
        if self.generator.random() < STOP_HANGUP_SHARE:
            while True:
                await sleep(self.generator.uniform(0.0, MAX_STOP_HANGUP_S))
                self.hang_up(host)

    async def kill_process(self, host: Host) -> None:
        """Kill the process of a host, which is not started again."""
        await self._end_restarts(host)
        if host.is_running:
            host.stopped = host.process
            self.send_signal(host, SIGKILL)
            await host.process.wait()

    def check_logs(self) -> None:
        """Record the errors that processes have logged, also if they go on."""
        for host in self.hosts:
            text = Path(host.log.name).read_text(errors="replace")
            for line in text.splitlines():
                is_error = any(mark in line for mark in ERROR_MARKS)
                if is_error and not any(mark in line for mark in EXPECTED_ERRORS):
                    self.promises.record_breach("LOGGED", host.name, line)

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

    async def _poll_readiness(self) -> None:
        while True:
            await gather(*map(self._poll, self.balancers))
            self.check_memory()
            await sleep(READY_POLL_S)

    def check_memory(self) -> None:
        """Record the processes that have used too much memory."""
        for host in self.hosts:
            peak_kb = read_peak_kb(host.process.pid) if host.is_running else 0
            if peak_kb > MAX_MEMORY_KB:
                detail = f"{peak_kb} KiB resident, limit {MAX_MEMORY_KB}"
                self.promises.record_breach("MEMORY", host.name, detail)

    async def _poll(self, host: Host) -> None:
        host.misses = 0 if await self._is_ready(host) else host.misses + 1

    async def _is_ready(self, host: Host) -> bool:
        try:
            async with time_limit(READY_TIMEOUT_S):
                return await is_ready(host.ip)
        except (OSError, TimeoutError):
            return False

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
