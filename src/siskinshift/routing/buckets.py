"""Assignment of a service's buckets to primaries by weighted rendezvous hashing."""

from __future__ import annotations

import hashlib
import math
import sys
from array import array
from functools import lru_cache
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.messages.core import Member


if TYPE_CHECKING:
    from collections.abc import Sequence


BUCKET_COUNT = 1024
NO_PRIMARY = 0xFFFF
HASH_RANGE = float(1 << 32)
HASH_BYTES = 4
# Agents whose services change at the same time; 8 KB each.
MAX_CACHED_AGENTS = 256


@frozen(eq=False)
class BucketTable:
    """Maps each bucket of one service to its primary.

    Attributes:
        agents: Placeable agents ordered by id.
        primaries: Index into `agents` for each bucket, or NO_PRIMARY.
    """

    agents: tuple[Member, ...]
    primaries: array[int]

    def primary_of(self, bucket: int) -> Member | None:
        """Returns the agent that receives new flows of a bucket.

        Args:
            bucket: Bucket number.

        Returns:
            The agent, or None if the service has no placeable agent.
        """
        index = self.primaries[bucket]
        if index == NO_PRIMARY:
            return None
        return self.agents[index]


def bucket_of(flow_hash: int) -> int:
    """Maps a flow to its bucket.

    Args:
        flow_hash: 64-bit flow hash.

    Returns:
        Bucket number.
    """
    return flow_hash % BUCKET_COUNT


@lru_cache(maxsize=MAX_CACHED_AGENTS)
def _agent_logarithms(member_id: str, count: int) -> array[float]:
    # One call computes the hashes of all buckets: one call for each costs four times
    # as much.
    hash_values = array("I")
    hash_values.frombytes(
        hashlib.shake_128(member_id.encode()).digest(count * HASH_BYTES)
    )
    if sys.byteorder == "big":
        hash_values.byteswap()
    log = math.log
    return array("d", [log((value + 0.5) / HASH_RANGE) for value in hash_values])


def _costs(agent: Member, buckets: Sequence[int]) -> list[float]:
    # A bucket is assigned to the agent with the least -ln(u) / weight. This minimizes
    # moves: if one weight changes, only buckets that this agent gains or loses move.
    logarithms = _agent_logarithms(agent.member_id, BUCKET_COUNT)
    scale = -1.0 / agent.weight
    if len(buckets) == BUCKET_COUNT:  # All buckets; callers pass them in order.
        return [scale * value for value in logarithms]
    return [scale * logarithms[bucket] for bucket in buckets]


def build_bucket_table(
    agents: Sequence[Member], previous: BucketTable | None = None
) -> BucketTable:
    """Assigns a primary to each bucket.

    Args:
        agents: Placeable agents of the service, ordered by id.
        previous: An earlier table of the same service, which lowers the cost.

    Returns:
        The table; it depends only on the agents and weights, not on the previous table,
        and is the same on every node.
    """
    if previous is None or not previous.agents:
        return _assign_by_lowest_cost(agents, range(BUCKET_COUNT), _no_primaries())
    previous_weights_by_id = {
        agent.member_id: agent.weight for agent in previous.agents
    }
    indices_by_kept_id = {
        agent.member_id: index
        for index, agent in enumerate(agents)
        if previous_weights_by_id.get(agent.member_id) == agent.weight
    }
    new_indices_by_old_index = [
        indices_by_kept_id.get(agent.member_id, NO_PRIMARY) for agent in previous.agents
    ]
    primaries = _no_primaries()
    unassigned_buckets = []
    for bucket, old_index in enumerate(previous.primaries):
        primaries[bucket] = new_indices_by_old_index[old_index]
        if primaries[bucket] == NO_PRIMARY:
            unassigned_buckets.append(bucket)
    _reassign_changed(agents, indices_by_kept_id, primaries)
    return _assign_by_lowest_cost(agents, unassigned_buckets, primaries)


def _no_primaries() -> array[int]:
    return array("H", [NO_PRIMARY]) * BUCKET_COUNT


def _assign_by_lowest_cost(
    agents: Sequence[Member], buckets: Sequence[int], primaries: array[int]
) -> BucketTable:
    """Assigns the given buckets by comparison of all agents."""
    lowest_costs = [math.inf] * len(buckets)
    for index, agent in enumerate(agents):
        costs = _costs(agent, buckets)
        for bucket, cost, lowest_cost in zip(buckets, costs, lowest_costs, strict=True):
            if cost < lowest_cost:
                primaries[bucket] = index
        lowest_costs = list(map(min, lowest_costs, costs))
    return BucketTable(agents=tuple(agents), primaries=primaries)


def _reassign_changed(
    agents: Sequence[Member],
    indices_by_kept_id: dict[str, int],
    primaries: array[int],
) -> None:
    """Reassigns buckets to new agents and to those whose weight changed."""
    changed_agents = [
        (index, agent)
        for index, agent in enumerate(agents)
        if agent.member_id not in indices_by_kept_id
    ]
    if not changed_agents:
        return
    buckets_by_agent_index: dict[int, list[int]] = {}
    for bucket, index in enumerate(primaries):
        if index != NO_PRIMARY:
            buckets_by_agent_index.setdefault(index, []).append(bucket)
    lowest_costs = [0.0] * BUCKET_COUNT
    for index, buckets in buckets_by_agent_index.items():
        for bucket, cost in zip(buckets, _costs(agents[index], buckets), strict=True):
            lowest_costs[bucket] = cost
    assigned_buckets = sorted(
        bucket for owned in buckets_by_agent_index.values() for bucket in owned
    )
    for index, agent in changed_agents:
        for bucket, cost in zip(
            assigned_buckets, _costs(agent, assigned_buckets), strict=True
        ):
            # At equal costs the order of ids decides, as in a full build.
            if (cost, index) < (lowest_costs[bucket], primaries[bucket]):
                lowest_costs[bucket] = cost
                primaries[bucket] = index
