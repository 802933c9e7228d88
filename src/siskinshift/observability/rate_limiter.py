"""Limits how often a repeated fault is logged.

A fault that repeats with each datagram occurs thousands of times a second. Without a
limit, logging it would take CPU time from the data path and bury other lines. A short
burst is logged in full; after that, one line per interval reports how many lines were
suppressed.
"""

from __future__ import annotations

from attrs import define
from attrs import frozen


# Five lines show whether a fault has one source or many.
BURST_LINES = 5
# Six lines a minute are still readable for an operator.
INTERVAL_SECONDS = 10.0
# The keys come from a fixed set of faults per component. The limit bounds memory if a
# caller builds keys from variable data.
MAX_KEYS = 1024


@frozen
class LogPermit:
    """Permission to log one line.

    Attributes:
        suppressed: Number of lines with this key suppressed since the last permit.
    """

    suppressed: int


@define
class _KeyState:
    started_at: float
    lines: int
    suppressed: int


class LogRateLimiter:
    """Rate limiter with separate state for each fault."""

    def __init__(self) -> None:
        self._states_by_key: dict[str, _KeyState] = {}

    def permit(self, key: str, *, now: float) -> LogPermit | None:
        """Requests permission to log a line.

        Args:
            key: Identifier of the fault.
            now: Clock reading in seconds.

        Returns:
            The permit, or None if the line is suppressed.
        """
        state = self._states_by_key.get(key)
        if state is None:
            state = self._add_state(key, now)
        if now - state.started_at >= INTERVAL_SECONDS:
            # After a burst, each interval allows only one line.
            state.started_at = now
            state.lines = BURST_LINES - 1 if state.suppressed else 0
        if state.lines >= BURST_LINES:
            state.suppressed += 1
            return None
        state.lines += 1
        permit = LogPermit(suppressed=state.suppressed)
        state.suppressed = 0
        return permit

    def _add_state(self, key: str, now: float) -> _KeyState:
        if len(self._states_by_key) >= MAX_KEYS:
            self._states_by_key.clear()
        state = _KeyState(started_at=now, lines=0, suppressed=0)
        self._states_by_key[key] = state
        return state
