"""Time as processes see it; tests inject their own."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeAlias


# Seconds that never go back within a process.
Clock: TypeAlias = Callable[[], float]

monotonic_clock: Clock = time.monotonic


def unix_milliseconds() -> int:
    """Reads the time for a new incarnation.

    Returns:
        Milliseconds since 1970.
    """
    return time.time_ns() // 1_000_000
