"""Tests of a node's entry in the store, with an injected clock."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import attrs
import orjson
import pytest

from siskinshift.connections.member_documents import member_document
from siskinshift.connections.registration import LEASE_SECONDS
from siskinshift.connections.registration import READ_INTERVAL_SECONDS
from siskinshift.connections.registration import RENEW_INTERVAL_SECONDS
from siskinshift.connections.registration import Registration
from siskinshift.connections.registration import member_key
from siskinshift.connections.registration import role_prefix
from siskinshift.kv.port import Put
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from tests.connections.builders import member
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


if TYPE_CHECKING:
    from siskinshift.messages.core import Member
    from siskinshift.standins.platform_store import PlatformStoreState


OWN = member("agent-1")
KEY = member_key("agent-1", Role.AGENT)
# Time after the store's recovery that users of the platform allow.
RESTORED_WITHIN_SECONDS = 2.0


class _Node:
    """A registration with a store and a clock that the test advances."""

    def __init__(self, state: PlatformStoreState | None = None) -> None:
        self.now = 0.0
        self.own = OWN
        self.has_unresponsive = False
        self.store = InMemoryStore(lambda: self.now, state=state)
        self.reads: list[list[Member]] = []
        self.registration = Registration(
            store=self.store,
            own=lambda: self.own,
            prefix=role_prefix(Role.AGENT),
            has_unresponsive=lambda: self.has_unresponsive,
            on_members=self.reads.append,
            random=Random(1),
            log=quiet_log(),
        )

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            pause = self.registration.step(now=self.now)
            self.now = min(until, self.now + max(pause, 0.001))


def test_the_entry_exists_as_long_as_the_node_runs() -> None:
    node = _Node()
    node.run(4 * LEASE_SECONDS)

    assert node.store.state.value(KEY) is not None
    assert node.reads[0] == [OWN]
    node.now += LEASE_SECONDS + 0.1
    assert node.store.state.value(KEY) is None


def test_an_entry_that_expired_in_an_outage_is_restored_in_time() -> None:
    """Guards against a late entry after an outage during which all leases expired.

    Entries must be back within two seconds of the recovery, or the node is removed.
    """
    node = _Node()
    node.run(10.0)
    node.store.state.faults.rejection_status = 503
    node.store.state.expire_all_leases()
    node.run(20.0)
    assert node.store.state.value(KEY) is None

    node.store.state.faults.rejection_status = 0
    node.run(RESTORED_WITHIN_SECONDS)

    assert node.store.state.value(KEY) is not None


def test_a_silently_removed_entry_is_written_again() -> None:
    """Guards against a lost entry whose lease can still be renewed."""
    node = _Node()
    node.run(10.0)
    node.store.state.revoke(KEY)

    node.run(3 * READ_INTERVAL_SECONDS)

    assert node.store.state.value(KEY) is not None


def test_a_lost_response_to_the_registration_is_retried() -> None:
    node = _Node()
    node.store.state.faults.lose_responses = 1
    node.run(2.0)

    assert node.store.state.value(KEY) is not None


@pytest.mark.parametrize("delays", [[3.0], [1.5], [4.0, 2.0], [0.05]])
def test_a_write_applied_late_does_not_remove_the_entry(delays: list[float]) -> None:
    """Guards against a write that the store applies late, after its response was lost.

    The node had written the entry again with another lease. The late write bound it to
    the first lease, which expired, and a starting balancer reset the agent's flows.
    """
    node = _Node()
    node.store.state.faults.late_write_delays = delays
    node.run(2.0)

    for _ in range(round(3 * LEASE_SECONDS)):
        node.run(1.0)
        assert node.store.state.value(KEY) is not None


def test_a_late_write_of_a_killed_process_does_not_replace_its_successors_entry() -> (
    None
):
    """Guards against an entry that expires with the lease of a killed process."""
    predecessor = _Node()
    predecessor.store.state.faults.late_write_delays = [3.0]
    predecessor.run(0.1)
    node = _Node(state=predecessor.store.state)
    predecessor.store.state._clock = lambda: node.now
    node.now = predecessor.now
    node.run(1.0)

    for _ in range(round(3 * LEASE_SECONDS)):
        node.run(1.0)
        assert node.store.state.value(KEY) is not None


def test_a_restarted_process_replaces_the_entry_of_its_predecessor() -> None:
    predecessor = _Node()
    predecessor.run(1.0)
    node = _Node(state=predecessor.store.state)
    predecessor.store.state._clock = lambda: node.now
    node.now = 1.0
    before = node.store.state.revision(KEY)

    node.run(0.1)

    assert node.store.state.revision(KEY) > before
    for _ in range(round(2 * LEASE_SECONDS)):
        node.run(1.0)
        assert node.store.state.value(KEY) is not None


def test_a_missing_entry_is_restored_after_one_check() -> None:
    """Guards against nodes that start meanwhile and do not discover this one."""
    node = _Node()
    node.run(10.0)
    node.store.state.revoke(KEY)

    node.run(1.2 * READ_INTERVAL_SECONDS + 0.1)

    assert node.store.state.value(KEY) is not None


def test_the_first_read_after_an_outage_is_not_stale() -> None:
    node = _Node()
    node.run(5.0)
    fresh = node.store.linearizable_reads
    node.store.state.faults.rejection_status = 429
    node.run(3.0)
    node.store.state.faults.rejection_status = 0
    node.run(2.0)

    assert node.store.linearizable_reads == fresh + 1


def test_the_number_of_requests_is_bounded() -> None:
    """Guards against needless requests: the fleet shares the store's rate limits."""
    node = _Node()
    node.run(5.0)
    before = node.store.state.request_counts_by_path.copy()
    node.run(60.0)
    made = node.store.state.request_counts_by_path - before

    assert made["kv-txn"] == 0
    assert made["kv-keep"] <= 60.0 / RENEW_INTERVAL_SECONDS + 1
    assert made["kv-key"] <= 60.0 / (0.8 * READ_INTERVAL_SECONDS) + 1
    assert made["kv-range"] == 0


