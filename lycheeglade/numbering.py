"""Proposes free IPs for new hosts and services."""

from collections.abc import Collection
from ipaddress import ip_network

from lycheeglade.errors import LycheegladeError


class NetworkFullError(LycheegladeError):
    """A network has no free address left."""


def choose_free_ip(network: str, used: Collection[str]) -> str:
    """Return the lowest host address of `network` that isn't in `used`.

    Raises
    ------
    NetworkFullError
        If there is none.
    """
    for ip in ip_network(network).hosts():
        if str(ip) not in used:
            return str(ip)
    raise NetworkFullError(f"network {network} has no free address")
