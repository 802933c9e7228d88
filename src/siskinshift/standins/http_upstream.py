"""Stand-in for an upstream of mode `request`: HTTP/1.1 with slots.

It counts the requests that ran, so that tests can check the outcomes that callers
received against them.
"""

from __future__ import annotations

import select
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http import HTTPStatus
from http.server import BaseHTTPRequestHandler
from http.server import HTTPServer
from typing import Any
from typing import TypeAlias
from urllib.parse import parse_qs
from urllib.parse import urlsplit

import orjson

from siskinshift.messages.core import Endpoint


REQUEST_ID_HEADER = "X-Request-Id"
# Service that the caller requested; a stand-in counts requests for other services.
SERVICE_HEADER = "X-Service"
TIMEOUT_HEADER = "Siskinshift-Timeout-Ms"
EVENT_STREAM = "text/event-stream"
EVENT_INTERVAL_SECONDS = 0.5
WORK_STEP_SECONDS = 0.005
SLOT_TIMEOUT_SECONDS = 0.2
MAX_THREADS = 4096
CHUNK_SIZE = 16384
MILLISECONDS = 1000

PathHandler: TypeAlias = Callable[["_UpstreamHandler", dict[str, list[str]]], None]

_handlers_by_path: dict[str, PathHandler] = {}


def _handles(path: str) -> Callable[[PathHandler], PathHandler]:
    def register(handler: PathHandler) -> PathHandler:
        _handlers_by_path[path] = handler
        return handler

    return register


class _UpstreamHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: _UpstreamServer

    def do_GET(self) -> None:
        self._dispatch()

    def do_POST(self) -> None:
        self._dispatch()

    def do_PUT(self) -> None:
        self._dispatch()

    @property
    def stand_in(self) -> HttpUpstreamStandIn:
        """The upstream that serves the connection."""
        return self.server.stand_in

    def read_body(self) -> bytes:
        """Reads the body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def respond(
        self, status: HTTPStatus, body: bytes, content_type: str = "application/json"
    ) -> None:
        """Sends a complete response."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def is_disconnected(self) -> bool:
        """Returns whether the peer closed the connection."""
        # Not select, which rejects file descriptors from 1024 on.
        poll = select.poll()
        poll.register(self.connection, select.POLLIN)
        return bool(poll.poll(0))

    def log_message(self, format: str, *args: object) -> None:
        """Disables the request log of the base class."""

    def _dispatch(self) -> None:
        url = urlsplit(self.path)
        handler = _handlers_by_path.get(url.path)
        if handler is None:
            self.read_body()
            self.respond(HTTPStatus.NOT_FOUND, b"{}")
            return
        self.stand_in.count_misdelivery(self.headers.get(SERVICE_HEADER))
        handler(self, parse_qs(url.query))


class _UpstreamServer(HTTPServer):
    request_queue_size = 256
    stand_in: HttpUpstreamStandIn

    def process_request(self, request: Any, client_address: Any) -> None:
        self.stand_in.serve(request, client_address)


