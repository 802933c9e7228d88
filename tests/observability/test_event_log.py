"""Tests of the structured log lines on standard output."""

from __future__ import annotations

import os
import threading

import orjson

from siskinshift.observability.event_log import DECISIONS_BURST
from siskinshift.observability.event_log import MAX_QUEUED_LINES
from siskinshift.observability.event_log import EventLog


def _read_lines(descriptor: int) -> list[dict[str, object]]:
    os.set_blocking(descriptor, False)
    data = os.read(descriptor, 1 << 20)
    return [orjson.loads(line) for line in data.splitlines()]


def test_a_line_contains_process_time_event_and_fields() -> None:
    reader, writer = os.pipe()
    log = EventLog(
        process="agent-1",
        clock=lambda: 7.5,
        descriptor=writer,
        wall_clock=lambda: 1000.25,
    )

    log.decision("reset", flow="a>b", reason="no route", configuration=4)
    log.write()

    assert _read_lines(reader) == [
        {
            "t": 7.5,
            "at": 1000.25,
            "process": "agent-1",
            "event": "reset",
            "flow": "a>b",
            "reason": "no route",
            "configuration": 4,
        }
    ]


def test_the_rate_is_limited_and_dropped_lines_are_reported() -> None:
    """A burst of thousands of decisions per second must not flood the log."""
    now = 0.0
    reader, writer = os.pipe()
    log = EventLog(process="agent-1", clock=lambda: now, descriptor=writer)

    for _ in range(int(DECISIONS_BURST) + 50):
        log.decision("open")
    now = 1.0
    log.decision("open")
    log.write()

    lines = _read_lines(reader)
    assert len(lines) == int(DECISIONS_BURST) + 1
    assert lines[-1]["dropped_lines"] == 50


def test_a_blocked_reader_does_not_block_the_caller() -> None:
    """A hung log collector must not stall decisions.

    Once the pipe is full, only the writer thread may block.
    """
    _, writer = os.pipe()
    log = EventLog(process="agent-1", clock=lambda: 0.0, descriptor=writer)
    stopping = threading.Event()
    thread = threading.Thread(target=log.write_until, args=(stopping,), daemon=True)
    thread.start()

    for _ in range(3 * MAX_QUEUED_LINES):
        log.fact("state", text="x" * 100)

    assert log.dropped >= MAX_QUEUED_LINES
    os.close(writer)


def test_a_closed_pipe_is_not_an_error() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    log = EventLog(process="agent-1", clock=lambda: 0.0, descriptor=writer)
    log.fact("started")

    log.write()

    assert log.dropped == 1
