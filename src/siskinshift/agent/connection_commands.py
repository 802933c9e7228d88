"""Commands for the task of a caller's connection."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.http_requests import Headers


@frozen
class ReceiveDatagram:
    """Command: process a datagram of the caller.

    Attributes:
        payload: The datagram.
    """

    payload: bytes


@frozen
class GoAway:
    """Command: send GOAWAY, so that the caller opens a new connection."""


@frozen
class CloseConnection:
    """Command: close the connection immediately.

    Attributes:
        is_abrupt: Whether no CONNECTION_CLOSE is sent to the caller.
    """

    is_abrupt: bool


@frozen
class StartResponse:
    """Command: send the status and headers of a response.

    Attributes:
        stream_id: Stream of the request.
        status: HTTP status.
        headers: End-to-end headers.
    """

    stream_id: int
    status: int
    headers: tuple[tuple[str, str], ...]


@frozen
class SendData:
    """Command: send a part of a response body.

    Attributes:
        stream_id: Stream of the request.
        chunk: Part of the body.
    """

    stream_id: int
    chunk: bytes


@frozen
class EndResponse:
    """Command: complete a response.

    Attributes:
        stream_id: Stream of the request.
    """

    stream_id: int


@frozen
class AbortResponse:
    """Command: reset the stream of an incomplete response.

    Attributes:
        stream_id: Stream of the request.
    """

    stream_id: int


@frozen
class FailResponse:
    """Command: send the final response of a request that got none from the upstream.

    Attributes:
        stream_id: Stream of the request.
        error: Why there is no response from the upstream.
        retry_after: Seconds after which the caller may retry, or None.
    """

    stream_id: int
    error: ErrorKind
    retry_after: float | None


ResponseCommand: TypeAlias = (
    StartResponse | SendData | EndResponse | AbortResponse | FailResponse
)
Command: TypeAlias = ReceiveDatagram | GoAway | CloseConnection | ResponseCommand


class ConnectionResponseWriter:
    """Writes a response by sending commands to the connection's task."""

    def __init__(self, stream_id: int, post: Callable[[Command], None]) -> None:
        """Binds the writer to a stream.

        Args:
            stream_id: Stream of the request.
            post: Queues a command for the connection.
        """
        self._stream_id = stream_id
        self._post = post

    def start(self, status: int, headers: Headers) -> None:
        """Writes the status and headers of the upstream's response."""
        self._post(StartResponse(self._stream_id, status, headers))

    def write(self, chunk: bytes) -> None:
        """Writes a part of the body."""
        self._post(SendData(self._stream_id, chunk))

    def end(self) -> None:
        """Completes the response."""
        self._post(EndResponse(self._stream_id))

    def abort(self) -> None:
        """Ends an incomplete response."""
        self._post(AbortResponse(self._stream_id))

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Writes the final response of a request that got none from the upstream."""
        self._post(FailResponse(self._stream_id, error, retry_after))
