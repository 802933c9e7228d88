"""An ordinary HTTP/3 client: one UDP socket, one thread, aioquic without its I/O."""

from __future__ import annotations

import contextlib
import queue
import select
import socket
import ssl
import threading
import time
from collections.abc import Callable
from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

from aioquic.h3.connection import ErrorCode
from aioquic.h3.connection import FrameType
from aioquic.h3.connection import H3Connection
from aioquic.h3.events import DataReceived
from aioquic.h3.events import H3Event
from aioquic.h3.events import HeadersReceived
from aioquic.quic.configuration import QuicConfiguration
from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import ConnectionTerminated
from aioquic.quic.events import HandshakeCompleted
from aioquic.quic.events import StreamReset
from attrs import define
from attrs import field


if TYPE_CHECKING:
    from siskinshift.messages.core import Endpoint


HTTP3_ALPN = "h3"
IDLE_TIMEOUT_SECONDS = 30.0
WAKE_SECONDS = 0.5
DATAGRAM_SIZE_MAXIMUM = 65535


class ConnectionLostError(Exception):
    """The connection ended before the answer was whole."""


@define(eq=False)
class Answer:
    """An answer as far as it has come.

    Attributes:
        fields: Fields of the head by name.
        body: The body so far.
        is_complete: Whether the stream ended in order.
    """

    fields: dict[str, str] = field(factory=dict)
    body: bytearray = field(factory=bytearray)
    is_complete: bool = False

    @property
    def status(self) -> int:
        """HTTP status."""
        return int(self.fields.get(":status", "0"))


@define(eq=False)
class _Exchange:
    fields: list[tuple[bytes, bytes]]
    body: bytes
    on_data: Callable[[bytes], None] | None
    future: Future[Answer] = field(factory=Future)
    answer: Answer = field(factory=Answer)
    stream_id: int = -1


class _GoAwayHttp(H3Connection):
    """aioquic reads over GOAWAY; this notes that one came."""

    goaway_received = False

    def _check_control_frame_type(self, frame_type: int) -> None:
        super()._check_control_frame_type(frame_type)
        if frame_type == FrameType.GOAWAY:
            self.goaway_received = True


