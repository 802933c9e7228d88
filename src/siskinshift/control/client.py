"""HTTP client for messages between processes; one kept connection a peer."""

from __future__ import annotations

import http.client
import socket
import threading
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import TypeVar

from attrs import frozen

from siskinshift.control.codec import MESSAGE_SIZE_MAXIMUM
from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.control.codec import pack
from siskinshift.control.codec import unpack
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.control.server import AUTHENTICATOR_HEADER
from siskinshift.control.server import ENCODING_HEADER
from siskinshift.control.signatures import sign_message
from siskinshift.control.signatures import verifies_reply
from siskinshift.messages.control import ErrorReply


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint


ReplyT = TypeVar("ReplyT")


@frozen
class _Answer:
    status: int
    body: bytes
    signature: str
    encoding: str


def _told(answer: _Answer) -> str:
    try:
        refusal = decode_message(answer.body, ErrorReply)
    except BadMessageError:
        return f"status {answer.status}"
    return f"{refusal.error}: {refusal.detail}"


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
        body, encoding = pack(encode_message(message))
        signature = sign_message(self._key_ring, path, body)
        with self._lock:
            answer = self._exchange(path, body, signature, encoding)
        if not verifies_reply(self._key_ring, signature, answer.body, answer.signature):
            raise PeerUnreachableError(f"{self._endpoint.host}: unsigned answer")
        if answer.status != HTTPStatus.OK:
            raise PeerUnreachableError(f"{self._endpoint.host}: {_told(answer)}")
        return decode_message(unpack(answer.body, answer.encoding), reply_type)

    def close(self) -> None:
        """Closes the kept connection."""
        with self._lock:
            self._drop_connection()

    def _exchange(
        self, path: str, body: bytes, signature: str, encoding: str
    ) -> _Answer:
        kept = self._connection is not None
        try:
            return self._exchange_once(path, body, signature, encoding)
        except TimeoutError as error:
            # The time allowed is spent: no second try within one call.
            self._drop_connection()
            raise PeerUnreachableError(str(error)) from error
        except (OSError, http.client.HTTPException) as error:
            self._drop_connection()
            if not kept:
                raise PeerUnreachableError(str(error)) from error
        # The peer may have closed a kept connection while it was idle.
        try:
            return self._exchange_once(path, body, signature, encoding)
        except (OSError, http.client.HTTPException) as error:
            self._drop_connection()
            raise PeerUnreachableError(str(error)) from error

    def _exchange_once(
        self, path: str, body: bytes, signature: str, encoding: str
    ) -> _Answer:
        connection = self._connection or self._connect()
        connection.putrequest("POST", path, skip_accept_encoding=True)
        connection.putheader("Content-Length", str(len(body)))
        connection.putheader(AUTHENTICATOR_HEADER, signature)
        if encoding:
            connection.putheader(ENCODING_HEADER, encoding)
        connection.endheaders(body)
        response = connection.getresponse()
        data = response.read(MESSAGE_SIZE_MAXIMUM + 1)
        if len(data) > MESSAGE_SIZE_MAXIMUM:
            raise http.client.HTTPException("answer too long")
        return _Answer(
            status=response.status,
            body=data,
            signature=response.getheader(AUTHENTICATOR_HEADER, ""),
            encoding=response.getheader(ENCODING_HEADER, ""),
        )

    def _connect(self) -> http.client.HTTPConnection:
        connection = http.client.HTTPConnection(
            self._endpoint.host, self._endpoint.port, timeout=self._timeout
        )
        self._connection = connection
        connection.connect()
        connection.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _drop_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None
