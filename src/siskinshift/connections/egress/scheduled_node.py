"""Sends the datagrams of a node, scheduled while a policy calls for it."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.egress.accounts import EgressAccounts
from siskinshift.connections.egress.link_egress import LinkEgress
from siskinshift.connections.segment import caller_host
from siskinshift.core.clocks import monotonic_clock
from siskinshift.observability.event_log import EventLog
from siskinshift.platform.packets import encode_reset
from siskinshift.runtime.event_loop import EventLoop
from siskinshift.runtime.event_loop import open_datagram_socket
from siskinshift.runtime.life_cycle import LifeCycle


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.node_settings import NodeSettings
    from siskinshift.observability.node_metrics import NodeMetrics


class ScheduledNode(LifeCycle):
    """Performs actions; datagrams go through a `LinkEgress` while one is active."""

    def __init__(self, settings: NodeSettings) -> None:
        """Initializes the node without a scheduler and binds its socket.

        Args:
            settings: Settings of the node.
        """
        super().__init__(name=settings.node_id)
        self.node_settings = settings
        self.clock = monotonic_clock
        self.log = EventLog(process=settings.node_id, clock=self.clock)
        self.loop = EventLoop(clock=self.clock, log=self.log)
        self.peer_socket = open_datagram_socket(settings.host, settings.peer_port)
        self.add_cleanup(self.peer_socket.close)
        self._caller_port = settings.caller_packets.port
        self._egress: LinkEgress | None = None
        # Kept when the scheduling ends: the counters never fall.
        self._egress_accounts: EgressAccounts | None = None
        self._is_egress_scheduled = False

    def schedule_egress(self, is_scheduled: bool) -> None:
        """Starts or ends the scheduling of the link; runs on the loop's thread.

        Args:
            is_scheduled: Whether it is scheduled. What waits at the end of the
                scheduling is sent at the rate of the link.
        """
        self._is_egress_scheduled = is_scheduled
        if is_scheduled and self._egress is None:
            if self._egress_accounts is None:
                self._egress_accounts = EgressAccounts(self.log)
            self._egress = LinkEgress(
                self.node_settings,
                transmit=self._transmit,
                clock=self.clock,
                accounts=self._egress_accounts,
            )
            self.loop.add_precise_timer(self._run_egress)

    def send_datagram(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Sends a message to a node; a failed send counts as a lost datagram.

        Args:
            datagram: The message.
            address: Host and port.
        """
        if self._egress is None:
            self._transmit(datagram, address)
        else:
            self._egress.send(ToPeer(address, datagram))

    def perform(self, actions: Iterable[Action]) -> None:
        """Performs actions.

        Args:
            actions: The actions.
        """
        for action in actions:
            if type(action) is ToPeer:
                if self._egress is None:
                    self._transmit(action.datagram, action.address)
                    if action.departure is not None:
                        # Requested while the link was still scheduled.
                        action.departure.left_at = self.clock()
                else:
                    self._egress.send(action)
            elif type(action) is ToUpstream:
                self.send_to_upstream(action.datagram)
            elif type(action) is ToCaller:
                self.send_to_caller(action.flow, action.datagram)
            elif type(action) is ResetCaller:
                reset = encode_reset(action.flow, seq=action.acknowledged)
                self.send_to_caller(action.flow, reset)

    def send_to_upstream(self, datagram: bytes) -> None:
        """Hook: sends a packet to the upstream."""
        raise NotImplementedError

    def send_to_caller(self, flow: bytes, datagram: bytes) -> None:
        """Sends a packet to the flow's caller.

        Args:
            flow: The flow.
            datagram: The packet.
        """
        self.send_datagram(datagram, (caller_host(flow), self._caller_port))

    def flush_egress(self) -> None:
        """Sends the packets that wait, before the process ends."""
        if self._egress is not None and not self.is_aborted:
            self._egress.flush(time.sleep)

    def export_egress(self, metrics: NodeMetrics) -> None:
        """Sets the gauges of the link.

        Args:
            metrics: Metrics of the node.
        """
        egress = self._egress
        if self._egress_accounts is not None:
            waiting_bytes = egress.waiting_bytes if egress is not None else 0
            self._egress_accounts.export(metrics, waiting_bytes=waiting_bytes)

    def _transmit(self, datagram: bytes, address: tuple[str, int]) -> None:
        try:
            self.peer_socket.sendto(datagram, address)
        except OSError as error:
            self.log.decision("send failed", address=address[0], error=str(error))

    def _run_egress(self, now: float) -> float:
        egress = self._egress
        if egress is None:
            return float("inf")
        due = egress.run(now)
        if not self._is_egress_scheduled and egress.is_empty:
            egress.finish()
            self._egress = None
            self.loop.remove_precise_timer(self._run_egress)
        return due
