"""The record of one run: what was sent, answered and run, with times."""

from __future__ import annotations

import pathlib
import time


class Record:
    """Writes one line for each event to a file.

    Attributes:
        started_at: Monotonic time of the first line.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Open the file, which is emptied.

        Args:
            path: The file.
        """
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Return the seconds since the run began."""
        return time.monotonic() - self.started_at

    def write(self, what: str, **fields: object) -> float:
        """Write one event and return its time.

        Args:
            what: Kind of the event.
            **fields: Its details.
        """
        at = self.now()
        details = " ".join(f"{key}={value}" for key, value in fields.items())
        self._file.write(f"{at:8.3f} {what} {details}\n")
        return at

    def close(self) -> None:
        """Close the file."""
        self._file.close()
