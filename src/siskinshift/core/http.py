"""HTTP response, independent of the client that received it."""

from __future__ import annotations

from attrs import frozen


@frozen
class HttpResponse:
    """Response to an HTTP request.

    Attributes:
        status: HTTP status code.
        body: Response body.
    """

    status: int
    body: bytes
