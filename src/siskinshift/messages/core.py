"""Messages of schema/messages/core.toml; generated, do not edit."""

from __future__ import annotations

from enum import StrEnum

from attrs import frozen


class Role(StrEnum):
    """Role of a process of the system."""

    BALANCER = "balancer"
    AGENT = "agent"


class MemberState(StrEnum):
    """State of a member as known to its peers, in the order of the life cycle."""

    JOINING = "joining"
    READY = "ready"
    DRAINING = "draining"
    SUSPECT = "suspect"
    GONE = "gone"


class ServiceMode(StrEnum):
    """Protocol of a service between callers, agent and upstream."""

    DATAGRAM = "datagram"
    REQUEST = "request"


class OutcomeKind(StrEnum):
    """Outcome of a caller's request."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@frozen
class Endpoint:
    """An IP address and a port.

    Attributes:
        host: IP address in text form.
        port: Port, 0 to 65535.
    """

    host: str
    port: int


@frozen
class Group:
    """A group of callers and its share of a service.

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
    """Configuration of a service.

    Attributes:
        service_id: Name, unique in the deployment.
        addresses: Service addresses that callers send to.
        mode: Protocol of callers and upstreams.
        upstream_class: Class of the agents that serve the service.
        groups: Groups with their shares.
        importance: Priority over other services; higher values take precedence.
        placement: Allowed failure domains; empty for all.
        drained: Member ids of agents drained by operators.
        evacuated: Failure domains evacuated by operators.
        revision: Revision of the record in the key-value service.
        change_id: Id of the change that wrote the record.
        deleted: Tombstone: prevents an older record from reappearing.
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
    """State of a process as known to its peers.

    Attributes:
        member_id: Name, unique in the deployment.
        role: Balancer or agent.
        incarnation: Start time of the process in unix milliseconds; higher after a restart.
        version: Version of the state within an incarnation; higher after each change.
        state: Last known state.
        region: Region from settings.
        failure_domain: Failure domain from settings.
        control: HTTP endpoint for messages between processes.
        data: UDP endpoint for forwarded datagrams.
        upstream_class: Class of the agent's upstream.
        weight: Share of new flows in thousandths of a full agent, 0 to 1000.
        slots: Number of requests that the upstream runs concurrently.
        entry_slot: Revision at which the balancer acquired an entry slot; 0 if it holds none.
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
