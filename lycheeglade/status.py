"""Fetching and formatting of the status of a running process."""

from collections.abc import Iterable, Iterator, Mapping, Sequence

from aiohttp import ClientError, ClientSession, ClientTimeout
from msgspec.json import decode

from lycheeglade.address import Address
from lycheeglade.errors import DECODE_ERRORS, LycheegladeError

REQUEST_TIMEOUT = 5.0
COLUMN_GAP = "  "


class StatusError(LycheegladeError):
    """The status of a process can't be fetched."""


async def fetch_status(
    address: Address, timeout: float = REQUEST_TIMEOUT
) -> dict[str, object]:
    """Fetch the status of the process with the operators' address `address`.

    Returns
    -------
    dict
        Content of ``/status``, and that of ``/histograms`` under the key
        ``histograms``.

    Raises
    ------
    StatusError
        If the process can't be reached or its response isn't JSON.
    """
    try:
        async with ClientSession(
            f"http://{address}", timeout=ClientTimeout(total=timeout)
        ) as session:
            status = await _fetch_json(session, "/status")
            histograms = await _fetch_json(session, "/histograms")
    except (ClientError, TimeoutError, *DECODE_ERRORS) as error:
        reason = str(error) or type(error).__name__
        raise StatusError(f"cannot fetch status from {address}: {reason}") from error
    return {**status, "histograms": histograms}


async def _fetch_json(session: ClientSession, path: str) -> object:
    async with session.get(path) as response:
        response.raise_for_status()
        return decode(await response.read())


def format_status(status: Mapping[str, object]) -> str:
    """Return `status` as tables for a terminal.

    Single values come first, one per line. Each group of objects follows as a
    table with one line per object.
    """
    blocks = []
    single_rows = list(_single_values("", status))
    if single_rows:
        blocks.append(format_table(single_rows))
    for name, rows in _tables("", status):
        header = list(dict.fromkeys(key for row in rows for key in row))
        lines = [[_format_value(row.get(key, "")) for key in header] for row in rows]
        blocks.append(f"{name}\n{format_table([header, *lines])}")
    return "\n\n".join(blocks)


def format_table(rows: Sequence[Sequence[str]]) -> str:
    """Return `rows` as lines with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return "\n".join(
        COLUMN_GAP.join(map(str.ljust, row, widths)).rstrip() for row in rows
    )


def _table_rows(name: str, value: object) -> list[dict[str, object]]:
    """Return the rows of a table if `value` is a group of objects."""
    if isinstance(value, list) and all(isinstance(item, dict) for item in value):
        return value
    if isinstance(value, dict) and all(
        isinstance(item, dict) for item in value.values()
    ):
        return [{name: key, **item} for key, item in value.items()]
    return []


def _single_values(
    prefix: str, status: Mapping[str, object]
) -> Iterator[tuple[str, str]]:
    for key, value in status.items():
        name = f"{prefix}{key}"
        if _table_rows(key, value):
            continue
        if isinstance(value, dict) and value:
            yield from _single_values(f"{name}.", value)
        else:
            yield name, _format_value(value)


def _tables(
    prefix: str, status: Mapping[str, object]
) -> Iterator[tuple[str, list[dict[str, object]]]]:
    for key, value in status.items():
        name = f"{prefix}{key}"
        rows = _table_rows(key, value)
        if rows:
            yield name, rows
        elif isinstance(value, dict):
            yield from _tables(f"{name}.", value)


def _format_value(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.6g}"
    if value is None:
        return "-"
    if isinstance(value, Iterable) and not isinstance(value, str):
        return ", ".join(map(_format_value, value)) or "-"
    return str(value)
