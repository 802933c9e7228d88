"""Drives admission: carries out what the gate decides about requests."""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from siskinshift.agent.upstream_exchange import UpstreamExchange
from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import StartRequest


if TYPE_CHECKING:
    from siskinshift.agent.calls import Call
    from siskinshift.agent.upstream_connections import UpstreamConnections
    from siskinshift.core.clocks import Clock
    from siskinshift.core.requests import GateAction
    from siskinshift.core.requests import RequestGate
    from siskinshift.runtime.counters import Counters


Spawner: TypeAlias = Callable[..., object]
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
        gate: RequestGate,
        connections: UpstreamConnections,
        held_maximum: int,
        spawn: Spawner,
        clock: Clock,
        counters: Counters,
    ) -> None:
        """Prepares a runner without requests.

        Args:
            gate: Decides about requests.
            connections: Connections to the upstream.
            held_maximum: Requests and streams held at once.
            spawn: Runs a task on a thread.
            clock: Clock of the process.
            counters: Counters of the process.
        """
        self._gate = gate
        self._connections = connections
        self._held_maximum = held_maximum
        self._spawn = spawn
        self._clock = clock
        self._counters = counters
        self._lock = threading.Lock()
        self._calls_by_id: dict[int, Call] = {}
        self._exchanges_by_id: dict[int, UpstreamExchange] = {}
        self._streaming: set[int] = set()
        self._is_draining = False

    def __len__(self) -> int:
        return len(self._calls_by_id)

    def submit(self, call: Call) -> None:
        """Takes a request that arrived whole.

        Args:
            call: The request.
        """
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
            is_running = request_id in self._exchanges_by_id
        if call is None or (is_running and not call.request.repeatable):
            return
        self.cancel(request_id)

    def drain(self) -> None:
        """Stops to admit; queued and running requests go on."""
        with self._lock:
            if self._is_draining:
                return
            self._is_draining = True
            actions = self._gate.drain(now=self._clock())
        self.carry_out(actions)

    def tick(self) -> None:
        """Lets the gate's time pass."""
        with self._lock:
            actions = self._gate.tick(now=self._clock())
        self.carry_out(actions)

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
            exchange = UpstreamExchange(
                call=call,
                connections=self._connections,
                clock=self._clock,
                on_streaming=lambda: self._hold_as_stream(action.request_id),
            )
            self._exchanges_by_id[action.request_id] = exchange
        self._spawn(self._run, action.request_id, exchange)

    @carries_out(RefuseRequest)
    def _refuse(self, action: RefuseRequest) -> None:
        with self._lock:
            call = self._calls_by_id.pop(action.request_id, None)
        if call is None:
            return
        self._counters.add(f"requests.not_run.{action.error.value}")
        call.reply.fail(action.error, retry_after=action.retry_after)

    @carries_out(CancelAtUpstream)
    def _cancel_at_upstream(self, action: CancelAtUpstream) -> None:
        with self._lock:
            exchange = self._exchanges_by_id.get(action.request_id)
        if exchange is not None:
            self._counters.add("requests.cancelled_running")
            exchange.cancel()

    def _run(self, request_id: int, exchange: UpstreamExchange) -> None:
        succeeded = False
        try:
            succeeded = exchange.run()
        finally:
            with self._lock:
                self._calls_by_id.pop(request_id, None)
                self._exchanges_by_id.pop(request_id, None)
                is_counted = request_id not in self._streaming
                self._streaming.discard(request_id)
            if is_counted:
                self._finish(request_id, succeeded=succeeded)

    def _hold_as_stream(self, request_id: int) -> None:
        # A stream of hours would starve an upstream of one slot, though the
        # upstream only holds a connection for it: the gate hears of its end now.
        with self._lock:
            self._streaming.add(request_id)
        self._finish(request_id, succeeded=True)

    def _finish(self, request_id: int, *, succeeded: bool) -> None:
        with self._lock:
            actions = self._gate.finished(
                request_id, succeeded=succeeded, now=self._clock()
            )
        self.carry_out(actions)
