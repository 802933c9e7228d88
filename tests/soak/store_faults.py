"""Records the faults of the store, during which a change may reach no node."""

from __future__ import annotations


# Faults of nodes excuse no violation.
EXCUSING_FAULT_KINDS = frozenset(
    {"refuse", "cut_store", "compact", "lose_answers", "restore"}
)


class StoreFaults:
    """The faults of the store, with their times."""

    def __init__(self) -> None:
        """Initializes the record without faults."""
        self._faults: list[tuple[float, float]] = []

    def record(self, kind: str, started_at: float, ended_at: float) -> None:
        """Records a fault; those of nodes are ignored.

        Args:
            kind: Name of the kind of fault.
            started_at: When it started, seconds.
            ended_at: When it ended, seconds.
        """
        if kind in EXCUSING_FAULT_KINDS:
            self._faults.append((started_at, ended_at))

    def excuse(self, at: float, *, within: float) -> bool:
        """Returns whether the store was disturbed shortly before a time.

        Args:
            at: The time, seconds.
            within: Time after the end of a fault for which it excuses, seconds.
        """
        return any(
            started_at < at and ended_at > at - within
            for started_at, ended_at in self._faults
        )
