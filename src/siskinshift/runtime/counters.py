"""Counters of a process, by name; cheap enough for each datagram."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Counts events by name."""

    def __init__(self) -> None:
        self._counts_by_name: Counter[str] = Counter()

    def add(self, name: str, amount: int = 1) -> None:
        """Counts an event.

        Args:
            name: Name of the event.
            amount: How often it happened.
        """
        self._counts_by_name[name] += amount

    def snapshot(self) -> dict[str, int]:
        """Copies all counts.

        Returns:
            Counts by name.
        """
        return dict(self._counts_by_name)
