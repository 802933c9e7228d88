"""A client with one flow at a time."""

from __future__ import annotations

import random
import re
import socket
import time
from typing import TYPE_CHECKING

from standins.flow_end import FlowEnd
from standins.packets import ACK
from standins.packets import MASK
from standins.packets import RST
from standins.packets import SYN
from standins.packets import Address
from standins.packets import Packet
from standins.packets import decode
from standins.packets import encode


if TYPE_CHECKING:
    from standins.records import Record
    from standins.router import Router


SYN_AT_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
POLL_S = 0.01
_RESPONSE = re.compile(
    rb"^HTTP/1\.1 (\d+) [^\r]*\r\n.*?Content-Length: (\d+)\r\n\r\n", re.DOTALL
)


class FlowReset(Exception):
    """The flow was reset."""


class FlowTimeout(Exception):
    """No answer came in time."""


class Client:
    """A client at an address of its own.

    Attributes:
        end: Its end of the flow; None before the first.
        is_reset_by_system: Whether the reset that ended the flow is one of the
            system's own, not a backend's.
    """

    def __init__(
        self, host: str, packets_port: int, router: Router, record: Record
    ) -> None:
        """Binds the socket."""
        self.host = host
        self.is_reset_by_system = False
        self._router = router
        self._record = record
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, packets_port))
        self._socket.settimeout(POLL_S)
        self.end: FlowEnd | None = None

    def close_socket(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def open(self, port: int, route: Address) -> None:
        """Opens a flow from a port.

        Raises:
            FlowReset: It was refused.
            FlowTimeout: Nobody answered.
        """
        own = Address(self.host, port)
        self.end = end = FlowEnd(own, route, lambda packet: self._send(packet))
        self._record.add(
            f"{self.host}:{port} opens a flow to {route.host}:{route.port}"
        )
        started_at = time.monotonic()
        sent = 0
        while (elapsed := time.monotonic() - started_at) < OPEN_TIMEOUT_S:
            if sent < len(SYN_AT_S) and elapsed >= SYN_AT_S[sent]:
                self._send(encode(own, route, SYN, end.start, sent))
                sent += 1
            packet = self._receive()
            if packet is None:
                continue
            if packet.flags & RST:
                self._record.add(f"{self.host}:{port} is refused with a reset")
                raise FlowReset
            if packet.flags & (SYN | ACK) == SYN | ACK:
                end.expected = (packet.seq + 1) & MASK
                end.acknowledge()
                return
        self._record.add(f"{self.host}:{port} got no answer to its opening packets")
        raise FlowTimeout

    def request(self, request_id: str, path: str, *, timeout: float = 3.0) -> bytes:
        """Sends a request on the open flow and waits; returns the body.

        Raises:
            FlowReset: The flow was reset.
            FlowTimeout: No answer came in time.
        """
        assert self.end is not None
        self._record.add(f"{self.host}:{self.end.own.port} sends {request_id} {path}")
        head = (
            f"GET {path} HTTP/1.1\r\nHost: review\r\n"
            f"X-Siskinshift-Request-Id: {request_id}\r\n\r\n"
        )
        self.end.send(head.encode(), time.monotonic())
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            self.step()
            match = _RESPONSE.match(self.end.received)
            if match is None:
                continue
            end_at = match.end() + int(match[2])
            if len(self.end.received) < end_at:
                continue
            body = self.end.received[match.end() : end_at]
            self.end.received = self.end.received[end_at:]
            self._record.add(f"{request_id} is answered: {body.decode()}")
            return body
        self._record.add(f"{request_id} is not answered within {timeout} s")
        raise FlowTimeout

    def step(self) -> None:
        """Handles one packet, or waits a moment.

        Raises:
            FlowReset: The flow was reset.
        """
        assert self.end is not None
        packet = self._receive()
        if packet is not None and packet.flags & RST:
            kind = "a backend" if packet.is_intact else "the system"
            if packet.is_intact and packet.seq != self.end.expected:
                # Outside the window, so the flow goes on.
                self._record.add(f"{self.host} ignores a reset of {kind}")
                return
            self._record.add(f"{self.host}:{self.end.own.port} is reset by {kind}")
            self.is_reset_by_system = not packet.is_intact
            raise FlowReset
        if packet is not None and packet.is_intact:
            self.end.on_packet(packet, time.monotonic())
        self.end.tick(time.monotonic())

    def close(self, *, timeout: float = 5.0) -> bool:
        """Closes the flow; returns whether both ends have."""
        assert self.end is not None
        self.end.send(b"", time.monotonic(), closes=True)
        until = time.monotonic() + timeout
        while time.monotonic() < until and not self.end.is_closed:
            self.step()
        # Answers a late FIN of the backend, as an end that waits does.
        while time.monotonic() < until and self._receive() is not None:
            self.end.acknowledge()
        self._record.add(
            f"{self.host}:{self.end.own.port} has closed: {self.end.is_closed}"
        )
        return self.end.is_closed

    def _send(self, datagram: bytes) -> None:
        target = self._router.choose(datagram)
        if target is not None:
            self._socket.sendto(datagram, target)

    def _receive(self) -> Packet | None:
        try:
            packet = decode(self._socket.recv(2048))
        except OSError:
            return None
        if packet is None or self.end is None:
            return None
        is_own = (packet.source, packet.target) == (self.end.peer, self.end.own)
        return packet if is_own else None


def new_port() -> int:
    """Returns a port for a client whose ports do not matter."""
    return random.randrange(20_000, 30_000)
