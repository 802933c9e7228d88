"""Decides at an agent how to handle each packet of its upstream's flows.

A flow belongs to the upstream whose initial sequence number the caller acknowledged.
The agent reads that number from the upstream's response, so it distinguishes its own
flows from those of other upstreams without querying peers. A restarted agent has no
flow state and relies on its upstream, which returns packets of flows that it does not
hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.foreign_flows import ForeignFlows
from siskinshift.connections.health.upstream_observer import UpstreamObserver
from siskinshift.connections.owned_flows import OwnedFlows
from siskinshift.connections.ownership_probes import OwnershipProbe
from siskinshift.connections.ownership_probes import OwnershipProbes
from siskinshift.connections.peer_codec import encode_verdict
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.peer_messages import ServicePolicy
from siskinshift.connections.peer_messages import Verdict
from siskinshift.connections.request_queue import RequestQueue
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SEQUENCE_SPACE
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from siskinshift.connections.segment import format_flow
from siskinshift.connections.segment import is_at_or_after
from siskinshift.connections.warm_up import WarmUpLimit


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


class AgentFlows:
    """Flows of one agent's upstream.

    Attributes:
        is_draining: Whether new flows are refused because the agent is shutting down.
        is_evacuated: Whether new flows are refused because operators have evacuated
            the failure domain.
        warm_up: Limits new flows while the upstream is cold.
        policy: Load policies in force; the default without any.
        report_recipients: Balancers that requested load reports.
        load_report: What the agent observes of its upstream.
        upstream_last_seen_at: Time of the upstream's last packet, seconds.
    """

    def __init__(self, *, upstream: UpstreamState, log: EventLog) -> None:
        """Initializes the agent's flows.

        Args:
            upstream: State of the upstream.
            log: Log of the decisions.
        """
        self._upstream = upstream
        self._log = log
        self._queue = RequestQueue()
        self._flows = OwnedFlows(self._queue)
        self._foreign_flows = ForeignFlows()
        self._probes = OwnershipProbes()
        self._observer = UpstreamObserver()
        self._swept_at = 0.0
        self.is_draining = False
        self.is_evacuated = False
        self.warm_up = WarmUpLimit()
        self.policy = ServicePolicy()
        self.report_recipients: set[tuple[str, int]] = set()
        self.load_report = LoadReport()
        self.upstream_last_seen_at = float("-inf")

    def __len__(self) -> int:
        return self._flows.open_count

    @property
    def is_awaiting_upstream(self) -> bool:
        """Whether the upstream holds flows or has not responded to a probe."""
        return bool(self._flows.open_count or self._probes)

    @property
    def load(self) -> Load:
        """Open flows, unanswered requests, and whether all flows are tracked."""
        return Load(
            self._flows.open_count,
            len(self._queue),
            self._foreign_flows.treats_unknown_as_foreign,
        )

    def refresh_report(self, *, now: float) -> None:
        """Updates the report that is sent to balancers which requested it.

        Args:
            now: Clock reading, seconds.
        """
        observed = self._observer.observe(self._upstream.incarnation, now=now)
        self.load_report = LoadReport(
            run_seconds=observed.run_seconds,
            fast_run_seconds=observed.fast_run_seconds,
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
            return self._on_opening(forward, segment, sender, now=now)
        if segment.flags & (SYN | BOUNCED):
            return []
        flow = self._flows.get(segment.flow)
        if flow is None:
            return self._probe_ownership(forward, segment, sender, now=now)
        if not flow.matches_acknowledgement(segment.ack):
            # The caller accepted the response of another upstream.
            if segment.flags & RESET:
                return []
            return [self._reject_foreign(forward, segment, sender)]
        flow.last_balancer = sender
        actions: list[Action] = []
        previous_sequence = flow.next_caller_sequence
        if self._record_caller_packet(
            flow, segment, forward.request_parameters, now=now
        ):
            actions.append(ToUpstream(segment.datagram))
            has_new_data = flow.next_caller_sequence != previous_sequence
            if has_new_data and self._queue.is_running(segment.flow):
                kind = forward.request_parameters.kind
                self._observer.on_forwarded(segment.flow, now=now, kind=kind)
        if forward.purpose is Purpose.LOOKUP:
            actions.append(self._verdict_to(Verdict.MINE, segment.flow, sender))
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
        return [self._verdict_to(verdict, query.flow, sender)]

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
            return [self._on_foreign_reply(segment, probe, now=now)]
        if flow is None:
            if segment.flags & RESET:
                return actions
            flow = self._flows.add(segment.flow, now=now)
            self._foreign_flows.discard(segment.flow)
        if probe is not None:
            actions.append(self._verdict_to(Verdict.MINE, segment.flow, probe.balancer))
        if flow.opening_balancer is not None and segment.flags & SYN:
            actions.append(
                self._verdict_to(Verdict.ACCEPTED, segment.flow, flow.opening_balancer)
            )
            flow.opening_balancer = None
        self._observer.on_upstream_segment(segment, flow, now=now)
        flow.record_upstream_packet(segment)
        flow.used_at = now
        if segment.length:
            run_seconds = self._queue.finish(segment.flow, now=now)
            if run_seconds is not None:
                self._log.metrics.observe("request_run", run_seconds)
        if segment.flags & RESET:
            self._flows.end(segment.flow, flow, now=now)
        elif segment.flags & FIN:
            flow.fins_seen |= 2
            self._flows.end_if_closed(segment.flow, flow, now=now)
        return [*actions, *self._start_requests(now=now)]

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
            segment = restored.segment
            flow = self._flows.add(segment.flow, now=now)
            flow.last_balancer = restored.last_balancer
            flow.adopt_at(segment.ack)
            flow.is_confirmed = True
            flow.acknowledged = segment.ack
            flow.verification_packet = segment.datagram
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
            self._verdict_to(Verdict.NOT_MINE, flow, probe.balancer)
            for flow, probe in self._probes.pop_all()
        ]
        self._observer.clear(now=now)
        ended = self._flows.end_all(now=now)
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
        self._queue.slots = self._upstream.slots
        if self.report_recipients:
            self.refresh_report(now=now)
        elif self._observer.is_active:
            self._observer.stop(now=now)
            self.load_report = LoadReport()
        expired = self._queue.drop_expired(now=now)
        if expired:
            self._log.decision("given up", reason="waited too long", requests=expired)
        self._sweep(now=now)
        return self._start_requests(now=now)

    def _start_requests(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for request in self._queue.next_requests(now=now):
            self._log.decision(
                "request started",
                flow=format_flow(request.flow),
                waited=round(now - request.arrived_at, 4),
            )
            self._log.metrics.observe("request_wait", now - request.arrived_at)
            self._observer.on_forwarded(
                request.flow, now=now, kind=request.parameters.kind
            )
            actions += [
                ToUpstream(packet) for packet in request.packets_by_sequence.values()
            ]
        return actions

    def _sweep(self, *, now: float) -> None:
        if now - self._swept_at < SWEEP_INTERVAL_SECONDS:
            return
        self._swept_at = now
        self._flows.sweep(now=now)
        self._foreign_flows.sweep(now=now)
        self._probes.sweep(now=now)

    def _on_opening(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        if segment.flags & (SYN | ACK | BOUNCED) != SYN:
            return []
        if forward.service_tag != service_tag(self._upstream.service_id):
            return [self._refuse(Verdict.WRONG_SERVICE, segment.flow, sender)]
        flow = self._flows.get(segment.flow)
        if self.is_evacuated and (flow is None or not flow.is_confirmed):
            # Also refuses a retransmission, since the upstream may not have received
            # the earlier packets.
            return [self._refuse(Verdict.UNAVAILABLE, segment.flow, sender)]
        if flow is None and (self.is_draining or not self._upstream.accepts(now=now)):
            return [self._refuse(Verdict.UNAVAILABLE, segment.flow, sender)]
        if flow is None:
            is_cold = self._upstream.may_be_cold(now=now)
            if not self.warm_up.admits(is_cold=is_cold, now=now):
                return [self._refuse(Verdict.FULL, segment.flow, sender)]
            flow = self._flows.add(segment.flow, now=now)
        if not flow.is_confirmed:
            self._observer.on_opening(segment.flow, now=now)
        flow.opening_balancer = flow.last_balancer = sender
        return [ToUpstream(segment.datagram)]

    def _probe_ownership(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        if segment.flags & RESET:
            return []
        if self._foreign_flows.has(segment.flow, now=now):
            return [self._reject_foreign(forward, segment, sender)]
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
            verdict = Verdict.UNSURE
            actions.append(
                self._verdict_to(verdict, segment.flow, sender, segment.datagram)
            )
        return actions

    def _reject_foreign(
        self, forward: Forward, segment: Segment, sender: tuple[str, int]
    ) -> ToPeer:
        # A balancer that runs an owner lookup keeps the packet. One that treats this
        # agent as the owner gets it back for other agents.
        packet = b"" if forward.purpose is Purpose.LOOKUP else segment.datagram
        return self._verdict_to(Verdict.NOT_MINE, segment.flow, sender, packet)

    def _on_foreign_reply(
        self, segment: Segment, probe: OwnershipProbe, *, now: float
    ) -> Action:
        self._foreign_flows.mark(segment.flow, now=now)
        self._log.decision(
            "foreign answer",
            flow=format_flow(segment.flow),
            flags=segment.flags,
            seq=segment.seq,
            caller_acknowledged=probe.acknowledged,
        )
        return self._verdict_to(Verdict.NOT_MINE, segment.flow, probe.balancer)

    def _on_bounce(self, segment: Segment, *, now: float) -> list[Action]:
        flow = self._flows.get(segment.flow)
        if segment.flags & SYN:
            if flow is None or flow.opening_balancer is None:
                return []
            sender = flow.opening_balancer
            self._observer.on_opening_refused(segment.flow, now=now)
            self._flows.remove(segment.flow, now=now)
            return [self._refuse(Verdict.FULL, segment.flow, sender)]
        probe = self._probes.pop(segment.flow)
        if probe is not None:
            self._foreign_flows.mark(segment.flow, now=now)
            packet = b"" if probe.is_lookup else segment.datagram
            return [
                self._verdict_to(Verdict.NOT_MINE, segment.flow, probe.balancer, packet)
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
    ) -> bool:
        """Records a caller's packet; returns whether to forward it now."""
        flow.used_at = now
        flow.acknowledged = segment.ack
        if segment.flags & RESET:
            self._observer.on_flow_ended(segment.flow, now=now)
            self._flows.end(segment.flow, flow, now=now)
            return True
        if segment.flags & FIN:
            flow.fins_seen |= 1
            self._flows.end_if_closed(segment.flow, flow, now=now)
            return True
        if not segment.length:
            flow.verification_packet = segment.datagram
            return True
        if flow.ended_at:
            # Delayed data of a caller that has given up. The upstream responds with a
            # reset or not at all, so the request must not occupy a slot until it
            # counts as stuck.
            return True
        is_new = flow.next_caller_sequence is None or is_at_or_after(
            segment.seq, flow.next_caller_sequence
        )
        if is_new:
            flow.next_caller_sequence = (segment.seq + segment.length) % SEQUENCE_SPACE
        is_retransmission = not is_new and segment.flow not in self._queue
        if is_retransmission or self._queue.is_running(segment.flow):
            return True
        return self._queue.submit(
            segment.flow, segment.seq, segment.datagram, parameters, now=now
        )

    def _refuse(self, verdict: Verdict, flow: bytes, sender: tuple[str, int]) -> ToPeer:
        self._log.decision(
            "refused",
            flow=format_flow(flow),
            reason=verdict.name.lower(),
            evacuated=self.is_evacuated,
            upstream=self._upstream.upstream_id,
        )
        return self._verdict_to(verdict, flow, sender)

    def _verdict_to(
        self,
        verdict: Verdict,
        flow: bytes,
        address: tuple[str, int],
        packet: bytes = b"",
    ) -> ToPeer:
        load = self.load
        if address in self.report_recipients:
            load = attrs.evolve(load, report=self.load_report)
        message = encode_verdict(FlowVerdict(verdict, flow, load, packet))
        return ToPeer(address, message)
