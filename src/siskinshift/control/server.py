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

from siskinshift.control.codec import MESSAGE_SIZE_MAXIMUM
from siskinshift.control.codec import decode_message
from siskinshift.control.codec import encode_message
from siskinshift.control.codec import pack
from siskinshift.control.codec import unpack
from siskinshift.control.exceptions import BadMessageError
from siskinshift.control.signatures import sign_reply
from siskinshift.control.signatures import verifies_message
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
    """Registry of message handlers by path, filled by a decorator."""

    def __init__(self) -> None:
        self._routes_by_path: dict[str, _Route] = {}

    def route(
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


@frozen
class ControlAnswer:
    """What goes back to the sender of a message.

    Attributes:
        status: HTTP status.
        body: Body as it is sent.
        encoding: Its content encoding, "" for none.
    """

    status: int
    body: bytes = b""
    encoding: str = ""


def _refusal(kind: ErrorKind, detail: str) -> ControlAnswer:
    body = encode_message(ErrorReply(error=kind.value, detail=detail))
    return ControlAnswer(ERROR_RESPONSES_BY_KIND[kind].http_status, body)


class _ControlHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    timeout = IDLE_TIMEOUT_SECONDS
    disable_nagle_algorithm = True
    # Head and body of an answer leave in one segment.
    wbufsize = -1
    server: ControlServer

    def do_POST(self) -> None:
        size = self._content_length()
        if size is None:
            self.close_connection = True
            self._answer(_refusal(ErrorKind.TOO_LARGE, "content length"), "")
            return
        body = self.rfile.read(size)
        if len(body) < size:
            self.close_connection = True
            return
        signature = self.headers.get(AUTHENTICATOR_HEADER, "")
        encoding = self.headers.get(ENCODING_HEADER, "")
        answer = self.server.answer(self.path, body, signature, encoding=encoding)
        self._answer(answer, signature)

    def _content_length(self) -> int | None:
        try:
            size = int(self.headers.get("Content-Length", "0"))
        except ValueError:
            return None
        return size if 0 <= size <= MESSAGE_SIZE_MAXIMUM else None

    def _answer(self, answer: ControlAnswer, signature: str) -> None:
        # No Server and Date: they'd be a third of a heartbeat's answer.
        self.send_response_only(answer.status)
        self.send_header("Content-Length", str(len(answer.body)))
        if answer.encoding:
            self.send_header(ENCODING_HEADER, answer.encoding)
        self.send_header(
            AUTHENTICATOR_HEADER, self.server.sign_reply(signature, answer.body)
        )
        self.end_headers()
        self.wfile.write(answer.body)
        self.wfile.flush()

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
        self, path: str, body: bytes, signature: str, *, encoding: str = ""
    ) -> ControlAnswer:
        """Answers one message; whatever arrives, nothing is raised.

        Args:
            path: Path of the URL.
            body: Body as it arrived.
            signature: Header with time and authenticator.
            encoding: Content encoding of the body.

        Returns:
            What goes back.
        """
        if not verifies_message(self._key_ring, path, body, signature):
            return _refusal(ErrorKind.UNAUTHENTICATED, "authenticator")
        route = self._routes.find(path)
        if route is None:
            return _refusal(ErrorKind.NOT_FOUND, "path")
        try:
            message: object = decode_message(unpack(body, encoding), route.message_type)
        except BadMessageError as error:
            return _refusal(ErrorKind.BAD_MESSAGE, str(error))
        try:
            reply = route.handler(message)
        except SiskinshiftError as error:
            return _refusal(error.kind, str(error))
        except Exception as error:
            # Failure: a fault in one handler would end the connection's task and
            # look like a dead peer. The sender gets a typed answer instead.
            return _refusal(ErrorKind.INTERNAL, type(error).__name__)
        return ControlAnswer(HTTPStatus.OK, *pack(encode_message(reply)))

    def sign_reply(self, signature: str, body: bytes) -> str:
        """Signs an answer together with the signature of its message.

        Args:
            signature: Signature of the message.
            body: Body as it is sent.

        Returns:
            The header's text.
        """
        return sign_reply(self._key_ring, signature, body)
