"""Writes the flow snapshots of many agents in one transaction.

With a hundred agents whose snapshots change every second, separate writes would
outnumber all other requests of an idle fleet to the store. A balancer of the agents'
failure domain receives the snapshots over HTTP and writes up to 32 in one transaction,
under one lease. An agent without a writer, or without a response, writes its own.
"""

from __future__ import annotations

import threading
from concurrent.futures import Future
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.connections.flow_snapshot import RENEW_INTERVAL_SECONDS
from siskinshift.connections.flow_snapshot import SNAPSHOT_PREFIX
from siskinshift.connections.flow_snapshot import snapshot_key
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError
from siskinshift.kv.port import Put
from siskinshift.messages.core import MemberState


if TYPE_CHECKING:
    from collections.abc import Sequence

    from siskinshift.connections.fleet import Peer
    from siskinshift.core.clocks import Clock
    from siskinshift.kv.port import KeyValueStore
    from siskinshift.kv.port import Lease
    from siskinshift.observability.event_log import EventLog


# Followed by the member id of an agent; the body of the request is its snapshot.
SNAPSHOT_PATH = "/flow-list/"
# Query string of a snapshot that is the same as in its last write by this writer.
UNCHANGED_QUERY = "again"
# Snapshots that arrive within this time are written together.
WRITE_BATCH_INTERVAL_SECONDS = 1.0
# The time of one batch, and of one request to a slow store.
WRITE_TIMEOUT_SECONDS = 2.5
# Maximum of operations that the platform's store accepts in a transaction.
MAX_SNAPSHOTS_PER_TRANSACTION = 32
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
    """A snapshot that waits to be written."""

    value: bytes
    is_unchanged: bool
    written: Future[bool]


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
        self._written_by_member: dict[str, bytes] = {}
        self._lease: Lease | None = None
        self._granted_at = 0.0
        self._check_lease_at = 0.0
        self._is_stopped = False

    def submit(
        self, member_id: str, value: bytes, *, is_unchanged: bool = False
    ) -> Future[bool]:
        """Queues an agent's snapshot; may be called on any thread.

        Args:
            member_id: Id of the agent.
            value: Its encoded snapshot.
            is_unchanged: Whether the last write was the same snapshot by this writer.

        Returns:
            A future that resolves to whether the snapshot is written.
        """
        snapshot = _PendingSnapshot(value, is_unchanged, Future())
        with self._lock:
            before = self._pending_by_member.pop(member_id, None)
            if not self._is_stopped:
                self._pending_by_member[member_id] = snapshot
        if before is not None:
            before.written.set_result(False)
        if self._is_stopped and not snapshot.written.done():
            snapshot.written.set_result(False)
        return snapshot.written

    def write_until(self, stopping: threading.Event) -> None:
        """Writes queued snapshots until the event is set.

        Args:
            stopping: Ends the loop when set.
        """
        while not stopping.wait(WRITE_BATCH_INTERVAL_SECONDS):
            self.step()
        with self._lock:
            self._is_stopped = True
        self._resolve(self._take_pending(), is_written=False)

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
        self._resolve(pending, is_written=False)

    def _take_pending(self) -> dict[str, _PendingSnapshot]:
        with self._lock:
            pending, self._pending_by_member = self._pending_by_member, {}
        return pending

    def _resolve(
        self, pending: dict[str, _PendingSnapshot], *, is_written: bool
    ) -> None:
        for snapshot in pending.values():
            if not snapshot.written.done():
                snapshot.written.set_result(is_written)

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
        assert self._lease is not None
        new = []
        for member_id, snapshot in pending.items():
            is_same = self._written_by_member.get(member_id) == snapshot.value
            if snapshot.is_unchanged and is_same:
                snapshot.written.set_result(True)
            else:
                new.append(member_id)
        for start in range(0, len(new), MAX_SNAPSHOTS_PER_TRANSACTION):
            batch = {
                member_id: pending[member_id]
                for member_id in new[start : start + MAX_SNAPSHOTS_PER_TRANSACTION]
            }
            puts = tuple(
                Put(snapshot_key(member_id), snapshot.value, self._lease.lease_id)
                for member_id, snapshot in batch.items()
            )
            self._store.transact((), puts)
            self._written_by_member |= {
                member_id: snapshot.value for member_id, snapshot in batch.items()
            }
            self._resolve(batch, is_written=True)
