"""Entries of another writer among those of the targets, by kind.

Each kind is one that operators of such systems report: values that are nested
very deeply, numbers that are too large, and ports out of range.
"""

from base64 import b64encode
from collections.abc import Iterator
from json import dumps

DEPTHS = (50, 900, 1_000, 2_000, 100_000)
NUMBERS = {
    "31-bits": str(2**31),
    "53-bits": str(2**53),
    "above-53-bits": str(2**53 + 1),
    "63-bits": str(2**63),
    "64-bits": str(2**64),
    "400-digits": "1" + "0" * 400,
    "5000-digits": "9" * 5_000,
    "100000-digits": "9" * 100_000,
    "largest-float": "1e308",
    "beyond-floats": "1e999",
    "exponent-of-5000-digits": "1e" + "9" * 5_000,
    "negative": "-1",
    "63-bits-negative": str(-(2**63)),
    "fraction": "2.5",
}
PORTS = {
    "0": "0",
    "negative": "-1",
    "65536": "65536",
    "70000": "70000",
    "30-digits": "1" + "0" * 30,
    "5000-digits": "9" * 5_000,
    "empty": "",
    "text": "http",
    "superscript": "\N{SUPERSCRIPT TWO}",
    "fraction": "80.5",
}
ENTRY = {
    "service": "s1",
    "address": "127.0.0.9:8165",
    "zone": "nadi-a",
    "version": "v1",
    "capacity": 1,
    "state": "ready",
    "born": 1_790_000_000_000,
    "warmup-left-ms": 0,
    "sequence": 4,
}
IDS = {
    "empty": "",
    "200-bytes": "x" * 192,
    "spaces": " a b ",
    "quotes": "\"a\"='b'",
    "slashes": "a//b/../c",
    "query": "a&after=z?#%2F+",
    "control": "a\x00\n\r\x1b[2J\x7f",
    "non-ascii": "nad\N{LATIN SMALL LETTER I WITH ACUTE}\N{GRINNING FACE}",
    "like-another": "own ",
}
KINDS = ("nested", "numbers", "ports")


def nest(depth: int) -> dict[str, str]:
    """Return values that are nested `depth` deep, by form."""
    return {
        "lists": "[" * depth + "]" * depth,
        "objects": '{"a":' * depth + "1" + "}" * depth,
        "both": '[{"a":' * (depth // 2) + "1" + "}]" * (depth // 2),
    }


def format_entry(name: str, value: str, entry: dict = ENTRY) -> str:
    """Return the JSON text of an entry with one field set to `value`."""
    fields = {key: dumps(each) for key, each in entry.items()} | {name: value}
    return "{" + ",".join(f'"{key}":{text}' for key, text in fields.items()) + "}"


def encode(text: str | bytes) -> str:
    """Return `text` as the store encodes it."""
    content = text if isinstance(text, bytes) else text.encode()
    return b64encode(content).decode()


def make_nested() -> Iterator[tuple[str, str]]:
    """Return the names and the JSON texts of nested entries."""
    for depth in DEPTHS:
        for form, tree in nest(depth).items():
            yield f"{form}-{depth}", tree
            for field in (*ENTRY, "tags"):
                yield f"{form}-{depth}-in-{field}", format_entry(field, tree)


def make_numbers() -> Iterator[tuple[str, str]]:
    """Return the names and the JSON texts of entries with odd numbers."""
    for name, number in NUMBERS.items():
        yield name, number
        for field in (*ENTRY, "weight"):
            yield f"{name}-in-{field}", format_entry(field, number)


def make_ports() -> Iterator[tuple[str, str]]:
    """Return the names and the JSON texts of entries with odd ports."""
    for name, port in PORTS.items():
        for ip in ("127.0.0.9", "[::1]", ""):
            address = dumps(f"{ip}:{port}")
            yield f"{name}-of-{ip}", format_entry("address", address)
    yield "no-port", format_entry("address", dumps("127.0.0.9"))
    yield "number", format_entry("address", "8165")


TEXTS_BY_KIND = {
    "nested": dict(make_nested()),
    "numbers": dict(make_numbers()),
    "ports": dict(make_ports()),
}
