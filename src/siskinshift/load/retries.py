"""What follows the end of a try: an answer, another try, or the request's end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import RunResult
from siskinshift.load.fair_queues import group_key
from siskinshift.load.retry_budget import back_off
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.load.gate_state import GateState
    from siskinshift.load.work import Work


# Tries at an upstream that could not be reached at all.
UNREACHED_TRIES = 4


class Retries:
    """Decides which requests are tried again, within the budget for that."""

    def __init__(self, state: GateState) -> None:
        """Prepares.

        Args:
            state: The gate's state.
        """
        self._state = state

    def ended(
        self, work: Work, result: RunResult, answers: bool, *, now: float
    ) -> list[GateAction]:
        """Takes the end of a try, here or at a peer.

        Args:
            work: The request.
            result: How the try ended.
            answers: Whether the gate answers the caller; else the driver has.
            now: Clock reading, seconds.

        Returns:
            What to do; nothing while it backs off before the next try.
        """
        if result in (RunResult.ANSWERED, RunResult.SHED):
            self._state.forget(work)
            return []
        if result is RunResult.NOT_OFFERED:
            # An earlier try may have reached the upstream.
            work.offered = work.was_lost
        else:
            work.was_lost = True
        if not answers:
            self._state.forget(work)
            return []
        if work.is_cancelled:
            return self._state.give_up(work, ErrorKind.CANCELLED)
        if not self._may_try_again(work, result, now=now):
            return self._state.give_up(work, _error_of(work, result, now=now))
        if work.state is WorkState.AT_PEER and result is RunResult.NOT_OFFERED:
            return self.requeue(work)
        work.state = WorkState.BACKING_OFF
        work.queued_at = now + back_off(
            max(1, work.attempts), random=self._state.random
        )
        work.expires_at = work.request.deadline
        return []

    def _may_try_again(self, work: Work, result: RunResult, *, now: float) -> bool:
        if now + self._state.watch.slot_time >= work.request.deadline:
            return False
        if result is RunResult.NOT_OFFERED:
            return work.attempts < UNREACHED_TRIES
        return work.request.repeatable and self._state.budget.try_spend()

    def requeue(self, work: Work) -> list[GateAction]:
        """Queues a request again.

        Args:
            work: The request.

        Returns:
            Its end, if there is no room.
        """
        key = group_key(work)
        if self._state.queues.length(key) >= self._state.settings.queue_limit:
            return self._state.give_up(work, ErrorKind.OVERLOADED)
        work.state = WorkState.QUEUED
        work.searched = False
        self._state.queues.push(work)
        return []


def _error_of(work: Work, result: RunResult, *, now: float) -> ErrorKind:
    if work.request.deadline <= now:
        is_lost = result is RunResult.LOST
        return ErrorKind.UPSTREAM_TIMEOUT if is_lost else ErrorKind.DEADLINE_EXCEEDED
    if result is RunResult.NOT_OFFERED:
        return ErrorKind.NO_UPSTREAM
    return ErrorKind.UPSTREAM_FAILED
