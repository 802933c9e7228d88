"""Tests of snapshots of flows when the store is restored from an older copy."""

from __future__ import annotations

from siskinshift.connections.flow_snapshot import RENEW_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import SNAPSHOT_PREFIX
from siskinshift.connections.flow_snapshot import UPLOAD_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import WRITE_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import FlowSnapshot
from siskinshift.connections.flow_snapshot import FlowSnapshotStore
from siskinshift.connections.flow_snapshot import SnapshotUpdate
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.snapshot_writer import SnapshotWriter
from siskinshift.standins.platform_store import PlatformStoreState
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


KEY = SNAPSHOT_PREFIX + "agent-1"
# Until the agent's next request to the store, and the randomized time.
BACK_WITHIN_SECONDS = 14.0


class _Pair:
    """An agent and the balancer that writes its snapshot, with a shared clock."""

    def __init__(self, *, has_writer: bool) -> None:
        self.now = 0.0
        self.state = PlatformStoreState(lambda: self.now, era=1)
        self.agent_store = InMemoryStore(lambda: self.now, state=self.state)
        self.writer_store = InMemoryStore(lambda: self.now, state=self.state)
        self.has_writer = has_writer
        self.writer = SnapshotWriter(
            store=self.writer_store, clock=lambda: self.now, log=quiet_log()
        )
        self.agent = FlowSnapshotStore(
            store=self.agent_store,
            member_id="agent-1",
            flows=lambda: FlowSnapshot((b"packet-1",)),
            upload=self._upload,
            log=quiet_log(),
        )

    def _upload(self, update: SnapshotUpdate) -> UploadResult:
        if not self.has_writer:
            return UploadResult(revision=update.revision)
        result = self.writer.submit("agent-1", update)
        self.writer.step()
        return result.result(0)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            # The registration's renewals and reads tell the agent of a restore.
            if not self.now % 4:
                self.agent_store.get_stale("x")
            self.agent.step(now=self.now)
            self.now += UPLOAD_INTERVAL_SECONDS


def test_a_lost_snapshot_is_uploaded_again() -> None:
    """Guards against an "unchanged" snapshot that is not in the store any more."""
    pair = _Pair(has_writer=True)
    pair.run(4.0)
    assert pair.state.value(KEY)
    pair.state.restore(age=50.0)
    assert pair.state.value(KEY) is None

    pair.run(BACK_WITHIN_SECONDS)

    assert pair.state.value(KEY)


def test_a_writer_learns_of_the_restore_by_its_own_lease() -> None:
    """Guards against a writer whose record of written snapshots outlives them."""
    pair = _Pair(has_writer=True)
    uploaded = pair.writer.submit("agent-1", SnapshotUpdate(b"list", 0))
    pair.writer.step()
    assert uploaded.result(0).is_written
    pair.state.restore(age=50.0)
    pair.now = 12.0

    revision = uploaded.result(0).revision
    again = SnapshotUpdate(b"list", revision, is_unchanged=True)
    uploaded = pair.writer.submit("agent-1", again)
    pair.writer.step()
    # The restore took the snapshot back, so the agent has to name another revision.
    assert uploaded.result(0) == UploadResult(False, 0)
    uploaded = pair.writer.submit("agent-1", SnapshotUpdate(b"list", 0))
    pair.writer.step()

    assert uploaded.result(0).is_written
    assert pair.state.value(KEY) == b"list"


def test_a_snapshot_without_a_writer_is_written_again() -> None:
    """Guards against an agent that renews the lease of another node instead."""
    pair = _Pair(has_writer=False)
    pair.run(4.0)
    pair.state.restore(age=50.0)
    other = InMemoryStore(lambda: pair.now, state=pair.state)
    foreign = other.grant_lease(30.0)

    pair.run(BACK_WITHIN_SECONDS)

    assert pair.state.value(KEY)
    assert foreign.lease_id in pair.state._leases_by_id
    expires_at = pair.state._leases_by_id[foreign.lease_id].expires_at
    assert expires_at == 4.0 + 30.0


def test_an_urgent_snapshot_is_written_before_the_put_back() -> None:
    """Guards against a late snapshot of an upstream that is about to lose power."""
    pair = _Pair(has_writer=False)
    pair.run(4.0)
    pair.state.restore(age=50.0)
    pair.agent_store.get_stale("x")

    pair.agent.step(now=pair.now)
    assert pair.state.value(KEY) is None
    pair.agent.step(now=pair.now, is_urgent=True)

    assert pair.state.value(KEY)


def test_a_snapshot_that_failed_in_the_pause_is_spread_as_well() -> None:
    """Guards against a fleet that writes all snapshots right after the pause."""
    pair = _Pair(has_writer=False)
    pair.run(4.0)
    pause = RENEW_INTERVAL_SECONDS + WRITE_INTERVAL_SECONDS
    pair.state.restore(age=50.0, pause=pause)
    pair.now += RENEW_INTERVAL_SECONDS
    pair.agent.step(now=pair.now)
    assert pair.agent._written is None
    pair.now += WRITE_INTERVAL_SECONDS
    pair.agent_store.get_stale("x")

    pair.agent.step(now=pair.now)
    assert pair.state.value(KEY) is None
    pair.run(BACK_WITHIN_SECONDS)

    assert pair.state.value(KEY)
