"""Service-wide fair shares of groups by adjustment of local weights.

Agents that are fair locally may be unfair over the whole service (see `usage`). So each
agent compares the usage of a group over the service with its fair usage and adjusts the
weight of the group in its own fair queue.

All agents correct the same difference at once, so full corrections would overshoot and
the weights would oscillate. A step corrects half of the difference (the square root of
the ratio) and at most a fifth, and a factor stays within 1/4 to 4. At two steps a
second, that is eight times the rate at which the averages of `usage` follow; smaller
steps leave a difference in place for tens of seconds. A group without queued requests
has no unmet demand: its factor returns to 1, so that no old correction affects its next
burst.
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


MAX_STEP_FACTOR = 1.2
MAX_WEIGHT_FACTOR = 4.0
DAMPING_EXPONENT = 0.5
FACTOR_RETURN_FRACTION = 0.1
MIN_USED_SLOTS = 1e-3
# Below this fraction of its fair usage a group counts as under its share. The margin
# keeps groups that all have their share from querying peers for each request.
UNDER_SHARE_FRACTION = 0.95


@define
class _GroupTotal:
    used: float = 0.0
    waiting: int = 0


class ServiceShares:
    """Computes the weights of groups in the local fair queue."""

    def __init__(self) -> None:
        self._shares_by_group: dict[GroupKey, float] = {}
        self._factors_by_group: dict[GroupKey, float] = {}
        self._totals_by_group: dict[GroupKey, _GroupTotal] = {}

    def configure(self, shares_by_group: Mapping[GroupKey, float]) -> None:
        """Sets the configured shares.

        Args:
            shares_by_group: Share of each group, above 0.
        """
        self._shares_by_group = dict(shares_by_group)
        self._factors_by_group = {
            key: factor
            for key, factor in self._factors_by_group.items()
            if key in self._shares_by_group
        }

    def share(self, key: GroupKey) -> float:
        """Returns a group's configured share.

        Args:
            key: The group.

        Returns:
            The share; 1 for a group that is not configured here yet.
        """
        return self._shares_by_group.get(key, 1.0)

    def weight(self, key: GroupKey) -> float:
        """Returns a group's weight in the local fair queue.

        Args:
            key: The group.

        Returns:
            The share times its correction factor.
        """
        return self.share(key) * self._factors_by_group.get(key, 1.0)

    def is_under_share(self, key: GroupKey) -> bool:
        """Returns whether a group uses less than its share because of other groups.

        Args:
            key: A group with queued requests.

        Returns:
            True if the group uses no more than `UNDER_SHARE_FRACTION` of its share of
            the slots in use and its service has another active group.
        """
        totals = self._totals_of(key[0])
        total = sum(entry.used for entry in totals.values())
        others = [other for other in totals if other != key]
        if not others or total <= 0:
            return False
        shares = sum(self.share(other) for other in others) + self.share(key)
        fair_usage = total * self.share(key) / shares
        return totals.get(key, _GroupTotal()).used <= fair_usage * UNDER_SHARE_FRACTION

    def adjust(self, sums: Iterable[UsageSum]) -> None:
        """Moves the weights one damped step towards fair usage.

        Args:
            sums: The agent's own usage sum and recent ones of the peers.
        """
        self._totals_by_group = _sum_by_group(sums)
        for service_id in {key[0] for key in self._totals_by_group}:
            self._adjust_service(self._totals_of(service_id))

    def _adjust_service(self, totals: dict[GroupKey, _GroupTotal]) -> None:
        fair_usage_by_group = self._fair_usage(totals)
        for key, total in totals.items():
            factor = self._factors_by_group.get(key, 1.0)
            if not total.waiting or len(totals) < 2:
                self._factors_by_group[key] = factor + FACTOR_RETURN_FRACTION * (
                    1.0 - factor
                )
                continue
            ratio = max(fair_usage_by_group[key], MIN_USED_SLOTS) / max(
                total.used, MIN_USED_SLOTS
            )
            step = ratio**DAMPING_EXPONENT
            step = min(MAX_STEP_FACTOR, max(1 / MAX_STEP_FACTOR, step))
            new_factor = min(
                MAX_WEIGHT_FACTOR, max(1 / MAX_WEIGHT_FACTOR, factor * step)
            )
            self._factors_by_group[key] = new_factor

    def _fair_usage(self, totals: dict[GroupKey, _GroupTotal]) -> dict[GroupKey, float]:
        # Max-min fairness: slots that a group does not use are divided among the other
        # groups by share.
        fair_usage_by_group: dict[GroupKey, float] = {}
        remaining = sum(total.used for total in totals.values())
        unresolved_keys = set(totals)
        while unresolved_keys:
            shares = sum(self.share(key) for key in unresolved_keys)
            satisfied_keys = {
                key
                for key in unresolved_keys
                if not totals[key].waiting
                and totals[key].used <= remaining * self.share(key) / shares
            }
            if not satisfied_keys:
                fair_usage_by_group.update(
                    {k: remaining * self.share(k) / shares for k in unresolved_keys}
                )
                return fair_usage_by_group
            fair_usage_by_group.update(
                {key: totals[key].used for key in satisfied_keys}
            )
            remaining -= sum(totals[key].used for key in satisfied_keys)
            unresolved_keys -= satisfied_keys
        return fair_usage_by_group

    def _totals_of(self, service_id: str) -> dict[GroupKey, _GroupTotal]:
        return {
            key: total
            for key, total in self._totals_by_group.items()
            if key[0] == service_id
        }


def _sum_by_group(sums: Iterable[UsageSum]) -> dict[GroupKey, _GroupTotal]:
    totals: dict[GroupKey, _GroupTotal] = defaultdict(_GroupTotal)
    for usage in sums:
        for group in usage.groups:
            total = totals[(group.service_id, group.group_id)]
            total.used += group.used
            total.waiting += group.waiting
    return dict(totals)
