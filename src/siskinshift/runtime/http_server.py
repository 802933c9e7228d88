"""A small HTTP/1.1 server for health, heartbeats and messages between processes.

Runs one task per connection and is meant for few connections and small bodies. The
server of the standard library imports far more modules, which would delay the start of
a node.
"""

from __future__ import annotations

import contextlib
import socket
import threading
from collections.abc import Callable
from collections.abc import Mapping
from typing import TYPE_CHECKING
from typing import TypeAlias

import httptools
from attrs import Factory
from attrs import define
from attrs import frozen


if TYPE_CHECKING:
    from siskinshift.observability.event_log import EventLog
    from siskinshift.runtime.life_cycle import LifeCycle


# A peer that keeps its connection sends the next request within seconds. Idle
# connections are closed, because each one occupies a thread.
IDLE_TIMEOUT_SECONDS = 30.0
MAX_BODY_BYTES = 1 << 20
READ_BYTES = 65536
BACKLOG = 64
ACCEPT_POLL_SECONDS = 0.5
_REASONS_BY_STATUS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    503: "Unavailable",
}


@frozen
class HttpRequest:
    """A received HTTP request.

    Attributes:
        method: HTTP method.
        path: Path without the query.
        body: Request body.
        query: Query string without the question mark.
    """

    method: str
    path: str
    body: bytes
    query: str = ""


@frozen
class ServerResponse:
    """A response to send.

    Attributes:
        status: HTTP status code.
        body: Response body.
        content_type: Content type of the body.
        headers: Further headers by name.
    """

    status: int
    body: bytes = b""
    content_type: str = "application/json"
    headers: Mapping[str, str] = Factory(dict)


Handler: TypeAlias = Callable[[HttpRequest], ServerResponse]


@define
class _RequestCollector:
    """Collects one request from the callbacks of the parser."""

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
        if self.size > MAX_BODY_BYTES:
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
        """Binds the server.

        Args:
            application: Runs the tasks of the server.
            host: Local IP address.
            port: Port; 0 selects a free port.
            handler: Handles requests; called from several threads. If it raises an
                OSError, the connection is closed without a response.
            log: Log of failed handlers.
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
        """Port that the server listens at."""
        port: int = self._listener.getsockname()[1]
        return port

    def start(self) -> None:
        """Starts to accept connections."""
        self._application.spawn(self._accept)

    def close(self) -> None:
        """Closes the listener and all connections."""
        with self._lock:
            connections = tuple(self._connections)
        # A shutdown before closing interrupts waits in other threads at once.
        for open_socket in (self._listener, *connections):
            with contextlib.suppress(OSError):
                open_socket.shutdown(socket.SHUT_RDWR)
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
            self._application.spawn(self._serve_connection, connection)

    def _serve_connection(self, connection: socket.socket) -> None:
        try:
            connection.settimeout(IDLE_TIMEOUT_SECONDS)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self._serve_request(connection):
                pass
        except (OSError, ValueError, httptools.HttpParserError):
            # Timeout, reset or malformed data: the peer opens a new connection.
            pass
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _serve_request(self, connection: socket.socket) -> bool:
        collector = _RequestCollector()
        parser = httptools.HttpRequestParser(collector)
        while not collector.is_complete:
            data = connection.recv(READ_BYTES)
            if not data:
                return False
            parser.feed_data(data)
        method = parser.get_method().decode("latin-1")
        body = b"".join(collector.parts)
        response = self._handle(
            HttpRequest(method, collector.path, body, collector.query)
        )
        further = "".join(f"{k}: {v}\r\n" for k, v in response.headers.items())
        head = (
            f"HTTP/1.1 {response.status} "
            f"{_REASONS_BY_STATUS.get(response.status, 'Status')}\r\n"
            f"Content-Type: {response.content_type}\r\n"
            f"Content-Length: {len(response.body)}\r\n{further}\r\n"
        )
        connection.sendall(head.encode() + response.body)
        return bool(parser.should_keep_alive())

    def _handle(self, request: HttpRequest) -> ServerResponse:
        try:
            return self._handler(request)
        except OSError:
            raise
        except Exception as error:
            # One bad request must not close the connection of a working peer.
            self._log.fact("request failed", path=request.path, error=repr(error))
            return ServerResponse(400)
