"""Hands queued requests over between agents of one upstream class.

An agent reserves a slot at a peer and then sends the request. This module transports
the messages; the load gate (`siskinshift.load`) makes all decisions.
"""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING

from attrs import define

from siskinshift.agent.buffered_response import BufferedResponse
from siskinshift.agent.http_requests import HttpRequest
from siskinshift.agent.peer_clients import PeerClients
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.core.requests import Request
from siskinshift.core.requests import RunResult
from siskinshift.load.usage import USAGE_RECIPIENT_COUNT
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import OutcomeKind
from siskinshift.messages.load import CancelRun
from siskinshift.messages.load import HttpHeader
from siskinshift.messages.load import LoadReceipt
from siskinshift.messages.load import ReleaseSlot
from siskinshift.messages.load import ReserveSlot
from siskinshift.messages.load import ReserveSlotReply
from siskinshift.messages.load import RunRequest
from siskinshift.messages.load import RunRequestReply
from siskinshift.messages.load import UsageSums


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from siskinshift.agent.request_runner import RequestRunner
    from siskinshift.agent.upstream_exchange import UpstreamExchange
    from siskinshift.control.server import ControlRoutes
    from siskinshift.core.clocks import Clock
    from siskinshift.core.keyring import KeyRing
    from siskinshift.core.requests import ReleaseAtPeer
    from siskinshift.core.requests import ReplyToReservation
    from siskinshift.core.requests import ReserveAtPeer
    from siskinshift.core.requests import RunAtPeer
    from siskinshift.core.views import View
    from siskinshift.runtime.counters import Counters


RESERVE_PATH = "/v1/load/reserve"
RELEASE_PATH = "/v1/load/release"
RUN_PATH = "/v1/load/run"
CANCEL_PATH = "/v1/load/cancel"
USAGE_PATH = "/v1/load/usage"

# A slot reservation waits for at most 1 s by default, so its reply arrives in time.
MESSAGE_TIMEOUT_SECONDS = 5.0
# Time for the response to arrive after the deadline of the request.
RUN_GRACE_SECONDS = 1.0
# The gate ends the wait with a tick; this covers a late tick.
GRANT_GRACE_SECONDS = 0.5


@define(eq=False)
class _PeerRun:
    peer: Endpoint
    reservation_id: str


