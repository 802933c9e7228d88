"""Counts and logs dropped datagrams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.observability.logs import ComponentLog


if TYPE_CHECKING:
    from siskinshift.core.errors import ErrorKind
    from siskinshift.runtime.counters import Counters


class DropRecorder:
    """Counts drops by error kind and logs them at a limited rate.

    Forged or misrouted datagrams often arrive in large numbers. Without the limit,
    their sender could fill the log and use up the processor time of the flows.
    """

    def __init__(self, *, component: str, counters: Counters) -> None:
        """Initializes the recorder.

        Args:
            component: Prefix of the log messages.
            counters: Counters of the process.
        """
        self._counters = counters
        self._log = ComponentLog(component)

    def record(self, error: ErrorKind, **fields: str | int) -> None:
        """Records a dropped datagram.

        Args:
            error: Reason of the drop.
            fields: Log fields that identify the sender.
        """
        self._counters.add(f"dropped.{error.value}")
        self._log.repeated(
            error.value, "Dropped a datagram.", kind=error.value, **fields
        )
