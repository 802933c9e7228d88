"""What the parts of an agent's gate share: slots, queues, and how a request ends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import RunResult
from siskinshift.load.admission import Arrival
from siskinshift.load.admission import retry_hint
from siskinshift.load.fair_queues import FairQueues
from siskinshift.load.fair_queues import group_key
from siskinshift.load.part_limit import PartLimit
from siskinshift.load.ramp import ColdStartRamp
from siskinshift.load.retry_budget import RetryBudget
from siskinshift.load.shares import ServiceShares
from siskinshift.load.slots import SlotTable
from siskinshift.load.upstream_watch import UpstreamWatch
from siskinshift.load.usage import UsageMeter
from siskinshift.load.work import WorkState


if TYPE_CHECKING:
    from random import Random

    from siskinshift.core.requests import GateAction
    from siskinshift.core.requests import Request
    from siskinshift.load.work import Work
    from siskinshift.messages.load import UsageSum
    from siskinshift.settings.generated import LoadSettings


class GateState:
    """The requests at one agent and the slots of its upstream.

    Attributes:
        settings: Thresholds.
        random: Source of all random choices.
        is_draining: Whether no more requests are admitted.
        work_by_id: Requests that have not ended, those of peers included.
        searching_ids: Requests for which peers are asked for a slot that is free now.
        slots: Slots in use.
        shares: Weights of the groups.
        queues: Requests that wait.
        parts: Requests of each key and caller.
        budget: Second tries.
        ramp: How much of its load a cold upstream gets.
        watch: How the upstream does.
        meter: Slot time by group.
        recent: Recent sums of the peers.
    """

    def __init__(
        self,
        *,
        slots: int,
        ramp_time: float,
        settings: LoadSettings,
        random: Random,
        now: float,
    ) -> None:
        """Starts empty; see LoadGate."""
        self.settings = settings
        self.random = random
        self.is_draining = False
        self.work_by_id: dict[int, Work] = {}
        self.searching_ids: set[int] = set()
        self.slots = SlotTable(slots)
        self.shares = ServiceShares()
        self.queues = FairQueues(
            shares=self.shares, importance_floor=settings.importance_floor
        )
        self.parts = PartLimit(settings)
        self.budget = RetryBudget(fraction=settings.retry_part)
        self.ramp = ColdStartRamp(started_at=now, ramp_time=ramp_time)
        self.watch = UpstreamWatch(settings)
        self.meter = UsageMeter(now=now)
        self.recent: list[UsageSum] = []

    def arrival(self, work: Work, *, key_is_full: bool, now: float) -> Arrival:
        """Collects what decides on a request that arrives.

        Args:
            work: The request.
            key_is_full: Whether its key has as many requests as it may.
            now: Clock reading, seconds.

        Returns:
            The facts.
        """
        request = work.request
        key = group_key(work)
        slot_is_free = self.slots.has_free and not len(self.queues)
        return Arrival(
            time_left=request.deadline - now,
            is_draining=self.is_draining,
            key_is_full=key_is_full,
            slot_is_free=slot_is_free and self.may_start(now=now),
            caller_is_full=self.parts.caller_is_full(
                self.queues.caller_length(key, request.caller)
            ),
            waiting=self.queues.length(key),
            queue_limit=self.settings.queue_limit,
            wait=self.wait_estimate(work),
            queue_time_limit=self.settings.queue_time_limit,
            slot_time=self.queues.cost(key),
        )

    def wait_estimate(self, work: Work) -> float:
        """Estimates how long a request of this caller would wait now.

        Args:
            work: The request.

        Returns:
            Seconds.
        """
        return self.queues.wait_estimate(
            group_key(work), work.request.caller, slots=self.slots.limit.limit
        )

    def may_start(self, *, now: float) -> bool:
        """Tells whether the upstream takes another request now.

        Args:
            now: Clock reading, seconds.

        Returns:
            False while it looks sick and has its trial.
        """
        return self.watch.may_start(self.recent, now=now)

    def give_back(self, work: Work, result: RunResult | None, *, now: float) -> None:
        """Takes a slot back and learns from how it was used.

        Args:
            work: The request that held it.
            result: How it ended; None for a reservation that was not used.
            now: Clock reading, seconds.
        """
        self.slots.free(work)
        self.meter.ended(group_key(work), now=now)
        slot_time = now - work.started_at
        answered = result is RunResult.ANSWERED
        self.queues.ended(work, slot_time=slot_time, learns=answered)
        if answered:
            self.watch.answered(slot_time)
            self.slots.limit.answered()
        elif result is not None and not work.is_cancelled:
            self.watch.failed()
            if result is not RunResult.NOT_OFFERED:
                self.slots.limit.refused()

    def give_up(self, work: Work, error: ErrorKind) -> list[GateAction]:
        """Ends a request without an answer, truthfully.

        Args:
            work: The request.
            error: Why.

        Returns:
            A refusal if no byte of it was offered, else a failure.
        """
        if work.state is WorkState.QUEUED:
            self.queues.remove(work)
        actions = self.withdraw(work)
        self.forget(work)
        if not work.offered:
            return [*actions, self.refusal(work, error)]
        if error is ErrorKind.CANCELLED:
            error = ErrorKind.CANCELLED_RUNNING
        elif error is not ErrorKind.UPSTREAM_TIMEOUT:
            error = ErrorKind.UPSTREAM_FAILED
        return [*actions, FailRequest(work.request.request_id, error)]

    def refusal(self, work: Work, error: ErrorKind) -> RefuseRequest:
        """Makes a refusal with a hint when to come back.

        Args:
            work: The request.
            error: Why.

        Returns:
            The refusal.
        """
        hint = retry_hint(self.wait_estimate(work), random=self.random)
        return RefuseRequest(work.request.request_id, error, hint)

    def forget(self, work: Work) -> None:
        """Forgets a request that has ended; nothing is left to do.

        Args:
            work: The request.
        """
        if self.work_by_id.pop(work.request.request_id, None) is not None:
            self.parts.leave(part_key(work.request))

    def withdraw(self, work: Work) -> list[GateAction]:
        """Takes back the requests for slots of peers.

        Args:
            work: The request they were for.

        Returns:
            A release for each of them.
        """
        actions: list[GateAction] = [
            ReleaseAtPeer(peer_id, reservation_id)
            for reservation_id, peer_id in work.peer_ids_by_reservation.items()
        ]
        self.searching_ids.discard(work.request.request_id)
        work.peer_ids_by_reservation.clear()
        work.candidate_ids.clear()
        return actions

    def busy_part(self, *, now: float) -> float:
        """Reads the recent part of slot time in use.

        Args:
            now: Clock reading, seconds.

        Returns:
            The part, 0 to 1.
        """
        self.meter.advance(now=now)
        return sum(self.meter.used_by_group.values()) / self.slots.configured


def part_key(request: Request) -> tuple[str, str, str]:
    """Names the part of the load that a request belongs to.

    Args:
        request: The request.

    Returns:
        Service, group and key.
    """
    return (request.service_id, request.group_id, request.key)
