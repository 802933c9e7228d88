"""Addresses and numbers the handover messages of an agent."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.flows.actions import SendNotes


if TYPE_CHECKING:
    from siskinshift.flows.peers import Peers
    from siskinshift.messages.flows import FlowNotes


# First delay before a claim or list is sent again; it doubles with each attempt, up to
# the maximum. Long compared with the 1 ms latency between instances, short compared
# with the 10 s of settle_timeout.
RETRY_DELAY_SECONDS = 0.5
MAX_RETRY_DOUBLINGS = 3


class NotesWriter:
    """Fills in the sender fields of each message.

    Attributes:
        sequence: Number of the last message.
    """

    def __init__(self, peers: Peers) -> None:
        """Initializes the writer.

        Args:
            peers: State of this agent and its peers.
        """
        self.sequence = 0
        self._peers = peers

    def send(self, peer_id: str, message: FlowNotes) -> list[SendNotes]:
        """Builds the action that sends a message.

        Args:
            peer_id: The receiver.
            message: The message; `sender_version` 0 stands for the version of the
                current view.

        Returns:
            The action; none if the receiver is not in the view.
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


def retry_delay(attempts: int) -> float:
    """Returns the delay before a message is sent again.

    Args:
        attempts: Number of earlier attempts.

    Returns:
        The delay, seconds.
    """
    return float(RETRY_DELAY_SECONDS * (1 << min(attempts, MAX_RETRY_DOUBLINGS)))
