"""Settings files and readiness checks of the platform, on loopback."""

from asyncio import open_connection
from contextlib import suppress
from pathlib import Path
from signal import SIG_IGN, SIGHUP, getsignal, signal

from lycheeglade.address import Address

DATAGRAM_PORT, READY_PORT, OUTBOUND_PORT, APP_PORT = 8172, 8167, 8162, 8165
INTERNAL_PORT = 7720
PATH_VARIABLE = "LYCHEEGLADE_CONFIG"
REGION = "viti-west"
ZONES = ("nadi-a", "nadi-b")


def restore_hangup_of_children() -> None:
    """Let processes that are started have the default action of SIGHUP.

    They inherit an ignored signal, such as that of ``nohup``, and would then
    outlive each SIGHUP whatever they do. A handler is not inherited.
    """
    if getsignal(SIGHUP) is SIG_IGN:
        signal(SIGHUP, lambda number, frame: None)


def read_peak_kb(pid: int) -> int:
    """Return the peak resident memory in KiB, 0 if the process has ended."""
    with suppress(OSError):
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1])
    return 0


def format_settings(
    name: str,
    role: str,
    ip: str,
    store: Address,
    service: str,
    zone: str = ZONES[0],
    seeds: tuple[str, ...] = (),
) -> str:
    """Return the settings file of a process at `ip`; `seeds` are IPs."""
    lines = {
        "node-name": name,
        "role": role,
        "ip": ip,
        "zone": zone,
        "region": REGION,
        **{f"zones.{each}": REGION for each in ZONES},
        "listen.datagram-addr": f"{ip}:{DATAGRAM_PORT}",
        "listen.outbound": f"{ip}:{OUTBOUND_PORT}",
        "listen.ready-addr": f"{ip}:{READY_PORT}",
        "internal-port-range": f"{INTERNAL_PORT},{INTERNAL_PORT + 15}",
        "seeds": ",".join(f"{seed}:{INTERNAL_PORT}" for seed in seeds),
        "platform.address": f"{store.ip}:{store.port}",
        "app": f"{ip}:{APP_PORT}",
        "service": service,
    }
    return "".join(f"{key}={value}\n" for key, value in lines.items())


async def fetch(ip: str, port: int, path: str) -> bytes:
    """Return a whole HTTP response, or nothing if the connection fails."""
    try:
        reader, writer = await open_connection(ip, port)
    except OSError:
        return b""
    head = f"GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    try:
        writer.write(head.encode())
        return await reader.read()
    finally:
        writer.close()


async def is_ready(ip: str) -> bool:
    """Return whether the process at `ip` reports that it is ready."""
    return b" 200 " in await fetch(ip, READY_PORT, "/ready")
