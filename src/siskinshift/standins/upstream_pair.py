"""Stand-in for an upstream that serves requests and datagrams on one port number."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.standins.http_upstream import HttpUpstreamStandIn
from siskinshift.standins.upstream import DatagramUpstreamStandIn


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


TRIES = 20


class UpstreamStandIn:
    """Both halves of one upstream.

    Attributes:
        name: Name that goes into each answer.
        http: HTTP/1.1 over TCP.
        datagram: UDP.
    """

    def __init__(self, *, name: str, endpoint: Endpoint, slots: int) -> None:
        """Binds both sockets.

        Args:
            name: Name that goes into each answer.
            endpoint: Where to listen; port 0 takes one that is free for both.
            slots: Requests that run at once.
        """
        self.name = name
        self.http, self.datagram = _bind(name, endpoint, slots)

    @property
    def endpoint(self) -> Endpoint:
        """Where both listen."""
        return self.http.endpoint

    def start(self) -> None:
        """Starts to answer."""
        self.http.start()
        self.datagram.start()

    def stop(self) -> None:
        """Stops at once, as when the instance dies."""
        self.http.stop()
        self.datagram.stop()


def _bind(
    name: str, endpoint: Endpoint, slots: int
) -> tuple[HttpUpstreamStandIn, DatagramUpstreamStandIn]:
    for _ in range(TRIES):
        http = HttpUpstreamStandIn(name=name, endpoint=endpoint, slots=slots)
        try:
            datagram = DatagramUpstreamStandIn(name=name, endpoint=http.endpoint)
        except OSError:
            # Another socket has the UDP port of that number.
            http.close()
            continue
        return http, datagram
    raise OSError("no port is free for both TCP and UDP")
