"""Control connections to peers, as many as messages are under way at once."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import TypeVar

from siskinshift.control.client import ControlClient


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint


ReplyT = TypeVar("ReplyT")

KEPT_FOR_A_PEER = 4


class PeerClients:
    """Lends control clients.

    A control client carries one message at a time, and a request for a slot may wait
    for a second: without several clients a peer's messages would wait for each other.
    """

    def __init__(self, *, key_ring: KeyRing, timeout: float) -> None:
        """Prepares without any connection.

        Args:
            key_ring: Keys of the deployment.
            timeout: Seconds allowed for each step on the socket.
        """
        self._key_ring = key_ring
        self._timeout = timeout
        self._lock = threading.Lock()
        self._idle_by_endpoint: dict[Endpoint, list[ControlClient]] = {}

    def call(
        self, endpoint: Endpoint, path: str, message: object, reply_type: type[ReplyT]
    ) -> ReplyT:
        """Sends a message that may be sent twice; see `ControlClient.call`.

        Args:
            endpoint: The peer's control endpoint.
            path: Path of the handler.
            message: An instance of a generated class.
            reply_type: Generated class of the reply.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No good answer came in time.
            BadMessageError: The answer can't be read.
        """
        client = self._take(endpoint)
        try:
            return client.call(path, message, reply_type)
        finally:
            self._keep(endpoint, client)

    def call_once(
        self,
        endpoint: Endpoint,
        path: str,
        message: object,
        reply_type: type[ReplyT],
        *,
        timeout: float,
    ) -> ReplyT:
        """Sends a message on a connection of its own.

        Guards against the second try that a client makes when a kept connection
        broke: on a new connection there is none, so the message leaves once.

        Args:
            endpoint: The peer's control endpoint.
            path: Path of the handler.
            message: An instance of a generated class.
            reply_type: Generated class of the reply.
            timeout: Seconds allowed for each step on the socket.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No good answer came in time; the cause is a
                ConnectionRefusedError when nothing was sent.
            BadMessageError: The answer can't be read.
        """
        client = ControlClient(
            endpoint=endpoint, key_ring=self._key_ring, timeout=timeout
        )
        try:
            return client.call(path, message, reply_type)
        finally:
            client.close()

    def close(self) -> None:
        """Closes all kept connections."""
        with self._lock:
            idle, self._idle_by_endpoint = self._idle_by_endpoint, {}
        for clients in idle.values():
            for client in clients:
                client.close()

    def _take(self, endpoint: Endpoint) -> ControlClient:
        with self._lock:
            idle = self._idle_by_endpoint.get(endpoint)
            if idle:
                return idle.pop()
        return ControlClient(
            endpoint=endpoint, key_ring=self._key_ring, timeout=self._timeout
        )

    def _keep(self, endpoint: Endpoint, client: ControlClient) -> None:
        with self._lock:
            idle = self._idle_by_endpoint.setdefault(endpoint, [])
            if len(idle) < KEPT_FOR_A_PEER:
                idle.append(client)
                return
        client.close()
