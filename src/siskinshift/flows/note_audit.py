"""Verifies notes that the owners of the flows have not confirmed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.flows.flow_lists import valid_buckets
from siskinshift.messages.flows import FlowNotes


if TYPE_CHECKING:
    from siskinshift.flows.actions import SendNotes
    from siskinshift.flows.flow_lists import FlowLists
    from siskinshift.flows.notes_writer import NotesWriter
    from siskinshift.flows.peers import Peers
    from siskinshift.flows.service_flows import ServiceFlows


# A lost permission leaves a note about a flow that was never created. The interval is
# long because such notes only cost memory, and a packet of the flow removes them too.
AUDIT_INTERVAL_SECONDS = 10.0


class NoteAudit:
    """Removes notes whose flows have ended or were never created."""

    def __init__(self, *, peers: Peers, writer: NotesWriter, lists: FlowLists) -> None:
        """Initializes the audit.

        Args:
            peers: State of this agent and its peers.
            writer: Builds the messages.
            lists: Sends the lists that peers request.
        """
        self._peers = peers
        self._writer = writer
        self._lists = lists

    def request_lists(self, state: ServiceFlows) -> list[SendNotes]:
        """Requests lists from the owners of all unverified notes.

        Args:
            state: The service.

        Returns:
            Messages to send.
        """
        for member_id in self._peers.gone_ids():
            # A late query of a peer that is gone may have left a note.
            state.remove_notes_of(member_id)
        _unverify_next_bucket(state)
        buckets_by_owner: dict[str, set[int]] = {}
        versions_by_owner: dict[str, int] = {}
        for bucket, claim in state.claims_by_bucket.items():
            if not claim.is_complete:
                continue
            for flow_hash, version in claim.versions_by_flow.items():
                owner_id = claim.owners_by_flow[flow_hash]
                buckets_by_owner.setdefault(owner_id, set()).add(bucket)
                known = versions_by_owner.get(owner_id, 0)
                versions_by_owner[owner_id] = max(known, version)
        actions = []
        for owner_id, buckets in sorted(buckets_by_owner.items()):
            message = FlowNotes(
                service_id=state.service_id,
                audited_buckets=tuple(sorted(buckets)),
                audited_version=versions_by_owner[owner_id],
            )
            actions += self._writer.send(owner_id, message)
        return actions

    def on_audit(
        self, state: ServiceFlows, notes: FlowNotes, *, now: float
    ) -> list[SendNotes]:
        """Handles an audit by sending the lists that are authoritative.

        Args:
            state: Service of the audit.
            notes: The audit.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        view = self._peers.view
        assert view is not None
        authoritative_buckets = []
        for bucket in valid_buckets(notes.audited_buckets):
            claim = state.claims_by_bucket.get(bucket)
            # While its own claim is active, this agent may still be permitted flows.
            if claim is None or claim.left_at is not None:
                authoritative_buckets.append(bucket)
        # A version above that of the view belongs to a query of an earlier incarnation
        # of this agent; the list covers that query as well.
        version = max(view.version, notes.audited_version)
        return self._lists.send(
            state,
            notes.sender_id,
            authoritative_buckets,
            None,
            version=version,
            now=now,
        )


def _unverify_next_bucket(state: ServiceFlows) -> None:
    # Covers flows whose end was sent to another agent: an owner's view may for a while
    # name a second primary that never appears in this agent's view.
    buckets = sorted(
        bucket
        for bucket, claim in state.claims_by_bucket.items()
        if claim.is_complete and claim.owners_by_flow
    )
    if not buckets:
        return
    later = [bucket for bucket in buckets if bucket > state.last_audited_bucket]
    state.last_audited_bucket = later[0] if later else buckets[0]
    state.claims_by_bucket[state.last_audited_bucket].mark_notes_unverified()
