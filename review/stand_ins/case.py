"""Runs a case: starts its deployment, and ends all that it started."""

import sys
from asyncio import Task, create_task, gather, run, wait_for
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from os import environ
from pathlib import Path
from tempfile import TemporaryDirectory
from traceback import format_exc

from review.stand_ins.client import Client, Router
from review.stand_ins.machines import (
    REGION,
    ROOT,
    STORE_PORT,
    CannotRunError,
    Machine,
    reserve_network,
)
from review.stand_ins.record import Record
from review.stand_ins.store import Link, Store
from review.stand_ins.target import Target

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# Figures of the installations with 16 to 25 edge machines, in milliseconds
# where the names say so.
BOUNDS = {
    "stability-window-ms": 5000,
    "drain-timeout-ms": 5000,
    "config-apply-ms": 5000,
    "max-stretch-ms": 15000,
    "flow-timeout-ms": 2000,
    "flow-lifetime-s": 60,
    "warmup-overage": 1.5,
    "warmup-slack": 5,
}
MAX_S = 110.0
MAX_LOG_LINES = 40


@dataclass(frozen=True)
class Route:
    """A route of the configuration."""

    name: str
    address: tuple[str, int]
    service: str
    kind: str
    timeout_ms: int
    aim_ms: int
    priority: int

    def format(self) -> dict:
        """Return the route as the admin writes it."""
        return {
            "name": self.name,
            "host": self.address[0],
            "prefix": f"/{self.address[1]}/",
            "service": self.service,
            "type": self.kind,
            "timeout-ms": self.timeout_ms,
            "aim-ms": self.aim_ms,
            "priority": self.priority,
        }


class Case:
    """Deployment of one case on loopback addresses.

    Attributes
    ----------
    has_trouble : bool
        Whether the disruption takes place; not with ``TROUBLE=0``.
    """

    def __init__(
        self,
        record: Record,
        folder: Path,
        zones: tuple[str, ...],
        bounds: dict[str, object],
    ):
        self.has_trouble = environ.get("TROUBLE", "1") != "0"
        self.record = record
        self.zones = zones
        self.bounds = bounds
        self.network, self._reservation = reserve_network()
        self.store = Store(record)
        self.edges: list[Machine] = []
        self.sides: list[Machine] = []
        self.targets: list[Target] = []
        self.clients: list[Client] = []
        self.links_by_name: dict[str, Link] = {}
        self.router = Router(self.edges, record)
        self.tasks: list[Task] = []
        self._folder = folder

    def _settings(self, seeds: list[str]) -> dict[str, object]:
        return {
            **{f"zones.{zone}": REGION for zone in self.zones},
            **{f"bounds.{name}": value for name, value in self.bounds.items()},
            "seeds": ",".join(f"{ip}:8166" for ip in seeds),
        }

    async def add_edge(self, zone: str, seeds: list[int]) -> Machine:
        """Add an edge machine with a link of its own to the store."""
        number = len(self.edges)
        ips = [f"{self.network}.2.{10 + seed}" for seed in seeds]
        store_ip = f"{self.network}.1.{10 + number}"
        machine = Machine(
            f"edge-{number}",
            "balancer",
            f"{self.network}.2.{10 + number}",
            zone,
            store_ip,
            self._settings(ips),
            self._folder,
            self.record,
        )
        self.links_by_name[machine.name] = await self.store.listen(store_ip, STORE_PORT)
        self.edges.append(machine)
        return machine

    def add_side(self, zone: str, service: str) -> Machine:
        """Add a machine beside a target."""
        number = len(self.sides)
        machine = Machine(
            f"side-{number}",
            "agent",
            f"{self.network}.3.{10 + number}",
            zone,
            f"{self.network}.1.1",
            {**self._settings([]), "service": service},
            self._folder,
            self.record,
        )
        self.sides.append(machine)
        return machine

    async def add_target(
        self,
        side: Machine,
        service: str,
        work_s: float = 0.02,
        warmup_s: float = 0.0,
    ) -> Target:
        """Start a target on a machine, which writes its entry."""
        name = f"t-{len(self.targets)}"
        target = Target(
            name, service, side.zone, side.ip, self.record, work_s, warmup_s
        )
        self.targets.append(target)
        await target.start()
        self.store.put(f"servers/{name}", target.entry())
        return target

    def write_configuration(
        self, version: int, routes: tuple[Route, ...], **service_fields: object
    ) -> float:
        """Write a configuration; return when it was acknowledged."""
        services = sorted({route.service for route in routes})
        return self.store.put(
            "op/config",
            {
                "version": version,
                "routes": [route.format() for route in routes],
                "services": [
                    {"name": name, "health-path": "/health", **service_fields}
                    for name in services
                ],
                "limits": {"idle-timeout-ms": 12000},
            },
        )

    async def add_client(self, zone: str) -> Client:
        """Add a client's address."""
        ip = f"{self.network}.4.{10 + len(self.clients)}"
        client = Client(ip, zone, self.router, self.record)
        self.clients.append(client)
        await client.start()
        return client

    def run_task(self, work: Awaitable) -> Task:
        """Run a part of the case in the background."""
        task = create_task(work)
        self.tasks.append(task)
        return task

    async def start_machines(self) -> None:
        """Start all machines that don't run, and wait until all are ready."""
        machines = self.edges + self.sides
        await gather(*(m.start() for m in machines if not m.is_running))
        await gather(*(machine.wait_ready() for machine in machines))
        for machine in machines:
            self.run_task(machine.supervise())
        self.run_task(self.router.probe())

    def check_tasks(self) -> None:
        """Raise the error of a background task that has failed."""
        for task in self.tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                raise task.exception()

    async def stop(self) -> None:
        """End all that the case started."""
        for task in self.tasks:
            task.cancel()
        await gather(*self.tasks, return_exceptions=True)
        await gather(*(machine.end() for machine in self.edges + self.sides))
        for target in self.targets:
            target.stop()
        for client in self.clients:
            client.close()
        self.store.close()
        self._reservation.close()

    def copy_logs(self, events: tuple[str, ...]) -> None:
        """Copy the log lines of some events of the edges to the record."""
        for machine in self.edges:
            path = self._folder / f"{machine.name}.log"
            lines = path.read_text(errors="replace").splitlines()
            chosen = [
                line
                for line in lines
                if any(f"event={event} " in line for event in events)
            ]
            for line in chosen[:MAX_LOG_LINES]:
                self.record(f"log of {machine.name}: {line}")

    def copy_error(self) -> None:
        """Copy the last lines that a process wrote before it ended."""
        for machine in self.edges + self.sides:
            path = self._folder / f"{machine.name}.log"
            if machine.self_ends:
                text = path.read_text(errors="replace").replace(f"{ROOT}/", "")
                for line in text.splitlines()[-8:]:
                    self.record(f"log of {machine.name}: {line}")
                return


