"""Packets of callers and targets in the wire format of the platform."""

import sys
from pathlib import Path

from lycheeglade.segment import SEQUENCE_SPACE, ConnectionKey

# The directory of the platform's adapter is not a package, see
# `platform/main.py`.
sys.path.append(str(Path(__file__).parent.parent / "platform"))

from wire import (
    ACK,
    BOUNCED,
    FIN,
    HEADER,
    RST,
    SYN,
    decode_segment,
    encode_reset,
    tag_segment,
)

__all__ = [
    "ACK",
    "FIN",
    "RST",
    "SYN",
    "decode_segment",
    "mark_returned",
    "pack_segment",
    "strip_marks",
]


def pack_segment(
    flags: int,
    key: ConnectionKey,
    sequence: int,
    acknowledgement: int = 0,
    content: bytes = b"",
    from_target: bool = False,
) -> bytes:
    """Return a packet from the caller or the target of a connection."""
    fields = list(HEADER.unpack(encode_reset(key, sequence % SEQUENCE_SPACE)))
    if not from_target:
        fields[4], fields[7] = fields[7], fields[4]
        fields[5], fields[6] = fields[6], fields[5]
    fields[0], fields[2] = flags, acknowledgement % SEQUENCE_SPACE
    fields[8] = len(content)
    return HEADER.pack(*fields) + content


def mark_returned(datagram: bytes) -> bytes:
    """Return a packet of a caller as its target returns it to the agent."""
    return bytes([datagram[0] | BOUNCED]) + datagram[1:]


def strip_marks(datagram: bytes) -> bytes:
    """Return a packet without the marks that may change on its path."""
    return tag_segment(bytes([datagram[0] & ~BOUNCED]) + datagram[1:], 0)
