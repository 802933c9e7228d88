"""Tests of a node's entry when the store is restored from an older copy."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest

from siskinshift.connections.put_back import AGENTS_PER_BALANCER
from siskinshift.connections.put_back import WRITES_PER_NODE
from siskinshift.connections.put_back import PutBack
from siskinshift.connections.put_back import spread_seconds
from siskinshift.connections.registration import RENEW_INTERVAL_SECONDS
from siskinshift.connections.registration import Registration
from siskinshift.connections.registration import member_key
from siskinshift.connections.registration import role_prefix
from siskinshift.messages.core import Member
from siskinshift.messages.core import Role
from siskinshift.standins.platform_store import PlatformStoreState
from tests.connections.builders import member
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


# Users of the platform allow this time until an entry is back.
NOTICED_WITHIN_SECONDS = RENEW_INTERVAL_SECONDS + 1.0
WRITE_LIMIT_PER_SECOND = 1200


class _Fleet:
    """Registrations that share a store and a clock."""

    def __init__(self, count: int, *, era: int | None = 1) -> None:
        self.now = 0.0
        self.state = PlatformStoreState(lambda: self.now, era=era)
        self.reads: list[list[Member]] = []
        self.has_unresponsive = False
        self.nodes = [self._new_node(i) for i in range(count)]
        self.due = [0.0] * count

    def _new_node(self, number: int) -> Registration:
        return Registration(
            store=InMemoryStore(lambda: self.now, state=self.state),
            own=lambda: member(f"agent-{number}"),
            prefix=role_prefix(Role.AGENT),
            has_unresponsive=lambda: self.has_unresponsive,
            on_members=self.reads.append,
            random=Random(number),
            log=quiet_log(),
        )

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            for i, node in enumerate(self.nodes):
                if self.due[i] <= self.now:
                    self.due[i] = self.now + node.step(now=self.now)
            self.now = min(until, max(min(self.due), self.now + 0.01))

    def has_entry(self, number: int) -> bool:
        key = member_key(f"agent-{number}", Role.AGENT)
        return self.state.value(key) is not None


@pytest.mark.parametrize("pause", [0.0, 2.5])
def test_lost_entries_are_put_back(pause: float) -> None:
    """Guards against a node that renews the lease of another and stays unregistered."""
    fleet = _Fleet(20)
    fleet.run(0.5)
    fleet.state.restore(age=30.0, pause=pause)
    assert not any(fleet.has_entry(i) for i in range(20))

    fleet.run(pause + NOTICED_WITHIN_SECONDS)

    assert all(fleet.has_entry(i) for i in range(20))
    fleet.run(20.0)
    assert all(fleet.has_entry(i) for i in range(20))


def test_a_shutdown_does_not_end_the_lease_of_another_node() -> None:
    """Guards against a lease id that was given out again before the shutdown."""
    fleet = _Fleet(2)
    fleet.due[1] = 100.0
    fleet.run(1.0)
    fleet.state.restore(age=30.0)
    fleet.due = [100.0, 0.0]
    fleet.run(0.5)
    assert fleet.has_entry(1)

    fleet.nodes[0].deregister()

    assert fleet.has_entry(1)


def test_members_are_not_read_until_all_had_time_to_return() -> None:
    """Guards against peers that are forgotten because their entries are gone."""
    fleet = _Fleet(5)
    fleet.has_unresponsive = True
    fleet.run(10.0)
    fleet.reads.clear()
    fleet.state.restore(age=60.0)
    # One node learns of the restore first, and the store refuses its put-back.
    fleet.due = [fleet.now, *[100.0] * 4]
    while not fleet.nodes[0]._put_back.is_pending:
        fleet.run(0.1)
    fleet.state.restore(age=0.0, pause=1.5)
    fleet.due[1:] = [fleet.now + 2.5] * 4

    fleet.run(20.0)

    assert fleet.reads
    assert all(len(read) == 5 for read in fleet.reads)


def test_a_node_whose_write_failed_in_the_pause_waits_as_well() -> None:
    """Guards against nodes that write and list at once because they have no lease."""
    fleet = _Fleet(1)
    fleet.run(1.0)
    node = fleet.nodes[0]
    node._lease = None
    fleet.state.restore(age=60.0)
    node._store.get_stale("x")

    node.step(now=fleet.now)

    assert node._put_back.is_pending
    assert not fleet.has_entry(0)


@pytest.mark.parametrize("balancers", [2, 24, 810])
def test_put_back_stays_within_the_limit_of_writes(balancers: int) -> None:
    """Guards against a fleet that writes all entries in the second of the restore."""
    random = Random(balancers)
    writes: Counter[int] = Counter()
    for _ in range(balancers * (1 + AGENTS_PER_BALANCER)):
        for subject, order in (("entry", 0), ("flow list", 1)):
            put_back = PutBack(
                subject,
                order=order,
                spread=lambda: spread_seconds(balancers),
                random=random,
                log=quiet_log(),
            )
            writes[int(put_back.on_restored(now=0.0))] += WRITES_PER_NODE

    assert max(writes.values()) <= WRITE_LIMIT_PER_SECOND


def test_a_store_without_the_header_gets_the_same_calls_as_before() -> None:
    """Guards against a cost of this protection where the store is never restored."""
    fleet = _Fleet(1, era=None)
    fleet.run(60.0)

    # Calls of a registration with a store that sends no generation, same seed.
    expected = {"kv-lease": 1, "kv-txn": 1, "kv-range": 1, "kv-keep": 19, "kv-key": 9}
    assert fleet.state.request_counts_by_path == expected