def count_worst_second(case: Case, target: Target) -> tuple[int, float]:
    """Return the most openings that were sent and arrived in a second."""
    flows = {
        flow.key: flow
        for client in case.clients
        for flow in client.flows_by_key.values()
    }
    times = [
        (flows[key].opened_at_by_copy[copies], arrived_at)
        for arrived_at, key, copies in target.taken
    ]
    return max(
        (
            (sum(sent >= first and at < first + 1.0 for sent, at in times), first)
            for first, _ in times
        ),
        default=(0, 0.0),
    )


def run_case(
    file: str,
    zones: tuple[str, ...],
    play: Callable[[Case], Awaitable[str]],
    **bounds: object,
) -> None:
    """Play a case and exit with its code.

    Parameters
    ----------
    file : str
        The case's program, beside which `record.txt` is written.
    play : callable
        Returns how the rule was broken, or an empty string if it held.
    **bounds : object
        Bounds that differ from `BOUNDS`, with underscores in their names.
    """
    record = Record(Path(file).parent / "record.txt")

    async def play_case(folder: Path) -> int:
        own = {name.replace("_", "-"): value for name, value in bounds.items()}
        case = Case(record, folder, zones, {**BOUNDS, **own})
        record(f"trouble: {case.has_trouble}")
        try:
            breach = await wait_for(play(case), MAX_S)
            case.check_tasks()
        except (CannotRunError, TimeoutError, OSError) as error:
            record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return CANNOT_RUN
        except Exception:
            record(f"the case could not run: {format_exc()}")
            print(format_exc())
            return CANNOT_RUN
        finally:
            await case.stop()
        record(f"BROKEN: {breach}" if breach else "the rule held")
        print(f"BROKEN: {breach}" if breach else "the rule held")
        return BROKEN if breach else HELD

    with TemporaryDirectory() as name:
        code = run(play_case(Path(name)))
    record.close()
    sys.exit(code)
