"""Settings of schema/settings.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint
from siskinshift.settings.options import Option
from siskinshift.settings.options import Secret
from siskinshift.settings.options import Section


@frozen
class NodeSettings:
    """Identity and endpoints of this process.

    Attributes:
        node_id: Name, unique in the deployment.
        region: Region of this instance.
        failure_domain: Failure domain of this instance.
        control_endpoint: IP address and port for messages between processes (TCP).
        data_endpoint: IP address and port for forwarded datagrams (UDP).
    """

    node_id: str
    region: str
    failure_domain: str
    control_endpoint: Endpoint
    data_endpoint: Endpoint


@frozen
class KeysSettings:
    """Shared keys for authentication between the processes of the system.

    Attributes:
        current: Key for signing, at least 16 characters.
        previous: Previous key, still accepted during a key rotation.
    """

    current: Secret
    previous: Secret


@frozen
class KvSettings:
    """The platform's key-value service.

    Attributes:
        endpoints: Endpoints, comma-separated; empty if the service is not used.
        timeout: Timeout of a request. In seconds.
        call_rate: Average rate of requests that this process may send. In calls a second.
        call_burst: Burst of requests that this process may send. In calls.
        check_interval: Interval at which the holder of an entry slot reads the root record. In seconds.
        watch_interval: Time without events after which the holder of an entry slot reopens its watch. In seconds.
        entry_slots: Number of balancers per failure domain that read the configuration.
        lease_ttl: Time until an entry slot's lease expires without a keep-alive. In seconds.
    """

    endpoints: tuple[Endpoint, ...]
    timeout: float
    call_rate: float
    call_burst: int
    check_interval: float
    watch_interval: float
    entry_slots: int
    lease_ttl: float


@frozen
class MembershipSettings:
    """Membership and failure detection.

    Attributes:
        seeds: Control endpoints of balancers that receive the first announcement.
        heartbeat_interval: Interval of heartbeats to each watcher. In seconds.
        suspect_after: Time without messages after which a member that answers no probe becomes suspect. In seconds.
        gone_after: Time without messages after which a suspect member becomes gone. In seconds.
        doubt_factor: Factor by which suspect_after and gone_after are extended while most members of a failure domain are unresponsive at once.
        call_timeout: Timeout of a message between processes. In seconds.
        digest_interval: Interval of full state comparisons with another balancer. In seconds.
        start_jitter: Maximum random delay of the first announcement. In seconds.
        forget_after: Time until a gone member is removed. In seconds.
    """

    seeds: tuple[Endpoint, ...]
    heartbeat_interval: float
    suspect_after: float
    gone_after: float
    doubt_factor: float
    call_timeout: float
    digest_interval: float
    start_jitter: float
    forget_after: float


@frozen
class AgentSettings:
    """The agent of an upstream.

    Attributes:
        upstream_class: Class of the upstream, referenced by services.
        upstream_endpoint: Endpoint of the upstream.
        slots: Number of requests that the upstream runs concurrently.
        fabric_return: Endpoint of the fabric that receives return traffic (UDP).
        flow_idle_timeout: Idle time after which a datagram flow is closed. In seconds.
        drain_timeout: Time for flows to end while the agent drains. In seconds.
        certificate_file: Certificate chain in PEM for callers in mode request; empty if this mode is not served.
        private_key_file: Private key of the certificate, in PEM.
        caller_idle_timeout: Idle time after which a caller's HTTP/3 connection is closed. In seconds.
        request_timeout: Default and maximum deadline of a request. In seconds.
        body_maximum: Maximum size of a request body. In bytes.
        connections: Number of concurrent requests and streams at the upstream.
    """

    upstream_class: str
    upstream_endpoint: Endpoint
    slots: int
    fabric_return: Endpoint
    flow_idle_timeout: float
    drain_timeout: float
    certificate_file: str
    private_key_file: str
    caller_idle_timeout: float
    request_timeout: float
    body_maximum: int
    connections: int


@frozen
class FlowsSettings:
    """Handover of flows when buckets change owners.

    Attributes:
        settle_delay: Minimum time after its start until an agent creates flows without the consent of peers, during which it discovers its peers. In seconds.
        settle_timeout: Time after which the claim of a bucket completes without the confirmation of an unresponsive peer. In seconds.
        max_hops: Maximum number of hops of a datagram between agents.
        flow_limit: Maximum number of flows that an agent owns.
        note_limit: Maximum number of notes that an agent holds.
        held_limit: Maximum number of datagrams queued while the claim of their bucket completes.
        held_timeout: Time after which a queued datagram is dropped. In seconds.
        notes_bytes_per_second: Bytes of handover messages that an agent sends per second, part of its control budget. In bytes.
        shift_duration: Time over which a draining agent hands over its buckets. In seconds.
        ramp_duration: Time over which a started agent ramps up to its full weight. In seconds.
    """

    settle_delay: float
    settle_timeout: float
    max_hops: int
    flow_limit: int
    note_limit: int
    held_limit: int
    held_timeout: float
    notes_bytes_per_second: int
    shift_duration: float
    ramp_duration: float


@frozen
class ApiSettings:
    """The operators' API of a balancer.

    Attributes:
        endpoints: Endpoints that serve the API, comma-separated; empty if it is not served.
        certificate_file: Certificate chain in PEM for TLS.
        private_key_file: Private key of the certificate, in PEM.
        operator_tokens: Bearer tokens that may change the configuration, comma-separated.
        viewer_tokens: Bearer tokens that may only read, comma-separated.
        watchers: Maximum number of concurrent watch requests.
    """

    endpoints: tuple[Endpoint, ...]
    certificate_file: str
    private_key_file: str
    operator_tokens: tuple[Secret, ...]
    viewer_tokens: tuple[Secret, ...]
    watchers: int


@frozen
class LoadSettings:
    """Admission, queueing and distribution of requests under load.

    Attributes:
        queue_limit: Maximum number of queued requests per group and agent.
        queue_time_limit: Maximum time that a request is queued before it is refused. In seconds.
        caller_part: Fraction of a group's queue that one caller's IP address may use.
        key_limit: Maximum number of queued or running requests per idempotency key and agent.
        retry_part: Number of retries allowed per recent success.
        reservation_timeout: Time that a slot is reserved for a peer that has not sent its request yet. In seconds.
        usage_interval: Interval at which usage sums are exchanged. In seconds.
        slow_factor: Ratio of an upstream's slot time to the median of its peers from which it is slow.
        panic_part: Fraction of a service's upstreams that may be unhealthy before the detection is ignored.
        importance_floor: Fraction of slot time reserved for less important services with queued requests.
    """

    queue_limit: int
    queue_time_limit: float
    caller_part: float
    key_limit: int
    retry_part: float
    reservation_timeout: float
    usage_interval: float
    slow_factor: float
    panic_part: float
    importance_floor: float


@frozen
class LogsSettings:
    """Logs as JSON lines on standard error.

    Attributes:
        level: Most detailed level that is logged.
    """

    level: str


@frozen
class MetricsSettings:
    """OpenTelemetry metrics; no overhead when off.

    Attributes:
        exporter: Exporter of the metrics.
        prometheus_endpoint: Endpoint that serves metrics for the exporter prometheus.
        otlp_url: URL of the collector for the exporter otlp (HTTP).
        interval: Interval of exports to the collector. In seconds.
    """

    exporter: str
    prometheus_endpoint: Endpoint
    otlp_url: str
    interval: float


@frozen
class ObjectivesSettings:
    """Service-level objectives for `report burn`.

    Attributes:
        unbroken_flows: Fraction of flows that end without a break. In fraction.
        answered_in_time: Fraction of requests answered within time_limit. In fraction.
        time_limit: Maximum response time of a request that is answered in time. In seconds.
        imbalance_limit: Maximum ratio of the busiest upstream slot's work to the mean that is balanced. In ratio.
    """

    unbroken_flows: float
    answered_in_time: float
    time_limit: float
    imbalance_limit: float


@frozen
class ClientSettings:
    """Access of the operators' commands to the API; a separate file.

    Attributes:
        endpoint: API endpoint of a balancer.
        token: Bearer token, at least 16 characters.
        authority_file: CA certificates in PEM that verify the server's certificate.
        server_name: Name in the server's certificate; empty for the endpoint's IP address.
        timeout: Timeout of a request. In seconds.
        reach_timeout: Timeout of the check before each change whether the balancer is reachable. In seconds.
    """

    endpoint: Endpoint
    token: Secret
    authority_file: str
    server_name: str
    timeout: float
    reach_timeout: float


@frozen
class Settings:
    """All settings of a process.

    Attributes:
        node: Identity and endpoints of this process.
        keys: Shared keys for authentication between the processes of the system.
        kv: The platform's key-value service.
        membership: Membership and failure detection.
        agent: The agent of an upstream.
        flows: Handover of flows when buckets change owners.
        api: The operators' API of a balancer.
        load: Admission, queueing and distribution of requests under load.
        logs: Logs as JSON lines on standard error.
        metrics: OpenTelemetry metrics; no overhead when off.
        objectives: Service-level objectives for `report burn`.
    """

    node: NodeSettings
    keys: KeysSettings
    kv: KvSettings
    membership: MembershipSettings
    agent: AgentSettings
    flows: FlowsSettings
    api: ApiSettings
    load: LoadSettings
    logs: LogsSettings
    metrics: MetricsSettings
    objectives: ObjectivesSettings


SECTIONS: tuple[Section, ...] = (
    Section(
        name="node",
        doc="Identity and endpoints of this process.",
        settings_class=NodeSettings,
        standalone=False,
        options=(
            Option(
                name="node_id",
                type="str",
                doc="Name, unique in the deployment.",
            ),
            Option(
                name="region",
                type="str",
                default="region-1",
                doc="Region of this instance.",
            ),
            Option(
                name="failure_domain",
                type="str",
                default="fd-1",
                doc="Failure domain of this instance.",
            ),
            Option(
                name="control_endpoint",
                type="endpoint",
                doc="IP address and port for messages between processes (TCP).",
            ),
            Option(
                name="data_endpoint",
                type="endpoint",
                doc="IP address and port for forwarded datagrams (UDP).",
            ),
        ),
    ),
    Section(
        name="keys",
        doc="Shared keys for authentication between the processes of the system.",
        settings_class=KeysSettings,
        standalone=False,
        options=(
            Option(
                name="current",
                type="secret",
                doc="Key for signing, at least 16 characters.",
            ),
            Option(
                name="previous",
                type="secret",
                default="",
                doc="Previous key, still accepted during a key rotation.",
            ),
        ),
    ),
    Section(
        name="kv",
        doc="The platform's key-value service.",
        settings_class=KvSettings,
        standalone=False,
        options=(
            Option(
                name="endpoints",
                type="endpoints",
                default="",
                doc="Endpoints, comma-separated; empty if the service is not used.",
            ),
            Option(
                name="timeout",
                type="float",
                unit="seconds",
                minimum=0.01,
                maximum=60.0,
                default=1.0,
                doc="Timeout of a request.",
            ),
            Option(
                name="call_rate",
                type="float",
                unit="calls a second",
                minimum=0.1,
                maximum=1000.0,
                default=10.0,
                doc="Average rate of requests that this process may send.",
            ),
            Option(
                name="call_burst",
                type="int",
                unit="calls",
                minimum=1,
                maximum=1000,
                default=40,
                doc="Burst of requests that this process may send.",
            ),
            Option(
                name="check_interval",
                type="float",
                unit="seconds",
                minimum=0.05,
                maximum=60.0,
                default=2.0,
                doc="Interval at which the holder of an entry slot reads the root record.",
            ),
            Option(
                name="watch_interval",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=600.0,
                default=10.0,
                doc="Time without events after which the holder of an entry slot reopens its watch.",
            ),
            Option(
                name="entry_slots",
                type="int",
                minimum=1,
                maximum=16,
                default=2,
                doc="Number of balancers per failure domain that read the configuration.",
            ),
            Option(
                name="lease_ttl",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=300.0,
                default=6.0,
                doc="Time until an entry slot's lease expires without a keep-alive.",
            ),
        ),
    ),
    Section(
        name="membership",
        doc="Membership and failure detection.",
        settings_class=MembershipSettings,
        standalone=False,
        options=(
            Option(
                name="seeds",
                type="endpoints",
                default="",
                doc="Control endpoints of balancers that receive the first announcement.",
            ),
            Option(
                name="heartbeat_interval",
                type="float",
                unit="seconds",
                minimum=0.05,
                maximum=10.0,
                default=1.0,
                doc="Interval of heartbeats to each watcher.",
            ),
            Option(
                name="suspect_after",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=60.0,
                default=1.4,
                doc="Time without messages after which a member that answers no probe becomes suspect.",
            ),
            Option(
                name="gone_after",
                type="float",
                unit="seconds",
                minimum=0.2,
                maximum=60.0,
                default=2.2,
                doc="Time without messages after which a suspect member becomes gone.",
            ),
            Option(
                name="doubt_factor",
                type="float",
                minimum=1.0,
                maximum=100.0,
                default=3.0,
                doc="Factor by which suspect_after and gone_after are extended while most members of a failure domain are unresponsive at once.",
            ),
            Option(
                name="call_timeout",
                type="float",
                unit="seconds",
                minimum=0.02,
                maximum=10.0,
                default=0.25,
                doc="Timeout of a message between processes.",
            ),
            Option(
                name="digest_interval",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=600.0,
                default=5.0,
                doc="Interval of full state comparisons with another balancer.",
            ),
            Option(
                name="start_jitter",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=60.0,
                default=0.5,
                doc="Maximum random delay of the first announcement.",
            ),
            Option(
                name="forget_after",
                type="float",
                unit="seconds",
                minimum=10.0,
                maximum=86400.0,
                default=3600.0,
                doc="Time until a gone member is removed.",
            ),
        ),
    ),
    Section(
        name="agent",
        doc="The agent of an upstream.",
        settings_class=AgentSettings,
        standalone=False,
        options=(
            Option(
                name="upstream_class",
                type="str",
                default="",
                doc="Class of the upstream, referenced by services.",
            ),
            Option(
                name="upstream_endpoint",
                type="endpoint",
                default="127.0.0.1:9000",
                doc="Endpoint of the upstream.",
            ),
            Option(
                name="slots",
                type="int",
                minimum=1,
                maximum=10000,
                default=1,
                doc="Number of requests that the upstream runs concurrently.",
            ),
            Option(
                name="fabric_return",
                type="endpoint",
                default="127.0.0.1:9001",
                doc="Endpoint of the fabric that receives return traffic (UDP).",
            ),
            Option(
                name="flow_idle_timeout",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=604800.0,
                default=14400.0,
                doc="Idle time after which a datagram flow is closed.",
            ),
            Option(
                name="drain_timeout",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=604800.0,
                default=14400.0,
                doc="Time for flows to end while the agent drains.",
            ),
            Option(
                name="certificate_file",
                type="str",
                default="",
                doc="Certificate chain in PEM for callers in mode request; empty if this mode is not served.",
            ),
            Option(
                name="private_key_file",
                type="str",
                default="",
                doc="Private key of the certificate, in PEM.",
            ),
            Option(
                name="caller_idle_timeout",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=3600.0,
                default=60.0,
                doc="Idle time after which a caller's HTTP/3 connection is closed.",
            ),
            Option(
                name="request_timeout",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=3600.0,
                default=30.0,
                doc="Default and maximum deadline of a request.",
            ),
            Option(
                name="body_maximum",
                type="int",
                unit="bytes",
                minimum=1,
                maximum=1073741824,
                default=4194304,
                doc="Maximum size of a request body.",
            ),
            Option(
                name="connections",
                type="int",
                minimum=1,
                maximum=100000,
                default=2000,
                doc="Number of concurrent requests and streams at the upstream.",
            ),
        ),
    ),
    Section(
        name="flows",
        doc="Handover of flows when buckets change owners.",
        settings_class=FlowsSettings,
        standalone=False,
        options=(
            Option(
                name="settle_delay",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=60.0,
                default=1.5,
                doc="Minimum time after its start until an agent creates flows without the consent of peers, during which it discovers its peers.",
            ),
            Option(
                name="settle_timeout",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=120.0,
                default=10.0,
                doc="Time after which the claim of a bucket completes without the confirmation of an unresponsive peer.",
            ),
            Option(
                name="max_hops",
                type="int",
                minimum=1,
                maximum=16,
                default=6,
                doc="Maximum number of hops of a datagram between agents.",
            ),
            Option(
                name="flow_limit",
                type="int",
                minimum=1,
                maximum=1000000,
                default=100000,
                doc="Maximum number of flows that an agent owns.",
            ),
            Option(
                name="note_limit",
                type="int",
                minimum=1,
                maximum=1000000,
                default=200000,
                doc="Maximum number of notes that an agent holds.",
            ),
            Option(
                name="held_limit",
                type="int",
                minimum=0,
                maximum=100000,
                default=1024,
                doc="Maximum number of datagrams queued while the claim of their bucket completes.",
            ),
            Option(
                name="held_timeout",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=60.0,
                default=5.0,
                doc="Time after which a queued datagram is dropped.",
            ),
            Option(
                name="notes_bytes_per_second",
                type="int",
                unit="bytes",
                minimum=1000,
                maximum=1000000000,
                default=12000,
                doc="Bytes of handover messages that an agent sends per second, part of its control budget.",
            ),
            Option(
                name="shift_duration",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=3.0,
                default=1.5,
                doc="Time over which a draining agent hands over its buckets.",
            ),
            Option(
                name="ramp_duration",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=600.0,
                default=10.0,
                doc="Time over which a started agent ramps up to its full weight.",
            ),
        ),
    ),
    Section(
        name="api",
        doc="The operators' API of a balancer.",
        settings_class=ApiSettings,
        standalone=False,
        options=(
            Option(
                name="endpoints",
                type="endpoints",
                default="",
                doc="Endpoints that serve the API, comma-separated; empty if it is not served.",
            ),
            Option(
                name="certificate_file",
                type="str",
                default="",
                doc="Certificate chain in PEM for TLS.",
            ),
            Option(
                name="private_key_file",
                type="str",
                default="",
                doc="Private key of the certificate, in PEM.",
            ),
            Option(
                name="operator_tokens",
                type="secrets",
                default="",
                doc="Bearer tokens that may change the configuration, comma-separated.",
            ),
            Option(
                name="viewer_tokens",
                type="secrets",
                default="",
                doc="Bearer tokens that may only read, comma-separated.",
            ),
            Option(
                name="watchers",
                type="int",
                minimum=1,
                maximum=256,
                default=8,
                doc="Maximum number of concurrent watch requests.",
            ),
        ),
    ),
    Section(
        name="load",
        doc="Admission, queueing and distribution of requests under load.",
        settings_class=LoadSettings,
        standalone=False,
        options=(
            Option(
                name="queue_limit",
                type="int",
                minimum=1,
                maximum=100000,
                default=64,
                doc="Maximum number of queued requests per group and agent.",
            ),
            Option(
                name="queue_time_limit",
                type="float",
                unit="seconds",
                minimum=0.01,
                maximum=600.0,
                default=1.0,
                doc="Maximum time that a request is queued before it is refused.",
            ),
            Option(
                name="caller_part",
                type="float",
                minimum=0.01,
                maximum=1.0,
                default=0.25,
                doc="Fraction of a group's queue that one caller's IP address may use.",
            ),
            Option(
                name="key_limit",
                type="int",
                minimum=1,
                maximum=1000,
                default=2,
                doc="Maximum number of queued or running requests per idempotency key and agent.",
            ),
            Option(
                name="retry_part",
                type="float",
                minimum=0.0,
                maximum=1.0,
                default=0.1,
                doc="Number of retries allowed per recent success.",
            ),
            Option(
                name="reservation_timeout",
                type="float",
                unit="seconds",
                minimum=0.01,
                maximum=10.0,
                default=0.25,
                doc="Time that a slot is reserved for a peer that has not sent its request yet.",
            ),
            Option(
                name="usage_interval",
                type="float",
                unit="seconds",
                minimum=0.05,
                maximum=60.0,
                default=0.5,
                doc="Interval at which usage sums are exchanged.",
            ),
            Option(
                name="slow_factor",
                type="float",
                minimum=1.5,
                maximum=100.0,
                default=3.0,
                doc="Ratio of an upstream's slot time to the median of its peers from which it is slow.",
            ),
            Option(
                name="panic_part",
                type="float",
                minimum=0.1,
                maximum=1.0,
                default=0.5,
                doc="Fraction of a service's upstreams that may be unhealthy before the detection is ignored.",
            ),
            Option(
                name="importance_floor",
                type="float",
                minimum=0.0,
                maximum=0.5,
                default=0.05,
                doc="Fraction of slot time reserved for less important services with queued requests.",
            ),
        ),
    ),
    Section(
        name="logs",
        doc="Logs as JSON lines on standard error.",
        settings_class=LogsSettings,
        standalone=False,
        options=(
            Option(
                name="level",
                type="choice",
                choices=("off", "error", "info", "debug"),
                default="info",
                doc="Most detailed level that is logged.",
            ),
        ),
    ),
    Section(
        name="metrics",
        doc="OpenTelemetry metrics; no overhead when off.",
        settings_class=MetricsSettings,
        standalone=False,
        options=(
            Option(
                name="exporter",
                type="choice",
                choices=("off", "prometheus", "otlp"),
                default="off",
                doc="Exporter of the metrics.",
            ),
            Option(
                name="prometheus_endpoint",
                type="endpoint",
                default="127.0.0.1:9464",
                doc="Endpoint that serves metrics for the exporter prometheus.",
            ),
            Option(
                name="otlp_url",
                type="str",
                default="http://127.0.0.1:4318/v1/metrics",
                doc="URL of the collector for the exporter otlp (HTTP).",
            ),
            Option(
                name="interval",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=600.0,
                default=15.0,
                doc="Interval of exports to the collector.",
            ),
        ),
    ),
    Section(
        name="objectives",
        doc="Service-level objectives for `report burn`.",
        settings_class=ObjectivesSettings,
        standalone=False,
        options=(
            Option(
                name="unbroken_flows",
                type="float",
                unit="fraction",
                minimum=0.5,
                maximum=0.999999,
                default=0.9999,
                doc="Fraction of flows that end without a break.",
            ),
            Option(
                name="answered_in_time",
                type="float",
                unit="fraction",
                minimum=0.5,
                maximum=0.999999,
                default=0.999,
                doc="Fraction of requests answered within time_limit.",
            ),
            Option(
                name="time_limit",
                type="float",
                unit="seconds",
                minimum=0.001,
                maximum=3600.0,
                default=1.0,
                doc="Maximum response time of a request that is answered in time.",
            ),
            Option(
                name="imbalance_limit",
                type="float",
                unit="ratio",
                minimum=1.0,
                maximum=100.0,
                default=1.25,
                doc="Maximum ratio of the busiest upstream slot's work to the mean that is balanced.",
            ),
        ),
    ),
    Section(
        name="client",
        doc="Access of the operators' commands to the API; a separate file.",
        settings_class=ClientSettings,
        standalone=True,
        options=(
            Option(
                name="endpoint",
                type="endpoint",
                doc="API endpoint of a balancer.",
            ),
            Option(
                name="token",
                type="secret",
                doc="Bearer token, at least 16 characters.",
            ),
            Option(
                name="authority_file",
                type="str",
                doc="CA certificates in PEM that verify the server's certificate.",
            ),
            Option(
                name="server_name",
                type="str",
                default="",
                doc="Name in the server's certificate; empty for the endpoint's IP address.",
            ),
            Option(
                name="timeout",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=300.0,
                default=20.0,
                doc="Timeout of a request.",
            ),
            Option(
                name="reach_timeout",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=60.0,
                default=3.0,
                doc="Timeout of the check before each change whether the balancer is reachable.",
            ),
        ),
    ),
)
