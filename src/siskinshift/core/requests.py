"""Requests of callers and the actions of admission control."""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind


class RunResult(StrEnum):
    """How a started request ended."""

    ANSWERED = "answered"
    """The upstream sent a complete response."""
    SHED = "shed"
    """The upstream sent a complete response that reports overload."""
    LOST = "lost"
    """The request was sent and no complete response arrived."""
    NOT_OFFERED = "not_offered"
    """No byte of the request reached an upstream."""


@frozen
class Request:
    """A caller's request as seen by admission control.

    Attributes:
        request_id: Number unique within the agent's incarnation.
        service_id: Service that the request addresses.
        group_id: Group whose credential the request carried; empty for none.
        caller: IP address of the caller.
        key: Idempotency key; empty for none.
        repeatable: Whether the request is idempotent and may be retried.
        arrived_at: Clock reading at the arrival, seconds.
        deadline: Clock reading after which the caller discards the response, seconds.
        pinned: Whether it must run at the agent that received it: a stream, or a
            request too large to hand over.
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
    """Action: send the request to the agent's own upstream now.

    Attributes:
        request_id: The request.
    """

    request_id: int


@frozen
class RefuseRequest:
    """Action: send the caller the final response now; the request did not run.

    Attributes:
        request_id: The request.
        error: Reason.
        retry_after: Suggested delay before a retry, seconds.
    """

    request_id: int
    error: ErrorKind
    retry_after: float


@frozen
class FailRequest:
    """Action: send the caller the final response now; the request may have run.

    Attributes:
        request_id: The request.
        error: Reason.
    """

    request_id: int
    error: ErrorKind


@frozen
class ReserveAtPeer:
    """Action: request a slot reservation from a peer for a queued request.

    Attributes:
        request_id: The request.
        peer_id: Member id of the peer.
        reservation_id: Id of the reservation, used once.
        wait: Longest time the peer may queue the reservation, seconds.
    """

    request_id: int
    peer_id: str
    reservation_id: str = ""
    wait: float = 0.0


@frozen
class ReleaseAtPeer:
    """Action: release a reservation at a peer, granted or still queued.

    Attributes:
        peer_id: Member id of the peer.
        reservation_id: The reservation.
    """

    peer_id: str
    reservation_id: str


@frozen
class RunAtPeer:
    """Action: send the request to the peer that reserved a slot for it.

    Attributes:
        request_id: The request.
        peer_id: Member id of the peer.
        reservation_id: The reservation that the request consumes.
    """

    request_id: int
    peer_id: str
    reservation_id: str = ""


@frozen
class ReplyToReservation:
    """Action: reply to a peer whether a slot is reserved for its request.

    Attributes:
        reservation_id: The reservation.
        granted: Whether a slot is reserved.
    """

    reservation_id: str
    granted: bool


@frozen
class CancelAtUpstream:
    """Action: forward the caller's cancellation to the upstream that runs the request.

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
    | ReplyToReservation
    | CancelAtUpstream
)


class RequestGate(Protocol):
    """Admission control of requests, without I/O and without a clock."""

    def submit(self, request: Request, *, now: float) -> list[GateAction]:
        """Handles a request that arrived."""

    def finished(
        self,
        request_id: int,
        *,
        succeeded: bool,
        now: float,
        result: RunResult | None = None,
    ) -> list[GateAction]:
        """Handles the end of a started request and frees its slot.

        If `result` is given, the returned actions complete a request without a
        response: it is restarted, refused or failed. Otherwise the request runner
        responds.
        """

    def cancel(self, request_id: int, *, now: float) -> list[GateAction]:
        """Handles a caller's cancellation."""

    def drain(self, *, now: float) -> list[GateAction]:
        """Stops admitting requests; queued ones still run."""

    def tick(self, *, now: float) -> list[GateAction]:
        """Handles timeouts; must be called at least every 50 ms."""
