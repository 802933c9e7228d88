"""Observed run times of requests by kind and urgency, and use of the slots.

The agent forwards one request more than there are slots, so the time from forwarding to
response includes a wait at the upstream. The run time counts from when a slot became
free for the request.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from attrs import define


if TYPE_CHECKING:
    from siskinshift.connections.request_queue import RequestParameters


# Weight of a new run time in the moving mean: about the last ten requests count.
SMOOTHING_FACTOR = 0.1
# Period over which the use of the slots is reported.
BUSY_PERIOD_SECONDS = 2.0
# Interval of the samples of the use of the slots.
BUSY_SAMPLE_SECONDS = 0.1


@define(eq=False)
class RunningRequest:
    """A request that was forwarded to the upstream.

    Attributes:
        request_class: Its class; see `_class_of`.
        forwarded_at: Time of forwarding, seconds.
        begun_at: Time at which a slot was free for it, seconds; None while all slots
            are in use.
    """

    request_class: tuple[int, int]
    forwarded_at: float
    begun_at: float | None


class RunTimes:
    """Moving means of run times, and the requests at the upstream."""

    def __init__(self) -> None:
        """Initializes the run times without observations."""
        self._means_by_class: dict[tuple[int, int], float] = {}
        self._mean = 0.0
        self._running_by_flow: dict[bytes, RunningRequest] = {}
        self._busy_seconds = 0.0
        self._counted_until = 0.0
        self._samples: deque[tuple[float, float]] = deque()

    def start(
        self, flow: bytes, parameters: RequestParameters, *, slots: int, now: float
    ) -> None:
        """Records that a request was forwarded.

        Args:
            flow: Its flow.
            parameters: Request parameters of its route.
            slots: Requests that the upstream runs at once.
            now: Clock reading, seconds.
        """
        self._count_busy(slots=slots, now=now)
        has_slot = len(self._running_by_flow) < slots
        self._running_by_flow[flow] = RunningRequest(
            _class_of(parameters), now, now if has_slot else None
        )

    def finish(
        self, flow: bytes, *, slots: int, now: float, was_answered: bool = True
    ) -> None:
        """Records that a request has a response or has ended.

        Args:
            flow: Its flow.
            slots: Requests that the upstream runs at once.
            now: Clock reading, seconds.
            was_answered: Whether the upstream responded.
        """
        self._count_busy(slots=slots, now=now)
        request = self._running_by_flow.pop(flow, None)
        if request is None:
            return
        if was_answered:
            started_at = (
                request.forwarded_at if request.begun_at is None else request.begun_at
            )
            self._observe(request.request_class, now - started_at)
        for waiting in self._running_by_flow.values():
            if waiting.begun_at is None:
                waiting.begun_at = now
                break

    def clear(self) -> None:
        """Forgets the requests at an upstream that has ended."""
        self._running_by_flow.clear()

    def expected(self, parameters: RequestParameters) -> float:
        """Returns the expected run time of a request, seconds; 0 before the first.

        Args:
            parameters: Request parameters of its route.
        """
        return self._means_by_class.get(_class_of(parameters), self._mean)

    def remaining_seconds(self, *, oldest: float, now: float) -> float:
        """Returns the expected slot time that the forwarded requests still need.

        Args:
            oldest: Requests forwarded before this time do not count, seconds.
            now: Clock reading, seconds.
        """
        remaining = 0.0
        for request in self._running_by_flow.values():
            if request.forwarded_at <= oldest:
                continue
            elapsed = 0.0 if request.begun_at is None else now - request.begun_at
            remaining += max(
                0.0,
                self._means_by_class.get(request.request_class, self._mean) - elapsed,
            )
        return remaining

    def busy_fraction(self, *, slots: int, now: float) -> float:
        """Returns the fraction of the slots in use over `BUSY_PERIOD_SECONDS`.

        Args:
            slots: Requests that the upstream runs at once.
            now: Clock reading, seconds.
        """
        self._count_busy(slots=slots, now=now)
        if not self._samples:
            return 0.0
        since, busy = self._samples[0]
        period = max(now - since, BUSY_SAMPLE_SECONDS)
        return min(1.0, (self._busy_seconds - busy) / period)

    def _observe(self, key: tuple[int, int], seconds: float) -> None:
        mean = self._means_by_class.get(key, seconds)
        self._means_by_class[key] = mean + SMOOTHING_FACTOR * (seconds - mean)
        self._mean = self._mean or seconds
        self._mean += SMOOTHING_FACTOR * (seconds - self._mean)

    def _count_busy(self, *, slots: int, now: float) -> None:
        in_use = min(len(self._running_by_flow), slots)
        if self._samples:
            self._busy_seconds += (now - self._counted_until) * in_use / max(1, slots)
        self._counted_until = now
        if self._samples and now - self._samples[-1][0] < BUSY_SAMPLE_SECONDS:
            return
        self._samples.append((now, self._busy_seconds))
        # The first sample is the newest one that is at least the period old.
        oldest = now - BUSY_PERIOD_SECONDS
        while len(self._samples) > 1 and self._samples[1][0] <= oldest:
            self._samples.popleft()


def _class_of(parameters: RequestParameters) -> tuple[int, int]:
    """Returns the class of requests whose run times are averaged."""
    return (parameters.urgency, parameters.kind)
