"""Registers a node in the store, where starting nodes read the other members.

The entry is bound to a lease. During an outage of the store, nodes continue with the
members that they know; afterwards an expired entry is written again within the pause
between two attempts. The store may also silently drop an entry whose lease is valid, so
the node checks its own entry periodically and writes it again if it is missing.

Members are read at the start, and again while one of them is unresponsive, to detect
that its entry has expired. Otherwise they are not read, since the volume would grow
with the fleet, and new nodes announce themselves to all members in the store.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from siskinshift.connections.member_documents import member_document
from siskinshift.connections.member_documents import member_from_document
from siskinshift.connections.store_availability import StoreAvailability
from siskinshift.control.documents import encode_json
from siskinshift.control.documents import parse_object
from siskinshift.control.exceptions import BadMessageError
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.guard import Backoff
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

    def get(self, key: str) -> Entry | None:
        """Reads one entry."""

    def get_stale(self, key: str) -> Entry | None:
        """Reads one entry, which may be seconds out of date."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix."""

    def list_prefix_stale(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix, which may be seconds out of date."""

    def transact(
        self, compares: tuple[()], operations: tuple[Put, ...]
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
        """
        self._store = store
        self._own = own
        self._prefix = prefix
        self._has_unresponsive = has_unresponsive
        self._on_members = on_members
        self._random = random
        self._log = log
        self._availability = StoreAvailability(
            "store", retry=RETRY_BACKOFF, random=random, log=log
        )
        self._lease_id = 0
        self._uncertain_lease_id = 0
        self._renew_at = 0.0
        self._read_at = 0.0
        self._has_current_read = False

    def step(self, *, now: float) -> float:
        """Runs the operations that are due; blocks while the store handles them.

        Args:
            now: Clock reading, seconds.

        Returns:
            Seconds until the next step.
        """
        try:
            if not self._lease_id:
                self._register(now=now)
            elif now >= self._renew_at:
                self._renew(now=now)
            if now >= self._read_at or not self._has_current_read:
                self._read(now=now)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._has_current_read = False
            return self._availability.record_failure(error)
        self._availability.record_success()
        if not self._lease_id:
            return 0.0
        return max(0.0, min(self._renew_at, self._read_at) - now)

    def deregister(self) -> None:
        """Removes the entry; if the store is unavailable, the entry expires."""
        if not self._lease_id:
            return
        try:
            self._store.revoke_lease(self._lease_id)
        except StoreUnavailableError as error:
            self._log.fact("entry not taken away", error=str(error))

    def _register(self, *, now: float) -> None:
        lease_id = self._lease_for_entry()
        own = self._own()
        value = encode_json(member_document(own))
        key = member_key(own.member_id, own.role)
        try:
            self._store.transact((), (Put(key, value, lease_id),))
        except StoreOutcomeUnknownError:
            self._uncertain_lease_id = lease_id
            raise
        self._lease_id = lease_id
        self._renew_at = now + RENEW_INTERVAL_SECONDS
        # A node that started while there was no entry has not discovered this one; the
        # read finds it.
        self._has_current_read = False
        self._log.fact("registered", lease=lease_id)

    def _lease_for_entry(self) -> int:
        """Returns the lease of a write whose response was lost, or a new lease.

        The store may apply a write seconds after its response was lost. With a new
        lease, that late write would bind the entry to the old lease, which is no longer
        renewed. The entry would expire with it, and a starting balancer would not
        discover this node.
        """
        lease_id, self._uncertain_lease_id = self._uncertain_lease_id, 0
        if lease_id and self._store.keep_alive(lease_id) > 0:
            return lease_id
        return self._store.grant_lease(LEASE_SECONDS).lease_id

    def _renew(self, *, now: float) -> None:
        if self._store.keep_alive(self._lease_id) <= 0:
            self._log.fact("entry lapsed", lease=self._lease_id)
            self._lease_id = 0
            self._register(now=now)
        self._renew_at = now + RENEW_INTERVAL_SECONDS

    def _read(self, *, now: float) -> None:
        # The first read after a start or an outage must include all members that
        # registered before this node: it announces itself to them, and later ones read
        # its entry.
        if not self._has_current_read:
            self._handle_snapshot(self._store.list_prefix(self._prefix))
            self._has_current_read = True
        else:
            if self._has_unresponsive():
                self._handle_snapshot(self._store.list_prefix_stale(self._prefix))
            self._check_own_entry()
        self._read_at = now + READ_INTERVAL_SECONDS * self._random.uniform(0.8, 1.2)

    def _handle_snapshot(self, snapshot: Snapshot) -> None:
        self._on_members(self._members_of(snapshot))

    def _check_own_entry(self) -> None:
        own = self._own()
        key = member_key(own.member_id, own.role)
        # A stale read is cheap but may be older than the entry.
        if self._store.get_stale(key) is None and self._store.get(key) is None:
            self._log.fact("entry missing", lease=self._lease_id)
            self._lease_id = 0

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
