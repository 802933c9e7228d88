"""Model time, requests and upstreams for scenarios of load.

A small event loop that real decision objects run on. It models time in slots and delays
of messages, nothing else.
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


Step: TypeAlias = Callable[[], None]


class EventLoop:
    """Runs steps in the order of model time.

    Attributes:
        now: Model time, seconds.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._numbers = itertools.count()
        self._heap: list[tuple[float, int, Step]] = []

    def at(self, time: float, step: Step) -> None:
        """Plans a step.

        Args:
            time: Model time, seconds; not before now.
            step: The step.
        """
        heapq.heappush(self._heap, (max(time, self.now), next(self._numbers), step))

    def after(self, delay: float, step: Step) -> None:
        """Plans a step.

        Args:
            delay: Seconds from now.
            step: The step.
        """
        self.at(self.now + delay, step)

    def run(self, *, until: float) -> None:
        """Runs all steps up to a time.

        Args:
            until: Model time, seconds.
        """
        while self._heap and self._heap[0][0] <= until:
            self.now, _, step = heapq.heappop(self._heap)
            step()
        self.now = until


@define(eq=False)
class ModelRequest:
    """A request with what became of it.

    Attributes:
        request_id: Number.
        group_id: Its group.
        caller: Its caller's IP number.
        owner: Index of the agent that owns its flow.
        arrived_at: Model time of arrival, seconds.
        service_time: Seconds in a slot of a well upstream.
        deadline: Model time after which the answer is of no use.
        runs: Start and end of each time an upstream ran it, with the agent's index.
        outcome: What the caller was told.
        error: Why, when it was not answered.
        retry_after: The hint, seconds.
        ended_at: Model time of the final answer.
        answers: Final answers that the caller got; more than one is a fault.
    """

    request_id: int
    group_id: str
    caller: str
    owner: int
    arrived_at: float
    service_time: float
    deadline: float
    runs: list[ModelRun] = field(factory=list)
    outcome: OutcomeKind | None = None
    error: ErrorKind | None = None
    retry_after: float = 0.0
    ended_at: float = 0.0
    answers: int = 0

    @property
    def latency(self) -> float:
        """Seconds from arrival to the final answer."""
        return self.ended_at - self.arrived_at

    @property
    def is_good(self) -> bool:
        """Whether it was answered in time."""
        return self.outcome is OutcomeKind.ANSWERED and self.ended_at <= self.deadline

    def end(
        self,
        outcome: OutcomeKind,
        *,
        now: float,
        error: ErrorKind | None = None,
        retry_after: float = 0.0,
    ) -> None:
        """Takes the final answer.

        Args:
            outcome: What the caller is told.
            now: Model time, seconds.
            error: Why it was not answered.
            retry_after: The hint, seconds.
        """
        self.answers += 1
        self.outcome = outcome
        self.error = error
        self.retry_after = retry_after
        self.ended_at = now


@define(eq=False)
class ModelRun:
    """One time that an upstream ran a request.

    Attributes:
        agent: Index of the agent.
        started_at: Model time, seconds.
        ended_at: Model time, seconds.
    """

    agent: int
    started_at: float
    ended_at: float


@define
class Sickness:
    """What is wrong with an upstream, for a while.

    Attributes:
        agent: Index of its agent.
        starts_at: Model time, seconds.
        ends_at: Model time, seconds.
        factor: How many times longer requests take.
        cold_requests: Requests after which it is warm again; 0 when only time heals.
    """

    agent: int
    starts_at: float
    ends_at: float
    factor: float
    cold_requests: int = 0


class ModelUpstream:
    """Runs requests; how long depends on how well it is."""

    def __init__(
        self, loop: EventLoop, *, agent: int, sicknesses: list[Sickness]
    ) -> None:
        """Starts idle.

        Args:
            loop: Model time.
            agent: Index of its agent.
            sicknesses: What will be wrong with it.
        """
        self._loop = loop
        self._agent = agent
        self._sicknesses = [s for s in sicknesses if s.agent == agent]
        self._runs_by_sickness = [0] * len(self._sicknesses)

    def run(
        self, request: ModelRequest, done: Callable[[bool], None], *, cut: bool
    ) -> None:
        """Runs a request.

        Args:
            request: The request.
            done: Called at the end with whether there is an answer.
            cut: Whether the upstream stops at the request's deadline.
        """
        now = self._loop.now
        ends_at = now + request.service_time * self._factor()
        in_time = not cut or ends_at <= request.deadline
        if not in_time:
            ends_at = request.deadline
        request.runs.append(ModelRun(self._agent, now, ends_at))
        self._loop.at(ends_at, lambda: done(in_time))

    def _factor(self) -> float:
        factor = 1.0
        for index, sickness in enumerate(self._sicknesses):
            if not sickness.starts_at <= self._loop.now < sickness.ends_at:
                continue
            self._runs_by_sickness[index] += 1
            cold = sickness.cold_requests
            if not cold:
                factor *= sickness.factor
                continue
            left = max(0.0, 1 - self._runs_by_sickness[index] / cold)
            factor *= 1 + (sickness.factor - 1) * left
        return factor
