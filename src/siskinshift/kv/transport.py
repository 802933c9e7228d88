"""HTTP towards the key-value service; a new connection for each call.

Calls are few, and a kept connection could go silent for good while new ones work.
"""

from __future__ import annotations

import contextlib
import http.client
import socket
import time
from typing import TYPE_CHECKING
from typing import Protocol

from siskinshift.core.http import HttpResponse
from siskinshift.kv.exceptions import StoreOutcomeUnknownError
from siskinshift.kv.exceptions import StoreUnavailableError


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.settings.generated import KvSettings


READ_SIZE = 65536
ANSWER_SIZE_MAXIMUM = 64 << 20
LINE_SIZE_MAXIMUM = 8 << 20


class LineStream(Protocol):
    """Answer that goes on: one JSON document a line."""

    def __iter__(self) -> Iterator[bytes]:
        """Waits for lines; ends when the store is silent for too long or closes."""

    def close(self) -> None:
        """Ends the stream, also one that waits in another thread."""


class EtcdTransport(Protocol):
    """Carries calls to the store."""

    def post(self, path: str, body: bytes) -> HttpResponse:
        """Makes a call.

        Raises:
            StoreUnavailableError: The call was not sent.
            StoreOutcomeUnknownError: It was sent; no whole answer came in time.
        """

    def stream(self, path: str, body: bytes) -> LineStream:
        """Makes a call whose answer goes on.

        Raises:
            StoreUnavailableError: It could not be opened.
        """


class HttpTransport:
    """Talks to one of the configured endpoints, the next one after a failure."""

    def __init__(self, settings: KvSettings) -> None:
        self._settings = settings
        self._next = 0

    def post(self, path: str, body: bytes) -> HttpResponse:
        """Makes a call; see EtcdTransport."""
        until = time.monotonic() + self._settings.timeout
        connection = self._connect()
        try:
            connection.request("POST", path, body=body)
            response = connection.getresponse()
            return HttpResponse(response.status, _read_whole(response, until))
        except (OSError, http.client.HTTPException) as error:
            self._next += 1
            raise StoreOutcomeUnknownError(f"answer lost: {error}") from error
        finally:
            connection.close()

    def stream(self, path: str, body: bytes) -> HttpLineStream:
        """Makes a call whose answer goes on; see EtcdTransport."""
        connection = self._connect()
        # The connection may let go of it once the header of the answer is read.
        stream_socket = connection.sock
        try:
            connection.request("POST", path, body=body)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self._next += 1
            connection.close()
            raise StoreUnavailableError(f"watch not opened: {error}") from error
        if response.status != http.HTTPStatus.OK:
            connection.close()
            raise StoreUnavailableError(f"watch refused: status {response.status}")
        stream_socket.settimeout(self._settings.watch_interval)
        return HttpLineStream(connection, response, stream_socket)

    def _connect(self) -> http.client.HTTPConnection:
        if not self._settings.endpoints:
            raise StoreUnavailableError("no endpoint in the settings")
        endpoint = self._settings.endpoints[self._next % len(self._settings.endpoints)]
        connection = http.client.HTTPConnection(
            endpoint.host, endpoint.port, timeout=self._settings.timeout
        )
        try:
            connection.connect()
        except OSError as error:
            self._next += 1
            raise StoreUnavailableError(f"not reached: {error}") from error
        return connection


class HttpLineStream:
    """Lines of a chunked HTTP answer."""

    def __init__(
        self,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
        stream_socket: socket.socket,
    ) -> None:
        """Takes over an answer whose header was read.

        Args:
            connection: Closed with the stream.
            response: The answer.
            stream_socket: Its socket; the time-out set on it ends a silent stream.
        """
        self._connection = connection
        self._response = response
        self._socket = stream_socket

    def __iter__(self) -> Iterator[bytes]:
        """Waits for lines; see LineStream."""
        try:
            while line := self._response.readline(LINE_SIZE_MAXIMUM):
                yield line
        except (OSError, ValueError, http.client.HTTPException):
            # Silence, a reset or `close`: the reader opens a new watch where this
            # one ended, so nothing is missed.
            return
        finally:
            self._connection.close()

    def close(self) -> None:
        """Ends the stream; see LineStream."""
        # Only woken up here: the library's objects are closed by the thread that
        # reads them. The other end may have closed the socket already.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)


def _read_whole(response: http.client.HTTPResponse, until: float) -> bytes:
    # A store that sends a byte now and then would never meet a socket time-out.
    parts: list[bytes] = []
    size = 0
    while part := response.read1(READ_SIZE):
        parts.append(part)
        size += len(part)
        if size > ANSWER_SIZE_MAXIMUM or time.monotonic() > until:
            raise TimeoutError("answer too slow or too large")
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    return b"".join(parts)
