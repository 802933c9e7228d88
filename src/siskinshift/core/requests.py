"""Requests of callers, their outcome, and the actions of admission."""

from __future__ import annotations

from typing import Protocol
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import OutcomeKind


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
    """

    request_id: int
    service_id: str
    group_id: str
    caller: str
    key: str
    repeatable: bool
    arrived_at: float
    deadline: float


@frozen
class Outcome:
    """What became of a request.

    Attributes:
        kind: Answered, not run or unknown.
        error: Why, when it was not answered.
        retry_after: Seconds after which a new try is welcome; None without a hint.
    """

    kind: OutcomeKind
    error: ErrorKind | None = None
    retry_after: float | None = None


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
class ReserveAtPeer:
    """Action: ask a peer to reserve a slot for a queued request.

    Attributes:
        request_id: The request.
        peer_id: Member id of the peer.
    """

    request_id: int
    peer_id: str


@frozen
class RunAtPeer:
    """Action: offer the request to the peer that reserved a slot for it.

    Attributes:
        request_id: The request.
        peer_id: Member id of the peer.
    """

    request_id: int
    peer_id: str


@frozen
class CancelAtUpstream:
    """Action: pass the caller's cancel to the upstream that runs the request.

    Attributes:
        request_id: The request.
    """

    request_id: int


GateAction: TypeAlias = (
    StartRequest | RefuseRequest | ReserveAtPeer | RunAtPeer | CancelAtUpstream
)


class RequestGate(Protocol):
    """Decides what becomes of requests; no I/O, no clock of its own."""

    def submit(self, request: Request, *, now: float) -> list[GateAction]:
        """Takes a request that arrived."""

    def finished(
        self, request_id: int, *, succeeded: bool, now: float
    ) -> list[GateAction]:
        """Takes the end of a started request; frees its slot."""

    def cancel(self, request_id: int, *, now: float) -> list[GateAction]:
        """Takes a caller's cancel."""

    def drain(self, *, now: float) -> list[GateAction]:
        """Stops to admit; queued requests still run."""

    def tick(self, *, now: float) -> list[GateAction]:
        """Lets time pass; call at least every 50 ms."""
