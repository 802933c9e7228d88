"""Tests of the log events and pauses during an outage of the store."""

from __future__ import annotations

from random import Random

from siskinshift.connections.store_availability import StoreAvailability
from siskinshift.kv.guard import Backoff
from tests.connections.builders import quiet_log


def test_an_outage_logs_two_events_and_backs_off() -> None:
    log = quiet_log()
    retry = Backoff(0.2, 0.8)
    availability = StoreAvailability("store", retry=retry, random=Random(1), log=log)

    pauses = [availability.record_failure(OSError("refused")) for _ in range(5)]
    assert availability.is_unavailable
    availability.record_success()
    availability.record_success()

    assert not availability.is_unavailable
    bounds = (0.2, 0.4, 0.8, 0.8, 0.8)
    assert all(b / 2 <= p <= b for p, b in zip(pauses, bounds, strict=True))
    text = log.metrics.render()
    assert 'event="store lost",reason=""} 1' in text
    assert 'event="store regained",reason=""} 1' in text
