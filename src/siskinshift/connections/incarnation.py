"""Which start of an upstream says something: the one place that compares starts."""

from __future__ import annotations

from enum import Enum
from enum import auto

from attrs import frozen


class Relation(Enum):
    """How a start that speaks relates to the one that is known.

    SAME: it is the known one. LATER: it has taken the known one's place. EARLIER: it
    ran before the known one, or its instance's time of day is behind. UNTOLD: it does
    not say when it started although the known one did, so whose word it is can't be
    told.
    """

    SAME = auto()
    LATER = auto()
    EARLIER = auto()
    UNTOLD = auto()


@frozen
class Incarnation:
    """One start of an upstream.

    Attributes:
        upstream_id: Its id, which a later start may have again.
        started_ms: Time of day of its start, Unix milliseconds; None if it does not
            tell.
    """

    upstream_id: str
    started_ms: int | None = None

    def relation_to(self, known: Incarnation) -> Relation:
        """Compares this start, which speaks, with the known one.

        Args:
            known: The start that is known.

        Returns:
            What it is to that one. Another id is always later: ids are not drawn
            twice, and whoever ended is remembered by the caller.
        """
        if self == known:
            return Relation.SAME
        if self.upstream_id != known.upstream_id:
            return Relation.LATER
        if self.started_ms is None:
            return Relation.UNTOLD
        if known.started_ms is None or self.started_ms > known.started_ms:
            return Relation.LATER
        return Relation.EARLIER
