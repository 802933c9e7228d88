"""Receives uploads without a slot; only their last packet waits for one.

Load: an upload of 40 KB takes three or more round trips but only milliseconds of the
upstream. While it holds a slot, other requests wait although the upstream is idle.

All packets but the last go to the upstream as they arrive. The last one is shorter than
a full packet. The network reorders packets, so a short packet is held until all bytes
before it have been received. If a later byte has arrived by then, it was not the last
one. Otherwise it counts as the last one even if it is in the middle: it waits for a
slot, while later packets go to the upstream as they arrive, and the request holds its
slot until the upstream has all of them. An upload whose last packet is full is not
recognized and runs when the upstream has it.

The window limits what the upstream stores for unfinished transfers. A flow without a
place in it is handled like any request, from its next packet on.
"""

from __future__ import annotations

from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import is_at_or_after


# Bytes of data in a full packet.
FULL_PACKET_BYTES = 1200
# Transfers in the window: ten times those in progress at the mean rate of an upstream.
MAX_TRANSFERS = 32
# Bytes of all transfers in the window; 32 uploads of 40 KB are 1.3 MB.
MAX_WINDOW_BYTES = 2 << 20
# Bytes of one transfer: six times the largest known upload.
MAX_TRANSFER_BYTES = 256 << 10
# A transfer without packets for this long has stalled: senders retransmit after 1.6 s
# at most.
STALL_SECONDS = 2.0
# Ranges received out of order of one transfer; a sender has 16 packets in flight.
MAX_RANGES = 32


@define(eq=False)
class Transfer:
    """State of one upload.

    Attributes:
        next_seq: Sequence number up to which all bytes were received.
        used_at: Time of the last packet, seconds.
        received: Bytes received in order.
        ranges: End by start of the ranges received after a gap.
        held: The short packet that is held; None before it.
        is_complete: Whether the held packet was passed to the queue.
        has_place: Whether it has a place in the window.
    """

    next_seq: int
    used_at: float
    received: int = 0
    ranges: dict[int, int] = Factory(dict)
    held: Segment | None = None
    is_complete: bool = False
    has_place: bool = True

    def add(self, seq: int, length: int) -> None:
        """Adds a packet to the received bytes.

        Args:
            seq: Its sequence number.
            length: Bytes of data.
        """
        end = (seq + length) % SEQUENCE_SPACE
        if is_at_or_after(self.next_seq, end):
            return
        if len(self.ranges) < MAX_RANGES or seq == self.next_seq:
            self.ranges[seq] = end
        while self.next_seq in self.ranges:
            following = self.ranges.pop(self.next_seq)
            self.received += (following - self.next_seq) % SEQUENCE_SPACE
            self.next_seq = following


@frozen
class Receipt:
    """What to do with a packet of an upload.

    Attributes:
        forwarded: Packets for the upstream.
        last: The last packet, which now waits for a slot; None if there is none.
        is_repeated_last: Whether the packet repeats the last one.
    """

    forwarded: tuple[bytes, ...] = ()
    last: Segment | None = None
    is_repeated_last: bool = False


class UploadReceipt:
    """The uploads in progress of one upstream.

    Attributes:
        window_bytes: Bytes received in order of the transfers in the window.
    """

    def __init__(self) -> None:
        """Initializes the window without transfers."""
        self.window_bytes = 0
        self._places = 0
        self._transfers_by_flow: dict[bytes, Transfer] = {}

    def __len__(self) -> int:
        """Returns the number of transfers in the window."""
        return self._places

    def __bool__(self) -> bool:
        """Returns whether any flow has a transfer, with or without a place."""
        return bool(self._transfers_by_flow)

    def open(self, flow: bytes, first_seq: int, *, now: float) -> None:
        """Starts a transfer, if the window has a place.

        Args:
            flow: Its flow.
            first_seq: Sequence number of its first byte.
            now: Clock reading, seconds.
        """
        if self._has_place():
            self._transfers_by_flow[flow] = Transfer(first_seq, now)
            self._places += 1

    def receive(self, segment: Segment, *, now: float) -> Receipt | None:
        """Handles a packet with data.

        Args:
            segment: The packet.
            now: Clock reading, seconds.

        Returns:
            What to do; None if the flow has no place in the window.
        """
        transfer = self._transfers_by_flow.get(segment.flow)
        if transfer is None:
            return None
        transfer.used_at = now
        held = transfer.held
        if transfer.is_complete:
            is_last = held is not None and segment.seq == held.seq
            if is_last:
                return Receipt(is_repeated_last=True)
            return Receipt((segment.datagram,))
        if not self._keep_place(transfer):
            self.end(segment.flow)
            # The sender retransmits a held packet, which was not acknowledged.
            return None
        received_before = transfer.received
        receipt = self._add(transfer, segment)
        self.window_bytes += transfer.received - received_before
        return receipt

    def release(self, flow: bytes) -> None:
        """Frees the place of a transfer whose request starts.

        Args:
            flow: Its flow.
        """
        transfer = self._transfers_by_flow.get(flow)
        if transfer is not None:
            self._free_place(transfer)

    def end(self, flow: bytes) -> None:
        """Removes a transfer, since its request or flow has ended.

        Args:
            flow: Its flow.
        """
        transfer = self._transfers_by_flow.pop(flow, None)
        if transfer is not None:
            self._free_place(transfer)

    def clear(self) -> None:
        """Removes all transfers, since the upstream has ended."""
        for flow in tuple(self._transfers_by_flow):
            self.end(flow)

    def free_stalled(self, *, now: float) -> list[bytes]:
        """Frees the places of transfers that have stalled.

        Args:
            now: Clock reading, seconds.

        Returns:
            Their flows.
        """
        stalled = [
            flow
            for flow, transfer in self._transfers_by_flow.items()
            if transfer.has_place
            and not transfer.is_complete
            and now - transfer.used_at > STALL_SECONDS
        ]
        for flow in stalled:
            self.release(flow)
        return stalled

    def _free_place(self, transfer: Transfer) -> None:
        if transfer.has_place:
            transfer.has_place = False
            self._places -= 1
            self.window_bytes -= transfer.received

    def _has_place(self) -> bool:
        return len(self) < MAX_TRANSFERS and self.window_bytes < MAX_WINDOW_BYTES

    def _keep_place(self, transfer: Transfer) -> bool:
        if not transfer.has_place and self._has_place():
            transfer.has_place = True
            self._places += 1
            self.window_bytes += transfer.received
        return (
            transfer.has_place
            and transfer.received < MAX_TRANSFER_BYTES
            and self.window_bytes < MAX_WINDOW_BYTES
        )

    def _add(self, transfer: Transfer, segment: Segment) -> Receipt:
        forwarded: tuple[bytes, ...] = ()
        held = transfer.held
        if held is not None and is_at_or_after(segment.seq, held.next_sequence):
            forwarded = (held.datagram,)
            transfer.add(held.seq, held.length)
            transfer.held = None
        if segment.length >= FULL_PACKET_BYTES or is_at_or_after(
            transfer.next_seq, segment.next_sequence
        ):
            forwarded += (segment.datagram,)
            transfer.add(segment.seq, segment.length)
        elif any(is_at_or_after(s, segment.next_sequence) for s in transfer.ranges):
            # Bytes after this packet were received, so it is not the last one.
            forwarded += (segment.datagram,)
            transfer.add(segment.seq, segment.length)
        else:
            transfer.held = segment
        last = transfer.held
        if last is None or last.seq != transfer.next_seq:
            return Receipt(forwarded)
        transfer.is_complete = True
        return Receipt(forwarded, last)
