"""Maintains an agent's flow snapshot on a thread of its own."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING

from siskinshift.connections.flow_snapshot import READ_RETRY_SECONDS
from siskinshift.connections.flow_snapshot import UPLOAD_INTERVAL_SECONDS


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.flow_snapshot import FlowSnapshot
    from siskinshift.connections.flow_snapshot import FlowSnapshotStore
    from siskinshift.core.clocks import Clock


class SnapshotTask:
    """Reads the snapshot of the previous process, then writes this one's."""

    def __init__(
        self,
        snapshots: FlowSnapshotStore,
        *,
        maintain_leave: Callable[[], object],
        clock: Clock,
    ) -> None:
        """Initializes the task; `run_until` runs it.

        Args:
            snapshots: Reads and writes the snapshot.
            maintain_leave: Creates the record of a leave again if the store lost it.
            clock: Clock of the process.
        """
        self._snapshots = snapshots
        self._maintain_leave = maintain_leave
        self._clock = clock
        self._is_urgent = threading.Event()

    def write_now(self) -> None:
        """Requests that the agent writes the snapshot itself at once; thread-safe."""
        self._is_urgent.set()

    def run_until(
        self, stopping: threading.Event, on_read: Callable[[FlowSnapshot], object]
    ) -> None:
        """Reads the snapshot once and writes it until the event is set.

        Args:
            stopping: Ends the task when set; `write_now` ends its wait.
            on_read: Called with the snapshot of the previous process.
        """
        snapshot = self._snapshots.load()
        while snapshot is None and not stopping.wait(READ_RETRY_SECONDS):
            snapshot = self._snapshots.load()
        if snapshot is not None:
            on_read(snapshot)
        while not stopping.is_set():
            is_urgent = self._is_urgent.wait(UPLOAD_INTERVAL_SECONDS)
            self._is_urgent.clear()
            if not stopping.is_set():
                self._maintain_leave()
                self._snapshots.step(now=self._clock(), is_urgent=is_urgent)
