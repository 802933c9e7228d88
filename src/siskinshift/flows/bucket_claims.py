"""Manages an agent's claims of buckets, from the request to the handover.

A claim is complete once every peer has confirmed it. Only then may the agent create
flows in the bucket.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.flows.claims import Claim
from siskinshift.flows.flow_lists import valid_buckets
from siskinshift.flows.notes_writer import retry_delay
from siskinshift.flows.service_flows import ALL_BUCKETS
from siskinshift.flows.service_flows import PeerClaim
from siskinshift.flows.service_flows import PendingList
from siskinshift.flows.service_flows import PermittedFlow
from siskinshift.flows.service_flows import ReleasedBucket
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


# Number of completion timeouts to wait for a peer that replies but does not confirm:
# its view is stale, and it may still create flows.
DISAGREEMENT_TIMEOUTS = 6
# Delay after a scan that found nothing to request; below the first retry delay of a
# claim.
REQUEST_IDLE_SECONDS = 0.25
# How long permissions in relinquished buckets are included in lists: they cover
# packets still in flight to the peer that may create the flow.
PERMISSION_RETENTION_SECONDS = 30.0


class BucketClaims:
    """Tracks in which buckets this agent alone may create flows."""

    def __init__(
        self,
        *,
        peers: Peers,
        writer: NotesWriter,
        lists: FlowLists,
        settings: FlowsSettings,
    ) -> None:
        """Initializes the manager without claims.

        Args:
            peers: State of this agent and its peers.
            writer: Builds the messages.
            lists: Sends the flow lists that a confirmation contains.
            settings: Timeouts and limits of the flow layer.
        """
        self._peers = peers
        self._writer = writer
        self._lists = lists
        self._completion_timeout = settings.settle_timeout

    def apply_peer_changes(
        self, state: ServiceFlows, appeared: frozenset[str], *, now: float
    ) -> None:
        """Updates all claims after peers were added or removed.

        Args:
            state: The service.
            appeared: New peers that may hold rights.
            now: Clock reading, seconds.
        """
        for bucket, claim in state.claims_by_bucket.items():
            claim.pending_peer_ids = {
                peer_id
                for peer_id in claim.pending_peer_ids
                if not self._peers.is_gone(peer_id)
            }
            if not appeared:
                continue
            # A peer that was unknown until now may own flows of the bucket.
            claim.pending_peer_ids |= appeared
            state.incomplete_buckets.add(bucket)
            if claim.is_complete:
                claim.is_complete = False
                claim.started_at = now
        for peer_id in appeared:
            state.request_soon(peer_id, now=now)

    def restart_all(self, state: ServiceFlows, *, now: float) -> None:
        """Restarts all claims, because peers may have taken the buckets over.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
        for bucket, claim in tuple(state.claims_by_bucket.items()):
            if claim.left_at is None:
                self._start_claim(state, bucket, claim, "", now=now)
            else:
                self._relinquish(state, bucket, now=now)

    def apply_table(
        self,
        state: ServiceFlows,
        service: Service,
        table: BucketTable,
        *,
        now: float,
    ) -> None:
        """Starts claims of gained buckets and marks claims of lost buckets as left.

        Args:
            state: The service's flows.
            service: The service.
            table: Its bucket table in the current view.
            now: Clock reading, seconds.
        """
        old_table = state.table
        if table is old_table:
            return
        state.table = table
        fallback_table: BucketTable | None = None
        had_claims = bool(state.claims_by_bucket)
        for bucket in ALL_BUCKETS:
            primary_id = _primary_id(table, bucket)
            old_id = _primary_id(old_table, bucket)
            claim = state.claims_by_bucket.get(bucket)
            if primary_id != self._peers.member_id:
                if primary_id != old_id or (claim and claim.left_at is None):
                    self._lose_primary(state, bucket, claim, now=now)
                continue
            previous_id = old_id
            needs_fallback = not had_claims or (claim and not claim.previous_id)
            if needs_fallback and old_id in ("", self._peers.member_id):
                fallback_table = fallback_table or self._table_without_self(service)
                previous_id = _primary_id(fallback_table, bucket)
            self._gain_primary(state, bucket, claim, previous_id, now=now)

    def complete_confirmed(self, state: ServiceFlows, *, now: float) -> None:
        """Completes the claims that have no pending peers.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
        for bucket in tuple(state.incomplete_buckets):
            self._try_complete(state, bucket, now=now)

    def request_confirmations(
        self, state: ServiceFlows, *, now: float
    ) -> list[SendNotes]:
        """Requests confirmation of incomplete claims from the peers that are due.

        Args:
            state: The service.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        if now < state.requests_idle_until or not state.incomplete_buckets:
            return []
        due_peer_ids = {
            peer_id
            for peer_id in self._peers.live_ids
            if state.request_at_by_peer.get(peer_id, 0.0) <= now
        }
        buckets_by_request: dict[tuple[str, int], list[int]] = {}
        for bucket in sorted(state.incomplete_buckets):
            claim = state.claims_by_bucket[bucket]
            if claim.left_at is not None:
                continue
            for peer_id in _peers_to_request(claim) & due_peer_ids:
                request = (peer_id, claim.version)
                buckets_by_request.setdefault(request, []).append(bucket)
        if not buckets_by_request:
            # A scan of thousands of buckets at each tick of 50 ms would take CPU time
            # that replies need.
            state.requests_idle_until = now + REQUEST_IDLE_SECONDS
        actions = []
        for (peer_id, version), buckets in sorted(buckets_by_request.items()):
            message = FlowNotes(
                service_id=state.service_id,
                claimed_buckets=tuple(buckets),
                claim_version=version,
            )
            actions += self._writer.send(peer_id, message)
        for peer_id in {peer_id for peer_id, _ in buckets_by_request}:
            attempts = state.attempts_by_peer.get(peer_id, 0)
            state.attempts_by_peer[peer_id] = attempts + 1
            state.request_at_by_peer[peer_id] = now + retry_delay(attempts)
        return actions

    def on_claim(
        self, state: ServiceFlows, notes: FlowNotes, *, now: float
    ) -> list[SendNotes]:
        """Handles a peer's claim.

        Args:
            state: Service of the claim.
            notes: The claim.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        peer_claim = PeerClaim(
            notes.sender_id, notes.sender_incarnation, notes.claim_version
        )
        confirmed = []
        for bucket in valid_buckets(notes.claimed_buckets):
            if state.primary_id_of(bucket) == notes.sender_id:
                confirmed.append(bucket)
                continue
            state.peer_claims_by_bucket[bucket] = peer_claim
            claim = state.claims_by_bucket.get(bucket)
            is_live = notes.sender_id in self._peers.live_ids
            if claim is not None and not claim.is_complete and is_live:
                # Its earlier confirmation of this agent's claim is no longer valid.
                claim.pending_peer_ids.add(notes.sender_id)
        if not confirmed:
            # An empty reply: this agent is alive, but its view does not agree yet.
            empty = FlowNotes(service_id=state.service_id)
            return self._writer.send(notes.sender_id, empty)
        return self._confirm(state, peer_claim, confirmed, now=now)

    def confirm_peer_claims(
        self, state: ServiceFlows, *, now: float
    ) -> list[SendNotes]:
        """Confirms the stored claims of peers that the current view agrees with.

        Args:
            state: The service.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        view = self._peers.view
        assert view is not None
        buckets_by_claim: dict[PeerClaim, list[int]] = {}
        for bucket, peer_claim in tuple(state.peer_claims_by_bucket.items()):
            member = view.members_by_id.get(peer_claim.claimant_id)
            if member is not None and member.incarnation > peer_claim.incarnation:
                del state.peer_claims_by_bucket[bucket]
            elif state.primary_id_of(bucket) == peer_claim.claimant_id:
                del state.peer_claims_by_bucket[bucket]
                buckets_by_claim.setdefault(peer_claim, []).append(bucket)
        actions = []
        for peer_claim, buckets in buckets_by_claim.items():
            actions += self._confirm(state, peer_claim, buckets, now=now)
        return actions

    def on_confirmation(
        self,
        state: ServiceFlows,
        notes: FlowNotes,
        buckets: Iterable[int],
        *,
        now: float,
    ) -> list[SendNotes]:
        """Handles a peer's confirmation.

        Args:
            state: Service of the claim.
            notes: The list that carries the confirmation.
            buckets: Buckets whose lists were applied.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        if notes.receiver_incarnation != self._peers.incarnation:
            return []
        state.attempts_by_peer[notes.sender_id] = 0
        # Claimants that the sender has confirmed but that this agent's view lacks must
        # confirm too. Otherwise two agents that join at once, each unknown to the
        # other, would both complete their claims.
        unknown_ids = {i for i in notes.given_to if not self._peers.has_member(i)}
        for bucket in buckets:
            claim = state.claims_by_bucket.get(bucket)
            if claim is None or claim.is_complete:
                continue
            if claim.version != notes.confirmed_version:
                continue
            claim.pending_peer_ids.discard(notes.sender_id)
            claim.pending_peer_ids |= unknown_ids
            self._try_complete(state, bucket, now=now)
            if claim.pending_peer_ids == {claim.previous_id}:
                state.request_at_by_peer[claim.previous_id] = now
                state.requests_idle_until = now
        return self.request_confirmations(state, now=now)

    def drop_unresponsive_peers(self, state: ServiceFlows, *, now: float) -> None:
        """Stops waiting for peers that have not replied within the timeout.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
        for bucket in state.incomplete_buckets:
            claim = state.claims_by_bucket[bucket]
            age = now - claim.started_at
            if age >= self._completion_timeout * DISAGREEMENT_TIMEOUTS:
                claim.pending_peer_ids.clear()
            elif age >= self._completion_timeout:
                claim.pending_peer_ids = {
                    peer_id
                    for peer_id in claim.pending_peer_ids
                    if self._peers.was_seen_since(peer_id, claim.started_at)
                }

    def expire_records(self, state: ServiceFlows, *, now: float) -> None:
        """Removes expired permissions and confirmations.

        Args:
            state: The service.
            now: Clock reading, seconds.
        """
        for bucket, permitted_by_flow in tuple(state.permitted_by_bucket.items()):
            for flow_hash, permitted in tuple(permitted_by_flow.items()):
                if permitted.expires_at <= now:
                    del permitted_by_flow[flow_hash]
            if not permitted_by_flow:
                del state.permitted_by_bucket[bucket]
        for bucket, confirmed_at_by_peer in tuple(
            state.confirmations_by_bucket.items()
        ):
            for peer_id, confirmed_at in tuple(confirmed_at_by_peer.items()):
                if now - confirmed_at >= PERMISSION_RETENTION_SECONDS:
                    del confirmed_at_by_peer[peer_id]
            if not confirmed_at_by_peer:
                del state.confirmations_by_bucket[bucket]

    def _table_without_self(self, service: Service) -> BucketTable:
        view = self._peers.view
        assert view is not None
        peers = [
            agent
            for agent in view.bucket_agents_of(service)
            if agent.member_id != self._peers.member_id
        ]
        return build_bucket_table(peers)

    def _lose_primary(
        self, state: ServiceFlows, bucket: int, claim: Claim | None, *, now: float
    ) -> None:
        if claim is not None and claim.left_at is None:
            claim.left_at = now
        self._lists.on_primary_changed(state, bucket, now=now)

    def _gain_primary(
        self,
        state: ServiceFlows,
        bucket: int,
        claim: Claim | None,
        previous_id: str,
        *,
        now: float,
    ) -> None:
        state.pending_lists_by_bucket.pop(bucket, None)
        if claim is not None and claim.is_complete:
            # No peer could complete a claim of the bucket without this agent's
            # confirmation. But flows may have ended, and their owners may have
            # notified another agent.
            if claim.left_at is not None:
                claim.left_at = None
                claim.mark_notes_unverified()
            return
        if claim is not None and claim.left_at is None:
            claim.previous_id = claim.previous_id or previous_id
            return
        # Peers may have confirmed another agent's claim since this one was left, so
        # the claim starts again.
        if previous_id == self._peers.member_id:
            previous_id = ""
        self._start_claim(state, bucket, claim, previous_id, now=now)

    def _start_claim(
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
            pending_peer_ids=set(self._peers.live_ids),
        )
        if old is not None:
            claim.owners_by_flow = old.owners_by_flow
            claim.versions_by_flow = old.versions_by_flow
        state.claims_by_bucket[bucket] = claim
        state.incomplete_buckets.add(bucket)
        for peer_id in claim.pending_peer_ids:
            state.request_soon(peer_id, now=now)

    def _try_complete(self, state: ServiceFlows, bucket: int, *, now: float) -> None:
        claim = state.claims_by_bucket[bucket]
        if claim.pending_peer_ids or not self._peers.may_complete_claims(now=now):
            return
        claim.is_complete = True
        state.incomplete_buckets.discard(bucket)
        state.released.append(ReleasedBucket(bucket))

    def _confirm(
        self,
        state: ServiceFlows,
        peer_claim: PeerClaim,
        buckets: Iterable[int],
        *,
        now: float,
    ) -> list[SendNotes]:
        for bucket in buckets:
            self._relinquish(state, bucket, now=now)
            state.confirmations_by_bucket.setdefault(bucket, {})[
                peer_claim.claimant_id
            ] = now
            pending_list = state.pending_lists_by_bucket.get(bucket)
            if state.has_list_content(bucket):
                state.pending_lists_by_bucket.setdefault(
                    bucket, PendingList(due_at=now)
                )
            elif pending_list is not None and not pending_list.retracts_flows:
                # The list is empty; if this message is lost, the peer repeats its
                # claim.
                del state.pending_lists_by_bucket[bucket]
        return self._lists.send(
            state, peer_claim.claimant_id, buckets, peer_claim, now=now
        )

    def _relinquish(self, state: ServiceFlows, bucket: int, *, now: float) -> None:
        state.peer_claims_by_bucket.pop(bucket, None)
        claim = state.claims_by_bucket.pop(bucket, None)
        if claim is None:
            return
        state.incomplete_buckets.discard(bucket)
        expires_at = now + PERMISSION_RETENTION_SECONDS
        permitted = {
            flow_hash: PermittedFlow(
                claim.owners_by_flow[flow_hash], version, expires_at
            )
            for flow_hash, version in claim.versions_by_flow.items()
        }
        if permitted:
            state.permitted_by_bucket.setdefault(bucket, {}).update(permitted)
        state.released.append(ReleasedBucket(bucket))


def _peers_to_request(claim: Claim) -> set[str]:
    # The previous primary comes last: until it confirms, it permits flows one by one,
    # so new callers need not wait for slow views.
    other_peer_ids = claim.pending_peer_ids - {claim.previous_id}
    return other_peer_ids or claim.pending_peer_ids


def _primary_id(table: BucketTable | None, bucket: int) -> str:
    primary = table.primary_of(bucket) if table else None
    return primary.member_id if primary else ""
