"""Handover of buckets, and of the owners of their flows, between agents.

An agent that its own view names primary of a bucket claims the bucket from each peer
of the service. A peer whose view agrees replies with the list of its flows in the
bucket and gives up its own claim. Once all peers have replied, the claim is complete:
the agent has a note for each flow of the bucket, and it alone may create flows there.
The request to the previous primary is sent last, so that at any time some agent may
create flows.

A note is the record at a primary of a flow's owner. It comes from the owner's list, or
from the permission for a peer to create the flow.

See docs/design/flow-hand-over.md for the alternatives that were considered.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.flows.bucket_claims import BucketClaims
from siskinshift.flows.flow_lists import FlowLists
from siskinshift.flows.note_audit import AUDIT_INTERVAL_SECONDS
from siskinshift.flows.note_audit import NoteAudit
from siskinshift.flows.notes_writer import NotesWriter
from siskinshift.flows.peers import Peers
from siskinshift.flows.service_flows import ServiceFlows
from siskinshift.routing.chooser import AgentChooser


if TYPE_CHECKING:
    from siskinshift.core.views import View
    from siskinshift.flows.actions import SendNotes
    from siskinshift.messages.core import Member
    from siskinshift.messages.flows import FlowNotes
    from siskinshift.settings.generated import FlowsSettings


HOUSEKEEPING_INTERVAL_SECONDS = 0.25


class FlowHandover:
    """Coordinates the claims, flow lists and audits of one agent. No I/O, no clock.

    Attributes:
        services_by_id: Flow state of each service that the agent serves.
    """

    def __init__(
        self, *, member_id: str, incarnation: int, settings: FlowsSettings
    ) -> None:
        """Initializes the handover without a view.

        Args:
            member_id: The agent's own id.
            incarnation: The agent's own incarnation.
            settings: Timeouts and limits of the flow layer.
        """
        self.services_by_id: dict[str, ServiceFlows] = {}
        self._peers = Peers(
            member_id=member_id, incarnation=incarnation, settings=settings
        )
        writer = NotesWriter(self._peers)
        self._lists = FlowLists(peers=self._peers, writer=writer, settings=settings)
        self._claims = BucketClaims(
            peers=self._peers, writer=writer, lists=self._lists, settings=settings
        )
        self._audit = NoteAudit(peers=self._peers, writer=writer, lists=self._lists)
        self._chooser = AgentChooser()
        self._housekeeping_at = 0.0
        self._audit_at = 0.0

    @property
    def view(self) -> View | None:
        """The current view; None before the first."""
        return self._peers.view

    def is_live(self, peer_id: str) -> bool:
        """Returns whether a peer is alive according to the current view.

        Args:
            peer_id: The peer.

        Returns:
            Whether the peer is alive.
        """
        return peer_id in self._peers.live_ids

    def update(self, view: View, *, now: float) -> list[SendNotes]:
        """Applies a new view.

        Args:
            view: The view to use from now on.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        self._chooser.update(view)
        change = self._peers.apply_view(view, now=now)
        if change is None:
            return []
        for state in self.services_by_id.values():
            for member_id in change.lost:
                state.remove_notes_of(member_id)
            for member_id in change.restarted:
                state.remove_listed_notes_of(member_id)
        self._update_served_services(change.own)
        actions: list[SendNotes] = []
        for state in self.services_by_id.values():
            service = view.services_by_id.get(state.service_id)
            if service is None or service.upstream_class != change.own.upstream_class:
                continue
            self._claims.apply_peer_changes(state, change.appeared, now=now)
            if change.was_suspected:
                self._claims.restart_all(state, now=now)
            table = self._chooser.bucket_table_of(service)
            self._claims.apply_table(state, service, table, now=now)
            actions += self._claims.confirm_peer_claims(state, now=now)
            self._claims.complete_confirmed(state, now=now)
            actions += self._claims.request_confirmations(state, now=now)
        return actions

    def on_notes(self, notes: FlowNotes, *, now: float) -> list[SendNotes]:
        """Handles a message from a peer.

        Args:
            notes: The message.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        state = self.services_by_id.get(notes.service_id)
        is_own = notes.sender_id == self._peers.member_id
        if state is None or state.table is None or is_own:
            return []
        is_new = self._peers.on_message(notes, now=now)
        if is_new is None:
            return []
        if is_new:
            for served in self.services_by_id.values():
                served.remove_listed_notes_of(notes.sender_id)
        actions: list[SendNotes] = []
        if notes.claimed_buckets:
            actions += self._claims.on_claim(state, notes, now=now)
        if notes.listed_buckets:
            replies, applied_buckets = self._lists.on_list(state, notes, now=now)
            actions += replies
            if notes.confirmed_version and applied_buckets:
                actions += self._claims.on_confirmation(
                    state, notes, applied_buckets, now=now
                )
        if notes.accepted_buckets:
            self._lists.on_acceptance(state, notes)
        if notes.audited_buckets:
            actions += self._audit.on_audit(state, notes, now=now)
        return actions

    def on_flow_ended(self, state: ServiceFlows, flow_hash: int, *, now: float) -> None:
        """Removes an owned flow and schedules the update of its primary.

        Args:
            state: Service of the flow.
            flow_hash: Hash of the flow.
            now: Clock reading, seconds.
        """
        self._lists.on_flow_ended(state, flow_hash, now=now)

    def on_pause(self, *, now: float) -> None:
        """Restarts all claims after a pause, in which peers may have taken them over.

        Args:
            now: Clock reading, seconds.
        """
        self._peers.on_pause(now=now)
        for state in self.services_by_id.values():
            self._claims.restart_all(state, now=now)

    def tick(self, *, now: float) -> list[SendNotes]:
        """Runs the timers.

        Args:
            now: Clock reading, seconds.

        Returns:
            Messages that are due.
        """
        actions: list[SendNotes] = []
        housekeeping_due = now >= self._housekeeping_at
        if housekeeping_due:
            self._housekeeping_at = now + HOUSEKEEPING_INTERVAL_SECONDS
        audit_due = now >= self._audit_at
        if audit_due:
            self._audit_at = now + AUDIT_INTERVAL_SECONDS
        for state in self.services_by_id.values():
            if state.pending_lists_by_bucket:
                actions += self._lists.push(state, now=now)
            if housekeeping_due:
                self._claims.drop_unresponsive_peers(state, now=now)
                self._claims.complete_confirmed(state, now=now)
                self._claims.expire_records(state, now=now)
            if audit_due:
                actions += self._audit.request_lists(state)
            if state.incomplete_buckets:
                actions += self._claims.request_confirmations(state, now=now)
        return actions

    def note_count(self) -> int:
        """Counts the stored notes.

        Returns:
            The number of notes.
        """
        return sum(state.note_count() for state in self.services_by_id.values())

    def pending_list_count(self) -> int:
        """Counts the flow lists that primaries have not accepted yet.

        Returns:
            The number of lists.
        """
        return sum(len(s.pending_lists_by_bucket) for s in self.services_by_id.values())

    def _update_served_services(self, own: Member) -> None:
        view = self._peers.view
        assert view is not None
        served = {
            service.service_id
            for service in view.services_by_id.values()
            if service.upstream_class == own.upstream_class
        }
        for service_id, state in tuple(self.services_by_id.items()):
            if service_id in served:
                continue
            del self.services_by_id[service_id]
            if state.flows_by_bucket:
                # Owned flows are kept; claims and notes are void without a service.
                self.services_by_id[service_id] = ServiceFlows(
                    service_id, flows_by_bucket=state.flows_by_bucket
                )
        for service_id in served:
            self.services_by_id.setdefault(service_id, ServiceFlows(service_id))
