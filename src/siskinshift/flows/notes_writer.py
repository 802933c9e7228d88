"""Addresses and numbers the hand-over messages of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.flows.actions import SendNotes


if TYPE_CHECKING:
    from siskinshift.flows.peers import Peers
    from siskinshift.messages.flows import FlowNotes


# First pause before a claim or list is sent again; doubled up to the maximum. Long
# against the 1 ms between instances, short against the 10 s of settle_timeout.
RETRY_SECONDS = 0.5
RETRY_DOUBLINGS = 3


class NotesWriter:
    """Fills in what each message says of its sender.

    Attributes:
        sequence: Number of the last message.
    """

    def __init__(self, peers: Peers) -> None:
        """Prepares the writer.

        Args:
            peers: The agent and its peers.
        """
        self.sequence = 0
        self._peers = peers

    def send(self, peer_id: str, message: FlowNotes) -> list[SendNotes]:
        """Makes the action that sends a message.

        Args:
            peer_id: The receiver.
            message: The message; `sender_version` 0 stands for the present view's.

        Returns:
            The action; none when the view does not know the receiver.
        """
        view = self._peers.view
        assert view is not None
        peer = view.members_by_id.get(peer_id)
        if peer is None:
            return []
        self.sequence += 1
        numbered = attrs.evolve(
            message,
            sender_id=self._peers.member_id,
            sender_incarnation=self._peers.incarnation,
            sender_version=message.sender_version or view.version,
            sequence=self.sequence,
        )
        return [SendNotes(peer, numbered)]


def retry_pause(attempts: int) -> float:
    """Gives the pause before a message is sent again.

    Args:
        attempts: Times it was sent before.

    Returns:
        Seconds.
    """
    return float(RETRY_SECONDS * (1 << min(attempts, RETRY_DOUBLINGS)))
