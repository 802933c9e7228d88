"""Slot usage of groups, at this agent and over the whole service.

A group's flows may be pinned to few agents or spread unevenly. Without sums over the
service each agent is fair locally while the service is not: a group that is alone at
some agents gets all of their slots in addition to its share of the slots elsewhere.

Usage is the mean number of slots in use over about four seconds: long enough to average
out single requests, short enough to show a change within the few seconds in which
weights are adjusted. A peer's sum is a hint with an age; it expires after five seconds.
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

AVERAGING_SECONDS = 4.0
SUM_EXPIRY_SECONDS = 5.0
NEGLIGIBLE_SLOTS = 0.001
# Limits a message to some 10 KB, regardless of the size of the service.
MAX_SUMS_PER_MESSAGE = 24
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

    def record_start(self, key: GroupKey, *, now: float) -> None:
        """Records the start of a request.

        Args:
            key: The group.
            now: Clock reading, seconds.
        """
        self.advance(now=now)
        self._running_by_group[key] += 1

    def record_end(self, key: GroupKey, *, now: float) -> None:
        """Records the end of a request.

        Args:
            key: The group.
            now: Clock reading, seconds.
        """
        self.advance(now=now)
        self._running_by_group[key] -= 1
        if not self._running_by_group[key]:
            del self._running_by_group[key]

    def advance(self, *, now: float) -> None:
        """Updates the averages to the current time.

        Args:
            now: Clock reading, seconds.
        """
        decay = math.exp(-(now - self._updated_at) / AVERAGING_SECONDS)
        self._updated_at = now
        for key in self.used_by_group.keys() | self._running_by_group.keys():
            used = self.used_by_group.get(key, 0.0) * decay
            used += self._running_by_group[key] * (1.0 - decay)
            self.used_by_group[key] = used
            if used < NEGLIGIBLE_SLOTS and not self._running_by_group[key]:
                del self.used_by_group[key]


@define
class _ReceivedSum:
    usage: UsageSum
    created_at: float


class UsageTable:
    """Holds the recent usage sums of the peers."""

    def __init__(self, *, member_id: str) -> None:
        """Initializes an empty table.

        Args:
            member_id: The agent's own id; received sums of it are ignored.
        """
        self._member_id = member_id
        self._sums_by_agent: dict[str, _ReceivedSum] = {}

    def merge(self, sums: UsageSums, *, now: float) -> None:
        """Merges a message; the newer of two sums of one agent is kept.

        Args:
            sums: The message.
            now: Clock reading, seconds.
        """
        for usage in sums.sums:
            created_at = now - max(0.0, usage.age)
            previous = self._sums_by_agent.get(usage.agent_id)
            if usage.agent_id == self._member_id:
                continue
            if previous is None or previous.created_at < created_at:
                self._sums_by_agent[usage.agent_id] = _ReceivedSum(usage, created_at)

    def recent(self, *, now: float) -> list[UsageSum]:
        """Returns the sums that have not expired.

        Args:
            now: Clock reading, seconds.

        Returns:
            The sums with their current ages, ordered by agent.
        """
        self._sums_by_agent = {
            agent_id: received
            for agent_id, received in self._sums_by_agent.items()
            if now - received.created_at <= SUM_EXPIRY_SECONDS
        }
        return [
            attrs.evolve(received.usage, age=now - received.created_at)
            for _, received in sorted(self._sums_by_agent.items())
        ]

    def message(self, own: UsageSum, *, now: float, random: Random) -> UsageSums:
        """Builds the message for some peers.

        Args:
            own: The agent's own sum.
            now: Clock reading, seconds.
            random: Samples the peers' sums if there are too many.

        Returns:
            The message.
        """
        peer_sums = self.recent(now=now)
        if len(peer_sums) >= MAX_SUMS_PER_MESSAGE:
            peer_sums = random.sample(peer_sums, MAX_SUMS_PER_MESSAGE - 1)
        return UsageSums(sender_id=self._member_id, sums=(own, *peer_sums))


def own_sum(
    *,
    agent_id: str,
    used_by_group: Mapping[GroupKey, float],
    waiting_by_group: Mapping[GroupKey, int],
    busy_fraction: float,
    slot_time: float,
    is_unhealthy: bool,
) -> UsageSum:
    """Builds an agent's own usage sum.

    Args:
        agent_id: The agent.
        used_by_group: Slots in use.
        waiting_by_group: Queued requests.
        busy_fraction: Fraction of slot time in use.
        slot_time: Mean slot time, seconds.
        is_unhealthy: Whether the upstream looks unhealthy.

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
        busy_part=round(busy_fraction, 4),
        slot_time=round(slot_time, 6),
        sick=is_unhealthy,
    )
