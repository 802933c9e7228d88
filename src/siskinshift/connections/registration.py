"""Registers a node in the store, where starting nodes read the other members.

The entry is bound to a lease. During an outage of the store, nodes continue with the
members that they know; afterwards an expired entry is written again within the pause
between two attempts. The store may also silently drop an entry whose lease is valid, so
the node checks its own entry periodically and writes it again if it is missing. Each
write names the revision that it replaces: the store may apply a write of this process
or of its predecessor seconds after the response was lost, which would bind the entry to
a lease that nobody renews.

Members are read at the start, and again while one of them is unresponsive, to detect
that its entry has expired. Otherwise they are not read, since the volume would grow
with the fleet, and new nodes announce themselves to all members in the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from siskinshift.connections.member_documents import member_document
from siskinshift.connections.member_documents import member_from_document
from siskinshift.connections.put_back import MIN_SPREAD_SECONDS
from siskinshift.connections.put_back import PutBack
from siskinshift.connections.store_availability import StoreAvailability
from siskinshift.control.documents import encode_json
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import Backoff
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from siskinshift.kv.port import Entry
    from siskinshift.kv.port import Lease
    from siskinshift.kv.port import Snapshot
    from siskinshift.kv.port import TransactionResult
    from siskinshift.messages.core import Member
    from siskinshift.messages.core import Role
    from siskinshift.observability.event_log import EventLog


MEMBERS_PREFIX = "siskinshift/members/"
# A killed node restarts within seconds and replaces its entry. A longer lease would
# keep lost nodes registered, and starting nodes would wait for their replies about
# flows.
LEASE_SECONDS = 6.0
# Leaves half of the lease for retries; a renewal costs a tenth of another request.
RENEW_INTERVAL_SECONDS = 3.0
# Interval at which the node checks its own entry and, while a member is unresponsive,
# reads the members again.
READ_INTERVAL_SECONDS = 6.0
# An entry must be written again within two seconds of the store's recovery.
RETRY_BACKOFF = Backoff(0.2, 0.8)
# The first conflict shows the current revision; further ones are lost writes.
MAX_WRITE_ATTEMPTS = 3


def member_key(member_id: str, role: Role) -> str:
    """Returns the key of a member's entry.

    Args:
        member_id: Id of the member.
        role: Role of the member; a part of the key, since agents read only balancers.

    Returns:
        The key.
    """
    return f"{role_prefix(role)}{member_id}"


def role_prefix(role: Role) -> str:
    """Returns the prefix of all entries of a role.

    Args:
        role: The role.

    Returns:
        The prefix.
    """
    return f"{MEMBERS_PREFIX}{role.value}/"


class MemberStore(Protocol):
    """The operations of a store that registration needs; see KeyValueStore."""

    @property
    def generation(self) -> int:
        """Newest known generation of the store."""

    def confirm_generation(self, key: str) -> int:
        """Returns the generation as of now."""

    def get(self, key: str) -> Entry | None:
        """Reads one entry."""

    def get_stale(self, key: str) -> Entry | None:
        """Reads one entry, which may be seconds out of date."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix."""

    def list_prefix_stale(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix, which may be seconds out of date."""

    def revision_of(self, key: str) -> int:
        """Returns the revision of an entry; 0 if absent."""

    def transact(
        self, compares: tuple[Compare, ...], operations: tuple[Put, ...]
    ) -> TransactionResult:
        """Writes entries in one transaction."""

    def grant_lease(self, ttl: float) -> Lease:
        """Grants a lease."""

    def keep_alive(self, lease_id: int) -> float:
        """Renews a lease."""

    def revoke_lease(self, lease_id: int) -> None:
        """Revokes a lease."""


class Registration:
    """Maintains the node's entry and reads the entries of the other members."""

    def __init__(
        self,
        *,
        store: MemberStore,
        own: Callable[[], Member],
        prefix: str,
        has_unresponsive: Callable[[], bool],
        on_members: Callable[[list[Member]], object],
        random: Random,
        log: EventLog,
        spread: Callable[[], float] = lambda: MIN_SPREAD_SECONDS,
    ) -> None:
        """Initializes the registration without an entry.

        Args:
            store: The store.
            own: Returns the node's record.
            prefix: Prefix of the entries that the node has to read.
            has_unresponsive: Returns whether a member that may have an entry is
                unresponsive.
            on_members: Called with the members of each complete read.
            random: Source of the jitter.
            log: Event log.
            spread: Returns the time over which all nodes put their entries back after a
                restore of the store, seconds.
        """
        self._store = store
        self._own = own
        self._prefix = prefix
        self._has_unresponsive = has_unresponsive
        self._on_members = on_members
        self._random = random
        self._log = log
        self._spread = spread
        self._availability = StoreAvailability(
            "store", retry=RETRY_BACKOFF, random=random, log=log
        )
        self._lease: Lease | None = None
        # Revision of the entry; None if a write whose response was lost may change it.
        self._revision: int | None = 0
        self._generation = store.generation
        self._put_back = PutBack(
            "entry", order=0, spread=spread, random=random, log=log
        )
        self._renew_at = 0.0
        self._read_at = 0.0
        self._has_current_read = False
        self._has_registered = False

    def step(self, *, now: float) -> float:
        """Runs the operations that are due; blocks while the store handles them.

        Args:
            now: Clock reading, seconds.

        Returns:
            Seconds until the next step.
        """
        try:
            self._handle_restore(now=now)
            pause = self._put_back.remaining(now=now)
            if pause:
                return pause
            if self._lease is None:
                self._register(now=now)
            elif now >= self._renew_at:
                self._renew(now=now)
            if now >= self._read_at or not self._has_current_read:
                self._read(now=now)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            # Until the put-back, members may have no entry yet.
            if not self._put_back.is_pending:
                self._has_current_read = False
            return self._availability.record_failure(error)
        self._availability.record_success()
        if self._lease is None:
            return self._put_back.remaining(now=now)
        return max(0.0, min(self._renew_at, self._read_at) - now)

    def update_entry(self) -> None:
        """Writes the node's present record, for nodes that start while it is away."""
        lease, own = self._lease, self._own()
        if lease is None:
            return
        key = member_key(own.member_id, own.role)
        put = Put(key, encode_json(member_document(own)), lease.lease_id)
        try:
            if self._store.confirm_generation(key) != lease.generation:
                self._log.fact("entry not updated", error="the store was restored")
                return
            revision = self._store.revision_of(key)
            self._store.transact((Compare(key, revision),), (put,))
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._log.fact("entry not updated", error=str(error))

    def deregister(self) -> None:
        """Removes the entry; if the store is unavailable, the entry expires."""
        lease = self._lease
        if lease is None:
            return
        try:
            if self._store.confirm_generation(self._own_key) != lease.generation:
                # The id of the lease may belong to another node now.
                self._log.fact("entry not taken away", error="the store was restored")
                return
            self._store.revoke_lease(lease.lease_id)
        except StoreUnavailableError as error:
            self._log.fact("entry not taken away", error=str(error))

    @property
    def _own_key(self) -> str:
        own = self._own()
        return member_key(own.member_id, own.role)

    def _handle_restore(self, *, now: float) -> None:
        """Forgets what an earlier generation of the store gave."""
        generation = self._store.generation
        if generation == self._generation:
            return
        self._generation = generation
        is_new = not self._has_registered and self._revision is not None
        self._revision = None
        if is_new:
            return
        self._lease = None
        due_at = self._put_back.on_restored(now=now)
        # Until all members had the time to put their entries back, a read would show
        # members without an entry that are only cut off for a moment.
        self._read_at = due_at + self._spread() + RENEW_INTERVAL_SECONDS
        self._has_current_read = True

    def _register(self, *, now: float) -> None:
        lease = self._store.grant_lease(LEASE_SECONDS)
        own = self._own()
        value = encode_json(member_document(own))
        key = member_key(own.member_id, own.role)
        self._replace_entry(Put(key, value, lease.lease_id))
        self._lease = lease
        self._has_registered = True
        self._generation = lease.generation
        self._renew_at = now + RENEW_INTERVAL_SECONDS
        # A node that started while there was no entry has not discovered this one; the
        # read finds it. After a restore it has to wait for the other entries.
        if not self._put_back.is_pending:
            self._has_current_read = False
        self._log.fact("registered", lease=lease.lease_id)
        self._put_back.on_written(now=now)

    def _replace_entry(self, put: Put) -> None:
        """Replaces the entry; raises an error if other writes keep coming first."""
        for _ in range(MAX_WRITE_ATTEMPTS):
            revision, self._revision = self._revision, None
            if revision is None:
                revision = self._store.revision_of(put.key)
            result = self._store.transact((Compare(put.key, revision),), (put,))
            if result.succeeded:
                self._revision = result.revision
                return
            # An entry of the previous process, or an expired one.
            self._log.decision("entry superseded", revision=revision)
            self._revision = result.revisions_by_key.get(put.key)
        raise StoreUnavailableError("other writes came first")

    def _is_renewed(self, lease: Lease) -> bool:
        """Renews a lease; returns whether it has not expired.

        In a later generation its id may belong to another node, which must neither be
        renewed nor replaced.
        """
        if self._store.confirm_generation(self._own_key) != lease.generation:
            return False
        return self._store.keep_alive(lease.lease_id) > 0

    def _renew(self, *, now: float) -> None:
        assert self._lease is not None
        if self._is_renewed(self._lease):
            self._renew_at = now + RENEW_INTERVAL_SECONDS
            return
        self._handle_restore(now=now)
        if self._put_back.is_pending:
            return
        self._log.fact("entry lapsed", lease=self._lease.lease_id)
        self._lease = None
        self._register(now=now)

    def _read(self, *, now: float) -> None:
        # The first read after a start or an outage must include all members that
        # registered before this node: it announces itself to them, and later ones read
        # its entry.
        if not self._has_current_read:
            current = self._store.list_prefix(self._prefix)
            if not self._handle_snapshot(current, now=now):
                return
            self._has_current_read = True
        else:
            if self._has_unresponsive():
                stale = self._store.list_prefix_stale(self._prefix)
                if not self._handle_snapshot(stale, now=now):
                    return
            self._check_own_entry(now=now)
        if self._put_back.is_pending:
            return
        self._read_at = now + READ_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2)

    def _handle_snapshot(self, snapshot: Snapshot, *, now: float) -> bool:
        """Reports members; returns False for a read that tells of a restore."""
        if snapshot.generation != self._generation:
            self._handle_restore(now=now)
            return False
        self._on_members(self._members_of(snapshot))
        return True

    def _check_own_entry(self, *, now: float) -> None:
        key = self._own_key
        # A stale read is cheap but may be older than the entry.
        is_missing = self._store.get_stale(key) is None and self._store.get(key) is None
        if self._store.generation != self._generation:
            self._handle_restore(now=now)
            return
        if is_missing:
            lease_id = self._lease.lease_id if self._lease else 0
            self._log.fact("entry missing", lease=lease_id)
            self._lease = None

    def _members_of(self, snapshot: Snapshot) -> list[Member]:
        members = []
        for entry in snapshot.entries:
            try:
                member = member_from_document(parse_object(entry.value))
                if entry.key != member_key(member.member_id, member.role):
                    raise BadMessageError(
                        f"member_id: {member.member_id!r}; the entry has another key"
                    )
            except BadMessageError as error:
                # Written by a foreign writer or by another version, whose node sends
                # its own messages to this one. The other entries are valid.
                self._log.decision(
                    "entry skipped",
                    reason="unreadable",
                    key=entry.key,
                    error=str(error),
                )
                continue
            members.append(member)
        return members
