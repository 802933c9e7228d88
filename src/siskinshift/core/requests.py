"""Requests of callers, and the actions of admission."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind


class RunResult(StrEnum):
    """How a request that was started came to its end."""

    ANSWERED = "answered"
    """The upstream gave a whole answer."""
    SHED = "shed"
    """The upstream gave a whole answer that says it has too much to do."""
    LOST = "lost"
    """The request was offered and no whole answer came."""
    NOT_OFFERED = "not_offered"
    """No byte of the request reached any upstream."""


@frozen
class Request:
    """A caller's request as admission sees it.

    Attributes:
        request_id: Number unique in the agent's incarnation.
        service_id: Service it is meant for.
        group_id: Group whose credential it carried; empty when none.
        caller: The caller's IP number.
        key: Idempotency key, or empty.
        repeatable: Whether running it twice does no harm.
        arrived_at: Clock reading at arrival, seconds.
        deadline: Clock reading after which the answer is of no use, seconds.
        pinned: Whether it must run at the agent it arrived at: a stream, or too large
            to be handed over.
    """

    request_id: int
    service_id: str
    group_id: str
    caller: str
    key: str
    repeatable: bool
    arrived_at: float
    deadline: float
    pinned: bool = False


@frozen
class StartRequest:
    """Action: offer the request to the agent's own upstream now.

    Attributes:
        request_id: The request.
    """

    request_id: int


@frozen
class RefuseRequest:
    """Action: give the caller the final answer at once; the request did not run.

    Attributes:
        request_id: The request.
        error: Why.
        retry_after: Hint in seconds.
    """

    request_id: int
    error: ErrorKind
    retry_after: float


@frozen
class FailRequest:
    """Action: give the caller the final answer at once; the request may have run.

    Attributes:
        request_id: The request.
        error: Why.
    """

    request_id: int
    error: ErrorKind


@frozen
class ReserveAtPeer:
    """Action: ask a peer to reserve a slot for a queued request.

    Attributes:
        request_id: The request.
        peer_id: Member id of the peer.
        reservation_id: Name of the reservation, used once.
        wait: Seconds the peer may let it wait for a slot.
    """

    request_id: int
    peer_id: str
    reservation_id: str = ""
    wait: float = 0.0


@frozen
class ReleaseAtPeer:
    """Action: give a reservation at a peer back, granted or still waiting.

    Attributes:
        peer_id: Member id of the peer.
        reservation_id: The reservation.
    """

    peer_id: str
    reservation_id: str


@frozen
class RunAtPeer:
    """Action: offer the request to the peer that reserved a slot for it.

    Attributes:
        request_id: The request.
        peer_id: Member id of the peer.
        reservation_id: The reservation that it uses up.
    """

    request_id: int
    peer_id: str
    reservation_id: str = ""


@frozen
class AnswerReservation:
    """Action: tell a peer whether a slot is held for its request.

    Attributes:
        reservation_id: The reservation.
        granted: Whether a slot is held.
    """

    reservation_id: str
    granted: bool


@frozen
class CancelAtUpstream:
    """Action: pass the caller's cancel to the upstream that runs the request.

    Attributes:
        request_id: The request.
    """

    request_id: int


GateAction: TypeAlias = (
    StartRequest
    | RefuseRequest
    | FailRequest
    | ReserveAtPeer
    | ReleaseAtPeer
    | RunAtPeer
    | AnswerReservation
    | CancelAtUpstream
)


class RequestGate(Protocol):
    """Decides what becomes of requests; no I/O, no clock of its own."""

    def submit(self, request: Request, *, now: float) -> list[GateAction]:
        """Takes a request that arrived."""

    def finished(
        self,
        request_id: int,
        *,
        succeeded: bool,
        now: float,
        result: RunResult | None = None,
    ) -> list[GateAction]:
        """Takes the end of a started request; frees its slot.

        With `result` given, a request that got no answer is ended by an action of
        the gate: started again, refused or failed. Without it the driver answers.
        """

    def cancel(self, request_id: int, *, now: float) -> list[GateAction]:
        """Takes a caller's cancel."""

    def drain(self, *, now: float) -> list[GateAction]:
        """Stops to admit; queued requests still run."""

    def tick(self, *, now: float) -> list[GateAction]:
        """Lets time pass; call at least every 50 ms."""
