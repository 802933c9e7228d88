"""Usage of groups, here and over the whole service.

Pattern: a group's flows are pinned to few agents, or spread unevenly. Without sums over
the service each agent is fair by itself while the service is not: a group that is alone
at some agents gets all of those and its part of the others.

Usage is the mean number of slots in use over about four seconds: long enough that
single requests don't show, short enough that a change is seen within the few seconds in
which weights shift. A peer's sum is a hint with an age; after five seconds it is not
believed.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING
from typing import TypeAlias

import attrs
from attrs import define

from siskinshift.messages.load import GroupUsage
from siskinshift.messages.load import UsageSum
from siskinshift.messages.load import UsageSums


if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random


# Service and group.
GroupKey: TypeAlias = tuple[str, str]

AVERAGE_SECONDS = 4.0
BELIEVED_SECONDS = 5.0
USED_MINIMUM = 0.001
# Bounds a message to some 10 KB, whatever the size of the service.
SUMS_IN_A_MESSAGE = 24
USAGE_RECIPIENT_COUNT = 2


class UsageMeter:
    """Averages the slots in use by group.

    Attributes:
        used_by_group: Slots in use, averaged.
    """

    def __init__(self, *, now: float) -> None:
        self._updated_at = now
        self._running_by_group: Counter[GroupKey] = Counter()
        self.used_by_group: dict[GroupKey, float] = {}

    def started(self, key: GroupKey, *, now: float) -> None:
        """Takes a start.

        Args:
            key: The group.
            now: Clock reading, seconds.
        """
        self.advance(now=now)
        self._running_by_group[key] += 1

    def ended(self, key: GroupKey, *, now: float) -> None:
        """Takes the end of a request.

        Args:
            key: The group.
            now: Clock reading, seconds.
        """
        self.advance(now=now)
        self._running_by_group[key] -= 1
        if not self._running_by_group[key]:
            del self._running_by_group[key]

    def advance(self, *, now: float) -> None:
        """Brings the averages up to the present.

        Args:
            now: Clock reading, seconds.
        """
        kept = math.exp(-(now - self._updated_at) / AVERAGE_SECONDS)
        self._updated_at = now
        for key in self.used_by_group.keys() | self._running_by_group.keys():
            used = self.used_by_group.get(key, 0.0) * kept
            used += self._running_by_group[key] * (1.0 - kept)
            self.used_by_group[key] = used
            if used < USED_MINIMUM and not self._running_by_group[key]:
                del self.used_by_group[key]


@define
class _HeldSum:
    usage: UsageSum
    made_at: float


class UsageTable:
    """Recent sums of the peers."""

    def __init__(self, *, member_id: str) -> None:
        """Starts empty.

        Args:
            member_id: The agent's own id; what peers say of it is passed over.
        """
        self._member_id = member_id
        self._sums_by_agent: dict[str, _HeldSum] = {}

    def merge(self, sums: UsageSums, *, now: float) -> None:
        """Takes a message; of two sums of one agent the later made one stays.

        Args:
            sums: The message.
            now: Clock reading, seconds.
        """
        for usage in sums.sums:
            made_at = now - max(0.0, usage.age)
            known = self._sums_by_agent.get(usage.agent_id)
            if usage.agent_id == self._member_id:
                continue
            if known is None or known.made_at < made_at:
                self._sums_by_agent[usage.agent_id] = _HeldSum(usage, made_at)

    def recent(self, *, now: float) -> list[UsageSum]:
        """Lists the sums that are still believed.

        Args:
            now: Clock reading, seconds.

        Returns:
            The sums with their present ages, ordered by agent.
        """
        self._sums_by_agent = {
            agent_id: held
            for agent_id, held in self._sums_by_agent.items()
            if now - held.made_at <= BELIEVED_SECONDS
        }
        return [
            attrs.evolve(held.usage, age=now - held.made_at)
            for _, held in sorted(self._sums_by_agent.items())
        ]

    def message(self, own: UsageSum, *, now: float, random: Random) -> UsageSums:
        """Builds the message that goes to some peers.

        Args:
            own: The agent's own sum.
            now: Clock reading, seconds.
            random: Picks among the peers' sums when there are too many.

        Returns:
            The message.
        """
        others = self.recent(now=now)
        if len(others) >= SUMS_IN_A_MESSAGE:
            others = random.sample(others, SUMS_IN_A_MESSAGE - 1)
        return UsageSums(sender_id=self._member_id, sums=(own, *others))


def own_sum(
    *,
    agent_id: str,
    used_by_group: Mapping[GroupKey, float],
    waiting_by_group: Mapping[GroupKey, int],
    busy_part: float,
    slot_time: float,
    sick: bool,
) -> UsageSum:
    """Builds an agent's own sum.

    Args:
        agent_id: The agent.
        used_by_group: Slots in use.
        waiting_by_group: Requests that wait.
        busy_part: Part of slot time in use.
        slot_time: Mean slot time, seconds.
        sick: Whether the upstream looks sick.

    Returns:
        The sum.
    """
    keys = sorted(used_by_group.keys() | waiting_by_group.keys())
    groups = tuple(
        GroupUsage(
            service_id=key[0],
            group_id=key[1],
            used=round(used_by_group.get(key, 0.0), 4),
            waiting=waiting_by_group.get(key, 0),
        )
        for key in keys
    )
    return UsageSum(
        agent_id=agent_id,
        age=0.0,
        groups=groups,
        busy_part=round(busy_part, 4),
        slot_time=round(slot_time, 6),
        sick=sick,
    )
