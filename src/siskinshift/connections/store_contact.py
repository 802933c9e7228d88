"""What a task of a node knows of its contact with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from random import Random

    from siskinshift.kv.guard import Backoff
    from siskinshift.observability.event_log import EventLog


class StoreContact:
    """Tells of the store's loss and return once each, and paces the tries between."""

    def __init__(
        self, subject: str, *, retry: Backoff, random: Random, log: EventLog
    ) -> None:
        """Starts in contact.

        Args:
            subject: What is lost and regained, the first word of both lines.
            retry: Pauses between tries.
            random: Source of the jitter.
            log: Takes the lines.
        """
        self._subject = subject
        self._retry = retry
        self._random = random
        self._log = log
        self._failures = 0

    @property
    def is_lost(self) -> bool:
        """Whether the last call failed."""
        return self._failures > 0

    def failed(self, error: Exception) -> float:
        """Takes note of a call that failed.

        Args:
            error: Why.

        Returns:
            Seconds until the next try.
        """
        if not self._failures:
            self._log.fact(f"{self._subject} lost", error=str(error))
        self._failures += 1
        return self._retry.delay(self._failures, self._random)

    def succeeded(self) -> None:
        """Takes note of a call that was answered."""
        if not self._failures:
            return
        self._log.fact(f"{self._subject} regained", failures=self._failures)
        self._failures = 0
