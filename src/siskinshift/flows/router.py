"""Decides at an agent what becomes of each envelope. No I/O, no clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ErrorKind
from siskinshift.core.flows import flow_hash
from siskinshift.flows.actions import DeliverToFlow
from siskinshift.flows.actions import DropEnvelope
from siskinshift.routing.chooser import AgentChooser


if TYPE_CHECKING:
    from siskinshift.core.packets import Envelope
    from siskinshift.core.views import View
    from siskinshift.flows.actions import FlowAction
    from siskinshift.messages.flows import FlowNotes
    from siskinshift.settings.generated import FlowsSettings


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
        self._incarnation = incarnation
        self._settings = settings
        self._view: View | None = None
        self._chooser = AgentChooser()
        self._services_by_flow: dict[int, str] = {}

    def update(self, view: View, *, now: float) -> list[FlowAction]:
        """Takes a new view.

        Args:
            view: The view that decides from now on.
            now: Clock reading, seconds.

        Returns:
            Notes to send.
        """
        self._view = view
        self._chooser.update(view)
        return []

    def on_envelope(self, envelope: Envelope, *, now: float) -> list[FlowAction]:
        """Takes an envelope from a balancer or a peer.

        Args:
            envelope: The envelope, authenticated.
            now: Clock reading, seconds.

        Returns:
            What to do with it.
        """
        packet = envelope.packet
        if self._view is None:
            return [DropEnvelope(ErrorKind.NO_MEMBER)]
        own = self._view.members_by_id.get(self._member_id)
        service = self._view.services_by_address.get(packet.service_address)
        if service is None:
            return [DropEnvelope(ErrorKind.UNKNOWN_ADDRESS)]
        if own is None or own.upstream_class != service.upstream_class:
            return [DropEnvelope(ErrorKind.WRONG_SERVICE)]
        digest = flow_hash(caller=packet.caller, service_address=packet.service_address)
        is_new = digest not in self._services_by_flow
        self._services_by_flow[digest] = service.service_id
        return [DeliverToFlow(digest, service.service_id, packet, is_new)]

    def on_notes(self, notes: FlowNotes, *, now: float) -> list[FlowAction]:
        """Takes notes of a peer.

        Args:
            notes: The batch.
            now: Clock reading, seconds.

        Returns:
            What becomes possible with them.
        """
        return []

    def flow_ended(self, digest: int, *, now: float) -> list[FlowAction]:
        """Forgets a flow that has ended.

        Args:
            digest: Hash of the flow.
            now: Clock reading, seconds.

        Returns:
            Notes to take back.
        """
        self._services_by_flow.pop(digest, None)
        return []

    def tick(self, *, now: float) -> list[FlowAction]:
        """Lets time pass.

        Args:
            now: Clock reading, seconds.

        Returns:
            What has become due.
        """
        return []
