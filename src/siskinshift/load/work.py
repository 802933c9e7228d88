"""State of a request in the gate, own or reserved by a peer."""

from __future__ import annotations

from enum import Enum

from attrs import define
from attrs import field

from siskinshift.core.requests import Request


class WorkState(Enum):
    """State of a request in the gate."""

    QUEUED = "queued"
    # Not queued here yet: offered to peers first, until the hold timeout.
    HELD = "held"
    # Waits for the end of its back-off before it is offered again.
    BACKING_OFF = "backing_off"
    RUNNING = "running"
    AT_PEER = "at_peer"
    # A slot is reserved for a peer that has not sent its request yet.
    RESERVED = "reserved"


# A request in one of these states ends as soon as `expires_at` has passed.
WAITING_STATES = (WorkState.QUEUED, WorkState.HELD, WorkState.BACKING_OFF)


@define(eq=False)
class WorkItem:
    """One request with its scheduling state.

    Attributes:
        request: The request; a peer's has a negative id that is local to this agent.
        queued_at: Clock reading when its current wait began, seconds; when its back-off
            ends, while it backs off.
        expires_at: Clock reading after which it no longer waits, seconds.
        reservation_id: Id of the peer's reservation; empty for an own request.
        state: Current state.
        offered: Whether an upstream may have received a byte of it.
        was_lost: Whether an earlier attempt may have reached an upstream.
        attempts: Number of starts.
        charged_cost: Slot seconds charged to its group and caller so far.
        started_at: Clock reading when its slot was assigned, seconds.
        is_cancelled: Whether its caller cancelled it.
        peer_id: Member id of the peer that runs it.
        peer_ids_by_reservation_id: Peers that were queried and have not refused.
        candidate_ids: Peers still to be queried.
        peers_queried: Whether peers were queried during its current wait.
    """

    request: Request
    queued_at: float
    expires_at: float
    reservation_id: str = ""
    state: WorkState = WorkState.QUEUED
    offered: bool = False
    was_lost: bool = False
    attempts: int = 0
    charged_cost: float = 0.0
    started_at: float = 0.0
    is_cancelled: bool = False
    peer_id: str = ""
    peer_ids_by_reservation_id: dict[str, str] = field(factory=dict)
    candidate_ids: list[str] = field(factory=list)
    peers_queried: bool = False

    @property
    def is_from_peer(self) -> bool:
        """Whether the request belongs to a peer that reserves a slot here."""
        return bool(self.reservation_id)
