"""Reads the configuration for a balancer while it holds an entry slot."""

from __future__ import annotations

import threading
from random import Random
from typing import TYPE_CHECKING
from urllib.parse import quote

from siskinshift.configuration.reading import CheckRoot
from siskinshift.configuration.reading import ConfigurationReading
from siskinshift.configuration.reading import OpenWatch
from siskinshift.configuration.reading import ReadAll
from siskinshift.configuration.records import PREFIX
from siskinshift.configuration.records import ROOT_KEY
from siskinshift.configuration.records import decode_services
from siskinshift.control.codec import encode_message
from siskinshift.core.clocks import monotonic_clock
from siskinshift.kv.entry_slots import EntrySlots
from siskinshift.kv.entry_slots import FindSlot
from siskinshift.kv.entry_slots import GiveUpSlot
from siskinshift.kv.entry_slots import KeepSlot
from siskinshift.kv.entry_slots import TakeSlot
from siskinshift.kv.entry_slots import standing_in
from siskinshift.kv.exceptions import StoreCompactedError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put
from siskinshift.messages.configuration import EntrySlotHolder
from siskinshift.observability.logs import ComponentLog


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.configuration.reading import ReadingAction
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
    """Names the prefix of a failure domain's entry slots.

    Args:
        failure_domain: The failure domain, any text.

    Returns:
        The prefix; the slot's number follows.
    """
    return f"{ENTRY_PREFIX}{quote(failure_domain, safe='')}/"


