"""Decides at an agent whether its upstream gets an opening packet."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.owned_flow import PendingOpening
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import format_flow
from siskinshift.connections.warm_up import WarmUpLimit


if TYPE_CHECKING:
    from siskinshift.connections.actions import Action
    from siskinshift.connections.actions import ToPeer
    from siskinshift.connections.agent_replies import AgentReplies
    from siskinshift.connections.owned_flow import OwnedFlow
    from siskinshift.connections.owned_flows import OwnedFlows
    from siskinshift.connections.peer_messages import Forward
    from siskinshift.connections.request_queue import RequestParameters
    from siskinshift.connections.scheduling.agent_requests import AgentRequests
    from siskinshift.connections.upstream_state import UpstreamState
    from siskinshift.observability.event_log import EventLog
    from siskinshift.observability.event_log import EventValue


class AgentOpenings:
    """Accepts or refuses new flows.

    Attributes:
        is_draining: Whether new flows are refused because the agent is shutting down.
        is_evacuated: Whether new flows are refused because operators have evacuated
            the failure domain.
        warm_up: Limits new flows while the upstream is cold.
    """

    def __init__(
        self,
        *,
        upstream: UpstreamState,
        flows: OwnedFlows,
        requests: AgentRequests,
        replies: AgentReplies,
        log: EventLog,
    ) -> None:
        """Initializes the decision for an upstream.

        Args:
            upstream: State of the upstream.
            flows: Its flows.
            requests: Their requests, with the policies in force.
            replies: Verdicts for balancers.
            log: Log of the decisions.
        """
        self._upstream = upstream
        self._flows = flows
        self._requests = requests
        self._replies = replies
        self._log = log
        self.is_draining = False
        self.is_evacuated = False
        self.warm_up = WarmUpLimit()

    def on_opening(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        """Handles an opening packet.

        Args:
            forward: The message with the packet.
            segment: The packet.
            sender: Address of the balancer.
            now: Clock reading, seconds.

        Returns:
            The packet for the upstream, or the refusal.
        """
        if segment.flags & (SYN | ACK | BOUNCED) != SYN:
            return []
        if forward.service_tag != service_tag(self._upstream.service_id):
            return [self.refuse(Verdict.WRONG_SERVICE, segment.flow, sender)]
        flow = self._flows.get(segment.flow)
        if flow is not None and segment.seq == flow.earlier_sequence:
            # Delayed on its way; the caller has opened another flow since.
            return []
        is_repeat = flow is not None and flow.is_repeated_by(segment, now=now)
        is_open = is_repeat and flow is not None and flow.is_open
        if self.is_evacuated and not is_open:
            # Also refuses a retransmission, since the upstream may not have received
            # the earlier packets.
            return [self.refuse(Verdict.UNAVAILABLE, segment.flow, sender)]
        if not is_repeat and (self.is_draining or not self._upstream.accepts(now=now)):
            return [self.refuse(Verdict.UNAVAILABLE, segment.flow, sender)]
        if flow is not None and _may_be_repeat(flow, now=now):
            flow.initial_sequence = segment.seq
        if flow is not None and flow.expects_opening(segment):
            return [] if flow.ended_at else self._forward(flow, segment, sender)
        is_in_use = flow is not None and flow.is_in_use and not flow.ended_at
        if flow is not None and not is_in_use:
            # Before the admission of the later flow, which has the same key.
            self._flows.end(segment.flow, flow, now=now)
        refusal = self._admit(forward, segment, sender, now=now)
        if refusal is not None:
            return [refusal]
        parameters = forward.request_parameters
        if flow is not None:
            self._log.decision("port used again", flow=format_flow(segment.flow))
        if flow is not None and is_in_use:
            flow.pending_opening = PendingOpening(segment, parameters)
        else:
            flow = self.open(segment, parameters, now=now)
        return self._forward(flow, segment, sender)

    def open(
        self, segment: Segment, parameters: RequestParameters, *, now: float
    ) -> OwnedFlow:
        """Adds a flow, in place of an earlier one of its addresses.

        Args:
            segment: Its opening packet.
            parameters: Request parameters of its route.
            now: Clock reading, seconds.

        Returns:
            The state of the flow.
        """
        flow = self._flows.add(segment.flow, now=now)
        flow.initial_sequence = segment.seq
        self._requests.on_flow_opened(flow, segment, parameters, now=now)
        return flow

    def _admit(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> ToPeer | None:
        """Returns the refusal of a new flow; None if it is admitted."""
        refusal = self._check_admission(forward, segment, sender, now=now)
        if refusal is not None:
            self._requests.record_refusal(segment.flow, now=now)
            return refusal
        # Checked last, since it counts the flow against the warm-up rate.
        is_cold = self._upstream.may_be_cold(now=now)
        if not self.warm_up.admits(is_cold=is_cold, now=now):
            self._requests.finish(segment.flow, now=now)
            return self.refuse(Verdict.FULL, segment.flow, sender)
        if self._upstream.incarnation is None:
            self._log.metrics.count_decision("opened before heartbeat", "")
        return None

    @staticmethod
    def _forward(
        flow: OwnedFlow, segment: Segment, sender: tuple[str, int]
    ) -> list[Action]:
        flow.opening_balancer = flow.last_balancer = sender
        return [ToUpstream(segment.datagram)]

    def refuse(
        self,
        verdict: Verdict,
        flow: bytes,
        sender: tuple[str, int],
        reason: str = "",
        **inputs: EventValue,
    ) -> ToPeer:
        """Logs a refusal of an opening and returns the verdict.

        Args:
            verdict: The verdict.
            flow: The flow.
            sender: Address of the balancer.
            reason: Reason for the log; by default the name of the verdict.
            inputs: Inputs of the decision, for the log.
        """
        self._log.decision(
            "refused",
            flow=format_flow(flow),
            reason=reason or verdict.name.lower(),
            evacuated=self.is_evacuated,
            upstream=self._upstream.upstream_id,
            **inputs,
        )
        return self._replies.verdict(verdict, flow, sender)

    def _check_admission(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> ToPeer | None:
        limit = self._requests.policy.max_connections
        # All flows are counted only when a refusal is possible.
        if (
            limit
            and self._flows.open_count >= limit
            and (count := self._flows.connection_count(now=now)) >= limit
        ):
            return self.refuse(
                Verdict.FULL,
                segment.flow,
                sender,
                reason="connection limit",
                flows=count,
                limit=limit,
            )
        refusal = self._requests.check_opening(
            segment.flow, forward.request_parameters, now=now
        )
        if refusal is None:
            return None
        return self.refuse(Verdict.FULL, segment.flow, sender, **attrs.asdict(refusal))


def _may_be_repeat(flow: OwnedFlow, *, now: float) -> bool:
    """Returns whether any opening packet may be a retransmission of a flow's.

    A restarted process learns of a flow that is being opened from the upstream's
    response.
    """
    is_unknown = flow.initial_sequence is None and not flow.is_confirmed
    return is_unknown and flow.is_opening(now=now)
