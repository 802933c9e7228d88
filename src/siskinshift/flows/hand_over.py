"""How buckets and what is known of their flows go from agent to agent.

An agent whose view names it primary of a bucket claims the bucket from each peer
of the service. A peer whose view agrees answers with the list of its flows there
and gives up its own claim. Once all have answered, the claim is settled: the agent
knows the owner of each flow of the bucket and alone may create flows. The previous
primary is asked last, so that somebody may create flows all the time.

See docs/design/flow-hand-over.md for the ways that were weighed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.flows.actions import SendNotes
from siskinshift.flows.claims import Claim
from siskinshift.flows.service_flows import ALL_BUCKETS
from siskinshift.flows.service_flows import GrantedFlow
from siskinshift.flows.service_flows import ServiceFlows
from siskinshift.flows.service_flows import UnsentList
from siskinshift.flows.service_flows import WantedClaim
from siskinshift.messages.core import MemberState
from siskinshift.messages.flows import FlowNote
from siskinshift.messages.flows import FlowNotes
from siskinshift.routing.buckets import bucket_of
from siskinshift.routing.buckets import build_bucket_table
from siskinshift.routing.chooser import AgentChooser


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.core.views import View
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Service
    from siskinshift.routing.buckets import BucketTable
    from siskinshift.settings.generated import FlowsSettings


# First pause before a claim or list is sent again; doubled up to the maximum. Long
# against the 1 ms between instances, short against the 10 s of settle_timeout.
RETRY_SECONDS = 0.5
RETRY_DOUBLINGS = 3
# A claim usually comes for a bucket that moved; only without one a list is pushed.
PUSH_DELAY_SECONDS = 1.0
# A peer that answers but does not agree is waited for this many timeouts: its view
# is old, and it may still create flows.
DISAGREEMENT_TIMEOUTS = 6
# Permissions in buckets given up are told again for this long: they cover packets
# still on their way to the peer that was allowed.
GRANT_SECONDS = 30.0
# Upper bound of a message: 500 hashes of 20 digits make about 10 KB.
FLOWS_A_MESSAGE = 500
# Peers that started this much after us can't have rights we did not confirm; the
# margin covers clocks that differ.
CLOCK_MARGIN_MILLISECONDS = 10_000
# After a pause, peers that become known within this time may hold rights that we
# did not confirm: several times what a view needs to become whole again.
DOUBT_SECONDS = 60.0
HOUSEKEEPING_SECONDS = 0.25
# A permission that got lost leaves a note about a flow that was never created. The
# pause is long: such notes cost memory, and a packet of the flow clears them as well.
AUDIT_SECONDS = 10.0


@frozen
class ReleasedBucket:
    """A bucket whose held packets may go on.

    Attributes:
        service_id: Service of the bucket.
        bucket: The bucket.
        flows: Flows that became known; None for all.
    """

    service_id: str
    bucket: int
    flows: frozenset[int] | None = None


class HandOver:
    """Runs claims and lists of one agent. No I/O, no clock.

    Attributes:
        member_id: The agent's own id.
        view: The view that decides; None before the first.
        services_by_id: What is held of each service that the agent serves.
    """

    def __init__(
        self, *, member_id: str, incarnation: int, settings: FlowsSettings
    ) -> None:
        """Prepares without a view.

        Args:
            member_id: The agent's own id.
            incarnation: The agent's own incarnation.
            settings: Times and bounds.
        """
        self.member_id = member_id
        self.view: View | None = None
        self.services_by_id: dict[str, ServiceFlows] = {}
        self._incarnation = incarnation
        self._settings = settings
        self._chooser = AgentChooser()
        self._own: Member | None = None
        self._doubted_until = 0.0
        self._started_at: float | None = None
        self._sequence = 0
        self._live_ids: frozenset[str] = frozenset()
        self._incarnations_by_id: dict[str, int] = {}
        self._list_sequences_by_id: dict[str, int] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self._released: list[ReleasedBucket] = []
        self._housekeeping_at = 0.0
        self._audit_at = 0.0

    def take_released(self) -> list[ReleasedBucket]:
        """Hands out the buckets whose held packets may go on.

        Returns:
            The buckets; they are handed out once.
        """
        released, self._released = self._released, []
        return released

    # Views.

    def update(self, view: View, *, now: float) -> list[SendNotes]:
        """Takes a new view.

        Args:
            view: The view that decides from now on.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        self.view = view
        self._chooser.update(view)
        own = view.members_by_id.get(self.member_id)
        if own is None:
            return []
        was_doubted = self._was_doubted(own)
        self._own = own
        if self._started_at is None and _serves_any(view, own):
            # Services come together with the peers of the class. Before, an agent
            # that was cut off at its start would be alone in its view, primary of
            # all buckets, and would create flows that its peers own.
            self._started_at = now
        self._forget_lost_owners(view)
        peers = [
            agent
            for agent in view.agents_by_class.get(own.upstream_class, ())
            if agent.state is not MemberState.GONE and agent.member_id != self.member_id
        ]
        live_ids = frozenset(peer.member_id for peer in peers)
        appeared = frozenset(
            peer.member_id
            for peer in peers
            if peer.member_id not in self._live_ids
            and (was_doubted or self._may_hold_rights(peer, now=now))
        )
        self._live_ids = live_ids
        for peer in peers:
            self._incarnations_by_id.setdefault(peer.member_id, peer.incarnation)
        actions: list[SendNotes] = []
        served = {
            service.service_id: service
            for service in view.services_by_id.values()
            if service.upstream_class == own.upstream_class
        }
        for service_id in tuple(self.services_by_id):
            if service_id not in served:
                self._stop_serving(service_id)
        for service in served.values():
            state = self.services_by_id.setdefault(
                service.service_id, ServiceFlows(service.service_id)
            )
            self._adapt_claims(state, appeared, now=now)
            if was_doubted:
                self._renew_claims(state, now=now)
            self._take_table(state, service, now=now)
            actions += self._confirm_wanted(state, now=now)
            self._settle_all(state, now=now)
            actions += self._ask(state, now=now)
        return actions

    def _was_doubted(self, own: Member) -> bool:
        # The version rose without a change of our own: peers held us for suspect or
        # gone, and we spoke up. While we were paused or cut off they may have
        # settled our buckets without us, so our rights are void.
        old = self._own
        if old is None or own.version <= old.version:
            return False
        return attrs.evolve(old, version=own.version) == own

    def notice_pause(self, *, now: float) -> None:
        """Voids rights that peers may have taken over, after the process stood still.

        Args:
            now: Clock reading, seconds.
        """
        if self._started_at is not None:
            self._started_at = now  # News of the time before may be on its way still.
        for state in self.services_by_id.values():
            self._renew_claims(state, now=now)

    def _renew_claims(self, state: ServiceFlows, *, now: float) -> None:
        # Peers that started meanwhile settled without us.
        self._doubted_until = now + DOUBT_SECONDS
        for bucket, claim in tuple(state.claims_by_bucket.items()):
            if claim.left_at is None:
                claim.settled = False
                self._begin_claim(state, bucket, claim, "", now=now)
            else:
                self._give_up(state, bucket, now=now)

    def _may_hold_rights(self, peer: Member, *, now: float) -> bool:
        if now < self._doubted_until:
            return True
        # A peer that was counted as gone by mistake comes back with its flows.
        if self._incarnations_by_id.get(peer.member_id) == peer.incarnation:
            return True
        return peer.incarnation < self._incarnation + CLOCK_MARGIN_MILLISECONDS

    def _forget_lost_owners(self, view: View) -> None:
        for member_id, incarnation in tuple(self._incarnations_by_id.items()):
            member = view.members_by_id.get(member_id)
            if member is None:
                del self._incarnations_by_id[member_id]
                self._list_sequences_by_id.pop(member_id, None)
                self._heard_at_by_id.pop(member_id, None)
            elif member.incarnation > incarnation:
                self._restarted(member_id, member.incarnation)
            elif member.state is MemberState.GONE and member.incarnation == incarnation:
                self._forget_owner(member_id)

    def _restarted(self, member_id: str, incarnation: int) -> None:
        self._incarnations_by_id[member_id] = incarnation
        self._list_sequences_by_id.pop(member_id, None)
        self._forget_owner(member_id)

    def _forget_owner(self, member_id: str) -> None:
        for state in self.services_by_id.values():
            for claim in state.claims_by_bucket.values():
                claim.forget_owner(member_id)

    def _stop_serving(self, service_id: str) -> None:
        state = self.services_by_id[service_id]
        flows_by_bucket = state.flows_by_bucket
        if flows_by_bucket:
            self.services_by_id[service_id] = ServiceFlows(
                service_id, flows_by_bucket=flows_by_bucket
            )
        else:
            del self.services_by_id[service_id]

    def _adapt_claims(
        self, state: ServiceFlows, appeared: frozenset[str], *, now: float
    ) -> None:
        assert self.view is not None
        view = self.view
        for bucket, claim in state.claims_by_bucket.items():
            claim.pending = {
                peer_id
                for peer_id in claim.pending
                if peer_id in self._live_ids or peer_id not in view.members_by_id
            }
            if not appeared:
                continue
            # A peer that we did not know may own flows of the bucket.
            claim.pending |= appeared
            self._unsettle(state, bucket, claim, now=now)
        for peer_id in appeared:
            state.ask_at_by_peer[peer_id] = now
            state.asked_by_peer[peer_id] = 0

    def _unsettle(
        self, state: ServiceFlows, bucket: int, claim: Claim, *, now: float
    ) -> None:
        if claim.settled:
            claim.settled = False
            claim.started_at = now
        state.unsettled.add(bucket)

    def _take_table(self, state: ServiceFlows, service: Service, *, now: float) -> None:
        table = self._chooser.table_of(service)
        old_table = state.table
        if table is old_table:
            return
        state.table = table
        table_without_self: BucketTable | None = None
        own_claims_before = bool(state.claims_by_bucket)
        for bucket in ALL_BUCKETS:
            primary = table.primary_of(bucket)
            primary_id = primary.member_id if primary else ""
            old = old_table.primary_of(bucket) if old_table else None
            old_id = old.member_id if old else ""
            claim = state.claims_by_bucket.get(bucket)
            if primary_id != self.member_id:
                if primary_id != old_id or (claim and claim.left_at is None):
                    self._primary_moved(state, bucket, claim, now=now)
                continue
            previous_id = old_id
            needs_guess = not own_claims_before or (claim and not claim.previous_id)
            if needs_guess and (not old_id or old_id == self.member_id):
                if table_without_self is None:
                    table_without_self = self._table_without_self(service)
                before = table_without_self.primary_of(bucket)
                previous_id = before.member_id if before else ""
            self._own_bucket(state, bucket, claim, previous_id, now=now)

    def _table_without_self(self, service: Service) -> BucketTable:
        assert self.view is not None
        others = [
            agent
            for agent in self.view.placeable_agents_of(service)
            if agent.member_id != self.member_id
        ]
        return build_bucket_table(others)

    def _primary_moved(
        self, state: ServiceFlows, bucket: int, claim: Claim | None, *, now: float
    ) -> None:
        if claim is not None and claim.left_at is None:
            claim.left_at = now
        if claim is None and bucket not in state.flows_by_bucket:
            state.unsent_by_bucket.pop(bucket, None)
            return
        state.unsent_by_bucket[bucket] = UnsentList(due_at=now + PUSH_DELAY_SECONDS)

    def _own_bucket(
        self,
        state: ServiceFlows,
        bucket: int,
        claim: Claim | None,
        previous_id: str,
        *,
        now: float,
    ) -> None:
        state.unsent_by_bucket.pop(bucket, None)
        if claim is not None and claim.settled:
            # Nobody could settle it meanwhile without our confirmation. But flows
            # may have ended, and their owners told somebody else.
            if claim.left_at is not None:
                claim.left_at = None
                claim.doubt_notes()
            return
        if claim is not None and claim.left_at is None:
            claim.previous_id = claim.previous_id or previous_id
            return
        # Peers may have confirmed the left claim to another since: begin anew.
        if previous_id == self.member_id:
            previous_id = ""
        self._begin_claim(state, bucket, claim, previous_id, now=now)

    def _begin_claim(
        self,
        state: ServiceFlows,
        bucket: int,
        old: Claim | None,
        previous_id: str,
        *,
        now: float,
    ) -> None:
        assert self.view is not None
        claim = Claim(
            version=self.view.version,
            started_at=now,
            previous_id=previous_id,
            pending=set(self._live_ids),
        )
        if old is not None:
            claim.owners_by_flow = old.owners_by_flow
            claim.versions_by_flow = old.versions_by_flow
        state.claims_by_bucket[bucket] = claim
        state.unsettled.add(bucket)
        for peer_id in claim.pending:
            state.ask_at_by_peer[peer_id] = now
            state.asked_by_peer[peer_id] = 0

    # Claims.

    def _settle_all(self, state: ServiceFlows, *, now: float) -> None:
        for bucket in tuple(state.unsettled):
            self._settle(state, bucket, now=now)

    def _settle(self, state: ServiceFlows, bucket: int, *, now: float) -> None:
        claim = state.claims_by_bucket[bucket]
        if self._started_at is None or claim.pending:
            return
        if now < self._started_at + self._settings.settle_delay:
            return
        claim.settled = True
        state.unsettled.discard(bucket)
        self._released.append(ReleasedBucket(state.service_id, bucket))

    def _ask(self, state: ServiceFlows, *, now: float) -> list[SendNotes]:
        due = {
            peer_id
            for peer_id in self._live_ids
            if state.ask_at_by_peer.get(peer_id, 0.0) <= now
        }
        if not due or not state.unsettled:
            return []
        buckets_by_question: dict[tuple[str, int], list[int]] = {}
        for bucket in sorted(state.unsettled):
            claim = state.claims_by_bucket[bucket]
            if claim.left_at is not None:
                continue
            for peer_id in self._to_ask(claim) & due:
                question = (peer_id, claim.version)
                buckets_by_question.setdefault(question, []).append(bucket)
        actions = []
        for (peer_id, version), buckets in sorted(buckets_by_question.items()):
            actions += self._send(
                peer_id,
                service_id=state.service_id,
                claimed_buckets=tuple(buckets),
                claim_version=version,
            )
        for peer_id in {peer_id for peer_id, _ in buckets_by_question}:
            asked = state.asked_by_peer.get(peer_id, 0)
            state.asked_by_peer[peer_id] = asked + 1
            state.ask_at_by_peer[peer_id] = now + _retry_pause(asked)
        return actions

    def _to_ask(self, claim: Claim) -> set[str]:
        # The previous primary comes last: until it confirms, it lets us create
        # flows one by one, so new callers need not wait for slow views.
        others = claim.pending - {claim.previous_id}
        return others or claim.pending

    def _on_claim(
        self, state: ServiceFlows, notes: FlowNotes, *, now: float
    ) -> list[SendNotes]:
        wanted = WantedClaim(
            notes.sender_id, notes.sender_incarnation, notes.claim_version
        )
        confirmed = []
        for bucket in _valid_buckets(notes.claimed_buckets):
            if state.primary_id_of(bucket) == notes.sender_id:
                confirmed.append(bucket)
                continue
            state.wanted_by_bucket[bucket] = wanted
            claim = state.claims_by_bucket.get(bucket)
            if (
                claim is not None
                and not claim.settled
                and notes.sender_id in self._live_ids
            ):
                # Its confirmation of our claim, if any, no longer binds it.
                claim.pending.add(notes.sender_id)
        if not confirmed:
            # An empty answer: this agent lives, its view does not agree yet.
            return self._send(notes.sender_id, service_id=state.service_id)
        return self._confirm(state, wanted, confirmed, now=now)

    def _confirm_wanted(self, state: ServiceFlows, *, now: float) -> list[SendNotes]:
        assert self.view is not None
        buckets_by_claim: dict[WantedClaim, list[int]] = {}
        for bucket, wanted in tuple(state.wanted_by_bucket.items()):
            member = self.view.members_by_id.get(wanted.claimant_id)
            if member is not None and member.incarnation > wanted.incarnation:
                del state.wanted_by_bucket[bucket]
            elif state.primary_id_of(bucket) == wanted.claimant_id:
                del state.wanted_by_bucket[bucket]
                buckets_by_claim.setdefault(wanted, []).append(bucket)
        actions = []
        for wanted, buckets in buckets_by_claim.items():
            actions += self._confirm(state, wanted, buckets, now=now)
        return actions

    def _confirm(
        self,
        state: ServiceFlows,
        wanted: WantedClaim,
        buckets: Iterable[int],
        *,
        now: float,
    ) -> list[SendNotes]:
        for bucket in buckets:
            self._give_up(state, bucket, now=now)
            state.given_by_bucket.setdefault(bucket, {})[wanted.claimant_id] = now
            unsent = state.unsent_by_bucket.get(bucket)
            if state.has_news(bucket):
                state.unsent_by_bucket.setdefault(bucket, UnsentList(due_at=now))
            elif unsent is not None and not unsent.takes_back:
                # Nothing to say; should this message be lost, the claim comes again.
                del state.unsent_by_bucket[bucket]
        return self._send_lists(state, wanted.claimant_id, buckets, wanted, now=now)

    def _give_up(self, state: ServiceFlows, bucket: int, *, now: float) -> None:
        state.wanted_by_bucket.pop(bucket, None)
        claim = state.claims_by_bucket.pop(bucket, None)
        if claim is None:
            return
        state.unsettled.discard(bucket)
        until = now + GRANT_SECONDS
        granted = {
            digest: GrantedFlow(claim.owners_by_flow[digest], version, until)
            for digest, version in claim.versions_by_flow.items()
        }
        if granted:
            state.granted_by_bucket.setdefault(bucket, {}).update(granted)
        self._released.append(ReleasedBucket(state.service_id, bucket))

    # Lists.

    def _send_lists(
        self,
        state: ServiceFlows,
        peer_id: str,
        buckets: Iterable[int],
        wanted: WantedClaim | None,
        *,
        now: float,
        version: int = 0,
    ) -> list[SendNotes]:
        actions = []
        for batch in self._batches(state, buckets):
            actions += self._send(
                peer_id,
                service_id=state.service_id,
                version=version,
                listed_buckets=tuple(batch),
                flows=tuple(
                    digest
                    for bucket in batch
                    for digest in state.flows_by_bucket.get(bucket, ())
                ),
                notes=tuple(self._grants_of(state, batch)),
                given_to=self._given_to(state, batch, peer_id),
                receiver_incarnation=wanted.incarnation if wanted else 0,
                confirmed_version=wanted.version if wanted else 0,
            )
            for bucket in batch:
                unsent = state.unsent_by_bucket.get(bucket)
                if unsent is not None:
                    unsent.sequence = self._sequence
                    unsent.due_at = now + _retry_pause(unsent.attempts)
                    unsent.attempts += 1
        return actions

    def _batches(
        self, state: ServiceFlows, buckets: Iterable[int]
    ) -> Iterable[list[int]]:
        batch: list[int] = []
        count = 0
        for bucket in buckets:
            size = len(state.flows_by_bucket.get(bucket, ()))
            size += len(state.granted_by_bucket.get(bucket, ()))
            if batch and count + size > FLOWS_A_MESSAGE:
                yield batch
                batch, count = [], 0
            batch.append(bucket)
            count += size
        if batch:
            yield batch

    def _grants_of(
        self, state: ServiceFlows, buckets: Iterable[int]
    ) -> Iterable[FlowNote]:
        for bucket in buckets:
            for digest, granted in state.granted_by_bucket.get(bucket, {}).items():
                yield FlowNote(
                    flow_hash=digest,
                    owner_id=granted.owner_id,
                    owner_incarnation=self._incarnations_by_id.get(granted.owner_id, 0),
                    owner_version=granted.version,
                )

    def _given_to(
        self, state: ServiceFlows, buckets: Iterable[int], peer_id: str
    ) -> tuple[str, ...]:
        given_ids: set[str] = set()
        for bucket in buckets:
            given_ids.update(state.given_by_bucket.get(bucket, ()))
        return tuple(sorted((given_ids & self._live_ids) - {peer_id}))

    def _on_list(
        self, state: ServiceFlows, notes: FlowNotes, *, now: float
    ) -> list[SendNotes]:
        sender_id = notes.sender_id
        assert self.view is not None
        if sender_id in self.view.members_by_id and sender_id not in self._live_ids:
            return []  # Counted as gone; should it come back, a claim asks it again.
        if notes.sequence < self._list_sequences_by_id.get(sender_id, 0):
            return []
        self._list_sequences_by_id[sender_id] = notes.sequence
        if self.note_count() + len(notes.flows) > self._settings.note_limit:
            # Not accepted: without its notes the bucket must not settle.
            return []
        flows_by_bucket: dict[int, set[int]] = {}
        for digest in notes.flows:
            if not state.owns(digest):
                flows_by_bucket.setdefault(bucket_of(digest), set()).add(digest)
        accepted = []
        for bucket in _valid_buckets(notes.listed_buckets):
            accepted.append(bucket)
            claim = state.claims_by_bucket.get(bucket)
            if claim is None:
                continue  # Should the bucket come here, a claim asks for the list.
            flows = flows_by_bucket.get(bucket, set())
            claim.replace_list(sender_id, flows, notes.sender_version)
            if flows:
                self._released.append(
                    ReleasedBucket(state.service_id, bucket, frozenset(flows))
                )
        self._take_grants(state, notes)
        actions = []
        if accepted and (notes.flows or notes.notes or not notes.confirmed_version):
            actions += self._send(
                sender_id,
                service_id=state.service_id,
                accepted_buckets=tuple(accepted),
                accepted_sequence=notes.sequence,
            )
        if notes.confirmed_version and notes.receiver_incarnation == self._incarnation:
            self._confirmed(state, notes, accepted, now=now)
            actions += self._ask(state, now=now)
        return actions

    def _take_grants(self, state: ServiceFlows, notes: FlowNotes) -> None:
        for note in notes.notes:
            claim = state.claims_by_bucket.get(bucket_of(note.flow_hash))
            if claim is None or state.owns(note.flow_hash):
                continue
            known = self._incarnations_by_id.get(note.owner_id)
            if known != note.owner_incarnation or note.owner_id not in self._live_ids:
                continue
            if note.flow_hash not in claim.owners_by_flow:
                claim.note(note.flow_hash, note.owner_id, note.owner_version)

    def _confirmed(
        self,
        state: ServiceFlows,
        notes: FlowNotes,
        buckets: Iterable[int],
        *,
        now: float,
    ) -> None:
        state.asked_by_peer[notes.sender_id] = 0
        # Two agents that join at once, each unknown to the other, would both settle.
        assert self.view is not None
        unknown_ids = set(notes.given_to) - self.view.members_by_id.keys()
        for bucket in buckets:
            claim = state.claims_by_bucket.get(bucket)
            if claim is None or claim.settled:
                continue
            if claim.version != notes.confirmed_version:
                continue
            claim.pending.discard(notes.sender_id)
            claim.pending |= unknown_ids
            self._settle(state, bucket, now=now)
            if claim.pending == {claim.previous_id}:
                state.ask_at_by_peer[claim.previous_id] = now

    def _audit(self, state: ServiceFlows) -> list[SendNotes]:
        """Asks owners about notes that they did not confirm themselves."""
        assert self.view is not None
        for member_id in self.view.members_by_id.keys() - self._live_ids:
            # A late question of a peer that is gone left a note.
            if member_id in self._incarnations_by_id:
                self._forget_owner(member_id)
        self._doubt_next_bucket(state)
        buckets_by_owner: dict[str, set[int]] = {}
        versions_by_owner: dict[str, int] = {}
        for bucket, claim in state.claims_by_bucket.items():
            if not claim.settled:
                continue
            for digest, version in claim.versions_by_flow.items():
                owner_id = claim.owners_by_flow[digest]
                buckets_by_owner.setdefault(owner_id, set()).add(bucket)
                known = versions_by_owner.get(owner_id, 0)
                versions_by_owner[owner_id] = max(known, version)
        actions = []
        for owner_id, buckets in sorted(buckets_by_owner.items()):
            actions += self._send(
                owner_id,
                service_id=state.service_id,
                audited_buckets=tuple(sorted(buckets)),
                audited_version=versions_by_owner[owner_id],
            )
        return actions

    def _doubt_next_bucket(self, state: ServiceFlows) -> None:
        # Catches notes whose end was told to another: an owner's view may name a
        # second primary for a while that this agent never heard of.
        buckets = sorted(
            bucket
            for bucket, claim in state.claims_by_bucket.items()
            if claim.settled and claim.owners_by_flow
        )
        if not buckets:
            return
        later = [bucket for bucket in buckets if bucket > state.doubted_bucket]
        state.doubted_bucket = later[0] if later else buckets[0]
        state.claims_by_bucket[state.doubted_bucket].doubt_notes()

    def _on_audit(
        self, state: ServiceFlows, notes: FlowNotes, *, now: float
    ) -> list[SendNotes]:
        certain = []
        for bucket in _valid_buckets(notes.audited_buckets):
            claim = state.claims_by_bucket.get(bucket)
            # With a claim of its own, this agent may still be let create flows.
            if claim is None or claim.left_at is not None:
                certain.append(bucket)
        # A question of a higher version came from an earlier incarnation.
        assert self.view is not None
        version = max(self.view.version, notes.audited_version)
        return self._send_lists(
            state, notes.sender_id, certain, None, version=version, now=now
        )

    def _on_acceptance(self, state: ServiceFlows, notes: FlowNotes) -> None:
        for bucket in notes.accepted_buckets:
            unsent = state.unsent_by_bucket.get(bucket)
            if unsent is None or unsent.sequence != notes.accepted_sequence:
                continue
            del state.unsent_by_bucket[bucket]
            claim = state.claims_by_bucket.get(bucket)
            if claim and claim.left_at is not None and not claim.settled:
                del state.claims_by_bucket[bucket]
                state.unsettled.discard(bucket)

    # Messages and time.

    def on_notes(self, notes: FlowNotes, *, now: float) -> list[SendNotes]:
        """Takes a message of a peer.

        Args:
            notes: The message.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        state = self.services_by_id.get(notes.service_id)
        if state is None or state.table is None or notes.sender_id == self.member_id:
            return []
        known = self._incarnations_by_id.get(notes.sender_id)
        if known is not None and notes.sender_incarnation < known:
            return []
        if known != notes.sender_incarnation:
            self._restarted(notes.sender_id, notes.sender_incarnation)
        self._heard_at_by_id[notes.sender_id] = now
        actions: list[SendNotes] = []
        if notes.claimed_buckets:
            actions += self._on_claim(state, notes, now=now)
        if notes.listed_buckets:
            actions += self._on_list(state, notes, now=now)
        if notes.accepted_buckets:
            self._on_acceptance(state, notes)
        if notes.audited_buckets:
            actions += self._on_audit(state, notes, now=now)
        return actions

    def flow_ended(self, state: ServiceFlows, digest: int, *, now: float) -> None:
        """Forgets an own flow and takes its note back.

        Args:
            state: Service of the flow.
            digest: Hash of the flow.
            now: Clock reading, seconds.
        """
        state.remove_flow(digest)
        bucket = bucket_of(digest)
        if state.primary_id_of(bucket) in ("", self.member_id):
            return
        # The list is sent again without the flow; endings close together share it.
        unsent = state.unsent_by_bucket.get(bucket)
        due_at = now + PUSH_DELAY_SECONDS
        if unsent is not None:
            due_at = min(due_at, unsent.due_at)
        state.unsent_by_bucket[bucket] = UnsentList(due_at=due_at, takes_back=True)

    def tick(self, *, now: float) -> list[SendNotes]:
        """Lets time pass.

        Args:
            now: Clock reading, seconds.

        Returns:
            Messages that have become due.
        """
        actions: list[SendNotes] = []
        housekeeping = now >= self._housekeeping_at
        if housekeeping:
            self._housekeeping_at = now + HOUSEKEEPING_SECONDS
        audit_due = now >= self._audit_at
        if audit_due:
            self._audit_at = now + AUDIT_SECONDS
        for state in self.services_by_id.values():
            if state.unsent_by_bucket:
                actions += self._push(state, now=now)
            if housekeeping:
                self._skip_silent_peers(state, now=now)
                self._settle_all(state, now=now)
                self._expire_memories(state, now=now)
            if audit_due:
                actions += self._audit(state)
            if state.unsettled:
                actions += self._ask(state, now=now)
        return actions

    def _push(self, state: ServiceFlows, *, now: float) -> list[SendNotes]:
        buckets_by_primary: dict[str, list[int]] = {}
        for bucket, unsent in tuple(state.unsent_by_bucket.items()):
            if unsent.due_at > now:
                continue
            primary_id = state.primary_id_of(bucket)
            if primary_id == self.member_id:
                del state.unsent_by_bucket[bucket]
            elif not primary_id:
                unsent.due_at = now + PUSH_DELAY_SECONDS
            else:
                buckets_by_primary.setdefault(primary_id, []).append(bucket)
        actions = []
        for primary_id, buckets in sorted(buckets_by_primary.items()):
            actions += self._send_lists(state, primary_id, buckets, None, now=now)
        return actions

    def _skip_silent_peers(self, state: ServiceFlows, *, now: float) -> None:
        timeout = self._settings.settle_timeout
        for bucket in state.unsettled:
            claim = state.claims_by_bucket[bucket]
            age = now - claim.started_at
            if age >= timeout * DISAGREEMENT_TIMEOUTS:
                claim.pending.clear()
            elif age >= timeout:
                claim.pending -= {
                    peer_id
                    for peer_id in claim.pending
                    if self._heard_at_by_id.get(peer_id, -1.0) < claim.started_at
                }

    def _expire_memories(self, state: ServiceFlows, *, now: float) -> None:
        for bucket, granted_by_flow in tuple(state.granted_by_bucket.items()):
            for digest, granted in tuple(granted_by_flow.items()):
                if granted.until <= now:
                    del granted_by_flow[digest]
            if not granted_by_flow:
                del state.granted_by_bucket[bucket]
        for bucket, given_at_by_id in tuple(state.given_by_bucket.items()):
            for peer_id, given_at in tuple(given_at_by_id.items()):
                if now - given_at >= GRANT_SECONDS:
                    del given_at_by_id[peer_id]
            if not given_at_by_id:
                del state.given_by_bucket[bucket]

    def note_count(self) -> int:
        """Counts the notes held.

        Returns:
            Their number.
        """
        return sum(state.note_count() for state in self.services_by_id.values())

    def pending_count(self) -> int:
        """Counts lists that primaries have not accepted yet.

        Returns:
            Their number.
        """
        return sum(len(s.unsent_by_bucket) for s in self.services_by_id.values())

    def _send(
        self,
        peer_id: str,
        *,
        service_id: str,
        version: int = 0,
        claimed_buckets: tuple[int, ...] = (),
        claim_version: int = 0,
        listed_buckets: tuple[int, ...] = (),
        flows: tuple[int, ...] = (),
        notes: tuple[FlowNote, ...] = (),
        given_to: tuple[str, ...] = (),
        receiver_incarnation: int = 0,
        confirmed_version: int = 0,
        accepted_buckets: tuple[int, ...] = (),
        accepted_sequence: int = 0,
        audited_buckets: tuple[int, ...] = (),
        audited_version: int = 0,
    ) -> list[SendNotes]:
        assert self.view is not None
        peer = self.view.members_by_id.get(peer_id)
        if peer is None:
            return []
        self._sequence += 1
        message = FlowNotes(
            service_id=service_id,
            sender_id=self.member_id,
            sender_incarnation=self._incarnation,
            sender_version=version or self.view.version,
            sequence=self._sequence,
            claimed_buckets=claimed_buckets,
            claim_version=claim_version,
            listed_buckets=listed_buckets,
            flows=flows,
            notes=notes,
            given_to=given_to,
            receiver_incarnation=receiver_incarnation,
            confirmed_version=confirmed_version,
            accepted_buckets=accepted_buckets,
            accepted_sequence=accepted_sequence,
            audited_buckets=audited_buckets,
            audited_version=audited_version,
        )
        return [SendNotes(peer, message)]


def _serves_any(view: View, own: Member) -> bool:
    return any(
        service.upstream_class == own.upstream_class
        for service in view.services_by_id.values()
    )


def _retry_pause(attempts: int) -> float:
    return float(RETRY_SECONDS * (1 << min(attempts, RETRY_DOUBLINGS)))


def _valid_buckets(buckets: Iterable[int]) -> list[int]:
    return [bucket for bucket in buckets if bucket in ALL_BUCKETS]
