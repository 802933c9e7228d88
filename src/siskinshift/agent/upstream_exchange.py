"""Runs one request at the upstream over HTTP/1.1 and relays the response."""

from __future__ import annotations

import http.client
import socket
import threading
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.agent.exceptions import UpstreamFailedError
from siskinshift.agent.exceptions import UpstreamTimeoutError
from siskinshift.agent.exceptions import UpstreamUnreachableError
from siskinshift.agent.http_requests import EVENT_STREAM
from siskinshift.agent.request_heads import HOP_BY_HOP_HEADERS
from siskinshift.agent.request_heads import TIMEOUT_HEADER
from siskinshift.core.requests import RunResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.http_requests import Headers
    from siskinshift.agent.http_requests import HttpRequest
    from siskinshift.agent.upstream_connections import UpstreamConnections
    from siskinshift.core.clocks import Clock


CHUNK_SIZE = 65536
SERVER_ERROR_STATUS = 500
# The upstream is overloaded; its response is still relayed to the caller.
SHED_STATUSES = frozenset({429, 503})
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS - {"content-length"}
# Closes a stream that the upstream has abandoned without closing the connection.
STREAM_IDLE_TIMEOUT_SECONDS = 4 * 3600.0


@frozen
class ExchangeEnd:
    """How an exchange ended.

    Attributes:
        result: Result of the request at the upstream.
        succeeded: Whether the response counts as a success of the upstream.
        has_response: Whether the caller received a response, complete or truncated.
    """

    result: RunResult
    succeeded: bool = False
    has_response: bool = False


class UpstreamExchange:
    """Sends a request to the upstream and relays the response as it arrives."""

    def __init__(
        self,
        *,
        http_request: HttpRequest,
        connections: UpstreamConnections,
        clock: Clock,
        on_event_stream: Callable[[], None],
    ) -> None:
        """Initializes the exchange.

        Args:
            http_request: The request.
            connections: Connections to the upstream.
            clock: Clock of the process.
            on_event_stream: Called when the response is an event stream.
        """
        self.http_request = http_request
        self._connections = connections
        self._clock = clock
        self._on_event_stream = on_event_stream
        self._lock = threading.Lock()
        self._connection: http.client.HTTPConnection | None = None
        self._socket: socket.socket | None = None
        self._is_cancelled = False
        self._is_offered = False
        self._has_response_started = False

    def run(self) -> ExchangeEnd:
        """Runs the request and relays the upstream's response.

        Returns:
            How it ended. Without a response the gate decides what the caller gets.
        """
        if self.http_request.request.deadline <= self._clock():
            return ExchangeEnd(RunResult.NOT_OFFERED)
        try:
            response = self._send_request()
            return self._relay_response(response)
        except (UpstreamUnreachableError, UpstreamFailedError, UpstreamTimeoutError):
            return self._failed_end()

    def cancel(self) -> None:
        """Cancels the request by closing the connection, as HTTP/1.1 has no cancel."""
        with self._lock:
            self._is_cancelled = True
            upstream_socket = self._socket
        if upstream_socket is not None:
            try:
                upstream_socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return  # Already closed.

    @property
    def has_response_started(self) -> bool:
        """Whether the response to the caller has been started."""
        return self._has_response_started

    def _failed_end(self) -> ExchangeEnd:
        if self._connection is not None:
            self._connection.close()
        if self._has_response_started:
            self.http_request.writer.abort()
            return ExchangeEnd(RunResult.LOST, has_response=True)
        # "not run" is only correct if no byte was sent to the upstream.
        was_offered = self._is_offered
        return ExchangeEnd(RunResult.LOST if was_offered else RunResult.NOT_OFFERED)

    def _send_request(self) -> http.client.HTTPResponse:
        idle_connection = None
        if self.http_request.request.repeatable:
            idle_connection = self._connections.claim_idle(
                timeout=self._remaining_seconds()
            )
        if idle_connection is None:
            return self._send_request_on(
                self._connections.open(timeout=self._remaining_seconds())
            )
        try:
            return self._send_request_on(idle_connection)
        except UpstreamFailedError:
            if self._is_cancelled:
                raise
        # The upstream may have closed the idle connection just before the request. The
        # caller would get an error although the upstream is healthy. Only repeatable
        # requests use idle connections, so sending the request again is safe.
        return self._send_request_on(
            self._connections.open(timeout=self._remaining_seconds())
        )

    def _send_request_on(
        self, connection: http.client.HTTPConnection
    ) -> http.client.HTTPResponse:
        with self._lock:
            self._connection = connection
            # http.client hands the socket to the response when that ends by closing.
            self._socket = connection.sock
            if self._is_cancelled:
                connection.close()
                raise UpstreamUnreachableError("cancelled before the request was sent")
            # From here on some bytes may have been sent, whatever error follows.
            self._is_offered = True
        http_request = self.http_request
        headers = dict(http_request.headers)
        headers[TIMEOUT_HEADER] = str(int(self._remaining_seconds() * 1000))
        try:
            connection.request(
                http_request.method,
                http_request.path,
                body=http_request.body,
                headers=headers,
            )
            return connection.getresponse()
        except TimeoutError as error:
            connection.close()
            raise UpstreamTimeoutError(http_request.path) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise UpstreamFailedError(str(error)) from error

    def _relay_response(self, response: http.client.HTTPResponse) -> ExchangeEnd:
        connection = self._connection
        assert connection is not None
        assert self._socket is not None
        if EVENT_STREAM in response.headers.get("content-type", ""):
            # The slot of the upstream is free again; only the connection is held.
            self._socket.settimeout(STREAM_IDLE_TIMEOUT_SECONDS)
            self._on_event_stream()
        self._has_response_started = True
        self.http_request.writer.start(response.status, _end_to_end_headers(response))
        try:
            self._relay_body(response)
        except TimeoutError as error:
            connection.close()
            raise UpstreamTimeoutError(self.http_request.path) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise UpstreamFailedError(str(error)) from error
        self.http_request.writer.end()
        if response.will_close or self._is_cancelled:
            connection.close()
        else:
            self._connections.release(connection)
        return _completed_end(response.status)

    def _relay_body(self, response: http.client.HTTPResponse) -> None:
        while chunk := response.read1(CHUNK_SIZE):
            self.http_request.writer.write(chunk)
        # read1 does not raise when a response ends before its Content-Length.
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)

    def _remaining_seconds(self) -> float:
        return max(self.http_request.request.deadline - self._clock(), 0.001)


def _completed_end(status: int) -> ExchangeEnd:
    if status in SHED_STATUSES:
        return ExchangeEnd(RunResult.SHED, has_response=True)
    succeeded = status < SERVER_ERROR_STATUS
    return ExchangeEnd(RunResult.ANSWERED, succeeded=succeeded, has_response=True)


def _end_to_end_headers(response: http.client.HTTPResponse) -> Headers:
    return tuple(
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() not in DROPPED_RESPONSE_HEADERS
    )
