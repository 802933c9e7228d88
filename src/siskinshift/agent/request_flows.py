"""Flows of mode `request`: hands datagrams to the connections of callers."""

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
from siskinshift.agent.connection_commands import TakeDatagram
from siskinshift.agent.request_connection import RequestConnection
from siskinshift.core.errors import ErrorKind
from siskinshift.core.packets import Packet


if TYPE_CHECKING:
    from aioquic.quic.packet import QuicHeader

    from siskinshift.agent.datagram_flows import AnswerSender
    from siskinshift.agent.datagram_flows import FlowEndListener
    from siskinshift.agent.request_runner import RequestRunner
    from siskinshift.agent.request_runner import Spawner
    from siskinshift.core.clocks import Clock
    from siskinshift.messages.core import Service
    from siskinshift.runtime.counters import Counters
    from siskinshift.settings.generated import AgentSettings


HTTP3_ALPN = "h3"
CONNECTION_ID_SIZE = 8
# RFC 9000, 14.1: a smaller datagram does not open a connection.
FIRST_DATAGRAM_SIZE_MINIMUM = 1200


@define(eq=False)
class _RequestFlow:
    digest: int
    connections_by_id: dict[bytes, RequestConnection] = field(factory=dict)


def server_configuration(settings: AgentSettings) -> QuicConfiguration | None:
    """Loads the certificate for callers.

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
    """Knows the connections of each flow by the connection ids this side chose.

    A flow is one caller endpoint; it may carry several connections one after the
    other, or at once.
    """

    def __init__(
        self,
        *,
        settings: AgentSettings,
        runner: RequestRunner,
        spawn: Spawner,
        clock: Clock,
        counters: Counters,
        send_reply: AnswerSender,
        on_flow_end: FlowEndListener,
    ) -> None:
        """Prepares without any flow.

        Args:
            settings: Settings of the agent.
            runner: Takes requests.
            spawn: Runs a task on a thread.
            clock: Clock of the process.
            counters: Counters of the process.
            send_reply: Takes a datagram on its way to the caller.
            on_flow_end: Called with the hash of a flow that has no connection.
        """
        self._settings = settings
        self._configuration = server_configuration(settings)
        self._runner = runner
        self._spawn = spawn
        self._clock = clock
        self._counters = counters
        self._send_answer = send_reply
        self._on_flow_end = on_flow_end
        self._lock = threading.Lock()
        self._flows_by_digest: dict[int, _RequestFlow] = {}
        self._is_draining = False
        self._is_closed = False

    def __len__(self) -> int:
        return len(self._flows_by_digest)

    def deliver(self, digest: int, service: Service, packet: Packet) -> None:
        """Hands a caller's datagram to its connection.

        Args:
            digest: Hash of the flow.
            service: Service of the flow.
            packet: The datagram.
        """
        connection = self._connection_for(digest, service, packet)
        if connection is not None:
            connection.post(TakeDatagram(packet.payload))

    def drain(self) -> None:
        """Tells every caller to send its next request on a new connection."""
        with self._lock:
            if self._is_draining:
                return
            self._is_draining = True
        for connection in self._connections():
            connection.post(GoAway())

    def resume(self) -> None:
        """Takes new connections as before."""
        with self._lock:
            self._is_draining = False

    def close(self, *, is_silent: bool) -> None:
        """Ends all connections at once.

        Args:
            is_silent: Whether callers are left without a word.
        """
        with self._lock:
            self._is_closed = True
        for connection in self._connections():
            connection.post(CloseConnection(is_silent))

    def _connections(self) -> set[RequestConnection]:
        with self._lock:
            return {
                connection
                for flow in self._flows_by_digest.values()
                for connection in flow.connections_by_id.values()
            }

    def _connection_for(
        self, digest: int, service: Service, packet: Packet
    ) -> RequestConnection | None:
        try:
            header = pull_quic_header(
                Buffer(data=packet.payload), host_cid_length=CONNECTION_ID_SIZE
            )
        except ValueError:
            self._drop(digest, ErrorKind.BAD_HEADER)
            return None
        with self._lock:
            flow = self._flows_by_digest.get(digest)
            known = flow and flow.connections_by_id.get(header.destination_cid)
        if known:
            return known
        if not self._opens_connection(header, packet):
            # A caller whose address changed, or one of a former life of this agent:
            # its keys are not here, so nothing can be said to it.
            self._drop(digest, ErrorKind.UNKNOWN_CONNECTION)
            return None
        return self._open(digest, service, packet, header.destination_cid)

    def _opens_connection(self, header: QuicHeader, packet: Packet) -> bool:
        return (
            self._configuration is not None
            and header.packet_type is QuicPacketType.INITIAL
            and header.version in self._configuration.supported_versions
            and len(packet.payload) >= FIRST_DATAGRAM_SIZE_MINIMUM
        )

    def _open(
        self, digest: int, service: Service, packet: Packet, first_id: bytes
    ) -> RequestConnection:
        assert self._configuration is not None
        flow = self._flows_by_digest.get(digest) or _RequestFlow(digest)
        connection = RequestConnection(
            configuration=self._configuration,
            original_connection_id=first_id,
            caller=packet.caller,
            service=service,
            settings=self._settings,
            runner=self._runner,
            clock=self._clock,
            counters=self._counters,
            send=partial(self._send, packet),
            on_connection_id=lambda number, is_issued: self._note_id(
                flow, connection, number, is_issued
            ),
        )
        with self._lock:
            flow.connections_by_id[first_id] = connection
            flow.connections_by_id[connection.connection_id] = connection
            self._flows_by_digest[digest] = flow
            is_closed = self._is_closed
        self._counters.add("connections.opened")
        if self._is_draining:
            connection.post(GoAway())
        if is_closed:
            # It came between `close` and the end of the loop that delivers.
            connection.post(CloseConnection(is_silent=True))
        self._spawn(self._serve, flow, connection)
        return connection

    def _serve(self, flow: _RequestFlow, connection: RequestConnection) -> None:
        try:
            connection.run()
        finally:
            with self._lock:
                for number, known in tuple(flow.connections_by_id.items()):
                    if known is connection:
                        del flow.connections_by_id[number]
                is_ended = not flow.connections_by_id
                if is_ended:
                    self._flows_by_digest.pop(flow.digest, None)
            if is_ended:
                self._on_flow_end(flow.digest)

    def _note_id(
        self,
        flow: _RequestFlow,
        connection: RequestConnection,
        number: bytes,
        is_issued: bool,
    ) -> None:
        with self._lock:
            if is_issued:
                flow.connections_by_id[number] = connection
            else:
                flow.connections_by_id.pop(number, None)

    def _send(self, packet: Packet, datagram: bytes) -> None:
        self._send_answer(Packet(packet.caller, packet.service_address, datagram))

    def _drop(self, digest: int, error: ErrorKind) -> None:
        self._counters.add(f"dropped.{error.value}")
        if digest not in self._flows_by_digest:
            # The router took it as a new flow; there is none.
            self._on_flow_end(digest)
