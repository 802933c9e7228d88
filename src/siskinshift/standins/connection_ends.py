"""Stand-ins for the caller and the upstream of connection flows.

They implement the part of the platform's published packet format that tests need: a
handshake, requests and replies of one packet each, retransmission, reset and close.
The checksum of each packet is keyed, so that tests detect a packet that the system
modified.
"""

from __future__ import annotations

import socket
import struct
import threading
import time
from typing import TYPE_CHECKING

import xxhash
from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import FLOW_SIZE
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import caller_host
from siskinshift.connections.segment import is_between
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.packets import decode_from_upstream
from siskinshift.runtime.event_loop import open_datagram_socket


if TYPE_CHECKING:
    from random import Random

    from siskinshift.connections.segment import Segment


_HEADER = struct.Struct("!BBHH4s4sHIIII")
_CHECKSUM_OFFSET = 16
_WIRE_BITS = {SYN: 4, ACK: 64, FIN: 1, RESET: 32, BOUNCED: 16}
_CHECKSUM_KEY = b"known to both ends only"
_SEQUENCE_MASK = 0xFFFFFFFF
SYN_RETRANSMIT_SECONDS = (0.2, 0.6)
# Largest distance between the number of a reset and the one that the caller of an open
# flow acknowledged last.
RESET_WINDOW_BYTES = 76_800
POLL_SECONDS = 0.02


def encode_packet(
    flow: bytes,
    flags: int,
    *,
    seq: int,
    ack: int,
    data: bytes = b"",
    from_caller: bool,
) -> bytes:
    """Encodes a packet of the caller or the upstream, with its checksum.

    Args:
        flow: Identity of the flow.
        flags: Flags of `segment`.
        seq: Sequence number.
        ack: Acknowledged sequence number; in a SYN, the number of retransmissions.
        data: Payload.
        from_caller: Whether the caller sends it, not the upstream.

    Returns:
        The packet.
    """
    caller = (flow[6:10], int.from_bytes(flow[0:2], "big"))
    service = (flow[2:6], int.from_bytes(flow[10:12], "big"))
    source, target = (caller, service) if from_caller else (service, caller)
    wire_flags = sum(bit for flag, bit in _WIRE_BITS.items() if flags & flag)
    fields = (wire_flags, 0, len(data), source[1], target[0], source[0], target[1])
    header_without_checksum = _HEADER.pack(*fields, 0, seq, ack, 0)
    return (
        _HEADER.pack(*fields, _checksum(header_without_checksum, data), seq, ack, 0)
        + data
    )


def is_checksum_valid(datagram: bytes) -> bool:
    """Verifies the checksum of a packet.

    Args:
        datagram: The packet.

    Returns:
        Whether the packet is unmodified.
    """
    (checksum,) = struct.unpack_from("!I", datagram, _CHECKSUM_OFFSET)
    header = bytearray(datagram[: _HEADER.size])
    header[0] &= ~_WIRE_BITS[BOUNCED]
    header[1] = 0
    header[_CHECKSUM_OFFSET : _CHECKSUM_OFFSET + 4] = bytes(4)
    header[28:32] = bytes(4)
    return bool(checksum == _checksum(bytes(header), datagram[_HEADER.size :]))


