"""Retry budget and back-off.

Pattern: an upstream fails for a while and everything that may be repeated is repeated.
Without a budget each failure makes more load than it was, so the overload keeps itself
up after its cause is gone (a metastable failure).

Retries are a share (10 %) of recent successes: when most requests succeed, single
failures are hidden; when most fail, load rises by a tenth at most. The saved budget is
bounded to ten retries, so that a quiet hour does not pay for a storm. The back-off is
drawn evenly from zero to a bound that doubles (full jitter), so that requests which
failed together don't come back together, and never reaches past the deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from random import Random


MAX_SAVED_RETRIES = 10.0
# One retry is there at the start, or the first failure could never be repeated.
SAVED_RETRIES_AT_START = 1.0
BACK_OFF_FIRST_SECONDS = 0.05
BACK_OFF_MAXIMUM_SECONDS = 2.0


class RetryBudget:
    """Allows retries as a share of successes."""

    def __init__(self, *, fraction: float) -> None:
        """Starts with one retry.

        Args:
            fraction: Retries earned by one success.
        """
        self._fraction = fraction
        self._saved = SAVED_RETRIES_AT_START if fraction > 0 else 0.0

    def record_success(self) -> None:
        """Takes a success."""
        self._saved = min(MAX_SAVED_RETRIES, self._saved + self._fraction)

    def try_spend(self) -> bool:
        """Asks for one retry.

        Returns:
            Whether it may be made; it is then paid for.
        """
        if self._saved < 1.0:
            return False
        self._saved -= 1.0
        return True


def back_off(attempts: int, *, random: Random) -> float:
    """Draws the pause before the next try.

    Args:
        attempts: Tries made so far, 1 or more.
        random: Source of the jitter.

    Returns:
        Seconds.
    """
    bound = BACK_OFF_FIRST_SECONDS * 2 ** (attempts - 1)
    return random.uniform(0.0, min(bound, BACK_OFF_MAXIMUM_SECONDS))
