"""Reads the head of an HTTP/3 request.

Source: RFC 9114 (pseudo-headers), RFC 9110 (methods, hop-by-hop fields); the field
`Idempotency-Key` is the draft of the IETF's HTTPAPI group.
"""

from __future__ import annotations

from attrs import frozen

from siskinshift.agent.calls import Headers
from siskinshift.agent.exceptions import BadRequestError


# Milliseconds that the caller still waits; relative, so that clocks need not agree.
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
    """What the agent needs of a request's head.

    Attributes:
        method: HTTP method.
        path: Path with the query.
        headers: End-to-end headers for the upstream.
        authorization: Authorization header, or empty.
        key: Idempotency key, or empty.
        timeout: Seconds that the caller waits.
    """

    method: str
    path: str
    headers: Headers
    authorization: str
    key: str
    timeout: float

    @property
    def is_repeatable(self) -> bool:
        """Whether running the request twice does no harm.

        The method says so, or an idempotency key by which the upstream knows a
        request again.
        """
        return self.method in IDEMPOTENT_METHODS or bool(self.key)


def read_head(fields: list[tuple[bytes, bytes]], *, timeout: float) -> RequestHead:
    """Reads the fields of a request.

    Args:
        fields: Fields as they came.
        timeout: Longest wait allowed, seconds; also taken when none is named.

    Returns:
        The head.

    Raises:
        BadRequestError: A needed field is missing or can't be read.
    """
    texts = [(k.decode("latin-1"), v.decode("latin-1")) for k, v in fields]
    values_by_name = dict(texts)
    try:
        method, path = values_by_name[":method"], values_by_name[":path"]
    except KeyError as error:
        raise BadRequestError(f"no {error}") from error
    if not path.startswith("/") or not method.isalpha():
        raise BadRequestError("method or path")
    headers = tuple(
        (name, value)
        for name, value in texts
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


def _read_timeout(text: str | None, longest: float) -> float:
    if text is None:
        return longest
    try:
        milliseconds = int(text)
    except ValueError as error:
        raise BadRequestError(TIMEOUT_HEADER) from error
    return min(max(milliseconds, 0) / 1000, longest)