def test_members_are_read_again_while_one_is_unresponsive() -> None:
    """Guards against keeping a dead agent whose entry has expired.

    While all members are responsive, nothing is read.
    """
    node = _Node()
    node.run(10.0)
    reads = len(node.reads)
    node.has_unresponsive = True
    node.run(1.2 * READ_INTERVAL_SECONDS)
    assert len(node.reads) > reads

    node.has_unresponsive = False
    reads = len(node.reads)
    node.run(10 * READ_INTERVAL_SECONDS)
    assert len(node.reads) == reads


def test_members_are_read_again_after_the_own_entry_was_missing() -> None:
    """Guards against a node that starts while this one's entry is missing.

    The two have not discovered each other, so the node that writes its entry again has
    to read the new one and announce itself.
    """
    node = _Node()
    node.run(10.0)
    node.store.state.revoke(KEY)
    other = member("agent-2", host="10.0.0.2")
    _write(node, "agent-2", orjson.dumps(member_document(other)))

    node.run(3 * READ_INTERVAL_SECONDS)

    assert node.reads[-1] == [OWN, other]


def test_a_node_that_stops_writes_its_present_record() -> None:
    """Guards against a balancer that reads the record of the agent's start."""
    node = _Node()
    node.run(1.0)
    node.own = attrs.evolve(OWN, state=MemberState.DRAINING, version=2)

    node.registration.update_entry()

    value = node.store.state.value(KEY)
    assert value is not None
    assert orjson.loads(value) == member_document(node.own)


def test_a_node_without_the_store_stops_without_writing_its_record() -> None:
    """Guards against an agent that does not end while the store is away."""
    node = _Node()
    node.run(1.0)
    node.store.state.faults.rejection_status = 503

    node.registration.update_entry()


def test_deregistration_removes_the_entry() -> None:
    node = _Node()
    node.run(1.0)

    node.registration.deregister()

    assert node.store.state.value(KEY) is None


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("port", 99_999),
        ("port", "7000"),
        ("slots", 0),
        ("slots", True),
        ("host", "a-name"),
        ("state", "asleep"),
        ("role", None),
        ("incarnation", -1),
        ("incarnation", 1 << 60),
        ("version", 1.5),
        ("member_id", ""),
        ("member_id", "agent-1"),
        ("weight", None),
    ],
)
def test_an_invalid_entry_is_skipped_and_the_others_are_read(
    field: str, value: object
) -> None:
    """Guards against entries of foreign writers with one invalid field.

    A port of 99999 raised an error in each send to it, which aborted all timers once a
    second; a record without slots raised an error in each choice of an agent.
    """
    node = _Node()
    other = member("agent-2", host="10.0.0.2")
    broken = member_document(member("agent-3")) | {field: value}
    _write(node, "agent-2", orjson.dumps(member_document(other)))
    _write(node, "agent-3", orjson.dumps(broken))

    node.run(1.0)

    assert node.reads[0] == [OWN, other]


def test_entries_that_are_not_json_are_skipped() -> None:
    node = _Node()
    for number, value in enumerate((b"", b"\xff\x00", b"[1]", b"[" * 5000, b"null")):
        _write(node, f"agent-{number + 5}", value)

    node.run(1.0)

    assert node.reads[0] == [OWN]


def _write(node: _Node, member_id: str, value: bytes) -> None:
    node.store.transact((), (Put(member_key(member_id, Role.AGENT), value),))
