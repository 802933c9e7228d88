"""Records of the configuration in the key-value service.

Every change writes one service's record and the root record in one transaction, on
condition that both are as they were read. So changes take effect one after the other:
two operators who give one address to two services can't both win, and the root tells
in one read which changes took effect.
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


PREFIX = "siskinshift/configuration/"
ROOT_KEY = PREFIX + "root"
SERVICE_PREFIX = PREFIX + "service/"

# About seven hours at 410 changes a day: far longer than the answer to a change can
# be waited for.
CHANGES_KEPT = 128


@frozen
class RootEntry:
    """The root record with its revision.

    Attributes:
        root: The record; an empty one when there is none.
        revision: Its revision; 0 when there is none.
    """

    root: Root
    revision: int

    def find(self, change_id: str) -> AppliedChange | None:
        """Looks for a change among those kept.

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
        """Lists the changes kept.

        Returns:
            The changes, oldest first, each with its revision.
        """
        return tuple(
            change if change.revision else attrs.evolve(change, revision=self.revision)
            for change in self.root.changes
        )

    def lists_all_since(self, change_count: int) -> bool:
        """Tells whether no change since then was dropped from the list.

        Args:
            change_count: The count of changes at that time.

        Returns:
            Whether the list is whole since then.
        """
        return self.root.change_count - change_count <= len(self.root.changes)

    def with_change(self, change_id: str, service_id: str) -> Root:
        """Works out the root that a change writes.

        Args:
            change_id: Id of the change.
            service_id: Service it changes.

        Returns:
            The new root.
        """
        added = AppliedChange(change_id=change_id, service_id=service_id)
        return attrs.evolve(
            self.root,
            change_count=self.root.change_count + 1,
            changes=(*self.changes(), added)[-CHANGES_KEPT:],
        )

    def with_fence(self) -> Root:
        """Works out a root that changes nothing but the revision.

        Returns:
            The new root.
        """
        return attrs.evolve(
            self.root, fence_count=self.root.fence_count + 1, changes=self.changes()
        )


@frozen
class Configuration:
    """All records as they were together.

    Attributes:
        root: The root record.
        services_by_id: Services with their revisions, deleted ones included.
        unreadable: Keys of records that can't be read.
        revision: Revision of the store at the time of the read.
    """

    root: RootEntry
    services_by_id: Mapping[str, Service]
    unreadable: tuple[str, ...]
    revision: int


def decode_root(entry: Entry | None) -> RootEntry:
    """Reads the root record.

    Args:
        entry: Its entry, or None without one.

    Returns:
        The root.

    Raises:
        BadMessageError: The record can't be read.
    """
    if entry is None:
        return RootEntry(Root(), 0)
    return RootEntry(decode_message(entry.value, Root), entry.revision)


def decode_service(entry: Entry) -> Service:
    """Reads a service's record.

    Args:
        entry: Its entry.

    Returns:
        The service with its revision.

    Raises:
        BadMessageError: The record can't be read.
    """
    service = decode_message(entry.value, Service)
    if service_key(service.service_id) != entry.key:
        raise BadMessageError(f"{entry.key} holds another service")
    return attrs.evolve(service, revision=entry.revision)


def decode_services(entries: tuple[Entry, ...]) -> tuple[list[Service], list[str]]:
    """Reads the records of services among some entries.

    Args:
        entries: Entries of the configuration.

    Returns:
        The services, and the keys of records that can't be read.
    """
    services: list[Service] = []
    unreadable: list[str] = []
    for entry in entries:
        if not entry.key.startswith(SERVICE_PREFIX):
            continue
        try:
            services.append(decode_service(entry))
        except BadMessageError:
            # One bad record must not keep the others from being read.
            unreadable.append(entry.key)
    return services, unreadable


def decode_configuration(snapshot: Snapshot) -> Configuration:
    """Reads all records.

    Args:
        snapshot: All entries with PREFIX.

    Returns:
        The configuration.

    Raises:
        BadMessageError: The root record can't be read.
    """
    root = next((e for e in snapshot.entries if e.key == ROOT_KEY), None)
    services, unreadable = decode_services(snapshot.entries)
    return Configuration(
        root=decode_root(root),
        services_by_id={service.service_id: service for service in services},
        unreadable=tuple(unreadable),
        revision=snapshot.revision,
    )


def service_key(service_id: str) -> str:
    """Names the key of a service's record.

    Args:
        service_id: The service.

    Returns:
        The key.
    """
    return SERVICE_PREFIX + service_id


def encode_record(record: Service | Root) -> bytes:
    """Writes a record; the revision is the store's, not part of it.

    Args:
        record: The record.

    Returns:
        Its JSON.
    """
    if isinstance(record, Service):
        record = attrs.evolve(record, revision=0)
    return encode_message(record)
