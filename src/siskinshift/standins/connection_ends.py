"""Stand-ins of the two ends of connection flows, from the platform's published format.

They speak just enough of a transport connection for tests: a handshake, requests and
answers of one packet each, copies of what is not acknowledged, resets and the end.
The sum of each packet is keyed, so that a packet that the system changed is seen.
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
from siskinshift.platform.packets import decode_from_caller
from siskinshift.platform.packets import decode_from_upstream
from siskinshift.runtime.event_loop import open_datagram_socket


if TYPE_CHECKING:
    from random import Random

    from siskinshift.connections.segment import Segment


_HEADER = struct.Struct("!BBHH4s4sHIIII")
_SUM_OFFSET = 16
_WIRE_BITS = {SYN: 4, ACK: 64, FIN: 1, RESET: 32, BOUNCED: 16}
_KEY = b"known to both ends only"
_SEQUENCE_MASK = 0xFFFFFFFF
COPY_SECONDS = (0.2, 0.6)
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
    """Writes a packet of either end, with its sum.

    Args:
        flow: The flow.
        flags: Flags of `segment`.
        seq: Sequence number.
        ack: Acknowledged number, or the number of an opening packet's copy.
        data: What it carries.
        from_caller: Which end sends it.

    Returns:
        The packet.
    """
    caller = (flow[6:10], int.from_bytes(flow[0:2], "big"))
    service = (flow[2:6], int.from_bytes(flow[10:12], "big"))
    source, target = (caller, service) if from_caller else (service, caller)
    wire_flags = sum(bit for flag, bit in _WIRE_BITS.items() if flags & flag)
    fields = (wire_flags, 0, len(data), source[1], target[0], source[0], target[1])
    bare = _HEADER.pack(*fields, 0, seq, ack, 0)
    return _HEADER.pack(*fields, _sum_of(bare, data), seq, ack, 0) + data


def is_unchanged(datagram: bytes) -> bool:
    """Checks a packet's sum.

    Args:
        datagram: The packet.

    Returns:
        Whether it is as its sender wrote it.
    """
    (claimed,) = struct.unpack_from("!I", datagram, _SUM_OFFSET)
    header = bytearray(datagram[: _HEADER.size])
    header[0] &= ~_WIRE_BITS[BOUNCED]
    header[1] = 0
    header[_SUM_OFFSET : _SUM_OFFSET + 4] = bytes(4)
    header[28:32] = bytes(4)
    return bool(claimed == _sum_of(bytes(header), datagram[_HEADER.size :]))


def _sum_of(header: bytes, data: bytes) -> int:
    return xxhash.xxh3_64_intdigest(_KEY + header + data) & _SEQUENCE_MASK


@define(eq=False)
class _HeldFlow:
    next_seq: int
    expected: int
    answers: dict[int, bytes] = Factory(dict)


@frozen
class UpstreamRecord:
    """What an upstream saw.

    Attributes:
        foreign: Packets of flows that it does not hold.
        corrupted: Packets that are not as their sender wrote them.
        executed: Requests in the order in which they ran.
        opened_at: When it took an opening packet, seconds by the steady clock.
    """

    foreign: list[bytes] = Factory(list)
    corrupted: list[bytes] = Factory(list)
    executed: list[bytes] = Factory(list)
    opened_at: list[float] = Factory(list)


class ConnectionUpstream:
    """An upstream that answers "name|request".

    Attributes:
        name: Its name in each answer.
        record: What it saw.
        is_full: Whether it returns opening packets.
        withholds_responses: Whether it runs requests and does not answer yet.
    """

    def __init__(
        self,
        name: str,
        *,
        address: tuple[str, int],
        outlet: tuple[str, int],
        random: Random,
    ) -> None:
        """Binds its socket.

        Args:
            name: Its name.
            address: Where it takes packets.
            outlet: Where its agent takes them.
            random: Draws its first sequence numbers.
        """
        self.name = name
        self.record = UpstreamRecord()
        self.is_full = False
        self.withholds_responses = False
        self._outlet = outlet
        self._random = random
        self._flows: dict[bytes, _HeldFlow] = {}
        self._stopping = threading.Event()
        self._socket = open_datagram_socket(*address)
        self._socket.settimeout(POLL_SECONDS)
        # Health checks come by TCP at the same address; a listener shows that the
        # process is there.
        self._listener = socket.create_server(address)
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts to answer."""
        self._thread.start()

    def stop(self) -> None:
        """Ends as a crash does: nothing is said, flows are gone."""
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
            if segment is None or not is_unchanged(datagram):
                self.record.corrupted.append(datagram)
                continue
            self._on_segment(segment)

    def _on_segment(self, segment: Segment) -> None:
        flow = self._flows.get(segment.flow)
        if segment.flags & SYN:
            if flow is None and self.is_full:
                self._bounce(segment)
                return
            if flow is None:
                first = self._random.getrandbits(32)
                flow = _HeldFlow(first, (segment.seq + 1) & _SEQUENCE_MASK)
                self._flows[segment.flow] = flow
            self.record.opened_at.append(time.monotonic())
            self._send(segment.flow, SYN | ACK, flow.next_seq, flow.expected)
            return
        if flow is None:
            self.record.foreign.append(segment.datagram)
            self._bounce(segment)
        elif segment.flags & (RESET | FIN):
            self._flows.pop(segment.flow)
        elif segment.length:
            self._answer(flow, segment)

    def _answer(self, flow: _HeldFlow, segment: Segment) -> None:
        answer = flow.answers.get(segment.seq)
        if answer is None:
            if segment.seq != flow.expected:
                return
            request = segment.datagram[_HEADER.size :]
            self.record.executed.append(request)
            flow.expected = (flow.expected + segment.length) & _SEQUENCE_MASK
            seq = (flow.next_seq + 1) & _SEQUENCE_MASK
            data = self.name.encode() + b"|" + request
            flow.next_seq = (flow.next_seq + len(data)) & _SEQUENCE_MASK
            answer = encode_packet(
                segment.flow,
                ACK,
                seq=seq,
                ack=flow.expected,
                data=data,
                from_caller=False,
            )
            flow.answers[segment.seq] = answer
        if not self.withholds_responses:
            self._socket.sendto(answer, self._outlet)

    def _send(self, flow: bytes, flags: int, seq: int, ack: int) -> None:
        packet = encode_packet(flow, flags, seq=seq, ack=ack, from_caller=False)
        self._socket.sendto(packet, self._outlet)

    def _bounce(self, segment: Segment) -> None:
        wire = segment.datagram
        bounced = bytes((wire[0] | _WIRE_BITS[BOUNCED],)) + wire[1:]
        self._socket.sendto(bounced, self._outlet)


