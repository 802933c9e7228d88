"""Retry budget and back-off.

If an upstream fails for a while, all repeatable requests are retried. Without a budget
each failure adds load, so the overload persists after its cause is gone (a metastable
failure).

Retries are limited to a fraction (10 %) of recent successes: if most requests succeed,
single failures are hidden; if most fail, load rises by a tenth at most. The saved
budget is limited to ten retries, so that an hour with low load does not allow a retry
storm. The back-off is drawn uniformly from zero to a bound that doubles (full jitter),
so that requests which failed together are not retried together. It leaves time for the
next attempt before the deadline.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from random import Random


MAX_SAVED_RETRIES = 10.0
# One retry is available initially; otherwise the first failure could not be retried.
INITIAL_SAVED_RETRIES = 1.0
INITIAL_BACKOFF_BOUND_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0


class RetryBudget:
    """Limits retries to a fraction of successes."""

    def __init__(self, *, fraction: float) -> None:
        """Initializes the budget with one retry.

        Args:
            fraction: Retries earned by one success.
        """
        self._fraction = fraction
        self._saved_retries = INITIAL_SAVED_RETRIES if fraction > 0 else 0.0

    def record_success(self) -> None:
        """Adds the retries that one success earns."""
        self._saved_retries = min(
            MAX_SAVED_RETRIES, self._saved_retries + self._fraction
        )

    def try_spend(self) -> bool:
        """Spends one retry if the budget allows it.

        Returns:
            Whether the retry is allowed.
        """
        if self._saved_retries < 1.0:
            return False
        self._saved_retries -= 1.0
        return True


def backoff_delay(attempts: int, *, time_left: float, random: Random) -> float:
    """Draws the delay before the next attempt.

    Args:
        attempts: Attempts made so far, 1 or more.
        time_left: Time until the last moment at which an attempt can still succeed,
            seconds.
        random: Source of the jitter.

    Returns:
        Seconds.
    """
    bound = INITIAL_BACKOFF_BOUND_SECONDS * 2 ** (attempts - 1)
    return random.uniform(0.0, min(bound, MAX_BACKOFF_SECONDS, time_left))
