"""Identifies and compares incarnations, the starts of an upstream.

No other module compares ids or start times of upstreams.
"""

from __future__ import annotations

from enum import Enum
from enum import auto

from attrs import frozen


class Relation(Enum):
    """Relation of an incarnation to the known one.

    SAME: it is the known one. LATER: it has replaced the known one. EARLIER: it ran
    before the known one, or the wall clock of its instance is behind. UNKNOWN: it has
    no start time although the known one has, so the two cannot be compared.
    """

    SAME = auto()
    LATER = auto()
    EARLIER = auto()
    UNKNOWN = auto()


@frozen
class Incarnation:
    """One start of an upstream.

    Attributes:
        upstream_id: Id of the upstream, which a later start may reuse.
        started_ms: Time of the start, Unix milliseconds; None if not reported.
    """

    upstream_id: str
    started_ms: int | None = None

    def relation_to(self, known: Incarnation) -> Relation:
        """Compares this incarnation with the known one.

        Args:
            known: The known incarnation.

        Returns:
            The relation. Another id is always later: ids are not drawn twice, and the
            calling code keeps the incarnations that have ended.
        """
        if self == known:
            return Relation.SAME
        if self.upstream_id != known.upstream_id:
            return Relation.LATER
        if self.started_ms is None:
            return Relation.UNKNOWN
        if known.started_ms is None or self.started_ms > known.started_ms:
            return Relation.LATER
        return Relation.EARLIER

    def started_after(self, known: Incarnation) -> bool:
        """Returns whether this incarnation reported a later start than the known one.

        Args:
            known: The known incarnation.

        Returns:
            Whether both start times are known and this one is later.
        """
        if self.started_ms is None or known.started_ms is None:
            return False
        return self.started_ms > known.started_ms
