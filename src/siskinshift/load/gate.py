"""The gate of an agent: puts the decisions under load together.

Two promises are kept by the modules of the gate (`gate`, `gate_state`, `dispatcher`,
`peer_requests`, `peer_search`, `retries`) and nowhere else:

- A request is refused as "not run" only while `Work.offered` is false. The flag is set
  before the action that offers a byte is given out (`Dispatcher`, `PeerSearch`), and
  taken back only by a result that says no byte reached any upstream (`Retries`).
- A request that may not be repeated is given out once (`StartRequest` or `RunAtPeer`);
  after that each end without an answer is a `FailRequest`.

A request that is given up gets its final answer with the very action list of the event
or tick that gave it up.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import Request
from siskinshift.core.requests import RunResult
from siskinshift.core.views import is_drained
from siskinshift.load.admission import refusal_of
from siskinshift.load.dispatcher import Dispatcher
from siskinshift.load.gate_state import GateState
from siskinshift.load.gate_state import part_key
from siskinshift.load.peer_requests import HELD_SECONDS
from siskinshift.load.peer_requests import PeerRequests
from siskinshift.load.peer_search import PeerSearch
from siskinshift.load.retries import Retries
from siskinshift.load.usage import UsageTable
from siskinshift.load.usage import own_sum
from siskinshift.load.work import Work
from siskinshift.load.work import WorkState
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from random import Random

    from siskinshift.core.requests import GateAction
    from siskinshift.core.views import View
    from siskinshift.load.shares import ServiceShares
    from siskinshift.messages.load import ReserveSlot
    from siskinshift.messages.load import UsageSum
    from siskinshift.messages.load import UsageSums
    from siskinshift.settings.generated import LoadSettings


# Part of new requests that an agent beside a slow or sick upstream offers to peers.
OFFER_WHEN_SLOW = 0.8


class LoadGate:
    """Decides what becomes of requests at one agent; implements `RequestGate`.

    Attributes:
        usage_table: Recent sums of the peers.
    """

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        slots: int,
        ramp_time: float,
        settings: LoadSettings,
        random: Random,
        now: float,
    ) -> None:
        """Starts a gate in front of an upstream that was just started.

        Args:
            member_id: The agent's member id.
            incarnation: The agent's incarnation; goes into names of reservations.
            slots: Configured slots of the upstream.
            ramp_time: Seconds in which the upstream comes to full load.
            settings: Thresholds.
            random: Source of all random choices.
            now: Clock reading, seconds.
        """
        self._member_id = member_id
        self._state = GateState(
            slots=slots,
            ramp_time=ramp_time,
            settings=settings,
            random=random,
            now=now,
        )
        self._peer_requests = PeerRequests(self._state)
        self._retries = Retries(self._state)
        self._dispatcher = Dispatcher(self._state, self._peer_requests)
        name = f"{member_id}/{incarnation}"
        self._search = PeerSearch(self._state, self._dispatcher, name=name)
        self.usage_table = UsageTable(member_id=member_id)
        self._next_exchange_at = now

    @property
    def shares(self) -> ServiceShares:
        """Weights of the groups."""
        return self._state.shares

    # Events of the agent.

    def update(self, view: View, *, upstream_class: str) -> None:
        """Takes a new view: groups, shares, importance and peers.

        Args:
            view: The view.
            upstream_class: Class of the agent's upstream.
        """
        services = [
            service
            for service in view.services_by_id.values()
            if service.upstream_class == upstream_class
        ]
        self._state.queues.configure({s.service_id: s.importance for s in services})
        self._state.shares.configure(
            {
                (service.service_id, group.group_id): float(group.share)
                for service in services
                for group in service.groups
            }
        )
        # Operators drain an agent by the configuration; it stays ready all the while.
        agents = view.agents_by_class.get(upstream_class, ())
        drained = {
            agent.member_id
            for service in services
            for agent in agents
            if is_drained(service, agent)
        }
        self._peer_requests.is_drained = self._member_id in drained
        self._search.peers.configure(
            agent.member_id
            for agent in agents
            if agent.state is MemberState.READY
            and agent.member_id not in drained
            and agent.member_id != self._member_id
        )

    def submit(self, request: Request, *, now: float) -> list[GateAction]:
        """Takes a request that arrived.

        Args:
            request: The request; its id is 0 or more and was never used.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        expires_at = min(request.deadline, now + self._state.settings.queue_time_limit)
        work = Work(request=request, queued_at=now, expires_at=expires_at)
        key_is_full = self._state.parts.key_is_full(part_key(request))
        error = refusal_of(self._state.arrival(work, key_is_full=key_is_full, now=now))
        may_move = not request.pinned and self._search.may_search(now=now)
        if error is ErrorKind.OVERLOADED and may_move:
            error = None
            work.state = WorkState.HELD
        if error is not None:
            return [self._state.refusal(work, error)]
        self._state.work_by_id[request.request_id] = work
        self._state.parts.enter(part_key(request))
        offers_first = may_move and self._search.peers.wants_to_offer()
        if work.state is WorkState.HELD or offers_first:
            return self._search.hold(work, now=now)
        self._state.queues.push(work)
        return [
            *self._dispatcher.dispatch(now=now),
            *self._search.search_for(work, now=now),
        ]

    def finished(
        self,
        request_id: int,
        *,
        succeeded: bool,
        now: float,
        result: RunResult | None = None,
    ) -> list[GateAction]:
        """Takes the end of a started request, here or at a peer.

        Args:
            request_id: The request; an unknown one (late, twice) is passed over.
            succeeded: Whether the upstream did well.
            now: Clock reading, seconds.
            result: How it ended; without it the driver answers the caller.

        Returns:
            What to do.
        """
        work = self._state.work_by_id.get(request_id)
        if work is None or work.state not in (WorkState.RUNNING, WorkState.AT_PEER):
            return []
        known = result or (RunResult.ANSWERED if succeeded else RunResult.LOST)
        if work.state is WorkState.RUNNING:
            self._state.give_back(work, known, now=now)
        if succeeded and known is RunResult.ANSWERED:
            self._state.budget.record_success()
        answers = result is not None
        return [
            *self._retries.ended(work, known, answers, now=now),
            *self._dispatcher.dispatch(now=now),
        ]

    def cancel(self, request_id: int, *, now: float) -> list[GateAction]:
        """Takes a caller's cancel; one that comes after the end is passed over.

        Args:
            request_id: The request.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        work = self._state.work_by_id.get(request_id)
        if work is None or work.is_cancelled or work.is_of_peer:
            return []
        if work.state in (WorkState.RUNNING, WorkState.AT_PEER):
            work.is_cancelled = True
            return [CancelAtUpstream(request_id)]
        return self._state.give_up(work, ErrorKind.CANCELLED)

    def drain(self, *, now: float) -> list[GateAction]:
        """Stops to admit; own queued requests still run, those of peers are refused.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        self._state.is_draining = True
        return self.refuse_peer_requests(now=now)

    def refuse_peer_requests(self, *, now: float) -> list[GateAction]:
        """Takes no more requests of peers; those that wait are refused.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        return self._peer_requests.refuse_all(now=now)

    def tick(self, *, now: float) -> list[GateAction]:
        """Lets time pass.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        actions: list[GateAction] = []
        for work in tuple(self._state.work_by_id.values()):
            # Work may have ended by what was decided about work before it.
            if work.request.request_id in self._state.work_by_id:
                actions += self._tick_work(work, now=now)
        actions += self._dispatcher.dispatch(now=now)
        for work in tuple(self._state.queues):
            if not self._search.may_search(now=now):
                break
            actions += self._search.search_for(work, now=now)
        return actions

    # Events of the agents among themselves: the side that holds the request.

    def reservation_answered(
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
        return self._search.answered(
            request_id,
            peer_id=peer_id,
            reservation_id=reservation_id,
            granted=granted,
            now=now,
        )

    def usage_message(self, *, now: float) -> UsageSums | None:
        """Makes the sums for two random peers, when it is time to exchange them.

        Args:
            now: Clock reading, seconds.

        Returns:
            The message, or None when it is not time yet.
        """
        if now < self._next_exchange_at:
            return None
        self._next_exchange_at = now + self._state.settings.usage_interval
        own = self._own_sum(now=now)
        self._state.recent = self.usage_table.recent(now=now)
        self._state.shares.shift([own, *self._state.recent])
        self._search.peers.learn(
            self._state.recent,
            busy_part=own.busy_part,
            least_offer=self._least_offer(now=now),
        )
        return self.usage_table.message(own, now=now, random=self._state.random)

    # The side that has the slot.

    def reserve(self, message: ReserveSlot, *, now: float) -> list[GateAction]:
        """Takes a peer's request for a slot.

        Args:
            message: The request.
            now: Clock reading, seconds.

        Returns:
            An answer to the reservation, now or by a later event.
        """
        refusal = self._peer_requests.reserve(message, now=now)
        return refusal or self._dispatcher.dispatch(now=now)

    def release(self, reservation_id: str, *, now: float) -> list[GateAction]:
        """Takes a reservation back that its holder no longer wants.

        Args:
            reservation_id: Its name; one in use or unknown is only remembered.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        slot_is_free = self._peer_requests.release(reservation_id, now=now)
        return self._dispatcher.dispatch(now=now) if slot_is_free else []

    def start_reserved(self, reservation_id: str, *, now: float) -> bool:
        """Uses a granted reservation up.

        Args:
            reservation_id: Its name.
            now: Clock reading, seconds.

        Returns:
            True once when a slot is held; False says that the request did not run
            by this message.
        """
        return self._peer_requests.run(reservation_id, now=now)

    def cancel_reserved(self, reservation_id: str) -> bool:
        """Takes a caller's cancel that the holder of the request passes on.

        Args:
            reservation_id: The reservation that the request runs under.

        Returns:
            Whether it runs, so that the upstream must be told.
        """
        return self._peer_requests.cancel(reservation_id)

    def peer_request_finished(
        self, reservation_id: str, result: RunResult, *, now: float
    ) -> list[GateAction]:
        """Takes the end of a peer's request.

        Args:
            reservation_id: The reservation it ran under.
            result: How it ended.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        slot_is_free = self._peer_requests.finished(reservation_id, result, now=now)
        return self._dispatcher.dispatch(now=now) if slot_is_free else []

    # Figures for tests and operators.

    @property
    def slots_taken(self) -> int:
        """Slots that run or are held."""
        return len(self._state.slots)

    @property
    def waiting(self) -> int:
        """Requests in the queues, those of peers included."""
        return len(self._state.queues)

    @property
    def known(self) -> int:
        """Requests that have not ended, those of peers included."""
        return len(self._state.work_by_id)

    def busy_part(self, *, now: float) -> float:
        """Reads the recent part of slot time in use.

        Args:
            now: Clock reading, seconds.

        Returns:
            The part, 0 to 1.
        """
        return self._state.busy_part(now=now)

    # Time.

    def _tick_work(self, work: Work, *, now: float) -> list[GateAction]:
        if work.state is WorkState.QUEUED and work.expires_at <= now:
            return self._dispatcher.expire(work, now=now)
        if work.state is WorkState.HELD and now - work.queued_at >= HELD_SECONDS:
            return self._search.unhold(work, now=now)
        if work.state is WorkState.BACKING_OFF and work.queued_at <= now:
            return self._retries.requeue(work)
        if work.state is WorkState.RESERVED:
            return self._peer_requests.time_out(work, now=now)
        return []

    # Sums.

    def _own_sum(self, *, now: float) -> UsageSum:
        return own_sum(
            agent_id=self._member_id,
            busy_part=self._state.busy_part(now=now),
            used_by_group=self._state.meter.used_by_group,
            waiting_by_group=self._state.queues.waiting_by_group(),
            slot_time=self._state.watch.slot_time,
            sick=self._state.watch.looks_sick,
        )

    def _least_offer(self, *, now: float) -> float:
        if self._peer_requests.is_drained:
            return 1.0
        if self._state.watch.looks_sick or self._state.watch.is_slow(
            self._state.recent
        ):
            return OFFER_WHEN_SLOW
        return min(OFFER_WHEN_SLOW, 1.0 - self._state.ramp.part(now=now))
