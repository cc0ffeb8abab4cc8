"""Network addresses and availability zones."""

from dataclasses import dataclass
from functools import lru_cache
from ipaddress import ip_address
from sys import intern
from typing import Annotated, NamedTuple

from msgspec import Meta

MAX_PORT = 65535
# Size of each cache through which equal numbers share one object.
MAX_INTERNED = 1024

intern_int = lru_cache(MAX_INTERNED)(int)


class Address(NamedTuple):
    """IP address and port, usable as a socket address."""

    ip: str
    port: Annotated[int, Meta(ge=0, le=MAX_PORT)]

    def __str__(self):
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse_address(text: str) -> Address:
    """Parse ``IP:PORT`` or ``[IP]:PORT``.

    Raises
    ------
    ValueError
        If `text` is not an IP address and a port from 1 to 65535.
    """
    ip, separator, port = text.strip().rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        raise ValueError(f"{text!r} is not IP:PORT")
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"port {port} is not in 1..{MAX_PORT}")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    return Address(intern(str(ip_address(ip))), intern_int(port))


@dataclass(frozen=True, slots=True, order=True)
class Zone:
    """Availability zone within a region."""

    region: str
    name: str

    def __str__(self):
        return f"{self.region}/{self.name}"


def parse_zone(text: str) -> Zone:
    """Parse ``REGION/ZONE``.

    Raises
    ------
    ValueError
        If `text` does not have exactly two non-empty parts.
    """
    region, separator, name = text.strip().partition("/")
    if not separator or not region or not name or "/" in name:
        raise ValueError(f"{text!r} is not REGION/ZONE")
    return Zone(region, name)
