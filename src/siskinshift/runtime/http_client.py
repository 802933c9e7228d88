"""A small HTTP/1.1 client: one kept connection, a time-out of our own for each call."""

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
ANSWER_MAXIMUM_BYTES = 64 << 20
# A part of an answer that comes now and then must not hold a task for good: after this
# time, seconds, an answer is given up that came more slowly than the rate, bytes a
# second. The rate is a fortieth of the thinnest link, 5 Mbit/s: what still comes faster
# is not asked for again, since that would begin at its start.
FLOWING_SECONDS_MAXIMUM = 10.0
FLOWING_RATE_MINIMUM = 16_000.0
# Silence within an answer: a lost segment is sent again within this. A call that waits
# for a change may be silent for far longer before its answer begins.
PART_SECONDS_MAXIMUM = 1.0
# A connection may go silent for good without a reset. Probes begin after a second of
# silence, and two without an answer end it: a call that waits fails within three.
PROBE_AFTER_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3000
# After each failure in a row twice the time is allowed, so often at most: four times
# 0.3 s is more than a full link holds packets up, and more than the second after which
# a lost opening packet is sent again.
DOUBLINGS_MAXIMUM = 2


class RequestNotSentError(OSError):
    """The connection could not be made, so the call took no effect."""


class ResponseLostError(OSError):
    """The call was sent and no whole answer came: it may have taken effect."""


def extend_timeout(seconds: float, *, failures: int) -> float:
    """Lengthens a time that was too short.

    Guards against a time that a link can't keep: a try that is given up too early, and
    made again with the same time, fails for as long as the link is full.

    Args:
        seconds: Time on a calm day.
        failures: Failures in a row so far.

    Returns:
        Time for the next try, seconds.
    """
    return seconds * 2.0 ** min(failures, DOUBLINGS_MAXIMUM)


@frozen
class TransferProgress:
    """How far the newest answer of a client has come; other threads may read it.

    Attributes:
        first_received_at: When the first part arrived, monotonic clock, seconds; 0
            before that.
        last_received_at: When its newest part came.
        is_complete: Whether it came to its end or was given up.
    """

    first_received_at: float = 0.0
    last_received_at: float = 0.0
    is_complete: bool = True

    @property
    def seconds(self) -> float:
        """Time from the first part to the newest one."""
        return self.last_received_at - self.first_received_at


@define
class _AnswerReader:
    """Collects one answer; the parser calls its hooks."""

    parts: list[bytes] = Factory(list)
    size: int = 0
    is_complete: bool = False

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        if self.size > ANSWER_MAXIMUM_BYTES:
            raise ValueError("answer too large")
        self.parts.append(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


class HttpClient:
    """Calls one endpoint; not for use by several threads at once.

    A kept connection may go silent for good while new ones work. So each failure
    closes it, and the next call makes a new one.

    Attributes:
        address: Host and port of the endpoint.
        transfer: How far the newest answer has come.
    """

    def __init__(self, host: str, port: int, *, connect_timeout: float) -> None:
        """Prepares; connects with the first call.

        Args:
            host: IP number of the endpoint.
            port: Its port.
            connect_timeout: Time allowed for a connection, seconds; more after each
                that could not be made.
        """
        self.address = (host, port)
        self._connect_timeout = connect_timeout
        self._failures = 0
        self._socket: socket.socket | None = None
        self._is_calling = False
        self._is_closed = False
        self.transfer = TransferProgress()

    def request(
        self, method: str, target: str, body: bytes = b"", *, timeout: float
    ) -> HttpResponse:
        """Makes a call.

        Args:
            method: HTTP method.
            target: Path with query.
            body: Body, JSON.
            timeout: Silence allowed until the answer and within it, seconds. A long
                answer on a slow link is not lost while it flows: at 5 Mbit/s the
                configuration of 1,700 routes takes 0.65 s, and with a time for the
                whole each try was given up just before its end.

        Returns:
            The answer, whatever its status.

        Raises:
            RequestNotSentError: No connection, or the client is closed.
            ResponseLostError: The answer or a part of it did not come in time.
        """
        self._is_calling = True
        try:
            return self._exchange(method, target, body, timeout)
        finally:
            self._is_calling = False
            self.transfer = attrs.evolve(self.transfer, is_complete=True)
            if self._is_closed:
                self._disconnect()

    def close(self) -> None:
        """Ends the client for good, also a call that waits in another thread.

        Guards against a process that outlasts its notice: it ends when its last thread
        has, and one that waited for a store that does not answer, or read a long
        configuration, went on for seconds.
        """
        self._is_closed = True
        connection = self._socket
        if connection is not None:
            # Not connected any more, or not yet: then closing it ends the wait.
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        if not self._is_calling:
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
            return self._read(connection, timeout)
        except (OSError, ValueError, httptools.HttpParserError) as error:
            self._disconnect()
            raise ResponseLostError(str(error)) from error

    def _connect(self, timeout: float) -> socket.socket:
        if self._socket is None:
            allowed = min(timeout, self._connect_timeout)
            connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            connection.settimeout(extend_timeout(allowed, failures=self._failures))
            # Kept before it connects, so that `close` ends that wait as well.
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
            _notice_silence(connection)
            return connection
        return self._socket

    def _read(self, connection: socket.socket, timeout: float) -> HttpResponse:
        reader = _AnswerReader()
        parser = httptools.HttpResponseParser(reader)
        give_up_at = time.monotonic() + timeout + FLOWING_SECONDS_MAXIMUM
        while not reader.is_complete:
            earned = reader.size / FLOWING_RATE_MINIMUM
            if time.monotonic() > give_up_at + earned:
                raise TimeoutError("answer too slow")
            data = connection.recv(READ_BYTES)
            if not data:
                raise ConnectionResetError("closed before the answer's end")
            now = time.monotonic()
            first_received_at = (
                now if self.transfer.is_complete else self.transfer.first_received_at
            )
            self.transfer = TransferProgress(first_received_at, now, is_complete=False)
            parser.feed_data(data)
            connection.settimeout(min(timeout, PART_SECONDS_MAXIMUM))
        if not parser.should_keep_alive():
            self._disconnect()
        return HttpResponse(parser.get_status_code(), b"".join(reader.parts))


def _notice_silence(connection: socket.socket) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_NODELAY, 1),
        (socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_KEEPCNT, PROBES),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLISECONDS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