class HttpUpstreamStandIn:
    """Runs requests in slots and serves event streams.

    Attributes:
        delay: Seconds that each request takes in addition to its own duration.
        is_shedding: Whether it rejects every request with 503.
        is_draining: Whether the health endpoint reports that it drains.
        reported_load: Load to report instead of the real one, or None.
        run_counts_by_request_id: Number of runs of each request id.
        busy_seconds: Total run time of requests in all slots.
        max_running: Maximum number of requests that ran concurrently.
        shed_count: Number of rejected requests.
        cancelled_count: Number of requests whose caller disconnected while they ran.
        open_streams: Number of open event streams.
        misdelivered: Number of requests for another service.
    """

    def __init__(self, *, name: str, endpoint: Endpoint, slots: int) -> None:
        """Binds the socket.

        Args:
            name: Name in each response.
            endpoint: Endpoint to listen on.
            slots: Maximum number of concurrent requests.
        """
        self.delay = 0.0
        self.is_shedding = False
        self.is_draining = False
        self.reported_load: float | None = None
        self.run_counts_by_request_id: Counter[str] = Counter()
        self.busy_seconds = 0.0
        self.max_running = 0
        self.shed_count = 0
        self.cancelled_count = 0
        self.open_streams = 0
        self.misdelivered = 0
        self.name = name
        self.slots = slots
        self.stopping = threading.Event()
        self._running = 0
        self._lock = threading.Lock()
        self._slots = threading.Semaphore(slots)
        self._connections: set[socket.socket] = set()
        self._server = _UpstreamServer((endpoint.host, endpoint.port), _UpstreamHandler)
        self._server.stand_in = self
        self._executor = ThreadPoolExecutor(MAX_THREADS, name)

    @property
    def endpoint(self) -> Endpoint:
        """Endpoint on which it listens."""
        host, port = self._server.server_address[:2]
        return Endpoint(str(host), int(port))

    @property
    def load(self) -> float:
        """Fraction of the slots that is busy, or the reported load if set."""
        if self.reported_load is not None:
            return self.reported_load
        return self._running / self.slots

    def start(self) -> None:
        """Starts serving."""
        self._executor.submit(self._server.serve_forever, 0.05)

    def stop(self) -> None:
        """Stops and closes all connections, as when the instance crashes."""
        self.stopping.set()
        self._server.shutdown()
        self._server.server_close()
        for connection in tuple(self._connections):
            _shut_down(connection)
        self._executor.shutdown(wait=True)

    def close(self) -> None:
        """Closes the listening socket of a stand-in that was not started."""
        self._server.server_close()

    def serve(self, connection: socket.socket, client_address: Any) -> None:
        """Serves a connection in its own thread.

        Args:
            connection: The accepted connection.
            client_address: Address of the peer.
        """
        self._connections.add(connection)
        self._executor.submit(self._serve_connection, connection, client_address)

    def count_misdelivery(self, service_id: str | None) -> None:
        """Counts a request if it is for another service.

        Args:
            service_id: Service that the caller requested, or None if it is not given.
        """
        if service_id is not None and not self.name.startswith(service_id):
            with self._lock:
                self.misdelivered += 1

    def run(self, request_id: str, seconds: float, handler: _UpstreamHandler) -> bool:
        """Runs a request in a slot.

        Args:
            request_id: Id that the caller gave to the request.
            seconds: Duration of the request.
            handler: Handler of the connection; a closed connection cancels the run.

        Returns:
            Whether the request ran: a slot became free within the timeout.
        """
        if self.is_shedding or not self._slots.acquire(timeout=SLOT_TIMEOUT_SECONDS):
            with self._lock:
                self.shed_count += 1
            return False
        started_at = time.monotonic()
        with self._lock:
            self.run_counts_by_request_id[request_id] += 1
            self._running += 1
            self.max_running = max(self.max_running, self._running)
        try:
            self._do_work(seconds + self.delay, handler)
        finally:
            self._slots.release()
            with self._lock:
                self._running -= 1
                self.busy_seconds += time.monotonic() - started_at
        return True

    def _do_work(self, seconds: float, handler: _UpstreamHandler) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.stopping.wait(min(WORK_STEP_SECONDS, seconds))
            if handler.is_disconnected():
                with self._lock:
                    self.cancelled_count += 1
                return

    def _serve_connection(self, connection: socket.socket, client_address: Any) -> None:
        try:
            self._server.finish_request(connection, client_address)
        except (OSError, ValueError):
            pass  # The agent cancels a request by closing its connection.
        finally:
            self._connections.discard(connection)
            self._server.shutdown_request(connection)


@_handles("/work")
def _serve_work(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    body = handler.read_body()
    request_id = handler.headers.get(REQUEST_ID_HEADER, "")
    seconds = float(query.get("ms", ["0"])[0]) / MILLISECONDS
    timeout_ms = handler.headers.get(TIMEOUT_HEADER)
    if timeout_ms is not None and int(timeout_ms) / MILLISECONDS < seconds:
        # A request that cannot finish within its timeout is not started.
        handler.respond(HTTPStatus.GATEWAY_TIMEOUT, b"{}")
        return
    if not handler.stand_in.run(request_id, seconds, handler):
        handler.respond(HTTPStatus.SERVICE_UNAVAILABLE, b"{}")
        return
    response = {
        "upstream": handler.stand_in.name,
        "request_id": request_id,
        "echo": body.decode(),
    }
    handler.respond(HTTPStatus.OK, orjson.dumps(response))


@_handles("/stream")
def _stream(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    handler.send_response(HTTPStatus.OK)
    handler.send_header("Content-Type", EVENT_STREAM)
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()
    stand_in = handler.stand_in
    stand_in.open_streams += 1
    event_number = 0
    try:
        while not stand_in.stopping.is_set() and not handler.is_disconnected():
            event_number += 1
            event = f"data: {stand_in.name} {event_number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            stand_in.stopping.wait(EVENT_INTERVAL_SECONDS)
    finally:
        stand_in.open_streams -= 1
        handler.close_connection = True


@_handles("/document")
def _document(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    size = int(query.get("bytes", ["0"])[0])
    seconds = float(query.get("ms", ["0"])[0]) / MILLISECONDS
    request_id = handler.headers.get(REQUEST_ID_HEADER, "")
    if not handler.stand_in.run(request_id, seconds, handler):
        handler.respond(HTTPStatus.SERVICE_UNAVAILABLE, b"{}")
        return
    handler.send_response(HTTPStatus.OK)
    handler.send_header("Content-Type", "application/pdf")
    handler.send_header("Content-Length", str(size))
    handler.end_headers()
    for start in range(0, size, CHUNK_SIZE):
        handler.wfile.write(document_chunk(start, min(CHUNK_SIZE, size - start)))


@_handles("/health")
def _health(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    state = b"draining" if handler.stand_in.is_draining else b"ready"
    handler.respond(HTTPStatus.OK, state, "text/plain")


@_handles("/load")
def _load(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    handler.respond(HTTPStatus.OK, orjson.dumps({"load": handler.stand_in.load}))


def document_chunk(start: int, size: int) -> bytes:
    """Generates a part of the document that `/document` serves.

    Args:
        start: Offset of the first byte.
        size: Number of bytes.

    Returns:
        The bytes.
    """
    return bytes(
        (position * 7 + position // 251) % 256
        for position in range(start, start + size)
    )


def _shut_down(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
