"""Computes from the rate of a link how much of what was sent still waits in it."""

from __future__ import annotations


class LinkPace:
    """A virtual clock of the link.

    It does not adapt its rate: a balancer sees no acknowledgements, and a loss on its
    link cannot be told from one elsewhere.
    """

    def __init__(self, bytes_per_second: float) -> None:
        """Initializes an idle link.

        Args:
            bytes_per_second: Rate at which datagrams are sent.
        """
        self._seconds_per_byte = 1.0 / bytes_per_second
        self._busy_until = float("-inf")

    def room_at(self, size: int, *, horizon: float) -> float:
        """Returns when a datagram fits into the link's queue.

        Args:
            size: Bytes on the link.
            horizon: Longest queue with this datagram, seconds; a datagram that takes
                longer by itself is sent when the link is idle.

        Returns:
            Clock reading, seconds.
        """
        return self._busy_until + min(0.0, size * self._seconds_per_byte - horizon)

    def try_consume(self, size: int, *, horizon: float, now: float) -> float | None:
        """Accounts for a datagram if the link has room for it now.

        Args:
            size: Bytes on the link.
            horizon: See `room_at`.
            now: Clock reading, seconds.

        Returns:
            When the link will have sent it, seconds; None if it has no room.
        """
        duration = size * self._seconds_per_byte
        busy_until = self._busy_until
        if busy_until <= now:
            self._busy_until = now + duration
        elif busy_until + duration - horizon <= now:
            self._busy_until = busy_until + duration
        else:
            return None
        return self._busy_until

    def consume(self, size: int, *, now: float) -> float:
        """Accounts for a datagram that is sent now.

        Args:
            size: Bytes on the link.
            now: Clock reading, seconds.

        Returns:
            When the link will have sent it: clock reading, seconds.
        """
        start = max(self._busy_until, now)
        self._busy_until = start + size * self._seconds_per_byte
        return self._busy_until

    def limit_queue(self, seconds: float, *, now: float) -> None:
        """Limits the computed queue after datagrams that were sent unpaced.

        Args:
            seconds: Longest queue that the link holds; it drops the rest.
            now: Clock reading, seconds.
        """
        self._busy_until = min(self._busy_until, now + seconds)
