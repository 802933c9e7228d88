"""Simulates time, requests and upstreams for load scenarios.

The event loop runs the production load gates and the baselines. The simulation covers
the time of requests in slots and the delays of messages, nothing else.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TypeAlias

from attrs import define
from attrs import field

from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import OutcomeKind


Callback: TypeAlias = Callable[[], None]


class EventLoop:
    """Runs callbacks in the order of simulated time.

    Attributes:
        now: Simulated time, seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._sequence = itertools.count()
        self._heap: list[tuple[float, int, Callback]] = []

    def at(self, time: float, callback: Callback) -> None:
        """Schedules a callback at a time.

        Args:
            time: Simulated time, seconds; not before now.
            callback: The callback.
        """
        heapq.heappush(
            self._heap, (max(time, self.now), next(self._sequence), callback)
        )

    def after(self, delay: float, callback: Callback) -> None:
        """Schedules a callback after a delay.

        Args:
            delay: Seconds from now.
            callback: The callback.
        """
        self.at(self.now + delay, callback)

    def run(self, *, until: float) -> None:
        """Runs all callbacks up to a time.

        Args:
            until: Simulated time, seconds.
        """
        while self._heap and self._heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self._heap)
            callback()
        self.now = until


@define(eq=False)
class SimulatedRequest:
    """A request and its outcome.

    Attributes:
        request_id: Number of the request in order of arrival.
        group_id: Its group.
        caller: IP address of its caller.
        owner: Index of the agent that owns its flow.
        arrived_at: Simulated time of arrival, seconds.
        service_time: Seconds in a slot of a healthy upstream.
        deadline: Simulated time after which a response is useless.
        runs: Each execution of the request by an upstream.
        outcome: Outcome that the caller received.
        error: Reason of a request without a response.
        retry_after: Retry hint, seconds.
        ended_at: Simulated time of the final outcome.
        outcome_count: Number of final outcomes that the caller received; more than one
            is a fault.
    """

    request_id: int
    group_id: str
    caller: str
    owner: int
    arrived_at: float
    service_time: float
    deadline: float
    runs: list[SimulatedRun] = field(factory=list)
    outcome: OutcomeKind | None = None
    error: ErrorKind | None = None
    retry_after: float = 0.0
    ended_at: float = 0.0
    outcome_count: int = 0

    @property
    def latency(self) -> float:
        """Seconds from arrival to the final outcome."""
        return self.ended_at - self.arrived_at

    @property
    def is_good(self) -> bool:
        """Whether a response arrived before the deadline."""
        return self.outcome is OutcomeKind.ANSWERED and self.ended_at <= self.deadline

    def end(
        self,
        outcome: OutcomeKind,
        *,
        now: float,
        error: ErrorKind | None = None,
        retry_after: float = 0.0,
    ) -> None:
        """Records the final outcome.

        Args:
            outcome: Outcome that the caller receives.
            now: Simulated time, seconds.
            error: Reason of a request without a response.
            retry_after: Retry hint, seconds.
        """
        self.outcome_count += 1
        self.outcome = outcome
        self.error = error
        self.retry_after = retry_after
        self.ended_at = now


@define(eq=False)
class SimulatedRun:
    """One execution of a request by an upstream.

    Attributes:
        agent: Index of the agent.
        started_at: Simulated time, seconds.
        ended_at: Simulated time, seconds.
    """

    agent: int
    started_at: float
    ended_at: float


@define
class Slowdown:
    """A period in which an upstream runs requests more slowly.

    Attributes:
        agent: Index of its agent.
        starts_at: Simulated time, seconds.
        ends_at: Simulated time, seconds.
        factor: Factor by which requests take longer.
        warmup_requests: Requests after which the slowdown is over; 0 if only time
            ends it.
    """

    agent: int
    starts_at: float
    ends_at: float
    factor: float
    warmup_requests: int = 0


class SimulatedUpstream:
    """Runs requests, with longer service times during slowdowns."""

    def __init__(
        self, loop: EventLoop, *, agent: int, slowdowns: list[Slowdown]
    ) -> None:
        """Initializes an idle upstream.

        Args:
            loop: Event loop of the simulation.
            agent: Index of its agent.
            slowdowns: Slowdowns of all upstreams.
        """
        self._loop = loop
        self._agent = agent
        self._slowdowns = [s for s in slowdowns if s.agent == agent]
        self._run_counts = [0] * len(self._slowdowns)

    def run(
        self,
        request: SimulatedRequest,
        done: Callable[[bool], None],
        *,
        stop_at_deadline: bool,
    ) -> None:
        """Runs a request.

        Args:
            request: The request.
            done: Called at the end with whether there is a response.
            stop_at_deadline: Whether the upstream stops at the deadline of the request.
        """
        now = self._loop.now
        ends_at = now + request.service_time * self._factor()
        in_time = not stop_at_deadline or ends_at <= request.deadline
        if not in_time:
            ends_at = request.deadline
        request.runs.append(SimulatedRun(self._agent, now, ends_at))
        self._loop.at(ends_at, lambda: done(in_time))

    def _factor(self) -> float:
        factor = 1.0
        for index, slowdown in enumerate(self._slowdowns):
            if not slowdown.starts_at <= self._loop.now < slowdown.ends_at:
                continue
            self._run_counts[index] += 1
            warmup = slowdown.warmup_requests
            if not warmup:
                factor *= slowdown.factor
                continue
            left = max(0.0, 1 - self._run_counts[index] / warmup)
            factor *= 1 + (slowdown.factor - 1) * left
        return factor
