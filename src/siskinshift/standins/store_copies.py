"""Copies of a stand-in store, from which it can be restored."""

from __future__ import annotations

import copy
from collections import deque
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock


# Copies older than this are dropped, except the newest of them.
MAX_AGE_SECONDS = 60.0


class StoreCopies:
    """Keeps a copy of a store's fields after each write."""

    def __init__(self, clock: Clock, *, fields: tuple[str, ...]) -> None:
        """Initializes without copies.

        Args:
            clock: Clock of the store.
            fields: Names of the attributes that a copy contains: numbers, or
                containers of values that are never changed.
        """
        self._clock = clock
        self._fields = fields
        self._copies: deque[tuple[float, dict[str, Any]]] = deque()

    def record(self, store: object) -> None:
        """Copies the store as it is now.

        Args:
            store: The store.
        """
        now = self._clock()
        values = {name: copy.copy(getattr(store, name)) for name in self._fields}
        self._copies.append((now, values))
        while len(self._copies) > 1 and self._copies[1][0] < now - MAX_AGE_SECONDS:
            self._copies.popleft()

    def restore(self, store: object, *, age: float) -> None:
        """Replaces the store's fields by those of a copy.

        Args:
            store: The store.
            age: Age of the copy, seconds; the oldest copy if there is none as old.
        """
        taken_at = self._clock() - age
        while len(self._copies) > 1 and self._copies[-1][0] > taken_at:
            self._copies.pop()
        for name, value in self._copies[-1][1].items():
            setattr(store, name, copy.copy(value))
