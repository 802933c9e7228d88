"""Limits the byte rate of handover messages. No I/O, no clock."""

from __future__ import annotations


# A message may be sent while the level is above zero, and its size is subtracted even
# if the level falls below zero, so messages larger than the burst can be sent. The
# burst covers what an agent sends while a whole service starts, so that claims of a
# starting service complete without waiting.
BURST_SECONDS = 8.0


class ByteBudget:
    """A token bucket of bytes.

    When a member leaves or a rack returns, each agent sends lists to each peer at once.
    Without the limit these crowd out heartbeats and membership updates, which share the
    control budget of 21 KB/s per node. The burst covers a planned change of a few
    thousand flows without a delay.
    """

    def __init__(
        self, *, bytes_per_second: float, burst_seconds: float = BURST_SECONDS
    ) -> None:
        """Initializes a full bucket.

        Args:
            bytes_per_second: Refill rate, bytes per second.
            burst_seconds: Capacity of the bucket, as seconds of that rate.
        """
        self._rate = float(bytes_per_second)
        self._capacity = self._rate * burst_seconds
        self._level = self._capacity
        self._refilled_at: float | None = None

    def delay_before_send(self, *, now: float) -> float:
        """Returns the delay before the next message may be sent.

        Args:
            now: Clock reading, seconds.

        Returns:
            The delay, seconds; 0 if a message may be sent now.
        """
        self._refill(now)
        if self._level > 0:
            return 0.0
        return -self._level / self._rate + 1.0 / self._rate

    def consume(self, size: int, *, now: float) -> None:
        """Subtracts the size of a sent message.

        Args:
            size: Number of bytes sent.
            now: Clock reading, seconds.
        """
        self._refill(now)
        self._level -= size

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            refilled = (now - self._refilled_at) * self._rate
            self._level = min(self._capacity, self._level + refilled)
        self._refilled_at = now
