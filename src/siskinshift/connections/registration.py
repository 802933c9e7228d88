"""A node's entry in the store, by which nodes find each other at their start.

The entry lives under a lease. While the store is away nodes go on with what they
know; when it is back a lapsed entry is written again within the pause between two
tries. The store may also take an entry away while its lease lives and say so to
nobody: the node looks for its own now and then, and writes one that is missing again.

Members are read at the start, and again while one of them is silent, to learn whether
its entry has lapsed. In a calm fleet nobody reads them: what a node reads would grow
with the fleet, and new nodes make themselves known to all that they have read of.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol

from siskinshift.connections.member_documents import member_document
from siskinshift.connections.member_documents import member_from_document
from siskinshift.connections.store_contact import StoreContact
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
# A node that was killed comes back within seconds and replaces its entry; a longer life
# keeps lost nodes in the list, and whoever starts waits for their word about flows.
LEASE_SECONDS = 6.0
# As long again is left for more tries; a renewal costs a tenth of a call.
RENEW_SECONDS = 3.0
# How often the node looks for its own entry, or for the members that fell silent.
READ_SECONDS = 6.0
# Within the two seconds that an entry may be missing after the store's return.
RETRY = Backoff(0.2, 0.8)


def member_key(member_id: str, role: Role) -> str:
    """Names the key of a member's entry.

    Args:
        member_id: The member.
        role: Its role; agents need to know balancers alone.

    Returns:
        The key.
    """
    return f"{role_prefix(role)}{member_id}"


def role_prefix(role: Role) -> str:
    """Names the prefix of all entries of a role.

    Args:
        role: The role.

    Returns:
        The prefix.
    """
    return f"{MEMBERS_PREFIX}{role.value}/"


class MemberStore(Protocol):
    """The calls of a store that registration needs; see KeyValueStore."""

    def get(self, key: str) -> Entry | None:
        """Reads one entry."""

    def get_cheaply(self, key: str) -> Entry | None:
        """Reads one entry, seconds old."""

    def list_prefix(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix."""

    def list_prefix_cheaply(self, prefix: str) -> Snapshot:
        """Reads all entries with a prefix, seconds old."""

    def transact(
        self, compares: tuple[()], operations: tuple[Put, ...]
    ) -> TransactionResult:
        """Writes."""

    def grant_lease(self, ttl: float) -> Lease:
        """Makes a lease."""

    def keep_alive(self, lease_id: int) -> float:
        """Prolongs a lease."""

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease."""


class Registration:
    """Keeps the entry and reads the others'."""

    def __init__(
        self,
        *,
        store: MemberStore,
        own: Callable[[], Member],
        prefix: str,
        has_silent: Callable[[], bool],
        on_members: Callable[[list[Member]], object],
        random: Random,
        log: EventLog,
    ) -> None:
        """Starts without an entry.

        Args:
            store: The store.
            own: Gives the node's record.
            prefix: Prefix of the entries that the node has to know.
            has_silent: Says whether a member that may have an entry is silent.
            on_members: Takes each reading of all those entries.
            random: Source of the jitter.
            log: Takes a line when the store is lost or regained.
        """
        self._store = store
        self._own = own
        self._prefix = prefix
        self._has_silent = has_silent
        self._on_members = on_members
        self._random = random
        self._log = log
        self._contact = StoreContact("store", retry=RETRY, random=random, log=log)
        self._lease_id = 0
        self._unsure_lease_id = 0
        self._renew_at = 0.0
        self._read_at = 0.0
        self._has_fresh_reading = False

    def step(self, *, now: float) -> float:
        """Does what is due; blocks for as long as the store's calls take.

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
            if now >= self._read_at or not self._has_fresh_reading:
                self._read(now=now)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            self._has_fresh_reading = False
            return self._contact.failed(error)
        self._contact.succeeded()
        if not self._lease_id:
            return 0.0
        return max(0.0, min(self._renew_at, self._read_at) - now)

    def end(self) -> None:
        """Takes the entry away; one that can't be taken away lapses."""
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
            self._unsure_lease_id = lease_id
            raise
        self._lease_id = lease_id
        self._renew_at = now + RENEW_SECONDS
        # Whoever started while there was no entry knows nothing of this node.
        self._has_fresh_reading = False
        self._log.fact("registered", lease=lease_id)

    def _lease_for_entry(self) -> int:
        """Gives the lease of a write whose answer was lost, if it lives, or a new one.

        Guards against a write that the store does seconds after its answer was lost:
        it would bind the entry to a lease that nobody prolongs. The entry would end
        with that, and a balancer that starts then would not know this node.
        """
        lease_id, self._unsure_lease_id = self._unsure_lease_id, 0
        if lease_id and self._store.keep_alive(lease_id) > 0:
            return lease_id
        return self._store.grant_lease(LEASE_SECONDS).lease_id

    def _renew(self, *, now: float) -> None:
        if self._store.keep_alive(self._lease_id) <= 0:
            self._log.fact("entry lapsed", lease=self._lease_id)
            self._lease_id = 0
            self._register(now=now)
        self._renew_at = now + RENEW_SECONDS

    def _read(self, *, now: float) -> None:
        # The first reading after a start or an outage must show who registered before
        # this node did: those it finds hear of it, the others find it themselves.
        if not self._has_fresh_reading:
            self._take(self._store.list_prefix(self._prefix))
            self._has_fresh_reading = True
        else:
            if self._has_silent():
                self._take(self._store.list_prefix_cheaply(self._prefix))
            self._look_for_own()
        self._read_at = now + READ_SECONDS * self._random.uniform(0.8, 1.2)

    def _take(self, snapshot: Snapshot) -> None:
        self._on_members(self._members_of(snapshot))

    def _look_for_own(self) -> None:
        own = self._own()
        key = member_key(own.member_id, own.role)
        # A cheap reading may be older than the entry.
        if self._store.get_cheaply(key) is None and self._store.get(key) is None:
            self._log.fact("entry missing", lease=self._lease_id)
            self._lease_id = 0

    def _members_of(self, snapshot: Snapshot) -> list[Member]:
        members = []
        for entry in snapshot.entries:
            try:
                member = member_from_document(parse_object(entry.value))
                if entry.key != member_key(member.member_id, member.role):
                    raise BadMessageError(f"member_id: {member.member_id!r}")
            except BadMessageError as error:
                # Another writer's, or another version's of the product, which finds
                # this node by its own ways. The other entries hold.
                self._log.decision(
                    "entry skipped",
                    reason="unreadable",
                    key=entry.key,
                    error=str(error),
                )
                continue
            members.append(member)
        return members
