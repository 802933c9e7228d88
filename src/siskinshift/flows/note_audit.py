"""Asks owners about notes that they did not confirm themselves."""

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


# A permission that got lost leaves a note about a flow that was never created. The
# pause is long: such notes cost memory, and a packet of the flow clears them as well.
AUDIT_SECONDS = 10.0


class NoteAudit:
    """Keeps notes from staying when their flows have ended."""

    def __init__(self, *, peers: Peers, writer: NotesWriter, lists: FlowLists) -> None:
        """Prepares the audit.

        Args:
            peers: The agent and its peers.
            writer: Makes messages.
            lists: Answers audits of peers.
        """
        self._peers = peers
        self._writer = writer
        self._lists = lists

    def ask(self, state: ServiceFlows) -> list[SendNotes]:
        """Asks the owners of all notes that are in doubt.

        Args:
            state: The service.

        Returns:
            Messages to send.
        """
        for member_id in self._peers.gone_ids():
            # A late question of a peer that is gone left a note.
            state.forget_owner(member_id)
        _doubt_next_bucket(state)
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
        """Answers an audit with the lists that are certain.

        Args:
            state: Service of the audit.
            notes: The audit.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        view = self._peers.view
        assert view is not None
        certain = []
        for bucket in valid_buckets(notes.audited_buckets):
            claim = state.claims_by_bucket.get(bucket)
            # With a claim of its own, this agent may still be let create flows.
            if claim is None or claim.left_at is not None:
                certain.append(bucket)
        # A question of a higher version came from an earlier incarnation.
        version = max(view.version, notes.audited_version)
        return self._lists.send(
            state, notes.sender_id, certain, None, version=version, now=now
        )


def _doubt_next_bucket(state: ServiceFlows) -> None:
    # Catches notes whose end was told to another: an owner's view may name a second
    # primary for a while that this agent never heard of.
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
