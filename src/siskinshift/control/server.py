"""HTTP server for messages between processes; one task for each connection."""

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

from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.control.exceptions import BadMessageError


if TYPE_CHECKING:
    from concurrent.futures import Executor

    from siskinshift.core.keyring import KeyRing
    from siskinshift.messages.core import Endpoint


AUTHENTICATOR_HEADER = "X-Siskinshift-Authenticator"
MESSAGE_SIZE_MAXIMUM = 4 << 20
IDLE_TIMEOUT_SECONDS = 15.0

MessageHandler: TypeAlias = Callable[[Any], object]


@frozen
class _Route:
    message_type: type
    handler: MessageHandler


class ControlRoutes:
    """Registry of message handlers by path, filled by a decorator."""

    def __init__(self) -> None:
        self._routes_by_path: dict[str, _Route] = {}

    def handles(
        self, path: str, message_type: type
    ) -> Callable[[MessageHandler], MessageHandler]:
        """Registers the decorated function for a path.

        Args:
            path: Path of the URL.
            message_type: Generated class of the message it takes.

        Returns:
            The decorator.
        """

        def register(handler: MessageHandler) -> MessageHandler:
            self._routes_by_path[path] = _Route(message_type, handler)
            return handler

        return register

    def find(self, path: str) -> _Route | None:
        """Finds the handler of a path.

        Args:
            path: Path of the URL.

        Returns:
            The route, or None.
        """
        return self._routes_by_path.get(path)


def signed_text(path: str, body: bytes) -> bytes:
    """Builds the bytes that a message's authenticator covers.

    Args:
        path: Path of the URL.
        body: The JSON.

    Returns:
        The bytes.
    """
    return path.encode() + b"\n" + body


class _ControlHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = IDLE_TIMEOUT_SECONDS
    disable_nagle_algorithm = True
    server: ControlServer

    def do_POST(self) -> None:
        size = int(self.headers.get("Content-Length", "0"))
        if not 0 <= size <= MESSAGE_SIZE_MAXIMUM:
            self.close_connection = True
            self._answer(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, b"")
            return
        body = self.rfile.read(size)
        status, answer = self.server.answer(
            self.path, body, self.headers.get(AUTHENTICATOR_HEADER, "")
        )
        self._answer(status, answer)

    def _answer(self, status: HTTPStatus, body: bytes) -> None:
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        """Keeps the library's access log silent; messages are metered instead."""


class ControlServer(HTTPServer):
    """Serves registered messages to authenticated peers."""

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
            endpoint: Where to listen; port 0 takes a free one.
            routes: Handlers by path.
            key_ring: Keys that peers must hold.
            executor: Runs one task for each connection.
        """
        self._routes = routes
        self._key_ring = key_ring
        self._executor = executor
        self._connections: set[socket.socket] = set()
        super().__init__((endpoint.host, endpoint.port), _ControlHandler)

    def process_request(
        self, request: socket.socket | tuple[bytes, socket.socket], client_address: Any
    ) -> None:
        """Hands a connection to a task of its own."""
        assert isinstance(request, socket.socket)
        self._connections.add(request)
        self._executor.submit(self._serve_connection, request, client_address)

    def _serve_connection(self, connection: socket.socket, address: Any) -> None:
        try:
            self.finish_request(connection, address)
        except OSError:
            pass  # The peer went away; it will ask again on a new connection.
        finally:
            self._connections.discard(connection)
            self.shutdown_request(connection)

    def close_connections(self) -> None:
        """Ends the connections that peers keep open."""
        for connection in tuple(self._connections):
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                continue

    def answer(
        self, path: str, body: bytes, authenticator_text: str
    ) -> tuple[HTTPStatus, bytes]:
        """Answers one message.

        Args:
            path: Path of the URL.
            body: The JSON.
            authenticator_text: Hex digits of the authenticator.

        Returns:
            Status and JSON of the answer.
        """
        try:
            authenticator = bytes.fromhex(authenticator_text)
        except ValueError:
            return HTTPStatus.UNAUTHORIZED, b""
        if not self._key_ring.verifies(signed_text(path, body), authenticator):
            return HTTPStatus.UNAUTHORIZED, b""
        route = self._routes.find(path)
        if route is None:
            return HTTPStatus.NOT_FOUND, b""
        try:
            message: object = decode_message(body, route.message_type)
        except BadMessageError:
            return HTTPStatus.BAD_REQUEST, b""
        return HTTPStatus.OK, encode_message(route.handler(message))
