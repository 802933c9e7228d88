"""Records in the store that an upstream leaves, before this is acknowledged.

An incarnation that leaves never returns, so its record is an entry of its own that is
created and never replaced. No write that the store applies late, twice or in another
order can undo it, unlike a field of an entry that also changes for other reasons.
"""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

import xxhash

from siskinshift.connections.incarnation import Incarnation
from siskinshift.control.documents import encode_json
from siskinshift.control.documents import get_integer
from siskinshift.control.documents import get_string
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.exceptions import LeaseNotFoundError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put


if TYPE_CHECKING:
    from siskinshift.core.clocks import Clock
    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import KeyValueStore
    from siskinshift.kv.port import Lease
    from siskinshift.kv.port import TransactionResult
    from siskinshift.observability.event_log import EventLog
    from siskinshift.observability.event_log import EventValue


LEAVES_PREFIX = "siskinshift/leaves/"
# The longest lease of the platform's store; a leaving upstream ends much sooner.
LEASE_SECONDS = 600.0
# Interval at which the record of a leaving upstream is checked: the store may drop
# entries and expire all leases.
CHECK_INTERVAL_SECONDS = 3.0


class LeaveRecords:
    """Creates and reads the records of one agent; thread-safe."""

    def __init__(
        self, *, store: KeyValueStore, member_id: str, clock: Clock, log: EventLog
    ) -> None:
        """Initializes the records without a request to the store.

        Args:
            store: The store.
            member_id: Id of the agent.
            clock: Clock of the process.
            log: Event log.
        """
        self._store = store
        self._prefix = f"{LEAVES_PREFIX}{member_id}/"
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._lease: Lease | None = None
        self._granted_at = 0.0
        # When each record was last known to exist, clock reading.
        self._checked_at_by_incarnation: dict[Incarnation, float] = {}
        # Incarnations whose record may have been created without a response.
        self._uncertain: set[Incarnation] = set()
        self._generation = store.generation

    def load(self) -> frozenset[Incarnation] | None:
        """Reads the incarnations whose leave is recorded, also by earlier processes.

        Returns:
            The incarnations; None if the store is unavailable.
        """
        try:
            entries = self._store.list_prefix(self._prefix).entries
        except StoreUnavailableError as error:
            self._log.decision("leaves not read", error=str(error))
            return None
        decoded = (self._decode(entry) for entry in entries)
        incarnations = frozenset(x for x in decoded if x is not None)
        with self._lock:
            now = self._clock()
            self._checked_at_by_incarnation = dict.fromkeys(incarnations, now)
            self._generation = self._store.generation
        return incarnations

    def record(self, incarnation: Incarnation, *, timeout: float) -> bool:
        """Records that an incarnation leaves; blocks while the store handles it.

        Args:
            incarnation: The incarnation.
            timeout: Longest wait for a concurrent call, seconds. The requests to the
                store have their own timeouts.

        Returns:
            Whether the record stands.
        """
        if not self._lock.acquire(timeout=max(0.0, timeout)):
            self._log.decision(
                "leave not recorded",
                upstream=incarnation.upstream_id,
                error="another request is in progress",
            )
            return False
        try:
            if not self._is_recorded(incarnation):
                self._create(incarnation)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._log.decision(
                "leave not recorded",
                upstream=incarnation.upstream_id,
                error=str(error),
            )
            return False
        finally:
            self._lock.release()
        return True

    def _is_recorded(self, incarnation: Incarnation) -> bool:
        if self._generation != self._store.generation:
            # A restore of the store may have lost the records.
            self._checked_at_by_incarnation.clear()
            self._generation = self._store.generation
        now = self._clock()
        checked_at = self._checked_at_by_incarnation.get(incarnation)
        if checked_at is None:
            if incarnation not in self._uncertain:
                return False
            if self._store.get(self._key(incarnation)) is None:
                return False
            self._on_recorded(incarnation, now=now)
            return True
        if now < checked_at + CHECK_INTERVAL_SECONDS:
            return True
        try:
            exists = self._store.get(self._key(incarnation)) is not None
        except StoreUnavailableError as error:
            # It existed at the last check; the next call checks again.
            self._log.fact("leave not checked", error=str(error))
            return True
        if exists:
            self._checked_at_by_incarnation[incarnation] = now
        else:
            self._log.fact("leave missing", upstream=incarnation.upstream_id)
        return exists

    def _create(self, incarnation: Incarnation) -> None:
        started_at = self._clock()
        try:
            result = self._put_new(incarnation)
        except LeaseNotFoundError:
            # It expired in an outage since the previous attempt.
            self._lease = None
            result = self._put_new(incarnation)
        except StoreOutcomeUnknownError:
            self._uncertain.add(incarnation)
            raise
        # If the condition failed, an earlier write of the same record has been applied.
        now = self._clock()
        self._on_recorded(
            incarnation,
            now=now,
            is_new=result.succeeded,
            seconds=round(now - started_at, 3),
        )

    def _on_recorded(
        self, incarnation: Incarnation, *, now: float, **details: EventValue
    ) -> None:
        self._uncertain.discard(incarnation)
        self._checked_at_by_incarnation[incarnation] = now
        self._log.fact(
            "leave recorded",
            upstream=incarnation.upstream_id,
            started_ms=incarnation.started_ms,
            **details,
        )

    def _put_new(self, incarnation: Incarnation) -> TransactionResult:
        lease = self._current_lease(now=self._clock())
        key = self._key(incarnation)
        put = Put(key, _encode(incarnation), lease.lease_id)
        return self._store.transact((Compare(key, 0),), (put,))

    def _current_lease(self, *, now: float) -> Lease:
        """Returns the lease of the previous attempt or a new one.

        A late write of that attempt then binds the record to the same lease.
        """
        lease = self._lease
        if (
            lease is not None
            and lease.generation == self._store.generation
            and now < self._granted_at + LEASE_SECONDS / 2
        ):
            return lease
        self._lease = lease = self._store.grant_lease(LEASE_SECONDS)
        self._granted_at = now
        return lease

    def _key(self, incarnation: Incarnation) -> str:
        # A digest, since ids may be longer than a key.
        return self._prefix + xxhash.xxh3_128_hexdigest(_encode(incarnation))

    def _decode(self, entry: Entry) -> Incarnation | None:
        try:
            document = parse_object(entry.value)
            return Incarnation(
                get_string(document, "upstream_id"),
                get_integer(document, "started_ms") or None,
            )
        except BadMessageError as error:
            # Written by another product or version; the other records are valid.
            self._log.decision("leave unreadable", key=entry.key, error=str(error))
            return None


def _encode(incarnation: Incarnation) -> bytes:
    return encode_json(
        {
            "upstream_id": incarnation.upstream_id,
            "started_ms": incarnation.started_ms or 0,
        }
    )