class RequestHandover:
    """Sends and handles the handover and usage messages of one agent."""

    def __init__(
        self,
        *,
        member_id: str,
        upstream_class: str,
        runner: RequestRunner,
        routes: ControlRoutes,
        key_ring: KeyRing,
        spawn: Callable[..., object],
        clock: Clock,
        counters: Counters,
        random: Random,
    ) -> None:
        """Registers the message handlers.

        Args:
            member_id: The agent's member id.
            upstream_class: Class of the agent's upstream.
            runner: Tracks the requests and owns the gate.
            routes: Registry of message handlers.
            key_ring: Keys of the deployment.
            spawn: Runs a task on a thread.
            clock: Clock of the process.
            counters: Counters of the process.
            random: Selects the recipients of usage sums.
        """
        self._member_id = member_id
        self._upstream_class = upstream_class
        self._runner = runner
        self._spawn = spawn
        self._clock = clock
        self._counters = counters
        self._random = random
        self._clients = PeerClients(key_ring=key_ring, timeout=MESSAGE_TIMEOUT_SECONDS)
        self._lock = threading.Lock()
        self._endpoints_by_peer_id: dict[str, Endpoint] = {}
        self._ready_peer_ids: list[str] = []
        self._grants_by_reservation_id: dict[str, Future[bool]] = {}
        self._peer_runs_by_request_id: dict[int, _PeerRun] = {}
        self._exchanges_by_reservation_id: dict[str, UpstreamExchange] = {}
        runner.handover = self
        routes.route(RESERVE_PATH, ReserveSlot)(self._on_reserve)
        routes.route(RELEASE_PATH, ReleaseSlot)(self._on_release)
        routes.route(RUN_PATH, RunRequest)(self._on_run)
        routes.route(CANCEL_PATH, CancelRun)(self._on_cancel)
        routes.route(USAGE_PATH, UsageSums)(self._on_usage)

    def __len__(self) -> int:
        return len(self._exchanges_by_reservation_id)

    def update(self, view: View) -> None:
        """Applies a new view.

        Args:
            view: The view.
        """
        agents = [
            agent
            for agent in view.agents_by_class.get(self._upstream_class, ())
            if agent.member_id != self._member_id
        ]
        with self._lock:
            self._endpoints_by_peer_id = {a.member_id: a.control for a in agents}
            self._ready_peer_ids = [
                a.member_id for a in agents if a.state is MemberState.READY
            ]

    def close(self) -> None:
        """Closes the connections to peers."""
        self._clients.close()

    def cancel_all(self) -> None:
        """Cancels the exchanges of peers; used when the process stops immediately."""
        for exchange in tuple(self._exchanges_by_reservation_id.values()):
            exchange.cancel()

    # Sending side: this agent holds the request.

    def reserve(self, action: ReserveAtPeer, request: Request) -> None:
        """Requests a slot at a peer in a separate task.

        Args:
            action: The gate's action.
            request: The request.
        """
        self._spawn(self._reserve, action, request)

    def release(self, action: ReleaseAtPeer) -> None:
        """Releases a reservation in a separate task.

        Args:
            action: The gate's action.
        """
        message = ReleaseSlot(reservation_id=action.reservation_id)
        peer = self._endpoint(action.peer_id)
        if peer is not None:
            self._spawn(self._notify, peer, RELEASE_PATH, message)

    def run(self, action: RunAtPeer, http_request: HttpRequest) -> None:
        """Sends a request to the peer that reserved a slot, in a separate task.

        Args:
            action: The gate's action.
            http_request: The request.
        """
        peer = self._endpoint(action.peer_id)
        if peer is None:
            self._runner.handle_peer_result(action.request_id, RunResult.NOT_OFFERED)
            return
        self._peer_runs_by_request_id[action.request_id] = _PeerRun(
            peer, action.reservation_id
        )
        self._spawn(self._run, peer, action, http_request)

    def cancel(self, request_id: int) -> bool:
        """Forwards a caller's cancel to the peer that runs the request.

        Args:
            request_id: Id of the request.

        Returns:
            Whether the request is at a peer.
        """
        peer_run = self._peer_runs_by_request_id.get(request_id)
        if peer_run is None:
            return False
        message = CancelRun(reservation_id=peer_run.reservation_id)
        self._spawn(self._notify, peer_run.peer, CANCEL_PATH, message)
        return True

    def is_at_peer(self, request_id: int) -> bool:
        """Returns whether a request was handed over and has not ended.

        Args:
            request_id: Id of the request.

        Returns:
            True while it may run at a peer.
        """
        return request_id in self._peer_runs_by_request_id

    def send_usage(self, sums: UsageSums) -> None:
        """Sends usage sums to a few random peers, each in a separate task.

        Args:
            sums: The message.
        """
        with self._lock:
            count = min(USAGE_RECIPIENT_COUNT, len(self._ready_peer_ids))
            peer_ids = self._random.sample(self._ready_peer_ids, count)
            peers = [self._endpoints_by_peer_id[peer_id] for peer_id in peer_ids]
        for peer in peers:
            self._spawn(self._notify, peer, USAGE_PATH, sums)

    def _reserve(self, action: ReserveAtPeer, request: Request) -> None:
        granted = self._request_slot(action, request)
        self._runner.call_gate(
            lambda gate, now: gate.handle_reservation_reply(
                action.request_id,
                peer_id=action.peer_id,
                reservation_id=action.reservation_id,
                granted=granted,
                now=now,
            )
        )

    def _request_slot(self, action: ReserveAtPeer, request: Request) -> bool:
        peer = self._endpoint(action.peer_id)
        if peer is None:
            return False
        message = ReserveSlot(
            reservation_id=action.reservation_id,
            sender_id=self._member_id,
            service_id=request.service_id,
            group_id=request.group_id,
            caller=request.caller,
            wait=action.wait,
            deadline_in=request.deadline - self._clock(),
        )
        try:
            reply = self._clients.call(peer, RESERVE_PATH, message, ReserveSlotReply)
        except (PeerUnreachableError, BadMessageError):
            self._counters.add("hand_over.unreachable")
            return False
        return reply.granted

    def _run(
        self, peer: Endpoint, action: RunAtPeer, http_request: HttpRequest
    ) -> None:
        try:
            reply = self._send_run(peer, action, http_request)
        except (PeerUnreachableError, BadMessageError) as error:
            # A refused connection means that nothing was sent. After any other failure
            # the peer's upstream may have run the request.
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            result = RunResult.NOT_OFFERED if refused else RunResult.LOST
            self._counters.add(f"hand_over.{result.value}")
            self._finish(action.request_id, result)
            return
        if reply.is_stream:
            self._runner.pinned_paths.add(http_request.path)
        if reply.outcome is OutcomeKind.ANSWERED:
            self._relay_response(action.request_id, http_request, reply)
        elif reply.outcome is OutcomeKind.NOT_RUN:
            self._finish(action.request_id, RunResult.NOT_OFFERED)
        else:
            self._finish(action.request_id, RunResult.LOST)

    def _send_run(
        self, peer: Endpoint, action: RunAtPeer, http_request: HttpRequest
    ) -> RunRequestReply:
        deadline_in = http_request.request.deadline - self._clock()
        message = RunRequest(
            reservation_id=action.reservation_id,
            method=http_request.method,
            path=http_request.path,
            headers=tuple(
                HttpHeader(name, value) for name, value in http_request.headers
            ),
            body=http_request.body,
            deadline_in=deadline_in,
        )
        return self._clients.call_once(
            peer,
            RUN_PATH,
            message,
            RunRequestReply,
            timeout=max(0.0, deadline_in) + RUN_GRACE_SECONDS,
        )

    def _relay_response(
        self, request_id: int, http_request: HttpRequest, reply: RunRequestReply
    ) -> None:
        self._counters.add("hand_over.answered")
        http_request.writer.start(
            reply.status, tuple((h.name, h.value) for h in reply.headers)
        )
        if reply.body:
            http_request.writer.write(reply.body)
        http_request.writer.end()
        self._finish(request_id, RunResult.ANSWERED)

    def _finish(self, request_id: int, result: RunResult) -> None:
        self._peer_runs_by_request_id.pop(request_id, None)
        self._runner.handle_peer_result(request_id, result)

    def _endpoint(self, peer_id: str) -> Endpoint | None:
        with self._lock:
            return self._endpoints_by_peer_id.get(peer_id)

    def _notify(self, peer: Endpoint, path: str, message: object) -> None:
        # Losing such a message is harmless: reservations time out, and usage sums are
        # sent periodically.
        try:
            self._clients.call(peer, path, message, LoadReceipt)
        except (PeerUnreachableError, BadMessageError):
            self._counters.add("hand_over.unreachable")

    # Receiving side: this agent has the slot.

    def reply_to_reservation(self, action: ReplyToReservation) -> None:
        """Completes the pending reply to a reservation of a peer.

        Args:
            action: The gate's action.
        """
        grant = self._grants_by_reservation_id.get(action.reservation_id)
        if grant is not None and not grant.done():
            grant.set_result(action.granted)

    def _on_reserve(self, message: ReserveSlot) -> ReserveSlotReply:
        reservation_id = message.reservation_id
        grant: Future[bool] = Future()
        with self._lock:
            if reservation_id in self._grants_by_reservation_id:
                return ReserveSlotReply(granted=False)
            self._grants_by_reservation_id[reservation_id] = grant
        try:
            self._runner.call_gate(lambda gate, now: gate.reserve(message, now=now))
            granted = grant.result(message.wait + GRANT_GRACE_SECONDS)
        except TimeoutError:
            granted = False
            self._runner.call_gate(
                lambda gate, now: gate.release(reservation_id, now=now)
            )
        finally:
            self._grants_by_reservation_id.pop(reservation_id, None)
        return ReserveSlotReply(granted=granted)

    def _on_release(self, message: ReleaseSlot) -> LoadReceipt:
        self._runner.call_gate(
            lambda gate, now: gate.release(message.reservation_id, now=now)
        )
        return LoadReceipt()

    def _on_run(self, message: RunRequest) -> RunRequestReply:
        if not self._runner.start_reserved(message.reservation_id):
            return RunRequestReply(outcome=OutcomeKind.NOT_RUN)
        response = BufferedResponse()
        http_request = _to_http_request(message, response, self._clock())
        exchange = self._runner.create_exchange(http_request, response.reject_stream)
        response.on_too_large = exchange.cancel
        self._exchanges_by_reservation_id[message.reservation_id] = exchange
        result = RunResult.LOST
        since = self._clock()
        try:
            result = exchange.run().result
        finally:
            self._runner.record_slot_use(http_request, since=since)
            self._exchanges_by_reservation_id.pop(message.reservation_id, None)
            self._runner.finish_peer_request(message.reservation_id, result)
        return _to_run_reply(result, response)

    def _on_cancel(self, message: CancelRun) -> LoadReceipt:
        exchange = self._exchanges_by_reservation_id.get(message.reservation_id)
        if exchange is not None and self._runner.cancel_reserved(
            message.reservation_id
        ):
            exchange.cancel()
        return LoadReceipt()

    def _on_usage(self, sums: UsageSums) -> LoadReceipt:
        self._runner.merge_usage(sums)
        return LoadReceipt()


def _to_http_request(
    message: RunRequest, response: BufferedResponse, now: float
) -> HttpRequest:
    request = Request(
        request_id=0,
        service_id="",
        group_id="",
        caller="",
        key="",
        # Also for repeatable requests: only the agent that holds the request retries.
        repeatable=False,
        arrived_at=now,
        deadline=now + message.deadline_in,
    )
    return HttpRequest(
        request=request,
        method=message.method,
        path=message.path,
        headers=tuple((header.name, header.value) for header in message.headers),
        body=message.body,
        writer=response,
    )


def _to_run_reply(result: RunResult, response: BufferedResponse) -> RunRequestReply:
    if result is RunResult.NOT_OFFERED:
        return RunRequestReply(outcome=OutcomeKind.NOT_RUN)
    if not response.is_complete:
        return RunRequestReply(
            outcome=OutcomeKind.UNKNOWN, is_stream=response.is_stream
        )
    return RunRequestReply(
        outcome=OutcomeKind.ANSWERED,
        status=response.status,
        headers=tuple(HttpHeader(name, value) for name, value in response.headers),
        body=bytes(response.body),
    )
