"""Messages of schema/messages/load.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import OutcomeKind


@frozen
class ReserveSlot:
    """Asks a peer for a slot for a queued request.

    Attributes:
        reservation_id: Name of the reservation, used once.
        sender_id: Member id of the agent that holds the request.
        service_id: Service of the request.
        group_id: Group of the request.
        caller: The caller's IP number.
        wait: Seconds to wait for a slot; 0 asks for one that is free now.
        deadline_in: Seconds until the request's deadline.
    """

    reservation_id: str
    sender_id: str
    service_id: str
    group_id: str
    caller: str
    wait: float
    deadline_in: float


@frozen
class ReserveSlotReply:
    """Says whether a slot is held.

    Attributes:
        granted: Whether a slot is held.
        busy_part: Recent part of slot time in use; a hint.
    """

    granted: bool
    busy_part: float = 0.0


@frozen
class ReleaseSlot:
    """Gives a reservation back, granted or still waiting.

    Attributes:
        reservation_id: The reservation.
    """

    reservation_id: str


@frozen
class LoadReceipt:
    """Says that a message was taken."""


@frozen
class GroupUsage:
    """What one group uses at one agent.

    Attributes:
        service_id: Service of the group.
        group_id: The group.
        used: Slots in use, averaged over some seconds.
        waiting: Requests that wait.
    """

    service_id: str
    group_id: str
    used: float
    waiting: int = 0


@frozen
class UsageSum:
    """What all groups use at one agent.

    Attributes:
        agent_id: Member id of the agent.
        age: Seconds since the agent made the sum.
        groups: Usage by group; idle groups are left out.
        busy_part: Recent part of slot time in use.
        slot_time: Mean time of a request in its slot, seconds; 0 when none is known.
        sick: Whether the agent finds its upstream sick.
    """

    agent_id: str
    age: float
    groups: tuple[GroupUsage, ...]
    busy_part: float
    slot_time: float
    sick: bool = False


@frozen
class UsageSums:
    """An agent's own sum and recent ones of its peers.

    Attributes:
        sender_id: Member id of the sender.
        sums: The sums, one an agent.
    """

    sender_id: str
    sums: tuple[UsageSum, ...]


@frozen
class HttpHeader:
    """One header of a request or an answer.

    Attributes:
        name: Name in lower case.
        value: Value.
    """

    name: str
    value: str


@frozen
class RunRequest:
    """Offers a queued request to the peer that holds a slot for it.

    Attributes:
        reservation_id: The reservation; a second use is refused.
        method: HTTP method.
        path: HTTP path with its query.
        headers: Headers that go to the upstream.
        body: The body.
        deadline_in: Seconds until the request's deadline.
    """

    reservation_id: str
    method: str
    path: str
    headers: tuple[HttpHeader, ...]
    body: bytes
    deadline_in: float


@frozen
class RunRequestReply:
    """What became of a request at the peer.

    Attributes:
        outcome: Answered, not run or unknown.
        status: HTTP status, when answered.
        headers: Headers of the answer.
        body: Body of the answer.
        is_stream: Whether the answer was a stream, which a peer can't pass on.
    """

    outcome: OutcomeKind
    status: int = 0
    headers: tuple[HttpHeader, ...] = ()
    body: bytes | None = None
    is_stream: bool = False


@frozen
class CancelRun:
    """Passes a caller's cancel to the peer that runs the request.

    Attributes:
        reservation_id: The reservation it runs under.
    """

    reservation_id: str
