"""Pools HTTP/1.1 connections to the upstream for reuse by repeatable requests."""

from __future__ import annotations

import http.client
import select
import socket
import threading
from typing import TYPE_CHECKING

from siskinshift.agent.exceptions import UpstreamUnreachableError


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


MAX_IDLE_CONNECTIONS = 16


class UpstreamConnections:
    """Opens connections and keeps a limited number of idle ones."""

    def __init__(self, upstream: Endpoint) -> None:
        self._upstream = upstream
        self._lock = threading.Lock()
        self._idle_connections: list[http.client.HTTPConnection] = []

    def open(self, *, timeout: float) -> http.client.HTTPConnection:
        """Opens a new connection.

        Args:
            timeout: Timeout of each socket operation, seconds.

        Returns:
            A connection on which nothing was sent.

        Raises:
            UpstreamUnreachableError: The upstream does not accept the connection.
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

    def claim_idle(self, *, timeout: float) -> http.client.HTTPConnection | None:
        """Claims an idle connection that does not appear to be closed.

        The upstream may still close it on its idle timeout after this check, so only
        repeatable requests may use it.

        Args:
            timeout: Timeout of each socket operation, seconds.

        Returns:
            The connection, or None.
        """
        while True:
            with self._lock:
                if not self._idle_connections:
                    return None
                connection = self._idle_connections.pop()
            if not _is_stale(connection):
                connection.sock.settimeout(timeout)
                return connection
            connection.close()

    def release(self, connection: http.client.HTTPConnection) -> None:
        """Returns a connection whose last response was read completely to the pool.

        Args:
            connection: The connection.
        """
        with self._lock:
            if (
                len(self._idle_connections) < MAX_IDLE_CONNECTIONS
                and connection.sock is not None
            ):
                self._idle_connections.append(connection)
                return
        connection.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            idle, self._idle_connections = self._idle_connections, []
        for connection in idle:
            connection.close()


def _is_stale(connection: http.client.HTTPConnection) -> bool:
    # An idle connection with data to read was closed or has sent unsolicited data.
    if connection.sock is None:
        return True
    # poll, because select fails for descriptors from 1024 on and an agent has more.
    poll = select.poll()
    try:
        poll.register(connection.sock, select.POLLIN)
        return bool(poll.poll(0))
    except (OSError, ValueError):
        return True
