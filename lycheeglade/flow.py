"""Keys and hashes of flows."""

from typing import NamedTuple

from xxhash import xxh3_64_intdigest


class FlowKey(NamedTuple):
    """Key of a flow: the service and the caller's address."""

    service: str
    caller_ip: str
    caller_port: int

    def __str__(self):
        return f"{self.service}<{self.caller_ip}:{self.caller_port}"


def hash_flow(flow: FlowKey) -> int:
    """Return a 64-bit hash of `flow` that is the same in every process."""
    return xxh3_64_intdigest(
        f"{flow.service}\0{flow.caller_ip}\0{flow.caller_port}".encode()
    )
