"""HTTP client for messages between processes; keeps one connection per peer."""

from __future__ import annotations

import http.client
import socket
import threading
from http import HTTPStatus
from typing import TYPE_CHECKING
from typing import TypeVar

from attrs import frozen

from siskinshift.control.codec import MAX_MESSAGE_SIZE
from siskinshift.control.codec import compress_body
from siskinshift.control.codec import decode_message
from siskinshift.control.codec import decompress_body
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.exceptions import PeerUnreachableError
from siskinshift.control.server import AUTHENTICATOR_HEADER
from siskinshift.control.server import ENCODING_HEADER
from siskinshift.control.signatures import sign_message
from siskinshift.control.signatures import verify_reply
from siskinshift.messages.control import ErrorReply


if TYPE_CHECKING:
    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint


ReplyT = TypeVar("ReplyT")


@frozen
class _Response:
    status: int
    body: bytes
    signature: str
    encoding: str


def _error_text(response: _Response) -> str:
    try:
        error = decode_message(response.body, ErrorReply)
    except BadMessageError:
        return f"status {response.status}"
    return f"{error.error}: {error.detail}"


class ControlClient:
    """Sends messages to one peer; thread-safe."""

    def __init__(
        self, *, endpoint: Endpoint, key_ring: KeyRing, timeout: float
    ) -> None:
        """Initializes the client; the first call connects.

        Args:
            endpoint: The peer's control endpoint.
            key_ring: Keys of the deployment.
            timeout: Timeout of each socket operation, seconds.
        """
        self._endpoint = endpoint
        self._key_ring = key_ring
        self._timeout = timeout
        self._lock = threading.Lock()
        self._connection: http.client.HTTPConnection | None = None

    def call(self, path: str, message: object, reply_type: type[ReplyT]) -> ReplyT:
        """Sends a message and waits for the reply.

        Args:
            path: URL path of the handler.
            message: An instance of a generated class.
            reply_type: Generated class of the reply.

        Returns:
            The reply.

        Raises:
            PeerUnreachableError: No valid reply arrived in time.
            BadMessageError: The reply can't be decoded.
        """
        body, encoding = compress_body(encode_message(message))
        signature = sign_message(self._key_ring, path, body)
        with self._lock:
            response = self._exchange(path, body, signature, encoding)
        if not verify_reply(
            self._key_ring, signature, response.body, response.signature
        ):
            raise PeerUnreachableError(f"{self._endpoint.host}: unsigned reply")
        if response.status != HTTPStatus.OK:
            raise PeerUnreachableError(
                f"{self._endpoint.host}: {_error_text(response)}"
            )
        return decode_message(
            decompress_body(response.body, response.encoding), reply_type
        )

    def close(self) -> None:
        """Closes the connection."""
        with self._lock:
            self._drop_connection()

    def _exchange(
        self, path: str, body: bytes, signature: str, encoding: str
    ) -> _Response:
        is_reused = self._connection is not None
        try:
            return self._exchange_once(path, body, signature, encoding)
        except TimeoutError as error:
            # The timeout has elapsed: no second attempt within one call.
            self._drop_connection()
            raise PeerUnreachableError(str(error)) from error
        except (OSError, http.client.HTTPException) as error:
            self._drop_connection()
            if not is_reused:
                raise PeerUnreachableError(str(error)) from error
        # The peer may have closed the connection while it was idle.
        try:
            return self._exchange_once(path, body, signature, encoding)
        except (OSError, http.client.HTTPException) as error:
            self._drop_connection()
            raise PeerUnreachableError(str(error)) from error

    def _exchange_once(
        self, path: str, body: bytes, signature: str, encoding: str
    ) -> _Response:
        connection = self._connection or self._connect()
        connection.putrequest("POST", path, skip_accept_encoding=True)
        connection.putheader("Content-Length", str(len(body)))
        connection.putheader(AUTHENTICATOR_HEADER, signature)
        if encoding:
            connection.putheader(ENCODING_HEADER, encoding)
        connection.endheaders(body)
        response = connection.getresponse()
        data = response.read(MAX_MESSAGE_SIZE + 1)
        if len(data) > MAX_MESSAGE_SIZE:
            raise http.client.HTTPException("response too long")
        return _Response(
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
