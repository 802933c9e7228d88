"""A backend beside a node of the system, as the users' pages describe it."""

from __future__ import annotations

import http.client
import json
import random
import re
import socket
import threading
import time
from http import HTTPStatus
from typing import TYPE_CHECKING

from standins.flow_end import FIRST_RETRANSMISSION_S
from standins.flow_end import MAX_RETRANSMISSION_S
from standins.flow_end import MAX_RETRANSMISSIONS
from standins.flow_end import FlowEnd
from standins.packets import ACK
from standins.packets import BOUNCED
from standins.packets import FIN
from standins.packets import MASK
from standins.packets import RST
from standins.packets import SYN
from standins.packets import Address
from standins.packets import Packet
from standins.packets import decode
from standins.packets import encode


if TYPE_CHECKING:
    from standins.records import Record


TICK_S = 0.02
# As long as the usual TIME_WAIT.
ENDED_KEPT_S = 60.0
BEAT_TIMEOUT_S = 1.0
# A flow without packets is closed after this, which is below `idle-timeout-ms`.
IDLE_CLOSE_S = 11.0
# Requests that have a flow each: the backend closes it behind the response.
ONCE_PATH = "/dossier"
_HEAD = re.compile(rb"^(\S+) (\S+) HTTP/1\.1\r\n(.*?)\r\n\r\n", re.DOTALL)


class Backend:
    """Holds flows and runs their requests, one after the other.

    Attributes:
        opened: Route address, client's end and time of each opening packet that it
            answered first.
        runs: Request id and time of each run.
        leave_acknowledged_at: Time of the first acknowledgement of `draining`.
        resets_sent: Client's end and route of each flow that it has reset.
    """

    def __init__(
        self,
        name: str,
        host: str,
        service: str,
        *,
        app: int,
        outbound: int,
        control: int,
        beat_s: float,
        record: Record,
    ) -> None:
        """Binds the sockets and starts to serve and to beat."""
        self.id = f"i-{random.getrandbits(32):08x}"
        self.name, self.host, self.service = name, host, service
        self.opened: list[tuple[Address, Address, float]] = []
        self.runs: list[tuple[str, float]] = []
        self.resets_sent: set[tuple[Address, Address]] = set()
        self.state = "ready"
        self.leave_acknowledged_at: float | None = None
        self._app, self._control, self._beat_s = app, control, beat_s
        self._outbound = (host, outbound)
        self._record = record
        self._flows: dict[tuple[Address, Address], _BackendFlow] = {}
        self._ended: dict[tuple[Address, Address], tuple[FlowEnd, float]] = {}
        self._stopping = threading.Event()
        self._seq = 0
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, app))
        self._socket.settimeout(TICK_S)
        self._health = socket.create_server((host, app))
        self._health.settimeout(0.2)
        self._threads = [
            threading.Thread(target=run, daemon=True)
            for run in (self._serve, self._serve_health, self._beat)
        ]
        for thread in self._threads:
            thread.start()

    def leave(self) -> None:
        """Begins a planned shutdown: accepts no more connections, keeps its flows.

        It reports `draining` until it is acknowledged and goes on with its flows.
        """
        self.state = "draining"
        self._health.close()
        self._record.add(f"{self.name} is draining and has closed its health port")

    def stop(self) -> None:
        """Ends the backend without a word."""
        self._stopping.set()
        for thread in self._threads:
            thread.join(3.0)
        self._socket.close()
        self._health.close()

    def holds(self, client: Address, route: Address) -> bool:
        """Whether it holds an open flow."""
        flow = self._flows.get((client, route))
        return flow is not None and flow.is_open

    def _serve(self) -> None:
        while not self._stopping.is_set():
            try:
                datagram = self._socket.recv(2048)
            except OSError:
                datagram = b""
            now = time.monotonic()
            packet = decode(datagram) if datagram else None
            if packet is not None:
                self._on_packet(packet, datagram, now)
            for key, flow in tuple(self._flows.items()):
                flow.tick(now)
                if flow.is_over:
                    self._flows.pop(key)
                    self._ended[key] = (flow.end, now)
            for key, (_, at) in tuple(self._ended.items()):
                if now - at > ENDED_KEPT_S:
                    del self._ended[key]

    def _on_packet(self, packet: Packet, datagram: bytes, now: float) -> None:
        if not packet.is_intact:
            self._record.add(f"{self.name} got a packet that nobody wrote so")
            return
        key = (packet.source, packet.target)
        flow = self._flows.get(key)
        if packet.flags & SYN:
            if flow is None:
                self._ended.pop(key, None)
                self._flows[key] = flow = _BackendFlow(self, packet, now)
                self.opened.append((packet.target, packet.source, self._record.now))
                self._record.add(
                    f"{self.name} ({self.service}) takes the opening packet of "
                    f"{packet.source.host}:{packet.source.port} to "
                    f"{packet.target.host}:{packet.target.port}"
                )
            flow.answer_opening()
            return
        if flow is not None:
            flow.on_packet(packet, now)
        elif key in self._ended:
            end = self._ended[key][0]
            if packet.flags & RST:
                return
            if packet.data:
                # The number that the packet acknowledges, as RFC 9293 has it (3.5.2).
                self.resets_sent.add(key)
                self._record.add(
                    f"{self.name} answers data on the ended flow of "
                    f"{packet.source.host}:{packet.source.port} with a reset"
                )
                self.send(encode(end.own, end.peer, RST, packet.ack, 0))
            elif packet.flags & FIN:
                end.acknowledge()
        elif not packet.flags & RST:
            self.send(bytes((datagram[0] | BOUNCED, 0)) + datagram[2:])

    def send(self, datagram: bytes) -> None:
        """Sends a packet of its own through the node on its machine."""
        self._socket.sendto(datagram, self._outbound)

    def run(self, request_id: str, path: str) -> bytes:
        """Runs a request; returns the response."""
        self.runs.append((request_id, self._record.now))
        self._record.add(f"{self.name} ({self.service}) runs {request_id} {path}")
        body = f"{self.service} {self.name} {request_id}".encode()
        return (
            b"HTTP/1.1 200 OK\r\n"
            + f"X-Siskinshift-Backend-Signature: {self.id}\r\n".encode()
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )

    def _on_leave_acknowledged(self) -> None:
        if self.leave_acknowledged_at is None:
            self.leave_acknowledged_at = self._record.add(
                f"{self.name} has the acknowledgement that it is draining"
            )

    def _serve_health(self) -> None:
        while not self._stopping.is_set():
            try:
                connection, _ = self._health.accept()
            except TimeoutError:
                continue
            except OSError:
                # Closed, since the backend leaves.
                return
            with connection:
                connection.settimeout(0.3)
                try:
                    if connection.recv(4096):
                        status = "200 OK" if self.state == "ready" else "503 Leaving"
                        reply = f"HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n"
                        connection.sendall(reply.encode())
                except OSError:
                    pass

    def _beat(self) -> None:
        while not self._stopping.is_set():
            self._seq += 1
            body = {
                "service": self.service,
                "address": f"{self.host}:{self._app}",
                "zone": "krk-a",
                "version": "v1",
                "capacity": 2,
                "state": self.state,
                "warmup-left-ms": 0,
                "seq": self._seq,
            }
            connection = http.client.HTTPConnection(
                self.host, self._control, timeout=BEAT_TIMEOUT_S
            )
            try:
                connection.request(
                    "POST",
                    f"/Instances.Heartbeat/{self.id}",
                    json.dumps(body),
                    {"Content-Type": "application/json"},
                )
                status = connection.getresponse().status
                if status == HTTPStatus.OK and body["state"] == "draining":
                    self._on_leave_acknowledged()
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            self._stopping.wait(self._beat_s)


