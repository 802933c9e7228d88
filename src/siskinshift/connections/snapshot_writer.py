"""Writes the flow snapshots of many agents in one transaction.

With a hundred agents whose snapshots change every second, separate writes would
outnumber all other requests of an idle fleet to the store. A balancer of the agents'
failure domain receives the snapshots over HTTP and writes up to 16 in one transaction,
under one lease. An agent without a writer, or without a response, writes its own.

Each write names the revisions that it replaces, see `flow_snapshot`. Snapshots whose
revision is not current are left to their agents.
"""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.flow_snapshot import RENEW_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import SNAPSHOT_PREFIX
from siskinshift.connections.flow_snapshot import SnapshotUpdate
from siskinshift.connections.flow_snapshot import UploadResult
from siskinshift.connections.flow_snapshot import snapshot_key
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Compare
from siskinshift.kv.port import Put
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Peer
    from siskinshift.core.clocks import Clock
    from siskinshift.kv.port import KeyValueStore
    from siskinshift.kv.port import Lease
    from siskinshift.observability.event_log import EventLog


# Snapshots that arrive within this time are written together.
WRITE_BATCH_INTERVAL_SECONDS = 1.0
# The time of one batch, and of one request to a slow store.
WRITE_TIMEOUT_SECONDS = 2.5
# The platform's store accepts 32 entries in a transaction, of which each snapshot takes
# two: its condition and its write.
MAX_SNAPSHOTS_PER_TRANSACTION = 16
# Half of it is longer than the interval at which an agent uploads its snapshot again,
# and the other half longer than a usual power loss of an instance.
LEASE_SECONDS = 45.0
# Number of balancers of a failure domain for each writer. Writers are few, since each
# agent keeps a connection, and with it a thread, at its writer.
BALANCERS_PER_WRITER = 8


