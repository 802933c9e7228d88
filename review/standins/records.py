"""What a script saw, for record.txt."""

from __future__ import annotations

import threading
import time
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from pathlib import Path


class Record:
    """Lines with the time since the start; thread-safe."""

    def __init__(self, path: Path) -> None:
        """Starts an empty record."""
        self._path = path
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        path.write_text("")

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def add(self, text: str) -> float:
        """Writes a line; returns its time."""
        with self._lock:
            now = self.now
            with self._path.open("a") as file:
                file.write(f"{now:8.3f} {text}\n")
        return now
