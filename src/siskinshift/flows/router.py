"""Routes envelopes at an agent: delivers, forwards, holds or drops them.

The module does no I/O and reads no clock; callers pass the time in.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from siskinshift.core.errors import ErrorKind
from siskinshift.core.flows import hash_flow
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.flows.actions import ForwardToAgent
from siskinshift.flows.handover import FlowHandover
from siskinshift.flows.held_packets import HeldPackets
from siskinshift.messages.core import MemberState
from siskinshift.routing.buckets import bucket_of


if TYPE_CHECKING:
    from siskinshift.core.packets import Envelope
    from siskinshift.core.views import View
    from siskinshift.flows.actions import FlowAction
    from siskinshift.flows.claims import Claim
    from siskinshift.flows.service_flows import ServiceFlows
    from siskinshift.messages.flows import FlowNotes
    from siskinshift.settings.generated import FlowsSettings


# After a bucket has a new primary, the old one still creates flows until the new one
# claims the bucket, at most for this long, so that new callers need not wait until the
# new primary has received its view. A leaving agent loses its last bucket after
# shift_duration (1.5 s); the sum stays below the 3 s after which a leaving agent must
# not accept new flows.
CREATION_GRACE_SECONDS = 1.0
# An ended flow remains owned for this long, so that a late duplicate of its last
# packet does not create the flow again on another agent.
LINGER_SECONDS = 3.0
# After a longer gap between ticks, peers may have declared this process gone and
# completed claims of its buckets, so it must not create flows under its old claims.
# Ticks run every 50 ms; peers declare a member gone after 2 s.
MAX_TICK_GAP_SECONDS = 1.0


class FlowRouter:
    """Tracks the flows that one agent owns and routes their packets."""

    def __init__(
        self, *, member_id: str, incarnation: int, settings: FlowsSettings
    ) -> None:
        """Initializes the router without a view.

        Args:
            member_id: The agent's own id.
            incarnation: The agent's own incarnation.
            settings: Timeouts and limits of the flow layer.
        """
        self._member_id = member_id
        self._settings = settings
        self._handover = FlowHandover(
            member_id=member_id, incarnation=incarnation, settings=settings
        )
        self._held = HeldPackets(
            limit=settings.held_limit, timeout=settings.held_timeout
        )
        self._flow_count = 0
        self._ticked_at: float | None = None
        self._linger_expiry_by_flow: OrderedDict[int, float] = OrderedDict()

    def update(self, view: View, *, now: float) -> list[FlowAction]:
        """Applies a new view.

        Args:
            view: The view to route by from now on.
            now: Clock reading, seconds.

        Returns:
            Notes to send, and actions for held packets that were released.
        """
        self._detect_pause(now=now)
        return [*self._handover.update(view, now=now), *self._route_released(now=now)]

    def on_envelope(self, envelope: Envelope, *, now: float) -> list[FlowAction]:
        """Routes an envelope from a balancer or a peer.

        Args:
            envelope: The authenticated envelope.
            now: Clock reading, seconds.

        Returns:
            The actions to carry out.
        """
        self._detect_pause(now=now)
        packet = envelope.packet
        view = self._handover.view
        if view is None:
            return [DropEnvelope(ErrorKind.NO_MEMBER)]
        service = view.services_by_address.get(packet.service_address)
        if service is None:
            # An agent has the records of its own services only, so an unknown address
            # belongs to another service.
            return [DropEnvelope(ErrorKind.WRONG_SERVICE)]
        state = self._handover.services_by_id.get(service.service_id)
        if state is None or state.table is None:
            return [DropEnvelope(ErrorKind.WRONG_SERVICE)]
        flow_hash = hash_flow(
            caller=packet.caller, service_address=packet.service_address
        )
        return self._route(state, flow_hash, envelope, now=now)

    def on_notes(self, notes: FlowNotes, *, now: float) -> list[FlowAction]:
        """Handles notes from a peer.

        Args:
            notes: The message.
            now: Clock reading, seconds.

        Returns:
            Notes to send, and actions for held packets that were released.
        """
        self._detect_pause(now=now)
        return [
            *self._handover.on_notes(notes, now=now),
            *self._route_released(now=now),
        ]

    def on_flow_ended(self, flow_hash: int, *, now: float) -> list[FlowAction]:
        """Marks a flow as ended; it is removed after `LINGER_SECONDS`.

        Args:
            flow_hash: Hash of the flow.
            now: Clock reading, seconds.

        Returns:
            No actions; `tick` retracts the notes.
        """
        if self._find_service_flows(flow_hash) is not None:
            self._linger_expiry_by_flow[flow_hash] = now + LINGER_SECONDS
            self._linger_expiry_by_flow.move_to_end(flow_hash)
        return []

    def tick(self, *, now: float) -> list[FlowAction]:
        """Runs the timers.

        Args:
            now: Clock reading, seconds.

        Returns:
            The actions that are due.
        """
        self._detect_pause(now=now)
        self._ticked_at = now
        self._end_lingering(now=now)
        actions: list[FlowAction] = [*self._handover.tick(now=now)]
        actions += self._route_released(now=now)
        dropped = self._held.expire(now=now)
        actions += [DropEnvelope(ErrorKind.HELD_TOO_LONG)] * dropped
        return actions

    def service_of(self, flow_hash: int) -> str:
        """Returns the service of an owned flow.

        Args:
            flow_hash: Hash of the flow.

        Returns:
            The service id, or an empty string if the flow is not owned.
        """
        state = self._find_service_flows(flow_hash)
        return state.service_id if state is not None else ""

    @property
    def flow_count(self) -> int:
        """Number of owned flows, including ended flows that still linger."""
        return self._flow_count

    @property
    def note_count(self) -> int:
        """Number of stored notes."""
        return self._handover.note_count()

    @property
    def held_count(self) -> int:
        """Number of held packets."""
        return len(self._held)

    @property
    def pending_list_count(self) -> int:
        """Number of flow lists that primaries have not accepted yet."""
        return self._handover.pending_list_count()

    def _detect_pause(self, *, now: float) -> None:
        if self._ticked_at is not None and now - self._ticked_at > MAX_TICK_GAP_SECONDS:
            self._ticked_at = now
            self._handover.on_pause(now=now)

    def _find_service_flows(self, flow_hash: int) -> ServiceFlows | None:
        for state in self._handover.services_by_id.values():
            if state.owns(flow_hash):
                return state
        return None

    def _end_lingering(self, *, now: float) -> None:
        while self._linger_expiry_by_flow:
            flow_hash, expires_at = next(iter(self._linger_expiry_by_flow.items()))
            if expires_at > now:
                return
            self._remove_flow(flow_hash, now=now)

    def _remove_flow(self, flow_hash: int, *, now: float) -> None:
        self._linger_expiry_by_flow.pop(flow_hash, None)
        state = self._find_service_flows(flow_hash)
        if state is not None:
            self._handover.on_flow_ended(state, flow_hash, now=now)
            self._flow_count -= 1

    def _route_released(self, *, now: float) -> list[FlowAction]:
        actions: list[FlowAction] = []
        for state in tuple(self._handover.services_by_id.values()):
            releases, state.released = state.released, []
            for release in releases:
                flows = set(release.flows) if release.flows is not None else None
                for envelope in self._held.release(
                    state.service_id, release.bucket, flows
                ):
                    actions += self.on_envelope(envelope, now=now)
        return actions

    def _route(
        self, state: ServiceFlows, flow_hash: int, envelope: Envelope, *, now: float
    ) -> list[FlowAction]:
        claim = state.claims_by_bucket.get(bucket_of(flow_hash))
        if state.owns(flow_hash):
            if flow_hash not in self._linger_expiry_by_flow:
                return [self._deliver(state, flow_hash, envelope)]
            if claim is not None and self._may_create(claim, now=now):
                del self._linger_expiry_by_flow[flow_hash]
                return [self._deliver(state, flow_hash, envelope, is_new=True)]
            self._remove_flow(flow_hash, now=now)
        if envelope.may_create:
            return self._on_permission(state, claim, flow_hash, envelope, now=now)
        if envelope.disclaimed and claim is not None:
            return self._on_disclaimer(state, claim, flow_hash, envelope, now=now)
        if envelope.disclaimed:
            envelope = _without_query(envelope)
        if claim is None:
            return self._forward_to_primary(state, flow_hash, envelope)
        return self._route_with_claim(state, claim, flow_hash, envelope, now=now)

    def _route_with_claim(
        self,
        state: ServiceFlows,
        claim: Claim,
        flow_hash: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        owner_id = claim.owners_by_flow.get(flow_hash)
        if owner_id is not None and owner_id != envelope.querier_id:
            if claim.is_complete and flow_hash in claim.permitted:
                # The permission may still be in flight, or lost.
                version = claim.versions_by_flow[flow_hash]
                return self._permit(claim, flow_hash, envelope, owner_id, version)
            return self._query(owner_id, state, flow_hash, envelope, now=now)
        if claim.is_complete:
            querier_id = envelope.querier_id
            if querier_id and not self._handover.is_live(querier_id):
                # The note would be dropped together with the gone peer, and another
                # agent would create the flow a second time.
                return [DropEnvelope(ErrorKind.NO_MEMBER)]
            if querier_id:
                version = envelope.view_version
                return self._permit(claim, flow_hash, envelope, querier_id, version)
            if self._may_create(claim, now=now):
                return self._create(state, flow_hash, envelope)
            return self._forward_to_primary(state, flow_hash, envelope)
        if claim.left_at is not None:
            return self._forward_to_primary(state, flow_hash, envelope)
        # Queries the previous primary in this agent's name: a disclaimer sent to the
        # querying peer would become wrong if a permission is in flight to this agent.
        if self._can_query_previous(claim) and claim.previous_id != envelope.querier_id:
            return self._query(claim.previous_id, state, flow_hash, envelope, now=now)
        plain_envelope = _without_query(envelope)
        return self._hold(state, flow_hash, plain_envelope, now=now)

    def _on_permission(
        self,
        state: ServiceFlows,
        claim: Claim | None,
        flow_hash: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        # The claim must be the one that the query was sent under: under a later claim
        # the reply is stale, and another agent may have created the flow since.
        if (
            claim is None
            or claim.left_at is not None
            or claim.version > envelope.view_version
        ):
            return self._disclaim(envelope, version=envelope.view_version)
        owner_id = claim.owners_by_flow.get(flow_hash, envelope.querier_id)
        if owner_id == envelope.querier_id and not claim.is_complete:
            claim.remove_note(flow_hash)
            return self._create(state, flow_hash, envelope)
        plain_envelope = _without_query(envelope)
        return self._route_with_claim(state, claim, flow_hash, plain_envelope, now=now)

    def _on_disclaimer(
        self,
        state: ServiceFlows,
        claim: Claim,
        flow_hash: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        plain_envelope = _without_query(envelope)
        known_version = claim.versions_by_flow.get(flow_hash, -1)
        if claim.owners_by_flow.get(flow_hash) == envelope.querier_id:
            if known_version <= envelope.view_version:
                claim.remove_note(flow_hash)
        elif not claim.is_complete and claim.left_at is None:
            return self._hold(state, flow_hash, plain_envelope, now=now)
        return self._route_with_claim(state, claim, flow_hash, plain_envelope, now=now)

    def _may_create(self, claim: Claim, *, now: float) -> bool:
        if not claim.is_complete:
            return False
        return claim.left_at is None or now < claim.left_at + CREATION_GRACE_SECONDS

    def _can_query_previous(self, claim: Claim) -> bool:
        view = self._handover.view
        assert view is not None
        if claim.previous_id not in claim.pending_peer_ids:
            return False
        previous = view.members_by_id.get(claim.previous_id)
        return previous is not None and previous.state is not MemberState.GONE

    def _create(
        self, state: ServiceFlows, flow_hash: int, envelope: Envelope
    ) -> list[FlowAction]:
        if self._flow_count >= self._settings.flow_limit:
            return [DropEnvelope(ErrorKind.FLOW_LIMIT)]
        state.add_flow(flow_hash)
        self._flow_count += 1
        return [self._deliver(state, flow_hash, envelope, is_new=True)]

    def _deliver(
        self,
        state: ServiceFlows,
        flow_hash: int,
        envelope: Envelope,
        *,
        is_new: bool = False,
    ) -> DeliverToFlow:
        return DeliverToFlow(flow_hash, state.service_id, envelope.packet, is_new)

    def _permit(
        self,
        claim: Claim,
        flow_hash: int,
        envelope: Envelope,
        owner_id: str,
        version: int,
    ) -> list[FlowAction]:
        if self._handover.note_count() >= self._settings.note_limit:
            return [DropEnvelope(ErrorKind.FLOW_LIMIT)]
        # This agent now routes by the note, so no second agent may create the flow.
        claim.permit(flow_hash, owner_id, version)
        reply = attrs.evolve(
            envelope,
            querier_id=self._member_id,
            view_version=version,
            may_create=True,
            disclaimed=False,
        )
        return self._forward(owner_id, reply)

    def _disclaim(self, envelope: Envelope, *, version: int) -> list[FlowAction]:
        # Valid for all queries up to that version of this agent's view.
        reply = attrs.evolve(
            envelope,
            querier_id=self._member_id,
            view_version=version,
            may_create=False,
            disclaimed=True,
        )
        return self._forward(envelope.querier_id, reply)

    def _query(
        self,
        agent_id: str,
        state: ServiceFlows,
        flow_hash: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        view = self._handover.view
        assert view is not None
        if agent_id not in view.members_by_id:
            return self._hold(state, flow_hash, envelope, now=now)
        query = attrs.evolve(
            envelope, querier_id=self._member_id, view_version=view.version
        )
        return self._forward(agent_id, query)

    def _forward_to_primary(
        self, state: ServiceFlows, flow_hash: int, envelope: Envelope
    ) -> list[FlowAction]:
        primary_id = state.primary_id_of(bucket_of(flow_hash))
        if envelope.querier_id and primary_id in ("", envelope.querier_id):
            view = self._handover.view
            assert view is not None
            return self._disclaim(envelope, version=view.version)
        if primary_id in ("", self._member_id):
            return [DropEnvelope(ErrorKind.NO_MEMBER)]
        return self._forward(primary_id, envelope)

    def _forward(self, agent_id: str, envelope: Envelope) -> list[FlowAction]:
        view = self._handover.view
        assert view is not None
        agent = view.members_by_id.get(agent_id)
        if agent is None:
            return [DropEnvelope(ErrorKind.NO_MEMBER)]
        if envelope.hop_count >= self._settings.max_hops:
            return [DropEnvelope(ErrorKind.HOP_LIMIT)]
        forwarded = attrs.evolve(envelope, hop_count=envelope.hop_count + 1)
        return [ForwardToAgent(agent, forwarded)]

    def _hold(
        self, state: ServiceFlows, flow_hash: int, envelope: Envelope, *, now: float
    ) -> list[FlowAction]:
        held = self._held.hold(
            service_id=state.service_id,
            bucket=bucket_of(flow_hash),
            flow_hash=flow_hash,
            envelope=envelope,
            now=now,
        )
        return [] if held else [DropEnvelope(ErrorKind.HELD_TOO_LONG)]


def _without_query(envelope: Envelope) -> Envelope:
    return attrs.evolve(envelope, querier_id="", may_create=False, disclaimed=False)
