"""Decides at an agent what becomes of each envelope. No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

import attrs

from siskinshift.core.errors import ErrorKind
from siskinshift.core.flows import flow_hash
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.flows.actions import ForwardToAgent
from siskinshift.flows.hand_over import HandOver
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


# An agent that gives buckets away goes on to create flows this long, until its
# successor has claimed them: without it, new callers wait for the successor's view.
# A leaving agent gives its last bucket away after shift_duration (1.5 s); together
# they stay below the 3 s after which it must take no new flow.
GRACE_SECONDS = 1.0
# An ended flow stays with its owner this long, so that a late copy of its last
# packet does not begin it anew elsewhere.
LINGER_SECONDS = 3.0
# A process that stood still longer than this may have been counted as gone, and its
# buckets settled by peers, without knowing: it would go on to create flows that they
# own. Ticks come every 50 ms; peers wait 2 s before they count a member as gone.
PAUSE_SECONDS = 1.0


class FlowRouter:
    """Owns the truth about the flows of one agent."""

    def __init__(
        self, *, member_id: str, incarnation: int, settings: FlowsSettings
    ) -> None:
        """Prepares a router without a view.

        Args:
            member_id: The agent's own id.
            incarnation: The agent's own incarnation.
            settings: Times and bounds.
        """
        self._member_id = member_id
        self._settings = settings
        self._hand_over = HandOver(
            member_id=member_id, incarnation=incarnation, settings=settings
        )
        self._held = HeldPackets(
            limit=settings.held_limit, timeout=settings.held_timeout
        )
        self._flow_count = 0
        self._ticked_at: float | None = None
        self._lingering_until_by_flow: OrderedDict[int, float] = OrderedDict()

    def update(self, view: View, *, now: float) -> list[FlowAction]:
        """Takes a new view.

        Args:
            view: The view that decides from now on.
            now: Clock reading, seconds.

        Returns:
            Notes to send, and held packets that may go on.
        """
        self._notice_pause(now=now)
        return [*self._hand_over.update(view, now=now), *self._release(now=now)]

    def on_envelope(self, envelope: Envelope, *, now: float) -> list[FlowAction]:
        """Takes an envelope from a balancer or a peer.

        Args:
            envelope: The envelope, authenticated.
            now: Clock reading, seconds.

        Returns:
            What to do with it.
        """
        self._notice_pause(now=now)
        packet = envelope.packet
        view = self._hand_over.view
        if view is None:
            return [DropEnvelope(ErrorKind.NO_MEMBER)]
        service = view.services_by_address.get(packet.service_address)
        if service is None:
            # An agent holds the records of its own services only, so an address
            # that it doesn't know belongs to another service.
            return [DropEnvelope(ErrorKind.WRONG_SERVICE)]
        state = self._hand_over.services_by_id.get(service.service_id)
        if state is None or state.table is None:
            return [DropEnvelope(ErrorKind.WRONG_SERVICE)]
        digest = flow_hash(caller=packet.caller, service_address=packet.service_address)
        return self._route(state, digest, envelope, now=now)

    def on_notes(self, notes: FlowNotes, *, now: float) -> list[FlowAction]:
        """Takes notes of a peer.

        Args:
            notes: The message.
            now: Clock reading, seconds.

        Returns:
            Notes to send, and held packets that may go on.
        """
        self._notice_pause(now=now)
        return [*self._hand_over.on_notes(notes, now=now), *self._release(now=now)]

    def flow_ended(self, digest: int, *, now: float) -> list[FlowAction]:
        """Takes note that a flow has ended; it is forgotten a little later.

        Args:
            digest: Hash of the flow.
            now: Clock reading, seconds.

        Returns:
            Nothing yet; notes are taken back from `tick`.
        """
        if self._find(digest) is not None:
            self._lingering_until_by_flow[digest] = now + LINGER_SECONDS
            self._lingering_until_by_flow.move_to_end(digest)
        return []

    def tick(self, *, now: float) -> list[FlowAction]:
        """Lets time pass.

        Args:
            now: Clock reading, seconds.

        Returns:
            What has become due.
        """
        self._notice_pause(now=now)
        self._ticked_at = now
        self._end_lingering(now=now)
        actions: list[FlowAction] = [*self._hand_over.tick(now=now)]
        actions += self._release(now=now)
        dropped = self._held.expire(now=now)
        actions += [DropEnvelope(ErrorKind.HELD_TOO_LONG)] * dropped
        return actions

    def service_of(self, digest: int) -> str:
        """Names the service of an owned flow.

        Args:
            digest: Hash of the flow.

        Returns:
            Service id, or an empty text when the flow is not owned.
        """
        state = self._find(digest)
        return state.service_id if state is not None else ""

    @property
    def flow_count(self) -> int:
        """Flows owned, ended ones that linger included."""
        return self._flow_count

    @property
    def note_count(self) -> int:
        """Notes held."""
        return self._hand_over.note_count()

    @property
    def held_count(self) -> int:
        """Packets held."""
        return len(self._held)

    @property
    def pending_count(self) -> int:
        """Lists that are not accepted yet."""
        return self._hand_over.pending_count()

    def _notice_pause(self, *, now: float) -> None:
        if self._ticked_at is not None and now - self._ticked_at > PAUSE_SECONDS:
            self._ticked_at = now
            self._hand_over.notice_pause(now=now)

    def _find(self, digest: int) -> ServiceFlows | None:
        for state in self._hand_over.services_by_id.values():
            if state.owns(digest):
                return state
        return None

    def _end_lingering(self, *, now: float) -> None:
        while self._lingering_until_by_flow:
            digest, until = next(iter(self._lingering_until_by_flow.items()))
            if until > now:
                return
            self._forget_flow(digest, now=now)

    def _forget_flow(self, digest: int, *, now: float) -> None:
        self._lingering_until_by_flow.pop(digest, None)
        state = self._find(digest)
        if state is not None:
            self._hand_over.flow_ended(state, digest, now=now)
            self._flow_count -= 1

    def _release(self, *, now: float) -> list[FlowAction]:
        actions: list[FlowAction] = []
        for state in tuple(self._hand_over.services_by_id.values()):
            releases, state.released = state.released, []
            for release in releases:
                flows = set(release.flows) if release.flows is not None else None
                for envelope in self._held.release(
                    state.service_id, release.bucket, flows
                ):
                    actions += self.on_envelope(envelope, now=now)
        return actions

    def _route(
        self, state: ServiceFlows, digest: int, envelope: Envelope, *, now: float
    ) -> list[FlowAction]:
        claim = state.claims_by_bucket.get(bucket_of(digest))
        if state.owns(digest):
            if digest not in self._lingering_until_by_flow:
                return [self._deliver(state, digest, envelope)]
            if claim is not None and self._may_create(claim, now=now):
                del self._lingering_until_by_flow[digest]
                return [self._deliver(state, digest, envelope, is_new=True)]
            self._forget_flow(digest, now=now)
        if envelope.exhausted:
            return self._on_permission(state, claim, digest, envelope, now=now)
        if envelope.disclaimed and claim is not None:
            return self._on_disclaimer(state, claim, digest, envelope, now=now)
        if envelope.disclaimed:
            envelope = _without_question(envelope)
        if claim is None:
            return self._pass_to_primary(state, digest, envelope)
        return self._route_with_claim(state, claim, digest, envelope, now=now)

    def _route_with_claim(
        self,
        state: ServiceFlows,
        claim: Claim,
        digest: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        owner_id = claim.owners_by_flow.get(digest)
        if owner_id is not None and owner_id != envelope.asker_id:
            if claim.settled and digest in claim.permitted:
                # The permission may be on its way still, or be lost.
                version = claim.versions_by_flow[digest]
                return self._permit(claim, digest, envelope, owner_id, version)
            return self._ask(owner_id, state, digest, envelope, now=now)
        if claim.settled:
            asker_id = envelope.asker_id
            if asker_id and not self._hand_over.is_live(asker_id):
                # The note would go with the peer that counts as gone, and another
                # agent would create the flow as well.
                return [DropEnvelope(ErrorKind.NO_MEMBER)]
            if asker_id:
                version = envelope.view_version
                return self._permit(claim, digest, envelope, asker_id, version)
            if self._may_create(claim, now=now):
                return self._create(state, digest, envelope)
            return self._pass_to_primary(state, digest, envelope)
        if claim.left_at is not None:
            return self._pass_to_primary(state, digest, envelope)
        # A question of a peer becomes our own: an answer that says "not mine" would
        # be wrong once a permission arrives that is on its way to us.
        if self._can_ask_previous(claim) and claim.previous_id != envelope.asker_id:
            return self._ask(claim.previous_id, state, digest, envelope, now=now)
        plain = _without_question(envelope)
        return self._hold(state, digest, plain, now=now)

    def _on_permission(
        self,
        state: ServiceFlows,
        claim: Claim | None,
        digest: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        # The claim must be the one the question was asked under: in a later one
        # the answer is old, and another agent may have created the flow since.
        if (
            claim is None
            or claim.left_at is not None
            or claim.version > envelope.view_version
        ):
            return self._disclaim(envelope, version=envelope.view_version)
        owner_id = claim.owners_by_flow.get(digest, envelope.asker_id)
        if owner_id == envelope.asker_id and not claim.settled:
            claim.forget(digest)
            return self._create(state, digest, envelope)
        plain = _without_question(envelope)
        return self._route_with_claim(state, claim, digest, plain, now=now)

    def _on_disclaimer(
        self,
        state: ServiceFlows,
        claim: Claim,
        digest: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        plain = _without_question(envelope)
        known_version = claim.versions_by_flow.get(digest, -1)
        if claim.owners_by_flow.get(digest) == envelope.asker_id:
            if known_version <= envelope.view_version:
                claim.forget(digest)
        elif not claim.settled and claim.left_at is None:
            return self._hold(state, digest, plain, now=now)
        return self._route_with_claim(state, claim, digest, plain, now=now)

    def _may_create(self, claim: Claim, *, now: float) -> bool:
        if not claim.settled:
            return False
        return claim.left_at is None or now < claim.left_at + GRACE_SECONDS

    def _can_ask_previous(self, claim: Claim) -> bool:
        view = self._hand_over.view
        assert view is not None
        if claim.previous_id not in claim.pending:
            return False
        previous = view.members_by_id.get(claim.previous_id)
        return previous is not None and previous.state is not MemberState.GONE

    def _create(
        self, state: ServiceFlows, digest: int, envelope: Envelope
    ) -> list[FlowAction]:
        if self._flow_count >= self._settings.flow_limit:
            return [DropEnvelope(ErrorKind.FLOW_LIMIT)]
        state.add_flow(digest)
        self._flow_count += 1
        return [self._deliver(state, digest, envelope, is_new=True)]

    def _deliver(
        self,
        state: ServiceFlows,
        digest: int,
        envelope: Envelope,
        *,
        is_new: bool = False,
    ) -> DeliverToFlow:
        return DeliverToFlow(digest, state.service_id, envelope.packet, is_new)

    def _permit(
        self,
        claim: Claim,
        digest: int,
        envelope: Envelope,
        owner_id: str,
        version: int,
    ) -> list[FlowAction]:
        if self._hand_over.note_count() >= self._settings.note_limit:
            return [DropEnvelope(ErrorKind.FLOW_LIMIT)]
        # From here on this agent follows the note: no second agent gets the flow.
        claim.permit(digest, owner_id, version)
        answer = attrs.evolve(
            envelope,
            asker_id=self._member_id,
            view_version=version,
            exhausted=True,
            disclaimed=False,
        )
        return self._forward(owner_id, answer)

    def _disclaim(self, envelope: Envelope, *, version: int) -> list[FlowAction]:
        # Holds for all questions up to that version of this agent's view.
        answer = attrs.evolve(
            envelope,
            asker_id=self._member_id,
            view_version=version,
            exhausted=False,
            disclaimed=True,
        )
        return self._forward(envelope.asker_id, answer)

    def _ask(
        self,
        agent_id: str,
        state: ServiceFlows,
        digest: int,
        envelope: Envelope,
        *,
        now: float,
    ) -> list[FlowAction]:
        view = self._hand_over.view
        assert view is not None
        if agent_id not in view.members_by_id:
            return self._hold(state, digest, envelope, now=now)
        question = attrs.evolve(
            envelope, asker_id=self._member_id, view_version=view.version
        )
        return self._forward(agent_id, question)

    def _pass_to_primary(
        self, state: ServiceFlows, digest: int, envelope: Envelope
    ) -> list[FlowAction]:
        primary_id = state.primary_id_of(bucket_of(digest))
        if envelope.asker_id and primary_id in ("", envelope.asker_id):
            view = self._hand_over.view
            assert view is not None
            return self._disclaim(envelope, version=view.version)
        if primary_id in ("", self._member_id):
            return [DropEnvelope(ErrorKind.NO_MEMBER)]
        return self._forward(primary_id, envelope)

    def _forward(self, agent_id: str, envelope: Envelope) -> list[FlowAction]:
        view = self._hand_over.view
        assert view is not None
        agent = view.members_by_id.get(agent_id)
        if agent is None:
            return [DropEnvelope(ErrorKind.NO_MEMBER)]
        if envelope.hop_count >= self._settings.max_hops:
            return [DropEnvelope(ErrorKind.HOP_LIMIT)]
        onward = attrs.evolve(envelope, hop_count=envelope.hop_count + 1)
        return [ForwardToAgent(agent, onward)]

    def _hold(
        self, state: ServiceFlows, digest: int, envelope: Envelope, *, now: float
    ) -> list[FlowAction]:
        held = self._held.hold(
            service_id=state.service_id,
            bucket=bucket_of(digest),
            digest=digest,
            envelope=envelope,
            now=now,
        )
        return [] if held else [DropEnvelope(ErrorKind.HELD_TOO_LONG)]


def _without_question(envelope: Envelope) -> Envelope:
    return attrs.evolve(envelope, asker_id="", exhausted=False, disclaimed=False)
