"""Elects the balancers that hold the entry slots of their failure domain.

Each failure domain has a few entry slots: keys in the key-value service that are held
by a lease. Only holders read the configuration there, so the request rate does not
grow with the fleet. Membership announces the holders (`Member.entry_slot`). A balancer
queries the store only when membership lists fewer holders than slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

import xxhash
from attrs import frozen

from siskinshift.kv.guard import Backoff
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role


if TYPE_CHECKING:
    from random import Random

    from siskinshift.core.views import View
    from siskinshift.kv.port import Lease
    from siskinshift.settings.generated import KvSettings


# Spreads the requests of a failure domain whose balancers return together, one read
# each: about 200 requests/s at 200 balancers, a tenth of the store's capacity.
MAX_INITIAL_JITTER_SECONDS = 1.0
# Time for membership to announce a new holder before the next candidate tries.
RANK_DELAY_SECONDS = 0.5
MAX_RANK_DELAY_SECONDS = 30.0
# After a failure, or if all slots are taken in the store although membership does not
# list all holders yet.
RETRY_BACKOFF = Backoff(minimum=1.0, maximum=30.0)
# A lease is renewed three times within its TTL, so that one lost request is harmless.
KEEP_ALIVES_PER_TTL = 3
# Fraction of the TTL that allows for clock drift between the store and this instance.
LEASE_SAFETY_FRACTION = 0.2

LIVE_STATES = frozenset({MemberState.JOINING, MemberState.READY, MemberState.SUSPECT})


@frozen
class FindFreeSlot:
    """List the slots of the failure domain to find a free one."""


@frozen
class AcquireSlot:
    """Request a lease and claim a slot with it if the slot's key is absent.

    Attributes:
        index: Number of the slot.
    """

    index: int


@frozen
class RenewLease:
    """Renew the lease.

    Attributes:
        lease_id: The lease.
    """

    lease_id: int


@frozen
class RevokeLease:
    """Revoke a lease that may still be valid; best effort.

    Attributes:
        lease_id: The lease.
    """

    lease_id: int


SlotAction: TypeAlias = FindFreeSlot | AcquireSlot | RenewLease | RevokeLease


@frozen
class DomainStatus:
    """A balancer's position among the balancers of its failure domain.

    Attributes:
        holder_count: Number of other live balancers known to hold a slot.
        rank: Number of other live candidates with precedence.
    """

    holder_count: int
    rank: int


@frozen
class _HeldSlot:
    lease_id: int
    revision: int
    valid_until: float


def domain_status(view: View, *, member_id: str, failure_domain: str) -> DomainStatus:
    """Returns a balancer's status in its failure domain.

    Args:
        view: The view.
        member_id: The balancer.
        failure_domain: Its failure domain.

    Returns:
        Its status. Ranks follow a hash, so that all balancers agree on the order.
    """
    peers = [
        member
        for member in view.members_by_id.values()
        if member.role is Role.BALANCER
        and member.failure_domain == failure_domain
        and member.state in LIVE_STATES
        and member.member_id != member_id
    ]
    own_hash = _rank_hash(member_id)
    return DomainStatus(
        holder_count=sum(member.entry_slot > 0 for member in peers),
        rank=sum(
            member.entry_slot == 0 and _rank_hash(member.member_id) < own_hash
            for member in peers
        ),
    )


class EntrySlots:
    """The state machine by which one balancer acquires and keeps an entry slot.

    A holder that is paused could miss the expiry of its lease and continue after
    another balancer has acquired the slot. The lease's end is therefore computed on
    this process's clock from the time before each keep-alive was sent, and it is
    checked with each use. Work done with a lost slot is harmless as well: records carry
    their revision, and an older one never replaces a newer one.
    """

    def __init__(self, settings: KvSettings, *, random: Random) -> None:
        """Initializes the state without a slot.

        Args:
            settings: Number of slots and TTL of leases.
            random: Source of jitter.
        """
        self._slot_count = settings.entry_slots
        self._ttl = settings.lease_ttl
        self._random = random
        self._status = DomainStatus(holder_count=0, rank=0)
        self._attempt_at: float | None = None
        self._failures = 0
        self._free_index: int | None = None
        self._held_slot: _HeldSlot | None = None
        self._renew_at = 0.0
        self._lost_lease_id = 0

    @property
    def held_lease_id(self) -> int:
        """Lease of the last held slot, 0 without one; it may have expired."""
        return self._held_slot.lease_id if self._held_slot is not None else 0

    def held_revision(self, *, now: float) -> int:
        """Returns the revision of the currently held slot.

        Args:
            now: Clock reading, seconds.

        Returns:
            Revision at which it was acquired, 0 without a valid slot.
        """
        if self._held_slot is None or now >= self._held_slot.valid_until:
            return 0
        return self._held_slot.revision

    def update(self, status: DomainStatus, *, now: float) -> None:
        """Applies a new status.

        Args:
            status: The status by the latest view.
            now: Clock reading, seconds.
        """
        self._status = status
        if status.holder_count >= self._slot_count:
            self._attempt_at = None
            self._failures = 0
        elif self._attempt_at is None:
            self._attempt_at = now + self._initial_delay()

    def step(self, *, now: float) -> SlotAction | None:
        """Returns the action that is due.

        Args:
            now: Clock reading, seconds.

        Returns:
            An action whose result is to be reported, or None.
        """
        if self._held_slot is not None and now >= self._held_slot.valid_until:
            self._drop_slot(now)
        if self._lost_lease_id:
            action = RevokeLease(self._lost_lease_id)
            self._lost_lease_id = 0
            return action
        if self._held_slot is not None:
            return (
                RenewLease(self._held_slot.lease_id) if now >= self._renew_at else None
            )
        if self._free_index is not None:
            return AcquireSlot(self._free_index)
        if self._attempt_at is not None and now >= self._attempt_at:
            return FindFreeSlot()
        return None

    def on_slots_listed(self, taken: frozenset[int], *, now: float) -> None:
        """Records the result of FindFreeSlot.

        Args:
            taken: Numbers of the slots that are taken.
            now: Clock reading, seconds.
        """
        free = [index for index in range(self._slot_count) if index not in taken]
        if not free:
            self.on_failed(now=now)
            return
        self._free_index = self._random.choice(free)

    def on_acquired(self, lease: Lease, revision: int, *, requested_at: float) -> None:
        """Records that AcquireSlot succeeded.

        Args:
            lease: The lease.
            revision: Revision at which the slot was acquired.
            requested_at: Clock reading before the lease was requested, seconds.
        """
        self._free_index = None
        self._attempt_at = None
        self._failures = 0
        self._held_slot = _HeldSlot(
            lease_id=lease.lease_id,
            revision=revision,
            valid_until=requested_at + lease.ttl * (1 - LEASE_SAFETY_FRACTION),
        )
        self._renew_at = requested_at + lease.ttl / KEEP_ALIVES_PER_TTL

    def on_failed(self, *, now: float) -> None:
        """Records that listing or acquiring a slot failed.

        Args:
            now: Clock reading, seconds.
        """
        self._free_index = None
        self._failures += 1
        # Candidates of a high rank don't retry sooner than they first tried.
        retry_delay = RETRY_BACKOFF.delay(self._failures, self._random)
        self._attempt_at = now + max(retry_delay, self._rank_delay())

    def on_renewed(self, ttl: float, *, requested_at: float, now: float) -> None:
        """Records the result of RenewLease.

        Args:
            ttl: Remaining seconds; 0 if the lease had expired.
            requested_at: Clock reading before the renewal was sent, seconds.
            now: Clock reading, seconds.
        """
        if self._held_slot is None:
            return
        if ttl <= 0:
            self._drop_slot(now)
            return
        self._held_slot = _HeldSlot(
            lease_id=self._held_slot.lease_id,
            revision=self._held_slot.revision,
            valid_until=requested_at + ttl * (1 - LEASE_SAFETY_FRACTION),
        )
        self._renew_at = requested_at + ttl / KEEP_ALIVES_PER_TTL

    def on_restored(self, *, now: float) -> None:
        """Records that the store was restored from an older copy.

        The lease is not revoked: its id may belong to another balancer now.

        Args:
            now: Clock reading, seconds.
        """
        self._free_index = None
        if self._held_slot is not None:
            self._drop_slot(now)
        self._lost_lease_id = 0

    def on_renewal_failed(self, *, now: float) -> None:
        """Records that a keep-alive received no reply.

        Args:
            now: Clock reading, seconds.
        """
        # Retry soon: the slot is valid until the lease's end on this process's clock.
        self._renew_at = now + self._ttl / KEEP_ALIVES_PER_TTL / 2

    def _drop_slot(self, now: float) -> None:
        assert self._held_slot is not None
        self._lost_lease_id = self._held_slot.lease_id
        self._held_slot = None
        if self._status.holder_count < self._slot_count:
            self._attempt_at = now + self._initial_delay()

    def _initial_delay(self) -> float:
        return self._random.uniform(0, MAX_INITIAL_JITTER_SECONDS) + self._rank_delay()

    def _rank_delay(self) -> float:
        # Candidates beyond the free slots wait until membership announces new holders.
        candidates_ahead = max(0, self._status.rank - self._slot_count + 1)
        return min(candidates_ahead * RANK_DELAY_SECONDS, MAX_RANK_DELAY_SECONDS)


def _rank_hash(member_id: str) -> int:
    return xxhash.xxh3_64_intdigest(member_id.encode())
