"""Buckets of a service and their primaries by weighted rendezvous hashing."""

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
# Agents of services that change together; 8 KB each.
CACHED_AGENTS = 256


@frozen(eq=False)
class BucketTable:
    """Primary of each bucket of one service.

    Attributes:
        agents: Placeable agents ordered by id.
        primaries: Index into `agents` for each bucket, or NO_PRIMARY.
    """

    agents: tuple[Member, ...]
    primaries: array[int]

    def primary_of(self, bucket: int) -> Member | None:
        """Names the agent that takes new flows of a bucket.

        Args:
            bucket: Bucket number.

        Returns:
            The agent, or None when the service has no placeable agent.
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


@lru_cache(maxsize=CACHED_AGENTS)
def _agent_logarithms(member_id: str, count: int) -> array[float]:
    # One call hashes for all buckets: a call for each costs four times as much.
    hashes = array("I")
    hashes.frombytes(hashlib.shake_128(member_id.encode()).digest(count * HASH_BYTES))
    if sys.byteorder == "big":
        hashes.byteswap()
    log = math.log
    return array("d", [log((value + 0.5) / HASH_RANGE) for value in hashes])


def _costs(agent: Member, buckets: Sequence[int]) -> list[float]:
    # The agent with the least -ln(u) / weight wins a bucket. It keeps moves minimal:
    # when one weight changes only buckets move that this agent wins or loses.
    logarithms = _agent_logarithms(agent.member_id, BUCKET_COUNT)
    scale = -1.0 / agent.weight
    if len(buckets) == BUCKET_COUNT:  # All of them: callers keep them in order.
        return [scale * value for value in logarithms]
    return [scale * logarithms[bucket] for bucket in buckets]


def build_bucket_table(
    agents: Sequence[Member], previous: BucketTable | None = None
) -> BucketTable:
    """Chooses a primary for each bucket.

    Args:
        agents: Placeable agents of the service, ordered by id.
        previous: A table of the same service to start from, which makes it cheaper.

    Returns:
        The table, the same for the same agents and weights on every node, whatever
        the previous table was.
    """
    if previous is None or not previous.agents:
        return _build(agents, range(BUCKET_COUNT), _no_primaries())
    weights_before = {agent.member_id: agent.weight for agent in previous.agents}
    index_by_kept_id = {
        agent.member_id: index
        for index, agent in enumerate(agents)
        if weights_before.get(agent.member_id) == agent.weight
    }
    new_indices = [
        index_by_kept_id.get(agent.member_id, NO_PRIMARY) for agent in previous.agents
    ]
    primaries = _no_primaries()
    open_buckets = []
    for bucket, old_index in enumerate(previous.primaries):
        primaries[bucket] = new_indices[old_index]
        if primaries[bucket] == NO_PRIMARY:
            open_buckets.append(bucket)
    _challenge(agents, index_by_kept_id, primaries)
    return _build(agents, open_buckets, primaries)


def _no_primaries() -> array[int]:
    return array("H", [NO_PRIMARY]) * BUCKET_COUNT


def _build(
    agents: Sequence[Member], buckets: Sequence[int], primaries: array[int]
) -> BucketTable:
    """Fills the given buckets by comparing all agents."""
    least = [math.inf] * len(buckets)
    for index, agent in enumerate(agents):
        costs = _costs(agent, buckets)
        for bucket, cost, known in zip(buckets, costs, least, strict=True):
            if cost < known:
                primaries[bucket] = index
        least = list(map(min, least, costs))
    return BucketTable(agents=tuple(agents), primaries=primaries)


def _challenge(
    agents: Sequence[Member],
    index_by_kept_id: dict[str, int],
    primaries: array[int],
) -> None:
    """Lets new agents, and those whose weight changed, take buckets of the others."""
    challengers = [
        (index, agent)
        for index, agent in enumerate(agents)
        if agent.member_id not in index_by_kept_id
    ]
    if not challengers:
        return
    buckets_by_index: dict[int, list[int]] = {}
    for bucket, index in enumerate(primaries):
        if index != NO_PRIMARY:
            buckets_by_index.setdefault(index, []).append(bucket)
    least = [0.0] * BUCKET_COUNT
    for index, buckets in buckets_by_index.items():
        for bucket, cost in zip(buckets, _costs(agents[index], buckets), strict=True):
            least[bucket] = cost
    held = sorted(bucket for owned in buckets_by_index.values() for bucket in owned)
    for index, agent in challengers:
        for bucket, cost in zip(held, _costs(agent, held), strict=True):
            # The order of ids decides between equals, as in a full build.
            if (cost, index) < (least[bucket], primaries[bucket]):
                least[bucket] = cost
                primaries[bucket] = index
