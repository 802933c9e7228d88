"""Writes structured log lines to standard output without blocking the caller.

Lines are appended to a bounded queue and written in batches by a separate thread, so
that a blocked output pipe stalls only that thread. Lines that exceed the queue size
or the rate limit are dropped, and the next line reports how many were dropped.
"""

from __future__ import annotations

import os
import threading
import time
from collections import deque
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.control.documents import encode_json
from siskinshift.observability.node_metrics import NodeMetrics


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock


EventValue: TypeAlias = str | int | float | bool | None

# Lines that are still queued when the process is killed are lost.
WRITE_INTERVAL_SECONDS = 0.2
# 1000 lines take about 200 KB and hold two seconds of decisions at the peak rate.
MAX_QUEUED_LINES = 1000
# Token bucket for decisions: rate and burst exceed the rate at which one instance
# opens flows under normal load.
DECISIONS_PER_SECOND = 100.0
DECISIONS_BURST = 300.0
STDOUT_DESCRIPTOR = 1


class EventLog:
    """Structured log of one process.

    Attributes:
        dropped: Number of lines dropped since the start.
        metrics: Metrics of the process; they count all decisions, including those that
            are not logged.
    """

    def __init__(
        self,
        *,
        process: str,
        clock: Clock,
        descriptor: int = STDOUT_DESCRIPTOR,
        wall_clock: Clock = time.time,
    ) -> None:
        """Initializes the log.

        Args:
            process: Process name, included in each line.
            clock: Monotonic clock of the process.
            descriptor: File descriptor that lines are written to.
            wall_clock: Clock for the timestamp that readers compare across processes.
                It may jump, so it is used for nothing else.
        """
        self.dropped = 0
        self.metrics = NodeMetrics()
        self._process = process
        self._clock = clock
        self._descriptor = descriptor
        self._wall_clock = wall_clock
        self._queued_lines: deque[bytes] = deque()
        self._wake = threading.Event()
        self._tokens = DECISIONS_BURST
        self._refilled_at = clock()
        self._dropped_reported = 0

    def decision(self, event: str, **fields: EventValue) -> None:
        """Logs a decision about a flow, subject to the rate limit.

        Args:
            event: The decision.
            fields: Inputs of the decision, such as ages and versions, and its outcome.
        """
        self.metrics.count_decision(event, _extract_reason(fields))
        now = self._clock()
        refilled_tokens = (now - self._refilled_at) * DECISIONS_PER_SECOND
        self._tokens = min(DECISIONS_BURST, self._tokens + refilled_tokens)
        self._refilled_at = now
        if self._tokens < 1:
            self.dropped += 1
            return
        self._tokens -= 1
        self._enqueue(event, now, fields)

    def fact(self, event: str, **fields: EventValue) -> None:
        """Logs a rare event without a rate limit.

        Rare events are a start, a stop, a reload, or a dependency that becomes
        unavailable or available again.

        Args:
            event: The event.
            fields: Details of the event.
        """
        self.metrics.count_decision(event, "")
        self._enqueue(event, self._clock(), fields)

    def write_until(self, stopping: threading.Event) -> None:
        """Writes queued lines periodically, and once more before it returns.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.wait(WRITE_INTERVAL_SECONDS):
            self.write()
        self.write()

    def _enqueue(self, event: str, now: float, fields: dict[str, EventValue]) -> None:
        if len(self._queued_lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line: dict[str, EventValue] = {
            "t": round(now, 4),
            "at": round(self._wall_clock(), 3),
            "process": self._process,
            "event": event,
            **fields,
        }
        if self.dropped != self._dropped_reported:
            line["dropped_lines"] = self.dropped - self._dropped_reported
            self._dropped_reported = self.dropped
        self._queued_lines.append(encode_json(line))

    def write(self) -> None:
        """Writes all queued lines."""
        if not self._queued_lines:
            return
        lines = [self._queued_lines.popleft() for _ in range(len(self._queued_lines))]
        data = memoryview(b"\n".join(lines) + b"\n")
        try:
            while data:
                data = data[os.write(self._descriptor, data) :]
        except OSError:
            # The reader closed the pipe. The next line reports how many were lost.
            self.dropped += len(lines)


def _extract_reason(fields: dict[str, EventValue]) -> str:
    reason = fields.get("reason") or fields.get("verdict") or ""
    return str(reason)
