"""HTTP client for messages between processes; one kept connection a peer."""

from __future__ import annotations

import http.client
import socket
import threading
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import TypeVar

from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.control.server import AUTHENTICATOR_HEADER
from siskinshift.control.server import signed_text


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint


ReplyT = TypeVar("ReplyT")


class ControlClient:
    """Sends messages to one peer; safe to share between threads."""

    def __init__(
        self, *, endpoint: Endpoint, key_ring: KeyRing, timeout: float
    ) -> None:
        """Prepares a client; connects on first use.

        Args:
            endpoint: The peer's control endpoint.
            key_ring: Keys of the deployment.
            timeout: Seconds allowed for each step on the socket.
        """
        self._endpoint = endpoint
        self._key_ring = key_ring
        self._timeout = timeout
        self._lock = threading.Lock()
        self._connection: http.client.HTTPConnection | None = None

    def call(self, path: str, message: object, reply_type: type[ReplyT]) -> ReplyT:
        """Sends a message and waits for the reply.

        Args:
            path: Path of the handler.
            message: An instance of a generated class.
            reply_type: Generated class of the reply.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No good answer came in time.
            BadMessageError: The answer can't be read.
        """
        body = encode_message(message)
        signature = self._key_ring.sign(signed_text(path, body)).hex()
        headers = {AUTHENTICATOR_HEADER: signature, "Content-Type": "application/json"}
        with self._lock:
            status, answer = self._exchange(path, body, headers)
        if status != HTTPStatus.OK:
            raise PeerUnreachableError(f"{self._endpoint.host}: status {status}")
        return decode_message(answer, reply_type)

    def close(self) -> None:
        """Closes the kept connection."""
        with self._lock:
            self._drop_connection()

    def _exchange(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        kept = self._connection is not None
        try:
            return self._exchange_once(path, body, headers)
        except (OSError, http.client.HTTPException) as error:
            self._drop_connection()
            if not kept:
                raise PeerUnreachableError(str(error)) from error
        # The peer may have closed a kept connection while it was idle.
        try:
            return self._exchange_once(path, body, headers)
        except (OSError, http.client.HTTPException) as error:
            self._drop_connection()
            raise PeerUnreachableError(str(error)) from error

    def _exchange_once(
        self, path: str, body: bytes, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        if self._connection is None:
            self._connection = http.client.HTTPConnection(
                self._endpoint.host, self._endpoint.port, timeout=self._timeout
            )
            self._connection.connect()
            self._connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._connection.request("POST", path, body=body, headers=headers)
        response = self._connection.getresponse()
        return response.status, response.read()

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
