"""Settings of a node on the platform."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint


@frozen
class StoreSettings:
    """Settings of the client of the platform's store.

    Attributes:
        endpoint: Address of the store.
        call_rate: Average number of requests that a client may send a second; a
            balancer has two clients, one of them for the configuration.
        call_burst: Number of requests that a client may send at once.
        lease_minimum: Minimum time to live of a lease, seconds.
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
        region: Region of the instance.
        failure_domain: Failure domain of the instance.
        host: IP address of the node.
        peer_port: Port for messages between nodes, UDP and TCP; the same on all.
        seed_hosts: IP addresses of nodes to query for other nodes; some may be down.
        readiness: Endpoint that serves readiness checks; None if there is none.
        heartbeats: Endpoint that receives an upstream's heartbeats; None if there is
            none.
        caller_packets: Endpoint that receives callers' packets; an agent sends to that
            port.
        upstream_outlet: Endpoint to which the upstream sends its packets; None for a
            balancer.
        upstream: Endpoint on which the upstream receives packets; None for a balancer.
        service_id: Service of the upstream; empty for a balancer.
        heartbeat_interval: Seconds between two heartbeats of an upstream.
        leave_seconds: Shutdown grace period: time from the termination signal until
            the process is killed.
        link_bytes_per_second: Bandwidth of the instance's own link in each direction.
        store: Settings of the platform's store.
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
