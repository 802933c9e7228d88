"""Bounded queue of one group, fair among its callers.

Without a bound a burst grows the queue until every response is too late: goodput falls
to zero while all slots are busy. Without fair order among callers, the caller with the
most requests makes all other callers of its group wait behind them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.load.virtual_time import VirtualTimeOrder


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.load.work import WorkItem


CALLER_WEIGHT = 1.0
# Idle callers are dropped when more than this number are tracked.
MAX_TRACKED_CALLERS = 256


class GroupQueue:
    """Queued requests of one group."""

    def __init__(self) -> None:
        self._work_by_id_by_caller: dict[str, dict[int, WorkItem]] = {}
        self._caller_order: VirtualTimeOrder[str] = VirtualTimeOrder()
        self._tracked_callers: set[str] = set()
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def __iter__(self) -> Iterator[WorkItem]:
        for work_by_id in self._work_by_id_by_caller.values():
            yield from work_by_id.values()

    @property
    def caller_count(self) -> int:
        """Number of callers with queued requests."""
        return len(self._work_by_id_by_caller)

    def length_of(self, caller: str) -> int:
        """Returns the number of queued requests of one caller.

        Args:
            caller: The caller's IP address.

        Returns:
            The number of its requests in the queue.
        """
        return len(self._work_by_id_by_caller.get(caller, ()))

    def push(self, work: WorkItem) -> None:
        """Adds a request behind its caller's other requests.

        Args:
            work: The request.
        """
        caller = work.request.caller
        if caller not in self._work_by_id_by_caller:
            self._work_by_id_by_caller[caller] = {}
            self._track(caller)
        self._work_by_id_by_caller[caller][work.request.request_id] = work
        self._length += 1

    def peek(self) -> WorkItem:
        """Returns the next request; the queue must not be empty.

        Returns:
            The oldest request of the caller with the least virtual time.
        """
        caller = self._caller_order.choose(self._work_by_id_by_caller)
        return next(iter(self._work_by_id_by_caller[caller].values()))

    def remove(self, work: WorkItem) -> None:
        """Removes a queued request.

        Args:
            work: The request.
        """
        caller = work.request.caller
        work_by_id = self._work_by_id_by_caller[caller]
        del work_by_id[work.request.request_id]
        self._length -= 1
        if not work_by_id:
            del self._work_by_id_by_caller[caller]

    def charge(self, work: WorkItem, cost: float) -> None:
        """Charges the caller for the start of a request.

        Args:
            work: The request.
            cost: Expected slot seconds.
        """
        self._caller_order.charge(work.request.caller, cost=cost, weight=CALLER_WEIGHT)

    def correct(self, work: WorkItem, cost: float) -> None:
        """Adds the difference between the actual and the expected cost.

        Args:
            work: The request that ended.
            cost: Slot seconds, negative if less was used.
        """
        self._caller_order.correct(work.request.caller, cost=cost, weight=CALLER_WEIGHT)

    def _track(self, caller: str) -> None:
        self._caller_order.activate(caller)
        self._tracked_callers.add(caller)
        if len(self._tracked_callers) > MAX_TRACKED_CALLERS:
            self._caller_order.drop_idle(self._work_by_id_by_caller)
            self._tracked_callers = set(self._work_by_id_by_caller)
