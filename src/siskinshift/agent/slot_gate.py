"""Plain admission: slots of the upstream and one bounded first-in-first-out queue.

Answers a short burst. Without the bound a burst would wait longer than its callers
do, and every later request behind it as well.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import StartRequest


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.core.requests import Request
    from siskinshift.core.requests import RunResult


RETRY_AFTER_SECONDS = 1.0


class SlotGate:
    """A `RequestGate` without shares."""

    def __init__(self, *, slots: int, queue_maximum: int) -> None:
        """Prepares an empty gate.

        Args:
            slots: Requests the upstream runs at once.
            queue_maximum: Requests that may wait.
        """
        self._slots = slots
        self._queue_maximum = queue_maximum
        self._running: set[int] = set()
        self._queued_by_id: dict[int, Request] = {}
        self._is_draining = False

    def submit(self, request: Request, *, now: float) -> list[GateAction]:
        """Takes a request that arrived."""
        if self._is_draining:
            return [_refusal(request.request_id, ErrorKind.DRAINING)]
        if len(self._queued_by_id) >= self._queue_maximum and self._is_full():
            return [_refusal(request.request_id, ErrorKind.OVERLOADED)]
        self._queued_by_id[request.request_id] = request
        return self._start_queued(now)

    def finished(
        self,
        request_id: int,
        *,
        succeeded: bool,
        now: float,
        result: RunResult | None = None,
    ) -> list[GateAction]:
        """Takes the end of a started request; frees its slot."""
        self._running.discard(request_id)
        return self._start_queued(now)

    def cancel(self, request_id: int, *, now: float) -> list[GateAction]:
        """Takes a caller's cancel."""
        if self._queued_by_id.pop(request_id, None) is not None:
            return [_refusal(request_id, ErrorKind.CANCELLED)]
        if request_id in self._running:
            return [CancelAtUpstream(request_id)]
        return []

    def drain(self, *, now: float) -> list[GateAction]:
        """Stops to admit; queued requests still run."""
        self._is_draining = True
        return []

    def tick(self, *, now: float) -> list[GateAction]:
        """Refuses queued requests whose deadline has passed."""
        expired = [r for r in self._queued_by_id.values() if r.deadline <= now]
        for request in expired:
            del self._queued_by_id[request.request_id]
        return [_refusal(r.request_id, ErrorKind.DEADLINE_EXCEEDED) for r in expired]

    def _is_full(self) -> bool:
        return len(self._running) >= self._slots

    def _start_queued(self, now: float) -> list[GateAction]:
        actions = self.tick(now=now)
        while self._queued_by_id and not self._is_full():
            request_id = next(iter(self._queued_by_id))
            del self._queued_by_id[request_id]
            self._running.add(request_id)
            actions.append(StartRequest(request_id))
        return actions


def _refusal(request_id: int, error: ErrorKind) -> RefuseRequest:
    return RefuseRequest(request_id, error, RETRY_AFTER_SECONDS)
