"""State shared by the modules of an agent's gate: slots, queues, pending requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import RunResult
from siskinshift.load.admission import Arrival
from siskinshift.load.admission import retry_hint
from siskinshift.load.caller_limits import CallerLimits
from siskinshift.load.fair_queues import FairQueues
from siskinshift.load.fair_queues import group_key
from siskinshift.load.ramp import ColdStartRamp
from siskinshift.load.retry_budget import RetryBudget
from siskinshift.load.shares import ServiceShares
from siskinshift.load.slots import SlotTable
from siskinshift.load.upstream_health import UpstreamHealth
from siskinshift.load.usage import UsageMeter
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from random import Random

    from siskinshift.core.requests import GateAction
    from siskinshift.core.requests import Request
    from siskinshift.load.work import WorkItem
    from siskinshift.messages.load import UsageSum
    from siskinshift.settings.generated import LoadSettings


class GateState:
    """Holds the requests at one agent and the slots of its upstream.

    Attributes:
        settings: Thresholds.
        random: Source of all random choices.
        is_draining: Whether no more requests are admitted.
        work_by_id: Requests that have not ended, including those of peers.
        searching_ids: Requests for which a free slot is requested from peers.
        slots: Slots in use.
        shares: Weights of the groups.
        queues: Queued requests.
        caller_limits: Limits of each idempotency key and caller.
        retry_budget: Budget of retries.
        ramp: Cold-start ramp of the upstream.
        upstream_health: Health of the upstream.
        usage_meter: Slots in use by group.
        recent_sums: Recent usage sums of the peers.
    """

    def __init__(
        self,
        *,
        slots: int,
        ramp_duration: float,
        settings: LoadSettings,
        random: Random,
        now: float,
    ) -> None:
        """Initializes an empty state; see LoadGate for the parameters."""
        self.settings = settings
        self.random = random
        self.is_draining = False
        self.work_by_id: dict[int, WorkItem] = {}
        self.searching_ids: set[int] = set()
        self.slots = SlotTable(slots)
        self.shares = ServiceShares()
        self.queues = FairQueues(
            shares=self.shares, importance_floor=settings.importance_floor
        )
        self.caller_limits = CallerLimits(settings)
        self.retry_budget = RetryBudget(fraction=settings.retry_part)
        self.ramp = ColdStartRamp(started_at=now, ramp_duration=ramp_duration)
        self.upstream_health = UpstreamHealth(settings)
        self.usage_meter = UsageMeter(now=now)
        self.recent_sums: list[UsageSum] = []

    def describe_arrival(
        self, work: WorkItem, *, key_is_at_limit: bool, now: float
    ) -> Arrival:
        """Collects the input of the admission checks for an arriving request.

        Args:
            work: The request.
            key_is_at_limit: Whether its idempotency key is at its limit.
            now: Clock reading, seconds.

        Returns:
            The input of the admission checks.
        """
        request = work.request
        key = group_key(work)
        slot_is_free = self.slots.has_free_slot and not len(self.queues)
        return Arrival(
            time_left=request.deadline - now,
            is_draining=self.is_draining,
            key_is_at_limit=key_is_at_limit,
            slot_is_free=slot_is_free and self.may_start(now=now),
            caller_is_at_limit=self.caller_limits.caller_is_at_limit(
                self.queues.caller_length(key, request.caller)
            ),
            waiting=self.queues.group_length(key),
            queue_limit=self.settings.queue_limit,
            estimated_wait=self.estimate_wait(work),
            queue_time_limit=self.settings.queue_time_limit,
            expected_slot_time=self.queues.cost(key),
        )

    def estimate_wait(self, work: WorkItem) -> float:
        """Estimates how long a request of this caller would wait now.

        Args:
            work: The request.

        Returns:
            Seconds.
        """
        return self.queues.estimate_wait(
            group_key(work), work.request.caller, slots=self.slots.limit.current
        )

    def may_start(self, *, now: float) -> bool:
        """Returns whether a request may be offered to the upstream now.

        Args:
            now: Clock reading, seconds.

        Returns:
            False while it is unhealthy and the next probe is not due.
        """
        return self.upstream_health.may_start(self.recent_sums, now=now)

    def release_slot(
        self, work: WorkItem, result: RunResult | None, *, now: float
    ) -> None:
        """Releases a slot and updates the statistics with the result.

        Args:
            work: The request that held the slot.
            result: How it ended; None for a reservation that was not used.
            now: Clock reading, seconds.
        """
        self.slots.release(work)
        self.usage_meter.record_end(group_key(work), now=now)
        slot_time = now - work.started_at
        answered = result is RunResult.ANSWERED
        self.queues.record_end(work, slot_time=slot_time, updates_cost=answered)
        if answered:
            self.upstream_health.record_success(slot_time)
            self.slots.limit.record_success()
        elif result is not None and not work.is_cancelled:
            self.upstream_health.record_failure()
            if result is not RunResult.NOT_OFFERED:
                self.slots.limit.record_overload()

    def end_without_response(
        self, work: WorkItem, error: ErrorKind
    ) -> list[GateAction]:
        """Ends a request without a response from the upstream.

        Args:
            work: The request.
            error: The reason.

        Returns:
            A refusal if no byte of it was offered, else a failure.
        """
        if work.state is WorkState.QUEUED:
            self.queues.remove(work)
        actions = self.release_reservations(work)
        self.drop(work)
        if not work.offered:
            return [*actions, self.refusal(work, error)]
        if error is ErrorKind.CANCELLED:
            error = ErrorKind.CANCELLED_RUNNING
        elif error is not ErrorKind.UPSTREAM_TIMEOUT:
            error = ErrorKind.UPSTREAM_FAILED
        return [*actions, FailRequest(work.request.request_id, error)]

    def refusal(self, work: WorkItem, error: ErrorKind) -> RefuseRequest:
        """Builds a refusal with a retry hint.

        Args:
            work: The request.
            error: The reason.

        Returns:
            The refusal.
        """
        hint = retry_hint(self.estimate_wait(work), random=self.random)
        return RefuseRequest(work.request.request_id, error, hint)

    def drop(self, work: WorkItem) -> None:
        """Removes a request that has ended.

        Args:
            work: The request.
        """
        if self.work_by_id.pop(work.request.request_id, None) is not None:
            self.caller_limits.remove(scoped_key(work.request))

    def release_reservations(self, work: WorkItem) -> list[GateAction]:
        """Releases the reservations that a request has at peers.

        Args:
            work: The request.

        Returns:
            A release for each reservation.
        """
        actions: list[GateAction] = [
            ReleaseAtPeer(peer_id, reservation_id)
            for reservation_id, peer_id in work.peer_ids_by_reservation_id.items()
        ]
        self.searching_ids.discard(work.request.request_id)
        work.peer_ids_by_reservation_id.clear()
        work.candidate_ids.clear()
        return actions

    def busy_fraction(self, *, now: float) -> float:
        """Returns the recent fraction of slot time in use.

        Args:
            now: Clock reading, seconds.

        Returns:
            The fraction, 0 to 1.
        """
        self.usage_meter.advance(now=now)
        return sum(self.usage_meter.used_by_group.values()) / self.slots.configured


def scoped_key(request: Request) -> tuple[str, str, str]:
    """Returns the idempotency key of a request with its scope.

    Args:
        request: The request.

    Returns:
        Service, group and idempotency key.
    """
    return (request.service_id, request.group_id, request.key)
