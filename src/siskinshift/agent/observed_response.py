"""A response writer that reports the outcome of its request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import OutcomeKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.http_requests import Headers
    from siskinshift.agent.http_requests import ResponseWriter


# Cancelled by the caller, so neither a good nor a bad event.
UNCOUNTED_KINDS = frozenset({ErrorKind.CANCELLED, ErrorKind.CANCELLED_RUNNING})


class ObservedResponse:
    """Forwards the response and reports the outcome once.

    The outcome is reported when the response starts: an event stream lasts for hours,
    and its latency is the time to its start. A response that breaks off later is
    reported by its flow.
    """

    def __init__(
        self, writer: ResponseWriter, report: Callable[[OutcomeKind], None]
    ) -> None:
        """Wraps a response writer.

        Args:
            writer: Writes the response to the caller.
            report: Called once with the outcome.
        """
        self._writer = writer
        self._report = report
        self._is_reported = False

    def start(self, status: int, headers: Headers) -> None:
        """Writes the status and headers of the upstream's response."""
        self._report_once(OutcomeKind.ANSWERED)
        self._writer.start(status, headers)

    def write(self, chunk: bytes) -> None:
        """Writes a part of the body."""
        self._writer.write(chunk)

    def end(self) -> None:
        """Completes the response."""
        self._writer.end()

    def abort(self) -> None:
        """Ends an incomplete response."""
        self._report_once(OutcomeKind.UNKNOWN)
        self._writer.abort()

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Writes the final response of a request that got none from the upstream."""
        if error not in UNCOUNTED_KINDS:
            self._report_once(ERROR_RESPONSES_BY_KIND[error].outcome)
        self._writer.fail(error, retry_after=retry_after)

    def _report_once(self, outcome: OutcomeKind) -> None:
        if self._is_reported:
            return
        self._is_reported = True
        self._report(outcome)
