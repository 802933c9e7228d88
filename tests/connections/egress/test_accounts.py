"""Tests of the figures and log lines of the scheduler."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING

from siskinshift.bench.egress_link import datagram
from siskinshift.connections.egress.accounts import DROP_LOG_INTERVAL_SECONDS
from siskinshift.connections.egress.accounts import FULL
from siskinshift.connections.egress.accounts import EgressAccounts
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.egress.waiting_packet import WaitingPacket
from siskinshift.observability.event_log import EventLog


if TYPE_CHECKING:
    from pathlib import Path


def test_drops_are_logged_once_a_second_and_all_are_counted(tmp_path: Path) -> None:
    """Guards against drops that fill the log, and last drops that are never logged."""
    path = tmp_path / "log"
    descriptor = os.open(path, os.O_CREAT | os.O_WRONLY)
    log = EventLog(process="b", clock=lambda: 0.0, descriptor=descriptor)
    accounts = EgressAccounts(log)
    packet = WaitingPacket(datagram(TrafficClass.BULK, length=1200), 1272, 0.5)
    for now in (1.0, 1.0, 1.5, 1.0 + DROP_LOG_INTERVAL_SECONDS):
        accounts.record_drop(packet, FULL, waiting_bytes=600_000, now=now)
    accounts.record_drop(packet, FULL, waiting_bytes=600_000, now=2.5)
    assert accounts.next_log_at == 2.0 + DROP_LOG_INTERVAL_SECONDS
    accounts.log_due_drops(waiting_bytes=0, now=2.9)
    accounts.log_due_drops(waiting_bytes=0, now=3.0)
    assert accounts.next_log_at == float("inf")
    accounts.record_drop(packet, FULL, waiting_bytes=600_000, now=3.1)
    accounts.log_due_drops(waiting_bytes=0, now=3.2, is_final=True)
    accounts.record_wait(TrafficClass.BULK, 0.04)
    accounts.export(log.metrics, waiting_bytes=600_000)
    log.write()
    os.close(descriptor)

    lines = [json.loads(line) for line in path.read_text().splitlines()]
    assert [line["packets"] for line in lines] == [1, 3, 1, 1]
    assert (lines[0]["reason"], lines[0]["traffic"]) == ("full", "bulk")
    assert (lines[0]["waited"], lines[0]["waiting_bytes"]) == (0.5, 600_000)
    rendered = log.metrics.render()
    assert "siskinshift_egress_waiting_bytes 600000\n" in rendered
    assert "siskinshift_egress_dropped_packets_bulk_full 6\n" in rendered
    assert "siskinshift_egress_dropped_bytes_bulk_full 7632\n" in rendered
    assert "siskinshift_egress_delayed_packets_bulk 1\n" in rendered
    assert "siskinshift_egress_wait_bulk_seconds_count 1\n" in rendered