class ConfigurationReader:
    """Carries out what EntrySlots and ConfigurationReading decide."""

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
        """Prepares a reader.

        Args:
            settings: Intervals, slots, leases.
            store: The key-value service.
            member: The balancer that reads.
            on_services: Takes records that were read, tombstones included.
            on_entry_slot: Takes the revision at which a slot was taken; 0 once it is
                lost.
            spawn: Runs a task on a thread of the application.
            clock: Clock of the process.
            random: Source of jitter; None for one of its own.
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
        self._reading = ConfigurationReading(settings, random=random)
        self._told_revision = 0
        self._watch: Watch | None = None
        self._is_stopped = False

    def stop(self) -> None:
        """Ends the watch and gives the slot up, so that another balancer takes it."""
        with self._lock:
            self._is_stopped = True
            watch = self._watch
            lease_id = self._slots.held_lease_id
        if watch is not None:
            watch.close()
        if lease_id:
            self._give_up(GiveUpSlot(lease_id))

    def holds_slot(self) -> bool:
        """Tells whether an entry slot is held right now."""
        with self._lock:
            return self._slots.held_revision(now=self._clock()) > 0

    def update(self, view: View) -> None:
        """Takes a new view.

        Args:
            view: The view.
        """
        standing = standing_in(
            view,
            member_id=self._member.member_id,
            failure_domain=self._member.failure_domain,
        )
        with self._lock:
            self._slots.update(standing, now=self._clock())

    def step(self) -> None:
        """Carries out what is due."""
        with self._lock:
            slot_action = self._slots.step(now=self._clock())
        if slot_action is not None:
            self._carry_out_slot_action(slot_action)
        self._tell_slot()
        with self._lock:
            now = self._clock()
            holds_slot = self._slots.held_revision(now=now) > 0
            reading_action = self._reading.step(holds_slot=holds_slot, now=now)
            watch = None if holds_slot else self._watch
        if watch is not None:
            watch.close()
        if reading_action is not None:
            self._carry_out_reading_action(reading_action)

    def _tell_slot(self) -> None:
        with self._lock:
            revision = self._slots.held_revision(now=self._clock())
            changed = revision != self._told_revision
            self._told_revision = revision
        if changed:
            sentence = "Took an entry slot." if revision else "Lost the entry slot."
            _log.info(sentence, revision=revision)
            self._on_entry_slot(revision)

    def _carry_out_slot_action(self, action: SlotAction) -> None:
        if isinstance(action, FindSlot):
            self._find()
        elif isinstance(action, TakeSlot):
            self._take(action)
        elif isinstance(action, KeepSlot):
            self._keep(action)
        else:
            self._give_up(action)

    def _find(self) -> None:
        try:
            snapshot = self._store.list_prefix(self._slot_prefix)
        except StoreUnavailableError:
            self._slot_failed()
            return
        names = [
            entry.key.removeprefix(self._slot_prefix) for entry in snapshot.entries
        ]
        taken = frozenset(int(name) for name in names if name.isdecimal())
        with self._lock:
            self._slots.on_found(taken, now=self._clock())

    def _take(self, action: TakeSlot) -> None:
        holder = EntrySlotHolder(
            member_id=self._member.member_id,
            control=self._member.control,
            incarnation=self._member.incarnation,
        )
        key = f"{self._slot_prefix}{action.index}"
        asked_at = self._clock()
        try:
            lease = self._store.grant_lease(self._lease_ttl)
            put = Put(key, encode_message(holder), lease.lease_id)
            result = self._store.transact((Compare(key, 0),), (put,))
        except (StoreUnavailableError, StoreOutcomeUnknownError):
            # If it was taken all the same, its lease ends without keep-alives.
            self._slot_failed()
            return
        if not result.succeeded:
            self._slot_failed()
            self._give_up(GiveUpSlot(lease.lease_id))
            return
        with self._lock:
            self._slots.on_taken(lease, result.revision, asked_at=asked_at)

    def _keep(self, action: KeepSlot) -> None:
        asked_at = self._clock()
        try:
            ttl = self._store.keep_alive(action.lease_id)
        except StoreUnavailableError:
            with self._lock:
                self._slots.on_keep_failed(now=self._clock())
            return
        with self._lock:
            self._slots.on_kept(ttl, asked_at=asked_at, now=self._clock())

    def _give_up(self, action: GiveUpSlot) -> None:
        try:
            self._store.revoke_lease(action.lease_id)
        except StoreUnavailableError:
            return  # It ends by itself.

    def _slot_failed(self) -> None:
        with self._lock:
            self._slots.on_failed(now=self._clock())

    def _carry_out_reading_action(self, action: ReadingAction) -> None:
        try:
            if isinstance(action, ReadAll):
                self._read_all()
            elif isinstance(action, CheckRoot):
                self._check_root()
            elif isinstance(action, OpenWatch):
                self._open_watch(action)
        except StoreUnavailableError:
            with self._lock:
                self._reading.on_failed(now=self._clock())

    def _read_all(self) -> None:
        snapshot = self._store.list_prefix(PREFIX)
        self._pass_on(snapshot.entries)
        root_revision = _root_revision_in(snapshot.entries)
        with self._lock:
            self._reading.on_read(
                root_revision=root_revision,
                revision=snapshot.revision,
                now=self._clock(),
            )

    def _check_root(self) -> None:
        root_revision = self._store.revision_of(ROOT_KEY)
        with self._lock:
            self._reading.on_checked(root_revision=root_revision)

    def _open_watch(self, action: OpenWatch) -> None:
        try:
            watch = self._store.watch(PREFIX, action.start_revision)
        except StoreUnavailableError:
            with self._lock:
                self._reading.on_watch_ended()
            raise
        with self._lock:
            self._watch = watch
            is_stopped = self._is_stopped
        if is_stopped:
            watch.close()
        self._spawn(self._follow, watch)

    def _follow(self, watch: Watch) -> None:
        compacted = False
        # Whatever ends the task, the decision hears that the watch is over; else none
        # would be opened again.
        failed = True
        try:
            for batch in watch:
                self._pass_on(batch.entries)
                root_revision = _root_revision_in(batch.entries)
                with self._lock:
                    self._reading.on_watched(
                        root_revision=root_revision, revision=batch.revision
                    )
            failed = False
        except StoreCompactedError:
            compacted = True
        except StoreUnavailableError as error:
            _log.repeated("watch", "A watch broke.", error=str(error))
        finally:
            self._end_watch(watch, compacted=compacted, failed=failed)

    def _end_watch(self, watch: Watch, *, compacted: bool, failed: bool) -> None:
        with self._lock:
            if self._watch is not watch:
                return
            self._watch = None
            self._reading.on_watch_ended(compacted=compacted)
            if failed:
                self._reading.on_failed(now=self._clock())

    def _pass_on(self, entries: tuple[Entry, ...]) -> None:
        services, unreadable = decode_services(entries)
        for key in unreadable:
            _log.repeated("record", "A record can't be read.", record=key)
        if services:
            self._on_services(services)


def _root_revision_in(entries: tuple[Entry, ...]) -> int:
    return max((e.revision for e in entries if e.key == ROOT_KEY), default=0)
