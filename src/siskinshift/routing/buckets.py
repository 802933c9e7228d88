"""Buckets of a service and their primaries by weighted rendezvous hashing."""

from __future__ import annotations

import math
from array import array
from typing import TYPE_CHECKING

import xxhash
from attrs import frozen

from siskinshift.messages.core import Member


if TYPE_CHECKING:
    from collections.abc import Sequence


BUCKET_COUNT = 1024
NO_PRIMARY = 0xFFFF
HASH_RANGE = float(1 << 64)

_BUCKET_KEYS = tuple(bucket.to_bytes(2, "big") for bucket in range(BUCKET_COUNT))


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


def _agent_scores(agent: Member) -> list[float]:
    # -weight / ln(u) keeps moves minimal when one weight changes: only buckets
    # that the changed agent wins or loses move.
    seed = xxhash.xxh3_64_intdigest(agent.member_id.encode())
    weight = float(agent.weight)
    digest = xxhash.xxh3_64_intdigest
    log = math.log
    return [
        -weight / log((digest(key, seed) + 0.5) / HASH_RANGE) for key in _BUCKET_KEYS
    ]


def build_bucket_table(agents: Sequence[Member]) -> BucketTable:
    """Chooses a primary for each bucket.

    Args:
        agents: Placeable agents of the service, ordered by id.

    Returns:
        The table, the same for the same agents and weights on every node.
    """
    primaries = array("H", [NO_PRIMARY]) * BUCKET_COUNT
    best = [-1.0] * BUCKET_COUNT
    for index, agent in enumerate(agents):
        for bucket, score in enumerate(_agent_scores(agent)):
            if score > best[bucket]:
                best[bucket] = score
                primaries[bucket] = index
    return BucketTable(agents=tuple(agents), primaries=primaries)
