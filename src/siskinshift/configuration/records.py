"""Records of the configuration in the key-value service.

Every change writes one service's record and the root record in one transaction, on
condition that neither has changed since it was read. Changes are therefore serialized:
two operators can't assign one address to two services. A single read of the root shows
which changes took effect.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError
from siskinshift.messages.configuration import AppliedChange
from siskinshift.messages.configuration import Root
from siskinshift.messages.core import Service


if TYPE_CHECKING:
    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import Snapshot


CONFIGURATION_PREFIX = "siskinshift/configuration/"
ROOT_KEY = CONFIGURATION_PREFIX + "root"
SERVICE_PREFIX = CONFIGURATION_PREFIX + "service/"

# About seven hours at 410 changes a day, far longer than a client waits for the reply
# to a change.
CHANGE_HISTORY_SIZE = 128


@frozen
class RootEntry:
    """The root record with its revision.

    Attributes:
        root: The record; an empty one if it is absent.
        revision: Its revision; 0 if it is absent.
    """

    root: Root
    revision: int

    def find(self, change_id: str) -> AppliedChange | None:
        """Looks up a change in the change history.

        Args:
            change_id: Id of the change.

        Returns:
            The change with its revision, or None.
        """
        for change in self.changes():
            if change.change_id == change_id:
                return change
        return None

    def changes(self) -> tuple[AppliedChange, ...]:
        """Lists the change history.

        Returns:
            The latest changes, oldest first, each with its revision.
        """
        return tuple(
            change if change.revision else attrs.evolve(change, revision=self.revision)
            for change in self.root.changes
        )

    def has_all_changes_since(self, change_count: int) -> bool:
        """Returns whether the history includes every change since a change count.

        Args:
            change_count: The earlier value of the root's change count.

        Returns:
            Whether no change since then was dropped from the history.
        """
        return self.root.change_count - change_count <= len(self.root.changes)

    def with_change(self, change_id: str, service_id: str) -> Root:
        """Returns the root record that a change writes.

        Args:
            change_id: Id of the change.
            service_id: Service that it changes.

        Returns:
            The new root.
        """
        added = AppliedChange(change_id=change_id, service_id=service_id)
        return attrs.evolve(
            self.root,
            change_count=self.root.change_count + 1,
            changes=(*self.changes(), added)[-CHANGE_HISTORY_SIZE:],
        )

    def with_fence(self) -> Root:
        """Returns a root record that changes only the revision when written.

        Returns:
            The new root.
        """
        return attrs.evolve(
            self.root, fence_count=self.root.fence_count + 1, changes=self.changes()
        )


@frozen
class Configuration:
    """A consistent snapshot of all records.

    Attributes:
        root: The root record.
        services_by_id: Services with their revisions, including deleted ones.
        unreadable: Keys of records that can't be decoded.
        revision: Revision of the store at the time of the read.
    """

    root: RootEntry
    services_by_id: Mapping[str, Service]
    unreadable: tuple[str, ...]
    revision: int


def decode_root(entry: Entry | None) -> RootEntry:
    """Decodes the root record.

    Args:
        entry: Its entry; None if it is absent.

    Returns:
        The root.

    Raises:
        BadMessageError: The record is malformed.
    """
    if entry is None:
        return RootEntry(Root(), 0)
    return RootEntry(decode_message(entry.value, Root), entry.revision)


def decode_service(entry: Entry) -> Service:
    """Decodes a service's record.

    Args:
        entry: Its entry.

    Returns:
        The service with its revision.

    Raises:
        BadMessageError: The record is malformed.
    """
    service = decode_message(entry.value, Service)
    if service_key(service.service_id) != entry.key:
        raise BadMessageError(f"{entry.key} holds another service")
    return attrs.evolve(service, revision=entry.revision)


def decode_services(entries: tuple[Entry, ...]) -> tuple[list[Service], list[str]]:
    """Decodes the service records among some entries.

    Args:
        entries: Entries of the configuration.

    Returns:
        The services, and the keys of malformed records.
    """
    services: list[Service] = []
    unreadable: list[str] = []
    for entry in entries:
        if not entry.key.startswith(SERVICE_PREFIX):
            continue
        try:
            services.append(decode_service(entry))
        except BadMessageError:
            # One malformed record must not prevent decoding of the rest.
            unreadable.append(entry.key)
    return services, unreadable


def decode_configuration(snapshot: Snapshot) -> Configuration:
    """Decodes all records.

    Args:
        snapshot: All entries with CONFIGURATION_PREFIX.

    Returns:
        The configuration.

    Raises:
        BadMessageError: The root record is malformed.
    """
    root_entry = next(
        (entry for entry in snapshot.entries if entry.key == ROOT_KEY), None
    )
    services, unreadable = decode_services(snapshot.entries)
    return Configuration(
        root=decode_root(root_entry),
        services_by_id={service.service_id: service for service in services},
        unreadable=tuple(unreadable),
        revision=snapshot.revision,
    )


def service_key(service_id: str) -> str:
    """Returns the key of a service's record.

    Args:
        service_id: The service.

    Returns:
        The key.
    """
    return SERVICE_PREFIX + service_id


def encode_record(record: Service | Root) -> bytes:
    """Encodes a record without its revision, which the store assigns.

    Args:
        record: The record.

    Returns:
        Its JSON.
    """
    if isinstance(record, Service):
        record = attrs.evolve(record, revision=0)
    return encode_message(record)