class FlowReset(Exception):
    """The flow was reset."""


class FlowTimeout(Exception):
    """Nothing came in time."""


class ConnectionCaller:
    """A caller's end of one flow; calls block."""

    def __init__(
        self,
        *,
        sock: socket.socket,
        router: tuple[str, int],
        flow: bytes,
        random: Random,
    ) -> None:
        """Prepares a flow.

        Args:
            sock: Socket at the caller's address; one flow uses it at a time.
            router: The balancer that the routers choose; change it at any time.
            flow: The flow.
            random: Draws the first sequence number.
        """
        assert len(flow) == FLOW_SIZE
        self.router = router
        self.flow = flow
        self._socket = sock
        self._seq = random.getrandbits(32)
        self._received = 0

    def close(self) -> None:
        """Gives the caller's address back; says nothing."""
        self._socket.close()

    def open(self, *, timeout: float = 1.4) -> None:
        """Opens the flow.

        Raises:
            FlowReset: It was refused.
            FlowTimeout: Nobody answered.
        """
        packets = [
            encode_packet(self.flow, SYN, seq=self._seq, ack=copy, from_caller=True)
            for copy in range(1 + len(COPY_SECONDS))
        ]
        answer = self._exchange(packets, COPY_SECONDS, timeout, wants=SYN)
        self._seq = (self._seq + 1) & _SEQUENCE_MASK
        self._received = (answer.seq + 1) & _SEQUENCE_MASK
        self.acknowledge()

    def request(self, data: bytes, *, timeout: float = 3.0) -> bytes:
        """Sends a request and waits for its answer.

        Args:
            data: The request, one packet.
            timeout: Seconds.

        Returns:
            The answer.

        Raises:
            FlowReset: The flow was reset.
            FlowTimeout: No answer in time.
        """
        packet = encode_packet(
            self.flow,
            ACK,
            seq=self._seq,
            ack=self._received,
            data=data,
            from_caller=True,
        )
        pauses = (0.2, 0.6, 1.4)
        answer = self._exchange([packet] * 4, pauses, timeout, wants=ACK)
        self._seq = (self._seq + len(data)) & _SEQUENCE_MASK
        self._received = (answer.seq + answer.length) & _SEQUENCE_MASK
        self.acknowledge()
        return answer.datagram[_HEADER.size :]

    def acknowledge(self) -> None:
        """Sends a packet without data."""
        packet = encode_packet(
            self.flow, ACK, seq=self._seq, ack=self._received, from_caller=True
        )
        self._socket.sendto(packet, self.router)

    def wait_for_reset(self, *, timeout: float) -> None:
        """Waits without sending.

        Raises:
            FlowReset: The flow was reset, as hoped for.
            FlowTimeout: It was not.
        """
        self._exchange([], (), timeout, wants=RESET)

    def _exchange(
        self,
        packets: list[bytes],
        pauses: tuple[float, ...],
        timeout: float,
        *,
        wants: int,
    ) -> Segment:
        started = time.monotonic()
        due = [started, *(started + pause for pause in pauses)][: len(packets)]
        while time.monotonic() - started < timeout:
            while due and time.monotonic() >= due[0]:
                due.pop(0)
                self._socket.sendto(packets.pop(0), self.router)
            answer = self._receive()
            if answer is None:
                continue
            if answer.flags & RESET:
                raise FlowReset
            if wants == SYN and answer.flags & SYN:
                return answer
            if wants == ACK and answer.length and answer.seq == self._received:
                return answer
        raise FlowTimeout

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
        return segment if is_reset or is_unchanged(datagram) else None
