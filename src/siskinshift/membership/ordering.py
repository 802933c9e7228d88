"""Order of a member's states, and the verdicts that watchers derive from them.

A member counts its own versions in steps of VERSION_STEP. What watchers say of
it lies between two of these: one above its own for suspect, two above for gone.
So two watchers that judge the same state write the same record, a verdict never
collides with a change by the member itself, and the member's next own version
refutes any verdict.
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


def own_version_above(version: int) -> int:
    """Finds the next version a member may give itself.

    Args:
        version: Any version of it.

    Returns:
        The least multiple of VERSION_STEP above.
    """
    return version // VERSION_STEP * VERSION_STEP + VERSION_STEP


def suspected(member: Member) -> Member:
    """Derives the state of a member that fell silent.

    Args:
        member: Its last own state.

    Returns:
        The suspect state; only one that was ready keeps taking new flows.
    """
    weight = member.weight if member.state is MemberState.READY else 0
    return attrs.evolve(
        member,
        state=MemberState.SUSPECT,
        version=_own_version_of(member) + _SUSPECT_OFFSET,
        weight=weight,
    )


def expelled(member: Member) -> Member:
    """Derives the state of a member that stayed silent.

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
