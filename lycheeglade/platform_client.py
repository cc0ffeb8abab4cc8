"""HTTP client of the platform's configuration service."""

from dataclasses import dataclass
from typing import Annotated

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from msgspec import Meta, Struct
from msgspec.json import Decoder

from lycheeglade.errors import DECODE_ERRORS, LycheegladeError
from lycheeglade.value import Value

MAX_VALUE_BYTES = 1024 * 1024
MAX_INDEX_BYTES = 16 * 1024 * 1024
READ_TIMEOUT_S = 3.0
CHUNK_BYTES = 65_536
REVISION_HEADER = "Revision"
# Larger revisions don't fit into the messages between processes.
MAX_REVISION = 2**63 - 1
MAX_REVISION_DIGITS = len(str(MAX_REVISION))
Revision = Annotated[int, Meta(ge=0, le=MAX_REVISION)]


class PlatformError(LycheegladeError):
    """The platform can't be reached or its response is invalid."""


class IndexEntry(Struct, frozen=True):
    """Latest change of one value."""

    name: str
    revision: Revision
    deleted: bool = False


class Index(Struct, frozen=True):
    """Latest change of each value that changed after a revision.

    Attributes
    ----------
    revision : int
        Number of the platform's latest change.
    """

    revision: Revision
    changes: tuple[IndexEntry, ...]


@dataclass(frozen=True, slots=True)
class PlatformClient:
    """Reads the platform at one URL through one HTTP session."""

    url: str
    session: ClientSession

    async def read_index(self, after: int, wait: float) -> Index:
        """Return the index of the changes after a revision.

        Parameters
        ----------
        after : int
            Revision after which changes are listed.
        wait : float
            Seconds that the platform may delay its response while there is no
            change.

        Raises
        ------
        PlatformError
            If no valid response arrives in time.
        """
        params = {"after": str(after), "wait": f"{wait:g}"}
        body, _ = await self._get("/v1/index", params, MAX_INDEX_BYTES, wait)
        try:
            return _index_decoder.decode(body)
        except DECODE_ERRORS as error:
            raise PlatformError(f"platform index is malformed: {error}") from error

    async def read_value(self, name: str) -> Value:
        """Return the current revision of a value.

        Raises
        ------
        PlatformError
            If the value doesn't exist or no valid response arrives in time.
        """
        body, revision = await self._get(f"/v1/values/{name}", {}, MAX_VALUE_BYTES, 0.0)
        try:
            return Value(name, _parse_revision(name, revision), body.decode())
        except UnicodeDecodeError as error:
            raise PlatformError(f"{name}: value is not valid UTF-8") from error

    async def _get(
        self, path: str, params: dict[str, str], max_bytes: int, wait: float
    ) -> tuple[bytes, str]:
        timeout = ClientTimeout(total=wait + READ_TIMEOUT_S)
        url = self.url + path
        try:
            async with self.session.get(
                url, params=params, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise PlatformError(f"{path}: HTTP status {response.status}")
                body = await _read_body(response, path, max_bytes)
                return body, response.headers.get(REVISION_HEADER, "")
        except (ClientError, OSError, TimeoutError) as error:
            raise PlatformError(f"{path}: request failed: {error!r}") from error


def _parse_revision(name: str, text: str) -> int:
    is_number = text.isascii() and text.isdigit()
    if not is_number or len(text) > MAX_REVISION_DIGITS or int(text) > MAX_REVISION:
        raise PlatformError(
            f"{name}: revision {text!r} is not a number up to {MAX_REVISION}"
        )
    return int(text)


async def _read_body(response: ClientResponse, path: str, max_bytes: int) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        body += chunk
        if len(body) > max_bytes:
            raise PlatformError(f"{path}: response is larger than {max_bytes} bytes")
    return bytes(body)


_index_decoder = Decoder(Index)
