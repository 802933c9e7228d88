"""Reads the configuration while this balancer holds an entry slot."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING
from urllib.parse import quote

from siskinshift.configuration.read_schedule import CheckRoot
from siskinshift.configuration.read_schedule import OpenWatch
from siskinshift.configuration.read_schedule import ReadAll
from siskinshift.configuration.read_schedule import ReadSchedule
from siskinshift.configuration.records import CONFIGURATION_PREFIX
from siskinshift.configuration.records import ROOT_KEY
from siskinshift.configuration.records import decode_services
from siskinshift.control.codec import encode_message
from siskinshift.core.clocks import monotonic_clock
from siskinshift.kv.entry_slots import AcquireSlot
from siskinshift.kv.entry_slots import EntrySlots
from siskinshift.kv.entry_slots import FindFreeSlot
from siskinshift.kv.entry_slots import RenewLease
from siskinshift.kv.entry_slots import RevokeLease
from siskinshift.kv.entry_slots import domain_status
from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.generations import UNKNOWN_GENERATION
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put
from siskinshift.messages.configuration import EntrySlotHolder
from siskinshift.observability.logs import ComponentLog


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.configuration.read_schedule import ReadAction
    from siskinshift.core.clocks import Clock
    from siskinshift.core.views import View
    from siskinshift.kv.entry_slots import SlotAction
    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import KeyValueStore
    from siskinshift.kv.port import Watch
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Service
    from siskinshift.settings.generated import KvSettings


_log = ComponentLog("configuration")

ENTRY_PREFIX = "siskinshift/entry/"
TICK_SECONDS = 0.1


def entry_slot_prefix(failure_domain: str) -> str:
    """Returns the key prefix of a failure domain's entry slots.

    Args:
        failure_domain: The failure domain, any text.

    Returns:
        The prefix, which the slot's number follows.
    """
    return f"{ENTRY_PREFIX}{quote(failure_domain, safe='')}/"


class ConfigurationReader:
    """Executes the actions of EntrySlots and ReadSchedule against the store."""

    def __init__(
        self,
        *,
        settings: KvSettings,
        store: KeyValueStore,
        member: Member,
        on_services: Callable[[list[Service]], object],
        on_entry_slot: Callable[[int], None],
        spawn: Callable[..., object],
        clock: Clock = monotonic_clock,
        random: Random | None = None,
    ) -> None:
        """Initializes the reader.

        Args:
            settings: Intervals, number of slots and lease duration.
            store: The key-value service.
            member: This balancer.
            on_services: Called with records that were read, including tombstones.
            on_entry_slot: Called with the revision at which a slot was acquired; 0 once
                it is lost.
            spawn: Runs a task on a thread of the application.
            clock: Clock of the process.
            random: Source of jitter; None creates one.
        """
        random = random or Random()
        self._store = store
        self._member = member
        self._on_services = on_services
        self._on_entry_slot = on_entry_slot
        self._spawn = spawn
        self._clock = clock
        self._lease_ttl = settings.lease_ttl
        self._slot_prefix = entry_slot_prefix(member.failure_domain)
        self._lock = threading.Lock()
        self._slots = EntrySlots(settings, random=random)
        self._schedule = ReadSchedule(settings, random=random)
        self._notified_revision = 0
        self._generation = store.generation
        self._watch: Watch | None = None
        self._is_stopped = False

    def stop(self) -> None:
        """Closes the watch and releases the slot for another balancer."""
        with self._lock:
            self._is_stopped = True
            watch = self._watch
            lease_id = self._slots.held_lease_id
        if watch is not None:
            watch.close()
        if lease_id:
            self._revoke_lease(RevokeLease(lease_id))

    def holds_slot(self) -> bool:
        """Returns whether an entry slot is currently held."""
        with self._lock:
            return self._slots.held_revision(now=self._clock()) > 0

    def update(self, view: View) -> None:
        """Applies a new view.

        Args:
            view: The view.
        """
        status = domain_status(
            view,
            member_id=self._member.member_id,
            failure_domain=self._member.failure_domain,
        )
        with self._lock:
            self._slots.update(status, now=self._clock())

    def step(self) -> None:
        """Executes the actions that are due."""
        self._handle_restore()
        with self._lock:
            slot_action = self._slots.step(now=self._clock())
        if slot_action is not None:
            self._execute_slot_action(slot_action)
        self._notify_slot_change()
        with self._lock:
            now = self._clock()
            holds_slot = self._slots.held_revision(now=now) > 0
            read_action = self._schedule.step(holds_slot=holds_slot, now=now)
            watch = None if holds_slot else self._watch
        if watch is not None:
            watch.close()
        if read_action is not None:
            self._execute_read_action(read_action)

    def _handle_restore(self) -> None:
        """Forgets what an earlier generation of the store gave."""
        generation = self._store.generation
        previous, self._generation = self._generation, generation
        if generation == previous or previous == UNKNOWN_GENERATION:
            return
        _log.info("The store was restored.", generation=generation, previous=previous)
        with self._lock:
            self._schedule.on_restored()
            self._slots.on_restored(now=self._clock())
            watch = self._watch
        if watch is not None:
            watch.close()

    def _is_lease_current(self) -> bool:
        return self._store.confirm_generation(self._slot_prefix) == self._generation

    def _notify_slot_change(self) -> None:
        with self._lock:
            revision = self._slots.held_revision(now=self._clock())
            has_changed = revision != self._notified_revision
            self._notified_revision = revision
        if has_changed:
            message = "Took an entry slot." if revision else "Lost the entry slot."
            _log.info(message, revision=revision)
            self._on_entry_slot(revision)

    def _execute_slot_action(self, action: SlotAction) -> None:
        if isinstance(action, FindFreeSlot):
            self._find_free_slot()
        elif isinstance(action, AcquireSlot):
            self._acquire_slot(action)
        elif isinstance(action, RenewLease):
            self._renew_lease(action)
        else:
            self._revoke_lease(action)

    def _find_free_slot(self) -> None:
        try:
            snapshot = self._store.list_prefix(self._slot_prefix)
        except StoreUnavailableError:
            self._report_slot_failure()
            return
        suffixes = [
            entry.key.removeprefix(self._slot_prefix) for entry in snapshot.entries
        ]
        taken = frozenset(int(suffix) for suffix in suffixes if suffix.isdecimal())
        with self._lock:
            self._slots.on_slots_listed(taken, now=self._clock())

    def _acquire_slot(self, action: AcquireSlot) -> None:
        holder = EntrySlotHolder(
            member_id=self._member.member_id,
            control=self._member.control,
            incarnation=self._member.incarnation,
        )
        key = f"{self._slot_prefix}{action.index}"
        requested_at = self._clock()
        try:
            lease = self._store.grant_lease(self._lease_ttl)
            put = Put(key, encode_message(holder), lease.lease_id)
            result = self._store.transact((Compare(key, 0),), (put,))
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            # If the write took effect, the lease expires without keep-alives.
            self._report_slot_failure()
            return
        if not result.succeeded:
            self._report_slot_failure()
            self._revoke_lease(RevokeLease(lease.lease_id))
            return
        with self._lock:
            self._slots.on_acquired(lease, result.revision, requested_at=requested_at)

    def _renew_lease(self, action: RenewLease) -> None:
        requested_at = self._clock()
        try:
            if not self._is_lease_current():
                return
            ttl = self._store.keep_alive(action.lease_id)
        except StoreUnavailableError:
            with self._lock:
                self._slots.on_renewal_failed(now=self._clock())
            return
        with self._lock:
            self._slots.on_renewed(ttl, requested_at=requested_at, now=self._clock())

    def _revoke_lease(self, action: RevokeLease) -> None:
        try:
            if self._is_lease_current():
                self._store.revoke_lease(action.lease_id)
        except StoreUnavailableError:
            return  # The lease expires by itself.

    def _report_slot_failure(self) -> None:
        with self._lock:
            self._slots.on_failed(now=self._clock())

    def _execute_read_action(self, action: ReadAction) -> None:
        try:
            if isinstance(action, ReadAll):
                self._read_all()
            elif isinstance(action, CheckRoot):
                self._check_root()
            elif isinstance(action, OpenWatch):
                self._open_watch(action)
        except StoreUnavailableError:
            with self._lock:
                self._schedule.on_failed(now=self._clock())

    def _read_all(self) -> None:
        snapshot = self._store.list_prefix(CONFIGURATION_PREFIX)
        self._deliver(snapshot.entries)
        root_revision = _root_revision(snapshot.entries)
        with self._lock:
            self._schedule.on_all_read(
                root_revision=root_revision,
                revision=snapshot.revision,
                now=self._clock(),
            )

    def _check_root(self) -> None:
        root_revision = self._store.revision_of(ROOT_KEY)
        with self._lock:
            self._schedule.on_root_checked(root_revision=root_revision)

    def _open_watch(self, action: OpenWatch) -> None:
        try:
            watch = self._store.watch(
                CONFIGURATION_PREFIX, action.start_revision, self._generation
            )
        except StoreUnavailableError:
            with self._lock:
                self._schedule.on_watch_ended()
            raise
        with self._lock:
            self._watch = watch
            is_stopped = self._is_stopped
        if is_stopped:
            watch.close()
        self._spawn(self._run_watch, watch)

    def _run_watch(self, watch: Watch) -> None:
        compacted = False
        # The end of the watch is reported whatever ends this task. Otherwise the
        # schedule would never open another watch.
        failed = True
        try:
            for batch in watch:
                self._deliver(batch.entries)
                root_revision = _root_revision(batch.entries)
                with self._lock:
                    self._schedule.on_watch_batch(
                        root_revision=root_revision, revision=batch.revision
                    )
            failed = False
        except StoreCompactedError:
            compacted = True
        except StoreUnavailableError as error:
            _log.repeated("watch", "A watch broke.", error=str(error))
        finally:
            self._report_watch_end(watch, compacted=compacted, failed=failed)

    def _report_watch_end(self, watch: Watch, *, compacted: bool, failed: bool) -> None:
        with self._lock:
            if self._watch is not watch:
                return
            self._watch = None
            self._schedule.on_watch_ended(compacted=compacted)
            if failed:
                self._schedule.on_failed(now=self._clock())

    def _deliver(self, entries: tuple[Entry, ...]) -> None:
        services, unreadable = decode_services(entries)
        for key in unreadable:
            _log.repeated("record", "A record can't be read.", record=key)
        if services:
            self._on_services(services)


def _root_revision(entries: tuple[Entry, ...]) -> int:
    return max(
        (entry.revision for entry in entries if entry.key == ROOT_KEY), default=0
    )
