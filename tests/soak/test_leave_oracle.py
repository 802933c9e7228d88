"""Tests of the check that leaving upstreams receive no opening packets."""

from __future__ import annotations

from siskinshift.standins.connection_ends import UpstreamRecord
from tests.soak.leave_oracle import LeaveOracle


def test_openings_are_violations_some_time_after_the_acknowledgement() -> None:
    oracle = LeaveOracle()
    record = UpstreamRecord(opened_at=[9.0, 10.1, 12.9, 13.1])

    oracle.record_leave(record, now=10.0)

    assert oracle.find_violations() == [13.1]


def test_each_leave_counts_from_its_own_acknowledgement() -> None:
    oracle = LeaveOracle()

    oracle.record_leave(UpstreamRecord(opened_at=[14.0, 17.0]), now=10.0)
    oracle.record_leave(UpstreamRecord(opened_at=[14.0, 17.0]), now=13.5)

    assert oracle.find_violations() == [14.0, 17.0, 17.0]
