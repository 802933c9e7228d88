"""Decides which datagram a balancer sends next over its own link, and when.

Load: callers send bursts of 16 packets of uploads, each of which takes 2 ms of a link
of 5 Mbit/s. The queue of such a link holds 32 ms and drops the rest silently, short
requests and opening packets as well as uploads. Packets therefore wait here.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

# These modules register the queues.
from siskinshift.connections.egress import arrival_queue as _arrival_queue  # noqa: F401
from siskinshift.connections.egress import flow_queue as _flow_queue  # noqa: F401
from siskinshift.connections.egress.accounts import COPY
from siskinshift.connections.egress.accounts import EXPIRED
from siskinshift.connections.egress.accounts import FULL
from siskinshift.connections.egress.bounds import DROP_ORDER
from siskinshift.connections.egress.bounds import EXPIRY_INTERVAL_SECONDS
from siskinshift.connections.egress.bounds import MAX_WAIT_SECONDS_BY_CLASS
from siskinshift.connections.egress.bounds import MAX_WAITING_BYTES
from siskinshift.connections.egress.bounds import MAX_WAITING_CONTROL_BYTES
from siskinshift.connections.egress.bounds import MAX_WAITING_CONTROL_PACKETS
from siskinshift.connections.egress.bounds import MAX_WAITING_PACKETS
from siskinshift.connections.egress.bulk_share import BulkShare
from siskinshift.connections.egress.class_queue import new_queue
from siskinshift.connections.egress.identity import packet_identity
from siskinshift.connections.egress.pace import LinkPace
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.egress.waiting_packet import WaitingPacket


if TYPE_CHECKING:
    from siskinshift.connections.actions import ToPeer
    from siskinshift.connections.egress.accounts import EgressAccounts
    from siskinshift.connections.egress.class_queue import ClassQueue
    from siskinshift.connections.egress.identity import PacketIdentity


# Fraction of the link's rate at which datagrams are sent. HTTP to the store and to
# other nodes, up to 21 KB a second, takes the same link and is not seen here.
PACED_FRACTION = 0.95
# Queue that a link of 5 Mbit/s holds; it drops the rest.
LINK_QUEUE_SECONDS = 0.032
# Longest queue in kernel and link, well below that. Bulk packets fill less of it, so
# that the next packet of another class is not delayed by all 8 ms. The event loop wakes
# up to 1 ms late, while 4 ms are still queued.
MAX_LINK_QUEUE_SECONDS = 0.008
MAX_BULK_LINK_QUEUE_SECONDS = 0.006
# IP and UDP headers, which the length of a message does not include.
DATAGRAM_HEADER_BYTES = 28

# Iterating over the enumeration itself takes three times as long, because it looks up
# each member by its name in Python code. This is done for each packet that waits.
_CLASSES = tuple(TrafficClass)
_HORIZONS = tuple(
    MAX_BULK_LINK_QUEUE_SECONDS if c is TrafficClass.BULK else MAX_LINK_QUEUE_SECONDS
    for c in TrafficClass
)


class EgressScheduler:
    """Holds datagrams until the link has room for them.

    Attributes:
        next_due: When `release` is due next: clock reading, seconds.
        waiting_bytes: Bytes on the link of all waiting packets.
    """

    def __init__(
        self,
        *,
        link_bytes_per_second: float,
        min_bulk_fraction: float,
        accounts: EgressAccounts,
    ) -> None:
        """Initializes a scheduler without waiting packets.

        Args:
            link_bytes_per_second: Capacity of the link.
            min_bulk_fraction: Smallest fraction of the link for bulk traffic, 0 to 1.
            accounts: Counts what is sent and dropped.
        """
        self.next_due = float("inf")
        self.waiting_bytes = 0
        self._waiting_packets = 0
        self._control_bytes = 0
        self._control_packets = 0
        self._pace = LinkPace(PACED_FRACTION * link_bytes_per_second)
        self._share = BulkShare(min_bulk_fraction)
        self._accounts = accounts
        self._queues: tuple[ClassQueue, ...] = tuple(new_queue(c) for c in TrafficClass)
        self._identities: set[PacketIdentity] = set()
        self._expires_at = float("inf")

    def __len__(self) -> int:
        return self._waiting_packets

    def offer(self, action: ToPeer, *, now: float) -> bool:
        """Handles a datagram that is to be sent.

        Args:
            action: The datagram.
            now: Clock reading, seconds.

        Returns:
            Whether the caller has to send it at once. Otherwise it waits or is dropped,
            and `release` may be due.
        """
        size = len(action.datagram) + DATAGRAM_HEADER_BYTES
        if not self._waiting_packets:
            horizon = _HORIZONS[action.traffic_class]
            left_at = self._pace.try_consume(size, horizon=horizon, now=now)
            if left_at is not None:
                self._on_sent(action, size, left_at)
                return True
        packet = WaitingPacket(action, size, now, packet_identity(action))
        if packet.identity is not None:
            if packet.identity in self._identities:
                self._drop(packet, COPY, now)
                return False
            self._identities.add(packet.identity)
        self._add(packet)
        self._enforce_bounds(now)
        self._update_next_due()
        return False

    def release(self, *, now: float) -> list[ToPeer]:
        """Returns the datagrams that are to be sent now, in order.

        Args:
            now: Clock reading, seconds.
        """
        if now >= self._expires_at:
            self._drop_expired(now)
        released = self._send_control_overflow(now)
        while self._waiting_packets:
            traffic_class = self._next_class()
            room_at = self._room_at(traffic_class)
            if room_at > now:
                self.next_due = min(room_at, self._expires_at)
                return released
            released.append(self._send_first(traffic_class, now))
        self.next_due = self._expires_at = float("inf")
        return released

    def drain(self, *, now: float) -> list[ToPeer]:
        """Returns all waiting datagrams in order, at the end of the process.

        Args:
            now: Clock reading, seconds.
        """
        drained = []
        while self._waiting_packets:
            drained.append(self._send_first(self._next_class(), now))
        self.next_due = self._expires_at = float("inf")
        return drained

    @property
    def _is_over_bounds(self) -> bool:
        return (
            self.waiting_bytes - self._control_bytes > MAX_WAITING_BYTES
            or self._waiting_packets - self._control_packets > MAX_WAITING_PACKETS
        )

    @property
    def _is_control_over_bounds(self) -> bool:
        return (
            self._control_bytes > MAX_WAITING_CONTROL_BYTES
            or self._control_packets > MAX_WAITING_CONTROL_PACKETS
        )

    def _send_control_overflow(self, now: float) -> list[ToPeer]:
        """Returns the control messages beyond their bounds, which are sent unpaced."""
        released: list[ToPeer] = []
        while self._is_control_over_bounds:
            released.append(self._send_first(TrafficClass.CONTROL, now))
        if released:
            # Other packets do not wait for what the link has dropped.
            self._pace.limit_queue(LINK_QUEUE_SECONDS, now=now)
        return released

    def _next_class(self) -> TrafficClass:
        bulk = self._queues[TrafficClass.BULK]
        if bulk and self._share.covers(bulk.first.size):
            return TrafficClass.BULK
        for traffic_class in _CLASSES:
            if self._queues[traffic_class]:
                return traffic_class
        raise LookupError("no packet waits")

    def _room_at(self, traffic_class: TrafficClass) -> float:
        size = self._queues[traffic_class].first.size
        return self._pace.room_at(size, horizon=_HORIZONS[traffic_class])

    def _send_first(self, traffic_class: TrafficClass, now: float) -> ToPeer:
        packet = self._queues[traffic_class].pop_first()
        self._remove(packet)
        if traffic_class is TrafficClass.BULK:
            self._share.on_bulk_sent(packet.size)
        elif self._queues[TrafficClass.BULK]:
            self._share.on_other_sent(packet.size)
        if not self._queues[TrafficClass.BULK]:
            self._share.reset()
        left_at = self._pace.consume(packet.size, now=now)
        self._on_sent(packet.action, packet.size, left_at)
        self._accounts.record_wait(traffic_class, now - packet.arrived_at)
        return packet.action

    def _on_sent(self, action: ToPeer, size: int, left_at: float) -> None:
        if action.departure is not None:
            action.departure.left_at = left_at
        # Without a call: this is done for each packet of a fast link.
        self._accounts.sent_packets[action.traffic_class] += 1
        self._accounts.sent_bytes[action.traffic_class] += size

    def _add(self, packet: WaitingPacket) -> None:
        if not self._waiting_packets:
            self._expires_at = packet.arrived_at + EXPIRY_INTERVAL_SECONDS
        self._queues[packet.action.traffic_class].add(packet)
        self._waiting_packets += 1
        self.waiting_bytes += packet.size
        if packet.action.traffic_class is TrafficClass.CONTROL:
            self._control_packets += 1
            self._control_bytes += packet.size

    def _remove(self, packet: WaitingPacket) -> None:
        self._waiting_packets -= 1
        self.waiting_bytes -= packet.size
        if packet.action.traffic_class is TrafficClass.CONTROL:
            self._control_packets -= 1
            self._control_bytes -= packet.size
        if packet.identity is not None:
            self._identities.discard(packet.identity)

    def _enforce_bounds(self, now: float) -> None:
        """Drops packets of the lowest class until the rest is within the bounds.

        Control messages are never dropped and not subject to these bounds; see
        `_send_control_overflow`.
        """
        while self._is_over_bounds:
            queue = next((self._queues[c] for c in DROP_ORDER if self._queues[c]), None)
            if queue is None:
                return
            packet = queue.pop_last()
            self._remove(packet)
            self._drop(packet, FULL, now)

    def _drop_expired(self, now: float) -> None:
        self._expires_at = now + EXPIRY_INTERVAL_SECONDS
        for traffic_class, seconds in MAX_WAIT_SECONDS_BY_CLASS.items():
            for packet in self._queues[traffic_class].pop_arrived_before(now - seconds):
                self._remove(packet)
                self._drop(packet, EXPIRED, now)

    def _drop(self, packet: WaitingPacket, reason: str, now: float) -> None:
        departure = packet.action.departure
        if departure is not None:
            departure.left_at = now
            # The first one of two copies is still sent.
            departure.was_dropped = reason != COPY
        self._accounts.record_drop(
            packet, reason, waiting_bytes=self.waiting_bytes, now=now
        )

    def _update_next_due(self) -> None:
        """Computes when the first of the waiting packets may be sent."""
        if self._is_control_over_bounds:
            self.next_due = float("-inf")
        else:
            room_at = self._room_at(self._next_class())
            self.next_due = min(room_at, self._expires_at)
