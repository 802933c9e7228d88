"""Parses the header fields of an HTTP/3 request.

Implements RFC 9114 (pseudo-header fields) and RFC 9110 (methods, hop-by-hop fields).
The `Idempotency-Key` field follows the draft of the IETF HTTPAPI working group.
"""

from __future__ import annotations

from attrs import frozen

from siskinshift.agent.exceptions import BadRequestError
from siskinshift.agent.http_requests import Headers


# Remaining timeout of the caller in milliseconds; relative, so that clocks need not be
# synchronized.
TIMEOUT_HEADER = "siskinshift-timeout-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE"})
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@frozen
class RequestHead:
    """Parsed header fields of a request.

    Attributes:
        method: HTTP method.
        path: Path including the query.
        headers: End-to-end headers for the upstream.
        authorization: Value of the Authorization header, or empty.
        key: Idempotency key, or empty.
        timeout: Seconds that the caller waits for the response.
    """

    method: str
    path: str
    headers: Headers
    authorization: str
    key: str
    timeout: float

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may safely run twice.

        True for idempotent methods, and with an idempotency key, by which the upstream
        detects duplicates.
        """
        return self.method in IDEMPOTENT_METHODS or bool(self.key)


def read_head(fields: list[tuple[bytes, bytes]], *, timeout: float) -> RequestHead:
    """Parses the header fields of a request.

    Args:
        fields: Header fields as received.
        timeout: Maximum and default timeout, seconds.

    Returns:
        The parsed fields.

    Raises:
        BadRequestError: A required field is missing or invalid.
    """
    text_fields = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in fields]
    values_by_name = dict(text_fields)
    try:
        method, path = values_by_name[":method"], values_by_name[":path"]
    except KeyError as error:
        raise BadRequestError(f"missing pseudo-header {error}") from error
    if not path.startswith("/") or not method.isalpha():
        raise BadRequestError("invalid method or path")
    headers = tuple(
        (name, value)
        for name, value in text_fields
        if not name.startswith(":") and name not in HOP_BY_HOP_HEADERS
    )
    return RequestHead(
        method=method,
        path=path,
        headers=headers,
        authorization=values_by_name.get("authorization", ""),
        key=values_by_name.get(IDEMPOTENCY_KEY_HEADER, ""),
        timeout=_read_timeout(values_by_name.get(TIMEOUT_HEADER), timeout),
    )


def _read_timeout(text: str | None, max_timeout: float) -> float:
    if text is None:
        return max_timeout
    try:
        milliseconds = int(text)
    except ValueError as error:
        raise BadRequestError(TIMEOUT_HEADER) from error
    return min(max(milliseconds, 0) / 1000, max_timeout)
