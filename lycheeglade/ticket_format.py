"""Format of tickets: registry id, counter, checksum and MAC.

The MAC of a ticket from another registry can't be verified here. The checksum
distinguishes such a ticket from bytes that were never a ticket.
"""

from hashlib import blake2b

from xxhash import xxh32_digest

TICKET_FORMAT = 1
REGISTRY_ID_BYTES = 8
COUNTER_BYTES = 8
CHECKSUM_BYTES = 4
MAC_BYTES = 16
TICKET_BYTES = 1 + REGISTRY_ID_BYTES + COUNTER_BYTES + CHECKSUM_BYTES + MAC_BYTES

_NAME_END = 1 + REGISTRY_ID_BYTES + COUNTER_BYTES
_MAC_START = _NAME_END + CHECKSUM_BYTES


def make_registry_id(issuer: str, incarnation: int) -> bytes:
    """Return the id of the registry of one incarnation of `issuer`.

    Parameters
    ----------
    incarnation : int
        Random number from 0 to ``2 ** 64 - 1``.
    """
    salt = incarnation.to_bytes(8, "big")
    return blake2b(issuer.encode(), digest_size=REGISTRY_ID_BYTES, salt=salt).digest()


def make_ticket(key: bytes, registry_id: bytes, counter: int) -> bytes:
    """Return the ticket number `counter` of a registry."""
    name = registry_id + counter.to_bytes(COUNTER_BYTES, "big")
    mac = blake2b(name, key=key, digest_size=MAC_BYTES).digest()
    return bytes([TICKET_FORMAT]) + name + xxh32_digest(name) + mac


def is_well_formed(ticket: bytes) -> bool:
    """Return whether `ticket` has the format and checksum of a ticket."""
    if len(ticket) != TICKET_BYTES or ticket[0] != TICKET_FORMAT:
        return False
    return ticket[_NAME_END:_MAC_START] == xxh32_digest(ticket_name(ticket))


def ticket_name(ticket: bytes) -> bytes:
    """Return the part of `ticket` that identifies it, without the checksum."""
    return ticket[1:_NAME_END]


def counter_of(name: bytes) -> int:
    """Return the counter from a ticket's name."""
    return int.from_bytes(name[REGISTRY_ID_BYTES:], "big")
