"""Dispatches the datagrams of flows of mode `request` to HTTP/3 connections."""

from __future__ import annotations

import threading
from functools import partial
from typing import TYPE_CHECKING

from aioquic._buffer import Buffer
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.packet import QuicPacketType
from aioquic.quic.packet import pull_quic_header
from attrs import define
from attrs import field

from siskinshift.agent.connection_commands import CloseConnection
from siskinshift.agent.connection_commands import GoAway
from siskinshift.agent.connection_commands import ReceiveDatagram
from siskinshift.agent.request_connection import RequestConnection
from siskinshift.core.errors import ErrorKind
from siskinshift.core.packets import Packet


if TYPE_CHECKING:
    from aioquic.quic.packet import QuicHeader

    from siskinshift.agent.datagram_flows import FlowEndListener
    from siskinshift.agent.datagram_flows import ReplySender
    from siskinshift.agent.request_runner import RequestRunner
    from siskinshift.agent.request_runner import Spawner
    from siskinshift.agent.service_refusals import ServiceRefusals
    from siskinshift.core.clocks import Clock
    from siskinshift.messages.core import Service
    from siskinshift.runtime.counters import Counters
    from siskinshift.settings.generated import AgentSettings


HTTP3_ALPN = "h3"
CONNECTION_ID_SIZE = 8
# RFC 9000, 14.1: a smaller datagram must not open a connection.
MIN_FIRST_DATAGRAM_BYTES = 1200


@define(eq=False)
class _RequestFlow:
    flow_hash: int
    connections_by_id: dict[bytes, RequestConnection] = field(factory=dict)


def server_configuration(settings: AgentSettings) -> QuicConfiguration | None:
    """Creates the QUIC server configuration with the agent's certificate.

    Args:
        settings: Settings of the agent.

    Returns:
        The configuration, or None when no certificate is set.
    """
    if not settings.certificate_file:
        return None
    configuration = QuicConfiguration(
        is_client=False,
        alpn_protocols=[HTTP3_ALPN],
        connection_id_length=CONNECTION_ID_SIZE,
        idle_timeout=settings.caller_idle_timeout,
    )
    configuration.load_cert_chain(
        settings.certificate_file, settings.private_key_file or None
    )
    return configuration


