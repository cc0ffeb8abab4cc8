"""Control messages between peers, on top of ``pynng``.

Each message is one tagged MessagePack array behind two bytes: the version of
the format, and whether the rest is compressed by zlib (RFC 1950).
"""

from zlib import compress, decompressobj, error

from msgspec import DecodeError, Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.errors import PacketError

MESSAGE_VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
COMPRESSED_FROM_BYTES = 512
COMPRESSION_LEVEL = 1


class PublishedValue(Struct, frozen=True, array_like=True):
    """One revision of a published value; no text if it was deleted."""

    name: str
    revision: int
    text: str | None


class ValueDifference(Struct, frozen=True, array_like=True):
    """How one revision of a published text becomes a later one.

    Attributes
    ----------
    base : int
        Revision that the first splice is applied to.
    splices : tuple of (int, int, str)
        Characters that are kept at the start and at the end of the text, and
        what stands between them.
    text_hash : int
        Hash of the text after all splices.
    """

    name: str
    revision: int
    base: int
    splices: tuple[tuple[int, int, str], ...]
    text_hash: int


class Exchange(Struct, frozen=True, array_like=True, tag="E"):
    """Tells what the sender knows and asks for what it lacks.

    `sender_ip` and `sender_port` are the sender's control address. Values are
    sent whole to who doesn't say that it takes differences.
    """

    revision: int
    digest: int
    sender_ip: str
    sender_port: int
    takes_differences: bool = False


class Compare(Struct, frozen=True, array_like=True, tag="C"):
    """Asks for the values in the buckets whose digests differ."""

    digests: tuple[int, ...]


class Reply(Struct, frozen=True, array_like=True, tag="R"):
    """Answers an exchange or a comparison.

    Attributes
    ----------
    revision, digest : int
        What the answering peer knows.
    fresh : bool
        Whether the peer itself has lately asked others.
    age : float
        Seconds since what the peer knows was confirmed by the platform.
    up_to : int
        Revision up to which `values` complete the asking process.
    refused : tuple of (str, int)
        Names and revisions of values that were refused.
    differences : tuple of ValueDifference
        Values beside the whole ones of `values`.
    """

    revision: int
    digest: int
    fresh: bool
    age: float
    up_to: int
    values: tuple[PublishedValue, ...]
    refused: tuple[tuple[str, int], ...] = ()
    differences: tuple[ValueDifference, ...] = ()


Message = Exchange | Compare | Reply

_encoder = Encoder()
_decoder = Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the bytes for `message`."""
    body = _encoder.encode(message)
    if len(body) < COMPRESSED_FROM_BYTES:
        return bytes((MESSAGE_VERSION, 0)) + body
    return bytes((MESSAGE_VERSION, 1)) + compress(body, COMPRESSION_LEVEL)


def decode_message(data: bytes) -> Message:
    """Return the message in `data`.

    Raises
    ------
    PacketError
        If the version is another one, the message too large or malformed.
    """
    if len(data) < 2:
        raise PacketError("truncated")
    if data[0] != MESSAGE_VERSION:
        raise PacketError("version")
    try:
        return _decoder.decode(_decompress(data[2:]) if data[1] else data[2:])
    except (DecodeError, RecursionError, error) as cause:
        raise PacketError("encoding") from cause


def _decompress(data: bytes) -> bytes:
    decompressor = decompressobj()
    body = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise PacketError("size")
    return body
