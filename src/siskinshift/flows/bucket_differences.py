"""Shortens the lists of buckets in hand-over messages for their way as JSON.

A claim of all 1,024 buckets is 4.9 KB of JSON as numbers and 2 KB as differences.
When a whole service starts, each agent sends several to each peer, and longer ones
spent the budget of hand-over messages: buckets settled seconds late.
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
    """Makes the form of a message that is sent.

    Args:
        notes: The message; the order of buckets in it means nothing.

    Returns:
        The message with differences in place of buckets.
    """
    return attrs.evolve(
        notes,
        claimed_buckets=_differences(notes.claimed_buckets),
        listed_buckets=_differences(notes.listed_buckets),
        accepted_buckets=_differences(notes.accepted_buckets),
        audited_buckets=_differences(notes.audited_buckets),
    )


def from_differences(notes: FlowNotes) -> FlowNotes:
    """Reads the form of a message that was sent.

    Args:
        notes: The message with differences.

    Returns:
        The message with its buckets in order.
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
