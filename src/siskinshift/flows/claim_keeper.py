"""Claims of buckets: begun, asked for, confirmed, settled, given up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.flows.claims import Claim
from siskinshift.flows.flow_lists import valid_buckets
from siskinshift.flows.notes_writer import retry_pause
from siskinshift.flows.service_flows import ALL_BUCKETS
from siskinshift.flows.service_flows import GrantedFlow
from siskinshift.flows.service_flows import ReleasedBucket
from siskinshift.flows.service_flows import UnsentList
from siskinshift.flows.service_flows import WantedClaim
from siskinshift.messages.flows import FlowNotes
from siskinshift.routing.buckets import build_bucket_table


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.flows.actions import SendNotes
    from siskinshift.flows.flow_lists import FlowLists
    from siskinshift.flows.notes_writer import NotesWriter
    from siskinshift.flows.peers import Peers
    from siskinshift.flows.service_flows import ServiceFlows
    from siskinshift.messages.core import Service
    from siskinshift.routing.buckets import BucketTable
    from siskinshift.settings.generated import FlowsSettings


# A peer that answers but does not agree is waited for this many timeouts: its view
# is old, and it may still create flows.
DISAGREEMENT_TIMEOUTS = 6
# Pause after nothing was found to ask for; below the first pause of a claim.
ASK_IDLE_SECONDS = 0.25
# Permissions in buckets given up are told again for this long: they cover packets
# still on their way to the peer that was allowed.
GRANT_SECONDS = 30.0


class ClaimKeeper:
    """Decides when the agent alone may create flows in a bucket."""

    def __init__(
        self,
        *,
        peers: Peers,
        writer: NotesWriter,
        lists: FlowLists,
        settings: FlowsSettings,
    ) -> None:
        """Prepares without claims.

        Args:
            peers: The agent and its peers.
            writer: Makes messages.
            lists: Sends what a confirmation contains.
            settings: Times and bounds.
        """
        self._peers = peers
        self._writer = writer
        self._lists = lists
        self._settle_timeout = settings.settle_timeout

    def adapt(
        self, state: ServiceFlows, appeared: frozenset[str], *, now: float
    ) -> None:
        """Takes peers that came or went into account.

        Args:
            state: The service.
            appeared: Peers that became known and may hold rights.
            now: Clock reading, seconds.
        """
        for bucket, claim in state.claims_by_bucket.items():
            claim.pending = {
                peer_id for peer_id in claim.pending if not self._peers.is_gone(peer_id)
            }
            if not appeared:
                continue
            # A peer that we did not know may own flows of the bucket.
            claim.pending |= appeared
            state.unsettled.add(bucket)
            if claim.settled:
                claim.settled = False
                claim.started_at = now
        for peer_id in appeared:
            state.ask_soon(peer_id, now=now)

    def renew(self, state: ServiceFlows, *, now: float) -> None:
        """Begins all claims anew, because peers may have taken them over.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
        for bucket, claim in tuple(state.claims_by_bucket.items()):
            if claim.left_at is None:
                self._begin(state, bucket, claim, "", now=now)
            else:
                self._give_up(state, bucket, now=now)

    def take_table(
        self,
        state: ServiceFlows,
        service: Service,
        table: BucketTable,
        *,
        now: float,
    ) -> None:
        """Begins and leaves claims as primaries change.

        Args:
            state: The service's flows.
            service: The service.
            table: Its bucket table in the present view.
            now: Clock reading, seconds.
        """
        old_table = state.table
        if table is old_table:
            return
        state.table = table
        guesses: BucketTable | None = None
        had_claims = bool(state.claims_by_bucket)
        for bucket in ALL_BUCKETS:
            primary_id = _primary_id(table, bucket)
            old_id = _primary_id(old_table, bucket)
            claim = state.claims_by_bucket.get(bucket)
            if primary_id != self._peers.member_id:
                if primary_id != old_id or (claim and claim.left_at is None):
                    self._leave(state, bucket, claim, now=now)
                continue
            previous_id = old_id
            needs_guess = not had_claims or (claim and not claim.previous_id)
            if needs_guess and old_id in ("", self._peers.member_id):
                guesses = guesses or self._table_without_self(service)
                previous_id = _primary_id(guesses, bucket)
            self._enter(state, bucket, claim, previous_id, now=now)

    def settle_all(self, state: ServiceFlows, *, now: float) -> None:
        """Settles the claims that nothing stands against any more.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
        for bucket in tuple(state.unsettled):
            self._settle(state, bucket, now=now)

    def ask(self, state: ServiceFlows, *, now: float) -> list[SendNotes]:
        """Claims unsettled buckets from the peers that are due.

        Args:
            state: The service.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        if now < state.ask_idle_until or not state.unsettled:
            return []
        due = {
            peer_id
            for peer_id in self._peers.live_ids
            if state.ask_at_by_peer.get(peer_id, 0.0) <= now
        }
        buckets_by_question: dict[tuple[str, int], list[int]] = {}
        for bucket in sorted(state.unsettled):
            claim = state.claims_by_bucket[bucket]
            if claim.left_at is not None:
                continue
            for peer_id in _to_ask(claim) & due:
                question = (peer_id, claim.version)
                buckets_by_question.setdefault(question, []).append(bucket)
        if not buckets_by_question:
            # Looking through thousands of buckets at each tick of 50 ms takes the
            # processor that answers need.
            state.ask_idle_until = now + ASK_IDLE_SECONDS
        actions = []
        for (peer_id, version), buckets in sorted(buckets_by_question.items()):
            message = FlowNotes(
                service_id=state.service_id,
                claimed_buckets=tuple(buckets),
                claim_version=version,
            )
            actions += self._writer.send(peer_id, message)
        for peer_id in {peer_id for peer_id, _ in buckets_by_question}:
            asked = state.asked_by_peer.get(peer_id, 0)
            state.asked_by_peer[peer_id] = asked + 1
            state.ask_at_by_peer[peer_id] = now + retry_pause(asked)
        return actions

    def on_claim(
        self, state: ServiceFlows, notes: FlowNotes, *, now: float
    ) -> list[SendNotes]:
        """Answers a peer's claim.

        Args:
            state: Service of the claim.
            notes: The claim.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        wanted = WantedClaim(
            notes.sender_id, notes.sender_incarnation, notes.claim_version
        )
        confirmed = []
        for bucket in valid_buckets(notes.claimed_buckets):
            if state.primary_id_of(bucket) == notes.sender_id:
                confirmed.append(bucket)
                continue
            state.wanted_by_bucket[bucket] = wanted
            claim = state.claims_by_bucket.get(bucket)
            is_live = notes.sender_id in self._peers.live_ids
            if claim is not None and not claim.settled and is_live:
                # Its confirmation of our claim, if any, no longer binds it.
                claim.pending.add(notes.sender_id)
        if not confirmed:
            # An empty answer: this agent lives, its view does not agree yet.
            empty = FlowNotes(service_id=state.service_id)
            return self._writer.send(notes.sender_id, empty)
        return self._confirm(state, wanted, confirmed, now=now)

    def confirm_wanted(self, state: ServiceFlows, *, now: float) -> list[SendNotes]:
        """Confirms claims of peers that the view agrees with by now.

        Args:
            state: The service.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        view = self._peers.view
        assert view is not None
        buckets_by_claim: dict[WantedClaim, list[int]] = {}
        for bucket, wanted in tuple(state.wanted_by_bucket.items()):
            member = view.members_by_id.get(wanted.claimant_id)
            if member is not None and member.incarnation > wanted.incarnation:
                del state.wanted_by_bucket[bucket]
            elif state.primary_id_of(bucket) == wanted.claimant_id:
                del state.wanted_by_bucket[bucket]
                buckets_by_claim.setdefault(wanted, []).append(bucket)
        actions = []
        for wanted, buckets in buckets_by_claim.items():
            actions += self._confirm(state, wanted, buckets, now=now)
        return actions

    def on_confirmation(
        self,
        state: ServiceFlows,
        notes: FlowNotes,
        buckets: Iterable[int],
        *,
        now: float,
    ) -> list[SendNotes]:
        """Takes a peer's confirmation.

        Args:
            state: Service of the claim.
            notes: The list that confirms.
            buckets: Buckets whose lists were taken.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        if notes.receiver_incarnation != self._peers.incarnation:
            return []
        state.asked_by_peer[notes.sender_id] = 0
        # Two agents that join at once, each unknown to the other, would both settle.
        unknown_ids = {i for i in notes.given_to if not self._peers.knows(i)}
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
                state.ask_idle_until = now
        return self.ask(state, now=now)

    def skip_silent_peers(self, state: ServiceFlows, *, now: float) -> None:
        """Stops waiting for peers that did not answer for too long.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
        for bucket in state.unsettled:
            claim = state.claims_by_bucket[bucket]
            age = now - claim.started_at
            if age >= self._settle_timeout * DISAGREEMENT_TIMEOUTS:
                claim.pending.clear()
            elif age >= self._settle_timeout:
                claim.pending = {
                    peer_id
                    for peer_id in claim.pending
                    if self._peers.was_heard_since(peer_id, claim.started_at)
                }

    def expire_memories(self, state: ServiceFlows, *, now: float) -> None:
        """Forgets old permissions and confirmations.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
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

    def _table_without_self(self, service: Service) -> BucketTable:
        view = self._peers.view
        assert view is not None
        others = [
            agent
            for agent in view.placeable_agents_of(service)
            if agent.member_id != self._peers.member_id
        ]
        return build_bucket_table(others)

    def _leave(
        self, state: ServiceFlows, bucket: int, claim: Claim | None, *, now: float
    ) -> None:
        if claim is not None and claim.left_at is None:
            claim.left_at = now
        self._lists.primary_moved(state, bucket, now=now)

    def _enter(
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
        if previous_id == self._peers.member_id:
            previous_id = ""
        self._begin(state, bucket, claim, previous_id, now=now)

    def _begin(
        self,
        state: ServiceFlows,
        bucket: int,
        old: Claim | None,
        previous_id: str,
        *,
        now: float,
    ) -> None:
        view = self._peers.view
        assert view is not None
        claim = Claim(
            version=view.version,
            started_at=now,
            previous_id=previous_id,
            pending=set(self._peers.live_ids),
        )
        if old is not None:
            claim.owners_by_flow = old.owners_by_flow
            claim.versions_by_flow = old.versions_by_flow
        state.claims_by_bucket[bucket] = claim
        state.unsettled.add(bucket)
        for peer_id in claim.pending:
            state.ask_soon(peer_id, now=now)

    def _settle(self, state: ServiceFlows, bucket: int, *, now: float) -> None:
        claim = state.claims_by_bucket[bucket]
        if claim.pending or not self._peers.may_settle(now=now):
            return
        claim.settled = True
        state.unsettled.discard(bucket)
        state.released.append(ReleasedBucket(bucket))

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
        return self._lists.send(state, wanted.claimant_id, buckets, wanted, now=now)

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
        state.released.append(ReleasedBucket(bucket))


def _to_ask(claim: Claim) -> set[str]:
    # The previous primary comes last: until it confirms, it lets us create flows one
    # by one, so new callers need not wait for slow views.
    others = claim.pending - {claim.previous_id}
    return others or claim.pending


def _primary_id(table: BucketTable | None, bucket: int) -> str:
    primary = table.primary_of(bucket) if table else None
    return primary.member_id if primary else ""
