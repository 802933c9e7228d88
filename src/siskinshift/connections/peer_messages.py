"""What balancers and agents say to each other in datagrams."""

from __future__ import annotations

from enum import IntEnum
from typing import TypeAlias

from attrs import frozen

from siskinshift.connections.evacuations import Evacuations
from siskinshift.connections.request_queue import Terms
from siskinshift.messages.core import Member


NO_TERMS = Terms()


class Purpose(IntEnum):
    """What a balancer wants of an agent with a packet.

    OPEN: begin a flow. OWNED: the agent owns the flow. SEARCH: deliver the packet if
    the flow is the agent's, and say so either way.
    """

    OPEN = 1
    OWNED = 2
    SEARCH = 3


class Verdict(IntEnum):
    """What an agent says of a flow.

    ACCEPTED: its upstream answered the opening packet. MINE: its upstream holds the
    flow. FULL, UNAVAILABLE, WRONG_SERVICE: the opening packet was not taken.
    NOT_MINE: its upstream does not hold the flow, for certain. UNSURE: only the
    upstream knows; a packet of the flow would show.
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
    """A caller's packet on its way to an agent.

    Attributes:
        purpose: What is asked of the agent.
        service_tag: Hash of the service that is meant, so that an address that went
            to another service does not get it.
        datagram: The packet.
        terms: What callers on the flow's route want.
    """

    purpose: Purpose
    service_tag: int
    datagram: bytes
    terms: Terms = NO_TERMS


@frozen
class OwnerQuery:
    """A balancer asks an agent whether its upstream holds a flow.

    Attributes:
        flow: The flow.
        acknowledged: What its caller acknowledged last; it names the upstream.
    """

    flow: bytes
    acknowledged: int


@frozen
class Owned:
    """Somebody names an agent's flows to a balancer that does not know them.

    A balancer that leaves does so for those that follow it, an agent for a balancer
    that has restarted.

    Attributes:
        member_id: The agent.
        flows: Flows that it owns.
    """

    member_id: str
    flows: tuple[bytes, ...]


@frozen
class Load:
    """What an agent sees of its upstream's load.

    Attributes:
        flows: Open flows.
        running: Flows on which the caller waits for an answer.
        is_certain: Whether it knows all flows that the upstream may hold; not after a
            restart beside an upstream that lives on.
    """

    flows: int = 0
    running: int = 0
    is_certain: bool = False


@frozen
class FlowVerdict:
    """An agent's word about a flow.

    Attributes:
        verdict: The word.
        flow: The flow.
        load: The agent's load as it answered.
        packet: The packet that the agent could not use, for another agent; may be
            empty.
    """

    verdict: Verdict
    flow: bytes
    load: Load
    packet: bytes = b""


@frozen
class Status:
    """What a member says of itself.

    Attributes:
        member: Its record.
        load: Its load; that of an agent.
        configuration_version: Newest configuration it holds; 0 for none.
        wants_status: Whether the receiver is asked for its own words.
        wants_members: Whether it is asked for the hosts of those that it knows as well.
    """

    member: Member
    load: Load
    configuration_version: int = 0
    wants_status: bool = False
    wants_members: bool = False


@frozen
class Alive:
    """A member whose record has not changed says that it lives.

    A fourteenth of a status in bytes.

    Attributes:
        incarnation: Incarnation of the record that the receiver should have.
        version: Its version.
        load: The member's load.
        configuration_version: Newest configuration it holds; 0 for none.
        next_within: Seconds within which it speaks to the receiver again.
    """

    incarnation: int
    version: int
    load: Load
    configuration_version: int
    next_within: float


@frozen
class KnownHosts:
    """Hosts of members that a peer knows, or a part of them.

    Attributes:
        hosts: IP numbers.
        count: How many it knows in all.
        is_whole: Whether it knows all that there are.
    """

    hosts: tuple[str, ...]
    count: int
    is_whole: bool


@frozen
class WarmUpRate:
    """A balancer tells an agent how much its upstream bears while it is cold.

    Attributes:
        rate: New flows a second, as operators declare it for the service.
    """

    rate: float


PeerMessage: TypeAlias = (
    Forward
    | FlowVerdict
    | Status
    | Alive
    | KnownHosts
    | OwnerQuery
    | Owned
    | Evacuations
    | WarmUpRate
)
