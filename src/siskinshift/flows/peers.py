"""State of an agent's peers, which are the other agents of its class."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from siskinshift.core.views import View
    from siskinshift.messages.flows import FlowNotes
    from siskinshift.settings.generated import FlowsSettings


# A peer that started later than this agent by this margin cannot have rights that this
# agent did not confirm. The margin covers the difference between clocks.
CLOCK_MARGIN_MILLISECONDS = 10_000
# For this long after a pause, a newly known peer may have rights that this agent did
# not confirm. It is several times the time that a view takes to converge.
RECOVERY_SECONDS = 60.0


@frozen
class PeerChange:
    """Changes of the peers in a new view.

    Attributes:
        own: Record of the agent itself.
        appeared: New peers that may hold rights.
        lost: Peers that are gone.
        restarted: Peers that have restarted.
        was_suspected: Whether peers had marked this agent as suspect or gone.
    """

    own: Member
    appeared: frozenset[str]
    lost: frozenset[str]
    restarted: frozenset[str]
    was_suspected: bool


class Peers:
    """Tracks the peers from views and messages.

    Attributes:
        member_id: The agent's own id.
        incarnation: The agent's own incarnation.
        view: The current view; None before the first.
        live_ids: Peers of the class that are not gone.
    """

    def __init__(
        self, *, member_id: str, incarnation: int, settings: FlowsSettings
    ) -> None:
        """Initializes the state without a view.

        Args:
            member_id: The agent's own id.
            incarnation: The agent's own incarnation.
            settings: Timeouts and limits of the flow layer.
        """
        self.member_id = member_id
        self.incarnation = incarnation
        self.view: View | None = None
        self.live_ids: frozenset[str] = frozenset()
        self._completion_delay = settings.settle_delay
        self._own: Member | None = None
        self._started_at: float | None = None
        self._recovering_until = 0.0
        self._incarnations_by_id: dict[str, int] = {}
        self._list_sequences_by_id: dict[str, int] = {}
        self._last_seen_at_by_id: dict[str, float] = {}

    def apply_view(self, view: View, *, now: float) -> PeerChange | None:
        """Applies a new view.

        Args:
            view: The view.
            now: Clock reading, seconds.

        Returns:
            The changes, or None while the agent is not in its own view.
        """
        self.view = view
        own = view.members_by_id.get(self.member_id)
        if own is None:
            return None
        was_suspected = self._was_suspected(own)
        self._own = own
        if was_suspected:
            self._recovering_until = now + RECOVERY_SECONDS
        if self._started_at is None and _serves_any(view, own):
            # Services arrive together with the peers of the class. If time counted
            # before that, an agent that was partitioned at its start would be alone in
            # its view, primary of all buckets, and would create flows that its peers
            # own.
            self._started_at = now
        lost, restarted = self._update_incarnations(view)
        peers = [
            agent
            for agent in view.agents_by_class.get(own.upstream_class, ())
            if self._is_live(agent)
        ]
        appeared = frozenset(
            peer.member_id
            for peer in peers
            if peer.member_id not in self.live_ids
            and self._may_hold_rights(peer, now=now)
        )
        self.live_ids = frozenset(peer.member_id for peer in peers)
        for peer in peers:
            self._incarnations_by_id.setdefault(peer.member_id, peer.incarnation)
        return PeerChange(own, appeared, lost, restarted, was_suspected)

    def on_message(self, notes: FlowNotes, *, now: float) -> bool | None:
        """Records the sender of a received message.

        Args:
            notes: The message.
            now: Clock reading, seconds.

        Returns:
            Whether the sender is new or has restarted; None if the message comes from
            an earlier incarnation and must be ignored.
        """
        known = self._incarnations_by_id.get(notes.sender_id)
        if known is not None and notes.sender_incarnation < known:
            return None
        self._last_seen_at_by_id[notes.sender_id] = now
        if known == notes.sender_incarnation:
            return False
        self._incarnations_by_id[notes.sender_id] = notes.sender_incarnation
        self._list_sequences_by_id.pop(notes.sender_id, None)
        return True

    def accepts_list(self, notes: FlowNotes) -> bool:
        """Returns whether a list may replace the notes about its sender's flows.

        Args:
            notes: The list.

        Returns:
            False for an outdated list and for a list of a peer that is gone; if that
            peer returns, a claim requests its list again.
        """
        sender_id = notes.sender_id
        if self.is_gone(sender_id):
            return False
        if notes.sequence < self._list_sequences_by_id.get(sender_id, 0):
            return False
        self._list_sequences_by_id[sender_id] = notes.sequence
        return True

    def is_gone(self, member_id: str) -> bool:
        """Returns whether a member is in the view but is not a live peer.

        Args:
            member_id: The member.

        Returns:
            Whether the member is gone.
        """
        assert self.view is not None
        return member_id in self.view.members_by_id and member_id not in self.live_ids

    def has_member(self, member_id: str) -> bool:
        """Returns whether the view has a member, in any state.

        Args:
            member_id: The member.

        Returns:
            Whether the view has the member.
        """
        assert self.view is not None
        return member_id in self.view.members_by_id

    def gone_ids(self) -> list[str]:
        """Lists the members that are gone and may still have notes.

        Returns:
            The member ids.
        """
        return [
            peer_id for peer_id in self._incarnations_by_id if self.is_gone(peer_id)
        ]

    def incarnation_of(self, member_id: str) -> int:
        """Returns the last known incarnation of a peer.

        Args:
            member_id: The peer.

        Returns:
            The incarnation; 0 if it is unknown.
        """
        return self._incarnations_by_id.get(member_id, 0)

    def was_seen_since(self, member_id: str, at: float) -> bool:
        """Returns whether a message from a peer was received since a given time.

        Args:
            member_id: The peer.
            at: Clock reading, seconds.

        Returns:
            Whether a message was received.
        """
        return self._last_seen_at_by_id.get(member_id, -1.0) >= at

    def may_complete_claims(self, *, now: float) -> bool:
        """Returns whether the agent has had its services and peers for long enough.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether claims may complete.
        """
        return self._started_at is not None and (
            now >= self._started_at + self._completion_delay
        )

    def on_pause(self, *, now: float) -> None:
        """Handles a pause of the process.

        Args:
            now: Clock reading, seconds.
        """
        # Peers that started during the pause completed claims without this agent.
        self._recovering_until = now + RECOVERY_SECONDS
        if self._started_at is not None:
            # Updates from before the pause may still be in flight.
            self._started_at = now

    def _is_live(self, agent: Member) -> bool:
        if agent.member_id == self.member_id:
            return False
        # A message may overtake the view: it came from a later incarnation than the one
        # that the view lists as gone.
        known = self._incarnations_by_id.get(agent.member_id, 0)
        return agent.state is not MemberState.GONE or agent.incarnation < known

    def _was_suspected(self, own: Member) -> bool:
        # The version rose without a change of this agent's record: peers had marked it
        # as suspect or gone, and it refuted that. While it was paused or partitioned
        # they may have completed claims of its buckets, so its rights are void.
        old = self._own
        if old is None or own.version <= old.version:
            return False
        return attrs.evolve(old, version=own.version) == own

    def _may_hold_rights(self, peer: Member, *, now: float) -> bool:
        if now < self._recovering_until:
            return True
        # A peer that was wrongly declared gone returns with its flows.
        if self._incarnations_by_id.get(peer.member_id) == peer.incarnation:
            return True
        return peer.incarnation < self.incarnation + CLOCK_MARGIN_MILLISECONDS

    def _update_incarnations(self, view: View) -> tuple[frozenset[str], frozenset[str]]:
        lost = set()
        restarted = set()
        for member_id, incarnation in tuple(self._incarnations_by_id.items()):
            member = view.members_by_id.get(member_id)
            if member is None:
                del self._incarnations_by_id[member_id]
                self._list_sequences_by_id.pop(member_id, None)
                self._last_seen_at_by_id.pop(member_id, None)
            elif member.incarnation > incarnation:
                self._incarnations_by_id[member_id] = member.incarnation
                self._list_sequences_by_id.pop(member_id, None)
                restarted.add(member_id)
            elif member.state is MemberState.GONE and member.incarnation == incarnation:
                lost.add(member_id)
        return frozenset(lost), frozenset(restarted)


def _serves_any(view: View, own: Member) -> bool:
    return any(
        service.upstream_class == own.upstream_class
        for service in view.services_by_id.values()
    )
