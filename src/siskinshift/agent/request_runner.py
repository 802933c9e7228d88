"""Drives admission: carries out what the gate decides about requests."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

import attrs

from siskinshift.agent.observed_reply import ObservedReply
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


if TYPE_CHECKING:
    from siskinshift.agent.calls import Call
    from siskinshift.agent.hand_over import HandOver
    from siskinshift.agent.upstream_connections import UpstreamConnections
    from siskinshift.core.clocks import Clock
    from siskinshift.core.requests import GateAction
    from siskinshift.core.views import View
    from siskinshift.load.gate import LoadGate
    from siskinshift.messages.core import OutcomeKind
    from siskinshift.messages.load import UsageSums
    from siskinshift.observability.telemetry import Telemetry


Spawner: TypeAlias = Callable[..., object]
Decision: TypeAlias = Callable[["LoadGate", float], list["GateAction"]]
ActionHandler: TypeAlias = Callable[["RequestRunner", "GateAction"], None]

RETRY_AFTER_SECONDS = 1.0

_handlers_by_action: dict[type, Callable[..., None]] = {}


def carries_out(action_type: type) -> Callable[[Callable[..., None]], ActionHandler]:
    """Registers the decorated function for a type of action.

    Args:
        action_type: One of the gate's actions.

    Returns:
        The decorator.
    """

    def register(handler: Callable[..., None]) -> Callable[..., None]:
        _handlers_by_action[action_type] = handler
        return handler

    return register


class RequestRunner:
    """Holds the requests of an agent from arrival to answer."""

    def __init__(
        self,
        *,
        gate: LoadGate,
        connections: UpstreamConnections,
        held_maximum: int,
        spawn: Spawner,
        clock: Clock,
        telemetry: Telemetry,
        is_leaving: Callable[[], bool],
    ) -> None:
        """Prepares a runner without requests.

        Args:
            gate: Decides about requests.
            connections: Connections to the upstream.
            held_maximum: Requests and streams held at once.
            spawn: Runs a task on a thread.
            clock: Clock of the process.
            telemetry: Takes outcomes and slot time.
            is_leaving: Whether callers are being sent away by now.
        """
        self._gate = gate
        self._connections = connections
        self._held_maximum = held_maximum
        self._spawn = spawn
        self._clock = clock
        self._telemetry = telemetry
        self._is_leaving = is_leaving
        self._counters = telemetry.counters
        self._lock = threading.Lock()
        self._calls_by_id: dict[int, Call] = {}
        self._exchanges_by_id: dict[int, UpstreamExchange] = {}
        self._streaming: set[int] = set()
        self._cancelled_early: set[int] = set()
        self.hand_over: HandOver | None = None
        self.pinned_paths = PinnedPaths()
        self._is_draining = False

    def __len__(self) -> int:
        return len(self._calls_by_id)

    def submit(self, call: Call) -> None:
        """Takes a request that arrived whole.

        Args:
            call: The request.
        """
        if self._is_leaving():
            # Failure: an upstream that left got work long after; on a starved instance
            # the tick that ends admission came a second late. The time decides, not
            # the tick.
            self.drain()
        call = self._observed(call)
        request_id = call.request.request_id
        with self._lock:
            is_full = len(self._calls_by_id) >= self._held_maximum
            if not is_full:
                self._calls_by_id[request_id] = call
                actions = self._gate.submit(call.request, now=self._clock())
        if is_full:
            call.reply.fail(ErrorKind.OVERLOADED, retry_after=RETRY_AFTER_SECONDS)
            return
        self.carry_out(actions)

    def cancel(self, request_id: int) -> None:
        """Takes a caller's cancel.

        Args:
            request_id: The request; one that has ended is passed over.
        """
        with self._lock:
            if request_id not in self._calls_by_id:
                return
            actions: list[GateAction] = [CancelAtUpstream(request_id)]
            if request_id not in self._streaming:
                actions = self._gate.cancel(request_id, now=self._clock())
        self.carry_out(actions)

    def abandon(self, request_id: int) -> None:
        """Takes the loss of the caller's connection.

        A save that runs is left to end: the caller did not ask to stop it, and a
        save cut half-way is worse than one whose answer nobody hears.

        Args:
            request_id: The request.
        """
        with self._lock:
            call = self._calls_by_id.get(request_id)
            is_running = request_id in self._exchanges_by_id or (
                self.hand_over is not None and self.hand_over.has(request_id)
            )
        if call is None or (is_running and not call.request.repeatable):
            return
        self.cancel(request_id)

    def decide(self, decision: Decision) -> None:
        """Lets the gate decide and carries its decisions out.

        Args:
            decision: Calls the gate with the time; no I/O, since it holds the lock.
        """
        with self._lock:
            actions = decision(self._gate, self._clock())
        self.carry_out(actions)

    def update(self, view: View, *, upstream_class: str) -> None:
        """Takes a new view.

        Args:
            view: The view.
            upstream_class: Class of the agent's upstream.
        """
        with self._lock:
            self._gate.update(view, upstream_class=upstream_class)

    def drain(self) -> None:
        """Stops to admit; queued and running requests go on."""
        with self._lock:
            if self._is_draining:
                return
            self._is_draining = True
        self.decide(lambda gate, now: gate.drain(now=now))

    def refuse_peer_requests(self) -> None:
        """Takes no more requests of peers; own ones go on."""
        self.decide(lambda gate, now: gate.refuse_peer_requests(now=now))

    def tick(self) -> None:
        """Lets the gate's time pass; sends usage sums when it is time."""
        self.decide(lambda gate, now: gate.tick(now=now))
        if self.hand_over is None:
            return
        with self._lock:
            sums = self._gate.usage_message(now=self._clock())
        if sums is not None:
            self.hand_over.spread(sums)

    def learn(self, sums: UsageSums) -> None:
        """Takes the usage sums of peers.

        Args:
            sums: The sums.
        """
        with self._lock:
            self._gate.usage_table.merge(sums, now=self._clock())

    def ended(self, request_id: int, result: RunResult) -> None:
        """Takes the end of a request at a peer.

        Args:
            request_id: The request.
            result: How it ended.
        """
        answered = result is RunResult.ANSWERED
        with self._lock:
            self._cancelled_early.discard(request_id)
            if answered:
                self._calls_by_id.pop(request_id, None)
        self._finish(request_id, ExchangeEnd(result, succeeded=answered))

    def take_reserved(self, reservation_id: str) -> bool:
        """Uses up the reservation under which a peer's request came.

        Args:
            reservation_id: The reservation.

        Returns:
            Whether the request may be offered to the upstream.
        """
        with self._lock:
            return self._gate.start_reserved(reservation_id, now=self._clock())

    def cancel_reserved(self, reservation_id: str) -> bool:
        """Takes a cancel of a peer's request.

        Args:
            reservation_id: The reservation it runs under.

        Returns:
            Whether it runs.
        """
        with self._lock:
            return self._gate.cancel_reserved(reservation_id)

    def peer_request_ended(self, reservation_id: str, result: RunResult) -> None:
        """Takes the end of a peer's request.

        Args:
            reservation_id: The reservation it ran under.
            result: How it ended.
        """
        self.decide(
            lambda gate, now: gate.peer_request_finished(
                reservation_id, result, now=now
            )
        )

    def exchange_for(
        self, call: Call, on_streaming: Callable[[], None]
    ) -> UpstreamExchange:
        """Prepares an exchange for a peer's request.

        Args:
            call: The request.
            on_streaming: Called when the answer turns out to be an event stream.

        Returns:
            The exchange, not started.
        """
        return UpstreamExchange(
            call=call,
            connections=self._connections,
            clock=self._clock,
            on_streaming=on_streaming,
        )

    def cancel_all(self) -> None:
        """Ends all exchanges; for a process that stops at once."""
        with self._lock:
            exchanges = tuple(self._exchanges_by_id.values())
        for exchange in exchanges:
            exchange.cancel()

    def carry_out(self, actions: list[GateAction]) -> None:
        """Carries out the gate's decisions.

        Args:
            actions: The decisions.
        """
        for action in actions:
            _handlers_by_action[type(action)](self, action)

    @carries_out(StartRequest)
    def _start(self, action: StartRequest) -> None:
        with self._lock:
            call = self._calls_by_id[action.request_id]
            exchange = self.exchange_for(
                call, lambda: self._hold_as_stream(action.request_id)
            )
            self._exchanges_by_id[action.request_id] = exchange
            if action.request_id in self._cancelled_early:
                exchange.cancel()
        self._spawn(self._run, action.request_id, exchange)

    @carries_out(RefuseRequest)
    def _refuse(self, action: RefuseRequest) -> None:
        with self._lock:
            call = self._calls_by_id.pop(action.request_id, None)
        if call is None:
            return
        self._counters.add(f"requests.not_run.{action.error.value}")
        call.reply.fail(action.error, retry_after=action.retry_after)

    @carries_out(FailRequest)
    def _fail(self, action: FailRequest) -> None:
        with self._lock:
            call = self._calls_by_id.pop(action.request_id, None)
        if call is None:
            return
        self._counters.add(f"requests.unknown.{action.error.value}")
        call.reply.fail(action.error, retry_after=None)

    @carries_out(CancelAtUpstream)
    def _cancel_at_upstream(self, action: CancelAtUpstream) -> None:
        with self._lock:
            exchange = self._exchanges_by_id.get(action.request_id)
            if exchange is None and action.request_id in self._calls_by_id:
                # The start is decided and not carried out yet: without this note the
                # cancel would be lost and the request would run for nobody.
                self._cancelled_early.add(action.request_id)
        if exchange is not None:
            self._counters.add("requests.cancelled_running")
            exchange.cancel()
        elif self.hand_over is not None and self.hand_over.cancel(action.request_id):
            self._counters.add("requests.cancelled_running")

    @carries_out(ReserveAtPeer)
    def _reserve(self, action: ReserveAtPeer) -> None:
        call = self._calls_by_id.get(action.request_id)
        if call is not None and self.hand_over is not None:
            self.hand_over.reserve(action, call.request)

    @carries_out(ReleaseAtPeer)
    def _release(self, action: ReleaseAtPeer) -> None:
        if self.hand_over is not None:
            self.hand_over.release(action)

    @carries_out(RunAtPeer)
    def _run_at_peer(self, action: RunAtPeer) -> None:
        if self.hand_over is not None:
            self.hand_over.run(action, self._calls_by_id[action.request_id])

    @carries_out(ReplyToReservation)
    def _answer_reservation(self, action: ReplyToReservation) -> None:
        if self.hand_over is not None:
            self.hand_over.answer_reservation(action)

    def _observed(self, call: Call) -> Call:
        def report(outcome: OutcomeKind) -> None:
            self._telemetry.request_ended(call.request, outcome)

        return attrs.evolve(call, reply=ObservedReply(call.reply, report))

    def slot_used(self, call: Call, *, since: float) -> None:
        """Takes the end of a run in one of the upstream's slots.

        Args:
            call: What ran, an own request or a peer's.
            since: Clock reading at its offer, seconds.
        """
        seconds = self._clock() - since
        self._telemetry.slot_used(call.request.service_id, seconds=seconds)

    def _run(self, request_id: int, exchange: UpstreamExchange) -> None:
        end = None
        since = self._clock()
        try:
            end = exchange.run()
        finally:
            end = end or ExchangeEnd(RunResult.LOST, is_answered=exchange.is_started)
            with self._lock:
                self._cancelled_early.discard(request_id)
                self._exchanges_by_id.pop(request_id, None)
                is_counted = request_id not in self._streaming
                self._streaming.discard(request_id)
                if end.is_answered:
                    self._calls_by_id.pop(request_id, None)
            if is_counted:
                self.slot_used(exchange.call, since=since)
                self._finish(request_id, end)

    def _hold_as_stream(self, request_id: int) -> None:
        # A stream of hours would starve an upstream of one slot, though the
        # upstream only holds a connection for it: the gate hears of its end now.
        with self._lock:
            self._streaming.add(request_id)
            self.pinned_paths.add(self._calls_by_id[request_id].path)
        end = ExchangeEnd(RunResult.ANSWERED, succeeded=True, is_answered=True)
        self._finish(request_id, end)

    def _finish(self, request_id: int, end: ExchangeEnd) -> None:
        # A caller that has an answer, even one cut short, gets no other: the gate is
        # not asked to end or to retry the request.
        is_cut = end.is_answered and end.result is RunResult.LOST
        self.decide(
            lambda gate, now: gate.finished(
                request_id,
                succeeded=end.succeeded,
                now=now,
                result=None if is_cut else end.result,
            )
        )
