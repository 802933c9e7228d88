"""Decides which balancers hold the entry slots of their failure domain.

Each failure domain has a few entry slots: keys of the key-value service, held by
lease. Only holders read the configuration there, so the calls do not grow with the
fleet. Who holds a slot is told by membership (`Member.entry_slot`); a balancer asks
the store only when membership shows fewer holders than slots.
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


# A failure domain that comes back at once asks over this time, one read each: some
# 200 calls a second at 200 balancers, a tenth of what the store takes.
SPREAD_SECONDS = 1.0
# Time for a taken slot to be known before the next candidate in rank asks.
RANK_SECONDS = 0.5
RANK_SECONDS_MAXIMUM = 30.0
# After a failure, or when the store says that all slots are taken though membership
# does not know the holders yet.
RETRY = Backoff(minimum=1.0, maximum=30.0)
# A lease is prolonged three times in its life, so that one lost call is harmless.
KEEP_ALIVES_PER_TTL = 3
# Left at the end of a lease for clocks of the store and of this instance that run at
# different speeds.
SAFETY_PART = 0.2

LIVE_STATES = frozenset({MemberState.JOINING, MemberState.READY, MemberState.SUSPECT})


@frozen
class FindSlot:
    """Read which slots of the failure domain are taken."""


@frozen
class TakeSlot:
    """Grant a lease and take a slot under it, if its key is absent.

    Attributes:
        index: Number of the slot.
    """

    index: int


@frozen
class KeepSlot:
    """Prolong the lease.

    Attributes:
        lease_id: The lease.
    """

    lease_id: int


@frozen
class GiveUpSlot:
    """End a lease that may still be alive; best effort.

    Attributes:
        lease_id: The lease.
    """

    lease_id: int


SlotAction: TypeAlias = FindSlot | TakeSlot | KeepSlot | GiveUpSlot


@frozen
class Standing:
    """How a balancer stands in its failure domain.

    Attributes:
        holders: Other live balancers known to hold a slot.
        rank: Other live candidates that go first.
    """

    holders: int
    rank: int


@frozen
class _Held:
    lease_id: int
    revision: int
    valid_until: float


def standing_in(view: View, *, member_id: str, failure_domain: str) -> Standing:
    """Reads a balancer's standing from its view.

    Args:
        view: The view.
        member_id: The balancer.
        failure_domain: Its failure domain.

    Returns:
        Its standing. Ranks follow a hash, so that balancers agree on who goes first.
    """
    peers = [
        member
        for member in view.members_by_id.values()
        if member.role is Role.BALANCER
        and member.failure_domain == failure_domain
        and member.state in LIVE_STATES
        and member.member_id != member_id
    ]
    own_order = _order_of(member_id)
    return Standing(
        holders=sum(member.entry_slot > 0 for member in peers),
        rank=sum(
            member.entry_slot == 0 and _order_of(member.member_id) < own_order
            for member in peers
        ),
    )


class EntrySlots:
    """One balancer's part in the entry slots of its failure domain.

    Failure: a holder is paused, its lease lapses unnoticed and another balancer takes
    the slot; back awake it would go on as if it still held it. The guard holds because
    the end of the lease is reckoned from before each keep-alive was sent, on this
    process's clock, and asked for with each use: what is late is lost. Work done under
    a lost slot is harmless too: records carry their revision, and an older one never
    replaces a newer one.
    """

    def __init__(self, settings: KvSettings, *, random: Random) -> None:
        """Starts without a slot.

        Args:
            settings: Number of slots, life of leases.
            random: Source of jitter.
        """
        self._slots = settings.entry_slots
        self._ttl = settings.lease_ttl
        self._random = random
        self._standing = Standing(holders=0, rank=0)
        self._ask_at: float | None = None
        self._failures = 0
        self._free_index: int | None = None
        self._held: _Held | None = None
        self._keep_at = 0.0
        self._lost_lease_id = 0

    @property
    def held_lease_id(self) -> int:
        """Lease of the slot held last, 0 without one; it may have lapsed."""
        return self._held.lease_id if self._held is not None else 0

    def held_revision(self, *, now: float) -> int:
        """Tells whether a slot is held right now.

        Args:
            now: Clock reading, seconds.

        Returns:
            Revision at which it was taken, 0 without one.
        """
        if self._held is None or now >= self._held.valid_until:
            return 0
        return self._held.revision

    def update(self, standing: Standing, *, now: float) -> None:
        """Takes a new standing.

        Args:
            standing: The standing by the latest view.
            now: Clock reading, seconds.
        """
        self._standing = standing
        if standing.holders >= self._slots:
            self._ask_at = None
            self._failures = 0
        elif self._ask_at is None:
            self._ask_at = now + self._first_pause()

    def step(self, *, now: float) -> SlotAction | None:
        """Decides what to do now.

        Args:
            now: Clock reading, seconds.

        Returns:
            One action to carry out and report, or None.
        """
        if self._held is not None and now >= self._held.valid_until:
            self._lose(now)
        if self._lost_lease_id:
            action = GiveUpSlot(self._lost_lease_id)
            self._lost_lease_id = 0
            return action
        if self._held is not None:
            return KeepSlot(self._held.lease_id) if now >= self._keep_at else None
        if self._free_index is not None:
            return TakeSlot(self._free_index)
        if self._ask_at is not None and now >= self._ask_at:
            return FindSlot()
        return None

    def on_found(self, taken: frozenset[int], *, now: float) -> None:
        """Takes the answer to FindSlot.

        Args:
            taken: Numbers of the slots that are taken.
            now: Clock reading, seconds.
        """
        free = [index for index in range(self._slots) if index not in taken]
        if not free:
            self.on_failed(now=now)
            return
        self._free_index = self._random.choice(free)

    def on_taken(self, lease: Lease, revision: int, *, asked_at: float) -> None:
        """Takes note that TakeSlot succeeded.

        Args:
            lease: The lease.
            revision: Revision at which the slot was taken.
            asked_at: Clock reading before the lease was asked for, seconds.
        """
        self._free_index = None
        self._ask_at = None
        self._failures = 0
        self._held = _Held(
            lease_id=lease.lease_id,
            revision=revision,
            valid_until=asked_at + lease.ttl * (1 - SAFETY_PART),
        )
        self._keep_at = asked_at + lease.ttl / KEEP_ALIVES_PER_TTL

    def on_failed(self, *, now: float) -> None:
        """Takes note that finding or taking a slot did not succeed.

        Args:
            now: Clock reading, seconds.
        """
        self._free_index = None
        self._failures += 1
        # Candidates of a high rank don't come back sooner than they asked first.
        pause = RETRY.delay(self._failures, self._random)
        self._ask_at = now + max(pause, self._rank_pause())

    def on_kept(self, ttl: float, *, asked_at: float, now: float) -> None:
        """Takes the answer to KeepSlot.

        Args:
            ttl: Seconds left; 0 when the lease had lapsed.
            asked_at: Clock reading before it was sent, seconds.
            now: Clock reading, seconds.
        """
        if self._held is None:
            return
        if ttl <= 0:
            self._lose(now)
            return
        self._held = _Held(
            lease_id=self._held.lease_id,
            revision=self._held.revision,
            valid_until=asked_at + ttl * (1 - SAFETY_PART),
        )
        self._keep_at = asked_at + ttl / KEEP_ALIVES_PER_TTL

    def on_keep_failed(self, *, now: float) -> None:
        """Takes note that a keep-alive was not answered.

        Args:
            now: Clock reading, seconds.
        """
        # Again soon: the slot is held until its end by this process's clock.
        self._keep_at = now + self._ttl / KEEP_ALIVES_PER_TTL / 2

    def _lose(self, now: float) -> None:
        assert self._held is not None
        self._lost_lease_id = self._held.lease_id
        self._held = None
        if self._standing.holders < self._slots:
            self._ask_at = now + self._first_pause()

    def _first_pause(self) -> float:
        return self._random.uniform(0, SPREAD_SECONDS) + self._rank_pause()

    def _rank_pause(self) -> float:
        # The first ones fill the free slots; the others wait to hear of it.
        waiting = max(0, self._standing.rank - self._slots + 1)
        return min(waiting * RANK_SECONDS, RANK_SECONDS_MAXIMUM)


def _order_of(member_id: str) -> int:
    return xxhash.xxh3_64_intdigest(member_id.encode())
