"""Tests of the snapshot of long flows in the store."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies

from siskinshift.connections.flow_snapshot import LEASE_SECONDS
from siskinshift.connections.flow_snapshot import RENEW_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import SNAPSHOT_PREFIX
from siskinshift.connections.flow_snapshot import WRITE_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import FlowSnapshot
from siskinshift.connections.flow_snapshot import FlowSnapshotStore
from siskinshift.connections.flow_snapshot import SnapshotUpdate
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.flow_snapshot import decode_snapshot
from siskinshift.connections.flow_snapshot import encode_snapshot
from siskinshift.connections.incarnation import Incarnation
from tests.connections.builders import quiet_log
from tests.connections.in_memory_store import InMemoryStore


STARTED = Incarnation("u-1", 1_700_000_000_000)


class _Agent:
    """A snapshot store with a store and a clock that the test advances."""

    def __init__(self) -> None:
        self.now = 0.0
        self.has_writer = False
        self.uploads: list[SnapshotUpdate] = []
        self.packets = [b"packet-1", b"packet-2"]
        self.store = InMemoryStore(lambda: self.now)
        self.snapshots = self.new_snapshots()

    @property
    def listed(self) -> FlowSnapshot:
        return FlowSnapshot(tuple(self.packets), STARTED)

    def new_snapshots(self) -> FlowSnapshotStore:
        return FlowSnapshotStore(
            store=self.store,
            member_id="agent-1",
            flows=lambda: self.listed,
            upload=self._upload,
            log=quiet_log(),
        )

    def _upload(self, update: SnapshotUpdate) -> UploadResult:
        if self.has_writer:
            self.uploads.append(update)
        return UploadResult(self.has_writer, update.revision)

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.snapshots.step(now=self.now)
            self.now += WRITE_INTERVAL_SECONDS


def test_a_restarted_agent_reads_the_previous_snapshot() -> None:
    agent = _Agent()
    agent.run(WRITE_INTERVAL_SECONDS)

    assert agent.new_snapshots().load() == FlowSnapshot(
        (b"packet-1", b"packet-2"), STARTED
    )
    agent.now += LEASE_SECONDS + RENEW_INTERVAL_SECONDS
    assert agent.new_snapshots().load() == FlowSnapshot()


def test_an_unchanged_snapshot_is_not_written_again_and_remains() -> None:
    agent = _Agent()
    agent.run(4 * LEASE_SECONDS)

    assert agent.store.state.request_counts_by_path["kv-txn"] == 1
    assert agent.store.state.value(SNAPSHOT_PREFIX + "agent-1") is not None


def test_an_agent_without_long_flows_only_reads() -> None:
    """Guards against needless requests if callers open a flow for each request."""
    agent = _Agent()
    agent.packets = []
    agent.snapshots.load()
    before = agent.store.state.request_counts_by_path.total()
    agent.run(4 * LEASE_SECONDS)

    assert agent.store.state.request_counts_by_path.total() == before


def test_an_old_snapshot_is_replaced_when_there_are_no_flows() -> None:
    """Guards against leaving the previous snapshot after all callers have gone.

    The next process would probe flows whose callers may have opened new ones from the
    same ports meanwhile.
    """
    agent = _Agent()
    agent.run(WRITE_INTERVAL_SECONDS)
    agent.packets = []
    new_snapshots = agent.new_snapshots()
    new_snapshots.load()
    new_snapshots.step(now=agent.now)

    assert agent.new_snapshots().load() == FlowSnapshot()


def test_an_uploaded_snapshot_costs_no_store_request() -> None:
    agent = _Agent()
    agent.has_writer = True
    agent.run(4 * LEASE_SECONDS)

    assert agent.store.state.request_counts_by_path.total() == 0
    # Uploaded again periodically, since the writer may have been replaced.
    assert agent.uploads[0].value == encode_snapshot(agent.listed)
    assert not agent.uploads[0].is_unchanged
    again = agent.uploads[1:]
    assert {update.is_unchanged for update in again} == {True}
    assert len(again) + 1 >= 4 * LEASE_SECONDS / (
        RENEW_INTERVAL_SECONDS + WRITE_INTERVAL_SECONDS
    )
    assert len(again) <= 4 * LEASE_SECONDS / RENEW_INTERVAL_SECONDS


def test_an_agent_without_a_writer_writes_its_snapshot() -> None:
    """Guards against a writer that loses power and whose lease expires."""
    agent = _Agent()
    agent.has_writer = True
    agent.run(WRITE_INTERVAL_SECONDS)
    agent.has_writer = False
    agent.run(RENEW_INTERVAL_SECONDS + 2 * WRITE_INTERVAL_SECONDS)
    assert agent.new_snapshots().load() == agent.listed

    agent.has_writer = True
    agent.run(WRITE_INTERVAL_SECONDS)
    assert agent.uploads[-1].value == encode_snapshot(agent.listed)
    assert not agent.uploads[-1].is_unchanged


def test_an_outage_of_the_store_only_delays_the_snapshot() -> None:
    agent = _Agent()
    agent.run(WRITE_INTERVAL_SECONDS)
    agent.store.state.faults.rejection_status = 503
    agent.store.state.expire_all_leases()
    agent.run(4 * WRITE_INTERVAL_SECONDS)
    assert agent.new_snapshots().load() is None

    agent.store.state.faults.rejection_status = 0
    agent.run(2 * WRITE_INTERVAL_SECONDS)

    assert agent.new_snapshots().load() == agent.listed


def test_an_instance_that_was_frozen_continues_to_write_its_snapshot() -> None:
    """Guards against an instance that is frozen while its agent collects the flows.

    The timeout of the collection ended the task, and no snapshot was written any more.
    """
    agent = _Agent()
    outcomes: list[FlowSnapshot | TimeoutError] = [TimeoutError(), agent.listed]
    results = iter(outcomes)

    def collect() -> FlowSnapshot:
        result = next(results)
        if isinstance(result, TimeoutError):
            raise result
        return result

    snapshots = FlowSnapshotStore(
        store=agent.store,
        member_id="agent-1",
        flows=collect,
        upload=lambda update: UploadResult(revision=update.revision),
        log=quiet_log(),
    )
    snapshots.step(now=0.0)
    snapshots.step(now=WRITE_INTERVAL_SECONDS)

    assert agent.new_snapshots().load() == agent.listed


@given(
    strategies.lists(strategies.binary(min_size=32, max_size=32), max_size=20),
    strategies.none()
    | strategies.builds(
        Incarnation,
        strategies.text(min_size=1, max_size=60),
        strategies.none() | strategies.integers(1, 1 << 45),
    ),
)
def test_snapshots_are_decoded_as_encoded(
    packets: list[bytes], incarnation: Incarnation | None
) -> None:
    listed = FlowSnapshot(tuple(packets), incarnation if packets else None)

    assert decode_snapshot(encode_snapshot(listed)) == listed


def test_a_snapshot_of_an_older_version_is_read() -> None:
    """Guards against a rolling upgrade in which older snapshots are lost."""
    old = (8).to_bytes(2, "big") + b"packet-1packet-2"

    assert decode_snapshot(old) == FlowSnapshot((b"packet-1", b"packet-2"))


def test_a_leave_that_an_older_version_recorded_is_read() -> None:
    """Guards against new flows at a leaving upstream during a rolling upgrade."""
    encoded = encode_snapshot(FlowSnapshot((b"packet-1",), STARTED))
    size, packet = encoded[-10:-8], encoded[-8:]
    header = encoded[:-10] + bytes(2)

    with_flows = FlowSnapshot((b"packet-1",), STARTED, is_leaving=True)
    assert decode_snapshot(header + size + packet) == with_flows
    assert decode_snapshot(header) == FlowSnapshot((), STARTED, is_leaving=True)


def test_a_new_incarnation_is_written_without_a_writer() -> None:
    """Guards against an outdated incarnation while a writer collects its batch."""
    agent = _Agent()
    agent.has_writer = True
    agent.snapshots.step(now=0.0, is_urgent=True)

    assert agent.uploads == []
    assert agent.new_snapshots().load() == agent.listed


def test_a_late_write_does_not_replace_a_newer_snapshot() -> None:
    """Guards against a restarted agent that denies flows of its present upstream.

    A lost write named the upstream before, and the store applied it later.
    """
    agent = _Agent()
    agent.store.state.faults.late_write_delays = [3 * WRITE_INTERVAL_SECONDS]
    agent.run(WRITE_INTERVAL_SECONDS)
    agent.packets = [b"packet-3"]

    agent.run(4 * WRITE_INTERVAL_SECONDS)

    assert agent.new_snapshots().load() == agent.listed


def test_a_late_write_that_came_first_is_replaced() -> None:
    agent = _Agent()
    agent.store.state.faults.late_write_delays = [WRITE_INTERVAL_SECONDS / 2]
    agent.run(WRITE_INTERVAL_SECONDS)
    agent.packets = [b"packet-3"]

    agent.run(WRITE_INTERVAL_SECONDS)

    assert agent.new_snapshots().load() == agent.listed


def test_a_restarted_agent_replaces_a_late_write_of_its_predecessor() -> None:
    """Guards against a process that was killed while its write was on its way."""
    agent = _Agent()
    agent.store.state.faults.late_write_delays = [2 * WRITE_INTERVAL_SECONDS]
    agent.run(WRITE_INTERVAL_SECONDS)
    agent.snapshots = agent.new_snapshots()
    assert agent.snapshots.load() == FlowSnapshot()
    agent.packets = [b"packet-3"]
    agent.run(3 * WRITE_INTERVAL_SECONDS)

    assert agent.new_snapshots().load() == agent.listed


@given(strategies.binary(max_size=100))
def test_damaged_snapshots_never_raise(value: bytes) -> None:
    assert all(packet for packet in decode_snapshot(value).packets)
