"""Record of what was sent, answered and run, in `record.txt`."""

from pathlib import Path
from time import monotonic


class Record:
    """Writes lines with the seconds since the start of the case."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._started_at = monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return monotonic() - self._started_at

    def __call__(self, text: str) -> float:
        """Write a line and return its time."""
        now = self.now()
        self._file.write(f"{now:9.3f} {text}\n")
        return now

    def close(self) -> None:
        """Close the file."""
        self._file.close()
