"""Configuration records held by a process; a record never goes back."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from siskinshift.messages.core import Service


class ServiceTable:
    """Merges records by their revision in the key-value service.

    Failure: gossip, a paused reader or a restart during an outage bring records that
    are older than the one held. The order of revisions is the order in which changes
    were accepted, so only a higher one replaces; a deleted service stays as a
    tombstone, or an older record would bring it back.

    Attributes:
        services_by_id: Records held, tombstones included; replaced with each change,
            never altered, so that any thread may walk through it.
        generation: Counts the changes.
        revision: Highest revision held.
    """

    def __init__(self) -> None:
        self.services_by_id: Mapping[str, Service] = {}
        self.generation = 0
        self.revision = 0
        self._lock = threading.Lock()

    def merge(self, service: Service) -> bool:
        """Takes a record.

        Args:
            service: The record with its revision.

        Returns:
            Whether it was newer than the one held.
        """
        return self.merge_all((service,))

    def merge_all(self, services: Iterable[Service]) -> bool:
        """Takes records.

        Args:
            services: The records with their revisions.

        Returns:
            Whether any was newer than the one held.
        """
        with self._lock:
            merged = dict(self.services_by_id)
            changed = False
            for service in services:
                known = merged.get(service.service_id)
                if known is not None and known.revision >= service.revision:
                    continue
                merged[service.service_id] = service
                self.revision = max(self.revision, service.revision)
                changed = True
            if changed:
                self.services_by_id = merged
                self.generation += 1
            return changed
