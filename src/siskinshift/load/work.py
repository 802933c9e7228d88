"""A request on its way through the gate, or a peer's request that wants a slot."""

from __future__ import annotations

from enum import Enum

from attrs import define
from attrs import field

from siskinshift.core.requests import Request


class WorkState(Enum):
    """Where a piece of work is."""

    QUEUED = "queued"
    # Not in the queue: a peer is asked first, for a moment.
    HELD = "held"
    # Waits out the back-off before it is offered again.
    BACKING_OFF = "backing_off"
    RUNNING = "running"
    AT_PEER = "at_peer"
    # A slot is held for a peer that has not sent its request yet.
    RESERVED = "reserved"


@define(eq=False)
class Work:
    """One request with its state.

    Attributes:
        request: The request; a peer's has a negative id that only this agent knows.
        queued_at: Clock reading when it came into its present wait, seconds.
        expires_at: Clock reading after which it no longer waits, seconds.
        reservation_id: Name of the peer's reservation; empty for an own request.
        state: Where it is.
        offered: Whether an upstream may have seen a byte of it.
        was_lost: Whether an earlier try may have reached an upstream.
        attempts: Times it was started.
        charged: Slot seconds charged to its group and caller so far.
        started_at: Clock reading when its slot was taken, seconds.
        is_cancelled: Whether its caller gave up.
        peer_id: Member id of the peer that runs it.
        peer_ids_by_reservation: Peers that were asked and have not refused.
        candidate_ids: Peers still to be asked.
        searched: Whether peers were asked since it came to its present wait.
    """

    request: Request
    queued_at: float
    expires_at: float
    reservation_id: str = ""
    state: WorkState = WorkState.QUEUED
    offered: bool = False
    was_lost: bool = False
    attempts: int = 0
    charged: float = 0.0
    started_at: float = 0.0
    is_cancelled: bool = False
    peer_id: str = ""
    peer_ids_by_reservation: dict[str, str] = field(factory=dict)
    candidate_ids: list[str] = field(factory=list)
    searched: bool = False

    @property
    def is_of_peer(self) -> bool:
        """Whether a peer holds the request and asks for a slot here."""
        return bool(self.reservation_id)
