"""Relays flows of mode `datagram`, each through its own loopback socket."""

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

ReplySender: TypeAlias = Callable[[Packet], None]
FlowEndListener: TypeAlias = Callable[[int], None]


@define(eq=False)
class _DatagramFlow:
    flow_hash: int
    caller: Endpoint
    service_address: Endpoint
    socket: socket.socket
    last_used_at: float


class DatagramFlows:
    """Relays datagrams between callers and the upstream."""

    def __init__(
        self,
        *,
        upstream: Endpoint,
        idle_timeout: float,
        clock: Clock,
        send_reply: ReplySender,
        on_flow_end: FlowEndListener,
    ) -> None:
        """Initializes the relay without any flow.

        Args:
            upstream: The upstream's UDP endpoint.
            idle_timeout: Seconds without datagrams after which a flow is closed.
            clock: Clock of the process.
            send_reply: Sends a datagram of the upstream to the caller.
            on_flow_end: Called with the hash of a closed flow.
        """
        self._upstream = (upstream.host, upstream.port)
        self._idle_timeout = idle_timeout
        self._clock = clock
        self._send_reply = send_reply
        self._on_flow_end = on_flow_end
        self._lock = threading.Lock()
        self._flows_by_hash: dict[int, _DatagramFlow] = {}
        self._selector = selectors.DefaultSelector()

    def __len__(self) -> int:
        return len(self._flows_by_hash)

    def deliver(self, flow_hash: int, packet: Packet) -> None:
        """Sends a caller's datagram to the upstream.

        Args:
            flow_hash: Hash of the flow.
            packet: The datagram.
        """
        flow = self._flows_by_hash.get(flow_hash) or self._open(flow_hash, packet)
        flow.last_used_at = self._clock()
        try:
            flow.socket.send(packet.payload)
        except OSError:
            return  # The upstream is unreachable; for UDP this is packet loss.

    def relay_until(self, stopping: threading.Event) -> None:
        """Relays the upstream's datagrams to the callers.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.is_set():
            ready_keys = self._selector.select(SELECT_SECONDS)
            if not ready_keys:
                # An empty selector returns immediately on some systems.
                stopping.wait(SELECT_SECONDS / 10)
            for key, _ in ready_keys:
                self._relay(key.data)

    def close_idle(self) -> None:
        """Closes flows that exceeded the idle timeout."""
        oldest_use_at = self._clock() - self._idle_timeout
        for flow in tuple(self._flows_by_hash.values()):
            if flow.last_used_at < oldest_use_at:
                self._close(flow)

    def close(self) -> None:
        """Closes all flows."""
        for flow in tuple(self._flows_by_hash.values()):
            self._close(flow)
        self._selector.close()

    def _open(self, flow_hash: int, packet: Packet) -> _DatagramFlow:
        family = socket.AF_INET6 if ":" in self._upstream[0] else socket.AF_INET
        upstream_socket = socket.socket(family, socket.SOCK_DGRAM)
        upstream_socket.setblocking(False)
        upstream_socket.connect(self._upstream)
        flow = _DatagramFlow(
            flow_hash=flow_hash,
            caller=packet.caller,
            service_address=packet.service_address,
            socket=upstream_socket,
            last_used_at=self._clock(),
        )
        with self._lock:
            self._flows_by_hash[flow_hash] = flow
            self._selector.register(upstream_socket, selectors.EVENT_READ, flow)
        return flow

    def _relay(self, flow: _DatagramFlow) -> None:
        try:
            payload = flow.socket.recv(MAX_DATAGRAM_SIZE)
        except OSError:
            return
        flow.last_used_at = self._clock()
        self._send_reply(Packet(flow.caller, flow.service_address, payload))

    def _close(self, flow: _DatagramFlow) -> None:
        with self._lock:
            if self._flows_by_hash.pop(flow.flow_hash, None) is None:
                return
            self._selector.unregister(flow.socket)
        flow.socket.close()
        self._on_flow_end(flow.flow_hash)
