"""Decides when an opening that an agent does not answer is offered to a second one.

Load: the opening packet waits up to 8 ms in the link of a balancer of 5 Mbit/s, and
longer in its scheduler. Counted from the offer, the delay then ends while the first
agent is about to reply. The second attempt leaves the owner of the flow unknown.
"""

from __future__ import annotations

import heapq
from itertools import count
from typing import TYPE_CHECKING

from siskinshift.connections.egress.bounds import EXPIRY_INTERVAL_SECONDS
from siskinshift.connections.egress.bounds import MAX_WAIT_SECONDS_BY_CLASS
from siskinshift.connections.egress.traffic_class import TrafficClass


if TYPE_CHECKING:
    from siskinshift.connections.flow_records import Attempt
    from siskinshift.connections.flow_records import FlowRecord


# A verdict takes one to three milliseconds; a busy instance replies within this time.
# The second agent can still meet an objective of 100 ms.
RETRY_AFTER_SECONDS = 0.04
# Upper bound of that time with the round trip to the agent, so that a dead agent is
# noticed well before the caller retransmits after 200 ms.
MAX_RETRY_AFTER_SECONDS = 0.1
# Longest time for which an opening packet waits in the scheduler, which checks its
# bound at intervals. Guards against a departure that is never recorded.
MAX_DEPARTURE_SECONDS = (
    MAX_WAIT_SECONDS_BY_CLASS[TrafficClass.OPENING] + 2 * EXPIRY_INTERVAL_SECONDS
)


class RetryTimers:
    """Timers of the attempts that have no verdict yet."""

    def __init__(self) -> None:
        """Initializes without timers."""
        self._timers: list[tuple[float, int, FlowRecord, Attempt]] = []
        self._numbers = count()

    @property
    def next_due(self) -> float:
        """When `pop_due` is due next: clock reading, seconds."""
        return self._timers[0][0] if self._timers else float("inf")

    def add(self, record: FlowRecord, attempt: Attempt, *, now: float) -> None:
        """Starts the timer of an attempt.

        Args:
            record: The flow.
            attempt: The attempt, which was made now.
            now: Clock reading, seconds.
        """
        self._push(now + RETRY_AFTER_SECONDS, record, attempt)

    def pop_due(self, *, now: float) -> list[tuple[FlowRecord, Attempt]]:
        """Removes the expired timers and returns those without a verdict.

        A timer does not expire while the opening packet waits in this balancer: a
        second one would wait behind it.

        Args:
            now: Clock reading, seconds.

        Returns:
            Flows and attempts.
        """
        expired = []
        while self._timers and self._timers[0][0] <= now:
            _, _, record, attempt = heapq.heappop(self._timers)
            if attempt.verdict is not None:
                continue
            due = _due_of(attempt, now=now)
            if due > now:
                self._push(due, record, attempt)
            else:
                expired.append((record, attempt))
        return expired

    def _push(self, due: float, record: FlowRecord, attempt: Attempt) -> None:
        heapq.heappush(self._timers, (due, next(self._numbers), record, attempt))


def _due_of(attempt: Attempt, *, now: float) -> float:
    if attempt.departure is None or attempt.was_dropped:
        return now
    left_at = attempt.left_at
    if left_at is None:
        if now - attempt.offered_at < MAX_DEPARTURE_SECONDS:
            return now + RETRY_AFTER_SECONDS
        attempt.departure.left_at = now
        return now
    delay = RETRY_AFTER_SECONDS + attempt.agent.round_trip
    return left_at + min(delay, MAX_RETRY_AFTER_SECONDS)
