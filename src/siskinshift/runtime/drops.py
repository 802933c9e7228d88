"""Counts and logs datagrams that a process drops."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.observability.logs import PartLog


if TYPE_CHECKING:
    from siskinshift.core.errors import ErrorKind
    from siskinshift.runtime.counters import Counters


class DropRecorder:
    """Counts each drop by its kind; logs at a bounded rate.

    A forged or misrouted datagram comes seldom alone: without the bound, who sends
    them would also fill the log and take the processor from the flows.
    """

    def __init__(self, *, part: str, counters: Counters) -> None:
        """Prepares a recorder.

        Args:
            part: Prefix of the log's sentences.
            counters: Counters of the process.
        """
        self._counters = counters
        self._log = PartLog(part)

    def record(self, error: ErrorKind, **fields: str | int) -> None:
        """Records a dropped datagram.

        Args:
            error: Why.
            fields: What helps to find the sender.
        """
        self._counters.add(f"dropped.{error.value}")
        self._log.repeated(
            error.value, "Dropped a datagram.", kind=error.value, **fields
        )
