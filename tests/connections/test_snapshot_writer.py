"""Tests of the balancer that writes agents' flow snapshots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.fleet import Peer
from siskinshift.connections.flow_snapshot import RENEW_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import SNAPSHOT_PREFIX
from siskinshift.connections.flow_snapshot import SnapshotUpdate
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.snapshot_writer import BALANCERS_PER_WRITER
from siskinshift.connections.snapshot_writer import LEASE_SECONDS
from siskinshift.connections.snapshot_writer import MAX_SNAPSHOTS_PER_TRANSACTION
from siskinshift.connections.snapshot_writer import WRITE_BATCH_INTERVAL_SECONDS
from siskinshift.connections.snapshot_writer import SnapshotWriter
from siskinshift.connections.snapshot_writer import choose_writer
from siskinshift.kv.port import Put
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from tests.connections.builders import member
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


if TYPE_CHECKING:
    from concurrent.futures import Future


class _Writer:
    """A writer with a store and a clock that the test advances."""

    def __init__(self) -> None:
        self.now = 0.0
        self.store = InMemoryStore(lambda: self.now)
        self.snapshots = self.new_writer()

    def new_writer(self) -> SnapshotWriter:
        return SnapshotWriter(store=self.store, clock=lambda: self.now, log=quiet_log())

    def update(
        self, number: int, value: bytes = b"list", *, is_unchanged: bool = False
    ) -> Future[UploadResult]:
        revision = self.store.state.revision(f"{SNAPSHOT_PREFIX}agent-{number}")
        update = SnapshotUpdate(value, revision, is_unchanged)
        return self.snapshots.submit(f"agent-{number}", update)

    def submit(self, count: int, value: bytes = b"list") -> list[Future[UploadResult]]:
        return [self.update(number, value) for number in range(count)]

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.snapshots.step()
            self.now += WRITE_BATCH_INTERVAL_SECONDS

    def stored(self, number: int) -> bytes | None:
        entry = self.store.get(f"{SNAPSHOT_PREFIX}agent-{number}")
        return entry.value if entry else None


def test_a_hundred_snapshots_take_few_transactions() -> None:
    """Guards against one request for each of a hundred changing snapshots."""
    writer = _Writer()
    written = writer.submit(100)
    writer.snapshots.step()

    assert all(future.result(0).is_written for future in written)
    assert writer.store.state.request_counts_by_path["kv-txn"] == -(
        -100 // MAX_SNAPSHOTS_PER_TRANSACTION
    )
    assert writer.stored(99) == b"list"


def test_snapshots_remain_as_long_as_they_are_uploaded() -> None:
    writer = _Writer()
    while writer.now < 4 * LEASE_SECONDS:
        future = writer.update(0, is_unchanged=True)
        writer.run(RENEW_INTERVAL_SECONDS)
        assert future.result(0).is_written
        assert writer.stored(0) == b"list"

    assert writer.store.state.request_counts_by_path["kv-txn"] <= 10
    assert writer.store.state.request_counts_by_path["kv-lease"] <= 10


def test_the_snapshot_of_an_agent_that_is_gone_expires() -> None:
    """Guards against snapshots of removed machines whose writer runs for weeks."""
    writer = _Writer()
    writer.submit(2)
    while writer.now < 2 * LEASE_SECONDS:
        writer.update(1, is_unchanged=True)
        writer.run(RENEW_INTERVAL_SECONDS)

    assert writer.stored(0) is None
    assert writer.stored(1) == b"list"


def test_a_snapshot_outlives_its_writer_for_a_usual_power_loss() -> None:
    """Guards against lost snapshots if the writer loses power with all agents."""
    writer = _Writer()
    writer.submit(1)
    while writer.now < LEASE_SECONDS / 2 - RENEW_INTERVAL_SECONDS / 2:
        writer.update(0, is_unchanged=True)
        writer.run(RENEW_INTERVAL_SECONDS / 2)
    writer.now += LEASE_SECONDS / 2 - RENEW_INTERVAL_SECONDS / 2

    assert writer.stored(0) == b"list"


def test_a_snapshot_replaced_by_its_agent_is_written_again() -> None:
    """Guards against skipping a snapshot that the agent itself replaced meanwhile.

    The agent could not reach its writer and wrote another one. Its snapshot is the
    former one again, but the writer must not treat it as written.
    """
    writer = _Writer()
    writer.submit(1)
    writer.run(2.0)
    writer.store.transact((), (Put(f"{SNAPSHOT_PREFIX}agent-0", b"own"),))
    writer.submit(1)
    writer.run(1.0)

    assert writer.stored(0) == b"list"


def test_snapshots_are_rejected_while_the_store_is_unavailable() -> None:
    writer = _Writer()
    writer.store.state.faults.rejection_status = 503
    written = writer.submit(3)
    writer.snapshots.step()
    assert [future.result(0).is_written for future in written] == [False] * 3

    writer.store.state.faults.rejection_status = 0
    writer.now += 2.0
    written = writer.submit(3)
    writer.snapshots.step()
    assert [future.result(0).is_written for future in written] == [True] * 3


def test_snapshots_that_expired_with_their_lease_are_written_again() -> None:
    """Guards against snapshots lost in an outage during which all leases expired."""
    writer = _Writer()
    writer.submit(1)
    writer.run(2.0)
    writer.store.state.expire_all_leases()
    lost = writer.submit(1, b"newer")
    writer.run(1.0)
    assert not lost[0].result(0).is_written

    writer.submit(1, b"newer")
    writer.run(1.0)
    assert writer.stored(0) == b"newer"


def test_unchanged_snapshots_are_restored_after_their_lease_was_lost() -> None:
    writer = _Writer()
    writer.submit(1)
    writer.run(2.0)
    writer.store.state.expire_all_leases()
    for _ in range(2):
        writer.update(0, is_unchanged=True)
        writer.run(RENEW_INTERVAL_SECONDS)

    assert writer.stored(0) == b"list"


def test_only_the_current_revision_is_replaced() -> None:
    """Guards against a snapshot that was uploaded before the agent wrote a newer one.

    The writer was frozen, or the store had lost its response.
    """
    writer = _Writer()
    writer.submit(3)
    writer.run(1.0)
    older = [writer.update(number, b"older") for number in range(3)]
    writer.store.transact((), (Put(f"{SNAPSHOT_PREFIX}agent-1", b"own"),))
    own_revision = writer.store.state.revision(f"{SNAPSHOT_PREFIX}agent-1")
    writer.run(1.0)

    assert older[1].result(0) == UploadResult(False, own_revision)
    assert older[0].result(0).is_written
    assert older[2].result(0).is_written
    assert writer.stored(1) == b"own"


def test_an_upload_without_a_revision_returns_the_current_one() -> None:
    writer = _Writer()
    writer.submit(1)
    writer.run(1.0)

    unknown = writer.snapshots.submit("agent-0", SnapshotUpdate(b"newer", None))
    writer.run(1.0)

    revision = writer.store.state.revision(f"{SNAPSHOT_PREFIX}agent-0")
    assert unknown.result(0) == UploadResult(False, revision)
    assert writer.stored(0) == b"list"


def test_a_late_write_of_a_batch_does_not_replace_a_newer_snapshot() -> None:
    writer = _Writer()
    writer.store.state.faults.late_write_delays = [5.0]
    writer.submit(2, b"lost")
    writer.run(1.0)
    newer = writer.update(0, b"newer")
    writer.run(5.0)

    assert newer.result(0).is_written
    assert writer.stored(0) == b"newer"


def test_a_stopped_writer_resolves_all_futures() -> None:
    writer = _Writer()
    waiting = writer.update(0)

    class _Stopping:
        def wait(self, _: float) -> bool:
            return True

    writer.snapshots.write_until(_Stopping())  # type: ignore[arg-type]

    assert not waiting.result(0).is_written
    assert not writer.update(0).result(0).is_written


def test_a_newer_snapshot_replaces_a_queued_one() -> None:
    writer = _Writer()
    older = writer.update(0, b"older")
    newer = writer.update(0, b"newer")
    writer.snapshots.step()

    assert not older.result(0).is_written
    assert newer.result(0).is_written
    assert writer.stored(0) == b"newer"


def _balancers(count: int) -> list[Peer]:
    known = [member(f"b-{n}", role=Role.BALANCER) for n in range(count)]
    return [Peer(m, ("10.0.0.1", n), last_seen_at=0.0) for n, m in enumerate(known)]


def test_agents_of_a_domain_share_few_writers() -> None:
    """Guards against many connections, each of which takes a thread at the writer."""
    for count in (1, 5, 12, 101):
        balancers = _balancers(count)
        chosen = {id(choose_writer(key, balancers, now=0.0)) for key in range(1000)}
        assert len(chosen) == max(1, count // BALANCERS_PER_WRITER)


def test_draining_or_unresponsive_balancers_are_not_writers() -> None:
    balancers = _balancers(3)
    first = choose_writer(0, balancers, now=0.0)
    assert first is not None
    first.member = member("b", role=Role.BALANCER, state=MemberState.DRAINING)
    second = choose_writer(0, balancers, now=0.0)
    assert second is not None
    assert second is not first
    assert choose_writer(0, balancers, now=60.0) is None
