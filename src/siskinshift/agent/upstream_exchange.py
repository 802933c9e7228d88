"""One request at the upstream over HTTP/1.1, written straight down."""

from __future__ import annotations

import http.client
import socket
import threading
from typing import TYPE_CHECKING

from attrs import frozen

from siskinshift.agent.calls import EVENT_STREAM
from siskinshift.agent.exceptions import UpstreamFailedError
from siskinshift.agent.exceptions import UpstreamTimeoutError
from siskinshift.agent.exceptions import UpstreamUnreachableError
from siskinshift.agent.request_heads import HOP_BY_HOP_HEADERS
from siskinshift.agent.request_heads import TIMEOUT_HEADER
from siskinshift.core.requests import RunResult


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.calls import Call
    from siskinshift.agent.calls import Headers
    from siskinshift.agent.upstream_connections import UpstreamConnections
    from siskinshift.core.clocks import Clock


CHUNK_SIZE = 65536
SERVER_ERROR_STATUS = 500
# The upstream has too much to do; its answer goes to the caller all the same.
SHED_STATUSES = frozenset({429, 503})
DROPPED_RESPONSE_HEADERS = HOP_BY_HOP_HEADERS - {"content-length"}
# Ends a stream whose upstream lost track of the connection.
STREAM_SILENCE_SECONDS = 4 * 3600.0


@frozen
class ExchangeEnd:
    """How an exchange ended.

    Attributes:
        result: What became of the request at the upstream.
        succeeded: Whether the upstream did well.
        is_answered: Whether the caller has an answer, whole or cut short.
    """

    result: RunResult
    succeeded: bool = False
    is_answered: bool = False


class UpstreamExchange:
    """Offers a request to the upstream and passes the answer on as it comes."""

    def __init__(
        self,
        *,
        call: Call,
        connections: UpstreamConnections,
        clock: Clock,
        on_streaming: Callable[[], None],
    ) -> None:
        """Prepares the exchange.

        Args:
            call: The request.
            connections: Connections to the upstream.
            clock: Clock of the process.
            on_streaming: Called when the answer turns out to be an event stream.
        """
        self.call = call
        self._connections = connections
        self._clock = clock
        self._on_streaming = on_streaming
        self._lock = threading.Lock()
        self._connection: http.client.HTTPConnection | None = None
        self._socket: socket.socket | None = None
        self._is_cancelled = False
        self._is_offered = False
        self._is_started = False

    def run(self) -> ExchangeEnd:
        """Runs the request; passes on what the upstream answers.

        Returns:
            How it ended; a caller that got nothing is answered by the gate's decision.
        """
        if self.call.request.deadline <= self._clock():
            return ExchangeEnd(RunResult.NOT_OFFERED)
        try:
            response = self._offer()
            return self._pass_on(response)
        except (UpstreamUnreachableError, UpstreamFailedError, UpstreamTimeoutError):
            return self._broken_end()

    def cancel(self) -> None:
        """Passes the caller's cancel on: HTTP/1.1 knows only the closed connection."""
        with self._lock:
            self._is_cancelled = True
            upstream_socket = self._socket
        if upstream_socket is not None:
            try:
                upstream_socket.shutdown(socket.SHUT_RDWR)
            except OSError:
                return  # Closed already.

    @property
    def is_started(self) -> bool:
        """Whether the caller has the head of an answer."""
        return self._is_started

    def _broken_end(self) -> ExchangeEnd:
        if self._connection is not None:
            self._connection.close()
        if self._is_started:
            self.call.reply.abort()
            return ExchangeEnd(RunResult.LOST, is_answered=True)
        # "not run" may be said only while no byte was offered to the upstream.
        offered = self._is_offered
        return ExchangeEnd(RunResult.LOST if offered else RunResult.NOT_OFFERED)

    def _offer(self) -> http.client.HTTPResponse:
        kept = None
        if self.call.request.repeatable:
            kept = self._connections.take_kept(timeout=self._remaining())
        if kept is None:
            return self._offer_on(self._connections.open(timeout=self._remaining()))
        try:
            return self._offer_on(kept)
        except UpstreamFailedError:
            if self._is_cancelled:
                raise
        # Guards against an upstream that closed its kept connection just now: the
        # caller would see an error though the upstream is well. Only requests that
        # may be repeated get here, so a second offer does no harm.
        return self._offer_on(self._connections.open(timeout=self._remaining()))

    def _offer_on(
        self, connection: http.client.HTTPConnection
    ) -> http.client.HTTPResponse:
        with self._lock:
            self._connection = connection
            # http.client gives the socket away once an answer ends by closing.
            self._socket = connection.sock
            if self._is_cancelled:
                connection.close()
                raise UpstreamUnreachableError("cancelled before it was offered")
            # From here on some bytes may have left, whatever an error says.
            self._is_offered = True
        call = self.call
        headers = dict(call.headers)
        headers[TIMEOUT_HEADER] = str(int(self._remaining() * 1000))
        try:
            connection.request(call.method, call.path, body=call.body, headers=headers)
            return connection.getresponse()
        except TimeoutError as error:
            connection.close()
            raise UpstreamTimeoutError(call.path) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise UpstreamFailedError(str(error)) from error

    def _pass_on(self, response: http.client.HTTPResponse) -> ExchangeEnd:
        connection = self._connection
        assert connection is not None
        assert self._socket is not None
        if EVENT_STREAM in response.headers.get("content-type", ""):
            # The upstream's slot has done its work; only the connection is held.
            self._socket.settimeout(STREAM_SILENCE_SECONDS)
            self._on_streaming()
        self._is_started = True
        self.call.reply.start(response.status, _end_to_end_headers(response))
        try:
            self._pass_body(response)
        except TimeoutError as error:
            connection.close()
            raise UpstreamTimeoutError(self.call.path) from error
        except (OSError, http.client.HTTPException, ValueError) as error:
            connection.close()
            raise UpstreamFailedError(str(error)) from error
        self.call.reply.end()
        if response.will_close or self._is_cancelled:
            connection.close()
        else:
            self._connections.keep(connection)
        return _whole_end(response.status)

    def _pass_body(self, response: http.client.HTTPResponse) -> None:
        while chunk := response.read1(CHUNK_SIZE):
            self.call.reply.data(chunk)
        # read1 says nothing of an answer that ends before its announced length.
        if response.length:
            raise http.client.IncompleteRead(b"", response.length)

    def _remaining(self) -> float:
        return max(self.call.request.deadline - self._clock(), 0.001)


def _whole_end(status: int) -> ExchangeEnd:
    if status in SHED_STATUSES:
        return ExchangeEnd(RunResult.SHED, is_answered=True)
    succeeded = status < SERVER_ERROR_STATUS
    return ExchangeEnd(RunResult.ANSWERED, succeeded=succeeded, is_answered=True)


def _end_to_end_headers(response: http.client.HTTPResponse) -> Headers:
    return tuple(
        (name.lower(), value)
        for name, value in response.headers.items()
        if name.lower() not in DROPPED_RESPONSE_HEADERS
    )
