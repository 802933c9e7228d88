"""Settings of schema/settings.toml; generated, do not edit."""

from __future__ import annotations

from attrs import frozen

from siskinshift.messages.core import Endpoint
from siskinshift.settings.options import Option
from siskinshift.settings.options import Secret
from siskinshift.settings.options import Section


@frozen
class NodeSettings:
    """Who this process is and where it listens.

    Attributes:
        node_id: Name, unique in the deployment.
        region: Region this instance stands in.
        failure_domain: Failure domain this instance stands in.
        control_endpoint: IP number and port for messages between processes (TCP).
        data_endpoint: IP number and port for forwarded datagrams (UDP).
    """

    node_id: str
    region: str
    failure_domain: str
    control_endpoint: Endpoint
    data_endpoint: Endpoint


@frozen
class KeysSettings:
    """Shared keys that authenticate the system's processes to each other.

    Attributes:
        current: Key to sign with, 16 characters or more.
        previous: Key still accepted while keys are rotated.
    """

    current: Secret
    previous: Secret


@frozen
class KvSettings:
    """The platform's key-value service.

    Attributes:
        endpoints: Endpoints, comma-separated; empty when none is used.
        timeout: Time allowed for one call. In seconds.
        call_rate: Calls this process may make on average. In calls a second.
        call_burst: Calls this process may make at once. In calls.
        check_interval: Pause between two reads of the root record by a holder of an entry slot. In seconds.
        watch_interval: Silence after which a holder of an entry slot opens its watch again. In seconds.
        entry_slots: Balancers of each failure domain that read the configuration.
        lease_ttl: Life of an entry slot's lease without a keep-alive. In seconds.
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
    """How members find and watch each other.

    Attributes:
        seeds: Control endpoints of balancers to announce to.
        heartbeat_interval: Pause between two heartbeats to one watcher. In seconds.
        suspect_after: Silence after which a member that answers no probe counts as suspect. In seconds.
        gone_after: Silence after which a suspect counts as gone. In seconds.
        doubt_factor: Times the silence is stretched while most members of a failure domain fall silent at once.
        call_timeout: Time allowed for one message between processes. In seconds.
        digest_interval: Pause between two comparisons of the whole state with another balancer. In seconds.
        start_jitter: Greatest random delay of the first announcement. In seconds.
        forget_after: Time a member that is gone is remembered. In seconds.
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
    """The agent beside an upstream.

    Attributes:
        upstream_class: Class of the upstream; services name it.
        upstream_endpoint: Endpoint of the upstream.
        slots: Requests the upstream runs at once.
        fabric_return: Endpoint of the fabric that takes answers (UDP).
        flow_idle_timeout: Silence after which a datagram flow is closed. In seconds.
        drain_timeout: Time flows are given to end when the agent drains. In seconds.
        certificate_file: Certificate chain in PEM for callers of mode request; empty when none is served.
        private_key_file: Private key in PEM that belongs to the certificate.
        caller_idle_timeout: Silence after which a caller's HTTP/3 connection is closed. In seconds.
        request_timeout: Deadline of a request that names none, and the longest one may ask for. In seconds.
        body_maximum: Largest request body taken. In bytes.
        connections: Requests and streams the upstream holds at once.
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
    """How flows outlive change.

    Attributes:
        settle_delay: Least time after its start before an agent creates flows of its own accord; peers it has not heard of yet become known. In seconds.
        settle_timeout: Time after which a bucket settles though a silent peer did not confirm. In seconds.
        max_hops: Times a datagram may be passed on.
        flow_limit: Flows that an agent owns at most.
        note_limit: Notes that an agent holds at most.
        held_limit: Datagrams held at most while their bucket settles.
        held_timeout: Time after which a held datagram is dropped. In seconds.
        notes_bytes_per_second: Bytes of hand-over messages that an agent sends a second; a part of its control budget. In bytes.
        shift_duration: Time over which a draining agent gives its buckets away. In seconds.
        ramp_duration: Time over which a started agent takes its full weight. In seconds.
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
        endpoints: Endpoints to serve the API at, comma-separated; empty when it is not served.
        certificate_file: Certificate chain in PEM for TLS.
        private_key_file: Private key of the certificate in PEM.
        operator_tokens: Bearer tokens that may change the configuration, comma-separated.
        viewer_tokens: Bearer tokens that may only read, comma-separated.
        watchers: Watch calls served at once.
    """

    endpoints: tuple[Endpoint, ...]
    certificate_file: str
    private_key_file: str
    operator_tokens: tuple[Secret, ...]
    viewer_tokens: tuple[Secret, ...]
    watchers: int


@frozen
class LoadSettings:
    """What is let in, what waits and where work goes under load.

    Attributes:
        queue_limit: Requests of one group that may wait at one agent.
        queue_time_limit: Longest wait of a request before it is refused. In seconds.
        caller_part: Part of a group's queue that one caller's IP number may fill.
        key_limit: Requests with one idempotency key that may be waiting or running at an agent.
        retry_part: Retries allowed for each recent success.
        reservation_timeout: Time a slot is held for a peer that has not sent its request yet. In seconds.
        usage_interval: Pause between two exchanges of usage sums. In seconds.
        slow_factor: Slot time over the peers' median from which an upstream counts as slow.
        panic_part: Part of a service's upstreams that may look sick before the detection is doubted.
        importance_floor: Part of slot time that less important services keep while they wait.
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
        level: Most detailed level that is written.
    """

    level: str


@frozen
class MetricsSettings:
    """Metrics by OpenTelemetry; off costs nothing.

    Attributes:
        exporter: How metrics leave the process.
        prometheus_endpoint: Where metrics are served for exporter prometheus.
        otlp_url: Collector for exporter otlp (HTTP).
        interval: Pause between two exports to the collector. In seconds.
    """

    exporter: str
    prometheus_endpoint: Endpoint
    otlp_url: str
    interval: float


@frozen
class ObjectivesSettings:
    """Service-level objectives that `report burn` measures against.

    Attributes:
        unbroken_flows: Part of flows that end unbroken. In fraction.
        answered_in_time: Part of requests answered within time_limit. In fraction.
        time_limit: Time within which a request counts as answered in time. In seconds.
        imbalance_limit: Work of the busiest upstream slot over the mean that still counts as balanced. In ratio.
    """

    unbroken_flows: float
    answered_in_time: float
    time_limit: float
    imbalance_limit: float


@frozen
class ClientSettings:
    """How the operators' commands reach the API; a file of its own.

    Attributes:
        endpoint: API endpoint of a balancer.
        token: Bearer token, 16 characters or more.
        authority_file: Certificates in PEM that the server's certificate is checked against.
        server_name: Name in the server's certificate; empty for the endpoint's IP number.
        timeout: Time allowed for one call. In seconds.
        reach_timeout: Time allowed for the look, before each change, whether the balancer is there. In seconds.
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
        node: Who this process is and where it listens.
        keys: Shared keys that authenticate the system's processes to each other.
        kv: The platform's key-value service.
        membership: How members find and watch each other.
        agent: The agent beside an upstream.
        flows: How flows outlive change.
        api: The operators' API of a balancer.
        load: What is let in, what waits and where work goes under load.
        logs: Logs as JSON lines on standard error.
        metrics: Metrics by OpenTelemetry; off costs nothing.
        objectives: Service-level objectives that `report burn` measures against.
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
        doc="Who this process is and where it listens.",
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
                doc="Region this instance stands in.",
            ),
            Option(
                name="failure_domain",
                type="str",
                default="fd-1",
                doc="Failure domain this instance stands in.",
            ),
            Option(
                name="control_endpoint",
                type="endpoint",
                doc="IP number and port for messages between processes (TCP).",
            ),
            Option(
                name="data_endpoint",
                type="endpoint",
                doc="IP number and port for forwarded datagrams (UDP).",
            ),
        ),
    ),
    Section(
        name="keys",
        doc="Shared keys that authenticate the system's processes to each other.",
        settings_class=KeysSettings,
        standalone=False,
        options=(
            Option(
                name="current",
                type="secret",
                doc="Key to sign with, 16 characters or more.",
            ),
            Option(
                name="previous",
                type="secret",
                default="",
                doc="Key still accepted while keys are rotated.",
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
                doc="Endpoints, comma-separated; empty when none is used.",
            ),
            Option(
                name="timeout",
                type="float",
                unit="seconds",
                minimum=0.01,
                maximum=60.0,
                default=1.0,
                doc="Time allowed for one call.",
            ),
            Option(
                name="call_rate",
                type="float",
                unit="calls a second",
                minimum=0.1,
                maximum=1000.0,
                default=10.0,
                doc="Calls this process may make on average.",
            ),
            Option(
                name="call_burst",
                type="int",
                unit="calls",
                minimum=1,
                maximum=1000,
                default=40,
                doc="Calls this process may make at once.",
            ),
            Option(
                name="check_interval",
                type="float",
                unit="seconds",
                minimum=0.05,
                maximum=60.0,
                default=2.0,
                doc="Pause between two reads of the root record by a holder of an entry slot.",
            ),
            Option(
                name="watch_interval",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=600.0,
                default=10.0,
                doc="Silence after which a holder of an entry slot opens its watch again.",
            ),
            Option(
                name="entry_slots",
                type="int",
                minimum=1,
                maximum=16,
                default=2,
                doc="Balancers of each failure domain that read the configuration.",
            ),
            Option(
                name="lease_ttl",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=300.0,
                default=6.0,
                doc="Life of an entry slot's lease without a keep-alive.",
            ),
        ),
    ),
    Section(
        name="membership",
        doc="How members find and watch each other.",
        settings_class=MembershipSettings,
        standalone=False,
        options=(
            Option(
                name="seeds",
                type="endpoints",
                default="",
                doc="Control endpoints of balancers to announce to.",
            ),
            Option(
                name="heartbeat_interval",
                type="float",
                unit="seconds",
                minimum=0.05,
                maximum=10.0,
                default=1.0,
                doc="Pause between two heartbeats to one watcher.",
            ),
            Option(
                name="suspect_after",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=60.0,
                default=1.4,
                doc="Silence after which a member that answers no probe counts as suspect.",
            ),
            Option(
                name="gone_after",
                type="float",
                unit="seconds",
                minimum=0.2,
                maximum=60.0,
                default=2.2,
                doc="Silence after which a suspect counts as gone.",
            ),
            Option(
                name="doubt_factor",
                type="float",
                minimum=1.0,
                maximum=100.0,
                default=3.0,
                doc="Times the silence is stretched while most members of a failure domain fall silent at once.",
            ),
            Option(
                name="call_timeout",
                type="float",
                unit="seconds",
                minimum=0.02,
                maximum=10.0,
                default=0.25,
                doc="Time allowed for one message between processes.",
            ),
            Option(
                name="digest_interval",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=600.0,
                default=5.0,
                doc="Pause between two comparisons of the whole state with another balancer.",
            ),
            Option(
                name="start_jitter",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=60.0,
                default=0.5,
                doc="Greatest random delay of the first announcement.",
            ),
            Option(
                name="forget_after",
                type="float",
                unit="seconds",
                minimum=10.0,
                maximum=86400.0,
                default=3600.0,
                doc="Time a member that is gone is remembered.",
            ),
        ),
    ),
    Section(
        name="agent",
        doc="The agent beside an upstream.",
        settings_class=AgentSettings,
        standalone=False,
        options=(
            Option(
                name="upstream_class",
                type="str",
                default="",
                doc="Class of the upstream; services name it.",
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
                doc="Requests the upstream runs at once.",
            ),
            Option(
                name="fabric_return",
                type="endpoint",
                default="127.0.0.1:9001",
                doc="Endpoint of the fabric that takes answers (UDP).",
            ),
            Option(
                name="flow_idle_timeout",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=604800.0,
                default=14400.0,
                doc="Silence after which a datagram flow is closed.",
            ),
            Option(
                name="drain_timeout",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=604800.0,
                default=14400.0,
                doc="Time flows are given to end when the agent drains.",
            ),
            Option(
                name="certificate_file",
                type="str",
                default="",
                doc="Certificate chain in PEM for callers of mode request; empty when none is served.",
            ),
            Option(
                name="private_key_file",
                type="str",
                default="",
                doc="Private key in PEM that belongs to the certificate.",
            ),
            Option(
                name="caller_idle_timeout",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=3600.0,
                default=60.0,
                doc="Silence after which a caller's HTTP/3 connection is closed.",
            ),
            Option(
                name="request_timeout",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=3600.0,
                default=30.0,
                doc="Deadline of a request that names none, and the longest one may ask for.",
            ),
            Option(
                name="body_maximum",
                type="int",
                unit="bytes",
                minimum=1,
                maximum=1073741824,
                default=4194304,
                doc="Largest request body taken.",
            ),
            Option(
                name="connections",
                type="int",
                minimum=1,
                maximum=100000,
                default=2000,
                doc="Requests and streams the upstream holds at once.",
            ),
        ),
    ),
    Section(
        name="flows",
        doc="How flows outlive change.",
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
                doc="Least time after its start before an agent creates flows of its own accord; peers it has not heard of yet become known.",
            ),
            Option(
                name="settle_timeout",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=120.0,
                default=10.0,
                doc="Time after which a bucket settles though a silent peer did not confirm.",
            ),
            Option(
                name="max_hops",
                type="int",
                minimum=1,
                maximum=16,
                default=6,
                doc="Times a datagram may be passed on.",
            ),
            Option(
                name="flow_limit",
                type="int",
                minimum=1,
                maximum=1000000,
                default=100000,
                doc="Flows that an agent owns at most.",
            ),
            Option(
                name="note_limit",
                type="int",
                minimum=1,
                maximum=1000000,
                default=200000,
                doc="Notes that an agent holds at most.",
            ),
            Option(
                name="held_limit",
                type="int",
                minimum=0,
                maximum=100000,
                default=1024,
                doc="Datagrams held at most while their bucket settles.",
            ),
            Option(
                name="held_timeout",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=60.0,
                default=5.0,
                doc="Time after which a held datagram is dropped.",
            ),
            Option(
                name="notes_bytes_per_second",
                type="int",
                unit="bytes",
                minimum=1000,
                maximum=1000000000,
                default=12000,
                doc="Bytes of hand-over messages that an agent sends a second; a part of its control budget.",
            ),
            Option(
                name="shift_duration",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=3.0,
                default=1.5,
                doc="Time over which a draining agent gives its buckets away.",
            ),
            Option(
                name="ramp_duration",
                type="float",
                unit="seconds",
                minimum=0.0,
                maximum=600.0,
                default=10.0,
                doc="Time over which a started agent takes its full weight.",
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
                doc="Endpoints to serve the API at, comma-separated; empty when it is not served.",
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
                doc="Private key of the certificate in PEM.",
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
                doc="Watch calls served at once.",
            ),
        ),
    ),
    Section(
        name="load",
        doc="What is let in, what waits and where work goes under load.",
        settings_class=LoadSettings,
        standalone=False,
        options=(
            Option(
                name="queue_limit",
                type="int",
                minimum=1,
                maximum=100000,
                default=64,
                doc="Requests of one group that may wait at one agent.",
            ),
            Option(
                name="queue_time_limit",
                type="float",
                unit="seconds",
                minimum=0.01,
                maximum=600.0,
                default=1.0,
                doc="Longest wait of a request before it is refused.",
            ),
            Option(
                name="caller_part",
                type="float",
                minimum=0.01,
                maximum=1.0,
                default=0.25,
                doc="Part of a group's queue that one caller's IP number may fill.",
            ),
            Option(
                name="key_limit",
                type="int",
                minimum=1,
                maximum=1000,
                default=2,
                doc="Requests with one idempotency key that may be waiting or running at an agent.",
            ),
            Option(
                name="retry_part",
                type="float",
                minimum=0.0,
                maximum=1.0,
                default=0.1,
                doc="Retries allowed for each recent success.",
            ),
            Option(
                name="reservation_timeout",
                type="float",
                unit="seconds",
                minimum=0.01,
                maximum=10.0,
                default=0.25,
                doc="Time a slot is held for a peer that has not sent its request yet.",
            ),
            Option(
                name="usage_interval",
                type="float",
                unit="seconds",
                minimum=0.05,
                maximum=60.0,
                default=0.5,
                doc="Pause between two exchanges of usage sums.",
            ),
            Option(
                name="slow_factor",
                type="float",
                minimum=1.5,
                maximum=100.0,
                default=3.0,
                doc="Slot time over the peers' median from which an upstream counts as slow.",
            ),
            Option(
                name="panic_part",
                type="float",
                minimum=0.1,
                maximum=1.0,
                default=0.5,
                doc="Part of a service's upstreams that may look sick before the detection is doubted.",
            ),
            Option(
                name="importance_floor",
                type="float",
                minimum=0.0,
                maximum=0.5,
                default=0.05,
                doc="Part of slot time that less important services keep while they wait.",
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
                doc="Most detailed level that is written.",
            ),
        ),
    ),
    Section(
        name="metrics",
        doc="Metrics by OpenTelemetry; off costs nothing.",
        settings_class=MetricsSettings,
        standalone=False,
        options=(
            Option(
                name="exporter",
                type="choice",
                choices=("off", "prometheus", "otlp"),
                default="off",
                doc="How metrics leave the process.",
            ),
            Option(
                name="prometheus_endpoint",
                type="endpoint",
                default="127.0.0.1:9464",
                doc="Where metrics are served for exporter prometheus.",
            ),
            Option(
                name="otlp_url",
                type="str",
                default="http://127.0.0.1:4318/v1/metrics",
                doc="Collector for exporter otlp (HTTP).",
            ),
            Option(
                name="interval",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=600.0,
                default=15.0,
                doc="Pause between two exports to the collector.",
            ),
        ),
    ),
    Section(
        name="objectives",
        doc="Service-level objectives that `report burn` measures against.",
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
                doc="Part of flows that end unbroken.",
            ),
            Option(
                name="answered_in_time",
                type="float",
                unit="fraction",
                minimum=0.5,
                maximum=0.999999,
                default=0.999,
                doc="Part of requests answered within time_limit.",
            ),
            Option(
                name="time_limit",
                type="float",
                unit="seconds",
                minimum=0.001,
                maximum=3600.0,
                default=1.0,
                doc="Time within which a request counts as answered in time.",
            ),
            Option(
                name="imbalance_limit",
                type="float",
                unit="ratio",
                minimum=1.0,
                maximum=100.0,
                default=1.25,
                doc="Work of the busiest upstream slot over the mean that still counts as balanced.",
            ),
        ),
    ),
    Section(
        name="client",
        doc="How the operators' commands reach the API; a file of its own.",
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
                doc="Bearer token, 16 characters or more.",
            ),
            Option(
                name="authority_file",
                type="str",
                doc="Certificates in PEM that the server's certificate is checked against.",
            ),
            Option(
                name="server_name",
                type="str",
                default="",
                doc="Name in the server's certificate; empty for the endpoint's IP number.",
            ),
            Option(
                name="timeout",
                type="float",
                unit="seconds",
                minimum=1.0,
                maximum=300.0,
                default=20.0,
                doc="Time allowed for one call.",
            ),
            Option(
                name="reach_timeout",
                type="float",
                unit="seconds",
                minimum=0.1,
                maximum=60.0,
                default=3.0,
                doc="Time allowed for the look, before each change, whether the balancer is there.",
            ),
        ),
    ),
)
