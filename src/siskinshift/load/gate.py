"""The gate of an agent: puts the decisions under load together.

Two promises are kept here and nowhere else:

- A request is refused as "not run" only while `Work.offered` is false. The flag is set
  before the action that offers a byte is given out, and taken back only by a result
  that says no byte reached any upstream.
- A request that may not be repeated is given out once (`StartRequest` or `RunAtPeer`);
  after that each end without an answer is a `FailRequest`.

A request that is given up gets its final answer with the very action list of the event
or tick that gave it up.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import AnswerReservation
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import Request
from siskinshift.core.requests import ReserveAtPeer
from siskinshift.core.requests import RunAtPeer
from siskinshift.core.requests import RunResult
from siskinshift.core.requests import StartRequest
from siskinshift.load.admission import Arrival
from siskinshift.load.admission import refusal_of
from siskinshift.load.admission import retry_hint
from siskinshift.load.fair_queues import FairQueues
from siskinshift.load.fair_queues import group_key
from siskinshift.load.part_limit import PartLimit
from siskinshift.load.peers import PeerChoice
from siskinshift.load.ramp import ColdStartRamp
from siskinshift.load.reservations import Reservations
from siskinshift.load.retry_budget import RetryBudget
from siskinshift.load.retry_budget import back_off
from siskinshift.load.shares import ServiceShares
from siskinshift.load.slots import SlotTable
from siskinshift.load.upstream_watch import UpstreamWatch
from siskinshift.load.usage import UsageMeter
from siskinshift.load.usage import UsageTable
from siskinshift.load.usage import own_sum
from siskinshift.load.work import Work
from siskinshift.load.work import WorkState
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from random import Random

    from siskinshift.core.requests import GateAction
    from siskinshift.core.views import View
    from siskinshift.messages.load import ReserveSlot
    from siskinshift.messages.load import UsageSum
    from siskinshift.messages.load import UsageSums
    from siskinshift.settings.generated import LoadSettings


# A peer that is asked first must answer within this time: some ten round trips.
HELD_SECONDS = 0.02
# Requests for which peers are asked for a free slot at the same time.
SEARCHES_AT_ONCE = 4
# A request that finds no free slot may wait for the next one of a peer whose queue is
# empty: about one request's time. Without it agents poll, and miss slots meanwhile.
SEARCH_WAIT_SECONDS = 0.05
# Requests of peers that may wait here, for each slot.
GUESTS_PER_SLOT = 4
# Tries at an upstream that could not be reached at all.
UNREACHED_TRIES = 4
# Part of new requests that an agent beside a slow or sick upstream offers to peers.
OFFER_WHEN_SLOW = 0.8


class LoadGate:
    """Decides what becomes of requests at one agent; implements `RequestGate`.

    Attributes:
        usage_table: Recent sums of the peers.
        shares: Weights of the groups.
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
        self._settings = settings
        self._random = random
        self._member_id = member_id
        self._name = f"{member_id}/{incarnation}"
        self._numbers = itertools.count(1)
        self._guest_ids = itertools.count(-1, -1)
        self._is_draining = False
        self._refuses_guests = False
        self._is_drained = False
        self._work_by_id: dict[int, Work] = {}
        # Requests for which peers are asked for a slot that is free now.
        self._searching_ids: set[int] = set()
        self._slots = SlotTable(slots)
        self.shares = ServiceShares()
        self._queues = FairQueues(
            shares=self.shares, importance_floor=settings.importance_floor
        )
        self._parts = PartLimit(settings)
        self._budget = RetryBudget(part=settings.retry_part)
        self._ramp = ColdStartRamp(started_at=now, ramp_time=ramp_time)
        self._watch = UpstreamWatch(settings)
        self._peers = PeerChoice(random=random)
        self._reservations = Reservations()
        self._meter = UsageMeter(now=now)
        self.usage_table = UsageTable(member_id=member_id)
        self._recent: list[UsageSum] = []
        self._next_exchange_at = now

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
        self._queues.configure({s.service_id: s.importance for s in services})
        self.shares.configure(
            {
                (service.service_id, group.group_id): float(group.share)
                for service in services
                for group in service.groups
            }
        )
        # Operators drain an agent by the configuration; it stays ready all the while.
        drained = {member_id for s in services for member_id in s.drained}
        self._is_drained = self._member_id in drained
        self._peers.configure(
            agent.member_id
            for agent in view.agents_by_class.get(upstream_class, ())
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
        expires_at = min(request.deadline, now + self._settings.queue_time_limit)
        work = Work(request=request, queued_at=now, expires_at=expires_at)
        key_is_full = self._parts.key_is_full(_part_key(request))
        error = refusal_of(self._arrival(work, key_is_full=key_is_full, now=now))
        may_move = not request.pinned and self._may_search(now=now)
        if error is ErrorKind.OVERLOADED and may_move:
            error = None
            work.state = WorkState.HELD
        if error is not None:
            return [self._refusal(work, error)]
        self._work_by_id[request.request_id] = work
        self._parts.enter(_part_key(request))
        offers_first = may_move and self._peers.wants_to_offer()
        if work.state is WorkState.HELD or offers_first:
            return self._hold(work, now=now)
        self._queues.push(work)
        return [*self._dispatch(now=now), *self._search_for(work, now=now)]

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
        work = self._work_by_id.get(request_id)
        if work is None or work.state not in (WorkState.RUNNING, WorkState.AT_PEER):
            return []
        known = result or (RunResult.ANSWERED if succeeded else RunResult.LOST)
        if work.state is WorkState.RUNNING:
            self._give_back(work, known, now=now)
        if succeeded and known is RunResult.ANSWERED:
            self._budget.succeeded()
        answers = result is not None
        return [*self._end(work, known, answers, now=now), *self._dispatch(now=now)]

    def cancel(self, request_id: int, *, now: float) -> list[GateAction]:
        """Takes a caller's cancel; one that comes after the end is passed over.

        Args:
            request_id: The request.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        work = self._work_by_id.get(request_id)
        if work is None or work.is_cancelled or work.is_guest:
            return []
        if work.state in (WorkState.RUNNING, WorkState.AT_PEER):
            work.is_cancelled = True
            return [CancelAtUpstream(request_id)]
        return self._give_up(work, ErrorKind.CANCELLED)

    def drain(self, *, now: float) -> list[GateAction]:
        """Stops to admit; queued requests still run, guests that wait are refused.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        self._is_draining = True
        return self.refuse_guests(now=now)

    def refuse_guests(self, *, now: float) -> list[GateAction]:
        """Takes no more requests of peers; those that wait are refused.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        self._refuses_guests = True
        actions: list[GateAction] = []
        for work in tuple(self._queues):
            if work.is_guest:
                actions += self._refuse_guest(work, now=now)
        return actions

    def tick(self, *, now: float) -> list[GateAction]:
        """Lets time pass.

        Args:
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        actions: list[GateAction] = []
        for work in tuple(self._work_by_id.values()):
            # Work may have ended by what was decided about work before it.
            if work.request.request_id in self._work_by_id:
                actions += self._tick_work(work, now=now)
        actions += self._dispatch(now=now)
        for work in tuple(self._queues):
            if not self._may_search(now=now):
                break
            actions += self._search_for(work, now=now)
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
        work = self._work_by_id.get(request_id)
        if work is None or reservation_id not in work.peer_ids_by_reservation:
            # Late or twice: the request is elsewhere. A slot may be held for nothing;
            # the name of a reservation in use is passed over by the peer.
            return [ReleaseAtPeer(peer_id, reservation_id)] if granted else []
        del work.peer_ids_by_reservation[reservation_id]
        self._searching_ids.discard(request_id)
        if granted:
            return self._run_at_peer(work, peer_id, reservation_id, now=now)
        return self._refused_by_peer(work, now=now)

    def usage_message(self, *, now: float) -> UsageSums | None:
        """Makes the sums for two random peers, when it is time to exchange them.

        Args:
            now: Clock reading, seconds.

        Returns:
            The message, or None when it is not time yet.
        """
        if now < self._next_exchange_at:
            return None
        self._next_exchange_at = now + self._settings.usage_interval
        own = self._own_sum(now=now)
        self._recent = self.usage_table.recent(now=now)
        self.shares.shift([own, *self._recent])
        self._peers.learn(
            self._recent,
            busy_part=own.busy_part,
            least_offer=self._least_offer(now=now),
        )
        return self.usage_table.message(own, now=now, random=self._random)

    # The side that has the slot.

    def reserve(self, message: ReserveSlot, *, now: float) -> list[GateAction]:
        """Takes a peer's wish for a slot.

        Args:
            message: The wish.
            now: Clock reading, seconds.

        Returns:
            An answer to the reservation, now or by a later event.
        """
        reservation_id = message.reservation_id
        if not self._reservations.is_new(reservation_id):
            return [AnswerReservation(reservation_id, False)]
        work = self._guest(message, now=now)
        if not self._takes_guest(work, waits=message.wait > 0, now=now):
            self._reservations.end(reservation_id, now=now)
            return [AnswerReservation(reservation_id, False)]
        self._work_by_id[work.request.request_id] = work
        self._reservations.open(reservation_id, work.request.request_id)
        self._queues.push(work)
        return self._dispatch(now=now)

    def release(self, reservation_id: str, *, now: float) -> list[GateAction]:
        """Takes a reservation back that its holder no longer wants.

        Args:
            reservation_id: Its name; one in use or unknown is only remembered.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        work = self._find_guest(reservation_id)
        if work is None:
            self._reservations.end(reservation_id, now=now)
            return []
        if work.state is WorkState.RUNNING:
            return []
        if work.state is WorkState.RESERVED:
            self._give_back(work, None, now=now)
            self._forget_guest(work, now=now)
            return self._dispatch(now=now)
        self._queues.remove(work)
        self._forget_guest(work, now=now)
        return []

    def run_reserved(self, reservation_id: str, *, now: float) -> bool:
        """Uses a granted reservation up.

        Args:
            reservation_id: Its name.
            now: Clock reading, seconds.

        Returns:
            True once when a slot is held; False says that the request did not run
            by this message.
        """
        work = self._find_guest(reservation_id)
        if work is None or work.state is not WorkState.RESERVED:
            return False
        if work.request.deadline <= now:
            return False
        work.state = WorkState.RUNNING
        work.started_at = now
        return True

    def cancel_reserved(self, reservation_id: str) -> bool:
        """Takes a caller's cancel that the holder of the request passes on.

        Args:
            reservation_id: The reservation that the request runs under.

        Returns:
            Whether it runs, so that the upstream must be told.
        """
        work = self._find_guest(reservation_id)
        if work is None or work.state is not WorkState.RUNNING or work.is_cancelled:
            return False
        work.is_cancelled = True
        return True

    def guest_finished(
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
        work = self._find_guest(reservation_id)
        if work is None or work.state is not WorkState.RUNNING:
            return []
        self._give_back(work, result, now=now)
        self._forget_guest(work, now=now)
        return self._dispatch(now=now)

    # Figures for tests and operators.

    @property
    def slots_taken(self) -> int:
        """Slots that run or are held."""
        return len(self._slots)

    @property
    def waiting(self) -> int:
        """Requests in the queues, those of peers included."""
        return len(self._queues)

    @property
    def known(self) -> int:
        """Requests that have not ended, those of peers included."""
        return len(self._work_by_id)

    def busy_part(self, *, now: float) -> float:
        """Reads the recent part of slot time in use.

        Args:
            now: Clock reading, seconds.

        Returns:
            The part, 0 to 1.
        """
        self._meter.advance(now=now)
        return sum(self._meter.used_by_group.values()) / self._slots.configured

    # Admission and start.

    def _arrival(self, work: Work, *, key_is_full: bool, now: float) -> Arrival:
        request = work.request
        key = group_key(work)
        slot_is_free = self._slots.has_free and not len(self._queues)
        return Arrival(
            time_left=request.deadline - now,
            is_draining=self._is_draining,
            key_is_full=key_is_full,
            slot_is_free=slot_is_free and self._may_start(now=now),
            caller_is_full=self._parts.caller_is_full(
                self._queues.caller_length(key, request.caller)
            ),
            waiting=self._queues.length(key),
            queue_limit=self._settings.queue_limit,
            wait=self._wait_estimate(work),
            queue_time_limit=self._settings.queue_time_limit,
            slot_time=self._queues.cost(key),
        )

    def _wait_estimate(self, work: Work) -> float:
        return self._queues.wait_estimate(
            group_key(work), work.request.caller, slots=self._slots.limit.limit
        )

    def _may_start(self, *, now: float) -> bool:
        return self._watch.may_start(self._recent, now=now)

    def _dispatch(self, *, now: float) -> list[GateAction]:
        actions: list[GateAction] = []
        while self._slots.has_free and self._may_start(now=now):
            work = self._queues.peek()
            if work is None:
                break
            if work.expires_at <= now:
                actions += self._expire(work, now=now)
                continue
            self._queues.remove(work)
            actions += self._start(work, now=now)
        return actions

    def _start(self, work: Work, *, now: float) -> list[GateAction]:
        self._slots.take(work)
        self._queues.start(work)
        self._meter.started(group_key(work), now=now)
        work.started_at = now
        self._watch.started(now=now)
        if work.is_guest:
            work.state = WorkState.RESERVED
            return [AnswerReservation(work.reservation_id, True)]
        work.state = WorkState.RUNNING
        work.offered = True
        work.attempts += 1
        return [*self._withdraw(work), StartRequest(work.request.request_id)]

    def _give_back(self, work: Work, result: RunResult | None, *, now: float) -> None:
        self._slots.free(work)
        self._meter.ended(group_key(work), now=now)
        slot_time = now - work.started_at
        answered = result is RunResult.ANSWERED
        self._queues.ended(work, slot_time=slot_time, learns=answered)
        if answered:
            self._watch.answered(slot_time)
            self._slots.limit.answered()
        elif result is not None and not work.is_cancelled:
            self._watch.failed()
            if result is not RunResult.NOT_OFFERED:
                self._slots.limit.refused()

    # Ends.

    def _end(
        self, work: Work, result: RunResult, answers: bool, *, now: float
    ) -> list[GateAction]:
        if result in (RunResult.ANSWERED, RunResult.SHED):
            return self._forget(work)
        if result is RunResult.NOT_OFFERED:
            # An earlier try may have reached the upstream.
            work.offered = work.was_lost
        else:
            work.was_lost = True
        if not answers:
            return self._forget(work)
        if work.is_cancelled:
            return self._give_up(work, ErrorKind.CANCELLED)
        if not self._may_try_again(work, result, now=now):
            return self._give_up(work, _error_of(work, result, now=now))
        if work.state is WorkState.AT_PEER and result is RunResult.NOT_OFFERED:
            return self._requeue(work)
        work.state = WorkState.BACKING_OFF
        work.queued_at = now + back_off(max(1, work.attempts), random=self._random)
        work.expires_at = work.request.deadline
        return []

    def _may_try_again(self, work: Work, result: RunResult, *, now: float) -> bool:
        if now + self._watch.slot_time >= work.request.deadline:
            return False
        if result is RunResult.NOT_OFFERED:
            return work.attempts < UNREACHED_TRIES
        return work.request.repeatable and self._budget.take()

    def _requeue(self, work: Work) -> list[GateAction]:
        key = group_key(work)
        if self._queues.length(key) >= self._settings.queue_limit:
            return self._give_up(work, ErrorKind.OVERLOADED)
        work.state = WorkState.QUEUED
        work.searched = False
        self._queues.push(work)
        return []

    def _give_up(self, work: Work, error: ErrorKind) -> list[GateAction]:
        if work.state is WorkState.QUEUED:
            self._queues.remove(work)
        actions = self._withdraw(work)
        self._forget(work)
        if not work.offered:
            return [*actions, self._refusal(work, error)]
        if error is ErrorKind.CANCELLED:
            error = ErrorKind.CANCELLED_RUNNING
        elif error is not ErrorKind.UPSTREAM_TIMEOUT:
            error = ErrorKind.UPSTREAM_FAILED
        return [*actions, FailRequest(work.request.request_id, error)]

    def _refusal(self, work: Work, error: ErrorKind) -> RefuseRequest:
        hint = retry_hint(self._wait_estimate(work), random=self._random)
        return RefuseRequest(work.request.request_id, error, hint)

    def _forget(self, work: Work) -> list[GateAction]:
        if self._work_by_id.pop(work.request.request_id, None) is not None:
            self._parts.leave(_part_key(work.request))
        return []

    # Time.

    def _tick_work(self, work: Work, *, now: float) -> list[GateAction]:
        if work.state is WorkState.QUEUED and work.expires_at <= now:
            return self._expire(work, now=now)
        if work.state is WorkState.HELD and now - work.queued_at >= HELD_SECONDS:
            return self._unhold(work, now=now)
        if work.state is WorkState.BACKING_OFF and work.queued_at <= now:
            return self._requeue(work)
        if work.state is WorkState.RESERVED:
            return self._time_out_reservation(work, now=now)
        return []

    def _expire(self, work: Work, *, now: float) -> list[GateAction]:
        if work.is_guest:
            return self._refuse_guest(work, now=now)
        if work.request.deadline <= now:
            return self._give_up(work, ErrorKind.DEADLINE_EXCEEDED)
        return self._give_up(work, ErrorKind.QUEUE_TIMEOUT)

    def _time_out_reservation(self, work: Work, *, now: float) -> list[GateAction]:
        # The holder died after it asked, or its messages are lost: without a time
        # limit the slot would be held for good.
        if now - work.started_at < self._settings.reservation_timeout:
            return []
        self._give_back(work, None, now=now)
        self._forget_guest(work, now=now)
        return []

    # Hand-over, the side that holds the request.

    def _may_search(self, *, now: float) -> bool:
        if len(self._searching_ids) >= SEARCHES_AT_ONCE:
            return False
        return self._peers.may_search(now=now)

    def _hold(self, work: Work, *, now: float) -> list[GateAction]:
        work.state = WorkState.HELD
        work.candidate_ids = self._peers.candidates()
        self._searching_ids.add(work.request.request_id)
        return self._ask_next(work, wait=0.0)

    def _unhold(self, work: Work, *, now: float) -> list[GateAction]:
        actions = self._withdraw(work)
        error = refusal_of(self._arrival(work, key_is_full=False, now=now))
        if error is not None and error is not ErrorKind.DRAINING:
            return [*actions, *self._give_up(work, error)]
        work.state = WorkState.QUEUED
        work.searched = True
        self._queues.push(work)
        return [*actions, *self._dispatch(now=now)]

    def _search_for(self, work: Work, *, now: float) -> list[GateAction]:
        is_idle = not work.is_guest and not work.peer_ids_by_reservation
        if work.state is not WorkState.QUEUED or not is_idle or work.offered:
            return []
        if work.request.pinned:
            return []
        if not work.searched and self.shares.is_under_share(group_key(work)):
            return self._ask_to_wait(work, now=now)
        if not self._may_search(now=now):
            return []
        work.candidate_ids = self._peers.candidates()
        self._searching_ids.add(work.request.request_id)
        wait = min(SEARCH_WAIT_SECONDS, work.expires_at - now)
        return self._ask_next(work, wait=max(0.0, wait))

    def _ask_to_wait(self, work: Work, *, now: float) -> list[GateAction]:
        work.searched = True
        work.candidate_ids = self._peers.candidates()
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
        self._peers.granted()
        if work.request.deadline <= now:
            actions = self._give_up(work, ErrorKind.DEADLINE_EXCEEDED)
            return [*actions, ReleaseAtPeer(peer_id, reservation_id)]
        if work.state is WorkState.QUEUED:
            self._queues.remove(work)
        actions = self._withdraw(work)
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
            self._searching_ids.add(work.request.request_id)
            wait = 0.0 if work.state is WorkState.HELD else SEARCH_WAIT_SECONDS
            return self._ask_next(work, wait=wait)
        self._peers.refused_by_all(now=now)
        if work.state is WorkState.HELD:
            return self._unhold(work, now=now)
        return []

    def _search_next(self, *, now: float) -> list[GateAction]:
        for work in self._queues:
            actions = self._search_for(work, now=now)
            if actions:
                return actions
        return []

    def _withdraw(self, work: Work) -> list[GateAction]:
        actions: list[GateAction] = [
            ReleaseAtPeer(peer_id, reservation_id)
            for reservation_id, peer_id in work.peer_ids_by_reservation.items()
        ]
        self._searching_ids.discard(work.request.request_id)
        work.peer_ids_by_reservation.clear()
        work.candidate_ids.clear()
        return actions

    # Hand-over, the side that has the slot.

    def _guest(self, message: ReserveSlot, *, now: float) -> Work:
        request = Request(
            request_id=next(self._guest_ids),
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

    def _takes_guest(self, work: Work, *, waits: bool, now: float) -> bool:
        if self._refuses_guests or self._is_drained or work.request.deadline <= now:
            return False
        if self._watch.looks_sick or self._watch.is_slow(self._recent):
            return False
        if self._random.random() > self._ramp.part(now=now):
            return False
        if not len(self._queues):
            return waits or self._slots.has_free
        if not waits or not self.shares.is_under_share(group_key(work)):
            return False
        if self._queues.length(group_key(work)) >= self._settings.queue_limit:
            return False
        return len(self._reservations) < GUESTS_PER_SLOT * self._slots.configured

    def _find_guest(self, reservation_id: str) -> Work | None:
        work_id = self._reservations.find(reservation_id)
        return None if work_id is None else self._work_by_id.get(work_id)

    def _refuse_guest(self, work: Work, *, now: float) -> list[GateAction]:
        self._queues.remove(work)
        self._forget_guest(work, now=now)
        return [AnswerReservation(work.reservation_id, False)]

    def _forget_guest(self, work: Work, *, now: float) -> None:
        self._reservations.end(work.reservation_id, now=now)
        self._forget(work)

    # Sums.

    def _own_sum(self, *, now: float) -> UsageSum:
        return own_sum(
            agent_id=self._member_id,
            busy_part=self.busy_part(now=now),
            used_by_group=self._meter.used_by_group,
            waiting_by_group=self._queues.waiting_by_group(),
            slot_time=self._watch.slot_time,
            sick=self._watch.looks_sick,
        )

    def _least_offer(self, *, now: float) -> float:
        if self._is_drained:
            return 1.0
        if self._watch.looks_sick or self._watch.is_slow(self._recent):
            return OFFER_WHEN_SLOW
        return min(OFFER_WHEN_SLOW, 1.0 - self._ramp.part(now=now))


def _part_key(request: Request) -> tuple[str, str, str]:
    return (request.service_id, request.group_id, request.key)


def _error_of(work: Work, result: RunResult, *, now: float) -> ErrorKind:
    if work.request.deadline <= now:
        is_lost = result is RunResult.LOST
        return ErrorKind.UPSTREAM_TIMEOUT if is_lost else ErrorKind.DEADLINE_EXCEEDED
    if result is RunResult.NOT_OFFERED:
        return ErrorKind.NO_UPSTREAM
    return ErrorKind.UPSTREAM_FAILED
