"""Parser of a CoAP message's encoded options (RFC 7252, section 3.1)."""

HEADER_BYTES = 4
MAX_TOKEN_BYTES = 8
PAYLOAD_MARKER = 0xFF
RESERVED_NIBBLE = 15
_EXTENDED_BYTES = {13: 1, 14: 2}
_EXTENDED_BASES = {13: 13, 14: 269}


def read_option(datagram: bytes, position: int) -> tuple[int, int, int] | None:
    """Read the option that begins at `position`.

    Returns
    -------
    tuple of (int, int, int) or None
        The option's delta, and the positions where its value starts and ends.
        None if the option is malformed or truncated.
    """
    first = datagram[position]
    position += 1
    fields = []
    for nibble in (first >> 4, first & 0x0F):
        size = _EXTENDED_BYTES.get(nibble, 0)
        extended = datagram[position : position + size]
        if nibble == RESERVED_NIBBLE or len(extended) < size:
            return None
        base = _EXTENDED_BASES.get(nibble, nibble)
        fields.append(base + int.from_bytes(extended, "big"))
        position += size
    delta, length = fields
    end = position + length
    return None if end > len(datagram) else (delta, position, end)
