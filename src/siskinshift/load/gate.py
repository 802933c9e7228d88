"""Request gate of an agent: admission, queueing, handover and retries.

Only the modules of the gate (`gate`, `gate_state`, `dispatcher`, `peer_requests`,
`peer_search`, `retries`) maintain two invariants:

- A request is refused as "not run" only while `WorkItem.offered` is false. The flag is
  set before the action that offers a byte is returned (`Dispatcher`, `PeerSearch`), and
  cleared only by a result that no byte reached any upstream (`RetryPolicy`).
- A request that may not be repeated is started once (`StartRequest` or `RunAtPeer`).
  After that each end without a response is a `FailRequest`.

If the upstream gives no response, the actions of the event or tick that ends the
request contain its final response.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import Request
from siskinshift.core.requests import RunResult
from siskinshift.core.views import is_drained
from siskinshift.load.admission import check_admission
from siskinshift.load.dispatcher import Dispatcher
from siskinshift.load.gate_state import GateState
from siskinshift.load.gate_state import scoped_key
from siskinshift.load.peer_requests import HOLD_TIMEOUT_SECONDS
from siskinshift.load.peer_requests import PeerRequests
from siskinshift.load.peer_search import PeerSearch
from siskinshift.load.retries import RetryPolicy
from siskinshift.load.usage import UsageTable
from siskinshift.load.usage import own_sum
from siskinshift.load.work import WAITING_STATES
from siskinshift.load.work import WorkItem
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


# Fraction of new requests that an agent with a slow or unhealthy upstream offers to
# peers first.
DEGRADED_OFFER_FRACTION = 0.8


class LoadGate:
    """Schedules the requests at one agent; implements `RequestGate`.

    Attributes:
        usage_table: Recent usage sums of the peers.
    """

    def __init__(
        self,
        *,
        member_id: str,
        incarnation: int,
        slots: int,
        ramp_duration: float,
        settings: LoadSettings,
        random: Random,
        now: float,
    ) -> None:
        """Initializes the gate of an upstream that was just started.

        Args:
            member_id: The agent's member id.
            incarnation: The agent's incarnation; part of reservation ids.
            slots: Configured slots of the upstream.
            ramp_duration: Seconds until the upstream gets full load.
            settings: Thresholds.
            random: Source of all random choices.
            now: Clock reading, seconds.
        """
        self._member_id = member_id
        self._state = GateState(
            slots=slots,
            ramp_duration=ramp_duration,
            settings=settings,
            random=random,
            now=now,
        )
        self._peer_requests = PeerRequests(self._state)
        self._retry_policy = RetryPolicy(self._state)
        self._dispatcher = Dispatcher(self._state, self._peer_requests)
        id_prefix = f"{member_id}/{incarnation}"
        self._peer_search = PeerSearch(
            self._state, self._dispatcher, id_prefix=id_prefix
        )
        self.usage_table = UsageTable(member_id=member_id)
        self._next_exchange_at = now

    @property
    def shares(self) -> ServiceShares:
        """Weights of the groups."""
        return self._state.shares

    # Events at this agent.

    def update(self, view: View, *, upstream_class: str) -> None:
        """Applies a new view: groups, shares, importance and peers.

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
        # Operators drain an agent by configuration; its member state stays READY.
        agents = view.agents_by_class.get(upstream_class, ())
        drained = {
            agent.member_id
            for service in services
            for agent in agents
            if is_drained(service, agent)
        }
        self._peer_requests.is_drained = self._member_id in drained
        self._peer_search.peers.configure(
            agent.member_id
            for agent in agents
            if agent.state is MemberState.READY
            and agent.member_id not in drained
            and agent.member_id != self._member_id
        )

    def submit(self, request: Request, *, now: float) -> list[GateAction]:
        """Handles an arriving request.

        Args:
            request: The request; its id is 0 or more and unique.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        expires_at = min(request.deadline, now + self._state.settings.queue_time_limit)
        work = WorkItem(request=request, queued_at=now, expires_at=expires_at)
        key_is_at_limit = self._state.caller_limits.key_is_at_limit(scoped_key(request))
        error = check_admission(
            self._state.describe_arrival(work, key_is_at_limit=key_is_at_limit, now=now)
        )
        can_hand_over = not request.pinned and self._peer_search.may_search(now=now)
        if error is ErrorKind.OVERLOADED and can_hand_over:
            error = None
            work.state = WorkState.HELD
        if error is not None:
            return [self._state.refusal(work, error)]
        self._state.work_by_id[request.request_id] = work
        self._state.caller_limits.add(scoped_key(request))
        offers_first = can_hand_over and self._peer_search.peers.should_offer()
        if work.state is WorkState.HELD or offers_first:
            return self._peer_search.hold(work, now=now)
        self._state.queues.push(work)
        return [
            *self._dispatcher.dispatch(now=now),
            *self._peer_search.search_for(work, now=now),
        ]

    def finished(
        self,
        request_id: int,
        *,
        succeeded: bool,
        now: float,
        result: RunResult | None = None,
    ) -> list[GateAction]:
        """Handles the end of a started request, here or at a peer.

        Args:
            request_id: The request; an unknown id (late or duplicate) is ignored.
            succeeded: Whether the upstream succeeded.
            now: Clock reading, seconds.
            result: How it ended; without it the request runner responds to the caller.

        Returns:
            The actions to carry out.
        """
        work = self._state.work_by_id.get(request_id)
        if work is None or work.state not in (WorkState.RUNNING, WorkState.AT_PEER):
            return []
        run_result = result or (RunResult.ANSWERED if succeeded else RunResult.LOST)
        if work.state is WorkState.RUNNING:
            self._state.release_slot(work, run_result, now=now)
        if succeeded and run_result is RunResult.ANSWERED:
            self._state.retry_budget.record_success()
        gate_responds = result is not None
        return [
            *self._retry_policy.handle_attempt_end(
                work, run_result, gate_responds, now=now
            ),
            *self._dispatcher.dispatch(now=now),
        ]

    def cancel(self, request_id: int, *, now: float) -> list[GateAction]:
        """Handles a caller's cancellation; it is ignored after the end of the request.

        Args:
            request_id: The request.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        work = self._state.work_by_id.get(request_id)
        if work is None or work.is_cancelled or work.is_from_peer:
            return []
        if work.state in (WorkState.RUNNING, WorkState.AT_PEER):
            work.is_cancelled = True
            return [CancelAtUpstream(request_id)]
        return self._state.end_without_response(work, ErrorKind.CANCELLED)

    def drain(self, *, now: float) -> list[GateAction]:
        """Stops admission; own queued requests still run, those of peers are refused.

        Args:
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        self._state.is_draining = True
        return self.refuse_peer_requests(now=now)

    def refuse_peer_requests(self, *, now: float) -> list[GateAction]:
        """Stops accepting requests of peers and refuses those in the queues.

        Args:
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        return self._peer_requests.refuse_all(now=now)

    def tick(self, *, now: float) -> list[GateAction]:
        """Handles expired requests, finished back-offs and due peer searches.

        Args:
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        actions: list[GateAction] = []
        for work in tuple(self._state.work_by_id.values()):
            # Handling an earlier request may have ended this one.
            if work.request.request_id in self._state.work_by_id:
                actions += self._tick_work(work, now=now)
        actions += self._dispatcher.dispatch(now=now)
        for work in tuple(self._state.queues):
            if not self._peer_search.may_search(now=now):
                break
            actions += self._peer_search.search_for(work, now=now)
        return actions

    # Messages between agents: the side that holds the request.

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
        return self._peer_search.handle_reservation_reply(
            request_id,
            peer_id=peer_id,
            reservation_id=reservation_id,
            granted=granted,
            now=now,
        )

    def usage_message(self, *, now: float) -> UsageSums | None:
        """Builds the usage sums for two random peers if the next exchange is due.

        Args:
            now: Clock reading, seconds.

        Returns:
            The message, or None if no exchange is due.
        """
        if now < self._next_exchange_at:
            return None
        self._next_exchange_at = now + self._state.settings.usage_interval
        own = self._own_sum(now=now)
        self._state.recent_sums = self.usage_table.recent(now=now)
        self._state.shares.adjust([own, *self._state.recent_sums])
        self._peer_search.peers.update_usage(
            self._state.recent_sums,
            busy_fraction=own.busy_part,
            min_offer_fraction=self._min_offer_fraction(now=now),
        )
        return self.usage_table.message(own, now=now, random=self._state.random)

    # Messages between agents: the side that has the slot.

    def reserve(self, message: ReserveSlot, *, now: float) -> list[GateAction]:
        """Handles a peer's request for a slot.

        Args:
            message: The request.
            now: Clock reading, seconds.

        Returns:
            The reply to the reservation, unless a later event returns it.
        """
        refusal = self._peer_requests.reserve(message, now=now)
        return refusal or self._dispatcher.dispatch(now=now)

    def release(self, reservation_id: str, *, now: float) -> list[GateAction]:
        """Handles the release of a reservation that a peer no longer needs.

        Args:
            reservation_id: Its id; a reservation in use is not released, an unknown id
                is recorded as ended.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        slot_is_free = self._peer_requests.release(reservation_id, now=now)
        return self._dispatcher.dispatch(now=now) if slot_is_free else []

    def start_reserved(self, reservation_id: str, *, now: float) -> bool:
        """Starts the request of a granted reservation.

        Args:
            reservation_id: Its id.
            now: Clock reading, seconds.

        Returns:
            True once if a slot is held; False if this message did not start the
            request.
        """
        return self._peer_requests.start(reservation_id, now=now)

    def cancel_reserved(self, reservation_id: str) -> bool:
        """Handles a caller's cancellation that a peer forwards.

        Args:
            reservation_id: The reservation of the request.

        Returns:
            Whether the request runs, so that the upstream must be notified.
        """
        return self._peer_requests.cancel(reservation_id)

    def peer_request_finished(
        self, reservation_id: str, result: RunResult, *, now: float
    ) -> list[GateAction]:
        """Handles the end of a peer's request.

        Args:
            reservation_id: The reservation of the request.
            result: How it ended.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        slot_is_free = self._peer_requests.finished(reservation_id, result, now=now)
        return self._dispatcher.dispatch(now=now) if slot_is_free else []

    # Counters for tests and operators.

    @property
    def slots_in_use(self) -> int:
        """Slots that run a request or are reserved."""
        return len(self._state.slots)

    @property
    def queue_length(self) -> int:
        """Number of queued requests, including those of peers."""
        return len(self._state.queues)

    @property
    def pending_count(self) -> int:
        """Number of requests that have not ended, including those of peers."""
        return len(self._state.work_by_id)

    def busy_fraction(self, *, now: float) -> float:
        """Returns the recent fraction of slot time in use.

        Args:
            now: Clock reading, seconds.

        Returns:
            The fraction, 0 to 1.
        """
        return self._state.busy_fraction(now=now)

    # Timers.

    def _tick_work(self, work: WorkItem, *, now: float) -> list[GateAction]:
        if work.state in WAITING_STATES and work.expires_at <= now:
            return self._dispatcher.expire(work, now=now)
        if (
            work.state is WorkState.HELD
            and now - work.queued_at >= HOLD_TIMEOUT_SECONDS
        ):
            return self._peer_search.enqueue_held(work, now=now)
        if work.state is WorkState.BACKING_OFF and work.queued_at <= now:
            return self._retry_policy.requeue(work)
        if work.state is WorkState.RESERVED:
            return self._peer_requests.release_if_timed_out(work, now=now)
        return []

    # Usage sums.

    def _own_sum(self, *, now: float) -> UsageSum:
        return own_sum(
            agent_id=self._member_id,
            busy_fraction=self._state.busy_fraction(now=now),
            used_by_group=self._state.usage_meter.used_by_group,
            waiting_by_group=self._state.queues.waiting_by_group(),
            slot_time=self._state.upstream_health.slot_time,
            is_unhealthy=self._state.upstream_health.looks_unhealthy,
        )

    def _min_offer_fraction(self, *, now: float) -> float:
        if self._peer_requests.is_drained:
            return 1.0
        if (
            self._state.upstream_health.looks_unhealthy
            or self._state.upstream_health.is_slow(self._state.recent_sums)
        ):
            return DEGRADED_OFFER_FRACTION
        return min(DEGRADED_OFFER_FRACTION, 1.0 - self._state.ramp.fraction(now=now))
