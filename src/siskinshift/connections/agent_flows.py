"""Decides at an agent what becomes of each packet: the owner's side of a flow.

A flow belongs to the upstream whose first sequence number the caller acknowledged. The
agent sees that number in the upstream's answer, so it tells its own flows from those
that another upstream won without asking anybody. An agent that was restarted knows no
flow; its upstream is the truth: it returns a packet of a flow that it does not hold.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.actions import ResetCaller
from siskinshift.connections.actions import ToCaller
from siskinshift.connections.actions import ToPeer
from siskinshift.connections.actions import ToUpstream
from siskinshift.connections.foreign_flows import ForeignFlows
from siskinshift.connections.offers import Offer
from siskinshift.connections.offers import Offers
from siskinshift.connections.owned_flows import OwnedFlows
from siskinshift.connections.peer_codec import encode_verdict
from siskinshift.connections.peer_messages import FlowVerdict
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Purpose
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
from siskinshift.connections.segment import is_after
from siskinshift.connections.warm_up import WarmUpLimit


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import Action
    from siskinshift.connections.owned_flow import LongFlow
    from siskinshift.connections.owned_flow import OwnedFlow
    from siskinshift.connections.owned_flow import RestoredFlow
    from siskinshift.connections.peer_messages import Forward
    from siskinshift.connections.peer_messages import OwnerQuery
    from siskinshift.connections.request_queue import Terms
    from siskinshift.connections.upstream_life import UpstreamLife
    from siskinshift.observability.event_log import EventLog


# How often flows are looked through, seconds.
SWEEP_SECONDS = 2.0


class AgentFlows:
    """Flows of the upstream beside one agent.

    Attributes:
        is_pausing: Whether new flows are refused because the agent ends soon.
        is_evacuated: Whether they are refused because operators have evacuated the
            failure domain.
        warm_up: Bounds new flows while the upstream is cold.
        upstream_heard_at: When the upstream last sent a packet, seconds.
    """

    def __init__(self, *, life: UpstreamLife, log: EventLog) -> None:
        """Starts without any flow.

        Args:
            life: The upstream.
            log: Takes a line for each decision.
        """
        self._life = life
        self._log = log
        self._queue = RequestQueue()
        self._flows = OwnedFlows(self._queue)
        self._foreign = ForeignFlows()
        self._offers = Offers()
        self._swept_at = 0.0
        self.is_pausing = False
        self.is_evacuated = False
        self.warm_up = WarmUpLimit()
        self.upstream_heard_at = float("-inf")

    def __len__(self) -> int:
        return self._flows.open_count

    @property
    def waits_for_upstream(self) -> bool:
        """Whether the upstream owes an answer or holds flows."""
        return bool(self._flows.open_count or self._offers)

    @property
    def load(self) -> Load:
        """Open flows, those on which a caller waits, and how sure that is."""
        return Load(
            self._flows.open_count, len(self._queue), self._foreign.has_all_others
        )

    def on_forward(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        """Takes a caller's packet from a balancer.

        Args:
            forward: What the balancer asks.
            segment: The packet.
            sender: The balancer.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        if forward.purpose is Purpose.OPEN:
            return self._on_opening(forward, segment, sender, now=now)
        if segment.flags & (SYN | BOUNCED):
            return []
        flow = self._flows.get(segment.flow)
        if flow is None:
            return self._offer(forward, segment, sender, now=now)
        if not flow.acknowledges_it(segment.ack):
            # Another upstream's answer reached the caller first.
            if segment.flags & RESET:
                return []
            return [self._deny(forward, segment, sender)]
        flow.via = sender
        actions: list[Action] = []
        if self._note_caller_packet(flow, segment, forward.terms, now=now):
            actions.append(ToUpstream(segment.datagram))
        if forward.purpose is Purpose.SEARCH:
            actions.append(self._say(Verdict.MINE, segment.flow, sender))
        if segment.flags & (FIN | RESET):
            # The caller may have given up a request that held a slot.
            actions += self._start_waiting(now=now)
        return actions

    def on_question(
        self, question: OwnerQuery, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        """Says whether the upstream holds a flow, as far as it is known here.

        Args:
            question: The flow.
            sender: The balancer.
            now: Clock reading, seconds.

        Returns:
            The answer.
        """
        flow = self._flows.get(question.flow)
        if flow is not None:
            is_own = flow.acknowledges_it(question.acknowledged)
            verdict = Verdict.MINE if is_own else Verdict.NOT_MINE
        elif self._foreign.has(question.flow, now=now):
            verdict = Verdict.NOT_MINE
        else:
            verdict = Verdict.UNSURE
        return [self._say(verdict, question.flow, sender)]

    def on_upstream_segment(self, segment: Segment, *, now: float) -> list[Action]:
        """Takes a packet of the upstream.

        Args:
            segment: The packet; one that it returned carries the flag BOUNCED.
            now: Clock reading, seconds.

        Returns:
            What to do.
        """
        self.upstream_heard_at = now
        if segment.flags & BOUNCED:
            return self._on_bounce(segment, now=now)
        actions: list[Action] = [ToCaller(segment.flow, segment.datagram)]
        flow = self._flows.get(segment.flow)
        offer = self._offers.take(segment.flow)
        if flow is None and offer is not None and not offer.is_answered_by(segment):
            # Kept from the caller: it knows another upstream's numbers, and a reset
            # would break the flow that it has with that one.
            return [self._on_foreign_answer(segment, offer, now=now)]
        if flow is None:
            if segment.flags & RESET:
                return actions
            flow = self._flows.add(segment.flow, now=now)
            self._foreign.discard(segment.flow)
        if offer is not None:
            actions.append(self._say(Verdict.MINE, segment.flow, offer.asker))
        if flow.opener is not None and segment.flags & SYN:
            actions.append(self._say(Verdict.ACCEPTED, segment.flow, flow.opener))
            flow.opener = None
        flow.note_upstream(segment)
        flow.used_at = now
        if segment.length:
            taken = self._queue.finished(segment.flow, now=now)
            if taken is not None:
                self._log.metrics.observe("request_run", taken)
        if segment.flags & RESET:
            self._flows.end(segment.flow, flow, now=now)
        elif segment.flags & FIN:
            flow.ends_seen |= 2
            self._flows.end_if_closed(segment.flow, flow, now=now)
        return [*actions, *self._start_waiting(now=now)]

    def verify_all(self) -> list[Action]:
        """Asks the upstream about each flow; those that it lost are reset in turn.

        Guards against callers that wait for an incarnation that has ended: they would
        find out at the deadline of their next request.

        Returns:
            A packet of each flow that has one to repeat.
        """
        return [ToUpstream(packet) for packet in self._flows.bare_packets()]

    def long_flows(self, *, now: float) -> list[LongFlow]:
        """Lists the flows that their callers keep.

        Args:
            now: Clock reading, seconds.

        Returns:
            The flows, each with a packet without data.
        """
        return self._flows.long_ones(now=now)

    def flows_via(self, balancer: tuple[str, int]) -> list[bytes]:
        """Names open flows whose newest packet came from a balancer.

        Guards against searches by a balancer that has restarted: routers send it the
        same flows again, hundreds within a second, and on a link of 5 Mbit/s the
        questions for them alone would take seconds.

        Args:
            balancer: Where its messages come from.

        Returns:
            The flows.
        """
        return self._flows.via(balancer)

    def restore(self, flows: Iterable[RestoredFlow], *, now: float) -> list[Action]:
        """Takes flows that the process before this one owned.

        They are asked about as soon as the upstream is heard; see `verify_all`.

        Args:
            flows: The flows.
            now: Clock reading, seconds.

        Returns:
            Resets, if the upstream that held them is known to be gone.
        """
        new = [known for known in flows if known.segment.flow not in self._flows]
        if self._foreign.has_all_others:
            return [ResetCaller(k.segment.flow, k.segment.ack) for k in new]
        for known in new:
            segment = known.segment
            flow = self._flows.add(segment.flow, now=now)
            flow.via = known.via
            flow.begin_in_the_middle(segment.ack)
            flow.is_confirmed = True
            flow.acknowledged = segment.ack
            flow.bare_packet = segment.datagram
        return []

    def know_all(self) -> None:
        """Takes note that each flow of the upstream has passed through this process."""
        self._foreign.has_all_others = True

    def upstream_ended(self, *, now: float) -> list[Action]:
        """Resets all flows of an upstream whose process is gone for certain.

        From then on the agent knows all flows of whatever upstream follows.

        Args:
            now: Clock reading, seconds.

        Returns:
            The resets, and a word to those who asked for flows in the meantime.
        """
        self._foreign.has_all_others = True
        actions: list[Action] = [
            self._say(Verdict.NOT_MINE, flow, offer.asker)
            for flow, offer in self._offers.take_all()
        ]
        ended = self._flows.end_all(now=now)
        actions += [ResetCaller(name, flow.acknowledged) for name, flow in ended]
        if ended:
            self._log.decision("flows reset", reason="upstream gone", flows=len(ended))
        return actions

    def tick(self, *, now: float) -> list[Action]:
        """Forgets what is over and starts what has waited long enough.

        Args:
            now: Clock reading, seconds.

        Returns:
            Packets for the upstream.
        """
        self._queue.slots = self._life.slots
        expired = self._queue.expire(now=now)
        if expired:
            self._log.decision("given up", reason="waited too long", requests=expired)
        self._sweep(now=now)
        return self._start_waiting(now=now)

    def _start_waiting(self, *, now: float) -> list[Action]:
        actions: list[Action] = []
        for request in self._queue.next_requests(now=now):
            self._log.decision(
                "request started",
                flow=format_flow(request.flow),
                waited=round(now - request.arrived_at, 4),
            )
            self._log.metrics.observe("request_wait", now - request.arrived_at)
            actions += [ToUpstream(packet) for packet in request.packets.values()]
        return actions

    def _sweep(self, *, now: float) -> None:
        if now - self._swept_at < SWEEP_SECONDS:
            return
        self._swept_at = now
        self._flows.sweep(now=now)
        self._foreign.sweep(now=now)
        self._offers.sweep(now=now)

    def _on_opening(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        if segment.flags & (SYN | ACK | BOUNCED) != SYN:
            return []
        if forward.service_tag != service_tag(self._life.service_id):
            return [self._refuse(Verdict.WRONG_SERVICE, segment.flow, sender)]
        flow = self._flows.get(segment.flow)
        if self.is_evacuated and (flow is None or not flow.is_confirmed):
            # Copies too: the upstream may not have got the packets before them.
            return [self._refuse(Verdict.UNAVAILABLE, segment.flow, sender)]
        if flow is None and (self.is_pausing or not self._life.accepts(now=now)):
            return [self._refuse(Verdict.UNAVAILABLE, segment.flow, sender)]
        if flow is None:
            is_cold = self._life.may_be_cold(now=now)
            if not self.warm_up.admits(is_cold=is_cold, now=now):
                return [self._refuse(Verdict.FULL, segment.flow, sender)]
            flow = self._flows.add(segment.flow, now=now)
        flow.opener = flow.via = sender
        return [ToUpstream(segment.datagram)]

    def _offer(
        self, forward: Forward, segment: Segment, sender: tuple[str, int], *, now: float
    ) -> list[Action]:
        if segment.flags & RESET:
            return []
        if self._foreign.has(segment.flow, now=now):
            return [self._deny(forward, segment, sender)]
        is_search = forward.purpose is Purpose.SEARCH
        offer = self._offers.add(
            segment.flow, sender, segment.ack, is_search=is_search, now=now
        )
        actions: list[Action] = [ToUpstream(segment.datagram)]
        if offer.is_doubtful(now=now):
            silent = round(now - offer.since, 3)
            self._log.decision(
                "flow doubted", flow=format_flow(segment.flow), silent=silent
            )
            doubt = Verdict.UNSURE
            actions.append(self._say(doubt, segment.flow, sender, segment.datagram))
        return actions

    def _deny(
        self, forward: Forward, segment: Segment, sender: tuple[str, int]
    ) -> ToPeer:
        # A balancer that searches has the packet; to one that took this agent for the
        # owner it goes back for the others.
        packet = b"" if forward.purpose is Purpose.SEARCH else segment.datagram
        return self._say(Verdict.NOT_MINE, segment.flow, sender, packet)

    def _on_foreign_answer(
        self, segment: Segment, offer: Offer, *, now: float
    ) -> Action:
        self._foreign.mark(segment.flow, now=now)
        self._log.decision(
            "foreign answer",
            flow=format_flow(segment.flow),
            flags=segment.flags,
            seq=segment.seq,
            caller_acknowledged=offer.acknowledged,
        )
        return self._say(Verdict.NOT_MINE, segment.flow, offer.asker)

    def _on_bounce(self, segment: Segment, *, now: float) -> list[Action]:
        flow = self._flows.get(segment.flow)
        if segment.flags & SYN:
            if flow is None or flow.opener is None:
                return []
            sender = flow.opener
            self._flows.remove(segment.flow, now=now)
            return [self._refuse(Verdict.FULL, segment.flow, sender)]
        offer = self._offers.take(segment.flow)
        if offer is not None:
            self._foreign.mark(segment.flow, now=now)
            packet = b"" if offer.is_search else segment.datagram
            return [self._say(Verdict.NOT_MINE, segment.flow, offer.asker, packet)]
        if flow is None or flow.ended_at:
            return []
        if not flow.is_confirmed:
            # The upstream never held it open, so another one may.
            self._flows.remove(segment.flow, now=now)
            self._foreign.mark(segment.flow, now=now)
            return []
        # The caller acknowledged this upstream's own numbers, so no other upstream
        # can hold the flow.
        acknowledged = flow.acknowledged
        self._flows.end(segment.flow, flow, now=now)
        self._log.decision(
            "reset", flow=format_flow(segment.flow), reason="upstream lost the flow"
        )
        return [ResetCaller(segment.flow, acknowledged)]

    def _note_caller_packet(
        self, flow: OwnedFlow, segment: Segment, terms: Terms, *, now: float
    ) -> bool:
        """Takes note of a packet; says whether it goes to the upstream now."""
        flow.used_at = now
        flow.acknowledged = segment.ack
        if segment.flags & RESET:
            self._flows.end(segment.flow, flow, now=now)
            return True
        if segment.flags & FIN:
            flow.ends_seen |= 1
            self._flows.end_if_closed(segment.flow, flow, now=now)
            return True
        if not segment.length:
            flow.bare_packet = segment.datagram
            return True
        if flow.ended_at:
            # Late data of a caller that has given up: the upstream answers it with
            # a reset or not at all, so it must not hold a slot until it is stuck.
            return True
        is_new = flow.sent_up_to is None or is_after(segment.seq, flow.sent_up_to)
        if is_new:
            flow.sent_up_to = (segment.seq + segment.length) % SEQUENCE_SPACE
        is_copy = not is_new and segment.flow not in self._queue
        if is_copy or self._queue.is_running(segment.flow):
            return True
        return self._queue.begin(
            segment.flow, segment.seq, segment.datagram, terms, now=now
        )

    def _refuse(self, verdict: Verdict, flow: bytes, sender: tuple[str, int]) -> ToPeer:
        self._log.decision(
            "refused",
            flow=format_flow(flow),
            reason=verdict.name.lower(),
            evacuated=self.is_evacuated,
            upstream=self._life.upstream_id,
        )
        return self._say(verdict, flow, sender)

    def _say(
        self,
        verdict: Verdict,
        flow: bytes,
        address: tuple[str, int],
        packet: bytes = b"",
    ) -> ToPeer:
        message = encode_verdict(FlowVerdict(verdict, flow, self.load, packet))
        return ToPeer(address, message)
