"""Control messages that peers exchange over ``pynng``.

A message is a header of two bytes and a tagged MessagePack array. The header
holds the format version and a flag for zlib compression (RFC 1950).
"""

from zlib import compress, decompressobj, error

from msgspec import Struct
from msgspec.msgpack import Decoder, Encoder

from lycheeglade.errors import DECODE_ERRORS, PacketError

MESSAGE_VERSION = 1
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
COMPRESSED_FROM_BYTES = 512
COMPRESSION_LEVEL = 1


class PublishedValue(Struct, frozen=True, array_like=True):
    """One revision of a published value; `text` is None for a deletion."""

    name: str
    revision: int
    text: str | None


class ValueDifference(Struct, frozen=True, array_like=True):
    """Splices that turn one revision of a published text into a later one.

    Attributes
    ----------
    base : int
        Revision that the first splice is applied to.
    splices : tuple of (int, int, str)
        Number of characters that are kept at the start and at the end of the
        text, and the new text between them.
    text_hash : int
        Hash of the text after all splices.
    """

    name: str
    revision: int
    base: int
    splices: tuple[tuple[int, int, str], ...]
    text_hash: int


class Exchange(Struct, frozen=True, array_like=True, tag="E"):
    """Announces the sender's revision and requests newer changes.

    `sender_ip` and `sender_port` are the sender's control address. Without
    `takes_differences` the reply contains all values as whole texts.
    """

    revision: int
    digest: int
    sender_ip: str
    sender_port: int
    takes_differences: bool = False


class Compare(Struct, frozen=True, array_like=True, tag="C"):
    """Requests the values in the buckets whose digests differ."""

    digests: tuple[int, ...]


class Reply(Struct, frozen=True, array_like=True, tag="R"):
    """Answers an exchange or a comparison.

    Attributes
    ----------
    revision, digest : int
        Revision and digest of the answering peer's snapshot.
    fresh : bool
        Whether the answering peer's view is fresh, see
        `lycheeglade.watch.is_view_fresh`.
    age : float
        Seconds since the platform confirmed the answering peer's snapshot.
    up_to : int
        Revision up to which the requesting process is complete once it has
        applied the reply.
    refused : tuple of (str, int)
        Names and revisions of the values that the peer has refused as
        invalid.
    differences : tuple of ValueDifference
        Further values, sent as differences instead of whole texts.
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
    """Return the encoded `message`."""
    body = _encoder.encode(message)
    if len(body) < COMPRESSED_FROM_BYTES:
        return bytes((MESSAGE_VERSION, 0)) + body
    return bytes((MESSAGE_VERSION, 1)) + compress(body, COMPRESSION_LEVEL)


def decode_message(data: bytes) -> Message:
    """Return the message that `data` encodes.

    Raises
    ------
    PacketError
        If the version isn't `MESSAGE_VERSION`, or the message is too large or
        malformed.
    """
    if len(data) < 2:
        raise PacketError("truncated")
    if data[0] != MESSAGE_VERSION:
        raise PacketError("version")
    try:
        return _decoder.decode(_decompress(data[2:]) if data[1] else data[2:])
    except (*DECODE_ERRORS, error) as cause:
        raise PacketError("encoding") from cause


def _decompress(data: bytes) -> bytes:
    decompressor = decompressobj()
    body = decompressor.decompress(data, MAX_MESSAGE_BYTES)
    if decompressor.unconsumed_tail or not decompressor.eof:
        raise PacketError("size")
    return body
