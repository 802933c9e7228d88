"""A limit on one caller's and one key's part.

Pattern: a few callers or keys take most of the load; a client retries one save in a
tight loop. Without it one caller fills its group's queue, and the others of the group
are refused at the door although turns among callers would have served them next.

A quarter of the queue for one caller leaves places for others even when three callers
run wild; the limit is on waiting only, so that a lone caller still uses every free
slot. Two requests with one idempotency key are an original and its repetition; more are
a loop.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.settings.generated import LoadSettings


class PartLimit:
    """Counts requests by idempotency key and knows what one caller may hold."""

    def __init__(self, settings: LoadSettings) -> None:
        self._key_limit = settings.key_limit
        self._caller_limit = max(
            1, math.ceil(settings.queue_limit * settings.caller_part)
        )
        self._count_by_key: Counter[tuple[str, str, str]] = Counter()

    def caller_is_full(self, waiting: int) -> bool:
        """Says whether a caller may not add to its waiting requests.

        Args:
            waiting: Requests of the caller that wait in its group's queue.

        Returns:
            True at the limit.
        """
        return waiting >= self._caller_limit

    def key_is_full(self, key: tuple[str, str, str]) -> bool:
        """Says whether a key may not be used once more.

        Args:
            key: Service, group and idempotency key.

        Returns:
            True at the limit; never for an empty idempotency key.
        """
        return bool(key[-1]) and self._count_by_key[key] >= self._key_limit

    def enter(self, key: tuple[str, str, str]) -> None:
        """Counts a request that was let in.

        Args:
            key: Service, group and idempotency key.
        """
        if key[-1]:
            self._count_by_key[key] += 1

    def leave(self, key: tuple[str, str, str]) -> None:
        """Takes back the count of a request that ended.

        Args:
            key: Service, group and idempotency key.
        """
        if not key[-1]:
            return
        self._count_by_key[key] -= 1
        if not self._count_by_key[key]:
            del self._count_by_key[key]
