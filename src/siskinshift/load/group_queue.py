"""Bounded queue of one group, fair among its callers.

Pattern: bursts, and one caller with most of a group's load. Without a bound the queue
grows until every answer comes too late (goodput falls to nothing while all slots are
busy). Without turns among callers the one with the most requests makes the others of
its group wait behind all of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.load.virtual_time import VirtualTimeOrder


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.load.work import Work


CALLER_WEIGHT = 1.0
# Idle callers are dropped when this many are remembered.
CALLERS_REMEMBERED = 256


class GroupQueue:
    """Work of one group that waits for a slot."""

    def __init__(self) -> None:
        self._work_by_id_by_caller: dict[str, dict[int, Work]] = {}
        self._callers: VirtualTimeOrder[str] = VirtualTimeOrder()
        self._callers_seen: set[str] = set()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[Work]:
        for work_by_id in self._work_by_id_by_caller.values():
            yield from work_by_id.values()

    @property
    def caller_count(self) -> int:
        """Number of callers that wait."""
        return len(self._work_by_id_by_caller)

    def length_of(self, caller: str) -> int:
        """Counts one caller's waiting work.

        Args:
            caller: The caller's IP number.

        Returns:
            The number of its requests in the queue.
        """
        return len(self._work_by_id_by_caller.get(caller, ()))

    def push(self, work: Work) -> None:
        """Adds work behind its caller's other work.

        Args:
            work: The work.
        """
        caller = work.request.caller
        if caller not in self._work_by_id_by_caller:
            self._work_by_id_by_caller[caller] = {}
            self._remember(caller)
        self._work_by_id_by_caller[caller][work.request.request_id] = work
        self._length += 1

    def peek(self) -> Work:
        """Finds the work that is next; the queue must not be empty.

        Returns:
            The oldest work of the caller that is owed most.
        """
        caller = self._callers.choose(self._work_by_id_by_caller)
        return next(iter(self._work_by_id_by_caller[caller].values()))

    def remove(self, work: Work) -> None:
        """Takes work out.

        Args:
            work: Work that is in the queue.
        """
        caller = work.request.caller
        work_by_id = self._work_by_id_by_caller[caller]
        del work_by_id[work.request.request_id]
        self._length -= 1
        if not work_by_id:
            del self._work_by_id_by_caller[caller]

    def charge(self, work: Work, cost: float) -> None:
        """Charges the caller for a start.

        Args:
            work: The work that starts.
            cost: Slot seconds it is expected to take.
        """
        self._callers.start(work.request.caller, cost=cost, weight=CALLER_WEIGHT)

    def correct(self, work: Work, cost: float) -> None:
        """Adds what a start cost over, or under, what was expected.

        Args:
            work: The work that ended.
            cost: Slot seconds, negative when less was used.
        """
        self._callers.correct(work.request.caller, cost=cost, weight=CALLER_WEIGHT)

    def _remember(self, caller: str) -> None:
        self._callers.activate(caller)
        self._callers_seen.add(caller)
        if len(self._callers_seen) > CALLERS_REMEMBERED:
            self._callers.forget_idle(self._work_by_id_by_caller)
            self._callers_seen = set(self._work_by_id_by_caller)
