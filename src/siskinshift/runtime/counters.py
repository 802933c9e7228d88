"""Event counters of a process, cheap enough to update for each datagram."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts events by name."""

    def __init__(self) -> None:
        self._counts_by_name: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Increments the counter of an event.

        Args:
            name: Name of the event.
            amount: Number of events to add.
        """
        self._counts_by_name[name] += amount

    def snapshot(self) -> dict[str, int]:
        """Returns a copy of all counts.

        Returns:
            Counts by name.
        """
        return dict(self._counts_by_name)
