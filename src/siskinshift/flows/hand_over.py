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

from siskinshift.flows.claim_keeper import ClaimKeeper
from siskinshift.flows.flow_lists import FlowLists
from siskinshift.flows.note_audit import AUDIT_SECONDS
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


HOUSEKEEPING_SECONDS = 0.25


class HandOver:
    """Runs claims, lists and audits of one agent. No I/O, no clock.

    Attributes:
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
        self.services_by_id: dict[str, ServiceFlows] = {}
        self._peers = Peers(
            member_id=member_id, incarnation=incarnation, settings=settings
        )
        writer = NotesWriter(self._peers)
        self._lists = FlowLists(peers=self._peers, writer=writer, settings=settings)
        self._claims = ClaimKeeper(
            peers=self._peers, writer=writer, lists=self._lists, settings=settings
        )
        self._audit = NoteAudit(peers=self._peers, writer=writer, lists=self._lists)
        self._chooser = AgentChooser()
        self._housekeeping_at = 0.0
        self._audit_at = 0.0

    @property
    def view(self) -> View | None:
        """The view that decides; None before the first."""
        return self._peers.view

    def is_live(self, peer_id: str) -> bool:
        """Says whether a peer lives as far as this agent knows.

        Args:
            peer_id: The peer.

        Returns:
            Whether it does.
        """
        return peer_id in self._peers.live_ids

    def update(self, view: View, *, now: float) -> list[SendNotes]:
        """Takes a new view.

        Args:
            view: The view that decides from now on.
            now: Clock reading, seconds.

        Returns:
            Messages to send.
        """
        self._chooser.update(view)
        change = self._peers.take(view, now=now)
        if change is None:
            return []
        for state in self.services_by_id.values():
            for member_id in change.lost:
                state.forget_owner(member_id)
            for member_id in change.restarted:
                state.forget_listed(member_id)
        self._serve_class_of(change.own)
        actions: list[SendNotes] = []
        for state in self.services_by_id.values():
            service = view.services_by_id.get(state.service_id)
            if service is None or service.upstream_class != change.own.upstream_class:
                continue
            self._claims.adapt(state, change.appeared, now=now)
            if change.was_doubted:
                self._claims.renew(state, now=now)
            table = self._chooser.table_of(service)
            self._claims.take_table(state, service, table, now=now)
            actions += self._claims.confirm_wanted(state, now=now)
            self._claims.settle_all(state, now=now)
            actions += self._claims.ask(state, now=now)
        return actions

    def on_notes(self, notes: FlowNotes, *, now: float) -> list[SendNotes]:
        """Takes a message of a peer.

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
        is_new = self._peers.hear(notes, now=now)
        if is_new is None:
            return []
        if is_new:
            for served in self.services_by_id.values():
                served.forget_listed(notes.sender_id)
        actions: list[SendNotes] = []
        if notes.claimed_buckets:
            actions += self._claims.on_claim(state, notes, now=now)
        if notes.listed_buckets:
            answers, taken = self._lists.on_list(state, notes, now=now)
            actions += answers
            if notes.confirmed_version and taken:
                actions += self._claims.on_confirmation(state, notes, taken, now=now)
        if notes.accepted_buckets:
            self._lists.on_acceptance(state, notes)
        if notes.audited_buckets:
            actions += self._audit.on_audit(state, notes, now=now)
        return actions

    def flow_ended(self, state: ServiceFlows, digest: int, *, now: float) -> None:
        """Forgets an own flow and takes its note back.

        Args:
            state: Service of the flow.
            digest: Hash of the flow.
            now: Clock reading, seconds.
        """
        self._lists.flow_ended(state, digest, now=now)

    def notice_pause(self, *, now: float) -> None:
        """Voids rights that peers may have taken over, after the process stood still.

        Args:
            now: Clock reading, seconds.
        """
        self._peers.notice_pause(now=now)
        for state in self.services_by_id.values():
            self._claims.renew(state, now=now)

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
                actions += self._lists.push(state, now=now)
            if housekeeping:
                self._claims.skip_silent_peers(state, now=now)
                self._claims.settle_all(state, now=now)
                self._claims.expire_memories(state, now=now)
            if audit_due:
                actions += self._audit.ask(state)
            if state.unsettled:
                actions += self._claims.ask(state, now=now)
        return actions

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

    def _serve_class_of(self, own: Member) -> None:
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
                # Its flows go on; claims and notes are void without a service.
                self.services_by_id[service_id] = ServiceFlows(
                    service_id, flows_by_bucket=state.flows_by_bucket
                )
        for service_id in served:
            self.services_by_id.setdefault(service_id, ServiceFlows(service_id))
