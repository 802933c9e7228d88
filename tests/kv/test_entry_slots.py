"""Who holds the entry slots of a failure domain."""

from __future__ import annotations

from random import Random

from siskinshift.core.views import make_view
from siskinshift.kv.entry_slots import EntrySlots
from siskinshift.kv.entry_slots import FindSlot
from siskinshift.kv.entry_slots import GiveUpSlot
from siskinshift.kv.entry_slots import KeepSlot
from siskinshift.kv.entry_slots import Standing
from siskinshift.kv.entry_slots import TakeSlot
from siskinshift.kv.entry_slots import standing_in
from siskinshift.kv.port import Lease
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Member
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from tests.kv.fakes import make_settings


def _slots() -> EntrySlots:
    settings = make_settings("[kv]\nentry_slots = 2\nlease_ttl = 6\n")
    return EntrySlots(settings.kv, random=Random(1))


def _holding() -> EntrySlots:
    slots = _slots()
    slots.update(Standing(holders=0, rank=0), now=0.0)
    slots.on_found(frozenset({0}), now=1.0)
    assert slots.step(now=1.0) == TakeSlot(1)
    slots.on_taken(Lease(7, 6.0), 42, asked_at=1.0)
    return slots


def test_a_free_slot_is_found_taken_and_kept() -> None:
    slots = _slots()
    slots.update(Standing(holders=1, rank=0), now=0.0)

    assert slots.step(now=0.0) is None
    assert slots.step(now=1.0) == FindSlot()
    slots = _holding()
    assert slots.held_revision(now=2.0) == 42
    assert slots.step(now=2.0) is None
    assert slots.step(now=3.5) == KeepSlot(7)
    slots.on_kept(6.0, asked_at=3.5, now=3.6)
    assert slots.held_revision(now=8.0) == 42


def test_nobody_asks_the_store_while_all_slots_are_held() -> None:
    slots = _slots()
    slots.update(Standing(holders=0, rank=0), now=0.0)
    slots.update(Standing(holders=2, rank=0), now=0.5)

    assert [slots.step(now=float(now)) for now in range(1000)] == [None] * 1000


def test_candidates_of_a_higher_rank_wait_for_the_first_ones() -> None:
    slots = _slots()
    slots.update(Standing(holders=0, rank=21), now=0.0)

    assert slots.step(now=9.0) is None
    assert slots.step(now=11.1) == FindSlot()


def test_a_paused_holder_treats_its_lease_as_lost() -> None:
    """Two balancers believe to hold one slot.

    The holder is paused; its lease lapses and another balancer takes the slot. The
    holder wakes up, its last keep-alive was answered well, and it goes on as before.
    """
    slots = _holding()

    assert slots.held_revision(now=60.0) == 0
    assert slots.step(now=60.0) == GiveUpSlot(7)
    assert slots.step(now=60.1) is None
    assert slots.step(now=62.0) == FindSlot()


def test_an_answer_that_was_long_under_way_prolongs_by_little() -> None:
    slots = _holding()
    slots.on_kept(6.0, asked_at=2.0, now=5.0)

    assert slots.held_revision(now=6.7) == 42
    assert slots.held_revision(now=6.9) == 0


def test_a_lapsed_lease_is_lost_at_once() -> None:
    slots = _holding()
    slots.on_kept(0.0, asked_at=3.0, now=3.0)

    assert slots.held_revision(now=3.0) == 0


def test_lost_keep_alives_are_repeated_until_the_end() -> None:
    slots = _holding()
    asked = 0
    for tick in range(100):
        now = 1.0 + tick / 10
        if slots.step(now=now) == KeepSlot(7):
            asked += 1
            slots.on_keep_failed(now=now)

    assert 2 <= asked <= 4
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


def test_every_candidate_of_a_domain_has_a_rank_of_its_own() -> None:
    names = [f"balancer-{number}" for number in range(5)]
    members = [_member(name, 0) for name in names]
    members += [_member("holder", 9), _member("elsewhere", 9, "fd-2")]
    view = make_view(version=1, services=(), members=members)

    standings = [
        standing_in(view, member_id=name, failure_domain="fd-1") for name in names
    ]

    assert sorted(standing.rank for standing in standings) == [0, 1, 2, 3, 4]
    assert {standing.holders for standing in standings} == {1}
