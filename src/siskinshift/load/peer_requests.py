"""Reservations of peers at an agent: the side of a handover that has the slot."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from siskinshift.core.requests import ReplyToReservation
from siskinshift.core.requests import Request
from siskinshift.load.fair_queues import group_key
from siskinshift.load.reservations import Reservations
from siskinshift.load.work import WorkItem
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.core.requests import RunResult
    from siskinshift.load.gate_state import GateState
    from siskinshift.messages.load import ReserveSlot


# Time in which a peer must reply before the request is queued at its own agent: about
# ten round trips.
HOLD_TIMEOUT_SECONDS = 0.02
# Limit of open reservations of peers, for each configured slot.
MAX_PEER_REQUESTS_PER_SLOT = 4


class PeerRequests:
    """Accepts reservations of peers and holds slots for them.

    Attributes:
        is_refusing: Whether all further reservations are refused.
        is_drained: Whether operators drain this agent.
    """

    def __init__(self, state: GateState) -> None:
        """Initializes the table of reservations.

        Args:
            state: The gate's state.
        """
        self._state = state
        self._request_ids = itertools.count(-1, -1)
        self._reservations = Reservations()
        self.is_refusing = False
        self.is_drained = False

    def reserve(self, message: ReserveSlot, *, now: float) -> list[GateAction]:
        """Handles a peer's request for a slot.

        Args:
            message: The request.
            now: Clock reading, seconds.

        Returns:
            A refusal, or nothing if the request is queued for a slot.
        """
        reservation_id = message.reservation_id
        if not self._reservations.is_new(reservation_id):
            return [ReplyToReservation(reservation_id, False)]
        work = self._make_work(message, now=now)
        if not self._accepts(work, may_wait=message.wait > 0, now=now):
            self._reservations.end(reservation_id, now=now)
            return [ReplyToReservation(reservation_id, False)]
        self._state.work_by_id[work.request.request_id] = work
        self._reservations.open(reservation_id, work.request.request_id)
        self._state.queues.push(work)
        return []

    def release(self, reservation_id: str, *, now: float) -> bool:
        """Handles the release of a reservation that a peer no longer needs.

        Args:
            reservation_id: Its id; a reservation in use is not released, an unknown id
                is recorded as ended.
            now: Clock reading, seconds.

        Returns:
            Whether a slot became free.
        """
        work = self.find(reservation_id)
        if work is None:
            self._reservations.end(reservation_id, now=now)
            return False
        if work.state is WorkState.RUNNING:
            return False
        held_slot = work.state is WorkState.RESERVED
        if held_slot:
            self._state.release_slot(work, None, now=now)
        else:
            self._state.queues.remove(work)
        self.drop(work, now=now)
        return held_slot

    def start(self, reservation_id: str, *, now: float) -> bool:
        """Starts the request of a granted reservation.

        Args:
            reservation_id: Its id.
            now: Clock reading, seconds.

        Returns:
            True once if a slot is held; False if this message did not start the
            request.
        """
        work = self.find(reservation_id)
        if work is None or work.state is not WorkState.RESERVED:
            return False
        if work.request.deadline <= now:
            return False
        work.state = WorkState.RUNNING
        work.started_at = now
        return True

    def cancel(self, reservation_id: str) -> bool:
        """Handles a caller's cancellation that a peer forwards.

        Args:
            reservation_id: The reservation of the request.

        Returns:
            Whether the request runs, so that the upstream must be notified.
        """
        work = self.find(reservation_id)
        if work is None or work.state is not WorkState.RUNNING or work.is_cancelled:
            return False
        work.is_cancelled = True
        return True

    def finished(self, reservation_id: str, result: RunResult, *, now: float) -> bool:
        """Handles the end of a peer's request.

        Args:
            reservation_id: The reservation of the request; an unknown id (late or
                duplicate) is ignored.
            result: How it ended.
            now: Clock reading, seconds.

        Returns:
            Whether a slot became free.
        """
        work = self.find(reservation_id)
        if work is None or work.state is not WorkState.RUNNING:
            return False
        self._state.release_slot(work, result, now=now)
        self.drop(work, now=now)
        return True

    def refuse_all(self, *, now: float) -> list[GateAction]:
        """Stops accepting requests of peers and refuses those in the queues.

        Args:
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        self.is_refusing = True
        actions: list[GateAction] = []
        for work in tuple(self._state.queues):
            if work.is_from_peer:
                actions += self.refuse(work, now=now)
        return actions

    def release_if_timed_out(self, work: WorkItem, *, now: float) -> list[GateAction]:
        """Releases a reserved slot that was not used in time.

        Args:
            work: The request that the slot is held for.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        # If the peer crashed after its reservation or its messages are lost, the slot
        # would be held forever without a timeout.
        if now - work.started_at < self._state.settings.reservation_timeout:
            return []
        self._state.release_slot(work, None, now=now)
        self.drop(work, now=now)
        return []

    def find(self, reservation_id: str) -> WorkItem | None:
        """Returns a peer's request.

        Args:
            reservation_id: Id of its reservation.

        Returns:
            The request, or None.
        """
        work_id = self._reservations.find(reservation_id)
        return None if work_id is None else self._state.work_by_id.get(work_id)

    def refuse(self, work: WorkItem, *, now: float) -> list[GateAction]:
        """Refuses a peer's queued request.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            The reply to the peer.
        """
        self._state.queues.remove(work)
        self.drop(work, now=now)
        return [ReplyToReservation(work.reservation_id, False)]

    def drop(self, work: WorkItem, *, now: float) -> None:
        """Removes a peer's request and ends its reservation.

        Args:
            work: The request.
            now: Clock reading, seconds.
        """
        self._reservations.end(work.reservation_id, now=now)
        self._state.drop(work)

    def _make_work(self, message: ReserveSlot, *, now: float) -> WorkItem:
        request = Request(
            request_id=next(self._request_ids),
            service_id=message.service_id,
            group_id=message.group_id,
            caller=message.caller,
            key="",
            repeatable=False,
            arrived_at=now,
            deadline=now + message.deadline_in,
        )
        return WorkItem(
            request=request,
            queued_at=now,
            expires_at=now
            + min(message.deadline_in, max(message.wait, HOLD_TIMEOUT_SECONDS)),
            reservation_id=message.reservation_id,
        )

    def _accepts(self, work: WorkItem, *, may_wait: bool, now: float) -> bool:
        state = self._state
        key = group_key(work)
        if self.is_refusing or self.is_drained or work.request.deadline <= now:
            return False
        if state.upstream_health.looks_unhealthy or state.upstream_health.is_slow(
            state.recent_sums
        ):
            return False
        if state.random.random() > state.ramp.fraction(now=now):
            return False
        if not len(state.queues):
            return may_wait or state.slots.has_free_slot
        if not may_wait or not state.shares.is_under_share(key):
            return False
        if state.queues.group_length(key) >= state.settings.queue_limit:
            return False
        return (
            len(self._reservations)
            < MAX_PEER_REQUESTS_PER_SLOT * state.slots.configured
        )
