"""Order of services that meet at one upstream class.

Pattern: a service whose lateness is only an annoyance (dossiers, plans) shares slots
with one whose late answers do harm (editor, marketplace). Without it a batch of PDFs
delays saves. The more important service goes first; a small floor (5 % of slot time)
stays with the others, since a service that gets nothing at all for an hour looks broken
and its callers' retries add to the load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


class ImportanceOrder:
    """Picks the service that starts next."""

    def __init__(self, *, floor: float) -> None:
        """Prepares without any debt.

        Args:
            floor: Part of slot time that a passed-over service keeps, 0 to 0.5.
        """
        self._floor = floor
        self._owed_by_service: dict[str, float] = {}

    def choose(
        self, importance_by_service: Mapping[str, int], *, cost: float
    ) -> str | None:
        """Picks a service.

        Args:
            importance_by_service: Importance of the services with waiting work.
            cost: Slot seconds that a start is expected to take.

        Returns:
            The service, or None when none waits.
        """
        if len(importance_by_service) < 2:
            return next(iter(importance_by_service), None)
        first = max(importance_by_service, key=importance_by_service.__getitem__)
        for service_id in sorted(importance_by_service):
            if service_id != first and self._owed(service_id) >= cost:
                return service_id
        return first

    def started(
        self, service_id: str, importance_by_service: Mapping[str, int], *, cost: float
    ) -> None:
        """Takes note of a start.

        Args:
            service_id: The service that got the slot.
            importance_by_service: Importance of the services that waited.
            cost: Slot seconds that the start is expected to take.
        """
        for waiting in importance_by_service:
            if waiting != service_id:
                owed = self._owed(waiting) + cost * self._floor
                # No credit is saved beyond one start.
                self._owed_by_service[waiting] = min(owed, cost)
        if service_id in self._owed_by_service:
            self._owed_by_service[service_id] = max(0.0, self._owed(service_id) - cost)

    def _owed(self, service_id: str) -> float:
        return self._owed_by_service.get(service_id, 0.0)
