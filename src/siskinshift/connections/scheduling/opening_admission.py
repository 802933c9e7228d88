"""Decides at its opening whether the request of a new flow can be answered in time.

Load: demand above capacity for seconds. Without admission control every request waits
until it is late, and callers learn at their deadline that nobody serves them. A refusal
at the opening takes milliseconds, another agent may accept, and nothing has run.

Only kinds with one request per flow are judged. The opening of a long-lived flow says
nothing about the time or number of its requests; refusing it would cost its caller all
of them, so only `max_connections` applies, and single requests are dropped from the
queue when they can no longer be answered.
"""

from __future__ import annotations

from collections import Counter
from collections import defaultdict
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import DEFAULT_DEADLINE_SECONDS
from siskinshift.connections.request_queue import MAX_WAITING_REQUESTS
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.scheduling.fair_policy import MIN_URGENCY_FRACTION
from siskinshift.connections.scheduling.hysteresis import RefusalState
from siskinshift.connections.segment import caller_host
from siskinshift.load.admission import Arrival
from siskinshift.load.admission import check_admission


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.connections.node_settings import PolicySettings
    from siskinshift.connections.request_queue import RequestQueue


SINGLE_REQUEST_KINDS = frozenset(
    {RequestKind.NON_IDEMPOTENT, RequestKind.DOWNLOAD, RequestKind.UPLOAD}
)
# Refusing ends below this fraction of the delay at which it begins.
RESUME_FRACTION = 0.6
# An admitted flow counts as a request ahead until its request arrives, for this long at
# most. The request follows after one round trip; its first packet may be lost once.
EXPECTED_SECONDS = 0.5
# Urgency of the requests in `LoadReport.wait_seconds`: the normal one of the routes.
MIDDLE_URGENCY = 2
# Longest delay that a load report can carry, seconds.
MAX_REPORTED_WAIT_SECONDS = 65.0


@frozen
class Refusal:
    """Inputs of a refused opening.

    Attributes:
        reason: Name of the failed check.
        estimated_wait: Queueing delay for the request, seconds.
        expected_run: Run time of the request, seconds.
        limit: Longest queueing delay allowed, seconds.
        is_refusing: Whether refusing was in force for its urgency.
    """

    reason: str
    estimated_wait: float
    expected_run: float
    limit: float
    is_refusing: bool


@frozen
class _Expected:
    parameters: RequestParameters
    admitted_at: float
    estimated_wait: float


class OpeningAdmission:
    """Estimates queueing delays and refuses openings."""

    def __init__(self, queue: RequestQueue, *, settings: PolicySettings) -> None:
        """Initializes the admission control.

        Args:
            queue: Queue of the requests.
            settings: Policy settings of the node.
        """
        self._queue = queue
        self._settings = settings
        self._expected_by_flow: dict[bytes, _Expected] = {}
        self._states_by_urgency: dict[int, RefusalState] = {}

    def check(
        self, flow: bytes, parameters: RequestParameters, *, now: float
    ) -> Refusal | None:
        """Decides about a new flow and records an admitted one.

        Args:
            flow: The flow.
            parameters: Request parameters of its route.
            now: Clock reading, seconds.

        Returns:
            The refusal; None if the flow is admitted.
        """
        if parameters.kind not in SINGLE_REQUEST_KINDS:
            return None
        self._expire(now=now)
        deadline = parameters.deadline or DEFAULT_DEADLINE_SECONDS
        run = self._queue.run_times.expected(parameters)
        begins = max(0.0, self._settings.max_busy_wait_fraction * deadline - run)
        ends = RESUME_FRACTION * begins
        state = self._states_by_urgency.setdefault(parameters.urgency, RefusalState())
        is_refusing = state.update(
            self.estimate_wait(parameters.urgency, now=now),
            begins=begins,
            ends=ends,
            now=now,
        )
        limit = ends if is_refusing else begins
        wait = self.estimate_wait(parameters.urgency, now=now, caller=caller_host(flow))
        error = check_admission(
            Arrival(
                time_left=deadline,
                is_draining=False,
                key_is_at_limit=False,
                slot_is_free=self._slot_is_free(now=now),
                caller_is_at_limit=False,
                waiting=len(self._queue.waiting) + len(self._expected_by_flow),
                queue_limit=MAX_WAITING_REQUESTS,
                estimated_wait=wait,
                queue_time_limit=limit,
                expected_slot_time=run,
            )
        )
        if error is not None:
            return Refusal(error.name.lower(), wait, run, limit, is_refusing)
        self._expected_by_flow[flow] = _Expected(parameters, now, wait)
        return None

    def record_request(self, flow: bytes) -> float | None:
        """Records that the request of an admitted flow has arrived or will not.

        Args:
            flow: The flow.

        Returns:
            The wait that was estimated at its opening, seconds; None if it was not
            judged or took too long to arrive.
        """
        expected = self._expected_by_flow.pop(flow, None)
        return expected.estimated_wait if expected is not None else None

    def clear(self) -> None:
        """Forgets admitted flows, since the upstream has ended."""
        self._expected_by_flow.clear()

    def estimate_wait(
        self, urgency: int, *, now: float, caller: str | None = None
    ) -> float:
        """Estimates the queueing delay of a new request.

        The backlog ahead is what still runs, and the waiting requests of the same or a
        more urgent class. Callers are served in turn, so of each other caller at most
        as many requests of its own class go first as it has waiting itself, plus one.

        Args:
            urgency: Urgency of the request.
            now: Clock reading, seconds.
            caller: Host of its caller; None to count all waiting requests.

        Returns:
            Seconds.
        """
        run_times = self._queue.run_times
        ahead = self._queue.remaining_seconds(now=now)
        lower_urgencies = set()
        counts: Counter[str] = Counter()
        seconds_by_caller: defaultdict[str, float] = defaultdict(float)
        for flow, parameters in self._backlog():
            if parameters.urgency > urgency:
                lower_urgencies.add(parameters.urgency)
            elif parameters.urgency < urgency or caller is None:
                ahead += run_times.expected(parameters)
            else:
                host = caller_host(flow)
                counts[host] += 1
                seconds_by_caller[host] += run_times.expected(parameters)
        turns = counts[caller] + 1 if caller is not None else 0
        for host, seconds in seconds_by_caller.items():
            ahead += seconds * min(1.0, turns / counts[host])
        # The minimum shares of less urgent classes delay this one.
        share = max(0.5, 1 - MIN_URGENCY_FRACTION * len(lower_urgencies))
        return ahead / (self._queue.slots * share)

    def reported_wait(self, *, now: float) -> float:
        """Returns the queueing delay for the load report, seconds."""
        self._expire(now=now)
        wait = self.estimate_wait(MIDDLE_URGENCY, now=now)
        return min(MAX_REPORTED_WAIT_SECONDS, wait)

    def _backlog(self) -> Iterator[tuple[bytes, RequestParameters]]:
        for request in self._queue.waiting:
            yield request.flow, request.parameters
        for flow, expected in self._expected_by_flow.items():
            yield flow, expected.parameters

    def _slot_is_free(self, *, now: float) -> bool:
        # A request that finds a free slot is never refused for its wait, so refusing
        # cannot leave the upstream idle.
        if self._queue.waiting:
            return False
        free = self._queue.free_places(now=now)
        return free > len(self._expected_by_flow)

    def _expire(self, *, now: float) -> None:
        # Flows were added in order of time.
        while self._expected_by_flow:
            flow, expected = next(iter(self._expected_by_flow.items()))
            if now - expected.admitted_at <= EXPECTED_SECONDS:
                return
            del self._expected_by_flow[flow]
