"""Waiting work: services by importance, groups by share, callers in turn.

Pattern: one group floods a service that others share. Without weighted fair queueing
the others wait behind the flood. See `virtual_time`, `importance` and `group_queue` for
the three levels; this module joins them and knows what work costs.

The cost of work is not known before it ends, so a start is charged with the group's
mean slot time and corrected at the end.
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
    from siskinshift.load.work import Work


COST_AT_START_SECONDS = 0.05
# Answers may come within one reading of a coarse clock; a cost of 0 would make waits
# infinite and starts free.
COST_MINIMUM_SECONDS = 0.0001
# Weight of a new slot time in the mean: about the last ten requests count.
COST_GAIN = 0.1
DEFAULT_IMPORTANCE = 100


def group_key(work: Work) -> GroupKey:
    """Names the group of work.

    Args:
        work: The work.

    Returns:
        Service and group.
    """
    return (work.request.service_id, work.request.group_id)


class FairQueues:
    """Bounded queues by group and the order among them."""

    def __init__(self, *, shares: ServiceShares, importance_floor: float) -> None:
        """Starts empty.

        Args:
            shares: Weights of the groups.
            importance_floor: Part of slot time that less important services keep.
        """
        self._shares = shares
        self._importance_floor = importance_floor
        self._importance = ImportanceOrder(floor=importance_floor)
        self._importance_by_service: dict[str, int] = {}
        self._queues_by_group: dict[GroupKey, GroupQueue] = {}
        self._groups: VirtualTimeOrder[GroupKey] = VirtualTimeOrder()
        self._cost_by_group: dict[GroupKey, float] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues_by_group.values())

    def __iter__(self) -> Iterator[Work]:
        for queue in self._queues_by_group.values():
            yield from queue

    def configure(self, importance_by_service: Mapping[str, int]) -> None:
        """Takes the importance of the services that meet here.

        Args:
            importance_by_service: Higher goes first.
        """
        self._importance_by_service = dict(importance_by_service)

    def length(self, key: GroupKey) -> int:
        """Counts a group's waiting work.

        Args:
            key: The group.

        Returns:
            Number of requests, those of peers included.
        """
        queue = self._queues_by_group.get(key)
        return len(queue) if queue else 0

    def caller_length(self, key: GroupKey, caller: str) -> int:
        """Counts a caller's waiting work.

        Args:
            key: The caller's group.
            caller: Its IP number.

        Returns:
            Number of requests.
        """
        queue = self._queues_by_group.get(key)
        return queue.length_of(caller) if queue else 0

    def waiting_by_group(self) -> dict[GroupKey, int]:
        """Counts the own waiting work; a peer's waits at the peer.

        Returns:
            Number of requests of each group that waits.
        """
        counts = {
            key: sum(not work.is_of_peer for work in queue)
            for key, queue in self._queues_by_group.items()
        }
        return {key: count for key, count in counts.items() if count}

    def cost(self, key: GroupKey) -> float:
        """Reads what a start of a group is expected to cost.

        Args:
            key: The group.

        Returns:
            Slot seconds.
        """
        return max(
            COST_MINIMUM_SECONDS, self._cost_by_group.get(key, COST_AT_START_SECONDS)
        )

    def push(self, work: Work) -> None:
        """Adds work.

        Args:
            work: The work; its bound was checked at admission.
        """
        key = group_key(work)
        queue = self._queue(key)
        if not len(queue):
            self._groups.activate(key)
        queue.push(work)

    def remove(self, work: Work) -> None:
        """Takes work out.

        Args:
            work: Work that waits.
        """
        self._queue(group_key(work)).remove(work)

    def peek(self) -> Work | None:
        """Finds the work that is next.

        Returns:
            The work, or None when nothing waits.
        """
        keys = [key for key, queue in self._queues_by_group.items() if len(queue)]
        if not keys:
            return None
        cost = max(self.cost(key) for key in keys)
        service_id = self._importance.choose(self._importances(keys), cost=cost)
        key = self._groups.choose(key for key in keys if key[0] == service_id)
        return self._queues_by_group[key].peek()

    def start(self, work: Work) -> None:
        """Charges work that gets a slot.

        Args:
            work: Work that no longer waits.
        """
        key = group_key(work)
        cost = self.cost(key)
        work.charged = cost
        keys = [other for other, queue in self._queues_by_group.items() if len(queue)]
        importances = self._importances([*keys, key])
        self._importance.started(key[0], importances, cost=cost)
        self._groups.start(key, cost=cost, weight=self._shares.weight(key))
        self._queue(key).charge(work, cost)

    def ended(self, work: Work, *, slot_time: float, learns: bool) -> None:
        """Corrects the charge of work that gave its slot back.

        Args:
            work: The work.
            slot_time: Seconds it had the slot.
            learns: Whether the slot time says something of the group's cost.
        """
        key = group_key(work)
        rest = slot_time - work.charged
        self._groups.correct(key, cost=rest, weight=self._shares.weight(key))
        self._queue(key).correct(work, rest)
        if learns:
            known = self._cost_by_group.get(key, slot_time)
            self._cost_by_group[key] = known + COST_GAIN * (slot_time - known)

    def wait_estimate(self, key: GroupKey, caller: str, *, slots: int) -> float:
        """Estimates how long new work would wait.

        Args:
            key: Its group.
            caller: Its caller.
            slots: Slots in use at the upstream.

        Returns:
            Seconds.
        """
        queue = self._queues_by_group.get(key)
        if queue is None or not len(queue):
            return 0.0
        pace = slots * self._part(key) / self.cost(key)
        own = queue.length_of(caller)
        turns = (own + 1) * (queue.caller_count + (own == 0))
        return min(len(queue), turns) / pace

    def _part(self, key: GroupKey) -> float:
        # Part of the slots that the group gets while all of today's groups wait.
        keys = {other for other, queue in self._queues_by_group.items() if len(queue)}
        keys.add(key)
        importances = self._importances(keys)
        weights = sum(self._shares.weight(k) for k in keys if k[0] == key[0])
        part = self._shares.weight(key) / weights
        if importances[key[0]] < max(importances.values()):
            return part * max(self._importance_floor, 0.01)
        return part

    def _importances(self, keys: list[GroupKey] | set[GroupKey]) -> dict[str, int]:
        return {
            service_id: self._importance_by_service.get(service_id, DEFAULT_IMPORTANCE)
            for service_id, _ in sorted(keys)
        }

    def _queue(self, key: GroupKey) -> GroupQueue:
        if key not in self._queues_by_group:
            self._queues_by_group[key] = GroupQueue()
        return self._queues_by_group[key]
