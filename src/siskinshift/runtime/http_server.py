"""A small HTTP/1.1 server for health, heartbeats and messages between processes.

One task for each connection. It holds few connections and small bodies. The standard
library's server loads far more modules, and a restarted node serves nobody until it is
up.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

import httptools
from attrs import Factory
from attrs import define
from attrs import frozen


if TYPE_CHECKING:
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.life_cycle import LifeCycle


# A peer that keeps a connection asks again within seconds; a silent one is closed so
# that it can't hold a thread for good.
IDLE_SECONDS = 30.0
BODY_MAXIMUM_BYTES = 1 << 20
READ_BYTES = 65536
BACKLOG = 64
ACCEPT_POLL_SECONDS = 0.5
_REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 503: "Unavailable"}


@frozen
class HttpRequest:
    """A request.

    Attributes:
        method: Its method.
        path: Its path, without a query.
        body: Its body.
        query: What follows the path's question mark.
    """

    method: str
    path: str
    body: bytes
    query: str = ""


@frozen
class ServerResponse:
    """An answer.

    Attributes:
        status: HTTP status.
        body: Its body.
        content_type: What the body is.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"


Handler: TypeAlias = Callable[[HttpRequest], ServerResponse]


@define
class _RequestReader:
    """Collects one request; the parser calls its hooks."""

    method: str = ""
    path: str = ""
    query: str = ""
    parts: list[bytes] = Factory(list)
    size: int = 0
    is_complete: bool = False

    def on_url(self, url: bytes) -> None:
        self.path, _, self.query = url.decode("latin-1").partition("?")

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > BODY_MAXIMUM_BYTES:
            raise ValueError("body too large")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


class HttpServer:
    """Serves one endpoint with one handler."""

    def __init__(
        self,
        application: LifeCycle,
        host: str,
        port: int,
        handler: Handler,
        *,
        log: EventLog,
    ) -> None:
        """Binds the endpoint.

        Args:
            application: Runs the tasks.
            host: Own IP number.
            port: Port; 0 takes a free one.
            handler: Answers requests; called from several threads. An OSError of it
                closes the connection without an answer.
            log: Takes a line for a handler that failed.
        """
        self._application = application
        self._handler = handler
        self._log = log
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(BACKLOG)
        self._listener.settimeout(ACCEPT_POLL_SECONDS)
        self._connections: set[socket.socket] = set()
        self._lock = threading.Lock()

    @property
    def port(self) -> int:
        """Port the server listens at."""
        port: int = self._listener.getsockname()[1]
        return port

    def start(self) -> None:
        """Starts to accept."""
        self._application.spawn(self._accept)

    def close(self) -> None:
        """Closes the listener and all connections."""
        with self._lock:
            connections = tuple(self._connections)
        # Shut down before it is closed: that ends a wait in another thread at once.
        for opened in (self._listener, *connections):
            with contextlib.suppress(OSError):
                opened.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while not self._application.stopping.is_set():
            try:
                connection, _ = self._listener.accept()
            except TimeoutError:
                continue
            except OSError:
                if self._listener.fileno() < 0:
                    return
                continue
            with self._lock:
                self._connections.add(connection)
            self._application.spawn(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        try:
            connection.settimeout(IDLE_SECONDS)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self._serve_one(connection):
                pass
        except (OSError, ValueError, httptools.HttpParserError):
            # Silence, a reset or nonsense: the peer opens a new connection.
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _serve_one(self, connection: socket.socket) -> bool:
        reader = _RequestReader()
        parser = httptools.HttpRequestParser(reader)
        while not reader.is_complete:
            data = connection.recv(READ_BYTES)
            if not data:
                return False
            parser.feed_data(data)
        method = parser.get_method().decode("latin-1")
        body = b"".join(reader.parts)
        reply = self._answer(HttpRequest(method, reader.path, body, reader.query))
        head = (
            f"HTTP/1.1 {reply.status} {_REASONS.get(reply.status, 'Status')}\r\n"
            f"Content-Type: {reply.content_type}\r\n"
            f"Content-Length: {len(reply.body)}\r\n\r\n"
        )
        connection.sendall(head.encode() + reply.body)
        return bool(parser.should_keep_alive())

    def _answer(self, request: HttpRequest) -> ServerResponse:
        try:
            return self._handler(request)
        except OSError:
            raise
        except Exception as error:
            # Guards against one bad request that ends the connection of a good peer.
            self._log.fact("request failed", path=request.path, error=repr(error))
            return ServerResponse(400)
