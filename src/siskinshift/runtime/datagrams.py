"""A UDP socket whose datagrams go to a handler, one after the other."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING

from siskinshift.messages.core import Endpoint
from siskinshift.observability.logs import PartLog


if TYPE_CHECKING:
    import threading
    from collections.abc import Callable


MAX_DATAGRAM_SIZE = 65535
RECEIVE_BUFFER_BYTES = 4 << 20
POLL_SECONDS = 0.2

_log = PartLog("datagrams")


class DatagramSocket:
    """Receives until told to stop; sending is safe from any thread.

    Attributes:
        failures: Datagrams whose handler raised an error.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        """Binds the socket.

        Args:
            endpoint: Where to bind; port 0 takes a free one.
        """
        self.failures = 0
        family = socket.AF_INET6 if ":" in endpoint.host else socket.AF_INET
        self._socket = socket.socket(family, socket.SOCK_DGRAM)
        self._socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
        )
        self._socket.bind((endpoint.host, endpoint.port))
        self._socket.settimeout(POLL_SECONDS)

    @property
    def endpoint(self) -> Endpoint:
        """Where the socket is bound."""
        host, port = self._socket.getsockname()[:2]
        return Endpoint(host, port)

    def receive_until(
        self,
        stopping: threading.Event,
        handle: Callable[[bytes, tuple[str, int]], None],
    ) -> None:
        """Hands each datagram with its source to a handler.

        Args:
            stopping: Ends the loop when set.
            handle: The handler.
        """
        while not stopping.is_set():
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_SIZE)
            except TimeoutError:
                continue
            except OSError:
                # A closed peer port on loopback shows up as an error on receive.
                if self._socket.fileno() < 0:
                    return
                continue
            try:
                handle(datagram, source[:2])
            except Exception as error:
                # Guards against one bad datagram that ends the loop: the process
                # would look alive while all its flows are silent.
                self.failures += 1
                _log.repeated("handler", "A handler failed.", error=repr(error))

    def send(self, datagram: bytes, endpoint: Endpoint) -> None:
        """Sends a datagram; one that can't be sent counts as lost on the way.

        Args:
            datagram: The bytes.
            endpoint: Where to.
        """
        try:
            self._socket.sendto(datagram, (endpoint.host, endpoint.port))
        except OSError:
            return

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()