class RequestFlows:
    """Maps the connection ids of each flow to its connections.

    The agent chooses the ids. A flow is one caller endpoint. It may carry several
    connections, one after the other or concurrently.
    """

    def __init__(
        self,
        *,
        settings: AgentSettings,
        runner: RequestRunner,
        refusals: ServiceRefusals,
        spawn: Spawner,
        clock: Clock,
        counters: Counters,
        send_reply: ReplySender,
        on_flow_end: FlowEndListener,
    ) -> None:
        """Initializes the dispatcher without any flow.

        Args:
            settings: Settings of the agent.
            runner: Receives the requests.
            refusals: Services whose new requests are refused.
            spawn: Runs a task on a thread.
            clock: Clock of the process.
            counters: Counters of the process.
            send_reply: Sends a datagram to the caller.
            on_flow_end: Called with the hash of a flow without connections.
        """
        self._settings = settings
        self._configuration = server_configuration(settings)
        self._runner = runner
        self._refusals = refusals
        self._spawn = spawn
        self._clock = clock
        self._counters = counters
        self._send_reply = send_reply
        self._on_flow_end = on_flow_end
        self._lock = threading.Lock()
        self._flows_by_hash: dict[int, _RequestFlow] = {}
        self._is_draining = False
        self._is_closed = False

    def __len__(self) -> int:
        return len(self._flows_by_hash)

    def deliver(self, flow_hash: int, service: Service, packet: Packet) -> None:
        """Passes a caller's datagram to its connection.

        Args:
            flow_hash: Hash of the flow.
            service: Service of the flow.
            packet: The datagram.
        """
        connection = self._connection_for(flow_hash, service, packet)
        if connection is not None:
            connection.post(ReceiveDatagram(packet.payload))

    def drain(self) -> None:
        """Sends GOAWAY on all connections and on each new one."""
        with self._lock:
            if self._is_draining:
                return
            self._is_draining = True
        for connection in self._connections():
            connection.post(GoAway())

    def resume(self) -> None:
        """Stops sending GOAWAY on new connections."""
        with self._lock:
            self._is_draining = False

    def close(self, *, is_abrupt: bool) -> None:
        """Closes all connections immediately.

        Args:
            is_abrupt: Whether no CONNECTION_CLOSE is sent to callers.
        """
        with self._lock:
            self._is_closed = True
        for connection in self._connections():
            connection.post(CloseConnection(is_abrupt))

    def _connections(self) -> set[RequestConnection]:
        with self._lock:
            return {
                connection
                for flow in self._flows_by_hash.values()
                for connection in flow.connections_by_id.values()
            }

    def _connection_for(
        self, flow_hash: int, service: Service, packet: Packet
    ) -> RequestConnection | None:
        try:
            header = pull_quic_header(
                Buffer(data=packet.payload), host_cid_length=CONNECTION_ID_SIZE
            )
        except ValueError:
            self._drop(flow_hash, ErrorKind.BAD_HEADER)
            return None
        with self._lock:
            flow = self._flows_by_hash.get(flow_hash)
            existing = flow and flow.connections_by_id.get(header.destination_cid)
        if existing:
            return existing
        if not self._opens_connection(header, packet):
            # The caller changed its address, or the connection belongs to an earlier
            # process of this agent. Its keys are unknown, so no reply is possible.
            self._drop(flow_hash, ErrorKind.UNKNOWN_CONNECTION)
            return None
        return self._open(flow_hash, service, packet, header.destination_cid)

    def _opens_connection(self, header: QuicHeader, packet: Packet) -> bool:
        return (
            self._configuration is not None
            and header.packet_type is QuicPacketType.INITIAL
            and header.version in self._configuration.supported_versions
            and len(packet.payload) >= MIN_FIRST_DATAGRAM_BYTES
        )

    def _open(
        self,
        flow_hash: int,
        service: Service,
        packet: Packet,
        original_connection_id: bytes,
    ) -> RequestConnection:
        assert self._configuration is not None
        flow = self._flows_by_hash.get(flow_hash) or _RequestFlow(flow_hash)
        connection = RequestConnection(
            configuration=self._configuration,
            original_connection_id=original_connection_id,
            caller=packet.caller,
            service=service,
            settings=self._settings,
            runner=self._runner,
            refusals=self._refusals,
            clock=self._clock,
            counters=self._counters,
            send=partial(self._send, packet),
            on_connection_id=lambda connection_id, is_issued: (
                self._update_connection_id(flow, connection, connection_id, is_issued)
            ),
        )
        with self._lock:
            flow.connections_by_id[original_connection_id] = connection
            flow.connections_by_id[connection.connection_id] = connection
            self._flows_by_hash[flow_hash] = flow
            is_closed = self._is_closed
        self._counters.add("connections.opened")
        if self._is_draining:
            connection.post(GoAway())
        if is_closed:
            # Opened between `close` and the end of the receive loop.
            connection.post(CloseConnection(is_abrupt=True))
        self._spawn(self._serve, flow, connection)
        return connection

    def _serve(self, flow: _RequestFlow, connection: RequestConnection) -> None:
        try:
            connection.run()
        finally:
            with self._lock:
                for connection_id, existing in tuple(flow.connections_by_id.items()):
                    if existing is connection:
                        del flow.connections_by_id[connection_id]
                is_ended = not flow.connections_by_id
                if is_ended:
                    self._flows_by_hash.pop(flow.flow_hash, None)
            if is_ended:
                self._on_flow_end(flow.flow_hash)

    def _update_connection_id(
        self,
        flow: _RequestFlow,
        connection: RequestConnection,
        connection_id: bytes,
        is_issued: bool,
    ) -> None:
        with self._lock:
            if is_issued:
                flow.connections_by_id[connection_id] = connection
            else:
                flow.connections_by_id.pop(connection_id, None)

    def _send(self, packet: Packet, datagram: bytes) -> None:
        self._send_reply(Packet(packet.caller, packet.service_address, datagram))

    def _drop(self, flow_hash: int, error: ErrorKind) -> None:
        self._counters.add(f"dropped.{error.value}")
        if flow_hash not in self._flows_by_hash:
            # The router registered a new flow, but no connection was opened.
            self._on_flow_end(flow_hash)
