"""Configuration records held by a process; a record never goes back."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from siskinshift.messages.core import Service


class ServiceTable:
    """Merges records by their revision in the key-value service.

    Attributes:
        services_by_id: Records held.
        generation: Counts the changes.
    """

    def __init__(self) -> None:
        self.services_by_id: dict[str, Service] = {}
        self.generation = 0

    def merge(self, service: Service) -> bool:
        """Takes a record.

        Args:
            service: The record with its revision.

        Returns:
            Whether it was newer than the one held.
        """
        known = self.services_by_id.get(service.service_id)
        if known is not None and known.revision >= service.revision:
            return False
        self.services_by_id[service.service_id] = service
        self.generation += 1
        return True
