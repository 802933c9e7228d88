"""Operators' configuration in the key-value service."""

from __future__ import annotations

import time
import uuid
from random import Random
from typing import TYPE_CHECKING

import attrs
from attrs import frozen

from siskinshift.configuration.changes import CreateService
from siskinshift.configuration.changes import ReplaceService
from siskinshift.configuration.changes import edited
from siskinshift.configuration.exceptions import InvalidChangeError
from siskinshift.configuration.exceptions import RecordTooLargeError
from siskinshift.configuration.exceptions import RevisionConflictError
from siskinshift.configuration.records import PREFIX
from siskinshift.configuration.records import ROOT_KEY
from siskinshift.configuration.records import Configuration
from siskinshift.configuration.records import RootEntry
from siskinshift.configuration.records import decode_configuration
from siskinshift.configuration.records import decode_root
from siskinshift.configuration.records import encode_record
from siskinshift.configuration.records import service_key
from siskinshift.configuration.validation import RECORD_SIZE_MAXIMUM
from siskinshift.configuration.validation import check_addresses_free
from siskinshift.configuration.validation import check_change_id
from siskinshift.configuration.validation import check_name
from siskinshift.configuration.validation import checked_service
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import Backoff
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put
from siskinshift.messages.core import Service


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.configuration.changes import Change
    from siskinshift.kv.port import KeyValueStore
    from siskinshift.messages.configuration import AppliedChange


# Changes of other services may come first again and again; at 410 a day even two in
# a row are rare.
RACES_MAXIMUM = 8
# With the pauses below an operator waits some 3 s more before "unknown" is said.
RESOLVE_TRIES = 4
RESOLVE_PAUSE = Backoff(minimum=0.2, maximum=1.0)


@frozen
class AcceptedChange:
    """A change that took effect.

    Attributes:
        change_id: Its id.
        service_id: Service it changed.
        revision: Revision it was written at.
        service: The record it wrote; None when only its id was found later.
    """

    change_id: str
    service_id: str
    revision: int
    service: Service | None


def new_change_id() -> str:
    """Makes an id for a change.

    Returns:
        The id, unique.
    """
    return uuid.uuid4().hex


