"""Builds HTTP responses for requests that have no response from the upstream."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND


if TYPE_CHECKING:
    from siskinshift.core.errors import ErrorKind


OUTCOME_HEADER = "siskinshift-outcome"
ERROR_HEADER = "siskinshift-error"
RETRY_AFTER_HEADER = "retry-after"


def failure_fields(
    error: ErrorKind, *, retry_after: float | None
) -> list[tuple[bytes, bytes]]:
    """Builds the header fields of a final response from the table of error kinds.

    Args:
        error: Why there is no response from the upstream.
        retry_after: Seconds after which the caller may retry, or None.

    Returns:
        The HTTP/3 header fields.
    """
    response = ERROR_RESPONSES_BY_KIND[error]
    fields = [
        (":status", str(response.http_status)),
        (OUTCOME_HEADER, response.outcome.value),
        (ERROR_HEADER, error.value),
        ("content-length", "0"),
    ]
    if retry_after is not None and response.retryable:
        fields.append((RETRY_AFTER_HEADER, str(math.ceil(retry_after))))
    return [(name.encode(), value.encode()) for name, value in fields]
