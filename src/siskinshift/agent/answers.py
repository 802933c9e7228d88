"""HTTP answers for requests that the upstream did not answer."""

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
    """Builds the head of a final answer from the table of error kinds.

    Args:
        error: Why the upstream did not answer.
        retry_after: Seconds after which a new try is welcome, or None.

    Returns:
        Fields of HTTP/3.
    """
    answer = ERROR_RESPONSES_BY_KIND[error]
    fields = [
        (":status", str(answer.http_status)),
        (OUTCOME_HEADER, answer.outcome.value),
        (ERROR_HEADER, error.value),
        ("content-length", "0"),
    ]
    if retry_after is not None and answer.retryable:
        fields.append((RETRY_AFTER_HEADER, str(math.ceil(retry_after))))
    return [(name.encode(), value.encode()) for name, value in fields]