class ConfigurationStore:
    """Reads the configuration and makes operators' changes."""

    def __init__(
        self,
        store: KeyValueStore,
        *,
        pause: Callable[[float], None] = time.sleep,
        random: Random | None = None,
    ) -> None:
        """Takes a store.

        Args:
            store: The key-value service.
            pause: Waits some seconds.
            random: Source of jitter; None for one of its own.
        """
        self._store = store
        self._pause = pause
        self._random = random or Random()

    def read(self) -> Configuration:
        """Reads all records.

        Returns:
            The records as they were together.

        Raises:
            StoreUnavailableError: The store did not answer, or the root is unreadable.
        """
        snapshot = self._store.list_prefix(PREFIX)
        try:
            return decode_configuration(snapshot)
        except BadMessageError as error:
            raise StoreUnavailableError(f"root record: {error}") from error

    def read_all(self) -> list[Service]:
        """Reads all service records.

        Returns:
            The records with their revisions, tombstones included.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        return list(self.read().services_by_id.values())

    def find(self, change_id: str) -> AppliedChange | None:
        """Looks for a change among the latest that took effect.

        Args:
            change_id: Id of the change.

        Returns:
            The change, or None. None is no proof that it never takes effect.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        return self._read_root().find(change_id)

    def write(self, service: Service) -> int | None:
        """Writes a whole service: creates it at revision 0, else replaces it.

        Args:
            service: The new record with the revision it replaces.

        Returns:
            The new revision, or None when another change came first.

        Raises:
            ChangeRefusedError: A value is not allowed.
            StoreUnavailableError: It did not take effect.
            StoreOutcomeUnknownError: It may have taken effect.
        """
        change: Change = CreateService(service)
        if service.revision:
            change = ReplaceService(service, service.revision)
        try:
            return self.apply(change, new_change_id()).revision
        except RevisionConflictError:
            return None

    def apply(self, change: Change, change_id: str) -> AcceptedChange:
        """Makes a change.

        Args:
            change: The change.
            change_id: Its id. A change that is sent again with the id of one that
                took effect is answered as accepted and not made twice.

        Returns:
            The accepted change.

        Raises:
            ChangeRefusedError: It was refused; nothing changed.
            StoreUnavailableError: It did not take effect and never will.
            StoreOutcomeUnknownError: It may have taken effect or may yet do so.
        """
        check_change_id(change_id)
        check_name("service", change.service_id)
        for _ in range(RACES_MAXIMUM):
            before = self.read()
            known = before.root.find(change_id)
            if known is not None:
                return _accepted_before(known, change, before)
            planned = _planned(change, change_id, before)
            accepted = self._try_write(planned, before)
            if accepted is not None:
                return accepted
        raise StoreUnavailableError("other changes kept coming first")

    def _try_write(
        self, planned: Service, before: Configuration
    ) -> AcceptedChange | None:
        """Writes; None when another change came first and this one never will."""
        current = before.services_by_id.get(planned.service_id)
        key = service_key(planned.service_id)
        root = before.root.with_change(planned.change_id, planned.service_id)
        compares = (
            Compare(ROOT_KEY, before.root.revision),
            Compare(key, current.revision if current else 0),
        )
        puts = (Put(key, encode_record(planned)), Put(ROOT_KEY, encode_record(root)))
        try:
            result = self._store.transact(compares, puts)
        except StoreOutcomeUnknownError:
            return self._resolve(planned, before.root)
        if not result.succeeded:
            return None
        return _accepted(planned, result.revision)

    def _resolve(self, planned: Service, before: RootEntry) -> AcceptedChange | None:
        """Finds out what became of a write whose answer was lost.

        Failure: the write may have taken effect, or may still be under way and do so
        later, so "not there yet" proves nothing. The write compares the root's
        revision: once the root has moved on it can't take effect any more. So either
        the root has moved on already, or a fence moves it; then its list of changes
        tells the truth.
        """
        for attempt in range(1, RESOLVE_TRIES + 1):
            try:
                root = self._read_root()
                if root.revision == before.revision:
                    self._write_fence(root)
                    continue
            except (StoreUnavailableError, StoreOutcomeUnknownError):
                self._pause(RESOLVE_PAUSE.delay(attempt, self._random))
                continue
            return _settled(planned, before, root)
        raise StoreOutcomeUnknownError(_unknown_text(planned))

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


def _planned(change: Change, change_id: str, before: Configuration) -> Service:
    key = service_key(change.service_id)
    if key in before.unreadable:
        raise StoreUnavailableError(f"record {key} can't be read")
    current = before.services_by_id.get(change.service_id)
    planned = edited(change, current)
    if not planned.deleted:
        planned = checked_service(planned)
        check_addresses_free(planned, before.services_by_id.values())
    planned = attrs.evolve(planned, change_id=change_id, revision=0)
    size = len(encode_record(planned))
    if size > RECORD_SIZE_MAXIMUM:
        raise RecordTooLargeError(
            f"record of {size} bytes: allowed up to {RECORD_SIZE_MAXIMUM}"
        )
    return planned


def _accepted(planned: Service, revision: int) -> AcceptedChange:
    return AcceptedChange(
        change_id=planned.change_id,
        service_id=planned.service_id,
        revision=revision,
        service=attrs.evolve(planned, revision=revision),
    )


def _accepted_before(
    known: AppliedChange, change: Change, before: Configuration
) -> AcceptedChange:
    if known.service_id != change.service_id:
        raise InvalidChangeError(
            f"change id {known.change_id} was used for service {known.service_id}"
        )
    service = before.services_by_id.get(known.service_id)
    if service is not None and service.revision != known.revision:
        service = None
    return AcceptedChange(
        change_id=known.change_id,
        service_id=known.service_id,
        revision=known.revision,
        service=service,
    )


def _settled(
    planned: Service, before: RootEntry, root: RootEntry
) -> AcceptedChange | None:
    found = root.find(planned.change_id)
    if found is not None:
        return _accepted(planned, found.revision)
    if root.lists_all_since(before.root.change_count):
        return None
    raise StoreOutcomeUnknownError(_unknown_text(planned))


def _unknown_text(planned: Service) -> str:
    return f"change {planned.change_id} may have taken effect; ask for it by its id"
