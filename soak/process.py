"""Run a balancer or agent whose datagrams pass through the soak's proxy.

Usage: ``python -m soak.process ROLE``. Each datagram is prefixed with the
address of its original source or final destination, since the proxy can't send
from an address to which a process is bound.
"""

import sys
from os import environ
from pathlib import Path
from runpy import run_path
from socket import inet_aton, inet_ntoa
from struct import Struct

from lycheeglade import transport
from lycheeglade.address import Address, parse_address

PROXY_VARIABLE = "SOAK_PROXY"
MAIN = Path(__file__).parent.parent / "platform" / "main.py"
ADDRESS_PREFIX = Struct("!4sH")


def wrap_datagram(address: Address, datagram: bytes) -> bytes:
    """Prefix a datagram with the address of its source or destination."""
    return ADDRESS_PREFIX.pack(inet_aton(address[0]), address[1]) + datagram


def unwrap_datagram(datagram: bytes) -> tuple[Address, bytes]:
    """Return the address in the prefix of a datagram and its content."""
    ip, port = ADDRESS_PREFIX.unpack_from(datagram)
    return Address(inet_ntoa(ip), port), datagram[ADDRESS_PREFIX.size :]


def make_proxied_socket(proxy: Address) -> type:
    """Return a socket class that sends and receives through `proxy`."""

    class ProxiedSocket(transport.DatagramSocket):
        __slots__ = ()

        def __init__(self, loop, on_datagram, **options):
            def unwrap(datagram, source):
                address, content = unwrap_datagram(datagram)
                on_datagram(content, address)

            super().__init__(loop, unwrap, **options)

        def send(self, datagram, address=None):
            super().send(wrap_datagram(address, datagram), proxy)

    return ProxiedSocket


if __name__ == "__main__":
    transport.DatagramSocket = make_proxied_socket(
        parse_address(environ[PROXY_VARIABLE])
    )
    sys.path.insert(0, str(MAIN.parent))
    sys.argv = [str(MAIN), *sys.argv[1:]]
    run_path(str(MAIN), run_name="__main__")
