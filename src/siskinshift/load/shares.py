"""Holds the groups' shares over the whole service by shifting local weights.

Pattern: fair agents, unfair service (see `usage`). Each agent compares what a group got
over the service with what it is owed, and shifts the weight that the group has in its
own fair queue.

Without damping all agents correct the same difference at once, overshoot, and weights
swing. So one step goes only half the way (the square root of the ratio), by a fifth at
most, and a factor stays within 1/4 to 4. At two steps a second, that is eight times the
pace at which the averages of `usage` follow; smaller steps leave a difference standing
for tens of seconds. A group that does not wait has what it wants: its factor goes back
to 1, so that no old correction meets its next burst.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from attrs import define


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinshift.load.usage import GroupKey
    from siskinshift.messages.load import UsageSum


STEP_MAXIMUM = 1.2
FACTOR_MAXIMUM = 4.0
DAMPING_EXPONENT = 0.5
RETURN_PART = 0.1
USED_FLOOR = 1e-3
# Below this part of what it is owed a group counts as held back by others; the margin
# keeps groups that all have their part from asking peers for each request.
UNDER_SHARE_PART = 0.95


@define
class _GroupTotal:
    used: float = 0.0
    waiting: int = 0


class ServiceShares:
    """Weights of groups in the local fair queue."""

    def __init__(self) -> None:
        self._share_by_group: dict[GroupKey, float] = {}
        self._factor_by_group: dict[GroupKey, float] = {}
        self._totals_by_group: dict[GroupKey, _GroupTotal] = {}

    def configure(self, share_by_group: Mapping[GroupKey, float]) -> None:
        """Takes the configured shares.

        Args:
            share_by_group: Share of each group, above 0.
        """
        self._share_by_group = dict(share_by_group)
        self._factor_by_group = {
            key: factor
            for key, factor in self._factor_by_group.items()
            if key in self._share_by_group
        }

    def share(self, key: GroupKey) -> float:
        """Reads a group's configured share.

        Args:
            key: The group.

        Returns:
            The share; 1 for a group that is not configured here yet.
        """
        return self._share_by_group.get(key, 1.0)

    def weight(self, key: GroupKey) -> float:
        """Reads a group's weight in the local fair queue.

        Args:
            key: The group.

        Returns:
            The share times its correction.
        """
        return self.share(key) * self._factor_by_group.get(key, 1.0)

    def is_under_share(self, key: GroupKey) -> bool:
        """Says whether others hold slots that a group is owed.

        Args:
            key: A group with waiting work.

        Returns:
            True when the group uses no more than its part of the slots in use and
            another group of its service is there.
        """
        totals = self._totals_of(key[0])
        total = sum(entry.used for entry in totals.values())
        others = [other for other in totals if other != key]
        if not others or total <= 0:
            return False
        shares = sum(self.share(other) for other in others) + self.share(key)
        owed = total * self.share(key) / shares
        return totals.get(key, _GroupTotal()).used <= owed * UNDER_SHARE_PART

    def shift(self, sums: Iterable[UsageSum]) -> None:
        """Goes one damped step towards the shares owed.

        Args:
            sums: The own sum and recent ones of the peers.
        """
        self._totals_by_group = _totals(sums)
        for service_id in {key[0] for key in self._totals_by_group}:
            self._shift_service(self._totals_of(service_id))

    def _shift_service(self, totals: dict[GroupKey, _GroupTotal]) -> None:
        owed = self._owed(totals)
        for key, total in totals.items():
            factor = self._factor_by_group.get(key, 1.0)
            if not total.waiting or len(totals) < 2:
                self._factor_by_group[key] = factor + RETURN_PART * (1.0 - factor)
                continue
            ratio = max(owed[key], USED_FLOOR) / max(total.used, USED_FLOOR)
            step = ratio**DAMPING_EXPONENT
            step = min(STEP_MAXIMUM, max(1 / STEP_MAXIMUM, step))
            bounded = min(FACTOR_MAXIMUM, max(1 / FACTOR_MAXIMUM, factor * step))
            self._factor_by_group[key] = bounded

    def _owed(self, totals: dict[GroupKey, _GroupTotal]) -> dict[GroupKey, float]:
        # Max-min fairness: what a group does not ask for is lent by share.
        owed: dict[GroupKey, float] = {}
        left = sum(total.used for total in totals.values())
        open_keys = set(totals)
        while open_keys:
            shares = sum(self.share(key) for key in open_keys)
            content = {
                key
                for key in open_keys
                if not totals[key].waiting
                and totals[key].used <= left * self.share(key) / shares
            }
            if not content:
                owed.update({k: left * self.share(k) / shares for k in open_keys})
                return owed
            owed.update({key: totals[key].used for key in content})
            left -= sum(totals[key].used for key in content)
            open_keys -= content
        return owed

    def _totals_of(self, service_id: str) -> dict[GroupKey, _GroupTotal]:
        return {
            key: total
            for key, total in self._totals_by_group.items()
            if key[0] == service_id
        }


def _totals(sums: Iterable[UsageSum]) -> dict[GroupKey, _GroupTotal]:
    totals: dict[GroupKey, _GroupTotal] = defaultdict(_GroupTotal)
    for usage in sums:
        for group in usage.groups:
            total = totals[(group.service_id, group.group_id)]
            total.used += group.used
            total.waiting += group.waiting
    return dict(totals)
