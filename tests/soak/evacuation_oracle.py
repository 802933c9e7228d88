"""Checks that evacuated upstreams receive no opening packets."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence

    from tests.soak.store_faults import StoreFaults


# An evacuation is in force at most this long after the store has accepted it.
MAX_PROPAGATION_SECONDS = 5.0


class EvacuationOracle:
    """The evacuations of one failure domain, with their times."""

    def __init__(self, store_faults: StoreFaults) -> None:
        """Initializes the oracle without an evacuation.

        Args:
            store_faults: Faults during which an evacuation may reach no node.
        """
        self._store_faults = store_faults
        self._evacuations: list[tuple[float, float]] = []
        self._started_at: float | None = None

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
        is_excused = self._store_faults.excuse(at, within=MAX_PROPAGATION_SECONDS)
        return is_evacuated and not is_excused
