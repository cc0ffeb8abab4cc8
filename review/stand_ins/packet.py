"""Packets of clients and targets, as PROTOCOL.md lays them out."""

from dataclasses import dataclass
from hashlib import blake2s
from os import urandom
from socket import inet_aton, inet_ntoa
from struct import Struct

HEADER = Struct("<B3sIIIHIIHHI")
ACK, BOUNCED, FIN, SYN, RST = 1, 2, 8, 32, 64
SPACE = 1 << 32
# Known to clients and targets only.
KEY = urandom(16)

End = tuple[str, int]


@dataclass(frozen=True)
class Packet:
    """A decoded packet.

    Attributes
    ----------
    source, destination : tuple of str and int
        The ends of the flow.
    is_genuine : bool
        Whether a client or a target wrote the packet so.
    """

    flags: int
    seq: int
    ack: int
    source: End
    destination: End
    data: bytes
    raw: bytes
    is_genuine: bool

    @property
    def end(self) -> int:
        """Sequence number after the data."""
        return (self.seq + len(self.data)) % SPACE


def _number(ip: str) -> int:
    return int.from_bytes(inet_aton(ip), "big")


def _text(number: int) -> str:
    return inet_ntoa(number.to_bytes(4, "big"))


def _sum(flags: int, fields: tuple, data: bytes) -> int:
    """Return the keyed sum over all fields except echo, pad and BOUNCED."""
    text = repr((flags & ~BOUNCED, *fields)).encode() + data
    digest = blake2s(text, key=KEY, digest_size=4).digest()
    return int.from_bytes(digest, "little")


def encode(
    flags: int, source: End, destination: End, seq: int, ack: int, data: bytes = b""
) -> bytes:
    """Return a packet from `source` to `destination`."""
    seq, ack = seq % SPACE, ack % SPACE
    fields = (seq, ack, source, destination, len(data))
    return (
        HEADER.pack(
            flags,
            b"\0\0\0",
            seq,
            ack,
            _sum(flags, fields, data),
            destination[1],
            _number(source[0]),
            _number(destination[0]),
            source[1],
            len(data),
            0,
        )
        + data
    )


def decode(raw: bytes) -> Packet:
    """Decode a packet."""
    flags, _, seq, ack, total, dport, src, dst, sport, length, _ = HEADER.unpack_from(
        raw
    )
    source, destination = (_text(src), sport), (_text(dst), dport)
    data = raw[HEADER.size :]
    fields = (seq, ack, source, destination, length)
    is_genuine = len(data) == length and total == _sum(flags, fields, data)
    return Packet(flags, seq, ack, source, destination, data, raw, is_genuine)


def bounce(raw: bytes) -> bytes:
    """Return a packet as a target returns it: BOUNCED, pad 0, echo kept."""
    return bytes([raw[0] | BOUNCED, 0, 0, 0]) + raw[4:]


def distance(start: int, end: int) -> int:
    """Return the signed distance from `start` to `end`."""
    ahead = (end - start) % SPACE
    return ahead - SPACE if ahead >= SPACE // 2 else ahead
