"""Reservations at peers for own requests: the handover side that has the request."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import ReserveAtPeer
from siskinshift.core.requests import RunAtPeer
from siskinshift.load.admission import check_admission
from siskinshift.load.fair_queues import group_key
from siskinshift.load.peers import PeerSelector
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from siskinshift.core.requests import GateAction
    from siskinshift.load.dispatcher import Dispatcher
    from siskinshift.load.gate_state import GateState
    from siskinshift.load.work import WorkItem


# Requests for which a free slot is requested from peers at the same time.
MAX_CONCURRENT_SEARCHES = 4
# Time that a request may wait for the next slot of a peer whose queue is empty: about
# the duration of one request. Without it agents poll and miss slots between polls.
SEARCH_WAIT_SECONDS = 0.05


class PeerSearch:
    """Requests slots from peers and hands requests over to peers that grant one.

    Attributes:
        peers: Selects the peers to query.
    """

    def __init__(
        self, state: GateState, dispatcher: Dispatcher, *, id_prefix: str
    ) -> None:
        """Initializes the search without peers.

        Args:
            state: The gate's state.
            dispatcher: Starts the requests that no peer accepted.
            id_prefix: Prefix of reservation ids: the agent's member id and incarnation.
        """
        self._state = state
        self._dispatcher = dispatcher
        self._id_prefix = id_prefix
        self._reservation_numbers = itertools.count(1)
        self.peers = PeerSelector(random=state.random)

    def handle_reservation_reply(
        self,
        request_id: int,
        *,
        peer_id: str,
        reservation_id: str,
        granted: bool,
        now: float,
    ) -> list[GateAction]:
        """Handles a peer's reply; no reply in time counts as a refusal.

        Args:
            request_id: The request.
            peer_id: The peer.
            reservation_id: Id of the reservation.
            granted: Whether the peer holds a slot.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        work = self._state.work_by_id.get(request_id)
        if work is None or reservation_id not in work.peer_ids_by_reservation_id:
            # The reply is late or a duplicate; the request runs elsewhere or has ended.
            # The release frees a slot that the peer may hold for it; the peer ignores
            # the release of a reservation in use.
            return [ReleaseAtPeer(peer_id, reservation_id)] if granted else []
        del work.peer_ids_by_reservation_id[reservation_id]
        self._state.searching_ids.discard(request_id)
        if granted:
            return self._run_at_peer(work, peer_id, reservation_id, now=now)
        return self._reservation_refused(work, now=now)

    def may_search(self, *, now: float) -> bool:
        """Returns whether peers may be queried for one more request now.

        Args:
            now: Clock reading, seconds.

        Returns:
            False at the limit of concurrent searches and in the pause after refusals.
        """
        if len(self._state.searching_ids) >= MAX_CONCURRENT_SEARCHES:
            return False
        return self.peers.may_search(now=now)

    def hold(self, work: WorkItem, *, now: float) -> list[GateAction]:
        """Offers a request to peers before it is queued here.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            The first reservation.
        """
        work.state = WorkState.HELD
        work.candidate_ids = self.peers.candidates()
        self._state.searching_ids.add(work.request.request_id)
        return self._reserve_at_next(work, wait=0.0)

    def enqueue_held(self, work: WorkItem, *, now: float) -> list[GateAction]:
        """Queues a request here that no peer accepted, if admission allows it.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        actions = self._state.release_reservations(work)
        error = check_admission(
            self._state.describe_arrival(work, key_is_at_limit=False, now=now)
        )
        if error is not None and error is not ErrorKind.DRAINING:
            return [*actions, *self._state.end_without_response(work, error)]
        work.state = WorkState.QUEUED
        work.peers_queried = True
        self._state.queues.push(work)
        return [*actions, *self._dispatcher.dispatch(now=now)]

    def search_for(self, work: WorkItem, *, now: float) -> list[GateAction]:
        """Requests a slot from peers for a queued request.

        Args:
            work: The request.
            now: Clock reading, seconds.

        Returns:
            The reservations; none if the request may not be handed over now.
        """
        may_reserve = not work.is_from_peer and not work.peer_ids_by_reservation_id
        if work.state is not WorkState.QUEUED or not may_reserve or work.offered:
            return []
        if work.request.pinned:
            return []
        if not work.peers_queried and self._state.shares.is_under_share(
            group_key(work)
        ):
            return self._reserve_with_wait(work, now=now)
        if not self.may_search(now=now):
            return []
        work.candidate_ids = self.peers.candidates()
        self._state.searching_ids.add(work.request.request_id)
        wait = min(SEARCH_WAIT_SECONDS, work.expires_at - now)
        return self._reserve_at_next(work, wait=max(0.0, wait))

    def _reserve_with_wait(self, work: WorkItem, *, now: float) -> list[GateAction]:
        work.peers_queried = True
        work.candidate_ids = self.peers.candidates()
        actions: list[GateAction] = []
        while work.candidate_ids:
            actions += self._reserve_at_next(work, wait=work.expires_at - now)
        return actions

    def _reserve_at_next(self, work: WorkItem, *, wait: float) -> list[GateAction]:
        peer_id = work.candidate_ids.pop(0)
        reservation_id = f"{self._id_prefix}/{next(self._reservation_numbers)}"
        work.peer_ids_by_reservation_id[reservation_id] = peer_id
        request_id = work.request.request_id
        return [ReserveAtPeer(request_id, peer_id, reservation_id, wait)]

    def _run_at_peer(
        self, work: WorkItem, peer_id: str, reservation_id: str, *, now: float
    ) -> list[GateAction]:
        self.peers.record_grant()
        if work.request.deadline <= now:
            actions = self._state.end_without_response(
                work, ErrorKind.DEADLINE_EXCEEDED
            )
            return [*actions, ReleaseAtPeer(peer_id, reservation_id)]
        if work.state is WorkState.QUEUED:
            self._state.queues.remove(work)
        actions = self._state.release_reservations(work)
        work.state = WorkState.AT_PEER
        work.peer_id = peer_id
        work.offered = True
        work.attempts += 1
        run = RunAtPeer(work.request.request_id, peer_id, reservation_id)
        return [*actions, run, *self._search_next(now=now)]

    def _reservation_refused(self, work: WorkItem, *, now: float) -> list[GateAction]:
        if work.peer_ids_by_reservation_id:
            return []
        if work.candidate_ids:
            self._state.searching_ids.add(work.request.request_id)
            wait = 0.0 if work.state is WorkState.HELD else SEARCH_WAIT_SECONDS
            return self._reserve_at_next(work, wait=wait)
        self.peers.record_refusals(now=now)
        if work.state is WorkState.HELD:
            return self.enqueue_held(work, now=now)
        return []

    def _search_next(self, *, now: float) -> list[GateAction]:
        for work in self._state.queues:
            actions = self.search_for(work, now=now)
            if actions:
                return actions
        return []
