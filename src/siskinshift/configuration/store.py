"""Operators' configuration in the key-value service."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.messages.core import Service


if TYPE_CHECKING:
    from siskinshift.kv.port import KeyValueStore


SERVICE_PREFIX = "siskinshift/service/"


class ConfigurationStore:
    """Reads and writes service records."""

    def __init__(self, store: KeyValueStore) -> None:
        self._store = store

    def read_all(self) -> list[Service]:
        """Reads all service records.

        Returns:
            The records with their revisions.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        return [
            attrs.evolve(decode_message(entry.value, Service), revision=entry.revision)
            for entry in self._store.list_prefix(SERVICE_PREFIX)
        ]

    def write(self, service: Service) -> int | None:
        """Writes a record if it is still at `service.revision`.

        Args:
            service: The new record with the revision it replaces.

        Returns:
            The new revision, or None when another change came first.

        Raises:
            StoreUnavailableError: It did not take effect.
            StoreOutcomeUnknownError: It may have taken effect.
        """
        key = SERVICE_PREFIX + service.service_id
        return self._store.compare_and_put(
            key, encode_message(service), revision=service.revision
        )
