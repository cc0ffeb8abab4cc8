"""Datagrams of processes that pass through the soak's proxy.

Each datagram is prefixed with the address of its original source or final
destination, since the proxy can't send from an address to which a process is
bound.
"""

from socket import inet_aton, inet_ntoa
from struct import Struct

from lycheeglade.address import Address

ADDRESS_PREFIX = Struct("!4sH")


def wrap_datagram(address: Address, datagram: bytes) -> bytes:
    """Prefix a datagram with the address of its source or destination."""
    return ADDRESS_PREFIX.pack(inet_aton(address[0]), address[1]) + datagram


def unwrap_datagram(datagram: bytes) -> tuple[Address, bytes]:
    """Return the address in the prefix of a datagram and its content."""
    ip, port = ADDRESS_PREFIX.unpack_from(datagram)
    return Address(inet_ntoa(ip), port), datagram[ADDRESS_PREFIX.size :]


def make_proxied_socket(base: type, proxy: Address) -> type:
    """Return a subclass of `base` that sends and receives through `proxy`."""

    class ProxiedSocket(base):
        __slots__ = ()

        def __init__(self, loop, on_datagram, **options):
            def unwrap(datagram, source):
                address, content = unwrap_datagram(datagram)
                on_datagram(content, address)

            super().__init__(loop, unwrap, **options)

        def send(self, datagram, address=None):
            super().send(wrap_datagram(address, datagram), proxy)

    return ProxiedSocket
