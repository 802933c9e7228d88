"""HTTP/1.1 connections to the upstream, kept for reuse by repeatable requests."""

from __future__ import annotations

import http.client
import select
import socket
import threading
from typing import TYPE_CHECKING

from siskinshift.agent.exceptions import UpstreamUnreachableError


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


KEPT_MAXIMUM = 16


class UpstreamConnections:
    """Opens connections and keeps a few idle ones."""

    def __init__(self, upstream: Endpoint) -> None:
        self._upstream = upstream
        self._lock = threading.Lock()
        self._kept: list[http.client.HTTPConnection] = []

    def open(self, *, timeout: float) -> http.client.HTTPConnection:
        """Connects anew.

        Args:
            timeout: Seconds allowed for each step on the socket.

        Returns:
            A connection on which nothing was sent yet.

        Raises:
            UpstreamUnreachableError: The upstream takes no connection.
        """
        connection = http.client.HTTPConnection(
            self._upstream.host, self._upstream.port, timeout=timeout
        )
        try:
            connection.connect()
            connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as error:
            connection.close()
            raise UpstreamUnreachableError(str(error)) from error
        return connection

    def take_kept(self, *, timeout: float) -> http.client.HTTPConnection | None:
        """Takes a kept connection that does not look dead.

        It may be dead all the same: between this look and the upstream's time-out
        no lock holds. So only repeatable requests may use it.

        Args:
            timeout: Seconds allowed for each step on the socket.

        Returns:
            The connection, or None.
        """
        while True:
            with self._lock:
                if not self._kept:
                    return None
                connection = self._kept.pop()
            if not _looks_dead(connection):
                connection.sock.settimeout(timeout)
                return connection
            connection.close()

    def keep(self, connection: http.client.HTTPConnection) -> None:
        """Keeps a connection whose last answer was read to its end.

        Args:
            connection: The connection.
        """
        with self._lock:
            if len(self._kept) < KEPT_MAXIMUM and connection.sock is not None:
                self._kept.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Closes all kept connections."""
        with self._lock:
            kept, self._kept = self._kept, []
        for connection in kept:
            connection.close()


def _looks_dead(connection: http.client.HTTPConnection) -> bool:
    # An idle connection with something to read was closed, or speaks out of turn.
    if connection.sock is None:
        return True
    # poll, because select refuses descriptors from 1024 on and an agent has more.
    poll = select.poll()
    try:
        poll.register(connection.sock, select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True
