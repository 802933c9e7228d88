"""HTTP server for messages between processes, with one task per connection."""

from __future__ import annotations

import socket
from collections.abc import Callable
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler
from http.server import HTTPServer
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias

from attrs import frozen

from siskinshift.control.codec import MAX_MESSAGE_SIZE
from siskinshift.control.codec import compress_body
from siskinshift.control.codec import decode_message
from siskinshift.control.codec import decompress_body
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.signatures import sign_reply
from siskinshift.control.signatures import verify_message
from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError
from siskinshift.messages.control import ErrorReply


if TYPE_CHECKING:
    from concurrent.futures import Executor

    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint


AUTHENTICATOR_HEADER = "X-Siskinshift-Authenticator"
ENCODING_HEADER = "Content-Encoding"
IDLE_TIMEOUT_SECONDS = 15.0

MessageHandler: TypeAlias = Callable[[Any], object]


@frozen
class _Route:
    message_type: type
    handler: MessageHandler


class ControlRoutes:
    """Registry of message handlers by URL path."""

    def __init__(self) -> None:
        self._routes_by_path: dict[str, _Route] = {}

    def route(
        self, path: str, message_type: type
    ) -> Callable[[MessageHandler], MessageHandler]:
        """Returns a decorator that registers a handler.

        Args:
            path: URL path.
            message_type: Generated class of the messages that it handles.

        Returns:
            The decorator.
        """

        def register(handler: MessageHandler) -> MessageHandler:
            self._routes_by_path[path] = _Route(message_type, handler)
            return handler

        return register

    def find(self, path: str) -> _Route | None:
        """Looks up the handler of a path.

        Args:
            path: URL path.

        Returns:
            The route, or None for an unknown path.
        """
        return self._routes_by_path.get(path)


@frozen
class ControlResponse:
    """Response to the sender of a message.

    Attributes:
        status: HTTP status code.
        body: Body as sent.
        encoding: Content encoding of the body; "" for none.
    """

    status: int
    body: bytes = b""
    encoding: str = ""


def _error_response(kind: ErrorKind, detail: str) -> ControlResponse:
    body = encode_message(ErrorReply(error=kind.value, detail=detail))
    return ControlResponse(ERROR_RESPONSES_BY_KIND[kind].http_status, body)


class _ControlHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = IDLE_TIMEOUT_SECONDS
    disable_nagle_algorithm = True
    # Buffers responses, so that head and body are sent in one segment.
    wbufsize = -1
    server: ControlServer

    def do_POST(self) -> None:
        size = self._content_length()
        if size is None:
            self.close_connection = True
            self._send(_error_response(ErrorKind.TOO_LARGE, "content length"), "")
            return
        body = self.rfile.read(size)
        if len(body) < size:
            self.close_connection = True
            return
        signature = self.headers.get(AUTHENTICATOR_HEADER, "")
        encoding = self.headers.get(ENCODING_HEADER, "")
        response = self.server.handle_message(
            self.path, body, signature, encoding=encoding
        )
        self._send(response, signature)

    def _content_length(self) -> int | None:
        try:
            size = int(self.headers.get("Content-Length", "0"))
        except ValueError:
            return None
        return size if 0 <= size <= MAX_MESSAGE_SIZE else None

    def _send(self, response: ControlResponse, signature: str) -> None:
        # Without Server and Date, which would be a third of a heartbeat's response.
        self.send_response_only(response.status)
        self.send_header("Content-Length", str(len(response.body)))
        if response.encoding:
            self.send_header(ENCODING_HEADER, response.encoding)
        self.send_header(
            AUTHENTICATOR_HEADER, self.server.sign_reply(signature, response.body)
        )
        self.end_headers()
        self.wfile.write(response.body)
        self.wfile.flush()

    def log_message(self, format: str, *args: object) -> None:
        """Disables the access log of the library; metrics count the messages."""


class ControlServer(HTTPServer):
    """Serves the registered routes to authenticated peers."""

    request_queue_size = 256
    allow_reuse_address = True

    def __init__(
        self,
        *,
        endpoint: Endpoint,
        routes: ControlRoutes,
        key_ring: KeyRing,
        executor: Executor,
    ) -> None:
        """Binds the server.

        Args:
            endpoint: Endpoint to listen at; port 0 selects a free port.
            routes: Handlers by path.
            key_ring: Keys that verify messages and sign replies.
            executor: Runs one task per connection.
        """
        self._routes = routes
        self._key_ring = key_ring
        self._executor = executor
        self._connections: set[socket.socket] = set()
        super().__init__((endpoint.host, endpoint.port), _ControlHandler)

    def process_request(
        self, request: socket.socket | tuple[bytes, socket.socket], client_address: Any
    ) -> None:
        """Serves a connection in a task of its own."""
        assert isinstance(request, socket.socket)
        self._connections.add(request)
        self._executor.submit(self._serve_connection, request, client_address)

    def _serve_connection(self, connection: socket.socket, address: Any) -> None:
        try:
            self.finish_request(connection, address)
        except OSError:
            pass  # The peer disconnected; it reconnects for the next message.
        finally:
            self._connections.discard(connection)
            self.shutdown_request(connection)

    def close_connections(self) -> None:
        """Closes the connections that peers keep open."""
        for connection in tuple(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def handle_message(
        self, path: str, body: bytes, signature: str, *, encoding: str = ""
    ) -> ControlResponse:
        """Handles one message; never raises, whatever arrives.

        Args:
            path: URL path.
            body: Body as received.
            signature: Value of the authenticator header.
            encoding: Content encoding of the body.

        Returns:
            The response.
        """
        if not verify_message(self._key_ring, path, body, signature):
            return _error_response(ErrorKind.UNAUTHENTICATED, "authenticator")
        route = self._routes.find(path)
        if route is None:
            return _error_response(ErrorKind.NOT_FOUND, "path")
        try:
            message: object = decode_message(
                decompress_body(body, encoding), route.message_type
            )
        except BadMessageError as error:
            return _error_response(ErrorKind.BAD_MESSAGE, str(error))
        try:
            reply = route.handler(message)
        except SiskinshiftError as error:
            return _error_response(error.kind, str(error))
        except Exception as error:
            # An error in a handler must not end the task of the connection, since the
            # sender would treat this process as unreachable. It gets a typed error.
            return _error_response(ErrorKind.INTERNAL, type(error).__name__)
        return ControlResponse(HTTPStatus.OK, *compress_body(encode_message(reply)))

    def sign_reply(self, signature: str, body: bytes) -> str:
        """Signs a response together with the signature of its message.

        Args:
            signature: Signature of the message.
            body: Body as sent.

        Returns:
            Value of the authenticator header.
        """
        return sign_reply(self._key_ring, signature, body)
