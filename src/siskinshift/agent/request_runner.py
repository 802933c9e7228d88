"""Executes the load gate's actions for the requests of an agent.

The gate decides without I/O. The runner holds the lock around each decision, then
starts exchanges, responds to callers and sends messages to peers.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

import attrs

from siskinshift.agent.observed_response import ObservedResponse
from siskinshift.agent.pinned_paths import PinnedPaths
from siskinshift.agent.upstream_exchange import ExchangeEnd
from siskinshift.agent.upstream_exchange import UpstreamExchange
from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import ReleaseAtPeer
from siskinshift.core.requests import ReplyToReservation
from siskinshift.core.requests import ReserveAtPeer
from siskinshift.core.requests import RunAtPeer
from siskinshift.core.requests import RunResult
from siskinshift.core.requests import StartRequest
from siskinshift.messages.core import OutcomeKind


if TYPE_CHECKING:
    from siskinshift.agent.handover import RequestHandover
    from siskinshift.agent.http_requests import HttpRequest
    from siskinshift.agent.upstream_connections import UpstreamConnections
    from siskinshift.core.clocks import Clock
    from siskinshift.core.requests import GateAction
    from siskinshift.core.requests import Request
    from siskinshift.core.views import View
    from siskinshift.load.gate import LoadGate
    from siskinshift.messages.load import UsageSums
    from siskinshift.observability.telemetry import Telemetry


Spawner: TypeAlias = Callable[..., object]
GateOperation: TypeAlias = Callable[["LoadGate", float], list["GateAction"]]
ActionHandler: TypeAlias = Callable[["RequestRunner", "GateAction"], None]

RETRY_AFTER_SECONDS = 1.0

_handlers_by_action_type: dict[type, Callable[..., None]] = {}


def handles_action(action_type: type) -> Callable[[Callable[..., None]], ActionHandler]:
    """Registers the decorated function as the handler of an action type.

    Args:
        action_type: Class of one of the gate's actions.

    Returns:
        The decorator.
    """

    def register(handler: Callable[..., None]) -> Callable[..., None]:
        _handlers_by_action_type[action_type] = handler
        return handler

    return register


class RequestRunner:
    """Tracks the requests of an agent from arrival to final response.

    Attributes:
        handover: Runs requests at peers and serves theirs; it sets itself here.
        pinned_paths: Paths whose requests are not handed over.
    """

    def __init__(
        self,
        *,
        gate: LoadGate,
        connections: UpstreamConnections,
        max_requests: int,
        spawn: Spawner,
        clock: Clock,
        telemetry: Telemetry,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Initializes a runner without requests.

        Args:
            gate: Decides on admission, queueing and handover.
            connections: Connections to the upstream.
            max_requests: Maximum number of requests held at the same time.
            spawn: Runs a task on a thread.
            clock: Clock of the process.
            telemetry: Records outcomes and slot time.
            is_leaving: Returns whether callers are redirected to other agents.
        """
        self._gate = gate
        self._connections = connections
        self._max_requests = max_requests
        self._spawn = spawn
        self._clock = clock
        self._telemetry = telemetry
        self._is_leaving = is_leaving
        self._counters = telemetry.counters
        self._lock = threading.Lock()
        self._requests_by_id: dict[int, HttpRequest] = {}
        self._exchanges_by_id: dict[int, UpstreamExchange] = {}
        self._streaming_ids: set[int] = set()
        self._cancelled_before_start: set[int] = set()
        self.handover: RequestHandover | None = None
        self.pinned_paths = PinnedPaths()
        self._is_draining = False

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def submit(self, http_request: HttpRequest) -> None:
        """Submits a request that was received in full.

        Args:
            http_request: The request.
        """
        if self._is_leaving():
            # Admission ends by time, not only by tick: on a starved instance the tick
            # came a second late, and a draining upstream still received new work.
            self.drain()
        http_request = self._with_outcome_report(http_request)
        request_id = http_request.request.request_id
        with self._lock:
            is_full = len(self._requests_by_id) >= self._max_requests
            if not is_full:
                self._requests_by_id[request_id] = http_request
                actions = self._gate.submit(http_request.request, now=self._clock())
        if is_full:
            http_request.writer.fail(
                ErrorKind.OVERLOADED, retry_after=RETRY_AFTER_SECONDS
            )
            return
        self.execute(actions)

    def record_refusal(self, request: Request) -> None:
        """Records the outcome of a request that was refused before admission.

        Args:
            request: The request.
        """
        self._telemetry.record_request(request, OutcomeKind.NOT_RUN)

    def cancel(self, request_id: int) -> None:
        """Handles a cancel of the caller.

        Args:
            request_id: Id of the request; ignored when it has ended.
        """
        with self._lock:
            if request_id not in self._requests_by_id:
                return
            actions: list[GateAction] = [CancelAtUpstream(request_id)]
            if request_id not in self._streaming_ids:
                actions = self._gate.cancel(request_id, now=self._clock())
        self.execute(actions)

    def handle_connection_loss(self, request_id: int) -> None:
        """Handles the loss of the caller's connection.

        A running request that is not repeatable is completed: the caller did not
        cancel it, and an interrupted write is worse than an undelivered response.

        Args:
            request_id: Id of the request.
        """
        with self._lock:
            http_request = self._requests_by_id.get(request_id)
            is_running = request_id in self._exchanges_by_id or (
                self.handover is not None and self.handover.is_at_peer(request_id)
            )
        if http_request is None or (is_running and not http_request.request.repeatable):
            return
        self.cancel(request_id)

    def call_gate(self, operation: GateOperation) -> None:
        """Runs an operation on the gate and executes the resulting actions.

        Args:
            operation: Called with the gate and the time while the lock is held; must
                not do I/O.
        """
        with self._lock:
            actions = operation(self._gate, self._clock())
        self.execute(actions)

    def update(self, view: View, *, upstream_class: str) -> None:
        """Applies a new view.

        Args:
            view: The view.
            upstream_class: Class of the agent's upstream.
        """
        with self._lock:
            self._gate.update(view, upstream_class=upstream_class)

    def drain(self) -> None:
        """Stops admission; queued and running requests are completed."""
        with self._lock:
            if self._is_draining:
                return
            self._is_draining = True
        self.call_gate(lambda gate, now: gate.drain(now=now))

    def refuse_peer_requests(self) -> None:
        """Refuses requests of peers; the agent's own requests are still accepted."""
        self.call_gate(lambda gate, now: gate.refuse_peer_requests(now=now))

    def tick(self) -> None:
        """Runs the gate's timers; sends usage sums when they are due."""
        self.call_gate(lambda gate, now: gate.tick(now=now))
        if self.handover is None:
            return
        with self._lock:
            sums = self._gate.usage_message(now=self._clock())
        if sums is not None:
            self.handover.send_usage(sums)

    def merge_usage(self, sums: UsageSums) -> None:
        """Merges the usage sums of peers.

        Args:
            sums: The sums.
        """
        with self._lock:
            self._gate.usage_table.merge(sums, now=self._clock())

    def handle_peer_result(self, request_id: int, result: RunResult) -> None:
        """Handles the end of a request that was handed over to a peer.

        Args:
            request_id: Id of the request.
            result: How it ended.
        """
        is_answered = result is RunResult.ANSWERED
        with self._lock:
            self._cancelled_before_start.discard(request_id)
            if is_answered:
                self._requests_by_id.pop(request_id, None)
        self._report_end(request_id, ExchangeEnd(result, succeeded=is_answered))

    def start_reserved(self, reservation_id: str) -> bool:
        """Consumes the reservation of a request that a peer handed over.

        Args:
            reservation_id: Id of the reservation.

        Returns:
            Whether the request may be offered to the upstream.
        """
        with self._lock:
            return self._gate.start_reserved(reservation_id, now=self._clock())

    def cancel_reserved(self, reservation_id: str) -> bool:
        """Cancels a request that a peer handed over.

        Args:
            reservation_id: Id of its reservation.

        Returns:
            Whether the request is running.
        """
        with self._lock:
            return self._gate.cancel_reserved(reservation_id)

    def finish_peer_request(self, reservation_id: str, result: RunResult) -> None:
        """Handles the end of a request that a peer handed over.

        Args:
            reservation_id: Id of its reservation.
            result: How it ended.
        """
        self.call_gate(
            lambda gate, now: gate.peer_request_finished(
                reservation_id, result, now=now
            )
        )

    def create_exchange(
        self, http_request: HttpRequest, on_event_stream: Callable[[], None]
    ) -> UpstreamExchange:
        """Creates the exchange of a request with the upstream.

        Args:
            http_request: The request.
            on_event_stream: Called when the response is an event stream.

        Returns:
            The exchange, not started.
        """
        return UpstreamExchange(
            http_request=http_request,
            connections=self._connections,
            clock=self._clock,
            on_event_stream=on_event_stream,
        )

    def cancel_all(self) -> None:
        """Cancels all exchanges; used when the process stops immediately."""
        with self._lock:
            exchanges = tuple(self._exchanges_by_id.values())
        for exchange in exchanges:
            exchange.cancel()

    def execute(self, actions: list[GateAction]) -> None:
        """Executes actions of the gate.

        Args:
            actions: The actions, in order.
        """
        for action in actions:
            _handlers_by_action_type[type(action)](self, action)

    @handles_action(StartRequest)
    def _start(self, action: StartRequest) -> None:
        with self._lock:
            http_request = self._requests_by_id[action.request_id]
            exchange = self.create_exchange(
                http_request, lambda: self._mark_streaming(action.request_id)
            )
            self._exchanges_by_id[action.request_id] = exchange
            if action.request_id in self._cancelled_before_start:
                exchange.cancel()
        self._spawn(self._run, action.request_id, exchange)

    @handles_action(RefuseRequest)
    def _refuse(self, action: RefuseRequest) -> None:
        with self._lock:
            http_request = self._requests_by_id.pop(action.request_id, None)
        if http_request is None:
            return
        self._counters.add(f"requests.not_run.{action.error.value}")
        http_request.writer.fail(action.error, retry_after=action.retry_after)

    @handles_action(FailRequest)
    def _fail(self, action: FailRequest) -> None:
        with self._lock:
            http_request = self._requests_by_id.pop(action.request_id, None)
        if http_request is None:
            return
        self._counters.add(f"requests.unknown.{action.error.value}")
        http_request.writer.fail(action.error, retry_after=None)

    @handles_action(CancelAtUpstream)
    def _cancel_at_upstream(self, action: CancelAtUpstream) -> None:
        with self._lock:
            exchange = self._exchanges_by_id.get(action.request_id)
            if exchange is None and action.request_id in self._requests_by_id:
                # The gate has started the request, but the exchange does not exist
                # yet. Without this entry the cancel would be lost and the request
                # would run after its caller cancelled it.
                self._cancelled_before_start.add(action.request_id)
        if exchange is not None:
            self._counters.add("requests.cancelled_running")
            exchange.cancel()
        elif self.handover is not None and self.handover.cancel(action.request_id):
            self._counters.add("requests.cancelled_running")

    @handles_action(ReserveAtPeer)
    def _reserve(self, action: ReserveAtPeer) -> None:
        http_request = self._requests_by_id.get(action.request_id)
        if http_request is not None and self.handover is not None:
            self.handover.reserve(action, http_request.request)

    @handles_action(ReleaseAtPeer)
    def _release(self, action: ReleaseAtPeer) -> None:
        if self.handover is not None:
            self.handover.release(action)

    @handles_action(RunAtPeer)
    def _run_at_peer(self, action: RunAtPeer) -> None:
        if self.handover is not None:
            self.handover.run(action, self._requests_by_id[action.request_id])

    @handles_action(ReplyToReservation)
    def _reply_to_reservation(self, action: ReplyToReservation) -> None:
        if self.handover is not None:
            self.handover.reply_to_reservation(action)

    def _with_outcome_report(self, http_request: HttpRequest) -> HttpRequest:
        def report(outcome: OutcomeKind) -> None:
            self._telemetry.record_request(http_request.request, outcome)

        return attrs.evolve(
            http_request, writer=ObservedResponse(http_request.writer, report)
        )

    def record_slot_use(self, http_request: HttpRequest, *, since: float) -> None:
        """Records the time that a request occupied a slot of the upstream.

        Args:
            http_request: The request, of this agent or of a peer.
            since: Clock reading when it was offered, seconds.
        """
        seconds = self._clock() - since
        self._telemetry.record_slot_time(
            http_request.request.service_id, seconds=seconds
        )

    def _run(self, request_id: int, exchange: UpstreamExchange) -> None:
        end = None
        since = self._clock()
        try:
            end = exchange.run()
        finally:
            end = end or ExchangeEnd(
                RunResult.LOST, has_response=exchange.has_response_started
            )
            with self._lock:
                self._cancelled_before_start.discard(request_id)
                self._exchanges_by_id.pop(request_id, None)
                holds_slot = request_id not in self._streaming_ids
                self._streaming_ids.discard(request_id)
                if end.has_response:
                    self._requests_by_id.pop(request_id, None)
            if holds_slot:
                self.record_slot_use(exchange.http_request, since=since)
                self._report_end(request_id, end)

    def _mark_streaming(self, request_id: int) -> None:
        # A stream of hours would block an upstream with one slot, although it only
        # holds a connection for it. The gate therefore frees the slot here.
        with self._lock:
            self._streaming_ids.add(request_id)
            self.pinned_paths.add(self._requests_by_id[request_id].path)
        end = ExchangeEnd(RunResult.ANSWERED, succeeded=True, has_response=True)
        self._report_end(request_id, end)

    def _report_end(self, request_id: int, end: ExchangeEnd) -> None:
        # A caller that received a response, even a truncated one, gets no second one:
        # the gate is not given a result on which it would fail or retry the request.
        is_truncated = end.has_response and end.result is RunResult.LOST
        self.call_gate(
            lambda gate, now: gate.finished(
                request_id,
                succeeded=end.succeeded,
                now=now,
                result=None if is_truncated else end.result,
            )
        )
