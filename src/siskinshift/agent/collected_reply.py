"""Collects an answer that goes back to the peer that holds the request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.agent.exceptions import UpstreamFailedError


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.calls import Headers
    from siskinshift.core.errors import ErrorKind


ANSWER_SIZE_MAXIMUM = 16 << 20


class CollectedReply:
    """A `Reply` that keeps the answer.

    Attributes:
        status: HTTP status; 0 before the answer's head came.
        headers: End-to-end headers.
        body: The body so far.
        is_whole: Whether the answer came to its end.
        is_stream: Whether the answer turned out to be a stream.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: Headers = ()
        self.body = bytearray()
        self.is_whole = False
        self.is_stream = False
        self.on_too_large: Callable[[], None] | None = None

    def refuse_stream(self) -> None:
        """Ends an exchange whose answer is a stream: it can't go back whole.

        Raises:
            UpstreamFailedError: Always.
        """
        self.is_stream = True
        raise UpstreamFailedError("a stream for a peer")

    def start(self, status: int, headers: Headers) -> None:
        """Takes the head."""
        self.status = status
        self.headers = headers

    def data(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        self.body += chunk
        if len(self.body) > ANSWER_SIZE_MAXIMUM and self.on_too_large is not None:
            self.on_too_large()

    def end(self) -> None:
        """Takes the end of a whole answer."""
        self.is_whole = True

    def abort(self) -> None:
        """Takes the end of an answer that stays incomplete."""

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Takes a failure; the peer is told by the outcome."""
