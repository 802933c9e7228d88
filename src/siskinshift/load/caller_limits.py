"""Limits on the queued requests of a caller and the requests of an idempotency key.

A few callers or keys may produce most of the load, for example a client that retries
one write in a tight loop. Without the limits one caller fills its group's queue, and
other callers of the group are refused although fair queueing would serve them next.

A quarter of the queue for one caller leaves places for others even if three callers
send without bound. The limit applies to queued requests only, so a single caller can
still use every free slot. Two requests with one idempotency key are an original and its
repetition; more indicate a loop.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.settings.generated import LoadSettings


class CallerLimits:
    """Counts requests by idempotency key and limits the queue use of a caller."""

    def __init__(self, settings: LoadSettings) -> None:
        self._key_limit = settings.key_limit
        self._caller_limit = max(
            1, math.ceil(settings.queue_limit * settings.caller_part)
        )
        self._counts_by_key: Counter[tuple[str, str, str]] = Counter()

    def caller_is_at_limit(self, waiting: int) -> bool:
        """Returns whether a caller has reached its limit of queued requests.

        Args:
            waiting: Requests of the caller in its group's queue.

        Returns:
            True at the limit.
        """
        return waiting >= self._caller_limit

    def key_is_at_limit(self, key: tuple[str, str, str]) -> bool:
        """Returns whether an idempotency key has reached its limit of requests.

        Args:
            key: Service, group and idempotency key.

        Returns:
            True at the limit; never for an empty idempotency key.
        """
        return bool(key[-1]) and self._counts_by_key[key] >= self._key_limit

    def add(self, key: tuple[str, str, str]) -> None:
        """Counts an admitted request.

        Args:
            key: Service, group and idempotency key.
        """
        if key[-1]:
            self._counts_by_key[key] += 1

    def remove(self, key: tuple[str, str, str]) -> None:
        """Removes a request that ended from the count.

        Args:
            key: Service, group and idempotency key.
        """
        if not key[-1]:
            return
        self._counts_by_key[key] -= 1
        if not self._counts_by_key[key]:
            del self._counts_by_key[key]
