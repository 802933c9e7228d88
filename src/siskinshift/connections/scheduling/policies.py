"""Registry of the scheduling policies of an agent's queue, and today's order.

A policy only selects the next request among those that wait; the queue owns them.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import TYPE_CHECKING
from typing import ClassVar
from typing import Protocol
from typing import TypeAlias
from typing import TypeVar


if TYPE_CHECKING:
    from collections.abc import Collection

    from siskinshift.connections.request_queue import RequestParameters
    from siskinshift.connections.request_queue import WaitingRequest

    RunSeconds: TypeAlias = Callable[[RequestParameters], float]


# Fraction of the time until the deadline after which a late request is urgent. A late
# response is still useful, but each one that goes first makes a new request late.
DUE_FRACTION = 0.8
# Time that a request needs to meet its objective, in mean run times.
OBJECTIVE_MARGIN_MEAN_TIMES = 2.0


class Timeliness(IntEnum):
    """Relation of a waiting request to its objective and deadline.

    DUE: late and close to the deadline. IN_TIME: can still meet its objective. LATE:
    past its objective.
    """

    DUE = 0
    IN_TIME = 1
    LATE = 2


class SchedulingPolicy(Protocol):
    """Selects the next request of an agent's queue.

    Attributes:
        uses_run_times: Whether run times are expected by kind, from answered requests
            only, instead of the mean of all.
    """

    uses_run_times: ClassVar[bool]

    def choose(
        self,
        requests: Collection[WaitingRequest],
        *,
        run_seconds: RunSeconds,
        now: float,
    ) -> WaitingRequest:
        """Returns the request that gets the next slot.

        Args:
            requests: The waiting requests, at least one.
            run_seconds: Returns the expected run time of a request, seconds.
            now: Clock reading, seconds.
        """

    def record_start(self, request: WaitingRequest, *, cost: float) -> None:
        """Records that a request was forwarded.

        Args:
            request: The request.
            cost: Its expected slot seconds.
        """


PolicyFactory: TypeAlias = Callable[[], SchedulingPolicy]
FactoryT = TypeVar("FactoryT", bound=PolicyFactory)

SCHEDULING_POLICIES: dict[str, PolicyFactory] = {}


def scheduling_policy(name: str) -> Callable[[FactoryT], FactoryT]:
    """Registers a scheduling policy.

    Args:
        name: Name of the policy.

    Returns:
        The decorator.
    """

    def register(factory: FactoryT) -> FactoryT:
        SCHEDULING_POLICIES[name] = factory
        return factory

    return register


def timeliness(
    request: WaitingRequest, *, run_seconds: float, now: float
) -> Timeliness:
    """Classifies a request by its objective and deadline.

    Args:
        request: The request.
        run_seconds: Its expected run time, seconds.
        now: Clock reading, seconds.

    Returns:
        The class.
    """
    waited = now - request.arrived_at
    margin = OBJECTIVE_MARGIN_MEAN_TIMES * run_seconds
    if waited + margin <= request.parameters.objective:
        return Timeliness.IN_TIME
    if waited >= DUE_FRACTION * (request.expires_at - request.arrived_at):
        return Timeliness.DUE
    return Timeliness.LATE


@scheduling_policy("objective")
class ObjectivePolicy:
    """Serves requests that are due first, then those in time, then late ones.

    Within each group more urgent routes go first, then the earliest arrival.
    """

    uses_run_times: ClassVar[bool] = False

    def choose(
        self,
        requests: Collection[WaitingRequest],
        *,
        run_seconds: RunSeconds,
        now: float,
    ) -> WaitingRequest:
        """Returns the first request in order of group, urgency and arrival."""

        def rank(request: WaitingRequest) -> tuple[int, int, float]:
            expected = run_seconds(request.parameters)
            group = timeliness(request, run_seconds=expected, now=now)
            return (group, request.parameters.urgency, request.arrived_at)

        return min(requests, key=rank)

    def record_start(self, request: WaitingRequest, *, cost: float) -> None:
        """Does nothing: the order depends on the waiting requests only."""
