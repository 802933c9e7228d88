"""Queued requests between agents of one upstream class: reserve a slot, then run.

Carries messages for the gate's decisions (`siskinshift.load`); decides nothing itself.
"""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING

from attrs import define

from siskinshift.agent.calls import Call
from siskinshift.agent.collected_reply import CollectedReply
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

# A request for a slot waits a second at most by default, and is answered in time.
MESSAGE_TIMEOUT_SECONDS = 5.0
# Beyond the deadline, for the answer's way back.
RUN_GRACE_SECONDS = 1.0
# The peer's gate ends such a request by itself; this is the time its tick may be late.
ANSWER_GRACE_SECONDS = 0.5


@define(eq=False)
class _HandedOver:
    peer: Endpoint
    reservation_id: str


class HandOver:
    """Sends and serves the messages of hand-over and usage for one agent."""

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
        """Registers the handlers.

        Args:
            member_id: The agent's member id.
            upstream_class: Class of the agent's upstream.
            runner: Holds the requests and the gate.
            routes: Where message handlers are registered.
            key_ring: Keys of the deployment.
            spawn: Runs a task on a thread.
            clock: Clock of the process.
            counters: Counters of the process.
            random: Picks the recipients of usage sums.
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
        self._endpoints_by_peer: dict[str, Endpoint] = {}
        self._ready_peer_ids: list[str] = []
        self._answers_by_reservation: dict[str, Future[bool]] = {}
        self._handed_over_by_id: dict[int, _HandedOver] = {}
        self._exchanges_by_reservation: dict[str, UpstreamExchange] = {}
        runner.hand_over = self
        routes.route(RESERVE_PATH, ReserveSlot)(self._on_reserve)
        routes.route(RELEASE_PATH, ReleaseSlot)(self._on_release)
        routes.route(RUN_PATH, RunRequest)(self._on_run)
        routes.route(CANCEL_PATH, CancelRun)(self._on_cancel)
        routes.route(USAGE_PATH, UsageSums)(self._on_usage)

    def __len__(self) -> int:
        return len(self._exchanges_by_reservation)

    def update(self, view: View) -> None:
        """Takes a new view.

        Args:
            view: The view.
        """
        agents = [
            agent
            for agent in view.agents_by_class.get(self._upstream_class, ())
            if agent.member_id != self._member_id
        ]
        with self._lock:
            self._endpoints_by_peer = {a.member_id: a.control for a in agents}
            self._ready_peer_ids = [
                a.member_id for a in agents if a.state is MemberState.READY
            ]

    def close(self) -> None:
        """Closes the connections to peers."""
        self._clients.close()

    def cancel_all(self) -> None:
        """Ends the exchanges of peers; for a process that stops at once."""
        for exchange in tuple(self._exchanges_by_reservation.values()):
            exchange.cancel()

    # The side that holds the request.

    def reserve(self, action: ReserveAtPeer, request: Request) -> None:
        """Asks a peer for a slot, on a task of its own.

        Args:
            action: The gate's decision.
            request: The request.
        """
        self._spawn(self._reserve, action, request)

    def release(self, action: ReleaseAtPeer) -> None:
        """Gives a reservation back, on a task of its own.

        Args:
            action: The gate's decision.
        """
        message = ReleaseSlot(reservation_id=action.reservation_id)
        peer = self._endpoint(action.peer_id)
        if peer is not None:
            self._spawn(self._tell, peer, RELEASE_PATH, message)

    def run(self, action: RunAtPeer, call: Call) -> None:
        """Offers a request to the peer that holds a slot, on a task of its own.

        Args:
            action: The gate's decision.
            call: The request.
        """
        peer = self._endpoint(action.peer_id)
        if peer is None:
            self._runner.ended(action.request_id, RunResult.NOT_OFFERED)
            return
        self._handed_over_by_id[action.request_id] = _HandedOver(
            peer, action.reservation_id
        )
        self._spawn(self._run, peer, action, call)

    def cancel(self, request_id: int) -> bool:
        """Passes a caller's cancel on.

        Args:
            request_id: The request.

        Returns:
            Whether a peer has the request.
        """
        handed_over = self._handed_over_by_id.get(request_id)
        if handed_over is None:
            return False
        message = CancelRun(reservation_id=handed_over.reservation_id)
        self._spawn(self._tell, handed_over.peer, CANCEL_PATH, message)
        return True

    def has(self, request_id: int) -> bool:
        """Says whether a peer has a request.

        Args:
            request_id: The request.

        Returns:
            True while it may run there.
        """
        return request_id in self._handed_over_by_id

    def spread(self, sums: UsageSums) -> None:
        """Sends usage sums to some random peers, on tasks of their own.

        Args:
            sums: The message.
        """
        with self._lock:
            count = min(USAGE_RECIPIENT_COUNT, len(self._ready_peer_ids))
            peer_ids = self._random.sample(self._ready_peer_ids, count)
            peers = [self._endpoints_by_peer[peer_id] for peer_id in peer_ids]
        for peer in peers:
            self._spawn(self._tell, peer, USAGE_PATH, sums)

    def _reserve(self, action: ReserveAtPeer, request: Request) -> None:
        granted = self._ask(action, request)
        self._runner.decide(
            lambda gate, now: gate.handle_reservation_reply(
                action.request_id,
                peer_id=action.peer_id,
                reservation_id=action.reservation_id,
                granted=granted,
                now=now,
            )
        )

    def _ask(self, action: ReserveAtPeer, request: Request) -> bool:
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

    def _run(self, peer: Endpoint, action: RunAtPeer, call: Call) -> None:
        try:
            reply = self._offer(peer, action, call)
        except (PeerUnreachableError, BadMessageError) as error:
            # Refused by the peer's system: the process is gone and nothing was sent.
            # Any other failure may have come after the peer's upstream ran it.
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            result = RunResult.NOT_OFFERED if refused else RunResult.LOST
            self._counters.add(f"hand_over.{result.value}")
            self._end(action.request_id, result)
            return
        if reply.is_stream:
            self._runner.pinned_paths.add(call.path)
        if reply.outcome is OutcomeKind.ANSWERED:
            self._answer(action.request_id, call, reply)
        elif reply.outcome is OutcomeKind.NOT_RUN:
            self._end(action.request_id, RunResult.NOT_OFFERED)
        else:
            self._end(action.request_id, RunResult.LOST)

    def _offer(self, peer: Endpoint, action: RunAtPeer, call: Call) -> RunRequestReply:
        deadline_in = call.request.deadline - self._clock()
        message = RunRequest(
            reservation_id=action.reservation_id,
            method=call.method,
            path=call.path,
            headers=tuple(HttpHeader(name, value) for name, value in call.headers),
            body=call.body,
            deadline_in=deadline_in,
        )
        return self._clients.call_once(
            peer,
            RUN_PATH,
            message,
            RunRequestReply,
            timeout=max(0.0, deadline_in) + RUN_GRACE_SECONDS,
        )

    def _answer(self, request_id: int, call: Call, reply: RunRequestReply) -> None:
        self._counters.add("hand_over.answered")
        call.reply.start(reply.status, tuple((h.name, h.value) for h in reply.headers))
        if reply.body:
            call.reply.data(reply.body)
        call.reply.end()
        self._end(request_id, RunResult.ANSWERED)

    def _end(self, request_id: int, result: RunResult) -> None:
        self._handed_over_by_id.pop(request_id, None)
        self._runner.ended(request_id, result)

    def _endpoint(self, peer_id: str) -> Endpoint | None:
        with self._lock:
            return self._endpoints_by_peer.get(peer_id)

    def _tell(self, peer: Endpoint, path: str, message: object) -> None:
        # Lost ones do no harm: reservations time out, sums are sent again.
        try:
            self._clients.call(peer, path, message, LoadReceipt)
        except (PeerUnreachableError, BadMessageError):
            self._counters.add("hand_over.unreachable")

    # The side that has the slot.

    def answer_reservation(self, action: ReplyToReservation) -> None:
        """Takes the gate's answer to a peer's request.

        Args:
            action: The gate's decision.
        """
        answer = self._answers_by_reservation.get(action.reservation_id)
        if answer is not None and not answer.done():
            answer.set_result(action.granted)

    def _on_reserve(self, message: ReserveSlot) -> ReserveSlotReply:
        reservation_id = message.reservation_id
        answer: Future[bool] = Future()
        with self._lock:
            if reservation_id in self._answers_by_reservation:
                return ReserveSlotReply(granted=False)
            self._answers_by_reservation[reservation_id] = answer
        try:
            self._runner.decide(lambda gate, now: gate.reserve(message, now=now))
            granted = answer.result(message.wait + ANSWER_GRACE_SECONDS)
        except TimeoutError:
            granted = False
            self._runner.decide(lambda gate, now: gate.release(reservation_id, now=now))
        finally:
            self._answers_by_reservation.pop(reservation_id, None)
        return ReserveSlotReply(granted=granted)

    def _on_release(self, message: ReleaseSlot) -> LoadReceipt:
        self._runner.decide(
            lambda gate, now: gate.release(message.reservation_id, now=now)
        )
        return LoadReceipt()

    def _on_run(self, message: RunRequest) -> RunRequestReply:
        if not self._runner.take_reserved(message.reservation_id):
            return RunRequestReply(outcome=OutcomeKind.NOT_RUN)
        reply = CollectedReply()
        call = _peer_request_call(message, reply, self._clock())
        exchange = self._runner.exchange_for(call, reply.refuse_stream)
        reply.on_too_large = exchange.cancel
        self._exchanges_by_reservation[message.reservation_id] = exchange
        result = RunResult.LOST
        since = self._clock()
        try:
            result = exchange.run().result
        finally:
            self._runner.slot_used(call, since=since)
            self._exchanges_by_reservation.pop(message.reservation_id, None)
            self._runner.peer_request_ended(message.reservation_id, result)
        return _run_reply(result, reply)

    def _on_cancel(self, message: CancelRun) -> LoadReceipt:
        exchange = self._exchanges_by_reservation.get(message.reservation_id)
        if exchange is not None and self._runner.cancel_reserved(
            message.reservation_id
        ):
            exchange.cancel()
        return LoadReceipt()

    def _on_usage(self, sums: UsageSums) -> LoadReceipt:
        self._runner.learn(sums)
        return LoadReceipt()


def _peer_request_call(message: RunRequest, reply: CollectedReply, now: float) -> Call:
    request = Request(
        request_id=0,
        service_id="",
        group_id="",
        caller="",
        key="",
        # Also for one that may be repeated: the holder decides about retries.
        repeatable=False,
        arrived_at=now,
        deadline=now + message.deadline_in,
    )
    return Call(
        request=request,
        method=message.method,
        path=message.path,
        headers=tuple((header.name, header.value) for header in message.headers),
        body=message.body,
        reply=reply,
    )


def _run_reply(result: RunResult, reply: CollectedReply) -> RunRequestReply:
    if result is RunResult.NOT_OFFERED:
        return RunRequestReply(outcome=OutcomeKind.NOT_RUN)
    if not reply.is_whole:
        return RunRequestReply(outcome=OutcomeKind.UNKNOWN, is_stream=reply.is_stream)
    return RunRequestReply(
        outcome=OutcomeKind.ANSWERED,
        status=reply.status,
        headers=tuple(HttpHeader(name, value) for name, value in reply.headers),
        body=bytes(reply.body),
    )
