"""Tests of the records that an upstream leaves."""

from __future__ import annotations

import threading

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.leave_records import CHECK_INTERVAL_SECONDS
from siskinshift.connections.leave_records import LEASE_SECONDS
from siskinshift.connections.leave_records import LEAVES_PREFIX
from siskinshift.connections.leave_records import LeaveRecords
from siskinshift.standins.platform_store import PlatformStoreState
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


LEAVING = Incarnation("u-1", 1_700_000_000_000)
WITHOUT_START = Incarnation("u-1")


class _Agent:
    """An agent's records with a store and a clock that the test advances."""

    def __init__(self, *, era: int | None = None) -> None:
        self.now = 0.0
        self.state = PlatformStoreState(lambda: self.now, era=era)
        self.start()

    def start(self, member_id: str = "agent-1") -> None:
        self.store = InMemoryStore(lambda: self.now, state=self.state)
        self.records = LeaveRecords(
            store=self.store,
            member_id=member_id,
            clock=lambda: self.now,
            log=quiet_log(),
        )

    def record(self, incarnation: Incarnation = LEAVING) -> bool:
        return self.records.record(incarnation, timeout=0.0)

    def is_recorded(self) -> bool:
        self.start()
        return self.records.load() == frozenset({LEAVING})


def test_a_later_process_reads_recorded_leaves() -> None:
    agent = _Agent()
    assert agent.record()
    assert agent.record(WITHOUT_START)

    agent.start()
    assert agent.records.load() == frozenset({LEAVING, WITHOUT_START})
    agent.start("agent-10")
    assert agent.records.load() == frozenset()


def test_a_repeated_heartbeat_costs_no_request() -> None:
    agent = _Agent()
    agent.record()
    before = agent.state.request_counts_by_path.total()

    assert agent.record()

    assert agent.state.request_counts_by_path.total() == before


def test_a_leave_does_not_count_as_recorded_without_the_store() -> None:
    """Guards against an acknowledgement that relies on a record never written."""
    agent = _Agent()
    agent.state.faults.rejection_status = 503
    assert not agent.record()
    assert agent.records.load() is None

    agent.state.faults.rejection_status = 0
    assert agent.record()
    assert agent.is_recorded()


def test_late_writes_do_not_undo_a_record() -> None:
    """Guards against writes of earlier attempts that the store applies later."""
    agent = _Agent()
    agent.state.faults.late_write_delays = [5.0, 2.0]
    assert not agent.record()
    agent.now = 0.5
    assert not agent.record()
    agent.now = 1.0
    assert agent.record()

    for now in (1.5, 3.0, 6.0, LEASE_SECONDS - 1.0):
        agent.now = now
        assert agent.is_recorded()


def test_an_attempt_that_took_effect_counts_as_recorded() -> None:
    """Guards against an upstream without acknowledgement while responses are lost."""
    agent = _Agent()
    agent.state.faults.late_write_delays = [1.0]
    assert not agent.record()
    agent.now = 1.0
    agent.state.faults.lose_responses = 100

    assert agent.record()

    assert agent.is_recorded()


def test_a_record_that_the_store_dropped_is_created_again() -> None:
    """Guards against an outage during which all leases expired."""
    agent = _Agent()
    agent.record()
    agent.state.expire_all_leases()

    agent.now = CHECK_INTERVAL_SECONDS
    assert agent.record()

    assert agent.is_recorded()


def test_a_record_that_a_restore_lost_is_created_again() -> None:
    agent = _Agent(era=1)
    agent.now = 10.0
    agent.record()
    agent.state.restore(age=5.0)
    agent.store.get_stale("x")

    assert agent.record()

    assert agent.is_recorded()


def test_a_recorded_leave_is_acknowledged_while_the_store_is_away() -> None:
    agent = _Agent()
    agent.record()
    agent.state.faults.rejection_status = 503
    agent.now = CHECK_INTERVAL_SECONDS

    assert agent.record()


def test_a_call_does_not_wait_longer_than_its_timeout_for_another_one() -> None:
    """Guards against threads that pile up while the store is silent."""
    agent = _Agent()
    results = []
    with agent.records._lock:
        thread = threading.Thread(target=lambda: results.append(agent.record()))
        thread.start()
        thread.join()

    assert results == [False]


def test_unreadable_records_are_skipped() -> None:
    agent = _Agent()
    agent.record()
    agent.state.put(f"{LEAVES_PREFIX}agent-1/x", b"\xff")

    assert agent.is_recorded()
