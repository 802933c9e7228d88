"""Counts what the scheduler sends, delays and drops, and logs the drops."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.segment import format_flow


if TYPE_CHECKING:
    from siskinshift.connections.egress.waiting_packet import WaitingPacket
    from siskinshift.observability.event_log import EventLog
    from siskinshift.observability.node_metrics import NodeMetrics


# Interval of log lines about drops of one class for one reason; each line contains the
# number since the last one. An overloaded link drops hundreds of packets a second.
DROP_LOG_INTERVAL_SECONDS = 1.0
COPY = "copy"
FULL = "full"
EXPIRED = "expired"


class EgressAccounts:
    """Counters of the scheduler.

    Attributes:
        sent_packets: Number of sent packets by class.
        sent_bytes: Bytes of sent packets on the link by class.
        delayed_packets: Number of sent packets that have waited, by class.
        dropped_packets: Number of dropped packets by class and reason.
        dropped_bytes: Bytes of dropped packets by class and reason.
    """

    def __init__(self, log: EventLog) -> None:
        """Initializes the counters.

        Args:
            log: Log of the drops; its metrics get the waiting times.
        """
        self.sent_packets = [0] * len(TrafficClass)
        self.sent_bytes = [0] * len(TrafficClass)
        self.delayed_packets = [0] * len(TrafficClass)
        self.dropped_packets: Counter[tuple[TrafficClass, str]] = Counter()
        self.dropped_bytes: Counter[tuple[TrafficClass, str]] = Counter()
        self._log = log
        self._logged_at: dict[tuple[TrafficClass, str], float] = {}
        self._unlogged: Counter[tuple[TrafficClass, str]] = Counter()
        # Newest dropped packet and the time that it has waited, seconds.
        self._newest: dict[tuple[TrafficClass, str], tuple[WaitingPacket, float]] = {}
        self._wait_names = [f"egress_wait_{c.name.lower()}" for c in TrafficClass]

    def record_wait(self, traffic_class: TrafficClass, seconds: float) -> None:
        """Counts a sent packet that has waited.

        Args:
            traffic_class: Its class.
            seconds: Time that it has waited here.
        """
        self.delayed_packets[traffic_class] += 1
        self._log.metrics.observe(self._wait_names[traffic_class], seconds)

    def record_drop(
        self, packet: WaitingPacket, reason: str, *, waiting_bytes: int, now: float
    ) -> None:
        """Counts and logs a dropped packet.

        Args:
            packet: The packet.
            reason: COPY, FULL or EXPIRED.
            waiting_bytes: Bytes of all waiting packets.
            now: Clock reading, seconds.
        """
        traffic_class = packet.action.traffic_class
        key = (traffic_class, reason)
        self.dropped_packets[key] += 1
        self.dropped_bytes[key] += packet.size
        self._unlogged[key] += 1
        self._newest[key] = (packet, now - packet.arrived_at)
        if now >= self._log_due_at(key):
            self._log_drops(key, waiting_bytes=waiting_bytes, now=now)

    @property
    def next_log_at(self) -> float:
        """When `log_due_drops` is due: clock reading, seconds."""
        if not self._unlogged:
            return float("inf")
        return min(map(self._log_due_at, self._unlogged))

    def log_due_drops(
        self, *, waiting_bytes: int, now: float, is_final: bool = False
    ) -> None:
        """Logs the drops since the last lines that no further drop has logged.

        Args:
            waiting_bytes: Bytes of all waiting packets.
            now: Clock reading, seconds.
            is_final: Whether no line follows, so that drops of the last interval are
                logged as well.
        """
        for key in tuple(self._unlogged):
            if is_final or now >= self._log_due_at(key):
                self._log_drops(key, waiting_bytes=waiting_bytes, now=now)

    def _log_due_at(self, key: tuple[TrafficClass, str]) -> float:
        return self._logged_at.get(key, float("-inf")) + DROP_LOG_INTERVAL_SECONDS

    def _log_drops(
        self, key: tuple[TrafficClass, str], *, waiting_bytes: int, now: float
    ) -> None:
        traffic_class, reason = key
        packet, waited = self._newest.pop(key)
        self._logged_at[key] = now
        self._log.decision(
            "egress dropped",
            reason=reason,
            traffic=traffic_class.name.lower(),
            flow=format_flow(packet.action.flow) if packet.action.flow else "",
            address=packet.action.address[0],
            packets=self._unlogged.pop(key),
            waited=round(waited, 4),
            waiting_bytes=waiting_bytes,
        )

    def export(self, metrics: NodeMetrics, *, waiting_bytes: int) -> None:
        """Sets the gauges of a node's metrics.

        Args:
            metrics: The metrics.
            waiting_bytes: Bytes of all waiting packets.
        """
        metrics.set_gauge("egress_waiting_bytes", waiting_bytes)
        for traffic_class in TrafficClass:
            name = traffic_class.name.lower()
            for what, values in (
                ("sent_packets", self.sent_packets),
                ("sent_bytes", self.sent_bytes),
                ("delayed_packets", self.delayed_packets),
            ):
                metrics.set_gauge(f"egress_{what}_{name}", values[traffic_class])
        for what, counts in (
            ("packets", self.dropped_packets),
            ("bytes", self.dropped_bytes),
        ):
            for (traffic_class, reason), number in tuple(counts.items()):
                name = traffic_class.name.lower()
                metrics.set_gauge(f"egress_dropped_{what}_{name}_{reason}", number)
