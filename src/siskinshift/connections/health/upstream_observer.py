"""Observes at the agent how its upstream serves requests.

Upstreams fail while they look idle: some respond with failures in 1 ms where work takes
22 ms, some never respond to half of their requests, some reset flows or refuse
openings. Health check responses lag or mislead, so only packets of real flows count.

A request is stalled if its first byte is overdue. Work varies: 3 % of the requests
take seven times the mean, and a request may wait at the upstream behind one such
request in its only slot. Such requests are not counted as stalled.
"""

from __future__ import annotations

from collections import deque
from statistics import median
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN


if TYPE_CHECKING:
    from siskinshift.connections.incarnation import Incarnation
    from siskinshift.connections.owned_flow import OwnedFlow
    from siskinshift.connections.segment import Segment


# Run times behind a report: four seconds of requests at 16 a second. The
# 0.1 quantile of fewer varies too much to be compared.
MAX_SAMPLES = 64
# Older samples do not describe the upstream's present state. A slowed upstream gives
# few samples, so its median changes only when the earlier ones are dropped. At 16
# requests a second 4 s still hold 64 samples.
MAX_SAMPLE_AGE_SECONDS = 4.0
FAST_QUANTILE = 0.1
# A request of seven times the mean behind another one takes 14 means, and the median is
# below the mean.
STALLED_AFTER_MEDIANS = 20.0
# The median is 1 ms while an upstream fails fast. Requests of 29 ms on average may
# still take 0.4 s.
MIN_STALLED_AFTER_SECONDS = 0.4
# Below the shortest deadline of the users' deployments, 1.33 s: after it callers give
# up.
MAX_STALLED_AFTER_SECONDS = 1.2
# Usual work of a service that takes seconds exceeds the limit above.
MIN_STALLED_AFTER_MEDIANS = 3.0
# A one-slot upstream has at most two requests, so the number of overdue ones alone
# drops to zero whenever their callers give up. Abandoned ones count for this time.
# Those that were answered late do not count: a long request and the one that waits
# behind it are both late.
STALL_MEMORY_SECONDS = 3.0
# An upstream on the same machine replies to an opening within a millisecond. Two loop
# iterations of a busy agent or upstream are far shorter than this.
OPENING_TIMEOUT_SECONDS = 0.3
# Outcomes behind a report. Healthy upstreams have practically no failures, so fewer
# suffice than for run times, and a fault shows sooner.
MAX_OUTCOMES = 32
# Fewer outcomes count as this number, so that one failure among few requests does not
# look like a failing upstream.
MIN_OUTCOMES = 32
# A reset counts as a failed request if the flow was used within this time: a response
# may have been cut. Upstreams close flows that are idle for longer.
IDLE_AFTER_SECONDS = 1.0
# A request or opening without a first byte is forgotten after this time: its flow may
# have ended without a packet.
MAX_RUNNING_SECONDS = 10.0
# Limit of requests and of openings that are tracked, to bound the memory.
MAX_TRACKED = 2000
# Shortest interval between two computations of the figures.
OBSERVE_INTERVAL_SECONDS = 0.05
# The agent computes the figures several times a second. After a longer gap its own
# process was paused, and requests are overdue only by the time since.
PAUSED_AFTER_SECONDS = 0.5


@frozen
class UpstreamObservation:
    """What an agent observes of its upstream; see `LoadReport`.

    Attributes:
        run_seconds: Median time from forwarding a request to its first byte.
        fast_run_seconds: The 0.1 quantile of the same.
        stalled: Requests whose first byte is overdue, with recently abandoned ones.
        failure_fraction: Fraction of recent requests or openings that failed, 0 to 1;
            the larger of the two.
        samples: Recent responses behind the run times.
    """

    run_seconds: float = 0.0
    fast_run_seconds: float = 0.0
    stalled: int = 0
    failure_fraction: float = 0.0
    samples: int = 0


