"""Stand-in for an upstream that serves requests and datagrams on one port number."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.standins.http_upstream import HttpUpstreamStandIn
from siskinshift.standins.upstream import DatagramUpstreamStandIn


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


MAX_BIND_ATTEMPTS = 20


class UpstreamStandIn:
    """An upstream with an HTTP server and a UDP socket.

    Attributes:
        name: Name in each response and reply.
        http: Serves HTTP/1.1 over TCP.
        datagram: Replies to datagrams over UDP.
    """

    def __init__(self, *, name: str, endpoint: Endpoint, slots: int) -> None:
        """Binds both sockets.

        Args:
            name: Name in each response and reply.
            endpoint: Endpoint to bind; port 0 chooses a port that is free for both.
            slots: Maximum number of concurrent requests.
        """
        self.name = name
        self.http, self.datagram = _bind(name, endpoint, slots)

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint of both the server and the UDP socket."""
        return self.http.endpoint

    def start(self) -> None:
        """Starts serving requests and datagrams."""
        self.http.start()
        self.datagram.start()

    def stop(self) -> None:
        """Stops without draining, as when the instance crashes."""
        self.http.stop()
        self.datagram.stop()


def _bind(
    name: str, endpoint: Endpoint, slots: int
) -> tuple[HttpUpstreamStandIn, DatagramUpstreamStandIn]:
    for _ in range(MAX_BIND_ATTEMPTS):
        http = HttpUpstreamStandIn(name=name, endpoint=endpoint, slots=slots)
        try:
            datagram = DatagramUpstreamStandIn(name=name, endpoint=http.endpoint)
        except OSError:
            # The UDP port with the same number is in use.
            http.close()
            continue
        return http, datagram
    raise OSError("no port is free for both TCP and UDP")
