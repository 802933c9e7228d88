"""Tests of the bound on repeated faults."""

from __future__ import annotations

from siskinshift.observability.rate_bound import BURST_LINES
from siskinshift.observability.rate_bound import INTERVAL_SECONDS
from siskinshift.observability.rate_bound import KEYS_MAXIMUM
from siskinshift.observability.rate_bound import RateBound


def test_a_flood_of_one_fault_is_logged_once_an_interval() -> None:
    """A forged datagram a millisecond must not fill the log.

    Order: a sender floods an agent for a minute; each datagram is dropped with the
    same fault. Without a bound 60,000 lines hide all others.
    """
    bound = RateBound()
    permits = [bound.permit("bad_header", now=tick / 1000) for tick in range(60_000)]

    lines = [permit for permit in permits if permit]
    assert len(lines) == BURST_LINES + 60 // INTERVAL_SECONDS - 1
    assert sum(line.suppressed for line in lines) + len(lines) <= 60_000
    assert lines[-1].suppressed == INTERVAL_SECONDS * 1000 - 1


def test_faults_do_not_take_each_others_lines() -> None:
    bound = RateBound()
    for _ in range(100):
        bound.permit("bad_header", now=0.0)

    assert bound.permit("hop_limit", now=0.0) is not None


def test_keys_are_bounded() -> None:
    bound = RateBound()
    for number in range(10 * KEYS_MAXIMUM):
        bound.permit(f"key {number}", now=0.0)

    assert len(bound._states_by_key) <= KEYS_MAXIMUM
