"""Weighted fair order over keys (start-time fair queueing).

One group or caller may send far more requests than its share, or longer ones than
others. First in, first out would give nearly all slots to the group that sends most.
The charge is slot time, not a count, so that long requests do not get more than their
share either.

A key that was idle starts at the current virtual time. It gets its share from the next
free slot on, so the share that other keys used meanwhile returns at once. It gets no
credit for its idle time, with which its next burst would block all other keys.

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
    """Selects the key that is served next."""

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._virtual_times_by_key: dict[KeyT, float] = {}

    def activate(self, key: KeyT) -> None:
        """Activates a key that has requests again.

        Args:
            key: The key.
        """
        previous = self._virtual_times_by_key.get(key, self._virtual_time)
        self._virtual_times_by_key[key] = max(previous, self._virtual_time)

    def choose(self, keys: Iterable[KeyT]) -> KeyT:
        """Returns the key that gets the next slot.

        Args:
            keys: Keys with requests, at least one.

        Returns:
            The key with the least virtual time; the first one of equals.
        """
        return min(keys, key=self._virtual_time_of)

    def charge(self, key: KeyT, *, cost: float, weight: float) -> None:
        """Charges a key for the start of a request.

        Args:
            key: Key of the request.
            cost: Expected slot seconds.
            weight: The key's weight, above 0.
        """
        time = self._virtual_time_of(key)
        self._virtual_time = max(self._virtual_time, time)
        self._virtual_times_by_key[key] = time + cost / weight

    def correct(self, key: KeyT, *, cost: float, weight: float) -> None:
        """Adds the difference between the actual and the expected cost.

        Args:
            key: The key.
            cost: Slot seconds, negative if less was used.
            weight: The key's weight, above 0.
        """
        if key in self._virtual_times_by_key:
            self._virtual_times_by_key[key] += cost / weight

    def drop_idle(self, active: Iterable[KeyT]) -> None:
        """Drops idle keys whose virtual time has passed, to bound the memory.

        Args:
            active: Keys that still have requests.
        """
        active_keys = set(active)
        self._virtual_times_by_key = {
            key: time
            for key, time in self._virtual_times_by_key.items()
            if key in active_keys or time > self._virtual_time
        }

    def _virtual_time_of(self, key: KeyT) -> float:
        return self._virtual_times_by_key.get(key, self._virtual_time)
