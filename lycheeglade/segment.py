"""Packets of connections whose payload is forwarded and never parsed.

A segment holds the header fields of a connection-oriented protocol: the two
ends, and whether a connection opens, continues or ends. It keeps the datagram
that it was decoded from, which is forwarded unchanged.
"""

from dataclasses import dataclass
from typing import NamedTuple

from lycheeglade.address import Address

SEQUENCE_SPACE = 1 << 32


class ConnectionKey(NamedTuple):
    """The addresses of both ends of a connection, as its caller sees them."""

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
        The ends of the connection, not the hosts that forward the packet.
    opens, acknowledges, finishes, resets : bool
        Flags of the packet (SYN, ACK, FIN, RST).
    returned : bool
        Whether a target returned the packet because it does not hold the
        connection or does not accept a new one.
    sequence, acknowledgement : int
        Positions in the two byte streams, modulo 2**32. In an opening
        segment the acknowledgement is the number of copies sent before.
    data_bytes : int
        Length of the data.
    tag : int
        32 bits that the target keeps when it returns a packet.
    datagram : bytes
        The packet as received.
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
        """Key of the connection, for a packet sent by a caller."""
        return ConnectionKey(self.source, self.destination)

    @property
    def key_from_target(self) -> ConnectionKey:
        """Key of the connection, for a packet sent by a target."""
        return ConnectionKey(self.destination, self.source)

    @property
    def end(self) -> int:
        """Sequence number after the data."""
        return (self.sequence + self.data_bytes) % SEQUENCE_SPACE


def sequence_distance(start: int, end: int) -> int:
    """Return the distance from `start` to `end` modulo 2**32.

    It is negative if `end` precedes `start`.
    """
    ahead = (end - start) % SEQUENCE_SPACE
    return ahead - SEQUENCE_SPACE if ahead >= SEQUENCE_SPACE // 2 else ahead
