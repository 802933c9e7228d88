"""Tests of which openings count as retries."""

from __future__ import annotations

from siskinshift.connections.scheduling.retries import MAX_REMEMBERED_FLOWS
from siskinshift.connections.scheduling.retries import RETRY_WINDOW_SECONDS
from siskinshift.connections.scheduling.retries import RetryDetector
from tests.connections.scheduling.load import flow_key


def test_one_refused_flow_explains_one_retry_of_its_host() -> None:
    """Guards against counting new requests of a busy host as retries."""
    retries = RetryDetector()
    for number in range(2 * MAX_REMEMBERED_FLOWS):
        retries.record_end(flow_key(number, 1), now=0.0)
    retries.record_end(flow_key(1, 2), now=2.0)

    assert not retries.is_retry(flow_key(2, 1), now=2.0)
    assert retries.is_retry(flow_key(3, 2), now=2.0)
    assert not retries.is_retry(flow_key(4, 2), now=2.0)


def test_a_retransmitted_opening_and_a_late_one_are_first_attempts() -> None:
    """Guards against ranking a first attempt behind others."""
    retries = RetryDetector()
    retries.record_end(flow_key(1, 1), now=0.0)
    assert not retries.is_retry(flow_key(1, 1), now=0.2)
    retries.record_end(flow_key(2, 1), now=0.2)

    assert not retries.is_retry(flow_key(3, 1), now=0.3 + RETRY_WINDOW_SECONDS)
