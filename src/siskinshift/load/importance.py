"""Priority order of the services that share one upstream class.

A service that tolerates delay, such as one that generates documents, may share slots
with one whose late responses do harm, such as an editor. Without priorities a batch of
generated documents delays the editor's writes. The more important service goes first.
Less important ones keep a small floor (5 % of slot time), because a service that gets
nothing for an hour appears to have failed, and its callers' retries add to the load.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Mapping


class ImportanceOrder:
    """Selects the service whose request starts next."""

    def __init__(self, *, floor: float) -> None:
        """Initializes the order without any credit.

        Args:
            floor: Fraction of slot time reserved for a less important service, 0 to
                0.5.
        """
        self._floor = floor
        self._credits_by_service: dict[str, float] = {}

    def choose(
        self, importances_by_service: Mapping[str, int], *, cost: float
    ) -> str | None:
        """Selects a service.

        Args:
            importances_by_service: Importance of the services with queued requests.
            cost: Expected slot seconds of a request.

        Returns:
            The service, or None if no service has queued requests.
        """
        if len(importances_by_service) < 2:
            return next(iter(importances_by_service), None)
        first = max(importances_by_service, key=importances_by_service.__getitem__)
        for service_id in sorted(importances_by_service):
            if service_id != first and self._credit(service_id) >= cost:
                return service_id
        return first

    def record_start(
        self, service_id: str, importances_by_service: Mapping[str, int], *, cost: float
    ) -> None:
        """Updates the credits of the services after a start.

        Args:
            service_id: The service that got the slot.
            importances_by_service: Importance of the services with queued requests.
            cost: Expected slot seconds of the request.
        """
        for waiting in importances_by_service:
            if waiting != service_id:
                credit = self._credit(waiting) + cost * self._floor
                # Credit is limited to the cost of one start.
                self._credits_by_service[waiting] = min(credit, cost)
        if service_id in self._credits_by_service:
            self._credits_by_service[service_id] = max(
                0.0, self._credit(service_id) - cost
            )

    def _credit(self, service_id: str) -> float:
        return self._credits_by_service.get(service_id, 0.0)
