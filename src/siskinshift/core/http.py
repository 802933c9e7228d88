"""HTTP response, independent of the client that received it."""

from __future__ import annotations

from collections.abc import Mapping

from attrs import Factory
from attrs import frozen


@frozen
class HttpResponse:
    """Response to an HTTP request.

    Attributes:
        status: HTTP status code.
        body: Response body.
        headers: Headers by their name in lower case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str] = Factory(dict)
