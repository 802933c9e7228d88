"""An HTTP request of a caller and the writer of its response."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Protocol
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.requests import Request


if TYPE_CHECKING:
    from siskinshift.core.errors import ErrorKind


Headers: TypeAlias = tuple[tuple[str, str], ...]

EVENT_STREAM = "text/event-stream"


class ResponseWriter(Protocol):
    """Writes the response to one request; no method blocks."""

    def start(self, status: int, headers: Headers) -> None:
        """Writes the status and headers of the upstream's response."""

    def write(self, chunk: bytes) -> None:
        """Writes a part of the body."""

    def end(self) -> None:
        """Completes the response."""

    def abort(self) -> None:
        """Ends an incomplete response so that the caller can detect it."""

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Writes the final response of a request that got none from the upstream."""


@frozen(eq=False)
class HttpRequest:
    """A request that was received in full.

    Attributes:
        request: Request parameters used for admission.
        method: HTTP method.
        path: Path including the query.
        headers: End-to-end headers for the upstream.
        body: Complete body.
        writer: Writes the response.
    """

    request: Request
    method: str
    path: str
    headers: Headers
    body: bytes
    writer: ResponseWriter
