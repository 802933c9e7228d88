"""Clocks of a process; tests inject their own."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TypeAlias


# Monotonic time in seconds.
Clock: TypeAlias = Callable[[], float]

monotonic_clock: Clock = time.monotonic


def unix_milliseconds() -> int:
    """Returns the wall-clock time, used as the incarnation of a new process.

    Returns:
        Milliseconds since 1970-01-01 UTC.
    """
    return time.time_ns() // 1_000_000
