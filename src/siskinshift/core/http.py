"""An answer to an HTTP call, whatever carried it."""

from __future__ import annotations

from attrs import frozen


@frozen
class HttpResponse:
    """Answer to a call.

    Attributes:
        status: HTTP status.
        body: Body of the answer.
    """

    status: int
    body: bytes
