"""Tests of the rate limit on repeated faults."""

from __future__ import annotations

from siskinshift.observability.rate_limiter import BURST_LINES
from siskinshift.observability.rate_limiter import INTERVAL_SECONDS
from siskinshift.observability.rate_limiter import MAX_KEYS
from siskinshift.observability.rate_limiter import LogRateLimiter


def test_a_repeated_fault_is_logged_once_per_interval() -> None:
    """One forged datagram per millisecond for a minute must not flood the log.

    Each datagram is dropped with the same fault. Without a limit, 60,000 lines would
    bury all others.
    """
    limiter = LogRateLimiter()
    permits = [limiter.permit("bad_header", now=tick / 1000) for tick in range(60_000)]

    lines = [permit for permit in permits if permit]
    assert len(lines) == BURST_LINES + 60 // INTERVAL_SECONDS - 1
    assert sum(line.suppressed for line in lines) + len(lines) <= 60_000
    assert lines[-1].suppressed == INTERVAL_SECONDS * 1000 - 1


def test_faults_are_limited_independently() -> None:
    limiter = LogRateLimiter()
    for _ in range(100):
        limiter.permit("bad_header", now=0.0)

    assert limiter.permit("hop_limit", now=0.0) is not None


def test_number_of_keys_is_bounded() -> None:
    limiter = LogRateLimiter()
    for number in range(10 * MAX_KEYS):
        limiter.permit(f"key {number}", now=0.0)

    assert len(limiter._states_by_key) <= MAX_KEYS
