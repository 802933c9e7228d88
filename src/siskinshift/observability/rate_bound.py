"""Bounds how often one fault is logged.

Load pattern: a fault that repeats with each datagram, thousands a second.
Without a bound the log takes the processor from the data path and hides the
other lines. A short burst is let through so that the first cases are seen whole;
then one line an interval tells how many were kept back.
"""

from __future__ import annotations

from attrs import define
from attrs import frozen


# Enough to see whether a fault has one source or many.
BURST_LINES = 5
# Six lines a minute can be read by a person.
INTERVAL_SECONDS = 10.0
# Kinds of faults are a closed list times parts; a bound guards against misuse.
KEYS_MAXIMUM = 1024


@frozen
class LinePermit:
    """Allows one line.

    Attributes:
        suppressed: Lines of the same key kept back since the last one.
    """

    suppressed: int


@define
class _KeyState:
    started_at: float
    lines: int
    suppressed: int


class RateBound:
    """Decides for each fault whether it is logged now."""

    def __init__(self) -> None:
        self._states_by_key: dict[str, _KeyState] = {}

    def permit(self, key: str, *, now: float) -> LinePermit | None:
        """Asks for a line.

        Args:
            key: Names the fault.
            now: Clock reading, seconds.

        Returns:
            The permit, or None when the line is kept back.
        """
        state = self._states_by_key.get(key)
        if state is None:
            state = self._open(key, now)
        if now - state.started_at >= INTERVAL_SECONDS:
            # After a burst only the one line that opens an interval is allowed.
            state.started_at = now
            state.lines = BURST_LINES - 1 if state.suppressed else 0
        if state.lines >= BURST_LINES:
            state.suppressed += 1
            return None
        state.lines += 1
        permit = LinePermit(suppressed=state.suppressed)
        state.suppressed = 0
        return permit

    def _open(self, key: str, now: float) -> _KeyState:
        if len(self._states_by_key) >= KEYS_MAXIMUM:
            self._states_by_key.clear()
        state = _KeyState(started_at=now, lines=0, suppressed=0)
        self._states_by_key[key] = state
        return state
