"""Tracks whether a task of a node reaches the store."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from random import Random

    from siskinshift.kv.guard import Backoff
    from siskinshift.observability.event_log import EventLog


class StoreAvailability:
    """Logs the loss and recovery of the store and computes the pauses of retries."""

    def __init__(
        self, subject: str, *, retry: Backoff, random: Random, log: EventLog
    ) -> None:
        """Initializes the state as available.

        Args:
            subject: First word of both log events.
            retry: Pauses between attempts.
            random: Source of the jitter.
            log: Event log.
        """
        self._subject = subject
        self._retry = retry
        self._random = random
        self._log = log
        self._failures = 0

    @property
    def is_unavailable(self) -> bool:
        """Whether the last request failed."""
        return self._failures > 0

    def record_failure(self, error: Exception) -> float:
        """Records a failed request.

        Args:
            error: The error.

        Returns:
            Seconds until the next attempt.
        """
        if not self._failures:
            self._log.fact(f"{self._subject} lost", error=str(error))
        self._failures += 1
        return self._retry.delay(self._failures, self._random)

    def record_success(self) -> None:
        """Records a successful request."""
        if not self._failures:
            return
        self._log.fact(f"{self._subject} regained", failures=self._failures)
        self._failures = 0
