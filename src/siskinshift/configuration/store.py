"""Reads and changes the operators' configuration in the key-value service."""

from __future__ import annotations

import time
import uuid
from random import Random
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import ReplaceService
from siskinshift.configuration.changes import apply_change
from siskinshift.configuration.exceptions import InvalidChangeError
from siskinshift.configuration.exceptions import RecordTooLargeError
from siskinshift.configuration.exceptions import RevisionConflictError
from siskinshift.configuration.records import CONFIGURATION_PREFIX
from siskinshift.configuration.records import ROOT_KEY
from siskinshift.configuration.records import Configuration
from siskinshift.configuration.records import RootEntry
from siskinshift.configuration.records import decode_configuration
from siskinshift.configuration.records import decode_root
from siskinshift.configuration.records import encode_record
from siskinshift.configuration.records import service_key
from siskinshift.configuration.validation import MAX_RECORD_SIZE
from siskinshift.configuration.validation import check_addresses_free
from siskinshift.configuration.validation import check_change_id
from siskinshift.configuration.validation import check_name
from siskinshift.configuration.validation import validate_service
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.guard import Backoff
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put
from siskinshift.messages.core import Service


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.configuration.changes import Change
    from siskinshift.kv.port import KeyValueStore
    from siskinshift.messages.configuration import AppliedChange


# A concurrent change to another service makes the write fail. At 410 changes a day,
# even two such conflicts in a row are rare.
MAX_WRITE_ATTEMPTS = 8
# With the delays below an operator waits about 3 s longer for an "unknown" result.
MAX_RESOLVE_ATTEMPTS = 4
RESOLVE_BACKOFF = Backoff(minimum=0.2, maximum=1.0)


@frozen
class AcceptedChange:
    """A change that took effect.

    Attributes:
        change_id: Its id.
        service_id: Service that it changed.
        revision: Revision at which it was written.
        service: The record that it wrote; None if only its id could be found later.
    """

    change_id: str
    service_id: str
    revision: int
    service: Service | None


def new_change_id() -> str:
    """Generates an id for a change.

    Returns:
        A unique id.
    """
    return uuid.uuid4().hex


