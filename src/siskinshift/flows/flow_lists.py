"""Exchanges lists of the flows in each bucket between owners and primaries.

An owner sends a list again until the primary has accepted it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.flows.notes_writer import retry_delay
from siskinshift.flows.service_flows import ALL_BUCKETS
from siskinshift.flows.service_flows import PendingList
from siskinshift.flows.service_flows import ReleasedBucket
from siskinshift.messages.flows import FlowNote
from siskinshift.messages.flows import FlowNotes
from siskinshift.routing.buckets import bucket_of


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.flows.actions import SendNotes
    from siskinshift.flows.notes_writer import NotesWriter
    from siskinshift.flows.peers import Peers
    from siskinshift.flows.service_flows import PeerClaim
    from siskinshift.flows.service_flows import ServiceFlows
    from siskinshift.settings.generated import FlowsSettings


# The new primary of a bucket usually claims it, and the confirmation carries the list.
# The list is pushed only if no claim arrives within this delay.
PUSH_DELAY_SECONDS = 1.0
# Bounds the message size: 500 hashes of 20 digits are about 10 KB.
MAX_FLOWS_PER_MESSAGE = 500


class FlowLists:
    """Sends the lists of this agent's flows to primaries and applies those of peers."""

    def __init__(
        self, *, peers: Peers, writer: NotesWriter, settings: FlowsSettings
    ) -> None:
        """Initializes the exchange without lists.

        Args:
            peers: State of this agent and its peers.
            writer: Builds the messages.
            settings: Timeouts and limits of the flow layer.
        """
        self._peers = peers
        self._writer = writer
        self._note_limit = settings.note_limit

    def on_primary_changed(
        self, state: ServiceFlows, bucket: int, *, now: float
    ) -> None:
        """Schedules a list for the new primary of a bucket.

        Args:
            state: Service of the bucket.
            bucket: The bucket.
            now: Clock reading, seconds.
        """
        if bucket in state.claims_by_bucket or bucket in state.flows_by_bucket:
            due_at = now + PUSH_DELAY_SECONDS
            state.pending_lists_by_bucket[bucket] = PendingList(due_at=due_at)
        else:
            state.pending_lists_by_bucket.pop(bucket, None)

    def on_flow_ended(self, state: ServiceFlows, flow_hash: int, *, now: float) -> None:
        """Removes an owned flow and schedules a list without it.

        Args:
            state: Service of the flow.
            flow_hash: Hash of the flow.
            now: Clock reading, seconds.
        """
        state.remove_flow(flow_hash)
        bucket = bucket_of(flow_hash)
        if state.primary_id_of(bucket) in ("", self._peers.member_id):
            return
        # The list is sent again without the flow. Flows that end within the delay share
        # one list.
        pending_list = state.pending_lists_by_bucket.get(bucket)
        due_at = now + PUSH_DELAY_SECONDS
        if pending_list is not None:
            due_at = min(due_at, pending_list.due_at)
        state.pending_lists_by_bucket[bucket] = PendingList(
            due_at=due_at, retracts_flows=True
        )

    def push(self, state: ServiceFlows, *, now: float) -> list[SendNotes]:
        """Sends the lists that are due to the primaries.

        Args:
            state: The service.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        buckets_by_primary: dict[str, list[int]] = {}
        for bucket, pending_list in tuple(state.pending_lists_by_bucket.items()):
            if pending_list.due_at > now:
                continue
            primary_id = state.primary_id_of(bucket)
            if primary_id == self._peers.member_id:
                del state.pending_lists_by_bucket[bucket]
            elif not primary_id:
                pending_list.due_at = now + PUSH_DELAY_SECONDS
            else:
                buckets_by_primary.setdefault(primary_id, []).append(bucket)
        actions = []
        for primary_id, buckets in sorted(buckets_by_primary.items()):
            actions += self.send(state, primary_id, buckets, None, now=now)
        return actions

    def send(
        self,
        state: ServiceFlows,
        peer_id: str,
        buckets: Iterable[int],
        peer_claim: PeerClaim | None,
        *,
        now: float,
        version: int = 0,
    ) -> list[SendNotes]:
        """Sends the lists of buckets in messages of bounded size.

        Args:
            state: Service of the buckets.
            peer_id: The receiver.
            buckets: The buckets.
            peer_claim: The claim that the lists confirm, if any.
            now: Clock reading, seconds.
            version: Version of the view up to which the lists are valid; 0 for the
                version of the current view.

        Returns:
            Messages to send.
        """
        actions = []
        for batch in _batches(state, buckets):
            message = FlowNotes(
                service_id=state.service_id,
                sender_version=version,
                listed_buckets=tuple(batch),
                flows=tuple(
                    flow_hash
                    for bucket in batch
                    for flow_hash in state.flows_by_bucket.get(bucket, ())
                ),
                notes=tuple(self._permissions_of(state, batch)),
                given_to=self._confirmed_peers(state, batch, peer_id),
                receiver_incarnation=peer_claim.incarnation if peer_claim else 0,
                confirmed_version=peer_claim.version if peer_claim else 0,
            )
            actions += self._writer.send(peer_id, message)
            for bucket in batch:
                pending_list = state.pending_lists_by_bucket.get(bucket)
                if pending_list is not None:
                    pending_list.sequence = self._writer.sequence
                    pending_list.due_at = now + retry_delay(pending_list.attempts)
                    pending_list.attempts += 1
        return actions

    def on_list(
        self, state: ServiceFlows, notes: FlowNotes, *, now: float
    ) -> tuple[list[SendNotes], list[int]]:
        """Handles a peer's list.

        Args:
            state: Service of the list.
            notes: The list.
            now: Clock reading, seconds.

        Returns:
            Messages to send, and the buckets whose lists were applied.
        """
        if not self._peers.accepts_list(notes):
            return [], []
        buckets = valid_buckets(notes.listed_buckets)
        if state.note_count() + len(notes.flows) > self._note_limit:
            self._refuse(state, buckets, now=now)
            return [], []
        flows_by_bucket: dict[int, set[int]] = {}
        for flow_hash in notes.flows:
            if not state.owns(flow_hash):
                flows_by_bucket.setdefault(bucket_of(flow_hash), set()).add(flow_hash)
        for bucket in buckets:
            claim = state.claims_by_bucket.get(bucket)
            if claim is None:
                continue  # If the bucket moves here, a claim will request the list.
            flows = flows_by_bucket.get(bucket, set())
            claim.replace_list(notes.sender_id, flows, notes.sender_version)
            if flows:
                state.released.append(ReleasedBucket(bucket, frozenset(flows)))
        self._apply_permissions(state, notes)
        return self._accept(state, notes, buckets), buckets

    def on_acceptance(self, state: ServiceFlows, notes: FlowNotes) -> None:
        """Handles the acceptance of lists by a primary.

        Args:
            state: Service of the lists.
            notes: The acceptance.
        """
        for bucket in notes.accepted_buckets:
            pending_list = state.pending_lists_by_bucket.get(bucket)
            if pending_list is None or pending_list.sequence != notes.accepted_sequence:
                continue
            del state.pending_lists_by_bucket[bucket]
            claim = state.claims_by_bucket.get(bucket)
            if claim and claim.left_at is not None and not claim.is_complete:
                del state.claims_by_bucket[bucket]
                state.incomplete_buckets.discard(bucket)

    def _refuse(
        self, state: ServiceFlows, buckets: Iterable[int], *, now: float
    ) -> None:
        # Without its notes the claim of a bucket must not complete: the agent could not
        # distinguish new flows from flows that peers own, so new flows are refused.
        for bucket in buckets:
            claim = state.claims_by_bucket.get(bucket)
            if claim is not None:
                claim.started_at = now

    def _accept(
        self, state: ServiceFlows, notes: FlowNotes, buckets: list[int]
    ) -> list[SendNotes]:
        is_empty = not notes.flows and not notes.notes
        if not buckets or (is_empty and notes.confirmed_version):
            return []
        message = FlowNotes(
            service_id=state.service_id,
            accepted_buckets=tuple(buckets),
            accepted_sequence=notes.sequence,
        )
        return self._writer.send(notes.sender_id, message)

    def _apply_permissions(self, state: ServiceFlows, notes: FlowNotes) -> None:
        for note in notes.notes:
            claim = state.claims_by_bucket.get(bucket_of(note.flow_hash))
            if claim is None or state.owns(note.flow_hash):
                continue
            if note.owner_id not in self._peers.live_ids:
                continue
            if self._peers.incarnation_of(note.owner_id) != note.owner_incarnation:
                continue
            if note.flow_hash not in claim.owners_by_flow:
                claim.add_note(note.flow_hash, note.owner_id, note.owner_version)

    def _permissions_of(
        self, state: ServiceFlows, buckets: Iterable[int]
    ) -> Iterable[FlowNote]:
        for bucket in buckets:
            for flow_hash, permitted in state.permitted_by_bucket.get(
                bucket, {}
            ).items():
                yield FlowNote(
                    flow_hash=flow_hash,
                    owner_id=permitted.owner_id,
                    owner_incarnation=self._peers.incarnation_of(permitted.owner_id),
                    owner_version=permitted.version,
                )

    def _confirmed_peers(
        self, state: ServiceFlows, buckets: Iterable[int], peer_id: str
    ) -> tuple[str, ...]:
        confirmed_ids: set[str] = set()
        for bucket in buckets:
            confirmed_ids.update(state.confirmations_by_bucket.get(bucket, ()))
        return tuple(sorted((confirmed_ids & self._peers.live_ids) - {peer_id}))


def valid_buckets(buckets: Iterable[int]) -> list[int]:
    """Drops numbers that are not bucket numbers.

    Args:
        buckets: Numbers from a message.

    Returns:
        The valid bucket numbers.
    """
    return [bucket for bucket in buckets if bucket in ALL_BUCKETS]


def _batches(state: ServiceFlows, buckets: Iterable[int]) -> Iterable[list[int]]:
    batch: list[int] = []
    count = 0
    for bucket in buckets:
        size = len(state.flows_by_bucket.get(bucket, ()))
        size += len(state.permitted_by_bucket.get(bucket, ()))
        if batch and count + size > MAX_FLOWS_PER_MESSAGE:
            yield batch
            batch, count = [], 0
        batch.append(bucket)
        count += size
    if batch:
        yield batch
