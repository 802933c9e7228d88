"""Reads and maintains what an agent keeps in the store, on a thread of its own."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from siskinshift.connections.flow_snapshot import READ_RETRY_SECONDS
from siskinshift.connections.flow_snapshot import UPLOAD_INTERVAL_SECONDS


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.flow_snapshot import FlowSnapshot
    from siskinshift.connections.flow_snapshot import FlowSnapshotStore
    from siskinshift.connections.incarnation import Incarnation
    from siskinshift.connections.leave_records import LeaveRecords
    from siskinshift.core.clocks import Clock


# Longest wait for a heartbeat that records the same leave.
LEAVE_TIMEOUT_SECONDS = 0.5


class AgentRecords:
    """The recorded leaves of an agent's upstream, and the snapshot of its flows."""

    def __init__(
        self,
        *,
        leaves: LeaveRecords,
        snapshots: FlowSnapshotStore,
        leaving: Callable[[], Incarnation | None],
        clock: Clock,
    ) -> None:
        """Initializes the records; `run_until` reads and maintains them.

        Args:
            leaves: Reads and creates records of leaves.
            snapshots: Reads and writes the flow snapshot.
            leaving: Returns the incarnation that leaves, None if there is none.
            clock: Clock of the process.
        """
        self._leaves = leaves
        self._snapshots = snapshots
        self._leaving = leaving
        self._clock = clock
        self._is_urgent = threading.Event()

    def write_now(self) -> None:
        """Requests that the agent writes its snapshot itself at once; thread-safe."""
        self._is_urgent.set()

    def run_until(
        self,
        stopping: threading.Event,
        on_leaves: Callable[[frozenset[Incarnation]], object],
        on_snapshot: Callable[[FlowSnapshot], object],
    ) -> None:
        """Reads what earlier processes recorded, then maintains it until the event.

        Args:
            stopping: Ends the task when set; `write_now` ends its wait.
            on_leaves: Called with the incarnations whose leave is recorded.
            on_snapshot: Called with the snapshot of the previous process.
        """
        leaves = self._leaves.load()
        while leaves is None and not stopping.wait(READ_RETRY_SECONDS):
            leaves = self._leaves.load()
        if leaves is not None:
            on_leaves(leaves)
        snapshot = None if leaves is None else self._snapshots.load()
        while snapshot is None and not stopping.wait(READ_RETRY_SECONDS):
            snapshot = self._snapshots.load()
        if snapshot is not None:
            on_snapshot(snapshot)
        while not stopping.is_set():
            is_urgent = self._is_urgent.wait(UPLOAD_INTERVAL_SECONDS)
            self._is_urgent.clear()
            if not stopping.is_set():
                self._maintain_leave()
                self._snapshots.step(now=self._clock(), is_urgent=is_urgent)

    def _maintain_leave(self) -> None:
        """Creates the record of a leave again if the store has lost it."""
        incarnation = self._leaving()
        if incarnation is not None:
            self._leaves.record(incarnation, timeout=LEAVE_TIMEOUT_SECONDS)
