"""Tests of the limit on new flows to a cold upstream."""

from __future__ import annotations

from random import Random

import pytest

from siskinshift.connections.warm_up import WINDOW_SECONDS
from siskinshift.connections.warm_up import WarmUpLimit


def _limit(rate: float) -> WarmUpLimit:
    limit = WarmUpLimit()
    limit.rate = rate
    return limit


@pytest.mark.parametrize("rate", [0.5, 1.0, 3.7, 20.0])
@pytest.mark.parametrize("seed", range(5))
def test_no_sliding_second_exceeds_the_rate(rate: float, seed: int) -> None:
    """A domain returns cold and all balancers find it idle: arrivals in clusters."""
    random = Random(seed)
    limit = _limit(rate)
    now = 0.0
    admitted = []
    for _ in range(2000):
        now += random.choice([0.0, 0.001, 0.3]) * random.random()
        if limit.admits(is_cold=True, now=now):
            admitted.append(now)

    most = max(
        sum(1 for at in admitted if start <= at < start + WINDOW_SECONDS)
        for start in admitted
    )
    assert most == max(1, int(rate))


def test_a_service_without_a_declared_rate_is_not_limited() -> None:
    limit = WarmUpLimit()

    assert all(limit.admits(is_cold=True, now=0.0) for _ in range(100))


def test_flows_admitted_while_presumed_warm_count() -> None:
    """An upstream may become cold between two heartbeats."""
    limit = _limit(5.0)
    assert all(limit.admits(is_cold=False, now=0.1 * n) for n in range(5))

    assert not limit.admits(is_cold=True, now=0.5)
    assert limit.admits(is_cold=True, now=1.05)
