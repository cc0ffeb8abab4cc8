"""Machines that run the project's programs with the deploy file's commands."""

import tomllib
from asyncio import create_subprocess_exec, open_connection, sleep, timeout, wait_for
from asyncio.subprocess import DEVNULL, Process
from contextlib import suppress
from os import environ, getpid
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGTERM
from socket import AF_INET, SOCK_DGRAM, socket

from review.stand_ins.record import Record

ROOT = Path(__file__).parent.parent.parent
REGION = "region-a"
DATAGRAM_PORT, READY_PORT, CONTROL_PORT = 8172, 8167, 8166
OUTBOUND_PORT, APP_PORT, STORE_PORT = 8162, 8165, 8169
INTERNAL_PORTS = (7720, 7735)
GRACE_S = 6.0
START_S = 15.0
# A process that exits or is killed is restarted after a short delay.
RESTART_S = 0.25
MAX_NETWORKS = 200


class CannotRunError(Exception):
    """The case could not run."""


def reserve_network() -> tuple[str, socket]:
    """Return the first two octets of free loopback addresses.

    They stay reserved until the socket is closed.
    """
    for number in range(MAX_NETWORKS):
        network = f"127.{20 + (getpid() + 7 * number) % MAX_NETWORKS}"
        reservation = socket(AF_INET, SOCK_DGRAM)
        try:
            reservation.bind((f"{network}.1.1", STORE_PORT))
        except OSError:
            reservation.close()
        else:
            return network, reservation
    raise CannotRunError("no free loopback addresses")


def read_commands() -> dict[str, list[str]]:
    """Return the commands of the roles in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {name: role["run"].split() for name, role in deploy["roles"].items()}


class Machine:
    """A machine with one process of the system.

    Attributes
    ----------
    self_ends : int
        Times that the process ended without a signal of this case.
    is_running : bool
        Whether the platform keeps the process running.
    """

    def __init__(
        self,
        name: str,
        role: str,
        ip: str,
        zone: str,
        store_ip: str,
        settings: dict[str, object],
        folder: Path,
        record: Record,
    ):
        self.name, self.role, self.ip, self.zone = name, role, ip, zone
        self.store_ip = store_ip
        self.settings = settings
        self.process: Process | None = None
        self.self_ends = 0
        self.is_running = False
        self.ended_at: float | None = None
        self._folder = folder
        self._record = record
        self._command = read_commands()[role]

    def _write_settings(self) -> Path:
        is_edge = self.role == "balancer"
        lines = {
            "node-name": self.name,
            "role": self.role,
            "machine-class": "edge" if is_edge else "side",
            "serves": "edge,control_plane" if is_edge else "side",
            "ip": self.ip,
            "zone": self.zone,
            "region": REGION,
            "listen.datagram-addr": f"{self.ip}:{DATAGRAM_PORT}",
            "listen.ready-addr": f"{self.ip}:{READY_PORT}",
            "internal-port-range": ",".join(map(str, INTERNAL_PORTS)),
            "bootstrap": "true",
            "limits.cpu-share": 0.645,
            "limits.cores": 1,
            "limits.memory-mb": 168,
            "limits.max-fds": 4100,
            "discovery": "platform",
            "entry": "announce",
            "heartbeat-ms": 770,
            "hash": "steady",
            "deploy-mode": "agent",
            "platform.address": f"{self.store_ip}:{STORE_PORT}",
            "platform.deploy-mode": "read",
            "platform.reads-per-s": 2000,
            "platform.history-s": 20,
            "platform.value-bytes": 1048576,
            **self.settings,
        }
        if is_edge:
            lines["listen.control"] = f"{self.ip}:{CONTROL_PORT}"
        else:
            lines["listen.outbound"] = f"{self.ip}:{OUTBOUND_PORT}"
            lines["app"] = f"{self.ip}:{APP_PORT}"
        path = self._folder / f"{self.name}.conf"
        path.write_text("".join(f"{name}={value}\n" for name, value in lines.items()))
        return path

    async def start(self) -> None:
        """Start the process as the deploy file says."""
        path = self._write_settings()
        kept = {"PATH", "HOME", "LANG"}
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                env={
                    **{name: environ[name] for name in kept & environ.keys()},
                    "PYTHONPATH": "target/deps",
                    "LYCHEEGLADE_CONFIG": str(path),
                },
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.is_running = True
        self._record(f"{self.name} started at {self.ip}, process {self.process.pid}")

    async def is_ready(self) -> bool:
        """Return whether `GET /ready` returns 200."""
        try:
            async with timeout(0.4):
                reader, writer = await open_connection(self.ip, READY_PORT)
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line

    async def wait_ready(self) -> None:
        """Wait until the process is ready."""
        for _ in range(int(START_S / 0.05)):
            if await self.is_ready():
                return
            await sleep(0.05)
        raise CannotRunError(f"{self.name} is not ready after {START_S} s")

    async def kill(self) -> None:
        """Kill the process."""
        self.is_running = False
        self._record(f"{self.name} is killed")
        if self.process.returncode is None:
            self.process.send_signal(SIGKILL)
        await self.process.wait()

    async def terminate(self) -> None:
        """Stop the process with SIGTERM, and SIGKILL after the grace time."""
        self.is_running = False
        self._record(f"{self.name} gets SIGTERM")
        if self.process.returncode is None:
            self.process.send_signal(SIGTERM)
        try:
            await wait_for(self.process.wait(), GRACE_S)
        except TimeoutError:
            self._record(f"{self.name} gets SIGKILL after the grace time")
            self.process.kill()
            await self.process.wait()
        self.ended_at = self._record(f"{self.name} has ended")

    async def supervise(self) -> None:
        """Restart the process whenever it ends by itself."""
        while True:
            await sleep(0.02)
            if self.is_running and self.process.returncode is not None:
                self.self_ends += 1
                self._record(
                    f"{self.name} ended by itself, exit code {self.process.returncode}"
                )
                await sleep(RESTART_S)
                await self.start()

    async def end(self) -> None:
        """End the process at the end of the case."""
        self.is_running = False
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                self.process.send_signal(SIGCONT)
                self.process.kill()
            await self.process.wait()
