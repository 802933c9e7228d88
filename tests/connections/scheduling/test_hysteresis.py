"""Tests of when refusing begins and ends."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest

from siskinshift.connections.scheduling.hysteresis import MIN_DWELL_SECONDS
from siskinshift.connections.scheduling.hysteresis import RefusalState


def test_refusing_begins_above_one_delay_and_ends_below_a_lower_one() -> None:
    """Guards against a single threshold, at which every response changes the state."""
    state = RefusalState()
    waits = [(0.0, 0.9), (1.5, 1.1), (3.0, 0.8), (4.5, 0.4), (6.0, 0.9)]

    refusing = [state.update(w, begins=1.0, ends=0.5, now=now) for now, w in waits]

    assert refusing == [False, True, True, False, False]


@pytest.mark.parametrize("seed", range(1, 11))
def test_refusing_does_not_flap(seed: int) -> None:
    """Guards against two changes within a second at any sequence of delays."""
    rng = Random(seed)
    state = RefusalState()
    now = 0.0
    changes = []
    for _ in range(2000):
        now += rng.uniform(0.0, 0.02)
        before = state.is_refusing
        state.update(rng.uniform(0, 2), begins=1.0, ends=0.5, now=now)
        if state.is_refusing != before:
            changes.append(now)

    assert len(changes) > 5
    gaps = [later - at for at, later in pairwise(changes)]
    assert min(gaps) >= MIN_DWELL_SECONDS
