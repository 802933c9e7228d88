"""Stand-in for an upstream of mode `datagram`: replies with its own name."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

from siskinshift.runtime.datagrams import DatagramSocket


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


SEPARATOR = b"|"
# A caller may prefix its payload with the service id and this separator.
SERVICE_SEPARATOR = b"/"


class DatagramUpstreamStandIn:
    """Replies to each datagram with "name|payload".

    Attributes:
        received: Datagrams received so far.
        misdelivered: Datagrams that were meant for another service.
    """

    def __init__(self, *, name: str, endpoint: Endpoint) -> None:
        """Binds the socket.

        Args:
            name: Name in each reply.
            endpoint: Endpoint to bind.
        """
        self.received = 0
        self.misdelivered = 0
        self._name = name.encode()
        self._stopping = threading.Event()
        self._socket = DatagramSocket(endpoint)
        self._executor = ThreadPoolExecutor(1, name)

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint on which it receives datagrams."""
        return self._socket.endpoint

    def start(self) -> None:
        """Starts replying to datagrams."""
        self._executor.submit(
            self._socket.receive_until, self._stopping, self._on_datagram
        )

    def stop(self) -> None:
        """Stops and closes the socket."""
        self._stopping.set()
        self._executor.shutdown(wait=True)
        self._socket.close()

    def _on_datagram(self, datagram: bytes, source: tuple[str, int]) -> None:
        self.received += 1
        service_id, has_service, _ = datagram.partition(SERVICE_SEPARATOR)
        if has_service and not self._name.startswith(service_id):
            self.misdelivered += 1
        host, port = source
        reply = self._name + SEPARATOR + datagram
        self._socket.send(reply, type(self.endpoint)(host, port))
