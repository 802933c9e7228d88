"""Delta-encodes the bucket lists of handover messages, which are sent as JSON.

A claim of all 1,024 buckets is 4.9 KB of JSON as numbers and 2 KB as differences.
When a whole service starts, each agent sends several claims to each peer. Larger
messages exhausted the byte budget of the handover and delayed claims by seconds.
"""

from __future__ import annotations

from itertools import accumulate
from itertools import pairwise
from typing import TYPE_CHECKING

import attrs


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.messages.flows import FlowNotes


def to_differences(notes: FlowNotes) -> FlowNotes:
    """Encodes the bucket lists of a message for sending.

    Args:
        notes: The message; the order of its buckets is not preserved.

    Returns:
        The message with differences instead of bucket numbers.
    """
    return attrs.evolve(
        notes,
        claimed_buckets=_differences(notes.claimed_buckets),
        listed_buckets=_differences(notes.listed_buckets),
        accepted_buckets=_differences(notes.accepted_buckets),
        audited_buckets=_differences(notes.audited_buckets),
    )


def from_differences(notes: FlowNotes) -> FlowNotes:
    """Decodes the bucket lists of a received message.

    Args:
        notes: The message with differences.

    Returns:
        The message with sorted bucket numbers.
    """
    return attrs.evolve(
        notes,
        claimed_buckets=tuple(accumulate(notes.claimed_buckets)),
        listed_buckets=tuple(accumulate(notes.listed_buckets)),
        accepted_buckets=tuple(accumulate(notes.accepted_buckets)),
        audited_buckets=tuple(accumulate(notes.audited_buckets)),
    )


def _differences(buckets: Iterable[int]) -> tuple[int, ...]:
    ordered = sorted(buckets)
    return (*ordered[:1], *(right - left for left, right in pairwise(ordered)))
