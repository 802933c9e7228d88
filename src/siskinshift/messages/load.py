"""Messages of schema/messages/load.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import OutcomeKind


@frozen
class ReserveSlot:
    """Requests a slot at a peer for a queued request.

    Attributes:
        reservation_id: Id of the reservation, used once.
        sender_id: Member id of the agent that holds the request.
        service_id: Service of the request.
        group_id: Group of the request.
        caller: IP address of the caller.
        wait: Seconds to wait for a slot; 0 requests one that is free now.
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
    """Reply whether a slot is reserved.

    Attributes:
        granted: Whether a slot is reserved.
        busy_part: Recent fraction of slot time in use, a hint.
    """

    granted: bool
    busy_part: float = 0.0


@frozen
class ReleaseSlot:
    """Releases a reservation, granted or still queued.

    Attributes:
        reservation_id: The reservation.
    """

    reservation_id: str


@frozen
class LoadReceipt:
    """Acknowledges a message."""


@frozen
class GroupUsage:
    """Usage of a group at an agent.

    Attributes:
        service_id: Service of the group.
        group_id: The group.
        used: Slots in use, averaged over some seconds.
        waiting: Number of queued requests.
    """

    service_id: str
    group_id: str
    used: float
    waiting: int = 0


@frozen
class UsageSum:
    """Usage of all groups at an agent.

    Attributes:
        agent_id: Member id of the agent.
        age: Age of the sum, seconds.
        groups: Usage by group, without idle groups.
        busy_part: Recent fraction of slot time in use.
        slot_time: Mean time of a request in its slot, seconds; 0 if unknown.
        sick: Whether the agent considers its upstream unhealthy.
    """

    agent_id: str
    age: float
    groups: tuple[GroupUsage, ...]
    busy_part: float
    slot_time: float
    sick: bool = False


@frozen
class UsageSums:
    """Usage sum of an agent and recent ones of its peers.

    Attributes:
        sender_id: Member id of the sender.
        sums: The sums, one per agent.
    """

    sender_id: str
    sums: tuple[UsageSum, ...]


@frozen
class HttpHeader:
    """A header of a request or a response.

    Attributes:
        name: Name in lower case.
        value: Value.
    """

    name: str
    value: str


@frozen
class RunRequest:
    """Sends a queued request to the peer that reserved a slot for it.

    Attributes:
        reservation_id: The reservation; a second use is refused.
        method: HTTP method.
        path: HTTP path with its query.
        headers: Headers for the upstream.
        body: Request body.
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
    """Outcome of a request at the peer.

    Attributes:
        outcome: Answered, not run or unknown.
        status: HTTP status code, if answered.
        headers: Response headers.
        body: Response body.
        is_stream: Whether the response was a stream, which a peer can't forward.
    """

    outcome: OutcomeKind
    status: int = 0
    headers: tuple[HttpHeader, ...] = ()
    body: bytes | None = None
    is_stream: bool = False


@frozen
class CancelRun:
    """Forwards a caller's cancellation to the peer that runs the request.

    Attributes:
        reservation_id: The reservation of the request.
    """

    reservation_id: str
