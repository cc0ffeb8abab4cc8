"""Packets of PROTOCOL.md, written and read by clients and targets."""

from hmac import new
from socket import inet_aton, inet_ntoa
from struct import Struct
from typing import NamedTuple

SYN, ACK, FIN, RST, BOUNCED = 32, 1, 8, 64, 2
# flags, pad, seq, ack, sum, dport, src, dst, sport, len, echo
HEADER = Struct("<B3sIIIHIIHHI")
ECHO_OFFSET = HEADER.size - 4
SPACE = 1 << 32
KEY = b"known to clients and targets only"


class Packet(NamedTuple):
    """Fields of a packet; `is_whole` tells whether its sum is right."""

    flags: int
    seq: int
    ack: int
    src: tuple[str, int]
    dst: tuple[str, int]
    data: bytes
    echo: int
    is_whole: bool
    sum: int


def _number(ip: str) -> int:
    return int.from_bytes(inet_aton(ip), "big")


def _text(number: int) -> str:
    return inet_ntoa(number.to_bytes(4, "big"))


def _sum(flags, seq, ack, src, dst, data) -> int:
    fields = (flags & ~BOUNCED, seq, ack, src, dst)
    digest = new(KEY, repr(fields).encode() + data, "sha256").digest()
    return int.from_bytes(digest[:4], "little") or 1


def pack(flags, seq, ack, src, dst, data=b"") -> bytes:
    """Return a packet with the sum of its sender."""
    total = _sum(flags, seq, ack, src, dst, data)
    ends = (dst[1], _number(src[0]), _number(dst[0]), src[1])
    head = HEADER.pack(flags, b"\0\0\0", seq, ack, total, *ends, len(data), 0)
    return head + data


def unpack(datagram: bytes) -> Packet:
    """Read a packet."""
    flags, _, seq, ack, total, dport, src, dst, sport, size, echo = HEADER.unpack_from(
        datagram
    )
    data = datagram[HEADER.size :]
    ends = (_text(src), sport), (_text(dst), dport)
    is_whole = len(data) == size and total == _sum(flags, seq, ack, *ends, data)
    return Packet(flags, seq, ack, *ends, data, echo, is_whole, total)


def bounce(datagram: bytes) -> bytes:
    """Return a packet as a target returns it."""
    return bytes([datagram[0] | BOUNCED]) + b"\0\0\0" + datagram[4:]


def distance(start: int, end: int) -> int:
    """Return how far `end` is after `start`, modulo 2**32."""
    ahead = (end - start) % SPACE
    return ahead - SPACE if ahead >= SPACE // 2 else ahead
