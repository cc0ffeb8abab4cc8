"""Selection of free IPs for new hosts and services."""

from collections.abc import Collection, Iterator
from ipaddress import ip_network
from itertools import islice

from lycheeglade.errors import LycheegladeError


class NetworkFullError(LycheegladeError):
    """A network has no free address left."""


def choose_free_ip(network: str, used: Collection[str]) -> str:
    """Return the lowest host address of `network` that isn't in `used`.

    Raises
    ------
    NetworkFullError
        If all host addresses of `network` are in `used`.
    """
    for ip in _find_free_ips(network, used):
        return ip
    raise NetworkFullError(f"network {network} has no free address")


def count_free_ips(network: str, used: Collection[str], limit: int) -> int:
    """Return the number of free addresses in `network`, at most `limit`."""
    return sum(1 for _ip in islice(_find_free_ips(network, used), limit))


def _find_free_ips(network: str, used: Collection[str]) -> Iterator[str]:
    for ip in ip_network(network).hosts():
        if str(ip) not in used:
            yield str(ip)
