"""Requests of peers at an agent: the side of a hand-over that has the slot."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from siskinshift.core.requests import AnswerReservation
from siskinshift.core.requests import Request
from siskinshift.load.fair_queues import group_key
from siskinshift.load.reservations import Reservations
from siskinshift.load.work import Work
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.core.requests import RunResult
    from siskinshift.load.gate_state import GateState
    from siskinshift.messages.load import ReserveSlot


# A peer that is asked first must answer within this time: some ten round trips.
HELD_SECONDS = 0.02
# Requests of peers that may wait here, for each slot.
PEER_REQUESTS_PER_SLOT = 4


class PeerRequests:
    """Takes reservations of peers and keeps the slots that they hold.

    Attributes:
        are_refused: Whether no more of them are taken.
        is_drained: Whether operators drain this agent.
    """

    def __init__(self, state: GateState) -> None:
        """Starts without any.

        Args:
            state: The gate's state.
        """
        self._state = state
        self._ids = itertools.count(-1, -1)
        self._reservations = Reservations()
        self.are_refused = False
        self.is_drained = False

    def reserve(self, message: ReserveSlot, *, now: float) -> list[GateAction]:
        """Takes a peer's request for a slot.

        Args:
            message: The request.
            now: Clock reading, seconds.

        Returns:
            A refusal, or nothing: then it waits for a slot.
        """
        reservation_id = message.reservation_id
        if not self._reservations.is_new(reservation_id):
            return [AnswerReservation(reservation_id, False)]
        work = self._work_of(message, now=now)
        if not self._takes(work, waits=message.wait > 0, now=now):
            self._reservations.end(reservation_id, now=now)
            return [AnswerReservation(reservation_id, False)]
        self._state.work_by_id[work.request.request_id] = work
        self._reservations.open(reservation_id, work.request.request_id)
        self._state.queues.push(work)
        return []

    def release(self, reservation_id: str, *, now: float) -> bool:
        """Takes a reservation back that its holder no longer wants.

        Args:
            reservation_id: Its name; one in use or unknown is only remembered.
            now: Clock reading, seconds.

        Returns:
            Whether a slot came free.
        """
        work = self.find(reservation_id)
        if work is None:
            self._reservations.end(reservation_id, now=now)
            return False
        if work.state is WorkState.RUNNING:
            return False
        held_a_slot = work.state is WorkState.RESERVED
        if held_a_slot:
            self._state.give_back(work, None, now=now)
        else:
            self._state.queues.remove(work)
        self.forget(work, now=now)
        return held_a_slot

    def run(self, reservation_id: str, *, now: float) -> bool:
        """Uses a granted reservation up.

        Args:
            reservation_id: Its name.
            now: Clock reading, seconds.

        Returns:
            True once when a slot is held; False says that the request did not run
            by this message.
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
        """Takes a caller's cancel that the holder of the request passes on.

        Args:
            reservation_id: The reservation that the request runs under.

        Returns:
            Whether it runs, so that the upstream must be told.
        """
        work = self.find(reservation_id)
        if work is None or work.state is not WorkState.RUNNING or work.is_cancelled:
            return False
        work.is_cancelled = True
        return True

    def finished(self, reservation_id: str, result: RunResult, *, now: float) -> bool:
        """Takes the end of a peer's request.

        Args:
            reservation_id: The reservation it ran under.
            result: How it ended.
            now: Clock reading, seconds.

        Returns:
            Whether a slot came free; an unknown one (late, twice) is passed over.
        """
        work = self.find(reservation_id)
        if work is None or work.state is not WorkState.RUNNING:
            return False
        self._state.give_back(work, result, now=now)
        self.forget(work, now=now)
        return True

    def refuse_all(self, *, now: float) -> list[GateAction]:
        """Takes no more requests of peers; those that wait are refused.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        self.are_refused = True
        actions: list[GateAction] = []
        for work in tuple(self._state.queues):
            if work.is_of_peer:
                actions += self.refuse(work, now=now)
        return actions

    def time_out(self, work: Work, *, now: float) -> list[GateAction]:
        """Takes a slot back that was reserved and not used in time.

        Args:
            work: The request that it is held for.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        # The holder died after it asked, or its messages are lost: without a time
        # limit the slot would be held for good.
        if now - work.started_at < self._state.settings.reservation_timeout:
            return []
        self._state.give_back(work, None, now=now)
        self.forget(work, now=now)
        return []

    def find(self, reservation_id: str) -> Work | None:
        """Finds a peer's request.

        Args:
            reservation_id: Name of its reservation.

        Returns:
            The request, or None.
        """
        work_id = self._reservations.find(reservation_id)
        return None if work_id is None else self._state.work_by_id.get(work_id)

    def refuse(self, work: Work, *, now: float) -> list[GateAction]:
        """Refuses a peer's request that waits here.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            The answer to the peer.
        """
        self._state.queues.remove(work)
        self.forget(work, now=now)
        return [AnswerReservation(work.reservation_id, False)]

    def forget(self, work: Work, *, now: float) -> None:
        """Ends a peer's request and its reservation.

        Args:
            work: The request.
            now: Clock reading, seconds.
        """
        self._reservations.end(work.reservation_id, now=now)
        self._state.forget(work)

    def _work_of(self, message: ReserveSlot, *, now: float) -> Work:
        request = Request(
            request_id=next(self._ids),
            service_id=message.service_id,
            group_id=message.group_id,
            caller=message.caller,
            key="",
            repeatable=False,
            arrived_at=now,
            deadline=now + message.deadline_in,
        )
        return Work(
            request=request,
            queued_at=now,
            expires_at=now + min(message.deadline_in, max(message.wait, HELD_SECONDS)),
            reservation_id=message.reservation_id,
        )

    def _takes(self, work: Work, *, waits: bool, now: float) -> bool:
        state = self._state
        key = group_key(work)
        if self.are_refused or self.is_drained or work.request.deadline <= now:
            return False
        if state.watch.looks_sick or state.watch.is_slow(state.recent):
            return False
        if state.random.random() > state.ramp.part(now=now):
            return False
        if not len(state.queues):
            return waits or state.slots.has_free
        if not waits or not state.shares.is_under_share(key):
            return False
        if state.queues.length(key) >= state.settings.queue_limit:
            return False
        return len(self._reservations) < PEER_REQUESTS_PER_SLOT * state.slots.configured
