"""Retry policy: completes, retries or fails a request after an attempt ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import RunResult
from siskinshift.load.fair_queues import group_key
from siskinshift.load.retry_budget import backoff_delay
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.load.gate_state import GateState
    from siskinshift.load.work import WorkItem


# Attempts for a request of which no byte reached an upstream.
MAX_UNREACHED_ATTEMPTS = 4


class RetryPolicy:
    """Decides which requests are retried within the retry budget."""

    def __init__(self, state: GateState) -> None:
        """Initializes the policy.

        Args:
            state: The gate's state.
        """
        self._state = state

    def handle_attempt_end(
        self, work: WorkItem, result: RunResult, gate_responds: bool, *, now: float
    ) -> list[GateAction]:
        """Handles the end of an attempt, here or at a peer.

        Args:
            work: The request.
            result: How the attempt ended.
            gate_responds: Whether the gate responds to the caller; otherwise the
                request runner has responded.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out; none during the back-off before the next attempt.
        """
        if result in (RunResult.ANSWERED, RunResult.SHED):
            self._state.drop(work)
            return []
        if result is RunResult.NOT_OFFERED:
            # An earlier attempt may have reached the upstream.
            work.offered = work.was_lost
        else:
            work.was_lost = True
        if not gate_responds:
            self._state.drop(work)
            return []
        if work.is_cancelled:
            return self._state.end_without_response(work, ErrorKind.CANCELLED)
        if not self._can_retry(work, result, now=now):
            return self._state.end_without_response(
                work, _error_of(work, result, now=now)
            )
        if work.state is WorkState.AT_PEER and result is RunResult.NOT_OFFERED:
            return self.requeue(work)
        work.state = WorkState.BACKING_OFF
        work.queued_at = now + backoff_delay(
            max(1, work.attempts),
            time_left=self._time_to_retry(work, now=now),
            random=self._state.random,
        )
        work.expires_at = work.request.deadline
        return []

    def _can_retry(self, work: WorkItem, result: RunResult, *, now: float) -> bool:
        if self._time_to_retry(work, now=now) <= 0.0:
            return False
        if result is RunResult.NOT_OFFERED:
            return work.attempts < MAX_UNREACHED_ATTEMPTS
        return work.request.repeatable and self._state.retry_budget.try_spend()

    def _time_to_retry(self, work: WorkItem, *, now: float) -> float:
        """Returns the time in which another attempt has to start, seconds."""
        return work.request.deadline - self._state.upstream_health.slot_time - now

    def requeue(self, work: WorkItem) -> list[GateAction]:
        """Queues a request again.

        Args:
            work: The request.

        Returns:
            The actions that end it if the queue is full.
        """
        key = group_key(work)
        if self._state.queues.group_length(key) >= self._state.settings.queue_limit:
            return self._state.end_without_response(work, ErrorKind.OVERLOADED)
        work.state = WorkState.QUEUED
        work.peers_queried = False
        self._state.queues.push(work)
        return []


def _error_of(work: WorkItem, result: RunResult, *, now: float) -> ErrorKind:
    if work.request.deadline <= now:
        is_lost = result is RunResult.LOST
        return ErrorKind.UPSTREAM_TIMEOUT if is_lost else ErrorKind.DEADLINE_EXCEEDED
    if result is RunResult.NOT_OFFERED:
        return ErrorKind.NO_UPSTREAM
    return ErrorKind.UPSTREAM_FAILED