class Http3Client:
    """Holds one connection; requests may come from any thread.

    Attributes:
        is_lost: Whether the connection has ended.
    """

    def __init__(self, address: Endpoint, *, executor: Any) -> None:
        """Opens the socket and starts the connection's task.

        Args:
            address: Service address to call.
            executor: Runs the task.
        """
        self.is_lost = False
        configuration = QuicConfiguration(
            is_client=True,
            alpn_protocols=[HTTP3_ALPN],
            idle_timeout=IDLE_TIMEOUT_SECONDS,
            verify_mode=ssl.CERT_NONE,
            server_name="localhost",
        )
        self._address = (address.host, address.port)
        self._quic = QuicConnection(configuration=configuration)
        self._http = _GoAwayHttp(self._quic)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.connect(self._address)
        self._socket.setblocking(False)
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._wake_writer.setblocking(False)
        # poll, because select refuses descriptors from 1024 on.
        self._poll = select.poll()
        self._poll.register(self._socket, select.POLLIN)
        self._poll.register(self._wake_reader, select.POLLIN)
        self._inbox: queue.SimpleQueue[Callable[[], None]] = queue.SimpleQueue()
        self._exchanges_by_stream: dict[int, _Exchange] = {}
        self._waiting: list[_Exchange] = []
        self._is_ready = False
        self._ended = threading.Event()
        executor.submit(self._run)

    @property
    def goaway_received(self) -> bool:
        """Whether the next request belongs on a new connection."""
        return self._http.goaway_received

    def request(
        self,
        method: str,
        path: str,
        *,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        on_data: Callable[[bytes], None] | None = None,
    ) -> Future[Answer]:
        """Sends a request.

        Args:
            method: HTTP method.
            path: Path with the query.
            headers: Further fields.
            body: The body.
            on_data: Called with each piece of the answer's body as it comes.

        Returns:
            The whole answer later, or ConnectionLostError.
        """
        pseudo = {
            ":method": method,
            ":scheme": "https",
            ":authority": "localhost",
            ":path": path,
        }
        fields = [
            (k.encode(), v.encode()) for k, v in (pseudo | (headers or {})).items()
        ]
        exchange = _Exchange(fields, body, on_data)
        self._post(lambda: self._begin(exchange))
        return exchange.future

    def cancel(self, future: Future[Answer]) -> None:
        """Resets the stream of a request.

        Args:
            future: What `request` returned.
        """
        self._post(lambda: self._cancel(future))

    def close(self) -> None:
        """Closes the connection in order, without waiting for a peer that is dead."""
        self._post(self._close)

    def _post(self, action: Callable[[], None]) -> None:
        self._inbox.put(action)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_writer.send(b"\0")
        except OSError:
            return  # Full or closed: the task wakes, or has ended.

    def _run(self) -> None:
        self._quic.connect(self._address, time.monotonic())
        try:
            while not self._ended.is_set():
                self._flush()
                self._wait()
                self._receive()
                while not self._inbox.empty():
                    self._inbox.get()()
                self._take_events()
            self._flush()
        finally:
            self._lose()

    def _wait(self) -> None:
        timer = self._quic.get_timer()
        timeout = WAKE_SECONDS
        if timer is not None:
            timeout = min(max(timer - time.monotonic(), 0), timeout)
        self._poll.poll(timeout * 1000)
        now = time.monotonic()
        if timer is not None and now >= timer:
            self._quic.handle_timer(now)

    def _receive(self) -> None:
        with contextlib.suppress(OSError):
            self._wake_reader.recv(4096)
        while True:
            try:
                datagram = self._socket.recv(DATAGRAM_SIZE_MAXIMUM)
            except OSError:
                return
            self._quic.receive_datagram(datagram, self._address, time.monotonic())

    def _flush(self) -> None:
        for datagram, _ in self._quic.datagrams_to_send(time.monotonic()):
            try:
                self._socket.send(datagram)
            except OSError:
                continue

    def _begin(self, exchange: _Exchange) -> None:
        if not self._is_ready:
            self._waiting.append(exchange)
            return
        stream_id = self._quic.get_next_available_stream_id()
        exchange.stream_id = stream_id
        self._exchanges_by_stream[stream_id] = exchange
        has_body = bool(exchange.body)
        self._http.send_headers(stream_id, exchange.fields, end_stream=not has_body)
        if has_body:
            self._http.send_data(stream_id, exchange.body, end_stream=True)

    def _close(self) -> None:
        self._quic.close(error_code=ErrorCode.H3_NO_ERROR)
        self._ended.set()

    def _cancel(self, future: Future[Answer]) -> None:
        for stream_id, exchange in tuple(self._exchanges_by_stream.items()):
            if exchange.future is future:
                del self._exchanges_by_stream[stream_id]
                self._quic.stop_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
                self._quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
                exchange.future.set_exception(ConnectionLostError("cancelled"))

    def _take_events(self) -> None:
        while (event := self._quic.next_event()) is not None:
            if isinstance(event, HandshakeCompleted):
                self._is_ready = True
                waiting, self._waiting = self._waiting, []
                for exchange in waiting:
                    self._begin(exchange)
            elif isinstance(event, ConnectionTerminated):
                self._ended.set()
            elif isinstance(event, StreamReset):
                self._on_reset(event.stream_id)
            for http_event in self._http.handle_event(event):
                self._take_http_event(http_event)

    def _on_reset(self, stream_id: int) -> None:
        exchange = self._exchanges_by_stream.pop(stream_id, None)
        if exchange is not None:
            exchange.future.set_exception(ConnectionLostError("stream reset"))

    def _take_http_event(self, event: H3Event) -> None:
        if not isinstance(event, (HeadersReceived, DataReceived)):
            return
        exchange = self._exchanges_by_stream.get(event.stream_id)
        if exchange is None:
            return
        answer = exchange.answer
        if isinstance(event, HeadersReceived):
            answer.fields |= {k.decode(): v.decode() for k, v in event.headers}
        else:
            answer.body += event.data
            if exchange.on_data is not None:
                exchange.on_data(event.data)
        if event.stream_ended:
            answer.is_complete = True
            del self._exchanges_by_stream[event.stream_id]
            exchange.future.set_result(answer)

    def _lose(self) -> None:
        self.is_lost = True
        self._socket.close()
        self._wake_reader.close()
        self._wake_writer.close()
        lost = [*self._exchanges_by_stream.values(), *self._waiting]
        while not self._inbox.empty():
            self._inbox.get()()
        lost += self._waiting
        for exchange in {id(e): e for e in lost}.values():
            if not exchange.future.done():
                exchange.future.set_exception(ConnectionLostError("connection lost"))
