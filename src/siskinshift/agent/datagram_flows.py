"""Flows of mode `datagram`: one loopback socket to the upstream for each flow."""

from __future__ import annotations

import selectors
import socket
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import define

from siskinshift.core.packets import Packet
from siskinshift.messages.core import Endpoint
from siskinshift.runtime.datagrams import MAX_DATAGRAM_SIZE


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock


SELECT_SECONDS = 0.2

AnswerSender: TypeAlias = Callable[[Packet], None]
FlowEndListener: TypeAlias = Callable[[int], None]


@define(eq=False)
class _DatagramFlow:
    digest: int
    caller: Endpoint
    service_address: Endpoint
    socket: socket.socket
    used_at: float


class DatagramFlows:
    """Relays datagrams between callers and the upstream."""

    def __init__(
        self,
        *,
        upstream: Endpoint,
        idle_timeout: float,
        clock: Clock,
        send_answer: AnswerSender,
        on_flow_end: FlowEndListener,
    ) -> None:
        """Prepares without any flow.

        Args:
            upstream: The upstream's UDP endpoint.
            idle_timeout: Seconds of silence after which a flow is closed.
            clock: Clock of the process.
            send_answer: Takes an upstream's datagram on its way to the caller.
            on_flow_end: Called with the hash of a flow that was closed.
        """
        self._upstream = (upstream.host, upstream.port)
        self._idle_timeout = idle_timeout
        self._clock = clock
        self._send_answer = send_answer
        self._on_flow_end = on_flow_end
        self._lock = threading.Lock()
        self._flows_by_digest: dict[int, _DatagramFlow] = {}
        self._selector = selectors.DefaultSelector()

    def __len__(self) -> int:
        return len(self._flows_by_digest)

    def deliver(self, digest: int, packet: Packet) -> None:
        """Sends a caller's datagram to the upstream.

        Args:
            digest: Hash of the flow.
            packet: The datagram.
        """
        flow = self._flows_by_digest.get(digest) or self._open(digest, packet)
        flow.used_at = self._clock()
        try:
            flow.socket.send(packet.payload)
        except OSError:
            return  # The upstream is away; for UDP that is loss on the way.

    def relay_until(self, stopping: threading.Event) -> None:
        """Passes the upstream's datagrams back.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.is_set():
            ready = self._selector.select(SELECT_SECONDS)
            if not ready:
                # An empty selector returns at once on some systems.
                stopping.wait(SELECT_SECONDS / 10)
            for key, _ in ready:
                self._relay(key.data)

    def close_idle(self) -> None:
        """Closes flows that were silent for too long."""
        limit = self._clock() - self._idle_timeout
        for flow in tuple(self._flows_by_digest.values()):
            if flow.used_at < limit:
                self._close(flow)

    def close(self) -> None:
        """Closes all flows."""
        for flow in tuple(self._flows_by_digest.values()):
            self._close(flow)
        self._selector.close()

    def _open(self, digest: int, packet: Packet) -> _DatagramFlow:
        family = socket.AF_INET6 if ":" in self._upstream[0] else socket.AF_INET
        upstream_socket = socket.socket(family, socket.SOCK_DGRAM)
        upstream_socket.setblocking(False)
        upstream_socket.connect(self._upstream)
        flow = _DatagramFlow(
            digest=digest,
            caller=packet.caller,
            service_address=packet.service_address,
            socket=upstream_socket,
            used_at=self._clock(),
        )
        with self._lock:
            self._flows_by_digest[digest] = flow
            self._selector.register(upstream_socket, selectors.EVENT_READ, flow)
        return flow

    def _relay(self, flow: _DatagramFlow) -> None:
        try:
            payload = flow.socket.recv(MAX_DATAGRAM_SIZE)
        except OSError:
            return
        flow.used_at = self._clock()
        self._send_answer(Packet(flow.caller, flow.service_address, payload))

    def _close(self, flow: _DatagramFlow) -> None:
        with self._lock:
            if self._flows_by_digest.pop(flow.digest, None) is None:
                return
            self._selector.unregister(flow.socket)
        flow.socket.close()
        self._on_flow_end(flow.digest)
