"""Messages of schema/messages/core.toml; generated, do not edit."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen


class Role(StrEnum):
    """What a process of the system does."""

    BALANCER = "balancer"
    AGENT = "agent"


class MemberState(StrEnum):
    """Life of a member as its peers see it, in the order of a planned life."""

    JOINING = "joining"
    READY = "ready"
    DRAINING = "draining"
    SUSPECT = "suspect"
    GONE = "gone"


class ServiceMode(StrEnum):
    """How an agent speaks to callers and its upstream for a service."""

    DATAGRAM = "datagram"
    REQUEST = "request"


class OutcomeKind(StrEnum):
    """The closed list of what can become of a caller's request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen
class Endpoint:
    """An IP number and a port.

    Attributes:
        host: IP number in text form.
        port: Port, 0 to 65535.
    """

    host: str
    port: int


@frozen
class Group:
    """A group of callers and the share of a service it is owed.

    Attributes:
        group_id: Name, unique in its service.
        share: Relative share, above 0.
        credential_sha256: Hex digest of the group's bearer token.
    """

    group_id: str
    share: int
    credential_sha256: str = ""


@frozen
class Service:
    """What operators configured for one service.

    Attributes:
        service_id: Name, unique in the deployment.
        addresses: Service addresses callers send to.
        mode: How callers and upstreams are spoken to.
        upstream_class: Agents of this class serve the service.
        groups: Groups with their shares.
        importance: Higher goes first where services meet.
        placement: Failure domains allowed; empty for all.
        drained: Member ids of agents that operators drain.
        evacuated: Failure domains that operators have evacuated.
        revision: Revision of the record in the key-value service.
        change_id: Id of the change that wrote the record.
        deleted: Tombstone: keeps an older record from coming back.
    """

    service_id: str
    addresses: tuple[Endpoint, ...]
    mode: ServiceMode
    upstream_class: str
    groups: tuple[Group, ...] = ()
    importance: int = 100
    placement: tuple[str, ...] = ()
    drained: tuple[str, ...] = ()
    evacuated: tuple[str, ...] = ()
    revision: int = 0
    change_id: str = ""
    deleted: bool = False


@frozen
class Member:
    """A process of the system as its peers know it.

    Attributes:
        member_id: Name, unique in the deployment.
        role: Balancer or agent.
        incarnation: Start of the process in unix milliseconds; a restart raises it.
        version: Raised by the member with each change within an incarnation.
        state: Last known state.
        region: Region from settings.
        failure_domain: Failure domain from settings.
        control: HTTP endpoint for messages between processes.
        data: UDP endpoint for forwarded datagrams.
        upstream_class: Class of upstream an agent stands beside.
        weight: Share of new flows in thousandths of a full agent, 0 to 1000.
        slots: Requests the upstream runs at once.
        entry_slot: Revision at which the balancer took an entry slot; 0 when it holds none.
    """

    member_id: str
    role: Role
    incarnation: int
    version: int
    state: MemberState
    region: str
    failure_domain: str
    control: Endpoint
    data: Endpoint
    upstream_class: str = ""
    weight: int = 1000
    slots: int = 1
    entry_slot: int = 0
