"""What a node on the platform is told about itself."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint


@frozen
class StoreSettings:
    """How the platform's store is reached.

    Attributes:
        endpoint: Where it listens.
        call_rate: Calls a client may make a second on average; a balancer has two
            clients, one of them for the configuration.
        call_burst: Calls a client may make at once.
        lease_minimum: Shortest life of a lease, seconds.
    """

    endpoint: Endpoint
    call_rate: float
    call_burst: int
    lease_minimum: float


@frozen
class NodeSettings:
    """Settings of one node.

    Attributes:
        node_id: Name, unique in the deployment.
        region: Region the instance stands in.
        failure_domain: Failure domain the instance stands in.
        host: Own IP number.
        peer_port: Port for messages between nodes, UDP and TCP; the same on all.
        seed_hosts: IP numbers of nodes that may know others; some may be down.
        readiness: Where readiness is asked for; None when nobody asks.
        heartbeats: Where an upstream sends heartbeats; None when none does.
        caller_packets: Where callers' packets arrive; an agent sends to that port.
        upstream_outlet: Where the upstream sends its packets; None for a balancer.
        upstream: Where the upstream takes packets; None for a balancer.
        service_id: Service of the upstream; empty for a balancer.
        heartbeat_interval: Seconds between two heartbeats of an upstream.
        leave_seconds: Time from the signal to end until the process is killed.
        link_bytes_per_second: What the instance's own link carries each way.
        store: The platform's store.
    """

    node_id: str
    region: str
    failure_domain: str
    host: str
    peer_port: int
    seed_hosts: tuple[str, ...]
    readiness: Endpoint | None
    heartbeats: Endpoint | None
    caller_packets: Endpoint
    upstream_outlet: Endpoint | None
    upstream: Endpoint | None
    service_id: str
    heartbeat_interval: float
    leave_seconds: float
    link_bytes_per_second: float
    store: StoreSettings
