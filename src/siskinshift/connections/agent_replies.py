"""Sends an agent's verdicts, with its load, to balancers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.actions import ToPeer
from siskinshift.connections.peer_codec import encode_verdict
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.peer_messages import Verdict


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.peer_messages import Load


class AgentReplies:
    """Builds the verdicts of one agent.

    Attributes:
        report_recipients: Balancers that requested load reports.
        load_report: What the agent observes of its upstream.
    """

    def __init__(self, *, load: Callable[[], Load]) -> None:
        """Initializes the replies without recipients of reports.

        Args:
            load: Returns the current load of the upstream.
        """
        self.report_recipients: set[tuple[str, int]] = set()
        self.load_report = LoadReport()
        self._load = load

    def verdict(
        self,
        verdict: Verdict,
        flow: bytes,
        address: tuple[str, int],
        packet: bytes = b"",
    ) -> ToPeer:
        """Returns a verdict about a flow.

        Args:
            verdict: The verdict.
            flow: The flow.
            address: The balancer.
            packet: Packet that could not be delivered, for another agent.
        """
        load = self._load()
        if address in self.report_recipients:
            load = attrs.evolve(load, report=self.load_report)
        return ToPeer(address, encode_verdict(FlowVerdict(verdict, flow, load, packet)))