def _checksum(header: bytes, data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(_CHECKSUM_KEY + header + data) & _SEQUENCE_MASK


@define(eq=False)
class _UpstreamFlow:
    opening_seq: int
    next_seq: int
    expected_seq: int
    replies_by_seq: dict[int, bytes] = Factory(dict)


@frozen
class UpstreamRecord:
    """Packets and requests that an upstream received.

    Attributes:
        unknown_flow_packets: Packets of flows that it does not hold.
        corrupted: Packets with a wrong format or checksum.
        executed: Requests in the order in which they ran.
        opened_at: Times at which it received a SYN that it accepted, in seconds of the
            monotonic clock.
    """

    unknown_flow_packets: list[bytes] = Factory(list)
    corrupted: list[bytes] = Factory(list)
    executed: list[bytes] = Factory(list)
    opened_at: list[float] = Factory(list)


class ConnectionUpstream:
    """An upstream that replies "name|request".

    Attributes:
        name: Name in each reply.
        record: Packets and requests received so far.
        is_full: Whether it bounces the SYN of a new flow.
        withholds_replies: Whether it runs requests without sending the replies.
    """

    def __init__(
        self,
        name: str,
        *,
        address: tuple[str, int],
        outlet: tuple[str, int],
        random: Random,
    ) -> None:
        """Binds the sockets.

        Args:
            name: Name in each reply.
            address: Address on which it receives packets.
            outlet: Address of its agent, to which it sends packets.
            random: Source of initial sequence numbers.
        """
        self.name = name
        self.record = UpstreamRecord()
        self.is_full = False
        self.withholds_replies = False
        self._outlet = outlet
        self._random = random
        self._flows: dict[bytes, _UpstreamFlow] = {}
        self._stopping = threading.Event()
        self._socket = open_datagram_socket(*address)
        self._socket.settimeout(POLL_SECONDS)
        # Health checks connect to the same address over TCP; a listener is enough to
        # pass them.
        self._listener = socket.create_server(address)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts receiving packets."""
        self._thread.start()

    def stop(self) -> None:
        """Stops like a crash: sends nothing and discards all flows."""
        self._stopping.set()
        self._thread.join()
        self._listener.close()
        self._socket.close()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                datagram = self._socket.recv(65535)
            except OSError:
                continue
            segment = decode_from_caller(datagram)
            if segment is None or not is_checksum_valid(datagram):
                self.record.corrupted.append(datagram)
                continue
            self._on_segment(segment)

    def _on_segment(self, segment: Segment) -> None:
        flow = self._flows.get(segment.flow)
        if segment.flags & SYN:
            if flow is not None and flow.opening_seq != segment.seq:
                # The caller has closed the earlier flow of its port.
                flow = None
            if flow is None and self.is_full:
                self._bounce(segment)
                return
            if flow is None:
                initial_seq = self._random.getrandbits(32)
                expected_seq = (segment.seq + 1) & _SEQUENCE_MASK
                flow = _UpstreamFlow(segment.seq, initial_seq, expected_seq)
                self._flows[segment.flow] = flow
            self.record.opened_at.append(time.monotonic())
            self._send(segment.flow, SYN | ACK, flow.next_seq, flow.expected_seq)
            return
        if flow is None:
            self.record.unknown_flow_packets.append(segment.datagram)
            self._bounce(segment)
        elif segment.flags & (RESET | FIN):
            self._flows.pop(segment.flow)
        elif segment.length:
            self._reply(flow, segment)

    def _reply(self, flow: _UpstreamFlow, segment: Segment) -> None:
        reply = flow.replies_by_seq.get(segment.seq)
        if reply is None:
            if segment.seq != flow.expected_seq:
                return
            request = segment.datagram[_HEADER.size :]
            self.record.executed.append(request)
            flow.expected_seq = (flow.expected_seq + segment.length) & _SEQUENCE_MASK
            seq = (flow.next_seq + 1) & _SEQUENCE_MASK
            data = self.name.encode() + b"|" + request
            flow.next_seq = (flow.next_seq + len(data)) & _SEQUENCE_MASK
            reply = encode_packet(
                segment.flow,
                ACK,
                seq=seq,
                ack=flow.expected_seq,
                data=data,
                from_caller=False,
            )
            flow.replies_by_seq[segment.seq] = reply
        if not self.withholds_replies:
            self._socket.sendto(reply, self._outlet)

    def _send(self, flow: bytes, flags: int, seq: int, ack: int) -> None:
        packet = encode_packet(flow, flags, seq=seq, ack=ack, from_caller=False)
        self._socket.sendto(packet, self._outlet)

    def _bounce(self, segment: Segment) -> None:
        datagram = segment.datagram
        bounced = bytes((datagram[0] | _WIRE_BITS[BOUNCED],)) + datagram[1:]
        self._socket.sendto(bounced, self._outlet)


class FlowReset(Exception):
    """Raised when the flow was reset."""


class FlowTimeout(Exception):
    """Raised when no reply arrived within the timeout."""


class ConnectionCaller:
    """The caller's side of one flow, with blocking methods."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        router: tuple[str, int],
        flow: bytes,
        random: Random,
    ) -> None:
        """Initializes the caller without opening the flow.

        Args:
            sock: Socket at the caller's address; one flow uses it at a time.
            router: Balancer to which routers send the packets; may be changed later.
            flow: Identity of the flow.
            random: Source of the initial sequence number.
        """
        assert len(flow) == FLOW_SIZE
        self.router = router
        self.flow = flow
        self._socket = sock
        self._seq = random.getrandbits(32)
        self._received = 0
        self._is_open = False

    @property
    def host(self) -> str:
        """IP address of the caller."""
        return caller_host(self.flow)

    @property
    def port(self) -> int:
        """Port of the caller."""
        return int.from_bytes(self.flow[0:2], "big")

    def close(self) -> None:
        """Closes the socket without sending anything."""
        self._socket.close()

    def open(self, *, timeout: float = 1.4) -> None:
        """Opens the flow.

        Raises:
            FlowReset: The flow was rejected.
            FlowTimeout: No reply arrived within the timeout.
        """
        packets = [
            encode_packet(
                self.flow, SYN, seq=self._seq, ack=retransmissions, from_caller=True
            )
            for retransmissions in range(1 + len(SYN_RETRANSMIT_SECONDS))
        ]
        reply = self._exchange(
            packets, SYN_RETRANSMIT_SECONDS, timeout, expected_flag=SYN
        )
        self._seq = (self._seq + 1) & _SEQUENCE_MASK
        self._received = (reply.seq + 1) & _SEQUENCE_MASK
        self._is_open = True
        self.acknowledge()

    def request(self, data: bytes, *, timeout: float = 3.0) -> bytes:
        """Sends a request and waits for its reply.

        Args:
            data: The request, one packet.
            timeout: Seconds to wait, including retransmissions.

        Returns:
            The reply.

        Raises:
            FlowReset: The flow was reset.
            FlowTimeout: No reply arrived within the timeout.
        """
        packet = encode_packet(
            self.flow,
            ACK,
            seq=self._seq,
            ack=self._received,
            data=data,
            from_caller=True,
        )
        retransmit_delays = (0.2, 0.6, 1.4)
        reply = self._exchange(
            [packet] * 4, retransmit_delays, timeout, expected_flag=ACK
        )
        self._seq = (self._seq + len(data)) & _SEQUENCE_MASK
        self._received = (reply.seq + reply.length) & _SEQUENCE_MASK
        self.acknowledge()
        return reply.datagram[_HEADER.size :]

    def acknowledge(self) -> None:
        """Sends an acknowledgement without data."""
        packet = encode_packet(
            self.flow, ACK, seq=self._seq, ack=self._received, from_caller=True
        )
        self._socket.sendto(packet, self.router)

    def wait_for_reset(self, *, timeout: float) -> None:
        """Waits for a reset without sending anything.

        Raises:
            FlowReset: The flow was reset, as expected.
            FlowTimeout: No reset arrived within the timeout.
        """
        self._exchange([], (), timeout, expected_flag=RESET)

    def _exchange(
        self,
        packets: list[bytes],
        retransmit_delays: tuple[float, ...],
        timeout: float,
        *,
        expected_flag: int,
    ) -> Segment:
        started_at = time.monotonic()
        due_times = [started_at, *(started_at + delay for delay in retransmit_delays)][
            : len(packets)
        ]
        while time.monotonic() - started_at < timeout:
            while due_times and time.monotonic() >= due_times[0]:
                due_times.pop(0)
                self._socket.sendto(packets.pop(0), self.router)
            reply = self._receive()
            if reply is None:
                continue
            if reply.flags & RESET and self._accepts_reset(reply.seq):
                raise FlowReset
            if expected_flag == SYN and reply.flags & SYN:
                return reply
            if expected_flag == ACK and reply.length and reply.seq == self._received:
                return reply
        raise FlowTimeout

    def _accepts_reset(self, seq: int) -> bool:
        """Returns whether a reset applies; before the flow is open, any one does."""
        lowest = (self._received - RESET_WINDOW_BYTES) & _SEQUENCE_MASK
        highest = (self._received + RESET_WINDOW_BYTES) & _SEQUENCE_MASK
        return not self._is_open or is_between(seq, lowest, highest)

    def _receive(self) -> Segment | None:
        self._socket.settimeout(POLL_SECONDS)
        try:
            datagram = self._socket.recv(65535)
        except OSError:
            return None
        segment = decode_from_upstream(datagram)
        if segment is None or segment.flow != self.flow:
            return None
        is_reset = bool(segment.flags & RESET)
        return segment if is_reset or is_checksum_valid(datagram) else None
