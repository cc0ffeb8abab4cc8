"""Reads and watches the platform's configuration service over HTTP."""

from dataclasses import dataclass

from aiohttp import ClientError, ClientResponse, ClientSession, ClientTimeout
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import Decoder

from lycheeglade.errors import LycheegladeError
from lycheeglade.value import Value

MAX_VALUE_BYTES = 1024 * 1024
MAX_INDEX_BYTES = 16 * 1024 * 1024
READ_TIMEOUT_S = 3.0
CHUNK_BYTES = 65_536
REVISION_HEADER = "Revision"


class PlatformError(LycheegladeError):
    """The platform can't be reached or its answer can't be used."""


class IndexEntry(Struct, frozen=True):
    """The latest change of one value."""

    name: str
    revision: int
    deleted: bool = False


class Index(Struct, frozen=True):
    """The latest changes after a revision.

    Attributes
    ----------
    revision : int
        Number of the last change that the platform knows.
    """

    revision: int
    changes: tuple[IndexEntry, ...]


@dataclass(frozen=True, slots=True)
class PlatformClient:
    """The platform at one URL, read through one HTTP session."""

    url: str
    session: ClientSession

    async def read_index(self, after: int, wait: float) -> Index:
        """Return the changes after a revision.

        Parameters
        ----------
        after : int
            Revision that is known already.
        wait : float
            Seconds that the platform may hold the call while there is none.

        Raises
        ------
        PlatformError
            If there is no usable answer in time.
        """
        params = {"after": str(after), "wait": f"{wait:g}"}
        body, _ = await self._get("/v1/index", params, MAX_INDEX_BYTES, wait)
        try:
            return _index_decoder.decode(body)
        except (DecodeError, ValidationError) as error:
            raise PlatformError(f"index is malformed: {error}") from error

    async def read_value(self, name: str) -> Value:
        """Return the present revision of a value.

        Raises
        ------
        PlatformError
            If there is no such value or no usable answer in time.
        """
        body, revision = await self._get(f"/v1/values/{name}", {}, MAX_VALUE_BYTES, 0.0)
        if not revision.isascii() or not revision.isdigit():
            raise PlatformError(f"{name} has the revision {revision!r}")
        try:
            return Value(name, int(revision), body.decode())
        except UnicodeDecodeError as error:
            raise PlatformError(f"{name} is not UTF-8") from error

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
                    raise PlatformError(f"{path} is answered by {response.status}")
                body = await _read_body(response, path, max_bytes)
                return body, response.headers.get(REVISION_HEADER, "")
        except (ClientError, OSError, TimeoutError) as error:
            raise PlatformError(f"{path} can't be read: {error!r}") from error


async def _read_body(response: ClientResponse, path: str, max_bytes: int) -> bytes:
    body = bytearray()
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        body += chunk
        if len(body) > max_bytes:
            raise PlatformError(f"{path} is larger than {max_bytes} bytes")
    return bytes(body)


_index_decoder = Decoder(Index)
