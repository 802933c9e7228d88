"""HTTP transport to the key-value service, with a new connection for each request.

Requests are rare, and a persistent connection could stall while new ones work.
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
    from collections.abc import Mapping

    from siskinshift.settings.generated import KvSettings


READ_SIZE = 65536
MAX_RESPONSE_SIZE = 64 << 20
MAX_LINE_SIZE = 8 << 20


class LineStream(Protocol):
    """A streamed response with one JSON document per line."""

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the response by their name in lower case."""

    def __iter__(self) -> Iterator[bytes]:
        """Yields lines; ends at the idle timeout or when the store closes it."""

    def close(self) -> None:
        """Closes the stream, even while another thread waits on it."""


class EtcdTransport(Protocol):
    """Sends requests to the store."""

    def post(self, path: str, body: bytes) -> HttpResponse:
        """Sends a request and returns its response.

        Raises:
            StoreUnavailableError: The request was not sent.
            StoreOutcomeUnknownError: It was sent, but no complete response arrived in
                time.
        """

    def stream(self, path: str, body: bytes) -> LineStream:
        """Sends a request whose response is streamed.

        Raises:
            StoreUnavailableError: The stream could not be opened.
        """


class HttpTransport:
    """Sends requests to one endpoint, and to the next one after a failure."""

    def __init__(self, settings: KvSettings) -> None:
        self._settings = settings
        self._endpoint_index = 0

    def post(self, path: str, body: bytes) -> HttpResponse:
        """Sends a request; see EtcdTransport."""
        deadline = time.monotonic() + self._settings.timeout
        connection = self._connect()
        try:
            connection.request("POST", path, body=body)
            response = connection.getresponse()
            headers = _lower_names(response)
            body = _read_body(response, deadline)
            return HttpResponse(response.status, body, headers)
        except (OSError, http.client.HTTPException) as error:
            self._endpoint_index += 1
            raise StoreOutcomeUnknownError(f"answer lost: {error}") from error
        finally:
            connection.close()

    def stream(self, path: str, body: bytes) -> HttpLineStream:
        """Sends a request whose response is streamed; see EtcdTransport."""
        connection = self._connect()
        # The connection may drop its reference once the response header is read.
        stream_socket = connection.sock
        try:
            connection.request("POST", path, body=body)
            response = connection.getresponse()
        except (OSError, http.client.HTTPException) as error:
            self._endpoint_index += 1
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
        endpoint = self._settings.endpoints[
            self._endpoint_index % len(self._settings.endpoints)
        ]
        connection = http.client.HTTPConnection(
            endpoint.host, endpoint.port, timeout=self._settings.timeout
        )
        try:
            connection.connect()
        except OSError as error:
            self._endpoint_index += 1
            raise StoreUnavailableError(f"not reached: {error}") from error
        return connection


class HttpLineStream:
    """Lines of a chunked HTTP response."""

    def __init__(
        self,
        connection: http.client.HTTPConnection,
        response: http.client.HTTPResponse,
        stream_socket: socket.socket,
    ) -> None:
        """Takes ownership of a response whose header was read.

        Args:
            connection: Its connection, which is closed with the stream.
            response: The response.
            stream_socket: Its socket, whose timeout ends an idle stream.
        """
        self._connection = connection
        self._response = response
        self._socket = stream_socket
        self._headers = _lower_names(response)

    @property
    def headers(self) -> Mapping[str, str]:
        """Headers of the response; see LineStream."""
        return self._headers

    def __iter__(self) -> Iterator[bytes]:
        """Yields lines; see LineStream."""
        try:
            while line := self._response.readline(MAX_LINE_SIZE):
                yield line
        except (OSError, ValueError, http.client.HTTPException):
            # A timeout, a reset or `close`: the reader opens a new watch where this
            # one ended, so no change is missed.
            return
        finally:
            self._connection.close()

    def close(self) -> None:
        """Closes the stream; see LineStream."""
        # This only wakes the reading thread, which closes the HTTP objects. The peer
        # may have closed the socket already.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)


def _lower_names(response: http.client.HTTPResponse) -> dict[str, str]:
    return {name.lower(): value for name, value in response.getheaders()}


def _read_body(response: http.client.HTTPResponse, deadline: float) -> bytes:
    # A store that sends a byte occasionally would never trigger the socket timeout.
    chunks: list[bytes] = []
    size = 0
    while chunk := response.read1(READ_SIZE):
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_RESPONSE_SIZE or time.monotonic() > deadline:
            raise TimeoutError("answer too slow or too large")
    if response.length:
        raise http.client.IncompleteRead(b"", response.length)
    return b"".join(chunks)
