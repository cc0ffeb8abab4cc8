"""Measures the start of a process that carries connections.

Usage: ``python -m bench.start``. Each role is started as on the users'
platform, with a simulated store on loopback. CPU time, elapsed time and peak
memory are read when its ready address first answers 200.
"""

import sys
from asyncio import create_subprocess_exec, run, sleep
from asyncio import timeout as time_limit
from asyncio.subprocess import DEVNULL
from dataclasses import dataclass
from os import sysconf
from pathlib import Path
from statistics import median
from tempfile import TemporaryDirectory
from time import monotonic

from lycheeglade.address import Address
from tests.platform_process import PATH_VARIABLE, format_settings, is_ready
from tests.store_stand_in import StoreStandIn

ROOT = Path(__file__).parent.parent
STARTS_PER_ROLE = 5
START_LIMIT_S = 20.0
POLL_S = 0.002
STORE_IP = "127.9.2.1"
IP_BY_ROLE = {"balancer": "127.9.2.2", "agent": "127.9.2.3"}
# Fields of /proc/PID/stat (proc(5)): user and system time in clock ticks.
USER_TICKS, SYSTEM_TICKS = 13, 14
KB_PER_MB = 1024
ROUTE = {"host": "198.18.0.1", "prefix": "/443/", "type": "safe", "service": "s1"}


@dataclass(frozen=True, slots=True)
class StartCost:
    """Cost of one start, up to the time at which the process is ready."""

    processor_s: float
    elapsed_s: float
    peak_mb: float


def _read_usage(pid: int, elapsed_s: float) -> StartCost:
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    # `stat` lacks the first two fields, the PID and the name in brackets.
    ticks = int(stat[USER_TICKS - 2]) + int(stat[SYSTEM_TICKS - 2])
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kb = int(status.partition("VmHWM:")[2].split()[0])
    return StartCost(ticks / sysconf("SC_CLK_TCK"), elapsed_s, peak_kb / KB_PER_MB)


async def _measure(role: str, folder: Path, store: Address) -> StartCost:
    path = folder / role
    path.write_text(format_settings(role, role, IP_BY_ROLE[role], store, "s1"))
    started_at = monotonic()
    process = await create_subprocess_exec(
        sys.executable,
        "-S",
        str(ROOT / "platform" / "main.py"),
        role,
        stderr=DEVNULL,
        env={
            PATH_VARIABLE: str(path),
            "PYTHONPATH": ":".join(entry for entry in sys.path if "site-pack" in entry),
        },
    )
    try:
        async with time_limit(START_LIMIT_S):
            while not await is_ready(IP_BY_ROLE[role]):
                await sleep(POLL_S)
        return _read_usage(process.pid, monotonic() - started_at)
    finally:
        process.kill()
        await process.wait()


async def measure_all() -> dict[str, list[StartCost]]:
    """Return the costs of `STARTS_PER_ROLE` starts of each role."""
    store = StoreStandIn()
    address = Address(*await store.start(STORE_IP))
    store.put("op/config", {"version": 1, "routes": [ROUTE]})
    starts_by_role = {}
    with TemporaryDirectory() as folder:
        for role in IP_BY_ROLE:
            starts_by_role[role] = [
                await _measure(role, Path(folder), address)
                for _ in range(STARTS_PER_ROLE)
            ]
    store.stop()
    return starts_by_role


def main() -> None:
    """Print the median times and the peak memory of each role."""
    for role, starts in run(measure_all()).items():
        processor_s = median(start.processor_s for start in starts)
        elapsed_s = median(start.elapsed_s for start in starts)
        peak_mb = max(start.peak_mb for start in starts)
        print(
            f"{role}: {processor_s:.2f} s of CPU time, {elapsed_s:.2f} s elapsed, "
            f"{peak_mb:.0f} MB peak"
        )


if __name__ == "__main__":
    main()
