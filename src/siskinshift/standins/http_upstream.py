"""Stand-in for an upstream of mode `request`: HTTP/1.1 with slots.

It counts by itself what ran, so that a caller's claim can be held against it.
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
# The caller's word for the service it called; a stand-in counts those of others.
SERVICE_HEADER = "X-Service"
TIMEOUT_HEADER = "Siskinshift-Timeout-Ms"
EVENT_STREAM = "text/event-stream"
EVENT_INTERVAL_SECONDS = 0.5
STEP_SECONDS = 0.005
SLOT_WAIT_SECONDS = 0.2
THREADS_MAXIMUM = 4096
CHUNK_SIZE = 16384
MILLISECONDS = 1000

PathHandler: TypeAlias = Callable[["_UpstreamHandler", dict[str, list[str]]], None]

_handlers_by_path: dict[str, PathHandler] = {}


def _serves(path: str) -> Callable[[PathHandler], PathHandler]:
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
        """The upstream."""
        return self.server.stand_in

    def read_body(self) -> bytes:
        """Reads the request's body."""
        return self.rfile.read(int(self.headers.get("Content-Length", "0")))

    def answer(
        self, status: HTTPStatus, body: bytes, content_type: str = "application/json"
    ) -> None:
        """Sends a whole answer."""
        self.send_response(status)
        self.send_header("Content-Type", content_type)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def is_cancelled(self) -> bool:
        """Tells whether the other side closed the connection."""
        # poll, because select refuses descriptors from 1024 on.
        poll = select.poll()
        poll.register(self.connection, select.POLLIN)
        return bool(poll.poll(0))

    def log_message(self, format: str, *args: object) -> None:
        """Keeps quiet."""

    def _dispatch(self) -> None:
        parts = urlsplit(self.path)
        handler = _handlers_by_path.get(parts.path)
        if handler is None:
            self.read_body()
            self.answer(HTTPStatus.NOT_FOUND, b"{}")
            return
        self.stand_in.check_service(self.headers.get(SERVICE_HEADER))
        handler(self, parse_qs(parts.query))


class _UpstreamServer(HTTPServer):
    request_queue_size = 256
    stand_in: HttpUpstreamStandIn

    def process_request(self, request: Any, client_address: Any) -> None:
        self.stand_in.serve(request, client_address)


class HttpUpstreamStandIn:
    """Runs requests in slots and holds event streams.

    Attributes:
        delay: Seconds each request takes besides what it asks for.
        is_shedding: Whether every request is turned away with 503.
        is_draining: Whether the health endpoint says that it drains.
        reported_load: What the load endpoint says instead of the truth, or None.
        run_counts_by_request_id: How often each request id ran.
        work_seconds: Time that requests ran, in all slots together.
        running_most: Most requests that ran at once.
        shed: Requests turned away.
        cancelled: Requests whose caller went away while they ran.
        streams: Event streams held now.
        misdelivered: Requests that were meant for another service.
    """

    def __init__(self, *, name: str, endpoint: Endpoint, slots: int) -> None:
        """Binds the socket.

        Args:
            name: Name that goes into each answer.
            endpoint: Where to listen.
            slots: Requests that run at once.
        """
        self.delay = 0.0
        self.is_shedding = False
        self.is_draining = False
        self.reported_load: float | None = None
        self.run_counts_by_request_id: Counter[str] = Counter()
        self.work_seconds = 0.0
        self.running_most = 0
        self.shed = 0
        self.cancelled = 0
        self.streams = 0
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
        self._executor = ThreadPoolExecutor(THREADS_MAXIMUM, name)

    @property
    def endpoint(self) -> Endpoint:
        """Where it listens."""
        host, port = self._server.server_address[:2]
        return Endpoint(str(host), int(port))

    @property
    def load(self) -> float:
        """Part of the slots that is busy, or what it claims."""
        if self.reported_load is not None:
            return self.reported_load
        return self._running / self.slots

    def start(self) -> None:
        """Starts to answer."""
        self._executor.submit(self._server.serve_forever, 0.05)

    def stop(self) -> None:
        """Stops at once: connections are cut, as when the instance dies."""
        self.stopping.set()
        self._server.shutdown()
        self._server.server_close()
        for connection in tuple(self._connections):
            _cut(connection)
        self._executor.shutdown(wait=True)

    def close(self) -> None:
        """Closes the socket of a stand-in that was not started."""
        self._server.server_close()

    def serve(self, connection: socket.socket, client_address: Any) -> None:
        """Serves a connection on a task of its own.

        Args:
            connection: The accepted connection.
            client_address: Where it comes from.
        """
        self._connections.add(connection)
        self._executor.submit(self._serve, connection, client_address)

    def check_service(self, service_id: str | None) -> None:
        """Counts a request that was meant for another service.

        Args:
            service_id: Service that the caller called, if it says so.
        """
        if service_id is not None and not self.name.startswith(service_id):
            with self._lock:
                self.misdelivered += 1

    def run(self, request_id: str, seconds: float, handler: _UpstreamHandler) -> bool:
        """Runs a request in a slot.

        Args:
            request_id: The caller's id of the request.
            seconds: How long it takes.
            handler: Tells whether the caller went away.

        Returns:
            Whether a slot was free in time.
        """
        if self.is_shedding or not self._slots.acquire(timeout=SLOT_WAIT_SECONDS):
            with self._lock:
                self.shed += 1
            return False
        started_at = time.monotonic()
        with self._lock:
            self.run_counts_by_request_id[request_id] += 1
            self._running += 1
            self.running_most = max(self.running_most, self._running)
        try:
            self._work(seconds + self.delay, handler)
        finally:
            self._slots.release()
            with self._lock:
                self._running -= 1
                self.work_seconds += time.monotonic() - started_at
        return True

    def _work(self, seconds: float, handler: _UpstreamHandler) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            self.stopping.wait(min(STEP_SECONDS, seconds))
            if handler.is_cancelled():
                with self._lock:
                    self.cancelled += 1
                return

    def _serve(self, connection: socket.socket, client_address: Any) -> None:
        try:
            self._server.finish_request(connection, client_address)
        except (OSError, ValueError):
            pass  # The agent closed the connection: it cancels that way.
        finally:
            self._connections.discard(connection)
            self._server.shutdown_request(connection)


