"""What an agent knows of one bucket that it is, or was, primary of."""

from __future__ import annotations

from attrs import Factory
from attrs import define


DOUBTED_VERSION = -1


@define(eq=False)
class Claim:
    """An agent's claim to be the one that creates flows in a bucket.

    A settled claim is the right to create flows. At most one agent holds it: a
    claim settles once each peer has confirmed it, and a peer that confirms gives
    up its own claim in the same step.

    Attributes:
        version: Version of the agent's view when the claim began.
        started_at: Clock reading when the claim began, seconds.
        previous_id: Agent that was primary before; empty when unknown.
        pending: Peers that have not confirmed yet.
        settled: Whether the agent may create flows.
        left_at: When the agent's own view named another primary, or None.
        owners_by_flow: Notes: member ids of owners by flow hash.
        versions_by_flow: For notes that the owner did not confirm itself: version of
            its view when it asked for the flow, or DOUBTED_VERSION.
        permitted: Flows that this agent itself let a peer create.
    """

    version: int
    started_at: float
    previous_id: str
    pending: set[str]
    settled: bool = False
    left_at: float | None = None
    owners_by_flow: dict[int, str] = Factory(dict)
    versions_by_flow: dict[int, int] = Factory(dict)
    permitted: set[int] = Factory(set)

    def note(self, digest: int, owner_id: str, version: int | None = None) -> None:
        """Records the owner of a flow.

        Args:
            digest: Hash of the flow.
            owner_id: Its owner.
            version: Version of the owner's view when it asked for the flow; None
                when the owner itself said that it owns the flow.
        """
        self.owners_by_flow[digest] = owner_id
        if version is None:
            self.versions_by_flow.pop(digest, None)
            self.permitted.discard(digest)
        else:
            self.versions_by_flow[digest] = version

    def forget(self, digest: int) -> None:
        """Drops a note.

        Args:
            digest: Hash of the flow.
        """
        self.owners_by_flow.pop(digest, None)
        self.versions_by_flow.pop(digest, None)
        self.permitted.discard(digest)

    def permit(self, digest: int, owner_id: str, version: int) -> None:
        """Records that a peer may create a flow.

        Args:
            digest: Hash of the flow.
            owner_id: The peer.
            version: Version of the peer's view when it asked.
        """
        self.note(digest, owner_id, version)
        self.permitted.add(digest)

    def doubt_notes(self) -> None:
        """Marks all notes as not confirmed, so that an audit asks the owners."""
        for digest in self.owners_by_flow:
            self.versions_by_flow.setdefault(digest, DOUBTED_VERSION)

    def replace_list(self, owner_id: str, flows: set[int], version: int) -> None:
        """Takes an owner's complete list of its flows in the bucket.

        Args:
            owner_id: The owner.
            flows: Hashes of all its flows in the bucket.
            version: Version of the owner's view when it made the list.
        """
        for digest, known_id in tuple(self.owners_by_flow.items()):
            if known_id != owner_id or digest in flows:
                continue
            # A list made before the owner asked for the flow says nothing of it.
            if self.versions_by_flow.get(digest, -1) <= version:
                self.forget(digest)
        for digest in flows:
            known_id = self.owners_by_flow.get(digest, owner_id)
            # An owner that was counted as gone comes back after the flow began anew
            # elsewhere: the caller stays where it is now.
            if known_id == owner_id or digest in self.versions_by_flow:
                self.note(digest, owner_id)

    def forget_owner(self, owner_id: str) -> None:
        """Drops all notes about an owner that is gone.

        Args:
            owner_id: The owner.
        """
        for digest, known_id in tuple(self.owners_by_flow.items()):
            if known_id == owner_id:
                self.forget(digest)

    def forget_listed(self, owner_id: str) -> None:
        """Drops the notes that an owner told itself, because it has started anew.

        Permissions stay: the question may have come from the new life already.

        Args:
            owner_id: The owner.
        """
        for digest, known_id in tuple(self.owners_by_flow.items()):
            if known_id == owner_id and digest not in self.versions_by_flow:
                self.forget(digest)
