"""Weighted fair order over keys (start-time fair queueing).

Pattern: one group or caller sends far more than its part, or longer work than others.
Without it slots go to whoever sends most: first in, first out gives a group that
floods nearly all of them. The charge is slot time, not a count, so that long work does
not take more than its part either.

A key that was idle starts at the present virtual time: it gets its part with the next
free slot (lent parts are given back at once), but no credit for the time it was idle,
which would let it shut others out in a burst.

Source: Goyal, Vin, Cheng, "Start-time Fair Queueing", 1996.
"""

from __future__ import annotations

from collections.abc import Hashable
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Iterable


KeyT = TypeVar("KeyT", bound=Hashable)


class VirtualTimeOrder(Generic[KeyT]):
    """Says which key is next."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._times_by_key: dict[KeyT, float] = {}

    def activate(self, key: KeyT) -> None:
        """Takes a key that has work again.

        Args:
            key: The key.
        """
        known = self._times_by_key.get(key, self._virtual_time)
        self._times_by_key[key] = max(known, self._virtual_time)

    def choose(self, keys: Iterable[KeyT]) -> KeyT:
        """Finds the key that is owed the next slot.

        Args:
            keys: Keys with work, at least one.

        Returns:
            The key with the least virtual time; the first one of equals.
        """
        return min(keys, key=self._time_of)

    def start(self, key: KeyT, *, cost: float, weight: float) -> None:
        """Charges a start.

        Args:
            key: Key whose work starts.
            cost: Slot seconds it is expected to take.
            weight: The key's weight, above 0.
        """
        time = self._time_of(key)
        self._virtual_time = max(self._virtual_time, time)
        self._times_by_key[key] = time + cost / weight

    def correct(self, key: KeyT, *, cost: float, weight: float) -> None:
        """Adds what a start cost over, or under, what was expected.

        Args:
            key: The key.
            cost: Slot seconds, negative when less was used.
            weight: The key's weight, above 0.
        """
        if key in self._times_by_key:
            self._times_by_key[key] += cost / weight

    def forget_idle(self, active: Iterable[KeyT]) -> None:
        """Drops keys that are idle and owe nothing, to bound the memory.

        Args:
            active: Keys that still have work.
        """
        kept = set(active)
        self._times_by_key = {
            key: time
            for key, time in self._times_by_key.items()
            if key in kept or time > self._virtual_time
        }

    def _time_of(self, key: KeyT) -> float:
        return self._times_by_key.get(key, self._virtual_time)
