"""Buffers a response that is returned to the peer that holds the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.agent.exceptions import UpstreamFailedError


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.http_requests import Headers
    from siskinshift.core.errors import ErrorKind


MAX_RESPONSE_BYTES = 16 << 20


class BufferedResponse:
    """A `ResponseWriter` that stores the response.

    Attributes:
        status: HTTP status; 0 until the response starts.
        headers: End-to-end headers.
        body: Body received so far.
        is_complete: Whether the response was received in full.
        is_stream: Whether the response is an event stream.
        on_too_large: Called when the body exceeds `MAX_RESPONSE_BYTES`.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.body = bytearray()
        self.is_complete = False
        self.is_stream = False
        self.on_too_large: Callable[[], None] | None = None

    def reject_stream(self) -> None:
        """Fails an exchange whose response is a stream and can't be buffered.

        Raises:
            UpstreamFailedError: Always.
        """
        self.is_stream = True
        raise UpstreamFailedError("event streams are not relayed to peers")

    def start(self, status: int, headers: Headers) -> None:
        """Stores the status and headers."""
        self.status = status
        self.headers = headers

    def write(self, chunk: bytes) -> None:
        """Appends a part of the body."""
        self.body += chunk
        if len(self.body) > MAX_RESPONSE_BYTES and self.on_too_large is not None:
            self.on_too_large()

    def end(self) -> None:
        """Marks the response as complete."""
        self.is_complete = True

    def abort(self) -> None:
        """Leaves the response incomplete."""

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Ignores the failure; the peer receives it as the outcome."""