class _BackendFlow:
    def __init__(self, backend: Backend, opening: Packet, now: float) -> None:
        self._backend = backend
        self.end = FlowEnd(opening.target, opening.source, backend.send)
        self.end.expected = (opening.seq + 1) & MASK
        self.is_open = False
        self._is_reset = False
        self._tries = 0
        self._due = now + FIRST_RETRANSMISSION_S
        self._used_at = now

    @property
    def is_over(self) -> bool:
        return self._is_reset or self.end.is_given_up or self.end.is_closed

    def answer_opening(self) -> None:
        end = self.end
        self._backend.send(
            encode(end.own, end.peer, SYN | ACK, end.start, end.expected)
        )

    def on_packet(self, packet: Packet, now: float) -> None:
        if not self.is_open:
            if packet.ack != (self.end.start + 1) & MASK:
                return
            self.is_open = True
        if packet.flags & RST:
            self._is_reset = True
            return
        self._used_at = now
        self.end.on_packet(packet, now)
        while (match := _HEAD.match(self.end.received)) is not None:
            self.end.received = self.end.received[match.end() :]
            request_id = re.search(rb"X-Siskinshift-Request-Id: (\S+)", match[3])
            name = request_id[1].decode() if request_id else "?"
            path = match[2].decode()
            response = self._backend.run(name, path)
            closes = path == ONCE_PATH or self._backend.state != "ready"
            self.end.send(response, now, closes=closes)
        if self.end.is_fin_received and not self.end.is_fin_sent:
            self.end.send(b"", now, closes=True)

    def tick(self, now: float) -> None:
        if self.is_open:
            if now - self._used_at > IDLE_CLOSE_S:
                self.end.send(b"", now, closes=True)
                self._used_at = float("inf")
            self.end.tick(now)
            return
        if now < self._due:
            return
        self._tries += 1
        if self._tries > MAX_RETRANSMISSIONS:
            self._is_reset = True
            return
        self._due = now + min(
            FIRST_RETRANSMISSION_S * 2.0**self._tries, MAX_RETRANSMISSION_S
        )
        self.answer_opening()
