"""Grants bulk traffic its minimum share while other classes wait as well."""

from __future__ import annotations


# A larger share leaves so little to short requests that they wait behind uploads again.
MAX_FRACTION = 0.9


class BulkShare:
    """Credit of the bulk class, in bytes."""

    def __init__(self, min_fraction: float) -> None:
        """Initializes the share without credit.

        Args:
            min_fraction: Smallest fraction of the link for bulk traffic, 0 to 1.
        """
        fraction = min(max(min_fraction, 0.0), MAX_FRACTION)
        self._credit_per_byte = fraction / (1.0 - fraction)
        self._credit = 0.0

    def covers(self, size: int) -> bool:
        """Returns whether a bulk packet of a size may be sent before other classes."""
        return bool(self._credit_per_byte) and self._credit >= size

    def on_other_sent(self, size: int) -> None:
        """Adds the credit for a packet of another class, sent while bulk waits."""
        self._credit += size * self._credit_per_byte

    def on_bulk_sent(self, size: int) -> None:
        """Subtracts a bulk packet."""
        self._credit = max(0.0, self._credit - size)

    def reset(self) -> None:
        """Discards the credit, when no bulk packet waits any more."""
        self._credit = 0.0
