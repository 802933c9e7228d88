"""A small HTTP/1.1 client with one persistent connection and per-request timeouts."""

from __future__ import annotations

import contextlib
import socket
import time

import attrs
import httptools
from attrs import Factory
from attrs import define
from attrs import frozen

from siskinshift.core.http import HttpResponse


READ_BYTES = 262144
MAX_RESPONSE_BYTES = 64 << 20
# A response that takes longer than MAX_SLOW_SECONDS is aborted if it is slower than
# MIN_BYTES_PER_SECOND, so that it does not occupy a task forever. That rate is a
# fortieth of the slowest link, 5 Mbit/s. A faster response is not aborted, since a
# repeated request would start from the beginning.
MAX_SLOW_SECONDS = 10.0
MIN_BYTES_PER_SECOND = 16_000.0
# Timeout between two parts of a response; TCP retransmits a lost segment within this
# time. A request that waits for a change may take far longer until its response begins.
MAX_PART_INTERVAL_SECONDS = 1.0
# A connection may become unresponsive without a reset. Keepalive probes start after one
# idle second, and two unanswered probes close the connection, so that a waiting request
# fails within three seconds.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
TCP_USER_TIMEOUT_MILLISECONDS = 3000
# The timeout doubles after each consecutive failure, at most this many times. Four
# times 0.3 s is longer than the queueing delay of a full link and than the second after
# which TCP retransmits a lost SYN.
MAX_TIMEOUT_DOUBLINGS = 2


class RequestNotSentError(OSError):
    """The connection failed, so the request had no effect."""


class ResponseLostError(OSError):
    """No complete response arrived; the request may have taken effect."""


def extend_timeout(seconds: float, *, failures: int) -> float:
    """Extends a timeout after consecutive failures.

    Attempts that are repeated with the same timeout fail for as long as a full link
    delays packets for longer than that.

    Args:
        seconds: Timeout of the first attempt.
        failures: Consecutive failures so far.

    Returns:
        Timeout of the next attempt, seconds.
    """
    return seconds * 2.0 ** min(failures, MAX_TIMEOUT_DOUBLINGS)


@frozen
class TransferProgress:
    """Progress of the latest response of a client; other threads may read it.

    Attributes:
        first_received_at: When the first part arrived, monotonic clock, seconds; 0
            before that.
        last_received_at: When the latest part arrived.
        is_complete: Whether the response is complete or was aborted.
    """

    first_received_at: float = 0.0
    last_received_at: float = 0.0
    is_complete: bool = True

    @property
    def seconds(self) -> float:
        """Time from the first to the latest part."""
        return self.last_received_at - self.first_received_at


@define
class _ResponseCollector:
    """Collects one response from the callbacks of the parser."""

    headers: dict[str, str] = Factory(dict)
    parts: list[bytes] = Factory(list)
    size: int = 0
    is_complete: bool = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > MAX_RESPONSE_BYTES:
            raise ValueError("response too large")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


class HttpClient:
    """Sends requests to one endpoint; not thread-safe.

    An idle connection may become unresponsive while new ones work. Therefore each
    failure closes the connection, and the next request opens a new one.

    Attributes:
        address: Host and port of the endpoint.
        transfer: Progress of the latest response.
    """

    def __init__(self, host: str, port: int, *, connect_timeout: float) -> None:
        """Initializes the client; the first request connects.

        Args:
            host: IP address of the endpoint.
            port: Port of the endpoint.
            connect_timeout: Timeout of a connection attempt, seconds; extended after
                each failed attempt.
        """
        self.address = (host, port)
        self._connect_timeout = connect_timeout
        self._failures = 0
        self._socket: socket.socket | None = None
        self._is_requesting = False
        self._is_closed = False
        self.transfer = TransferProgress()

    def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> HttpResponse:
        """Sends a request and waits for the response.

        Args:
            method: HTTP method.
            target: Path with query.
            body: Request body, JSON.
            timeout: Longest time without received data, seconds. It does not limit the
                whole response: at 5 Mbit/s the configuration of 1,700 routes takes
                0.65 s, and with such a limit each attempt would be aborted just before
                its end.

        Returns:
            The response, whatever its status.

        Raises:
            RequestNotSentError: The connection failed or the client is closed.
            ResponseLostError: The response or a part of it did not arrive in time.
        """
        self._is_requesting = True
        try:
            return self._exchange(method, target, body, timeout)
        finally:
            self._is_requesting = False
            self.transfer = attrs.evolve(self.transfer, is_complete=True)
            if self._is_closed:
                self._disconnect()

    def close(self) -> None:
        """Closes the client permanently and aborts a request of another thread.

        A process ends with its last thread. Without this, a thread that waits for an
        unresponsive store or reads a long configuration would delay the end by seconds,
        beyond the shutdown grace period.
        """
        self._is_closed = True
        connection = self._socket
        if connection is not None:
            # Fails if it is not connected; closing it then ends the wait.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        if not self._is_requesting:
            self._disconnect()

    def _disconnect(self) -> None:
        connection, self._socket = self._socket, None
        if connection is not None:
            connection.close()

    def _exchange(
        self, method: str, target: str, body: bytes, timeout: float
    ) -> HttpResponse:
        connection = self._connect(timeout)
        head = (
            f"{method} {target} HTTP/1.1\r\n"
            f"Host: {self.address[0]}:{self.address[1]}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        try:
            connection.settimeout(timeout)
            connection.sendall(head.encode() + body)
            return self._read_response(connection, timeout)
        except (OSError, ValueError, httptools.HttpParserError) as error:
            self._disconnect()
            raise ResponseLostError(str(error)) from error

    def _connect(self, timeout: float) -> socket.socket:
        if self._socket is None:
            connect_timeout = min(timeout, self._connect_timeout)
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.settimeout(
                extend_timeout(connect_timeout, failures=self._failures)
            )
            # Set before it connects, so that `close` interrupts the connection attempt.
            self._socket = connection
            try:
                if self._is_closed:
                    raise ConnectionAbortedError("closed")
                connection.connect(self.address)
            except OSError as error:
                self._failures += 1
                self._disconnect()
                raise RequestNotSentError(str(error)) from error
            self._failures = 0
            _enable_keepalive(connection)
            return connection
        return self._socket

    def _read_response(self, connection: socket.socket, timeout: float) -> HttpResponse:
        collector = _ResponseCollector()
        parser = httptools.HttpResponseParser(collector)
        abort_at = time.monotonic() + timeout + MAX_SLOW_SECONDS
        while not collector.is_complete:
            extension = collector.size / MIN_BYTES_PER_SECOND
            if time.monotonic() > abort_at + extension:
                raise TimeoutError("response too slow")
            data = connection.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError(
                    "connection closed before the end of the response"
                )
            now = time.monotonic()
            first_received_at = (
                now if self.transfer.is_complete else self.transfer.first_received_at
            )
            self.transfer = TransferProgress(first_received_at, now, is_complete=False)
            parser.feed_data(data)
            connection.settimeout(min(timeout, MAX_PART_INTERVAL_SECONDS))
        if not parser.should_keep_alive():
            self._disconnect()
        body = b"".join(collector.parts)
        return HttpResponse(parser.get_status_code(), body, collector.headers)


def _enable_keepalive(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLISECONDS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
