"""Append-only journal of the requests that an upstream ran."""

from dataclasses import dataclass
from os import O_APPEND, O_CREAT, O_WRONLY, write
from os import open as open_descriptor
from pathlib import Path
from time import time


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One event at an upstream.

    Attributes
    ----------
    at : float
        Wall-clock time in seconds.
    kind : str
        ``run``, ``done``, ``feed`` or ``wrong``.
    """

    at: float
    kind: str
    request_id: str


class Journal:
    """Appends one line per event to a file that outlives the process."""

    def __init__(self, path: str | None):
        self._descriptor = None
        if path:
            self._descriptor = open_descriptor(path, O_WRONLY | O_CREAT | O_APPEND)

    def add(self, kind: str, request_id: str) -> None:
        """Append an event."""
        if self._descriptor is not None:
            write(self._descriptor, f"{kind} {time():.3f} {request_id}\n".encode())


def read_journal(path: Path) -> list[JournalEntry]:
    """Return an upstream's events, without an incomplete last line."""
    if not path.exists():
        return []
    lines = [line.split(" ", 2) for line in path.read_text().splitlines()]
    return [
        JournalEntry(float(words[1]), words[0], words[2])
        for words in lines
        if len(words) == 3
    ]
