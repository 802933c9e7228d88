"""Tests of the check that leaving upstreams receive no opening packets."""

from __future__ import annotations

from siskinshift.standins.connection_ends import UpstreamRecord
from tests.soak.leave_oracle import LeaveOracle
from tests.soak.store_faults import StoreFaults


def test_openings_are_violations_some_time_after_the_acknowledgement() -> None:
    oracle = LeaveOracle(StoreFaults())
    record = UpstreamRecord(opened_at=[9.0, 10.1, 12.9, 13.1])

    oracle.record_leave(record, now=10.0)

    assert oracle.find_violations() == [13.1]


def test_a_fault_of_the_store_since_the_leave_excuses_openings() -> None:
    faults = StoreFaults()
    oracle = LeaveOracle(faults)
    faults.record("kill", 10.5, 11.0)
    faults.record("refuse", 15.0, 16.0)

    oracle.record_leave(UpstreamRecord(opened_at=[14.0, 17.0]), now=10.0)

    assert oracle.find_violations() == [14.0]
