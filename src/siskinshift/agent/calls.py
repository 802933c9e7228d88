"""A caller's request with its HTTP parts, and where its answer goes."""

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


class Reply(Protocol):
    """Takes the answer to one request; every method returns at once."""

    def start(self, status: int, headers: Headers) -> None:
        """Passes the head of the upstream's answer on."""

    def data(self, chunk: bytes) -> None:
        """Passes a piece of the body on as it came."""

    def end(self) -> None:
        """Ends a whole answer."""

    def abort(self) -> None:
        """Ends an answer that stays incomplete, so that nobody takes it as whole."""

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Gives the final answer for a request that has none of the upstream."""


@frozen(eq=False)
class Call:
    """A request that arrived whole.

    Attributes:
        request: What admission sees of it.
        method: HTTP method.
        path: Path with the query.
        headers: End-to-end headers for the upstream.
        body: The whole body.
        reply: Where the answer goes.
    """

    request: Request
    method: str
    path: str
    headers: Headers
    body: bytes
    reply: Reply
