"""Members as this process knows them; a member's state never goes back."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from siskinshift.messages.core import Member


def is_newer(candidate: Member, known: Member | None) -> bool:
    """Orders two states of one member by (incarnation, version).

    Args:
        candidate: State that arrived.
        known: State held, or None.

    Returns:
        Whether the candidate replaces the state held.
    """
    if known is None:
        return True
    left = (candidate.incarnation, candidate.version)
    return left > (known.incarnation, known.version)


class MemberTable:
    """Merges states of members and turns silence into transitions."""

    def __init__(self) -> None:
        self.members_by_id: dict[str, Member] = {}
        self._heard_at_by_id: dict[str, float] = {}
        self.revision = 0

    def merge(self, member: Member) -> bool:
        """Takes a state that a peer told.

        Args:
            member: The state.

        Returns:
            Whether it was news.
        """
        if not is_newer(member, self.members_by_id.get(member.member_id)):
            return False
        self.members_by_id[member.member_id] = member
        self.revision += 1
        return True

    def heard(self, member: Member, *, now: float) -> bool:
        """Takes a heartbeat from the member itself.

        Args:
            member: Its own state.
            now: Clock reading, seconds.

        Returns:
            Whether its state was news.
        """
        self._heard_at_by_id[member.member_id] = now
        return self.merge(member)

    def expire(self, *, silence: float, now: float) -> None:
        """Marks watched members as gone after too long a silence.

        Args:
            silence: Seconds allowed.
            now: Clock reading, seconds.
        """
        for member_id, heard_at in tuple(self._heard_at_by_id.items()):
            if now - heard_at < silence:
                continue
            del self._heard_at_by_id[member_id]
            known = self.members_by_id[member_id]
            self.merge(
                attrs.evolve(known, state=MemberState.GONE, version=known.version + 1)
            )
