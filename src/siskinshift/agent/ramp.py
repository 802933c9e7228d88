"""Steps by which an agent joins, so that it does not take flows blind or all at once.

Load pattern: a cold start. A new agent at full weight would get its whole part of new
flows while its upstream is cold, and callers of these flows would wait. Each step
moves buckets, and each move costs notes, so there are few steps.
"""

from __future__ import annotations


FULL_WEIGHT = 1000
# Doubling: the first step shows whether the upstream works at all.
RAMP_WEIGHTS = (125, 250, 500, FULL_WEIGHT)


def weight_after(elapsed: float, *, ramp_time: float) -> int:
    """Gives the weight of an agent that became ready some time ago.

    Args:
        elapsed: Time since it became ready, seconds.
        ramp_time: Time after which it has its full weight, seconds.

    Returns:
        A weight from RAMP_WEIGHTS.
    """
    if ramp_time <= 0 or elapsed >= ramp_time:
        return FULL_WEIGHT
    steps = len(RAMP_WEIGHTS) - 1
    return RAMP_WEIGHTS[int(steps * elapsed / ramp_time)]
