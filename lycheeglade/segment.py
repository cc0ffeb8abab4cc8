"""Packets of connections whose bytes the system carries and never reads.

A segment is what a connection-oriented protocol shows of itself on the way:
who speaks to whom, and whether a connection opens, goes on or ends. The
datagram that it was read from travels along unchanged.
"""

from dataclasses import dataclass
from typing import NamedTuple

from lycheeglade.address import Address

SEQUENCE_SPACE = 1 << 32


class ConnectionKey(NamedTuple):
    """Both ends of a connection as the caller names them."""

    caller: Address
    service: Address

    def __str__(self):
        return f"{self.caller}>{self.service}"


@dataclass(frozen=True, slots=True)
class Segment:
    """One packet of a connection.

    Attributes
    ----------
    source, destination : Address
        The ends of the connection, not the hosts that pass the packet on.
    opens, acknowledges, finishes, resets : bool
        What the packet says of its connection.
    returned : bool
        A target gave the packet back, since it holds no such connection or
        takes none.
    sequence, acknowledgement : int
        Positions in the two byte streams, modulo 2**32. In an opening
        segment the acknowledgement counts the copies sent before.
    data_bytes : int
        Length of the data.
    tag : int
        32 bits that the target leaves alone when it returns a packet.
    datagram : bytes
        The packet as it was received.
    """

    source: Address
    destination: Address
    opens: bool = False
    acknowledges: bool = False
    finishes: bool = False
    resets: bool = False
    returned: bool = False
    sequence: int = 0
    acknowledgement: int = 0
    data_bytes: int = 0
    tag: int = 0
    datagram: bytes = b""

    @property
    def key_from_caller(self) -> ConnectionKey:
        """Key of the connection if a caller sent the packet."""
        return ConnectionKey(self.source, self.destination)

    @property
    def key_from_target(self) -> ConnectionKey:
        """Key of the connection if a target sent the packet."""
        return ConnectionKey(self.destination, self.source)

    @property
    def end(self) -> int:
        """Position after the data."""
        return (self.sequence + self.data_bytes) % SEQUENCE_SPACE


def sequence_distance(start: int, end: int) -> int:
    """Return how far `end` lies after `start`, modulo 2**32.

    Positions before `start` give a negative distance.
    """
    ahead = (end - start) % SEQUENCE_SPACE
    return ahead - SEQUENCE_SPACE if ahead >= SEQUENCE_SPACE // 2 else ahead
