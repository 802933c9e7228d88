"""Hierarchical fair queues: services by importance, groups by share, callers in turn.

If one group floods a service, weighted fair queueing keeps the other groups from
waiting behind it. `virtual_time`, `importance` and `group_queue` implement the three
levels; this module combines them and tracks the cost of requests.

The cost of a request is not known before it ends, so a start is charged with the
group's mean slot time and corrected at the end.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.load.group_queue import GroupQueue
from siskinshift.load.importance import ImportanceOrder
from siskinshift.load.virtual_time import VirtualTimeOrder


if TYPE_CHECKING:
    from collections.abc import Iterator
    from collections.abc import Mapping

    from siskinshift.load.shares import ServiceShares
    from siskinshift.load.usage import GroupKey
    from siskinshift.load.work import WorkItem


INITIAL_COST_SECONDS = 0.05
# Responses may come within one tick of a coarse clock; a cost of 0 would make estimated
# waits infinite and starts free.
MIN_COST_SECONDS = 0.0001
# Weight of a new slot time in the moving average, which spans about ten requests.
COST_EWMA_WEIGHT = 0.1
DEFAULT_IMPORTANCE = 100


def group_key(work: WorkItem) -> GroupKey:
    """Returns the key of a request's group.

    Args:
        work: The request.

    Returns:
        Service and group.
    """
    return (work.request.service_id, work.request.group_id)


class FairQueues:
    """Bounded queues of all groups, served in weighted fair order."""

    def __init__(self, *, shares: ServiceShares, importance_floor: float) -> None:
        """Initializes empty queues.

        Args:
            shares: Weights of the groups.
            importance_floor: Fraction of slot time reserved for less important
                services.
        """
        self._shares = shares
        self._importance_floor = importance_floor
        self._service_order = ImportanceOrder(floor=importance_floor)
        self._importances_by_service: dict[str, int] = {}
        self._queues_by_group: dict[GroupKey, GroupQueue] = {}
        self._group_order: VirtualTimeOrder[GroupKey] = VirtualTimeOrder()
        self._costs_by_group: dict[GroupKey, float] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues_by_group.values())

    def __iter__(self) -> Iterator[WorkItem]:
        for queue in self._queues_by_group.values():
            yield from queue

    def configure(self, importances_by_service: Mapping[str, int]) -> None:
        """Sets the importance of the services that share the upstream.

        Args:
            importances_by_service: Importance of each service; higher goes first.
        """
        self._importances_by_service = dict(importances_by_service)

    def group_length(self, key: GroupKey) -> int:
        """Returns the queue length of a group.

        Args:
            key: The group.

        Returns:
            Number of requests, those of peers included.
        """
        queue = self._queues_by_group.get(key)
        return len(queue) if queue else 0

    def caller_length(self, key: GroupKey, caller: str) -> int:
        """Returns the number of queued requests of a caller.

        Args:
            key: The caller's group.
            caller: Its IP address.

        Returns:
            Number of requests.
        """
        queue = self._queues_by_group.get(key)
        return queue.length_of(caller) if queue else 0

    def waiting_by_group(self) -> dict[GroupKey, int]:
        """Counts this agent's queued requests; a peer counts its own.

        Returns:
            Number of queued requests of each group that has any.
        """
        counts = {
            key: sum(not work.is_from_peer for work in queue)
            for key, queue in self._queues_by_group.items()
        }
        return {key: count for key, count in counts.items() if count}

    def cost(self, key: GroupKey) -> float:
        """Returns the expected cost of a request of a group.

        Args:
            key: The group.

        Returns:
            Slot seconds.
        """
        return max(
            MIN_COST_SECONDS, self._costs_by_group.get(key, INITIAL_COST_SECONDS)
        )

    def push(self, work: WorkItem) -> None:
        """Adds a request to its group's queue.

        Args:
            work: The request; the queue limit was checked at admission.
        """
        key = group_key(work)
        queue = self._queue(key)
        if not len(queue):
            self._group_order.activate(key)
        queue.push(work)

    def remove(self, work: WorkItem) -> None:
        """Removes a queued request.

        Args:
            work: The request.
        """
        self._queue(group_key(work)).remove(work)

    def peek(self) -> WorkItem | None:
        """Returns the next request without removing it.

        Returns:
            The request, or None if the queues are empty.
        """
        keys = [key for key, queue in self._queues_by_group.items() if len(queue)]
        if not keys:
            return None
        cost = max(self.cost(key) for key in keys)
        service_id = self._service_order.choose(self._importances(keys), cost=cost)
        key = self._group_order.choose(key for key in keys if key[0] == service_id)
        return self._queues_by_group[key].peek()

    def record_start(self, work: WorkItem) -> None:
        """Charges a request that gets a slot to its group and caller.

        Args:
            work: The request, already removed from its queue.
        """
        key = group_key(work)
        cost = self.cost(key)
        work.charged_cost = cost
        keys = [other for other, queue in self._queues_by_group.items() if len(queue)]
        importances = self._importances([*keys, key])
        self._service_order.record_start(key[0], importances, cost=cost)
        self._group_order.charge(key, cost=cost, weight=self._shares.weight(key))
        self._queue(key).charge(work, cost)

    def record_end(
        self, work: WorkItem, *, slot_time: float, updates_cost: bool
    ) -> None:
        """Corrects the charge of a request that released its slot.

        Args:
            work: The request.
            slot_time: Seconds it held the slot.
            updates_cost: Whether the slot time counts for the group's expected cost.
        """
        key = group_key(work)
        difference = slot_time - work.charged_cost
        self._group_order.correct(key, cost=difference, weight=self._shares.weight(key))
        self._queue(key).correct(work, difference)
        if updates_cost:
            mean = self._costs_by_group.get(key, slot_time)
            self._costs_by_group[key] = mean + COST_EWMA_WEIGHT * (slot_time - mean)

    def estimate_wait(self, key: GroupKey, caller: str, *, slots: int) -> float:
        """Estimates how long a new request would wait.

        Args:
            key: Its group.
            caller: Its caller.
            slots: Concurrency limit of the upstream.

        Returns:
            Seconds.
        """
        queue = self._queues_by_group.get(key)
        if queue is None or not len(queue):
            return 0.0
        service_rate = slots * self._slot_fraction(key) / self.cost(key)
        caller_length = queue.length_of(caller)
        turns = (caller_length + 1) * (queue.caller_count + (caller_length == 0))
        return min(len(queue), turns) / service_rate

    def _slot_fraction(self, key: GroupKey) -> float:
        # Fraction of the slots that the group gets while each group that has queued
        # requests now continues to have some.
        keys = {other for other, queue in self._queues_by_group.items() if len(queue)}
        keys.add(key)
        importances = self._importances(keys)
        weights = sum(self._shares.weight(k) for k in keys if k[0] == key[0])
        fraction = self._shares.weight(key) / weights
        if importances[key[0]] < max(importances.values()):
            return fraction * max(self._importance_floor, 0.01)
        return fraction

    def _importances(self, keys: list[GroupKey] | set[GroupKey]) -> dict[str, int]:
        return {
            service_id: self._importances_by_service.get(service_id, DEFAULT_IMPORTANCE)
            for service_id, _ in sorted(keys)
        }

    def _queue(self, key: GroupKey) -> GroupQueue:
        if key not in self._queues_by_group:
            self._queues_by_group[key] = GroupQueue()
        return self._queues_by_group[key]