@_serves("/work")
def _work(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    body = handler.read_body()
    request_id = handler.headers.get(REQUEST_ID_HEADER, "")
    seconds = float(query.get("ms", ["0"])[0]) / MILLISECONDS
    left = handler.headers.get(TIMEOUT_HEADER)
    if left is not None and int(left) / MILLISECONDS < seconds:
        # Work that can't be done in time is not begun.
        handler.answer(HTTPStatus.GATEWAY_TIMEOUT, b"{}")
        return
    if not handler.stand_in.run(request_id, seconds, handler):
        handler.answer(HTTPStatus.SERVICE_UNAVAILABLE, b"{}")
        return
    answer = {
        "upstream": handler.stand_in.name,
        "request_id": request_id,
        "echo": body.decode(),
    }
    handler.answer(HTTPStatus.OK, orjson.dumps(answer))


@_serves("/stream")
def _stream(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    handler.send_response(HTTPStatus.OK)
    handler.send_header("Content-Type", EVENT_STREAM)
    handler.send_header("Transfer-Encoding", "chunked")
    handler.end_headers()
    stand_in = handler.stand_in
    stand_in.streams += 1
    number = 0
    try:
        while not stand_in.stopping.is_set() and not handler.is_cancelled():
            number += 1
            event = f"data: {stand_in.name} {number}\n\n".encode()
            handler.wfile.write(b"%x\r\n%b\r\n" % (len(event), event))
            stand_in.stopping.wait(EVENT_INTERVAL_SECONDS)
    finally:
        stand_in.streams -= 1
        handler.close_connection = True


@_serves("/document")
def _document(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    size = int(query.get("bytes", ["0"])[0])
    seconds = float(query.get("ms", ["0"])[0]) / MILLISECONDS
    request_id = handler.headers.get(REQUEST_ID_HEADER, "")
    if not handler.stand_in.run(request_id, seconds, handler):
        handler.answer(HTTPStatus.SERVICE_UNAVAILABLE, b"{}")
        return
    handler.send_response(HTTPStatus.OK)
    handler.send_header("Content-Type", "application/pdf")
    handler.send_header("Content-Length", str(size))
    handler.end_headers()
    for start in range(0, size, CHUNK_SIZE):
        handler.wfile.write(document_chunk(start, min(CHUNK_SIZE, size - start)))


@_serves("/health")
def _health(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    state = b"draining" if handler.stand_in.is_draining else b"ready"
    handler.answer(HTTPStatus.OK, state, "text/plain")


@_serves("/load")
def _load(handler: _UpstreamHandler, query: dict[str, list[str]]) -> None:
    handler.answer(HTTPStatus.OK, orjson.dumps({"load": handler.stand_in.load}))


def document_chunk(start: int, size: int) -> bytes:
    """Makes a piece of the document that `/document` serves.

    Args:
        start: Position of the first byte.
        size: Number of bytes.

    Returns:
        The bytes.
    """
    return bytes(
        (position * 7 + position // 251) % 256
        for position in range(start, start + size)
    )


def _cut(connection: socket.socket) -> None:
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        return
