"""Recognizes openings that are probably retries of a refused or abandoned flow.

Load: callers of a burst return up to twice, each time with a new flow. If retries
compete with first attempts, the slots go to requests whose time is nearly used up. The
packets do not tell a retry; a new flow of the same host shortly after one of its flows
was refused or dropped is taken for one. Each such flow explains one retry.
"""

from __future__ import annotations

from collections import deque

from siskinshift.connections.segment import caller_host


# A caller retries within this time; later openings are new requests.
RETRY_WINDOW_SECONDS = 1.0
# Limit of remembered flows, to bound the memory.
MAX_REMEMBERED_FLOWS = 1000


class RetryDetector:
    """Remembers the flows that were refused or dropped recently."""

    def __init__(self) -> None:
        """Initializes the detector without flows."""
        self._ended: deque[tuple[float, bytes]] = deque()
        self._flows_by_host: dict[str, set[bytes]] = {}

    def record_end(self, flow: bytes, *, now: float) -> None:
        """Remembers a flow that was refused or whose request was dropped.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        self._expire(now=now)
        if len(self._ended) >= MAX_REMEMBERED_FLOWS:
            return
        flows = self._flows_by_host.setdefault(caller_host(flow), set())
        if flow in flows:
            return
        self._ended.append((now, flow))
        flows.add(flow)

    def is_retry(self, flow: bytes, *, now: float) -> bool:
        """Returns whether a new flow is probably a retry.

        Args:
            flow: The new flow. If it was refused itself, its opening packet was
                retransmitted.
            now: Clock reading, seconds.
        """
        self._expire(now=now)
        flows = self._flows_by_host.get(caller_host(flow))
        if not flows:
            return False
        if flow in flows:
            flows.remove(flow)
            return False
        flows.pop()
        return True

    def _expire(self, *, now: float) -> None:
        while self._ended and now - self._ended[0][0] > RETRY_WINDOW_SECONDS:
            _, flow = self._ended.popleft()
            host = caller_host(flow)
            flows = self._flows_by_host.get(host, set())
            flows.discard(flow)
            if not flows:
                self._flows_by_host.pop(host, None)
