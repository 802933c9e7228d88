"""Tests of a balancer's cache of flow records."""

from __future__ import annotations

from siskinshift.connections.flow_records import GENERATION_SECONDS
from siskinshift.connections.flow_records import MAX_RECORDS
from siskinshift.connections.flow_records import FlowRecord
from siskinshift.connections.flow_records import FlowRecords
from tests.connections.builders import flow_of


def test_a_used_flow_is_kept_and_an_idle_one_dropped() -> None:
    records = FlowRecords()
    used = records.add(FlowRecord(flow_of(1)))
    records.add(FlowRecord(flow_of(2)))

    for generation in (1, 2):
        records.drop_idle(now=generation * (GENERATION_SECONDS + 1))
        if generation == 1:
            assert records.find(flow_of(1)) is used

    assert records.find(flow_of(1)) is used
    assert records.find(flow_of(2)) is None
    assert list(records) == [used]
    assert records.next_due > 2 * GENERATION_SECONDS


def test_memory_is_bounded_while_flows_arrive() -> None:
    """A client opens far more flows than a balancer keeps records of."""
    records = FlowRecords()

    for number in range(2 * MAX_RECORDS):
        records.add(FlowRecord(number.to_bytes(12, "big")))

    assert len(records) <= MAX_RECORDS
    newest = (2 * MAX_RECORDS - 1).to_bytes(12, "big")
    assert records.find(newest) is not None
    records.drop(newest)
    assert records.find(newest) is None
