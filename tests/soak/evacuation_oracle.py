"""Judges evacuations by when upstreams took opening packets."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence


# An order is in force this long after the store has taken it.
IN_FORCE_SECONDS = 5.0
# Troubles of the store, during which an order may reach nobody; what else happens to
# nodes excuses nothing.
EXCUSED_KINDS = frozenset({"refuse", "cut_store", "compact", "lose_answers"})


class EvacuationOracle:
    """The orders of one domain, with their times."""

    def __init__(self) -> None:
        """Begins without an order."""
        self._orders: list[tuple[float, float]] = []
        self._began_at: float | None = None
        self._disturbances: list[tuple[float, float]] = []

    def begin(self, *, now: float) -> None:
        """Takes note that the store has taken an order.

        Args:
            now: Clock reading, seconds; after the store's answer.
        """
        if self._began_at is None:
            self._began_at = now

    def end(self, *, now: float) -> None:
        """Takes note that the domain is taken back.

        Args:
            now: Clock reading, seconds; before the call of the store.
        """
        if self._began_at is not None:
            self._orders.append((self._began_at, now))
        self._began_at = None

    def disturb(self, kind: str, began_at: float, ended_at: float) -> None:
        """Takes note of a fault.

        Args:
            kind: Its name.
            began_at: When it began, seconds.
            ended_at: When it ended, seconds.
        """
        if kind in EXCUSED_KINDS:
            self._disturbances.append((began_at, ended_at))

    def broken_by(self, opened_at: Sequence[float]) -> list[float]:
        """Names the opening packets that came in spite of an order.

        Args:
            opened_at: When the domain's upstreams took opening packets, seconds.

        Returns:
            Those that no trouble of the store excuses.
        """
        return [at for at in opened_at if self._is_forbidden(at)]

    def _is_forbidden(self, at: float) -> bool:
        is_evacuated = any(
            began_at + IN_FORCE_SECONDS < at < ended_at
            for began_at, ended_at in self._orders
        )
        is_excused = any(
            began_at < at and ended_at > at - IN_FORCE_SECONDS
            for began_at, ended_at in self._disturbances
        )
        return is_evacuated and not is_excused