def choose_writer(
    agent_key: int, balancers: Sequence[Peer], *, now: float
) -> Peer | None:
    """Chooses the balancer that writes an agent's snapshot.

    Args:
        agent_key: Hash of the agent's member id.
        balancers: Balancers of its failure domain.
        now: Clock reading, seconds.

    Returns:
        The writer; None if no balancer is available. All agents that know the same
        balancers choose among the same few writers.
    """
    candidates = [
        balancer
        for balancer in balancers
        if balancer.member.state is MemberState.READY
        and not balancer.is_unresponsive(now=now)
    ]
    if not candidates:
        return None
    candidates.sort(key=lambda balancer: balancer.key)
    writers = candidates[: max(1, len(candidates) // BALANCERS_PER_WRITER)]
    return writers[agent_key % len(writers)]


@frozen
class _PendingSnapshot:
    """A snapshot that waits to be written.

    Attributes:
        update: The snapshot.
        result: The result for the agent.
    """

    update: SnapshotUpdate
    result: Future[UploadResult]


@frozen
class _WrittenSnapshot:
    value: bytes
    revision: int


class SnapshotWriter:
    """Writes the snapshots that agents upload to one balancer."""

    def __init__(self, *, store: KeyValueStore, clock: Clock, log: EventLog) -> None:
        """Initializes the writer.

        Args:
            store: The store.
            clock: Clock of the process.
            log: Event log.
        """
        self._store = store
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._pending_by_member: dict[str, _PendingSnapshot] = {}
        self._written_by_member: dict[str, _WrittenSnapshot] = {}
        self._lease: Lease | None = None
        self._granted_at = 0.0
        self._check_lease_at = 0.0
        self._is_stopped = False

    def submit(self, member_id: str, update: SnapshotUpdate) -> Future[UploadResult]:
        """Queues an agent's snapshot; may be called on any thread.

        Args:
            member_id: Id of the agent.
            update: Its snapshot.

        Returns:
            A future of the result.
        """
        snapshot = _PendingSnapshot(update, Future())
        with self._lock:
            before = self._pending_by_member.pop(member_id, None)
            if not self._is_stopped:
                self._pending_by_member[member_id] = snapshot
        if before is not None:
            before.result.set_result(UploadResult())
        if self._is_stopped and not snapshot.result.done():
            snapshot.result.set_result(UploadResult())
        return snapshot.result

    def write_until(self, stopping: threading.Event) -> None:
        """Writes queued snapshots until the event is set.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.wait(WRITE_BATCH_INTERVAL_SECONDS):
            self.step()
        with self._lock:
            self._is_stopped = True
        self._reject(self._take_pending())

    def step(self) -> None:
        """Writes the snapshots that were queued since the previous step."""
        pending = self._take_pending()
        if not pending:
            return
        try:
            self._renew_lease()
            self._write(pending)
        except (StoreUnavailableError, StoreOutcomeUnknownError) as error:
            # The agents write them themselves.
            self._log.fact("flow lists not kept", lists=len(pending), error=str(error))
            self._lease = None
        self._reject(pending)

    def _take_pending(self) -> dict[str, _PendingSnapshot]:
        with self._lock:
            pending, self._pending_by_member = self._pending_by_member, {}
        return pending

    def _reject(self, pending: dict[str, _PendingSnapshot]) -> None:
        for snapshot in pending.values():
            if not snapshot.result.done():
                snapshot.result.set_result(UploadResult())

    def _renew_lease(self) -> None:
        """Replaces the lease periodically instead of renewing it.

        With one lease, snapshots of removed agents would remain as long as this
        balancer runs. A snapshot moves to the new lease when its agent uploads
        it the next time, and otherwise expires with the old one.
        """
        now = self._clock()
        lease = self._lease
        is_old = now >= self._granted_at + LEASE_SECONDS / 2
        if lease is not None and lease.generation != self._store.generation:
            is_old = True
        if lease is not None and not is_old and now >= self._check_lease_at:
            # It may have expired during an outage, and the snapshots with it. In a
            # later generation of the store it may belong to another node.
            generation = self._store.confirm_generation(SNAPSHOT_PREFIX)
            is_old = (
                generation != lease.generation
                or self._store.keep_alive(lease.lease_id) <= 0
            )
            self._check_lease_at = now + RENEW_INTERVAL_SECONDS
        if lease is not None and not is_old:
            return
        self._lease = self._store.grant_lease(LEASE_SECONDS)
        self._granted_at = now
        self._check_lease_at = now + RENEW_INTERVAL_SECONDS
        self._written_by_member.clear()

    def _write(self, pending: dict[str, _PendingSnapshot]) -> None:
        new = []
        for member_id, snapshot in pending.items():
            update = snapshot.update
            if update.revision is None:
                revision = self._store.revision_of(snapshot_key(member_id))
                snapshot.result.set_result(UploadResult(revision=revision))
            elif update.is_unchanged and self._is_written(member_id, update):
                snapshot.result.set_result(UploadResult(True, update.revision))
            else:
                new.append(member_id)
        for start in range(0, len(new), MAX_SNAPSHOTS_PER_TRANSACTION):
            batch = {
                member_id: pending[member_id]
                for member_id in new[start : start + MAX_SNAPSHOTS_PER_TRANSACTION]
            }
            current_by_member = self._write_batch(batch)
            if current_by_member:
                superseded = {x: batch.pop(x) for x in current_by_member}
                self._log.decision("flow lists superseded", lists=len(superseded))
                for member_id, snapshot in superseded.items():
                    result = UploadResult(revision=current_by_member[member_id])
                    snapshot.result.set_result(result)
                self._write_batch(batch)

    def _is_written(self, member_id: str, update: SnapshotUpdate) -> bool:
        written = self._written_by_member.get(member_id)
        return written is not None and (
            (written.value, written.revision) == (update.value, update.revision)
        )

    def _write_batch(self, batch: dict[str, _PendingSnapshot]) -> dict[str, int | None]:
        """Writes snapshots in one transaction.

        Args:
            batch: The snapshots by member id.

        Returns:
            Revisions of the snapshots that other writes have replaced, by member id;
            if there are any, none of the batch is written.
        """
        assert self._lease is not None
        if not batch:
            return {}
        compares = []
        puts = []
        for member_id, snapshot in batch.items():
            key, update = snapshot_key(member_id), snapshot.update
            assert update.revision is not None
            compares.append(Compare(key, update.revision))
            puts.append(Put(key, update.value, self._lease.lease_id))
        result = self._store.transact(tuple(compares), tuple(puts))
        if not result.succeeded:
            current_by_member = {
                member_id: result.revisions_by_key.get(snapshot_key(member_id))
                for member_id in batch
            }
            return {
                member_id: revision
                for member_id, revision in current_by_member.items()
                if revision != batch[member_id].update.revision
            }
        for member_id, snapshot in batch.items():
            written = _WrittenSnapshot(snapshot.update.value, result.revision)
            self._written_by_member[member_id] = written
            snapshot.result.set_result(UploadResult(True, result.revision))
        return {}