class ConfigurationStore:
    """Reads the configuration and applies operators' changes."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        sleep: Callable[[float], None] = time.sleep,
        random: Random | None = None,
    ) -> None:
        """Initializes the store.

        Args:
            store: The key-value service.
            sleep: Waits for some seconds.
            random: Source of jitter; None creates one.
        """
        self._store = store
        self._sleep = sleep
        self._random = random or Random()

    def read(self) -> Configuration:
        """Reads all records.

        Returns:
            A consistent snapshot of the records.

        Raises:
            StoreUnavailableError: The store did not respond, or the root is malformed.
        """
        snapshot = self._store.list_prefix(CONFIGURATION_PREFIX)
        try:
            return decode_configuration(snapshot)
        except BadMessageError as error:
            raise StoreUnavailableError(f"root record: {error}") from error

    def read_all(self) -> list[Service]:
        """Reads all service records.

        Returns:
            The records with their revisions, including tombstones.

        Raises:
            StoreUnavailableError: The store did not respond.
        """
        return list(self.read().services_by_id.values())

    def find(self, change_id: str) -> AppliedChange | None:
        """Looks up a change in the history of changes that took effect.

        Args:
            change_id: Id of the change.

        Returns:
            The change, or None. None does not prove that it will never take effect.

        Raises:
            StoreUnavailableError: The store did not respond.
        """
        return self._read_root().find(change_id)

    def write(self, service: Service) -> int | None:
        """Writes a whole service: creates it if its revision is 0, else replaces it.

        Args:
            service: The new record with the revision that it replaces.

        Returns:
            The new revision, or None if another change was committed first.

        Raises:
            ChangeRefusedError: A value is invalid.
            StoreUnavailableError: The change did not take effect.
            StoreOutcomeUnknownError: The change may have taken effect.
        """
        change: Change = CreateService(service)
        if service.revision:
            change = ReplaceService(service, service.revision)
        try:
            return self.apply(change, new_change_id()).revision
        except RevisionConflictError:
            return None

    def apply(self, change: Change, change_id: str) -> AcceptedChange:
        """Applies a change.

        Args:
            change: The change.
            change_id: Its id, which makes retries idempotent: a change with the id of
                one that took effect is reported as accepted and not applied again.

        Returns:
            The accepted change.

        Raises:
            ChangeRefusedError: It was refused and had no effect.
            StoreUnavailableError: It did not take effect and never will.
            StoreOutcomeUnknownError: It may have taken effect or may still do so.
        """
        check_change_id(change_id)
        check_name("service", change.service_id)
        for _ in range(MAX_WRITE_ATTEMPTS):
            generation = self._store.generation
            configuration = self.read()
            if generation == UNKNOWN_GENERATION:
                generation = self._store.generation
            applied = configuration.root.find(change_id)
            if applied is not None:
                return _accepted_earlier(applied, change, configuration)
            record = _changed_record(change, change_id, configuration)
            accepted = self._try_write(record, configuration, generation)
            if accepted is not None:
                return accepted
        raise StoreUnavailableError("other changes kept coming first")

    def _try_write(
        self, record: Service, configuration: Configuration, generation: int
    ) -> AcceptedChange | None:
        """Writes a record; returns None if a conflict rules it out permanently."""
        if self._store.generation != generation:
            # The revisions that were read mean something else now.
            return None
        current = configuration.services_by_id.get(record.service_id)
        key = service_key(record.service_id)
        root = configuration.root.with_change(record.change_id, record.service_id)
        compares = (
            Compare(ROOT_KEY, configuration.root.revision),
            Compare(key, current.revision if current else 0),
        )
        puts = (Put(key, encode_record(record)), Put(ROOT_KEY, encode_record(root)))
        try:
            result = self._store.transact(compares, puts)
        except StoreOutcomeUnknownError:
            return self._resolve(record, configuration.root, generation)
        if not result.succeeded:
            return None
        return _accepted(record, result.revision)

    def _resolve(
        self, record: Service, earlier_root: RootEntry, generation: int
    ) -> AcceptedChange | None:
        """Determines the outcome of a write whose response was lost.

        The write may have taken effect, or may still be in transit and do so later, so
        its absence proves nothing. The write compares the root's revision: once that
        has advanced, the write can no longer take effect. If the revision has not
        advanced, a fence advances it. After that, the change history in the root is
        conclusive. It is not if the store was restored since, as the restore may have
        taken the write back, or the write may still arrive.
        """
        for attempt in range(1, MAX_RESOLVE_ATTEMPTS + 1):
            try:
                root = self._read_root()
                if self._store.generation != generation:
                    break
                if root.revision == earlier_root.revision:
                    self._write_fence(root)
                    continue
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                self._sleep(RESOLVE_BACKOFF.delay(attempt, self._random))
                continue
            return _resolved_change(record, earlier_root, root)
        raise StoreOutcomeUnknownError(_unknown_outcome_message(record))

    def _write_fence(self, root: RootEntry) -> None:
        self._store.transact(
            (Compare(ROOT_KEY, root.revision),),
            (Put(ROOT_KEY, encode_record(root.with_fence())),),
        )

    def _read_root(self) -> RootEntry:
        try:
            return decode_root(self._store.get(ROOT_KEY))
        except BadMessageError as error:
            raise StoreUnavailableError(f"root record: {error}") from error


def _changed_record(
    change: Change, change_id: str, configuration: Configuration
) -> Service:
    key = service_key(change.service_id)
    if key in configuration.unreadable:
        raise StoreUnavailableError(f"record {key} can't be read")
    current = configuration.services_by_id.get(change.service_id)
    record = apply_change(change, current)
    if not record.deleted:
        record = validate_service(record)
        check_addresses_free(record, configuration.services_by_id.values())
    record = attrs.evolve(record, change_id=change_id, revision=0)
    size = len(encode_record(record))
    if size > MAX_RECORD_SIZE:
        raise RecordTooLargeError(
            f"record of {size} bytes: allowed up to {MAX_RECORD_SIZE}"
        )
    return record


def _accepted(record: Service, revision: int) -> AcceptedChange:
    return AcceptedChange(
        change_id=record.change_id,
        service_id=record.service_id,
        revision=revision,
        service=attrs.evolve(record, revision=revision),
    )


def _accepted_earlier(
    applied: AppliedChange, change: Change, configuration: Configuration
) -> AcceptedChange:
    if applied.service_id != change.service_id:
        raise InvalidChangeError(
            f"change id {applied.change_id} was used for service {applied.service_id}"
        )
    service = configuration.services_by_id.get(applied.service_id)
    if service is not None and service.revision != applied.revision:
        service = None
    return AcceptedChange(
        change_id=applied.change_id,
        service_id=applied.service_id,
        revision=applied.revision,
        service=service,
    )


def _resolved_change(
    record: Service, earlier_root: RootEntry, root: RootEntry
) -> AcceptedChange | None:
    applied = root.find(record.change_id)
    if applied is not None:
        return _accepted(record, applied.revision)
    if root.has_all_changes_since(earlier_root.root.change_count):
        return None
    raise StoreOutcomeUnknownError(_unknown_outcome_message(record))


def _unknown_outcome_message(record: Service) -> str:
    return f"change {record.change_id} may have taken effect; ask for it by its id"
