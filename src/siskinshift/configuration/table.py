"""A process's copy of the configuration; a record is never replaced by an older one."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinshift.messages.core import Service


class ServiceTable:
    """Merges records by their revision in the key-value service.

    Gossip, a paused reader or a restart during an outage may deliver records that are
    older than the current one. Revisions increase in the order in which changes were
    accepted, so only a record with a higher revision replaces another. A deleted
    service remains as a tombstone, because an older record would restore it.

    Attributes:
        services_by_id: Current records, including tombstones. The mapping is replaced
            with each change and never modified, so any thread may iterate over it.
        generation: Number of changes so far.
        revision: Highest revision of the records.
    """

    def __init__(self) -> None:
        self.services_by_id: Mapping[str, Service] = {}
        self.generation = 0
        self.revision = 0
        self._lock = threading.Lock()

    def merge(self, service: Service) -> bool:
        """Merges a record.

        Args:
            service: The record with its revision.

        Returns:
            Whether it was newer than the current one.
        """
        return self.merge_all((service,))

    def merge_all(self, services: Iterable[Service]) -> bool:
        """Merges records.

        Args:
            services: The records with their revisions.

        Returns:
            Whether any was newer than the current one.
        """
        with self._lock:
            merged = dict(self.services_by_id)
            changed = False
            for service in services:
                current = merged.get(service.service_id)
                if current is not None and current.revision >= service.revision:
                    continue
                merged[service.service_id] = service
                self.revision = max(self.revision, service.revision)
                changed = True
            if changed:
                self.services_by_id = merged
                self.generation += 1
            return changed
