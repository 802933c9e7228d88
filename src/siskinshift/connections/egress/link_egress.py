"""Sends datagrams as the scheduler decides, with the clock and socket of the node."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.connections.egress.scheduler import EgressScheduler


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.connections.actions import ToPeer
    from siskinshift.connections.egress.accounts import EgressAccounts
    from siskinshift.connections.node_settings import NodeSettings
    from siskinshift.core.clocks import Clock


# Longest time for which a terminating process sends queued packets at the rate of the
# link; the rest is then sent at once. 0.8 s remain until the process is killed.
MAX_FLUSH_SECONDS = 0.3


class LinkEgress:
    """The scheduled link of one node."""

    def __init__(
        self,
        settings: NodeSettings,
        *,
        transmit: Callable[[bytes, tuple[str, int]], None],
        clock: Clock,
        accounts: EgressAccounts,
    ) -> None:
        """Initializes an idle link.

        Args:
            settings: Settings of the node.
            transmit: Sends a datagram to an address.
            clock: Clock of the process.
            accounts: Counts and logs what is sent and dropped.
        """
        self._transmit = transmit
        self._clock = clock
        self._accounts = accounts
        self._scheduler = EgressScheduler(
            link_bytes_per_second=settings.link_bytes_per_second,
            min_bulk_fraction=settings.policies.min_bulk_fraction,
            accounts=self._accounts,
        )

    @property
    def is_empty(self) -> bool:
        """Whether no packet waits."""
        return not self._scheduler

    @property
    def waiting_bytes(self) -> int:
        """Bytes on the link of all waiting packets."""
        return self._scheduler.waiting_bytes

    def send(self, action: ToPeer) -> None:
        """Sends a datagram now or when the link has room.

        Args:
            action: The datagram.
        """
        now = self._clock()
        if self._scheduler.offer(action, now=now):
            self._transmit(action.datagram, action.address)
        elif now >= self._scheduler.next_due:
            self.run(now)

    def run(self, now: float) -> float:
        """Sends the waiting packets for which the link has room.

        Args:
            now: Clock reading, seconds.

        Returns:
            When it is due next: clock reading, seconds.
        """
        if now >= self._scheduler.next_due:
            for action in self._scheduler.release(now=now):
                self._transmit(action.datagram, action.address)
        log_at = self._accounts.next_log_at
        if now >= log_at:
            self._accounts.log_due_drops(waiting_bytes=self.waiting_bytes, now=now)
            log_at = self._accounts.next_log_at
        return min(self._scheduler.next_due, log_at)

    def finish(self) -> None:
        """Logs the last drops at the end of the scheduling."""
        self._accounts.log_due_drops(
            waiting_bytes=self.waiting_bytes, now=self._clock(), is_final=True
        )

    def flush(self, sleep: Callable[[float], object]) -> None:
        """Sends all waiting packets before the process ends.

        Args:
            sleep: Waits for a number of seconds.
        """
        deadline = self._clock() + MAX_FLUSH_SECONDS
        while (now := self._clock()) < deadline:
            due = self.run(now)
            if self.is_empty:
                break
            sleep(max(0.0, min(due, deadline) - now))
        for action in self._scheduler.drain(now=self._clock()):
            self._transmit(action.datagram, action.address)
        self.finish()
