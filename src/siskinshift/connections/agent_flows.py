"""Decides at an agent how to handle each packet of its upstream's flows.

A flow belongs to the upstream whose initial sequence number the caller acknowledged.
The agent reads that number from the upstream's response, so it distinguishes its own
flows from those of other upstreams without querying peers. A restarted agent has no
flow state and relies on its upstream, which returns packets of flows that it does not
hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToCaller
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.agent_openings import AgentOpenings
from siskinshift.connections.agent_replies import AgentReplies
from siskinshift.connections.foreign_flows import ForeignFlows
from siskinshift.connections.health.upstream_observer import UpstreamObserver
from siskinshift.connections.node_settings import PolicySettings
from siskinshift.connections.owned_flows import OwnedFlows
from siskinshift.connections.ownership_checks import OwnershipChecks
from siskinshift.connections.ownership_probes import OwnershipProbes
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.scheduling.agent_requests import AgentRequests
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import format_flow


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.owned_flow import LongLivedFlow
    from siskinshift.connections.owned_flow import OwnedFlow
    from siskinshift.connections.owned_flow import RestoredFlow
    from siskinshift.connections.peer_messages import Forward
    from siskinshift.connections.peer_messages import OwnerQuery
    from siskinshift.connections.request_queue import RequestParameters
    from siskinshift.connections.upstream_state import UpstreamState
    from siskinshift.observability.event_log import EventLog


# Interval at which expired flows are removed.
SWEEP_INTERVAL_SECONDS = 2.0
DEFAULT_SETTINGS = PolicySettings()


class AgentFlows:
    """Flows of one agent's upstream.

    Attributes:
        warm_up: Limits new flows while the upstream is cold.
        report_recipients: Balancers that requested load reports.
        upstream_last_seen_at: Time of the upstream's last packet, seconds.
    """

    def __init__(
        self,
        *,
        upstream: UpstreamState,
        log: EventLog,
        settings: PolicySettings = DEFAULT_SETTINGS,
    ) -> None:
        """Initializes the agent's flows.

        Args:
            upstream: State of the upstream.
            log: Log of the decisions.
            settings: Policy settings of the node.
        """
        self._upstream = upstream
        self._log = log
        self._observer = UpstreamObserver()
        self._requests = AgentRequests(
            settings=settings, observer=self._observer, log=log
        )
        self._flows = OwnedFlows(self._requests)
        self._foreign_flows = ForeignFlows()
        self._probes = OwnershipProbes()
        self._replies = AgentReplies(load=lambda: self.load)
        self._ownership = OwnershipChecks(
            self._foreign_flows, self._probes, replies=self._replies, log=log
        )
        self._swept_at = 0.0
        self._openings = AgentOpenings(
            upstream=upstream,
            flows=self._flows,
            requests=self._requests,
            replies=self._replies,
            log=log,
        )
        self.warm_up = self._openings.warm_up
        self.report_recipients = self._replies.report_recipients
        self.upstream_last_seen_at = float("-inf")

    def __len__(self) -> int:
        return self._flows.open_count

    @property
    def is_draining(self) -> bool:
        """Whether new flows are refused because the agent is shutting down."""
        return self._openings.is_draining

    @is_draining.setter
    def is_draining(self, is_draining: bool) -> None:
        self._openings.is_draining = is_draining

    @property
    def is_evacuated(self) -> bool:
        """Whether new flows are refused because the failure domain is evacuated."""
        return self._openings.is_evacuated

    @is_evacuated.setter
    def is_evacuated(self, is_evacuated: bool) -> None:
        self._openings.is_evacuated = is_evacuated

    @property
    def load_report(self) -> LoadReport:
        """What the agent observes of its upstream."""
        return self._replies.load_report

    @property
    def policy(self) -> ServicePolicy:
        """Load policies in force; the default without any."""
        return self._requests.policy

    @policy.setter
    def policy(self, policy: ServicePolicy) -> None:
        self._requests.apply(policy)

    @property
    def is_awaiting_upstream(self) -> bool:
        """Whether the upstream holds flows or has not responded to a probe."""
        return bool(self._flows.open_count or self._probes)

    @property
    def load(self) -> Load:
        """Open flows, unanswered requests, and whether all flows are tracked."""
        return Load(
            self._flows.open_count,
            len(self._requests),
            self._foreign_flows.treats_unknown_as_foreign,
        )

    def refresh_report(self, *, now: float) -> None:
        """Updates the report that is sent to balancers which requested it.

        Args:
            now: Clock reading, seconds.
        """
        observed = self._observer.observe(self._upstream.incarnation, now=now)
        self._replies.load_report = LoadReport(
            run_seconds=observed.run_seconds,
            fast_run_seconds=observed.fast_run_seconds,
            wait_seconds=self._requests.expected_wait(now=now),
            busy_fraction=self._requests.busy_fraction(now=now),
            stalled=observed.stalled,
            failure_fraction=observed.failure_fraction,
            samples=observed.samples,
        )

    def on_forward(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        """Handles a caller's packet from a balancer.

        Args:
            forward: The message with the packet.
            segment: The packet.
            sender: Address of the balancer.
            now: Clock reading, seconds.

        Returns:
            The resulting actions.
        """
        if forward.purpose is Purpose.OPEN:
            actions = self._openings.on_opening(forward, segment, sender, now=now)
            flow = self._flows.get(segment.flow)
            is_forwarded = any(isinstance(action, ToUpstream) for action in actions)
            if is_forwarded and flow is not None and not flow.is_confirmed:
                self._observer.on_opening(segment.flow, now=now)
            return actions
        if segment.flags & (SYN | BOUNCED):
            return []
        flow = self._flows.get(segment.flow)
        if flow is None:
            return self._ownership.probe(forward, segment, sender, now=now)
        if not flow.matches_acknowledgement(segment.ack):
            # The caller accepted the response of another upstream.
            if segment.flags & RESET:
                return []
            return [self._ownership.reject(forward, segment, sender)]
        flow.last_balancer = sender
        parameters = forward.request_parameters
        previous_sequence = flow.next_caller_sequence
        packets = self._record_caller_packet(flow, segment, parameters, now=now)
        actions = [ToUpstream(packet) for packet in packets]
        has_new_data = flow.next_caller_sequence != previous_sequence
        if has_new_data and self._requests.queue.is_running(segment.flow):
            self._observer.on_forwarded(segment.flow, now=now, kind=parameters.kind)
        if forward.purpose is Purpose.LOOKUP:
            actions.append(self._replies.verdict(Verdict.MINE, segment.flow, sender))
        if segment.flags & (FIN | RESET):
            # The caller may have cancelled a request that occupied a slot.
            actions += self._start_requests(now=now)
        return actions

    def on_owner_query(
        self, query: OwnerQuery, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        """Replies to an owner query from the agent's own state.

        Args:
            query: The query.
            sender: Address of the balancer.
            now: Clock reading, seconds.

        Returns:
            The reply.
        """
        flow = self._flows.get(query.flow)
        if flow is not None:
            is_own = flow.matches_acknowledgement(query.acknowledged)
            verdict = Verdict.MINE if is_own else Verdict.NOT_MINE
        elif self._foreign_flows.has(query.flow, now=now):
            verdict = Verdict.NOT_MINE
        else:
            verdict = Verdict.UNSURE
        return [self._replies.verdict(verdict, query.flow, sender)]

    def on_upstream_segment(self, segment: Segment, *, now: float) -> list[Action]:
        """Handles a packet of the upstream.

        Args:
            segment: The packet; one that the upstream returned has the flag BOUNCED.
            now: Clock reading, seconds.

        Returns:
            The resulting actions.
        """
        self.upstream_last_seen_at = now
        if segment.flags & BOUNCED:
            return self._on_bounce(segment, now=now)
        actions: list[Action] = [ToCaller(segment.flow, segment.datagram)]
        flow = self._flows.get(segment.flow)
        probe = self._probes.pop(segment.flow)
        if flow is None and probe is not None and not probe.is_confirmed_by(segment):
            # Not sent to the caller, which uses another upstream's sequence numbers: a
            # reset would break its flow with that upstream.
            return [self._ownership.on_foreign_reply(segment, probe, now=now)]
        if flow is None:
            if segment.flags & RESET:
                # Another upstream may hold the flow. If none does, the lookup of the
                # caller's next packet ends in a reset.
                return []
            flow = self._flows.add(segment.flow, now=now)
            self._foreign_flows.discard(segment.flow)
        if segment.flags & SYN:
            flow = self._apply_pending_opening(flow, segment, now=now)
        if probe is not None:
            actions.append(
                self._replies.verdict(Verdict.MINE, segment.flow, probe.balancer)
            )
        if flow.opening_balancer is not None and segment.flags & SYN:
            actions.append(
                self._replies.verdict(
                    Verdict.ACCEPTED, segment.flow, flow.opening_balancer
                )
            )
            flow.opening_balancer = None
        self._observer.on_upstream_segment(segment, flow, now=now)
        flow.record_upstream_packet(segment)
        flow.used_at = now
        if segment.length:
            self._requests.on_response(segment.flow, now=now)
        if segment.flags & RESET:
            self._flows.end(segment.flow, flow, now=now)
        elif segment.flags & FIN:
            flow.fins_seen |= 2
            self._flows.end_if_closed(segment.flow, flow, now=now)
        return [*actions, *self._start_requests(now=now)]

    def _apply_pending_opening(
        self, flow: OwnedFlow, segment: Segment, *, now: float
    ) -> OwnedFlow:
        """Replaces a flow if the upstream accepts a later one of its addresses.

        An upstream that still holds the earlier flow repeats that flow's response.
        """
        pending, flow.pending_opening = flow.pending_opening, None
        if pending is None or flow.matches_acknowledgement(segment.next_sequence):
            return flow
        self._observer.on_flow_ended(segment.flow, now=now)
        later = self._openings.open(pending.segment, pending.parameters, now=now)
        later.opening_balancer = flow.opening_balancer
        later.last_balancer = flow.last_balancer
        return later

    def verify_all(self) -> list[Action]:
        """Verifies each flow with the upstream, so that lost flows are reset.

        Callers of an incarnation that has ended would otherwise detect the loss only
        at the deadline of their next request.

        Returns:
            The verification packet of each flow that has one.
        """
        return [ToUpstream(packet) for packet in self._flows.verification_packets()]

    def long_lived_flows(self, *, now: float) -> list[LongLivedFlow]:
        """Returns the long-lived flows that can be verified.

        Args:
            now: Clock reading, seconds.

        Returns:
            The flows, each with its verification packet.
        """
        return self._flows.long_lived_flows(now=now)

    def flows_via(self, balancer: tuple[str, int]) -> list[bytes]:
        """Returns the open flows whose newest packet came from a balancer.

        A restarted balancer that receives them needs no owner lookups. Routers send it
        the same flows as before, hundreds within a second, and on a link of 5 Mbit/s
        the queries for them alone would take seconds.

        Args:
            balancer: Address of the balancer.

        Returns:
            Keys of the flows.
        """
        return self._flows.flows_via(balancer)

    def restore(self, flows: Iterable[RestoredFlow], *, now: float) -> list[Action]:
        """Restores flows that the previous process owned.

        They are verified once the upstream is reachable; see `verify_all`.

        Args:
            flows: The flows.
            now: Clock reading, seconds.

        Returns:
            Resets, if the upstream that held the flows has certainly ended.
        """
        new = [
            restored for restored in flows if restored.segment.flow not in self._flows
        ]
        if self._foreign_flows.treats_unknown_as_foreign:
            return [ResetCaller(r.segment.flow, r.segment.ack) for r in new]
        for restored in new:
            self._flows.restore(restored, now=now)
        return []

    def mark_all_known(self) -> None:
        """Records that this process tracks every flow of the upstream."""
        self._foreign_flows.treats_unknown_as_foreign = True

    def on_upstream_gone(self, *, now: float) -> list[Action]:
        """Resets all flows of an upstream whose process has certainly ended.

        From then on the agent tracks all flows of any upstream that follows.

        Args:
            now: Clock reading, seconds.

        Returns:
            The resets, and a reply to each balancer whose probe is pending.
        """
        self._foreign_flows.treats_unknown_as_foreign = True
        actions: list[Action] = [
            self._replies.verdict(Verdict.NOT_MINE, flow, probe.balancer)
            for flow, probe in self._probes.pop_all()
        ]
        self._observer.clear(now=now)
        ended = self._flows.end_all(now=now)
        self._requests.clear()
        actions += [ResetCaller(key, flow.acknowledged) for key, flow in ended]
        if ended:
            self._log.decision("flows reset", reason="upstream gone", flows=len(ended))
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Removes expired flows and requests and starts waiting requests.

        Args:
            now: Clock reading, seconds.

        Returns:
            Packets for the upstream.
        """
        self._requests.queue.slots = self._upstream.slots
        if self.report_recipients:
            self.refresh_report(now=now)
        elif self._observer.is_active:
            self._observer.stop(now=now)
            self._replies.load_report = LoadReport()
        self._drop_requests(now=now)
        self._sweep(now=now)
        return self._start_requests(now=now)

    def _start_requests(self, *, now: float) -> list[Action]:
        if not self._requests.queue.waiting:
            return []
        if self.policy.uses_admission and self._requests.can_start(now=now):
            self._drop_requests(now=now)
        return [ToUpstream(packet) for packet in self._requests.start(now=now)]

    def _drop_requests(self, *, now: float) -> None:
        for key, expires_at in self._requests.drop_expired(now=now):
            if (flow := self._flows.get(key)) is not None:
                flow.dropped_until = expires_at

    def _sweep(self, *, now: float) -> None:
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS:
            return
        self._swept_at = now
        self._requests.update_metrics()
        self._flows.sweep(now=now)
        self._foreign_flows.sweep(now=now)
        self._probes.sweep(now=now)

    def _on_bounce(self, segment: Segment, *, now: float) -> list[Action]:
        flow = self._flows.get(segment.flow)
        if segment.flags & SYN:
            if flow is None or flow.opening_balancer is None:
                return []
            sender = flow.opening_balancer
            self._observer.on_opening_refused(segment.flow, now=now)
            if flow.pending_opening is not None:
                # The earlier flow may still be open.
                flow.pending_opening = flow.opening_balancer = None
            else:
                self._flows.remove(segment.flow, now=now)
            return [self._openings.refuse(Verdict.FULL, segment.flow, sender)]
        probe = self._probes.pop(segment.flow)
        if probe is not None:
            self._foreign_flows.mark(segment.flow, now=now)
            packet = b"" if probe.is_lookup else segment.datagram
            return [
                self._replies.verdict(
                    Verdict.NOT_MINE, segment.flow, probe.balancer, packet
                )
            ]
        if flow is None or flow.ended_at:
            return []
        if not flow.is_confirmed:
            # The upstream never held the flow open, so another one may hold it.
            self._flows.remove(segment.flow, now=now)
            self._foreign_flows.mark(segment.flow, now=now)
            return []
        # The caller acknowledged this upstream's sequence numbers, so no other upstream
        # can hold the flow.
        acknowledged = flow.acknowledged
        self._observer.on_returned(segment.flow, opened_at=flow.opened_at, now=now)
        self._flows.end(segment.flow, flow, now=now)
        self._log.decision(
            "reset", flow=format_flow(segment.flow), reason="upstream lost the flow"
        )
        return [ResetCaller(segment.flow, acknowledged)]

    def _record_caller_packet(
        self,
        flow: OwnedFlow,
        segment: Segment,
        parameters: RequestParameters,
        *,
        now: float,
    ) -> list[bytes]:
        """Records a caller's packet; returns the packets to forward now."""
        flow.used_at = now
        flow.acknowledged = segment.ack
        if segment.flags & RESET:
            self._observer.on_flow_ended(segment.flow, now=now)
            self._flows.end(segment.flow, flow, now=now)
            return [segment.datagram]
        if segment.flags & FIN:
            flow.fins_seen |= 1
            self._flows.end_if_closed(segment.flow, flow, now=now)
            return [segment.datagram]
        if not segment.length:
            flow.verification_packet = segment.datagram
            return [segment.datagram]
        if flow.ended_at:
            # Delayed data of a caller that has given up. The upstream responds with a
            # reset or not at all, so the request must not occupy a slot until it
            # counts as stuck.
            return [segment.datagram]
        return self._requests.on_data(flow, segment, parameters, now=now)
