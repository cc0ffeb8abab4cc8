"""Starts, signals and ends named processes, each with its log file."""

from ctypes import CDLL
from dataclasses import dataclass
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from socket import create_connection
from subprocess import STDOUT, Popen, TimeoutExpired
from sys import executable
from time import monotonic, sleep

from lycheeglade.address import Address

ROOT = Path(__file__).resolve().parent.parent
POLL_S = 0.02
STOP_TIMEOUT_S = 5.0


LIBC = CDLL(None)
PR_SET_PDEATHSIG = 1


def _kill_with_parent():
    """Make the kernel kill this process when its parent thread ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, SIGKILL)


class NotReadyError(Exception):
    """A process ended or timed out before it was ready."""


@dataclass(slots=True)
class RunningProcess:
    """One started process."""

    name: str
    arguments: tuple[str, ...]
    popen: Popen
    log: Path
    log_offset: int


class Processes:
    """Processes of one test or demonstration, each signalled by its pid.

    Parameters
    ----------
    folder : Path
        Directory of the log files, one per process name.
    """

    def __init__(self, folder: Path):
        self._folder = folder
        self._running_by_name: dict[str, RunningProcess] = {}
        folder.mkdir(parents=True, exist_ok=True)

    def start(self, name: str, module: str, *arguments: str) -> RunningProcess:
        """Start ``python -m module arguments`` under `name`."""
        log = self._folder / f"{name}.log"
        offset = log.stat().st_size if log.exists() else 0
        command = (executable, "-m", module, *map(str, arguments))
        with log.open("ab") as output:
            popen = Popen(
                command,
                cwd=ROOT,
                stdout=output,
                stderr=STDOUT,
                preexec_fn=_kill_with_parent,
            )
        running = RunningProcess(name, (module, *arguments), popen, log, offset)
        self._running_by_name[name] = running
        return running

    def restart(self, name: str) -> RunningProcess:
        """Start an ended process again with the same arguments."""
        running = self._running_by_name[name]
        if running.popen.poll() is None:
            raise ValueError(
                f"{name} is still running; only an ended process can restart"
            )
        module, *arguments = running.arguments
        return self.start(name, module, *arguments)

    def wait_ready(self, name: str, timeout: float = 10.0) -> None:
        """Wait for the line ``ready`` in the log.

        Raises
        ------
        NotReadyError
            If the process ends, or does not write the line within `timeout`
            seconds.
        """
        running = self._running_by_name[name]
        self._wait(running, timeout, lambda: "ready\n" in self.read_log(name))

    def wait_listening(self, name: str, address: Address, timeout: float = 10.0):
        """Wait until the process accepts TCP connections at `address`.

        Raises
        ------
        NotReadyError
            If the process ends, or does not listen within `timeout` seconds.
        """

        def accepts():
            try:
                create_connection(address, 0.2).close()
            except OSError:
                return False
            return True

        self._wait(self._running_by_name[name], timeout, accepts)

    def read_log(self, name: str) -> str:
        """Return the output of the current process called `name`."""
        running = self._running_by_name[name]
        with running.log.open("rb") as log:
            log.seek(running.log_offset)
            return log.read().decode(errors="replace")

    def read_whole_log(self, name: str) -> str:
        """Return the output of all processes called `name` so far."""
        return self._running_by_name[name].log.read_text(errors="replace")

    def pid(self, name: str) -> int:
        """Return the process id of `name`."""
        return self._running_by_name[name].popen.pid

    def is_running(self, name: str) -> bool:
        """Return whether `name` was started and has not ended."""
        running = self._running_by_name.get(name)
        return running is not None and running.popen.poll() is None

    def kill(self, name: str) -> None:
        """Kill a process (SIGKILL) and wait for its end."""
        popen = self._running_by_name[name].popen
        popen.send_signal(SIGKILL)
        popen.wait()

    def terminate(self, name: str) -> None:
        """Ask a process to shut down (SIGTERM)."""
        self._running_by_name[name].popen.send_signal(SIGTERM)

    def wait_end(self, name: str, timeout: float) -> int | None:
        """Return the exit status, or None if it is running after `timeout`."""
        try:
            return self._running_by_name[name].popen.wait(timeout)
        except TimeoutExpired:
            return None

    def pause(self, name: str) -> None:
        """Suspend a process (SIGSTOP)."""
        self._running_by_name[name].popen.send_signal(SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process (SIGCONT)."""
        self._running_by_name[name].popen.send_signal(SIGCONT)

    def stop_all(self) -> None:
        """Terminate all processes; kill those that do not end in time."""
        popens = [running.popen for running in self._running_by_name.values()]
        alive = [popen for popen in popens if popen.poll() is None]
        for popen in alive:
            popen.send_signal(SIGCONT)
            popen.send_signal(SIGTERM)
        stop_at = monotonic() + STOP_TIMEOUT_S
        for popen in alive:
            try:
                popen.wait(max(0.0, stop_at - monotonic()))
            except TimeoutExpired:
                popen.kill()
                popen.wait()

    def kill_all(self) -> None:
        """Kill all processes and wait for their end."""
        for running in self._running_by_name.values():
            running.popen.kill()
        for running in self._running_by_name.values():
            running.popen.wait()

    def _wait(self, running: RunningProcess, timeout: float, is_ready):
        stop_at = monotonic() + timeout
        while not is_ready():
            if running.popen.poll() is not None:
                raise NotReadyError(
                    f"{running.name} ended before it was ready, see {running.log}"
                )
            if monotonic() > stop_at:
                raise NotReadyError(
                    f"{running.name} was not ready in time, see {running.log}"
                )
            sleep(POLL_S)
