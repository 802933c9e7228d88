"""Claim of one bucket, with the known owners of its flows."""

from __future__ import annotations

from attrs import Factory
from attrs import define


UNVERIFIED_VERSION = -1


@define(eq=False)
class Claim:
    """An agent's claim to be the only agent that creates flows in a bucket.

    A complete claim is the right to create flows. At most one agent has it: a claim
    is complete once each peer has confirmed it, and a peer that confirms gives up its
    own claim in the same step.

    Attributes:
        version: Version of the agent's view when the claim started.
        started_at: Clock reading when the claim started, seconds.
        previous_id: Member id of the previous primary; empty if unknown.
        pending_peer_ids: Peers that have not confirmed yet.
        is_complete: Whether the agent may create flows.
        left_at: Clock reading when the agent's view named another primary, or None.
        owners_by_flow: Notes: member ids of owners by flow hash.
        versions_by_flow: For notes that the owner has not confirmed: version of the
            owner's view when it sent the query, or UNVERIFIED_VERSION.
        permitted: Flows that this agent permitted a peer to create.
    """

    version: int
    started_at: float
    previous_id: str
    pending_peer_ids: set[str]
    is_complete: bool = False
    left_at: float | None = None
    owners_by_flow: dict[int, str] = Factory(dict)
    versions_by_flow: dict[int, int] = Factory(dict)
    permitted: set[int] = Factory(set)

    def add_note(
        self, flow_hash: int, owner_id: str, version: int | None = None
    ) -> None:
        """Records the owner of a flow.

        Args:
            flow_hash: Hash of the flow.
            owner_id: Member id of the owner.
            version: Version of the owner's view when it sent the query; None if the
                owner itself reported the flow.
        """
        self.owners_by_flow[flow_hash] = owner_id
        if version is None:
            self.versions_by_flow.pop(flow_hash, None)
            self.permitted.discard(flow_hash)
        else:
            self.versions_by_flow[flow_hash] = version

    def remove_note(self, flow_hash: int) -> None:
        """Removes a note.

        Args:
            flow_hash: Hash of the flow.
        """
        self.owners_by_flow.pop(flow_hash, None)
        self.versions_by_flow.pop(flow_hash, None)
        self.permitted.discard(flow_hash)

    def permit(self, flow_hash: int, owner_id: str, version: int) -> None:
        """Records the permission of a peer to create a flow.

        Args:
            flow_hash: Hash of the flow.
            owner_id: The peer.
            version: Version of the peer's view when it sent the query.
        """
        self.add_note(flow_hash, owner_id, version)
        self.permitted.add(flow_hash)

    def mark_notes_unverified(self) -> None:
        """Marks all notes as unconfirmed, so that the audit verifies them."""
        for flow_hash in self.owners_by_flow:
            self.versions_by_flow.setdefault(flow_hash, UNVERIFIED_VERSION)

    def replace_list(self, owner_id: str, flows: set[int], version: int) -> None:
        """Applies an owner's complete list of its flows in the bucket.

        Args:
            owner_id: The owner.
            flows: Hashes of all its flows in the bucket.
            version: Version of the owner's view when it built the list.
        """
        for flow_hash, known_id in tuple(self.owners_by_flow.items()):
            if known_id != owner_id or flow_hash in flows:
                continue
            # A list built before the owner's query does not cover the flow.
            if self.versions_by_flow.get(flow_hash, -1) <= version:
                self.remove_note(flow_hash)
        for flow_hash in flows:
            known_id = self.owners_by_flow.get(flow_hash, owner_id)
            # If an owner that was declared gone returns after the flow was created
            # again on another agent, the caller stays with that agent.
            if known_id == owner_id or flow_hash in self.versions_by_flow:
                self.add_note(flow_hash, owner_id)

    def remove_notes_of(self, owner_id: str) -> None:
        """Removes all notes about the flows of an owner that is gone.

        Args:
            owner_id: The owner.
        """
        for flow_hash, known_id in tuple(self.owners_by_flow.items()):
            if known_id == owner_id:
                self.remove_note(flow_hash)

    def remove_listed_notes_of(self, owner_id: str) -> None:
        """Removes the notes from the lists of an owner that has restarted.

        Permissions stay: the query may have come from the new incarnation.

        Args:
            owner_id: The owner.
        """
        for flow_hash, known_id in tuple(self.owners_by_flow.items()):
            if known_id == owner_id and flow_hash not in self.versions_by_flow:
                self.remove_note(flow_hash)
