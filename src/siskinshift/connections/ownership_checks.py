"""Determines whether an upstream holds a flow that its agent has no record of."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import format_flow


if TYPE_CHECKING:
    from siskinshift.connections.actions import Action
    from siskinshift.connections.actions import ToPeer
    from siskinshift.connections.agent_replies import AgentReplies
    from siskinshift.connections.foreign_flows import ForeignFlows
    from siskinshift.connections.ownership_probes import OwnershipProbe
    from siskinshift.connections.ownership_probes import OwnershipProbes
    from siskinshift.connections.peer_messages import Forward
    from siskinshift.observability.event_log import EventLog


class OwnershipChecks:
    """Probes the upstream with callers' packets and rejects foreign flows."""

    def __init__(
        self,
        foreign_flows: ForeignFlows,
        probes: OwnershipProbes,
        *,
        replies: AgentReplies,
        log: EventLog,
    ) -> None:
        """Initializes the checks.

        Args:
            foreign_flows: Flows that the upstream does not hold.
            probes: Probes without a response.
            replies: Verdicts for balancers.
            log: Log of the decisions.
        """
        self._foreign_flows = foreign_flows
        self._probes = probes
        self._replies = replies
        self._log = log

    def probe(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        """Sends a packet of an unknown flow to the upstream, unless it is foreign.

        Args:
            forward: The message with the packet.
            segment: The packet.
            sender: Address of the balancer.
            now: Clock reading, seconds.

        Returns:
            The resulting actions.
        """
        if segment.flags & RESET:
            return []
        if self._foreign_flows.has(segment.flow, now=now):
            return [self.reject(forward, segment, sender)]
        is_lookup = forward.purpose is Purpose.LOOKUP
        probe = self._probes.add(
            segment.flow, sender, segment.ack, is_lookup=is_lookup, now=now
        )
        actions: list[Action] = [ToUpstream(segment.datagram)]
        if probe.is_overdue(now=now):
            unanswered = round(now - probe.started_at, 3)
            self._log.decision(
                "flow doubted", flow=format_flow(segment.flow), silent=unanswered
            )
            actions.append(
                self._replies.verdict(
                    Verdict.UNSURE, segment.flow, sender, segment.datagram
                )
            )
        return actions

    def reject(
        self, forward: Forward, segment: Segment, sender: tuple[str, int]
    ) -> ToPeer:
        """Returns the verdict about a packet of a foreign flow.

        A balancer that runs an owner lookup keeps the packet. One that treats this
        agent as the owner gets it back for other agents.

        Args:
            forward: The message with the packet.
            segment: The packet.
            sender: Address of the balancer.
        """
        packet = b"" if forward.purpose is Purpose.LOOKUP else segment.datagram
        return self._replies.verdict(Verdict.NOT_MINE, segment.flow, sender, packet)

    def on_foreign_reply(
        self, segment: Segment, probe: OwnershipProbe, *, now: float
    ) -> Action:
        """Handles a response which shows that another upstream holds the flow.

        Args:
            segment: The upstream's packet.
            probe: The probe that it answers.
            now: Clock reading, seconds.

        Returns:
            The verdict.
        """
        self._foreign_flows.mark(segment.flow, now=now)
        self._log.decision(
            "foreign answer",
            flow=format_flow(segment.flow),
            flags=segment.flags,
            seq=segment.seq,
            caller_acknowledged=probe.acknowledged,
        )
        return self._replies.verdict(Verdict.NOT_MINE, segment.flow, probe.balancer)
