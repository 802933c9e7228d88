"""Assigns free slots of the upstream to queued requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import ReplyToReservation
from siskinshift.core.requests import StartRequest
from siskinshift.load.fair_queues import group_key
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.load.gate_state import GateState
    from siskinshift.load.peer_requests import PeerRequests
    from siskinshift.load.work import WorkItem


class Dispatcher:
    """Starts queued requests of this agent and of peers in fair order."""

    def __init__(self, state: GateState, peer_requests: PeerRequests) -> None:
        """Initializes the dispatcher.

        Args:
            state: The gate's state.
            peer_requests: Requests that peers reserve slots for.
        """
        self._state = state
        self._peer_requests = peer_requests

    def dispatch(self, *, now: float) -> list[GateAction]:
        """Starts queued requests while slots are free.

        Args:
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        actions: list[GateAction] = []
        while self._state.slots.has_free_slot and self._state.may_start(now=now):
            work = self._state.queues.peek()
            if work is None:
                break
            if work.expires_at <= now:
                actions += self.expire(work, now=now)
                continue
            self._state.queues.remove(work)
            actions += self._start(work, now=now)
        return actions

    def expire(self, work: WorkItem, *, now: float) -> list[GateAction]:
        """Ends a request whose time in the queue is over.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        if work.is_from_peer:
            return self._peer_requests.refuse(work, now=now)
        if work.request.deadline <= now:
            return self._state.end_without_response(work, ErrorKind.DEADLINE_EXCEEDED)
        return self._state.end_without_response(work, ErrorKind.QUEUE_TIMEOUT)

    def _start(self, work: WorkItem, *, now: float) -> list[GateAction]:
        self._state.slots.assign(work)
        self._state.queues.record_start(work)
        self._state.usage_meter.record_start(group_key(work), now=now)
        work.started_at = now
        self._state.upstream_health.record_start(now=now)
        if work.is_from_peer:
            work.state = WorkState.RESERVED
            return [ReplyToReservation(work.reservation_id, True)]
        work.state = WorkState.RUNNING
        work.offered = True
        work.attempts += 1
        return [
            *self._state.release_reservations(work),
            StartRequest(work.request.request_id),
        ]
