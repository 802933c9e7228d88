"""Messages that balancers and agents exchange in datagrams."""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

from attrs import frozen

from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.messages.core import Member


NO_REQUEST_PARAMETERS = RequestParameters()


class Purpose(IntEnum):
    """What a balancer requests of an agent with a packet.

    OPEN: open a flow. OWNED: the agent owns the flow. LOOKUP: deliver the packet if the
    agent owns the flow, and reply with a verdict in either case.
    """

    OPEN = 1
    OWNED = 2
    LOOKUP = 3


class Verdict(IntEnum):
    """An agent's reply about a flow.

    ACCEPTED: its upstream replied to the opening packet. MINE: its upstream holds the
    flow. FULL, UNAVAILABLE, WRONG_SERVICE: the opening packet was refused. NOT_MINE: it
    is certain that its upstream does not hold the flow. UNSURE: the agent has no record
    of the flow; the upstream's response to a packet of the flow would decide.
    """

    ACCEPTED = 1
    MINE = 2
    FULL = 3
    UNAVAILABLE = 4
    WRONG_SERVICE = 5
    NOT_MINE = 6
    UNSURE = 7


@frozen
class Forward:
    """A caller's packet that is forwarded to an agent.

    Attributes:
        purpose: What the agent is requested to do with the packet.
        service_tag: Hash of the target service, so that an agent that has taken over
            the address for another service does not accept the packet.
        datagram: The packet.
        request_parameters: Request parameters of the flow's route.
    """

    purpose: Purpose
    service_tag: int
    datagram: bytes
    request_parameters: RequestParameters = NO_REQUEST_PARAMETERS


@frozen
class OwnerQuery:
    """A balancer's query whether an agent's upstream holds a flow.

    Attributes:
        flow: The flow.
        acknowledged: Number that its caller acknowledged last; it identifies the
            upstream.
    """

    flow: bytes
    acknowledged: int


@frozen
class OwnershipAnnouncement:
    """Announces the owner of flows to a balancer that has no record of them.

    A terminating balancer sends it to its successors, an agent to a restarted balancer.

    Attributes:
        member_id: The agent.
        flows: Flows that the agent owns.
    """

    member_id: str
    flows: tuple[bytes, ...]


@frozen
class LoadReport:
    """What an agent observes of its upstream, for balancers that requested it.

    Attributes:
        run_seconds: Median time from forwarding a request to the first byte of its
            response, of recent responses; 0 if there are none.
        fast_run_seconds: The 0.1 quantile of the same.
        wait_seconds: Expected wait of a new request of middle urgency.
        busy_fraction: Fraction of the slots in use over the last seconds, 0 to 1.
        stalled: Running requests without a first byte for longer than expected, and for
            3 s those that their callers abandoned while overdue.
        failure_fraction: Fraction of recent requests that ended by a reset of the
            upstream, a returned packet or a refused opening, 0 to 1.
        samples: Recent responses behind the figures, at most 255.
    """

    run_seconds: float = 0.0
    fast_run_seconds: float = 0.0
    wait_seconds: float = 0.0
    busy_fraction: float = 0.0
    stalled: int = 0
    failure_fraction: float = 0.0
    samples: int = 0


@frozen
class Load:
    """The load of an upstream as reported by its agent.

    Attributes:
        flows: Open flows.
        running: Flows on which the caller waits for a response.
        is_certain: Whether the agent has a record of all flows that the upstream may
            hold; false after an agent restart that the upstream survived.
        report: What the agent observes of its upstream; None if it was not requested.
    """

    flows: int = 0
    running: int = 0
    is_certain: bool = False
    report: LoadReport | None = None


@frozen
class FlowVerdict:
    """An agent's verdict about a flow, with its load.

    Attributes:
        verdict: The verdict.
        flow: The flow.
        load: The agent's load at the time of the reply.
        packet: The packet that the agent could not deliver, for another agent; may be
            empty.
    """

    verdict: Verdict
    flow: bytes
    load: Load
    packet: bytes = b""


@frozen
class Status:
    """The full status of a member.

    Attributes:
        member: Its record.
        load: Its load, if it is an agent.
        configuration_version: Version of its newest configuration; 0 for none.
        wants_status: Whether the receiver is requested to reply with its own status.
        wants_members: Whether it is requested to send the hosts of its known members.
    """

    member: Member
    load: Load
    configuration_version: int = 0
    wants_status: bool = False
    wants_members: bool = False


@frozen
class PeerHeartbeat:
    """A short heartbeat of a member whose record has not changed.

    It takes a fourteenth of the bytes of a status.

    Attributes:
        incarnation: Incarnation of the record that the receiver should have.
        version: Version of that record.
        load: The member's load.
        configuration_version: Version of its newest configuration; 0 for none.
        next_heartbeat_within: Seconds within which the next heartbeat follows.
    """

    incarnation: int
    version: int
    load: Load
    configuration_version: int
    next_heartbeat_within: float


@frozen
class KnownHosts:
    """Hosts of some or all members that are known to a peer.

    Attributes:
        hosts: IP addresses.
        count: Number of all members known to the peer.
        is_complete: Whether the peer's list of members is complete.
    """

    hosts: tuple[str, ...]
    count: int
    is_complete: bool


@frozen
class WarmUpRate:
    """The rate of new flows that an agent's upstream can accept while it is cold.

    Attributes:
        rate: New flows a second, as declared by the operators for the service.
    """

    rate: float


@frozen
class ServicePolicy:
    """The load policies that an agent has to apply, from a balancer.

    Attributes:
        max_connections: Open flows that the upstream can hold; 0 for no limit.
        uses_admission: Whether new flows that cannot be served in time are refused.
        wants_reports: Whether the balancer requests load reports.
        receives_without_slot: Whether uploads are received without a slot.
    """

    max_connections: int = 0
    uses_admission: bool = False
    wants_reports: bool = False
    receives_without_slot: bool = False


PeerMessage: TypeAlias = (
    Forward
    | FlowVerdict
    | Status
    | PeerHeartbeat
    | KnownHosts
    | OwnerQuery
    | OwnershipAnnouncement
    | Evacuations
    | WarmUpRate
    | ServicePolicy
)
