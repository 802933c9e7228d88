"""Settings of a node on the platform."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint


# A watch is a long poll; the protocol allows 30 s.
MAX_WATCH_WAIT_SECONDS = 28.0
MIN_WATCH_WAIT_SECONDS = 0.5
# Time that a response may take beyond the wait for a change.
WATCH_SLACK_SECONDS = 0.6
# Time to connect again, repeat the poll and apply what it returns.
WATCH_RECOVERY_SECONDS = 1.0


@frozen
class StoreSettings:
    """Settings of the client of the platform's store.

    Attributes:
        endpoint: Address of the store.
        call_rate: Average number of requests that a client may send a second; a
            balancer has two clients, one of them for the configuration.
        call_burst: Number of requests that a client may send at once.
        lease_minimum: Minimum time to live of a lease, seconds.
        recovery_window: Time after a disturbance of the store by which the changes
            that it has delayed must be in force, seconds.
    """

    endpoint: Endpoint
    call_rate: float
    call_burst: int
    lease_minimum: float
    recovery_window: float

    @property
    def watch_wait(self) -> float:
        """Longest time that a watch waits for a change, seconds.

        A connection on which a response was lost stays open and returns nothing
        further, so only the end of the wait reveals the loss.
        """
        spare = WATCH_SLACK_SECONDS + WATCH_RECOVERY_SECONDS
        wait = max(MIN_WATCH_WAIT_SECONDS, self.recovery_window - spare)
        return min(wait, MAX_WATCH_WAIT_SECONDS)

    @property
    def watch_timeout(self) -> float:
        """Longest time until a response to a watch begins, seconds."""
        return self.watch_wait + WATCH_SLACK_SECONDS


@frozen
class PolicySettings:
    """Load policies that the settings of a deployment call for.

    Attributes:
        overload_control: Whether the deployment expects more demand than capacity.
        max_ejected_fraction: Largest fraction of a service's agents that may be ejected
            as outliers, 0 to 1.
        remote_cost: Cost of placing a flow in another failure domain, seconds of wait.
        min_bulk_fraction: Smallest fraction of a balancer's link for packets of uploads
            while other traffic waits, 0 to 1.
        max_busy_wait_fraction: Fraction of a request's deadline that its expected wait
            may take before a new flow is refused, 0 to 1.
    """

    overload_control: bool = False
    max_ejected_fraction: float = 0.3
    remote_cost: float = 0.01
    min_bulk_fraction: float = 0.2
    max_busy_wait_fraction: float = 0.8


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
        policies: Load policies that the deployment calls for.
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
    policies: PolicySettings = PolicySettings()
