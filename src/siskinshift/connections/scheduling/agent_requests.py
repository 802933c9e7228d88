"""The requests of an agent's upstream, from their arrival to their response.

Combines the queue, the admission of new flows, the receipt of uploads and the figures
for the load report. See docs/design/agent-scheduling.md.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestQueue
from siskinshift.connections.request_queue import WaitingRequest
from siskinshift.connections.scheduling.opening_admission import OpeningAdmission
from siskinshift.connections.scheduling.policies import SCHEDULING_POLICIES
from siskinshift.connections.scheduling.retries import RetryDetector
from siskinshift.connections.scheduling.upload_receipt import UploadReceipt
from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import format_flow
from siskinshift.connections.segment import is_at_or_after


if TYPE_CHECKING:
    from siskinshift.connections.health.upstream_observer import UpstreamObserver
    from siskinshift.connections.node_settings import PolicySettings
    from siskinshift.connections.owned_flow import OwnedFlow
    from siskinshift.connections.request_queue import RequestParameters
    from siskinshift.connections.scheduling.opening_admission import Refusal
    from siskinshift.observability.event_log import EventLog


class AgentRequests:
    """Requests of one upstream.

    Attributes:
        queue: The waiting and running requests.
        policy: Load policies in force.
    """

    def __init__(
        self, *, settings: PolicySettings, observer: UpstreamObserver, log: EventLog
    ) -> None:
        """Initializes the requests without policies.

        Args:
            settings: Policy settings of the node.
            observer: Notified of requests that were forwarded.
            log: Log of the decisions.
        """
        self._observer = observer
        self.queue = RequestQueue()
        self.policy = ServicePolicy()
        self._log = log
        self._admission = OpeningAdmission(self.queue, settings=settings)
        self._receipt = UploadReceipt()
        self._retries = RetryDetector()
        self._estimates_by_flow: dict[bytes, float] = {}

    def __len__(self) -> int:
        return len(self.queue)

    def apply(self, policy: ServicePolicy) -> None:
        """Applies load policies.

        Args:
            policy: The policies.
        """
        if policy.uses_admission != self.policy.uses_admission:
            name = "fair" if policy.uses_admission else "objective"
            self.queue.policy = SCHEDULING_POLICIES[name]()
            self._admission.clear()
        self.policy = policy
        self.queue.observes_runs = policy.uses_admission or policy.wants_reports
        if not self.queue.observes_runs:
            self.queue.run_times.clear()

    def check_opening(
        self, flow: bytes, parameters: RequestParameters, *, now: float
    ) -> Refusal | None:
        """Decides whether a new flow is admitted.

        Args:
            flow: The flow.
            parameters: Request parameters of its route.
            now: Clock reading, seconds.

        Returns:
            The refusal; None if the flow is admitted.
        """
        if not self.policy.uses_admission:
            return None
        return self._admission.check(flow, parameters, now=now)

    def record_refusal(self, flow: bytes, *, now: float) -> None:
        """Records that a new flow was refused; see `RetryDetector`."""
        if self.policy.uses_admission:
            self._retries.record_end(flow, now=now)

    def on_flow_opened(
        self,
        flow: OwnedFlow,
        segment: Segment,
        parameters: RequestParameters,
        *,
        now: float,
    ) -> None:
        """Prepares for the request of a new flow.

        Args:
            flow: State of the flow.
            segment: Its opening packet.
            parameters: Request parameters of its route.
            now: Clock reading, seconds.
        """
        if self.policy.uses_admission:
            flow.is_retry = self._retries.is_retry(segment.flow, now=now)
        if self.policy.receives_without_slot and parameters.kind is RequestKind.UPLOAD:
            self._receipt.open(segment.flow, segment.next_sequence, now=now)

    def on_data(
        self,
        flow: OwnedFlow,
        segment: Segment,
        parameters: RequestParameters,
        *,
        now: float,
    ) -> list[bytes]:
        """Handles a caller's packet with data.

        Args:
            flow: State of the flow.
            segment: The packet.
            parameters: Request parameters of its route.
            now: Clock reading, seconds.

        Returns:
            Packets to forward now.
        """
        is_new = flow.next_caller_sequence is None or is_at_or_after(
            segment.seq, flow.next_caller_sequence
        )
        if is_new:
            flow.next_caller_sequence = (segment.seq + segment.length) % SEQUENCE_SPACE
            # An upload is one request, so its later packets belong to the dropped one.
            if parameters.kind is not RequestKind.UPLOAD:
                flow.dropped_until = 0.0
        if flow.dropped_until:
            # Retransmission or rest of a request that was dropped: it must not run
            # outside the slots, also when its caller repeats it after its deadline.
            return []
        receipt = self._receipt.receive(segment, now=now) if self._receipt else None
        if receipt is not None:
            forwarded = list(receipt.forwarded)
            last = receipt.last
            if receipt.is_repeated_last and segment.flow not in self.queue:
                forwarded.append(segment.datagram)
            if last is not None and self._submit(flow, last, parameters, now=now):
                self._receipt.release(segment.flow)
                forwarded.append(last.datagram)
            return forwarded
        is_retransmission = not is_new and segment.flow not in self.queue
        if is_retransmission or self.queue.is_running(segment.flow):
            return [segment.datagram]
        if self._submit(flow, segment, parameters, now=now):
            return [segment.datagram]
        return []

    def finish(self, flow: bytes, *, now: float) -> None:
        """Removes the request of a flow that has ended.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        self._admission.record_request(flow)
        self._receipt.end(flow)
        self._estimates_by_flow.pop(flow, None)
        self.queue.finish(flow, now=now, was_answered=False)

    def on_response(self, flow: bytes, *, now: float) -> None:
        """Records the first packet of a response.

        Args:
            flow: The flow.
            now: Clock reading, seconds.
        """
        self._receipt.end(flow)
        run_seconds = self.queue.finish(flow, now=now)
        if run_seconds is not None:
            self._log.metrics.observe("request_run", run_seconds)

    def can_start(self, *, now: float) -> bool:
        """Returns whether a request waits and a slot is free.

        Args:
            now: Clock reading, seconds.
        """
        return bool(self.queue.waiting) and self.queue.free_places(now=now) > 0

    def start(self, *, now: float) -> list[bytes]:
        """Starts waiting requests in free slots.

        Args:
            now: Clock reading, seconds.

        Returns:
            Packets to forward.
        """
        packets: list[bytes] = []

        def drop(request: WaitingRequest) -> None:
            self._on_dropped(request, now=now)

        for request in self.queue.next_requests(now=now, on_drop=drop):
            waited = now - request.arrived_at
            self._log.decision(
                "request started",
                flow=format_flow(request.flow),
                waited=round(waited, 4),
            )
            self._log.metrics.observe("request_wait", waited)
            estimate = self._estimates_by_flow.pop(request.flow, None)
            if estimate is not None:
                self._observe_estimate(estimate, waited=waited)
            self._receipt.release(request.flow)
            self._observer.on_forwarded(
                request.flow, now=now, kind=request.parameters.kind
            )
            packets += request.packets_by_sequence.values()
        return packets

    def drop_expired(self, *, now: float) -> list[tuple[bytes, float]]:
        """Drops requests that cannot be answered in time, and frees stalled transfers.

        Args:
            now: Clock reading, seconds.

        Returns:
            Flow of each dropped request, and when its caller gives up, seconds.
        """
        uses_admission = self.policy.uses_admission
        expired = self.queue.take_expired(now=now, includes_run=uses_admission)
        for request in expired:
            self._on_dropped(request, now=now)
        if expired:
            self._log.decision(
                "given up", reason="waited too long", requests=len(expired)
            )
        for flow in self._receipt.free_stalled(now=now):
            self._log.decision("transfer stalled", flow=format_flow(flow))
        if not uses_admission:
            return []
        return [(request.flow, request.expires_at) for request in expired]

    def clear(self) -> None:
        """Removes what is left of an upstream that has ended."""
        self._admission.clear()
        self._receipt.clear()
        self._estimates_by_flow.clear()

    def expected_wait(self, *, now: float) -> float:
        """Returns the queueing delay of a new request of middle urgency, seconds.

        Args:
            now: Clock reading, seconds.
        """
        return self._admission.reported_wait(now=now)

    def busy_fraction(self, *, now: float) -> float:
        """Returns the fraction of the slots in use over the last seconds.

        Args:
            now: Clock reading, seconds.
        """
        return self.queue.run_times.busy_fraction(slots=self.queue.slots, now=now)

    def update_metrics(self) -> None:
        """Sets the gauges of waiting requests and transfers in progress."""
        metrics = self._log.metrics
        for urgency, count in self.queue.waiting_by_urgency().items():
            metrics.set_gauge(f"requests_waiting_urgency_{urgency}", count)
        metrics.set_gauge("transfers_in_progress", len(self._receipt))

    def _submit(
        self,
        flow: OwnedFlow,
        segment: Segment,
        parameters: RequestParameters,
        *,
        now: float,
    ) -> bool:
        estimate = None
        if self.policy.uses_admission:
            estimate = self._admission.record_request(segment.flow)
            if self.queue.is_full and segment.flow not in self.queue:
                self._drop_new(flow, segment.flow, parameters, now=now)
                return False
        started = self.queue.submit(
            segment.flow,
            segment.seq,
            segment.datagram,
            parameters,
            now=now,
            is_retry=flow.is_retry,
        )
        if estimate is not None:
            if started:
                self._observe_estimate(estimate, waited=0.0)
            else:
                self._estimates_by_flow[segment.flow] = estimate
        return started

    def _drop_new(
        self,
        state: OwnedFlow,
        flow: bytes,
        parameters: RequestParameters,
        *,
        now: float,
    ) -> None:
        request = WaitingRequest(flow, now, parameters)
        state.dropped_until = request.expires_at
        self._on_dropped(request, now=now)
        self._log.decision("given up", reason="queue full", flow=format_flow(flow))

    def _on_dropped(self, request: WaitingRequest, *, now: float) -> None:
        self._estimates_by_flow.pop(request.flow, None)
        # A complete transfer does not count as stalled, so its place is freed here.
        self._receipt.release(request.flow)
        self.record_refusal(request.flow, now=now)

    def _observe_estimate(self, estimate: float, *, waited: float) -> None:
        metrics = self._log.metrics
        metrics.observe("request_wait_estimated", estimate)
        metrics.observe("request_wait_estimate_error", abs(waited - estimate))
