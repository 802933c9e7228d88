"""Scheduling policy `fair`: urgency, timeliness and fairness among callers.

Load: bursts above capacity, and callers that send far more than others. The policy
`objective` lets requests that are due go first, so above capacity nearly every start is
one of a late request; and a caller with many requests delays all others.

Order: classes are pairs of timeliness and urgency. Requests in time go before late
ones, since a late response is worth less; among the late ones those that are due go
first. More urgent classes go first within each group. Within a class first attempts
precede retries, and callers are served by start-time fair queueing.

Shares: each urgency gets `MIN_URGENCY_FRACTION` of the starts while it waits. Due
requests get `MIN_DUE_FRACTION`, but precede only requests in time that are not more
urgent, and only if their caller is within its fair share. Due requests that may run
once at most go before all others: their callers cannot repeat them once their flow is
open, and admission control bounds their number. They go in order of their deadlines,
without fairness among callers: a caller with many of them can precede the others.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import ClassVar

from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.scheduling.policies import Timeliness
from siskinshift.connections.scheduling.policies import scheduling_policy
from siskinshift.connections.scheduling.policies import timeliness
from siskinshift.connections.segment import caller_host
from siskinshift.load.virtual_time import VirtualTimeOrder


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Hashable
    from collections.abc import Iterable

    from siskinshift.connections.request_queue import WaitingRequest
    from siskinshift.connections.scheduling.policies import RunSeconds


# Fraction of the starts that each urgency gets while it has waiting requests.
MIN_URGENCY_FRACTION = 0.1
# Fraction of the starts that due requests get while they wait, as far as their callers
# are within their fair share. With a smaller one more late requests stay unanswered;
# with 1.0 due requests could take every slot.
MIN_DUE_FRACTION = 0.9
# Largest credit of a share, in costs of one request: a share that was not used for long
# must not block the others for long.
MAX_CREDIT_COSTS = 2.0
# Kinds whose requests a caller cannot repeat on an open flow.
UNREPEATABLE_KINDS = frozenset({RequestKind.NON_IDEMPOTENT, RequestKind.UPLOAD})
# Number of starts between two removals of idle callers from the virtual times.
STARTS_BETWEEN_SWEEPS = 256


class MinimumShares:
    """Credits of keys that have a minimum share of the slot time."""

    def __init__(self) -> None:
        """Initializes the shares without credit."""
        self._credits_by_key: dict[Hashable, float] = {}

    def owed(self, fractions_by_key: dict[Hashable, float]) -> Hashable | None:
        """Returns a key that has waited for its share, None if none has.

        Of several, the one with the smallest share goes first: it is owed a start so
        rarely that the others keep theirs.

        Args:
            fractions_by_key: Share of each key with waiting requests. Others lose their
                credit.
        """
        self._credits_by_key = {
            key: self._credits_by_key.get(key, 0.0) for key in fractions_by_key
        }
        owed = [key for key, credit in self._credits_by_key.items() if credit >= 1]
        if not owed:
            return None
        return min(
            owed, key=lambda key: (fractions_by_key[key], -self._credits_by_key[key])
        )

    def charge(
        self, served: set[Hashable], fractions_by_key: dict[Hashable, float]
    ) -> None:
        """Adds to the credit of waiting keys, and takes it from those that were served.

        Args:
            served: Keys of the request that starts.
            fractions_by_key: Share of each key with waiting requests.
        """
        for key, fraction in fractions_by_key.items():
            credit = self._credits_by_key.get(key, 0.0) + fraction
            if key in served:
                credit = max(0.0, credit - 1)
            self._credits_by_key[key] = min(MAX_CREDIT_COSTS, credit)


@scheduling_policy("fair")
class FairPolicy:
    """Serves callers in turn within classes of timeliness and urgency."""

    uses_run_times: ClassVar[bool] = True

    def __init__(self) -> None:
        """Initializes the policy without history."""
        self._shares = MinimumShares()
        self._orders_by_urgency: dict[int, VirtualTimeOrder[str]] = {}
        self._starts = 0

    def choose(
        self,
        requests: Collection[WaitingRequest],
        *,
        run_seconds: RunSeconds,
        now: float,
    ) -> WaitingRequest:
        """Returns the next request; see the module."""
        by_class: dict[tuple[Timeliness, int], list[WaitingRequest]] = {}
        unrepeatable: list[WaitingRequest] = []
        for request in requests:
            expected = run_seconds(request.parameters)
            group = timeliness(request, run_seconds=expected, now=now)
            by_class.setdefault((group, request.parameters.urgency), []).append(request)
            kind = request.parameters.kind
            if group is Timeliness.DUE and kind in UNREPEATABLE_KINDS:
                unrepeatable.append(request)
        if unrepeatable:
            return min(unrepeatable, key=lambda request: request.expires_at)
        fractions_by_key: dict[Hashable, float] = {
            urgency: MIN_URGENCY_FRACTION for _, urgency in by_class
        }
        if any(group is Timeliness.DUE for group, _ in by_class):
            fractions_by_key["due"] = MIN_DUE_FRACTION
        owed = self._shares.owed(fractions_by_key)
        if owed == "due" and _has_more_urgent_in_time(by_class):
            owed = None
        allowed = [
            key
            for key in by_class
            if owed is None
            or owed == key[1]
            or (owed == "due" and key[0] is Timeliness.DUE)
        ]
        group, urgency = min(allowed, key=_class_rank)
        served: set[Hashable] = {urgency}
        if group is Timeliness.DUE:
            served.add("due")
        self._shares.charge(served, fractions_by_key)
        chosen = self._choose_by_caller(urgency, by_class[group, urgency])
        in_time = by_class.get((Timeliness.IN_TIME, urgency))
        if owed != "due" or in_time is None:
            return chosen
        # A caller beyond its fair share gets no slot ahead of others because its own
        # requests have become due.
        other = self._choose_by_caller(urgency, in_time)
        callers = (caller_host(chosen.flow), caller_host(other.flow))
        is_within_share = self._order(urgency).choose(callers) == callers[0]
        return chosen if is_within_share else other

    def record_start(self, request: WaitingRequest, *, cost: float) -> None:
        """Charges the caller of a request.

        Args:
            request: The request.
            cost: Its expected slot seconds.
        """
        order = self._order(request.parameters.urgency)
        caller = caller_host(request.flow)
        order.activate(caller)
        order.charge(caller, cost=cost, weight=1.0)
        self._starts += 1
        if self._starts % STARTS_BETWEEN_SWEEPS == 0:
            for each in self._orders_by_urgency.values():
                each.drop_idle(())

    def _order(self, urgency: int) -> VirtualTimeOrder[str]:
        return self._orders_by_urgency.setdefault(urgency, VirtualTimeOrder())

    def _choose_by_caller(
        self, urgency: int, requests: list[WaitingRequest]
    ) -> WaitingRequest:
        candidates = [r for r in requests if not r.is_retry] or requests
        first_by_caller: dict[str, WaitingRequest] = {}
        for request in candidates:
            first = first_by_caller.setdefault(caller_host(request.flow), request)
            if request.arrived_at < first.arrived_at:
                first_by_caller[caller_host(request.flow)] = request
        order = self._order(urgency)
        for caller in first_by_caller:
            order.activate(caller)
        # Among callers with equal virtual times the earliest arrival goes first.
        callers = sorted(first_by_caller, key=lambda c: first_by_caller[c].arrived_at)
        return first_by_caller[order.choose(callers)]


def _class_rank(key: tuple[Timeliness, int]) -> tuple[bool, int, int]:
    group, urgency = key
    return (group is not Timeliness.IN_TIME, group, urgency)


def _has_more_urgent_in_time(by_class: Iterable[tuple[Timeliness, int]]) -> bool:
    """Returns whether a class in time is more urgent than every due one."""
    keys = list(by_class)
    in_time = [urgency for group, urgency in keys if group is Timeliness.IN_TIME]
    due = [urgency for group, urgency in keys if group is Timeliness.DUE]
    return bool(in_time) and min(in_time) < min(due)
