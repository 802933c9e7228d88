"""Gives the upstream's free slots to the requests that wait."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import AnswerReservation
from siskinshift.core.requests import StartRequest
from siskinshift.load.fair_queues import group_key
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.load.gate_state import GateState
    from siskinshift.load.peer_requests import PeerRequests
    from siskinshift.load.work import Work


class Dispatcher:
    """Starts requests in the order of the queues, own ones and those of peers."""

    def __init__(self, state: GateState, peer_requests: PeerRequests) -> None:
        """Prepares.

        Args:
            state: The gate's state.
            peer_requests: Requests of peers.
        """
        self._state = state
        self._peer_requests = peer_requests

    def dispatch(self, *, now: float) -> list[GateAction]:
        """Starts waiting requests while slots are free.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        actions: list[GateAction] = []
        while self._state.slots.has_free and self._state.may_start(now=now):
            work = self._state.queues.peek()
            if work is None:
                break
            if work.expires_at <= now:
                actions += self.expire(work, now=now)
                continue
            self._state.queues.remove(work)
            actions += self._start(work, now=now)
        return actions

    def expire(self, work: Work, *, now: float) -> list[GateAction]:
        """Ends a request that has waited for as long as it may.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        if work.is_of_peer:
            return self._peer_requests.refuse(work, now=now)
        if work.request.deadline <= now:
            return self._state.give_up(work, ErrorKind.DEADLINE_EXCEEDED)
        return self._state.give_up(work, ErrorKind.QUEUE_TIMEOUT)

    def _start(self, work: Work, *, now: float) -> list[GateAction]:
        self._state.slots.take(work)
        self._state.queues.start(work)
        self._state.meter.started(group_key(work), now=now)
        work.started_at = now
        self._state.watch.started(now=now)
        if work.is_of_peer:
            work.state = WorkState.RESERVED
            return [AnswerReservation(work.reservation_id, True)]
        work.state = WorkState.RUNNING
        work.offered = True
        work.attempts += 1
        return [*self._state.withdraw(work), StartRequest(work.request.request_id)]
