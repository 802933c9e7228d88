"""Slots of peers for own requests: the side of a hand-over that has the request."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import ReserveAtPeer
from siskinshift.core.requests import RunAtPeer
from siskinshift.load.admission import refusal_of
from siskinshift.load.fair_queues import group_key
from siskinshift.load.peers import PeerChoice
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.load.dispatcher import Dispatcher
    from siskinshift.load.gate_state import GateState
    from siskinshift.load.work import Work


# Requests for which peers are asked for a free slot at the same time.
SEARCHES_AT_ONCE = 4
# A request that finds no free slot may wait for the next one of a peer whose queue is
# empty: about one request's time. Without it agents poll, and miss slots meanwhile.
SEARCH_WAIT_SECONDS = 0.05


class PeerSearch:
    """Asks peers for slots and hands requests over to those that grant one.

    Attributes:
        peers: Whom to ask.
    """

    def __init__(self, state: GateState, dispatcher: Dispatcher, *, name: str) -> None:
        """Starts without peers.

        Args:
            state: The gate's state.
            dispatcher: Starts what no peer took.
            name: Name of this start of the agent; goes into names of reservations.
        """
        self._state = state
        self._dispatcher = dispatcher
        self._name = name
        self._numbers = itertools.count(1)
        self.peers = PeerChoice(random=state.random)

    def answered(
        self,
        request_id: int,
        *,
        peer_id: str,
        reservation_id: str,
        granted: bool,
        now: float,
    ) -> list[GateAction]:
        """Takes a peer's answer; no answer in time counts as a refusal.

        Args:
            request_id: The request.
            peer_id: The peer.
            reservation_id: Name of the reservation.
            granted: Whether the peer holds a slot.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        work = self._state.work_by_id.get(request_id)
        if work is None or reservation_id not in work.peer_ids_by_reservation:
            # Late or twice: the request is elsewhere. A slot may be held for nothing;
            # the name of a reservation in use is passed over by the peer.
            return [ReleaseAtPeer(peer_id, reservation_id)] if granted else []
        del work.peer_ids_by_reservation[reservation_id]
        self._state.searching_ids.discard(request_id)
        if granted:
            return self._run_at_peer(work, peer_id, reservation_id, now=now)
        return self._refused_by_peer(work, now=now)

    def may_search(self, *, now: float) -> bool:
        """Tells whether peers may be asked for one more request now.

        Args:
            now: Clock reading, seconds.

        Returns:
            False while enough are asked, or all have just refused.
        """
        if len(self._state.searching_ids) >= SEARCHES_AT_ONCE:
            return False
        return self.peers.may_search(now=now)

    def hold(self, work: Work, *, now: float) -> list[GateAction]:
        """Offers a request to peers before it may wait here.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            The first question.
        """
        work.state = WorkState.HELD
        work.candidate_ids = self.peers.candidates()
        self._state.searching_ids.add(work.request.request_id)
        return self._ask_next(work, wait=0.0)

    def unhold(self, work: Work, *, now: float) -> list[GateAction]:
        """Queues a request here that no peer took, if there is room.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        actions = self._state.withdraw(work)
        error = refusal_of(self._state.arrival(work, key_is_full=False, now=now))
        if error is not None and error is not ErrorKind.DRAINING:
            return [*actions, *self._state.give_up(work, error)]
        work.state = WorkState.QUEUED
        work.searched = True
        self._state.queues.push(work)
        return [*actions, *self._dispatcher.dispatch(now=now)]

    def search_for(self, work: Work, *, now: float) -> list[GateAction]:
        """Asks peers for a slot for a request that waits here.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            Questions; none if it may not be asked for.
        """
        is_idle = not work.is_of_peer and not work.peer_ids_by_reservation
        if work.state is not WorkState.QUEUED or not is_idle or work.offered:
            return []
        if work.request.pinned:
            return []
        if not work.searched and self._state.shares.is_under_share(group_key(work)):
            return self._ask_to_wait(work, now=now)
        if not self.may_search(now=now):
            return []
        work.candidate_ids = self.peers.candidates()
        self._state.searching_ids.add(work.request.request_id)
        wait = min(SEARCH_WAIT_SECONDS, work.expires_at - now)
        return self._ask_next(work, wait=max(0.0, wait))

    def _ask_to_wait(self, work: Work, *, now: float) -> list[GateAction]:
        work.searched = True
        work.candidate_ids = self.peers.candidates()
        actions: list[GateAction] = []
        while work.candidate_ids:
            actions += self._ask_next(work, wait=work.expires_at - now)
        return actions

    def _ask_next(self, work: Work, *, wait: float) -> list[GateAction]:
        peer_id = work.candidate_ids.pop(0)
        reservation_id = f"{self._name}/{next(self._numbers)}"
        work.peer_ids_by_reservation[reservation_id] = peer_id
        request_id = work.request.request_id
        return [ReserveAtPeer(request_id, peer_id, reservation_id, wait)]

    def _run_at_peer(
        self, work: Work, peer_id: str, reservation_id: str, *, now: float
    ) -> list[GateAction]:
        self.peers.granted()
        if work.request.deadline <= now:
            actions = self._state.give_up(work, ErrorKind.DEADLINE_EXCEEDED)
            return [*actions, ReleaseAtPeer(peer_id, reservation_id)]
        if work.state is WorkState.QUEUED:
            self._state.queues.remove(work)
        actions = self._state.withdraw(work)
        work.state = WorkState.AT_PEER
        work.peer_id = peer_id
        work.offered = True
        work.attempts += 1
        run = RunAtPeer(work.request.request_id, peer_id, reservation_id)
        return [*actions, run, *self._search_next(now=now)]

    def _refused_by_peer(self, work: Work, *, now: float) -> list[GateAction]:
        if work.peer_ids_by_reservation:
            return []
        if work.candidate_ids:
            self._state.searching_ids.add(work.request.request_id)
            wait = 0.0 if work.state is WorkState.HELD else SEARCH_WAIT_SECONDS
            return self._ask_next(work, wait=wait)
        self.peers.refused_by_all(now=now)
        if work.state is WorkState.HELD:
            return self.unhold(work, now=now)
        return []

    def _search_next(self, *, now: float) -> list[GateAction]:
        for work in self._state.queues:
            actions = self.search_for(work, now=now)
            if actions:
                return actions
        return []
