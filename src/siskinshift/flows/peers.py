"""What an agent knows of the other agents of its class."""

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


# Peers that started this much after us can't have rights we did not confirm; the
# margin covers clocks that differ.
CLOCK_MARGIN_MILLISECONDS = 10_000
# After a pause, peers that become known within this time may hold rights that we
# did not confirm: several times what a view needs to become whole again.
DOUBT_SECONDS = 60.0


@frozen
class PeerChange:
    """What a new view says of the peers.

    Attributes:
        own: The agent itself.
        appeared: Peers that became known and may hold rights.
        lost: Peers that are gone.
        restarted: Peers that have started anew.
        was_doubted: Whether peers held this agent for suspect or gone.
    """

    own: Member
    appeared: frozenset[str]
    lost: frozenset[str]
    restarted: frozenset[str]
    was_doubted: bool


class Peers:
    """Follows the peers through views and messages.

    Attributes:
        member_id: The agent's own id.
        incarnation: The agent's own incarnation.
        view: The view that decides; None before the first.
        live_ids: Peers of the class that are not gone.
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
        self.member_id = member_id
        self.incarnation = incarnation
        self.view: View | None = None
        self.live_ids: frozenset[str] = frozenset()
        self._settle_delay = settings.settle_delay
        self._own: Member | None = None
        self._started_at: float | None = None
        self._doubted_until = 0.0
        self._incarnations_by_id: dict[str, int] = {}
        self._list_sequences_by_id: dict[str, int] = {}
        self._heard_at_by_id: dict[str, float] = {}

    def take(self, view: View, *, now: float) -> PeerChange | None:
        """Takes a new view.

        Args:
            view: The view.
            now: Clock reading, seconds.

        Returns:
            What changed, or None while the agent is not in its own view.
        """
        self.view = view
        own = view.members_by_id.get(self.member_id)
        if own is None:
            return None
        was_doubted = self._was_doubted(own)
        self._own = own
        if was_doubted:
            self._doubted_until = now + DOUBT_SECONDS
        if self._started_at is None and _serves_any(view, own):
            # Services come together with the peers of the class. Before, an agent
            # that was cut off at its start would be alone in its view, primary of
            # all buckets, and would create flows that its peers own.
            self._started_at = now
        lost, restarted = self._take_losses(view)
        peers = [
            agent
            for agent in view.agents_by_class.get(own.upstream_class, ())
            if self._lives(agent)
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
        return PeerChange(own, appeared, lost, restarted, was_doubted)

    def hear(self, notes: FlowNotes, *, now: float) -> bool | None:
        """Takes note of a message's sender.

        Args:
            notes: The message.
            now: Clock reading, seconds.

        Returns:
            Whether the sender is new or has started anew; None when the message
            comes from an earlier life and must be passed over.
        """
        known = self._incarnations_by_id.get(notes.sender_id)
        if known is not None and notes.sender_incarnation < known:
            return None
        self._heard_at_by_id[notes.sender_id] = now
        if known == notes.sender_incarnation:
            return False
        self._incarnations_by_id[notes.sender_id] = notes.sender_incarnation
        self._list_sequences_by_id.pop(notes.sender_id, None)
        return True

    def takes_list(self, notes: FlowNotes) -> bool:
        """Says whether a list may replace what is held of its sender.

        Args:
            notes: The list.

        Returns:
            False for an old list, and for one of a peer that counts as gone: should
            it come back, a claim asks it again.
        """
        sender_id = notes.sender_id
        if self.is_gone(sender_id):
            return False
        if notes.sequence < self._list_sequences_by_id.get(sender_id, 0):
            return False
        self._list_sequences_by_id[sender_id] = notes.sequence
        return True

    def is_gone(self, member_id: str) -> bool:
        """Says whether the view knows a member, but not as a living peer.

        Args:
            member_id: The member.

        Returns:
            Whether it is gone.
        """
        assert self.view is not None
        return member_id in self.view.members_by_id and member_id not in self.live_ids

    def knows(self, member_id: str) -> bool:
        """Says whether the view has a member, in any state.

        Args:
            member_id: The member.

        Returns:
            Whether it has.
        """
        assert self.view is not None
        return member_id in self.view.members_by_id

    def gone_ids(self) -> list[str]:
        """Lists members that are gone and may still have notes.

        Returns:
            Their ids.
        """
        return [
            peer_id for peer_id in self._incarnations_by_id if self.is_gone(peer_id)
        ]

    def incarnation_of(self, member_id: str) -> int:
        """Gives the last known incarnation of a peer.

        Args:
            member_id: The peer.

        Returns:
            The incarnation; 0 when it is not known.
        """
        return self._incarnations_by_id.get(member_id, 0)

    def was_heard_since(self, member_id: str, at: float) -> bool:
        """Says whether a peer sent a message since some time.

        Args:
            member_id: The peer.
            at: Clock reading, seconds.

        Returns:
            Whether it did.
        """
        return self._heard_at_by_id.get(member_id, -1.0) >= at

    def may_settle(self, *, now: float) -> bool:
        """Says whether the agent has been long enough in a position to hear of peers.

        Args:
            now: Clock reading, seconds.

        Returns:
            Whether buckets may settle.
        """
        return self._started_at is not None and (
            now >= self._started_at + self._settle_delay
        )

    def notice_pause(self, *, now: float) -> None:
        """Takes note that the process stood still.

        Args:
            now: Clock reading, seconds.
        """
        # Peers that started meanwhile settled without us.
        self._doubted_until = now + DOUBT_SECONDS
        if self._started_at is not None:
            self._started_at = now  # News of the time before may be on its way still.

    def _lives(self, agent: Member) -> bool:
        if agent.member_id == self.member_id:
            return False
        # A message may be faster than the view: it came from a later life than the
        # one that the view says is over.
        known = self._incarnations_by_id.get(agent.member_id, 0)
        return agent.state is not MemberState.GONE or agent.incarnation < known

    def _was_doubted(self, own: Member) -> bool:
        # The version rose without a change of our own: peers held us for suspect or
        # gone, and we spoke up. While we were paused or cut off they may have
        # settled our buckets without us, so our rights are void.
        old = self._own
        if old is None or own.version <= old.version:
            return False
        return attrs.evolve(old, version=own.version) == own

    def _may_hold_rights(self, peer: Member, *, now: float) -> bool:
        if now < self._doubted_until:
            return True
        # A peer that was counted as gone by mistake comes back with its flows.
        if self._incarnations_by_id.get(peer.member_id) == peer.incarnation:
            return True
        return peer.incarnation < self.incarnation + CLOCK_MARGIN_MILLISECONDS

    def _take_losses(self, view: View) -> tuple[frozenset[str], frozenset[str]]:
        lost = set()
        restarted = set()
        for member_id, incarnation in tuple(self._incarnations_by_id.items()):
            member = view.members_by_id.get(member_id)
            if member is None:
                del self._incarnations_by_id[member_id]
                self._list_sequences_by_id.pop(member_id, None)
                self._heard_at_by_id.pop(member_id, None)
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
