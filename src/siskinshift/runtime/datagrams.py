"""UDP socket that passes received datagrams to a handler, one at a time."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from siskinshift.messages.core import Endpoint
from siskinshift.observability.logs import ComponentLog


if TYPE_CHECKING:
    import threading
    from collections.abc import Callable


MAX_DATAGRAM_SIZE = 65535
RECEIVE_BUFFER_BYTES = 4 << 20
POLL_INTERVAL_SECONDS = 0.2

_log = ComponentLog("datagrams")


class DatagramSocket:
    """A UDP socket with a receive loop; sending is thread-safe.

    Attributes:
        failures: Number of datagrams whose handler raised an error.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        """Binds the socket.

        Args:
            endpoint: Endpoint to bind to; port 0 selects a free port.
        """
        self.failures = 0
        family = socket.AF_INET6 if ":" in endpoint.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((endpoint.host, endpoint.port))
        self._socket.settimeout(POLL_INTERVAL_SECONDS)

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint that the socket is bound to."""
        host, port = self._socket.getsockname()[:2]
        return Endpoint(host, port)

    def receive_until(
        self,
        stopping: threading.Event,
        handle: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        """Passes each datagram and its source to a handler.

        Args:
            stopping: Ends the loop when set.
            handle: Handler of datagrams.
        """
        while not stopping.is_set():
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_SIZE)
            except TimeoutError:
                continue
            except OSError:
                # A closed peer port on loopback causes an error on receive.
                if self._socket.fileno() < 0:
                    return
                continue
            try:
                handle(datagram, source[:2])
            except Exception as error:
                # One bad datagram must not end the loop: the process would seem alive
                # while all of its flows are stopped.
                self.failures += 1
                _log.repeated("handler", "A handler failed.", error=repr(error))

    def send(self, datagram: bytes, endpoint: Endpoint) -> None:
        """Sends a datagram; one that can't be sent is dropped like a lost one.

        Args:
            datagram: Datagram to send.
            endpoint: Destination.
        """
        try:
            self._socket.sendto(datagram, (endpoint.host, endpoint.port))
        except OSError:
            return

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
