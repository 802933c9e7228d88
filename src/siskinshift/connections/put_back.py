"""When a node puts back what a restored store has lost.

All nodes notice a restore within seconds of each other. Each waits for a random part of
a time that grows with the number of nodes, so that all together stay within the limit
of writes: first for its own entry, then for its snapshot of flows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from siskinshift.observability.event_log import EventLog


# Write calls a second that all nodes together may make for this, of the 1,200 that the
# store allows; the rest is left for renewals and other writes.
WRITES_PER_SECOND = 800.0
# A lease and the entry itself.
WRITES_PER_NODE = 2
# Agents know balancers alone; a fleet has up to 5,800 agents for 810 balancers.
AGENTS_PER_BALANCER = 8
MIN_SPREAD_SECONDS = 1.0


def spread_seconds(balancers: int) -> float:
    """Returns the time over which all nodes put back one entry each.

    Args:
        balancers: Number of known balancers.

    Returns:
        Seconds.
    """
    nodes = 1 + balancers * (1 + AGENTS_PER_BALANCER)
    return max(MIN_SPREAD_SECONDS, nodes * WRITES_PER_NODE / WRITES_PER_SECOND)


class PutBack:
    """Tracks the generation of the store that holds one of the node's entries."""

    def __init__(
        self,
        subject: str,
        *,
        order: int,
        spread: Callable[[], float],
        random: Random,
        log: EventLog,
    ) -> None:
        """Initializes the state before the first response of the store.

        Args:
            subject: What is put back, for the log.
            order: 0 for what is put back first, 1 for what follows.
            spread: Returns the time over which all nodes put it back, seconds.
            random: Source of the delay.
            log: Event log.
        """
        self._subject = subject
        self._order = order
        self._spread = spread
        self._random = random
        self._log = log
        self._noticed_at = 0.0
        self._due_at: float | None = None

    def on_restored(self, *, now: float) -> float:
        """Records that the store has lost the entry.

        Args:
            now: Clock reading, seconds.

        Returns:
            When to put it back, clock reading.
        """
        spread = self._spread()
        self._noticed_at = now
        self._due_at = now + spread * (self._order + self._random.random())
        self._log.fact(
            f"{self._subject} to put back", seconds=round(self._due_at - now, 3)
        )
        return self._due_at

    @property
    def is_pending(self) -> bool:
        """Whether the entry has not been put back yet."""
        return self._due_at is not None

    def remaining(self, *, now: float) -> float:
        """Returns the time until the entry may be put back, seconds.

        Args:
            now: Clock reading, seconds.
        """
        return 0.0 if self._due_at is None else max(0.0, self._due_at - now)

    def on_written(self, *, now: float) -> None:
        """Records that the entry is written.

        Args:
            now: Clock reading, seconds.
        """
        if self._due_at is None:
            return
        self._due_at = None
        seconds = now - self._noticed_at
        # The log counts its events, so the metrics contain the number of entries.
        self._log.fact(f"{self._subject} put back", seconds=round(seconds, 3))
        self._log.metrics.set_gauge("seconds_to_last_put_back", seconds)
