"""Checks that evacuated upstreams receive no opening packets."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence


# An evacuation is in force at most this long after the store has accepted it.
MAX_PROPAGATION_SECONDS = 5.0
# Faults of the store, during which an evacuation may reach no node. Faults of nodes
# excuse no violation.
EXCUSING_FAULT_KINDS = frozenset({"refuse", "cut_store", "compact", "lose_answers"})


class EvacuationOracle:
    """The evacuations of one failure domain, with their times."""

    def __init__(self) -> None:
        """Initializes the oracle without an evacuation."""
        self._evacuations: list[tuple[float, float]] = []
        self._started_at: float | None = None
        self._excusing_faults: list[tuple[float, float]] = []

    def record_start(self, *, now: float) -> None:
        """Records that the store has accepted an evacuation.

        Args:
            now: Clock reading, seconds; after the response of the store.
        """
        if self._started_at is None:
            self._started_at = now

    def record_end(self, *, now: float) -> None:
        """Records that the evacuation of the domain ends.

        Args:
            now: Clock reading, seconds; before the request to the store.
        """
        if self._started_at is not None:
            self._evacuations.append((self._started_at, now))
        self._started_at = None

    def record_fault(self, kind: str, started_at: float, ended_at: float) -> None:
        """Records a fault.

        Args:
            kind: Name of the kind of fault.
            started_at: When it started, seconds.
            ended_at: When it ended, seconds.
        """
        if kind in EXCUSING_FAULT_KINDS:
            self._excusing_faults.append((started_at, ended_at))

    def find_violations(self, opened_at: Sequence[float]) -> list[float]:
        """Finds the opening packets that arrived despite an evacuation.

        Args:
            opened_at: When the domain's upstreams received opening packets, seconds.

        Returns:
            The times that no fault of the store excuses.
        """
        return [at for at in opened_at if self._is_violation(at)]

    def _is_violation(self, at: float) -> bool:
        is_evacuated = any(
            started_at + MAX_PROPAGATION_SECONDS < at < ended_at
            for started_at, ended_at in self._evacuations
        )
        is_excused = any(
            started_at < at and ended_at > at - MAX_PROPAGATION_SECONDS
            for started_at, ended_at in self._excusing_faults
        )
        return is_evacuated and not is_excused
