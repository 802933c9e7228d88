"""Queues requests at the agent and chooses the one that the upstream gets next.

After a fault all callers return simultaneously to cold upstreams, or a burst reaches
upstreams of one to three slots. An upstream queues a few requests in order of arrival
and refuses the rest, so callers use up their retries within a second, and each new
request becomes late behind late ones. The agent therefore forwards as many requests as
there are slots, and one more so that no slot idles, and queues the rest. A flow carries
one request at a time. The scheduling policy selects the next request; see
`scheduling.policies`. By default it is, in this order:

1. one that is late and has used up most of the time until its deadline, so that late
   work is still done;
2. one that can still meet its objective;
3. one that is already late.

Within each group more urgent routes go first, then the earliest arrival. This holds for
late requests too: after an outage their callers have waited longer than the queue can
measure, so a request queued for milliseconds may be close to its caller's deadline.

A request whose deadline has passed, or will pass before a response is possible, is
dropped, since it would occupy a slot that another request could use.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.scheduling.policies import ObjectivePolicy
from siskinshift.connections.scheduling.run_times import RunTimes


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterator

    from siskinshift.connections.scheduling.policies import SchedulingPolicy


# Forwarded beyond the slots: the upstream starts it while the response before it is in
# transit.
EXTRA_REQUESTS = 1
# A request that has run this long no longer counts against the slots: its response may
# have been lost with its upstream, and the slot must not stay occupied forever.
# Requests in the users' deployments take 0.6 s at most.
STUCK_AFTER_SECONDS = 1.5
# Weight of a new run time in the moving mean: about the last twenty requests count.
MEAN_SMOOTHING_FACTOR = 0.05
# Requests beyond this limit go to the upstream, which refuses them. Under admission
# they are dropped, so that a flood does not precede the requests that wait.
MAX_WAITING_REQUESTS = 400
# Deadline of requests whose balancer sent none; that of a long download.
DEFAULT_DEADLINE_SECONDS = 3.0


@frozen
class RequestParameters:
    """Deadline, objective and urgency of the requests on a route.

    Attributes:
        objective: Target response time, seconds; 0 if unknown.
        deadline: Time after which callers give up, seconds; 0 if unknown.
        urgency: Priority; 0 goes first.
        kind: Kind of the requests; UNKNOWN unless a load policy needs it.
    """

    objective: float = 0.0
    deadline: float = 0.0
    urgency: int = 0
    kind: RequestKind = RequestKind.UNKNOWN


@define(eq=False)
class WaitingRequest:
    """A request that has not been forwarded to the upstream yet.

    Attributes:
        flow: The flow of the request.
        arrived_at: Time of arrival, seconds.
        parameters: Request parameters of its route.
        is_retry: Whether it is probably a retry.
        packets_by_sequence: Packets by sequence number, in order of arrival.
    """

    flow: bytes
    arrived_at: float
    parameters: RequestParameters
    is_retry: bool = False
    packets_by_sequence: dict[int, bytes] = Factory(dict)

    @property
    def expires_at(self) -> float:
        """Time at which the caller gives up, seconds."""
        return self.arrived_at + (self.parameters.deadline or DEFAULT_DEADLINE_SECONDS)


class RequestQueue:
    """Queue of the requests for one upstream.

    Attributes:
        slots: Requests that the upstream runs at once.
        mean_run_seconds: Moving mean of the time from forwarding to response; 0 before
            the first response.
        policy: Selects the next request.
        run_times: Run times by kind of request, and use of the slots.
        observes_runs: Whether run times are observed; only load policies need them.
    """

    def __init__(self) -> None:
        """Initializes an empty queue with one slot."""
        self.slots = 1
        self.mean_run_seconds = 0.0
        self.policy: SchedulingPolicy = ObjectivePolicy()
        self.run_times = RunTimes()
        self.observes_runs = False
        self._started_at_by_flow: dict[bytes, float] = {}
        self._waiting_by_flow: dict[bytes, WaitingRequest] = {}
        self._urgencies: set[int] = set()

    def __len__(self) -> int:
        """Returns the number of waiting and running requests."""
        return len(self._waiting_by_flow) + len(self._started_at_by_flow)

    def __contains__(self, flow: bytes) -> bool:
        """Returns whether a request of the flow is waiting."""
        return flow in self._waiting_by_flow

    @property
    def waiting(self) -> Collection[WaitingRequest]:
        """The waiting requests, in order of arrival."""
        return self._waiting_by_flow.values()

    @property
    def is_full(self) -> bool:
        """Whether no further request can wait."""
        return len(self._waiting_by_flow) >= MAX_WAITING_REQUESTS

    def waiting_by_urgency(self) -> Counter[int]:
        """Returns the number of waiting requests of each urgency seen so far."""
        counts = Counter(dict.fromkeys(self._urgencies, 0))
        counts.update(r.parameters.urgency for r in self._waiting_by_flow.values())
        return counts

    def free_places(self, *, now: float) -> int:
        """Returns how many requests could be forwarded now.

        Args:
            now: Clock reading, seconds.
        """
        stuck_before = now - STUCK_AFTER_SECONDS
        running = sum(at > stuck_before for at in self._started_at_by_flow.values())
        return max(0, self.slots + EXTRA_REQUESTS - running)

    def remaining_seconds(self, *, now: float) -> float:
        """Returns the expected slot seconds that forwarded requests still need.

        Args:
            now: Clock reading, seconds.
        """
        return self.run_times.remaining_seconds(
            oldest=now - STUCK_AFTER_SECONDS, now=now
        )

    def is_running(self, flow: bytes) -> bool:
        """Returns whether a forwarded request of the flow has no response yet.

        Args:
            flow: The flow.
        """
        return flow in self._started_at_by_flow

    def submit(
        self,
        flow: bytes,
        seq: int,
        packet: bytes,
        parameters: RequestParameters,
        *,
        now: float,
        is_retry: bool = False,
    ) -> bool:
        """Handles the first packet of a request, or a further one of a waiting request.

        Args:
            flow: The flow of the request.
            seq: Sequence number of the packet.
            packet: The packet.
            parameters: Request parameters of its route.
            now: Clock reading, seconds.
            is_retry: Whether the request is probably a retry.

        Returns:
            Whether to forward the packet now; otherwise it has been queued.
        """
        waiting = self._waiting_by_flow.get(flow)
        if waiting is not None:
            waiting.packets_by_sequence[seq] = packet
            return False
        can_forward = self._has_free_slot(now=now) and not self._waiting_by_flow
        if can_forward or self.is_full:
            self._start(flow, parameters, now=now)
            return True
        request = WaitingRequest(flow, now, parameters, is_retry)
        self._urgencies.add(parameters.urgency)
        request.packets_by_sequence[seq] = packet
        self._waiting_by_flow[flow] = request
        return False

    def finish(
        self, flow: bytes, *, now: float, was_answered: bool = True
    ) -> float | None:
        """Removes a request that has a response or whose flow has ended.

        Args:
            flow: The flow of the request.
            now: Clock reading, seconds.
            was_answered: Whether the upstream responded.

        Returns:
            Seconds since the request was forwarded; None if it was not.
        """
        self._waiting_by_flow.pop(flow, None)
        started_at = self._started_at_by_flow.pop(flow, None)
        if started_at is None:
            return None
        if self.observes_runs:
            self.run_times.finish(
                flow, slots=self.slots, now=now, was_answered=was_answered
            )
        elapsed = now - started_at
        if not self.mean_run_seconds:
            self.mean_run_seconds = elapsed
        self.mean_run_seconds += MEAN_SMOOTHING_FACTOR * (
            elapsed - self.mean_run_seconds
        )
        return elapsed

    def next_requests(
        self, *, now: float, on_drop: Callable[[WaitingRequest], None] | None = None
    ) -> Iterator[WaitingRequest]:
        """Dequeues as many requests as there are free slots.

        Args:
            now: Clock reading, seconds.
            on_drop: Called with each request that is too late to start.

        Yields:
            Requests whose packets are to be forwarded, in order.
        """
        while self._waiting_by_flow and self._has_free_slot(now=now):
            request = self.policy.choose(
                self._waiting_by_flow.values(),
                run_seconds=self._expected_run,
                now=now,
            )
            del self._waiting_by_flow[request.flow]
            if request.expires_at <= now + self._expected_run(request.parameters):
                if on_drop is not None:
                    on_drop(request)
                continue
            cost = self.run_times.expected(request.parameters)
            self.policy.record_start(request, cost=cost)
            self._start(request.flow, request.parameters, now=now)
            yield request

    def drop_expired(self, *, now: float) -> int:
        """Drops waiting requests whose deadline has passed.

        Args:
            now: Clock reading, seconds.

        Returns:
            The number of dropped requests.
        """
        return len(self.take_expired(now=now))

    def take_expired(
        self, *, now: float, includes_run: bool = False
    ) -> list[WaitingRequest]:
        """Removes and returns waiting requests that are too late.

        Args:
            now: Clock reading, seconds.
            includes_run: Whether those are too late that could not be answered by their
                deadline if they started now; `next_requests` would not start them.
        """
        expired = [
            r
            for r in self._waiting_by_flow.values()
            if r.expires_at
            <= now + (self._expected_run(r.parameters) if includes_run else 0.0)
        ]
        for request in expired:
            del self._waiting_by_flow[request.flow]
        return expired

    def clear(self) -> None:
        """Removes all requests, since the upstream has ended."""
        self._waiting_by_flow.clear()
        self._started_at_by_flow.clear()
        self.run_times.clear()

    def _start(self, flow: bytes, parameters: RequestParameters, *, now: float) -> None:
        self._started_at_by_flow[flow] = now
        if self.observes_runs:
            self.run_times.start(flow, parameters, slots=self.slots, now=now)

    def _expected_run(self, parameters: RequestParameters) -> float:
        # The overall mean includes requests that ended unanswered. When half of them
        # hang, it is several times the run time of the others.
        if self.policy.uses_run_times:
            return self.run_times.expected(parameters)
        return self.mean_run_seconds

    def _has_free_slot(self, *, now: float) -> bool:
        limit = self.slots + EXTRA_REQUESTS
        if len(self._started_at_by_flow) < limit:
            return True
        stuck_before = now - STUCK_AFTER_SECONDS
        running = sum(at > stuck_before for at in self._started_at_by_flow.values())
        return running < limit