class _OutcomeWindow:
    """Recent outcomes, bounded in number and age."""

    def __init__(self) -> None:
        self._outcomes: deque[tuple[float, bool]] = deque(maxlen=MAX_OUTCOMES)

    def add(self, *, is_failure: bool, now: float) -> None:
        self._outcomes.append((now, is_failure))

    def failure_fraction(self, *, now: float) -> float:
        while self._outcomes and now - self._outcomes[0][0] > MAX_SAMPLE_AGE_SECONDS:
            self._outcomes.popleft()
        failures = sum(is_failure for _, is_failure in self._outcomes)
        return failures / max(len(self._outcomes), MIN_OUTCOMES)


class UpstreamObserver:
    """Keeps recent run times, outcomes and overdue requests of one upstream.

    It records nothing until `observe` is called for the first time, so that packets
    cost nothing where no balancer requests reports.

    Attributes:
        is_active: Whether it records anything.
    """

    def __init__(self) -> None:
        """Initializes the observer without a history."""
        self.is_active = False
        self._incarnation: Incarnation | None = None
        self._observed_at = float("-inf")
        self._resumed_at = float("-inf")
        self.clear(now=float("-inf"))

    def clear(self, *, now: float) -> None:
        """Discards the history, since the upstream was replaced.

        Args:
            now: Clock reading, seconds.
        """
        self._cleared_at = now
        self._started_at_by_flow: dict[bytes, float] = {}
        self._opened_at_by_flow: dict[bytes, float] = {}
        self._run_times: deque[tuple[float, float]] = deque(maxlen=MAX_SAMPLES)
        self._requests = _OutcomeWindow()
        self._openings = _OutcomeWindow()
        self._stalled_at: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._stalled_after = MAX_STALLED_AFTER_SECONDS
        self._responded_at = float("-inf")
        self._observation = UpstreamObservation()
        self._computed_at = float("-inf")

    def stop(self, *, now: float) -> None:
        """Discards the history and records nothing until `observe` is called again.

        Args:
            now: Clock reading, seconds.
        """
        self.clear(now=now)
        self.is_active = False

    def on_opening(self, flow: bytes, *, now: float) -> None:
        """Records that an opening packet was forwarded to the upstream.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        if self.is_active and len(self._opened_at_by_flow) < MAX_TRACKED:
            self._opened_at_by_flow.setdefault(flow, now)

    def on_opening_refused(self, flow: bytes, *, now: float) -> None:
        """Records that the upstream returned an opening packet.

        An upstream that answers requests meanwhile is full, which is no failure.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        if self._opened_at_by_flow.pop(flow, None) is None:
            return
        if now - self._responded_at > self._stalled_after:
            self._openings.add(is_failure=True, now=now)

    def on_forwarded(
        self, flow: bytes, *, now: float, kind: RequestKind = RequestKind.UNKNOWN
    ) -> None:
        """Records that a packet of a request was forwarded to the upstream.

        The run time of an upload counts from its newest packet, since the upstream
        waits for the caller until then.

        Args:
            flow: The flow of the request.
            now: Clock reading, seconds.
            kind: Kind of the request.
        """
        if not self.is_active:
            return
        is_known = flow in self._started_at_by_flow
        if is_known and kind is not RequestKind.UPLOAD:
            return
        if is_known or len(self._started_at_by_flow) < MAX_TRACKED:
            self._started_at_by_flow[flow] = now

    def on_upstream_segment(
        self, segment: Segment, flow: OwnedFlow, *, now: float
    ) -> None:
        """Records a packet of the upstream, before it changes the flow's state.

        Args:
            segment: The packet.
            flow: State of its flow.
            now: Clock reading, seconds.
        """
        if not self.is_active:
            return
        flags = segment.flags
        if flags & SYN:
            if self._opened_at_by_flow.pop(segment.flow, None) is not None:
                self._openings.add(is_failure=False, now=now)
            return
        if flags & RESET:
            self._on_reset(segment.flow, flow, now=now)
            return
        if not segment.length and (not flags & FIN or segment.seq != flow.max_ack):
            # A FIN that overtook the response does not follow the newest data seen.
            return
        started_at = self._started_at_by_flow.pop(segment.flow, None)
        if started_at is None:
            return
        if segment.length:
            self._run_times.append((now, now - started_at))
            self._responded_at = now
        # Closing without a response is a failure unless the caller closed first.
        is_failure = not segment.length and not flow.fins_seen
        self._requests.add(is_failure=is_failure, now=now)

    def on_returned(self, flow: bytes, *, opened_at: float, now: float) -> None:
        """Records that the upstream returned a packet of an open flow.

        A new upstream returns the packets of its predecessor's flows, which is not its
        failure.

        Args:
            flow: The flow.
            opened_at: Time at which the flow began, seconds.
            now: Clock reading, seconds.
        """
        self._started_at_by_flow.pop(flow, None)
        if opened_at > self._cleared_at:
            self._requests.add(is_failure=True, now=now)

    def on_flow_ended(self, flow: bytes, *, now: float) -> None:
        """Records that the caller ended a flow.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        self._opened_at_by_flow.pop(flow, None)
        started_at = self._started_at_by_flow.pop(flow, None)
        if started_at is not None and self._is_stalled(started_at, now=now):
            self._stalled_at.append(now)

    def observe(
        self, incarnation: Incarnation | None, *, now: float
    ) -> UpstreamObservation:
        """Returns the figures for the load report; cheap between two computations.

        Args:
            incarnation: The upstream's; the history ends if it has changed.
            now: Clock reading, seconds.

        Returns:
            The figures.
        """
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self.clear(now=now)
        if now - self._computed_at < OBSERVE_INTERVAL_SECONDS:
            return self._observation
        if now - self._observed_at > PAUSED_AFTER_SECONDS:
            self._resumed_at = now
        self._observed_at = self._computed_at = now
        self.is_active = True
        self._forget_old(now=now)
        run_times = sorted(seconds for _, seconds in self._run_times)
        run_seconds = median(run_times) if run_times else 0.0
        if run_times:
            # Without recent responses the last known run time remains the measure.
            self._stalled_after = _stalled_after(run_seconds)
        started = self._started_at_by_flow.values()
        self._observation = UpstreamObservation(
            run_seconds=run_seconds,
            fast_run_seconds=_fast_quantile(run_times),
            stalled=sum(self._is_stalled(at, now=now) for at in started)
            + len(self._stalled_at),
            failure_fraction=max(
                self._requests.failure_fraction(now=now),
                self._openings.failure_fraction(now=now),
            ),
            samples=len(run_times),
        )
        return self._observation

    def _on_reset(self, key: bytes, flow: OwnedFlow, *, now: float) -> None:
        was_opening = self._opened_at_by_flow.pop(key, None) is not None
        was_running = self._started_at_by_flow.pop(key, None) is not None
        if flow.ended_at or flow.opened_at <= self._cleared_at:
            return
        if was_opening:
            self._openings.add(is_failure=True, now=now)
        elif was_running or (
            not flow.fins_seen and now - flow.used_at <= IDLE_AFTER_SECONDS
        ):
            self._requests.add(is_failure=True, now=now)

    def _is_stalled(self, started_at: float, *, now: float) -> bool:
        waited_since = max(started_at, self._resumed_at)
        return now - waited_since > self._stalled_after

    def _forget_old(self, *, now: float) -> None:
        while self._run_times and now - self._run_times[0][0] > MAX_SAMPLE_AGE_SECONDS:
            self._run_times.popleft()
        while self._stalled_at and now - self._stalled_at[0] > STALL_MEMORY_SECONDS:
            self._stalled_at.popleft()
        for flow, opened_at in tuple(self._opened_at_by_flow.items()):
            if now - max(opened_at, self._resumed_at) <= OPENING_TIMEOUT_SECONDS:
                continue
            del self._opened_at_by_flow[flow]
            self._openings.add(is_failure=True, now=now)
        for flow, started_at in tuple(self._started_at_by_flow.items()):
            if now - started_at > MAX_RUNNING_SECONDS:
                del self._started_at_by_flow[flow]


def _stalled_after(run_seconds: float) -> float:
    overdue = STALLED_AFTER_MEDIANS * run_seconds
    overdue = min(max(overdue, MIN_STALLED_AFTER_SECONDS), MAX_STALLED_AFTER_SECONDS)
    return max(overdue, MIN_STALLED_AFTER_MEDIANS * run_seconds)


def _fast_quantile(sorted_run_times: list[float]) -> float:
    if not sorted_run_times:
        return 0.0
    return sorted_run_times[int(FAST_QUANTILE * len(sorted_run_times))]
