"""Callers of services of mode `datagram`: plain UDP sockets."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from siskinshift.messages.core import Endpoint
from siskinshift.standins.upstream import SEPARATOR


if TYPE_CHECKING:
    import threading

    from siskinshift.demo.caller_statistics import CallerStatistics


REPLY_TIMEOUT_SECONDS = 1.0
# Datagrams may be lost while a balancer is down and the fabric still sends to it. A
# flow counts as broken if none of these attempts gets a reply.
MAX_ATTEMPTS = 6
FEED_INTERVAL_SECONDS = 0.8


class DatagramCaller:
    """Sends datagrams on one flow and records which upstreams reply.

    Attributes:
        owners: Upstreams that replied, in the order of their first reply.
        unanswered: Number of exchanges without a reply after all attempts.
        mismatched_replies: Number of replies to a payload of another service.
    """

    def __init__(
        self,
        address: Endpoint,
        *,
        service_id: str = "",
        reply_timeout: float = REPLY_TIMEOUT_SECONDS,
    ) -> None:
        """Opens the socket.

        Args:
            address: Service address to send to.
            service_id: Id of the service, with which each payload begins.
            reply_timeout: Seconds to wait before a payload is sent again.
        """
        self.owners: list[str] = []
        self.unanswered = 0
        self.mismatched_replies = 0
        self._payload_number = 0
        self._prefix = f"{service_id}/" if service_id else ""
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.settimeout(reply_timeout)
        self._socket.connect((address.host, address.port))

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint from which the caller sends."""
        return Endpoint(*self._socket.getsockname())

    def exchange(self, attempts: int = MAX_ATTEMPTS) -> bool:
        """Sends a payload, with retries as UDP callers do, and checks the reply.

        Args:
            attempts: Maximum number of times to send the payload.

        Returns:
            Whether a reply arrived.
        """
        self._payload_number += 1
        payload = f"{self._prefix}question {self._payload_number}".encode()
        for _ in range(attempts):
            self._socket.send(payload)
            if self._receive_reply(payload):
                return True
        self.unanswered += 1
        return False

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _receive_reply(self, payload: bytes) -> bool:
        while True:
            try:
                reply = self._socket.recv(65535)
            except OSError:
                return False
            owner, _, echoed = reply.partition(SEPARATOR)
            if owner.decode() not in self.owners:
                self.owners.append(owner.decode())
            if echoed == payload:
                return True
            if not echoed.startswith(self._prefix.encode()):
                self.mismatched_replies += 1
            # Otherwise it is a late reply to an earlier payload.


class FeedCaller:
    """Subscribes to a feed: one datagram flow for the whole demo."""

    def __init__(self, address: Endpoint, upstream_class: str) -> None:
        """Prepares the caller.

        Args:
            address: Service address.
            upstream_class: Class of the upstreams that may reply; they check it too.
        """
        self._address = address
        self._upstream_class = upstream_class

    def run(self, stopping: threading.Event, statistics: CallerStatistics) -> None:
        """Sends payloads periodically on one flow; opens a new one when it breaks.

        Args:
            stopping: Ends the task when set.
            statistics: Where to record the results.
        """
        caller = self._open(statistics)
        while not stopping.wait(FEED_INTERVAL_SECONDS):
            has_reply = caller.exchange()
            statistics.add("datagrams")
            if has_reply and len(caller.owners) == 1:
                continue
            reason = "owner changed" if has_reply else "feed silent"
            statistics.record_broken_flow(
                caller.owners[0] if caller.owners else "", reason
            )
            self._close(caller, statistics)
            caller = self._open(statistics)
        self._close(caller, statistics)

    def _open(self, statistics: CallerStatistics) -> DatagramCaller:
        statistics.add("flows_opened")
        return DatagramCaller(self._address, service_id=self._upstream_class)

    def _close(self, caller: DatagramCaller, statistics: CallerStatistics) -> None:
        for owner in caller.owners:
            statistics.check_upstream(self._upstream_class, owner)
        statistics.add("answers_wrong", caller.mismatched_replies)
        caller.close()
