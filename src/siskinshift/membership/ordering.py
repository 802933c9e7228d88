"""Orders a member's states and derives suspect and gone states from them.

A member increments its own version in steps of VERSION_STEP. The versions in between
are for its watchers: one above its own for suspect, two above for gone. So two
watchers that suspect or expel the same state write the same record, a watcher's
record never collides with a change by the member itself, and the member's next own
version refutes both.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from siskinshift.messages.core import Member


VERSION_STEP = 4
_SUSPECT_OFFSET = 1
_GONE_OFFSET = 2


def is_newer(candidate: Member, known: Member | None) -> bool:
    """Returns whether a state of a member is newer by (incarnation, version).

    Args:
        candidate: Received state.
        known: Current state, or None.

    Returns:
        Whether the candidate replaces the current state.
    """
    if known is None:
        return True
    candidate_version = (candidate.incarnation, candidate.version)
    return candidate_version > (known.incarnation, known.version)


def own_version_above(version: int) -> int:
    """Returns the next version that a member may give itself.

    Args:
        version: Any version of the member.

    Returns:
        The least multiple of VERSION_STEP above the version.
    """
    return version // VERSION_STEP * VERSION_STEP + VERSION_STEP


def suspected(member: Member) -> Member:
    """Derives the suspect state of an unresponsive member.

    Args:
        member: Its last own state.

    Returns:
        The suspect state; only a member that was ready still gets new flows.
    """
    weight = member.weight if member.state is MemberState.READY else 0
    return attrs.evolve(
        member,
        state=MemberState.SUSPECT,
        version=_own_version_of(member) + _SUSPECT_OFFSET,
        weight=weight,
    )


def expelled(member: Member) -> Member:
    """Derives the gone state of a member that stayed unresponsive.

    Args:
        member: Its last own or suspect state.

    Returns:
        The gone state, the same whether or not it was suspect before.
    """
    return attrs.evolve(
        member,
        state=MemberState.GONE,
        version=_own_version_of(member) + _GONE_OFFSET,
        weight=0,
    )


def _own_version_of(member: Member) -> int:
    return member.version // VERSION_STEP * VERSION_STEP
