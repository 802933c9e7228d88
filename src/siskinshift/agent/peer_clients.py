"""Pools control connections to peers, one for each message in flight."""

from __future__ import annotations

import threading
from typing import TYPE_CHECKING
from typing import TypeVar

from siskinshift.control.client import ControlClient


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint


ReplyT = TypeVar("ReplyT")

MAX_IDLE_CLIENTS_PER_PEER = 4


class PeerClients:
    """Pool of control clients, keyed by the peer's endpoint.

    A control client carries one message at a time, and a slot reservation may wait for
    1 s. With a single client the messages to a peer would block each other.
    """

    def __init__(self, *, key_ring: KeyRing, timeout: float) -> None:
        """Initializes an empty pool.

        Args:
            key_ring: Keys of the deployment.
            timeout: Timeout of each socket operation, seconds.
        """
        self._key_ring = key_ring
        self._timeout = timeout
        self._lock = threading.Lock()
        self._idle_by_endpoint: dict[Endpoint, list[ControlClient]] = {}

    def call(
        self, endpoint: Endpoint, path: str, message: object, reply_type: type[ReplyT]
    ) -> ReplyT:
        """Sends a message that may be delivered twice; see `ControlClient.call`.

        Args:
            endpoint: The peer's control endpoint.
            path: Path of the handler.
            message: An instance of a generated class.
            reply_type: Generated class of the reply.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No valid reply was received in time.
            BadMessageError: The reply can't be decoded.
        """
        client = self._claim(endpoint)
        try:
            return client.call(path, message, reply_type)
        finally:
            self._release(endpoint, client)

    def call_once(
        self,
        endpoint: Endpoint,
        path: str,
        message: object,
        reply_type: type[ReplyT],
        *,
        timeout: float,
    ) -> ReplyT:
        """Sends a message at most once, on a new connection.

        A client sends a message again when an idle connection turns out to be broken.
        On a new connection it does not.

        Args:
            endpoint: The peer's control endpoint.
            path: Path of the handler.
            message: An instance of a generated class.
            reply_type: Generated class of the reply.
            timeout: Timeout of each socket operation, seconds.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No valid reply was received in time; the cause is a
                ConnectionRefusedError when nothing was sent.
            BadMessageError: The reply can't be decoded.
        """
        client = ControlClient(
            endpoint=endpoint, key_ring=self._key_ring, timeout=timeout
        )
        try:
            return client.call(path, message, reply_type)
        finally:
            client.close()

    def close(self) -> None:
        """Closes all idle connections."""
        with self._lock:
            idle, self._idle_by_endpoint = self._idle_by_endpoint, {}
        for clients in idle.values():
            for client in clients:
                client.close()

    def _claim(self, endpoint: Endpoint) -> ControlClient:
        with self._lock:
            idle = self._idle_by_endpoint.get(endpoint)
            if idle:
                return idle.pop()
        return ControlClient(
            endpoint=endpoint, key_ring=self._key_ring, timeout=self._timeout
        )

    def _release(self, endpoint: Endpoint, client: ControlClient) -> None:
        with self._lock:
            idle = self._idle_by_endpoint.setdefault(endpoint, [])
            if len(idle) < MAX_IDLE_CLIENTS_PER_PEER:
                idle.append(client)
                return
        client.close()
