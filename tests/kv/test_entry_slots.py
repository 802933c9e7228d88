"""Tests of the election of entry slot holders."""

from __future__ import annotations

from random import Random

from siskinshift.core.views import make_view
from siskinshift.kv.entry_slots import AcquireSlot
from siskinshift.kv.entry_slots import DomainStatus
from siskinshift.kv.entry_slots import EntrySlots
from siskinshift.kv.entry_slots import FindFreeSlot
from siskinshift.kv.entry_slots import RenewLease
from siskinshift.kv.entry_slots import RevokeLease
from siskinshift.kv.entry_slots import domain_status
from siskinshift.kv.port import Lease
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from tests.kv.fakes import make_settings


def _slots() -> EntrySlots:
    settings = make_settings("[kv]\nentry_slots = 2\nlease_ttl = 6\n")
    return EntrySlots(settings.kv, random=Random(1))


def _held_slots() -> EntrySlots:
    slots = _slots()
    slots.update(DomainStatus(holder_count=0, rank=0), now=0.0)
    slots.on_slots_listed(frozenset({0}), now=1.0)
    assert slots.step(now=1.0) == AcquireSlot(1)
    slots.on_acquired(Lease(7, 6.0), 42, requested_at=1.0)
    return slots


def test_a_free_slot_is_found_acquired_and_renewed() -> None:
    slots = _slots()
    slots.update(DomainStatus(holder_count=1, rank=0), now=0.0)

    assert slots.step(now=0.0) is None
    assert slots.step(now=1.0) == FindFreeSlot()
    slots = _held_slots()
    assert slots.held_revision(now=2.0) == 42
    assert slots.step(now=2.0) is None
    assert slots.step(now=3.5) == RenewLease(7)
    slots.on_renewed(6.0, requested_at=3.5, now=3.6)
    assert slots.held_revision(now=8.0) == 42


def test_the_store_is_not_queried_while_all_slots_are_held() -> None:
    slots = _slots()
    slots.update(DomainStatus(holder_count=0, rank=0), now=0.0)
    slots.update(DomainStatus(holder_count=2, rank=0), now=0.5)

    assert [slots.step(now=float(now)) for now in range(1000)] == [None] * 1000


def test_candidates_with_a_higher_rank_wait_longer() -> None:
    slots = _slots()
    slots.update(DomainStatus(holder_count=0, rank=21), now=0.0)

    assert slots.step(now=9.0) is None
    assert slots.step(now=11.1) == FindFreeSlot()


def test_a_paused_holder_treats_its_lease_as_lost() -> None:
    """Guards against two balancers that hold one slot.

    The holder is paused, its lease expires and another balancer acquires the slot. The
    last keep-alive of the resumed holder succeeded, so it must check the lease's end.
    """
    slots = _held_slots()

    assert slots.held_revision(now=60.0) == 0
    assert slots.step(now=60.0) == RevokeLease(7)
    assert slots.step(now=60.1) is None
    assert slots.step(now=62.0) == FindFreeSlot()


def test_a_delayed_renewal_counts_from_the_time_of_the_request() -> None:
    slots = _held_slots()
    slots.on_renewed(6.0, requested_at=2.0, now=5.0)

    assert slots.held_revision(now=6.7) == 42
    assert slots.held_revision(now=6.9) == 0


def test_an_expired_lease_loses_the_slot_at_once() -> None:
    slots = _held_slots()
    slots.on_renewed(0.0, requested_at=3.0, now=3.0)

    assert slots.held_revision(now=3.0) == 0


def test_lost_keep_alives_are_retried_until_the_lease_expires() -> None:
    slots = _held_slots()
    renewal_count = 0
    for tick in range(100):
        now = 1.0 + tick / 10
        if slots.step(now=now) == RenewLease(7):
            renewal_count += 1
            slots.on_renewal_failed(now=now)

    assert 2 <= renewal_count <= 4
    assert slots.held_revision(now=11.0) == 0


def _member(name: str, slot: int, domain: str = "fd-1") -> Member:
    return Member(
        member_id=name,
        role=Role.BALANCER,
        incarnation=1,
        version=1,
        state=MemberState.READY,
        region="region-1",
        failure_domain=domain,
        control=Endpoint("127.0.0.1", 1),
        data=Endpoint("127.0.0.1", 2),
        entry_slot=slot,
    )


def test_candidates_of_a_domain_have_distinct_ranks() -> None:
    names = [f"balancer-{number}" for number in range(5)]
    members = [_member(name, 0) for name in names]
    members += [_member("holder", 9), _member("elsewhere", 9, "fd-2")]
    view = make_view(version=1, services=(), members=members)

    statuses = [
        domain_status(view, member_id=name, failure_domain="fd-1") for name in names
    ]

    assert sorted(status.rank for status in statuses) == [0, 1, 2, 3, 4]
    assert {status.holder_count for status in statuses} == {1}
