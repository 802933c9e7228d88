"""Tests of the faults that the stand-in of the platform's store injects."""

from __future__ import annotations

import pytest

from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put
from tests.connections.in_memory_store import InMemoryStore


class _World:
    def __init__(self) -> None:
        self.now = 0.0
        self.store = InMemoryStore(lambda: self.now)

    def write_late(self, value: bytes, *, delay: float, revision: int | None) -> None:
        compares = () if revision is None else (Compare("a", revision),)
        self.store.state.faults.late_write_delays.append(delay)
        with pytest.raises(StoreOutcomeUnknownError):
            self.store.transact(compares, (Put("a", value),))


def test_late_writes_take_effect_out_of_order() -> None:
    world = _World()
    world.write_late(b"first", delay=3.0, revision=None)
    world.write_late(b"second", delay=1.0, revision=None)
    assert world.store.state.value("a") is None

    world.now = 2.0
    assert world.store.state.value("a") == b"second"
    world.now = 3.0
    assert world.store.state.value("a") == b"first"


def test_a_late_write_whose_condition_no_longer_holds_has_no_effect() -> None:
    world = _World()
    world.write_late(b"late", delay=3.0, revision=0)
    world.store.transact((Compare("a", 0),), (Put("a", b"own"),))

    world.now = 3.0

    assert world.store.state.value("a") == b"own"


def test_a_late_write_takes_no_effect_once_its_lease_has_ended() -> None:
    world = _World()
    lease = world.store.grant_lease(2.0)
    world.store.state.faults.late_write_delays.append(3.0)
    with pytest.raises(StoreOutcomeUnknownError):
        world.store.transact((), (Put("a", b"late", lease.lease_id),))

    world.now = 3.0

    assert world.store.state.value("a") is None
