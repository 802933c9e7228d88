"""A reply that tells what became of its request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.core.errors import ErrorKind
from siskinshift.messages.core import OutcomeKind


if TYPE_CHECKING:
    from collections.abc import Callable

    from siskinshift.agent.calls import Headers
    from siskinshift.agent.calls import Reply


# The caller's own decision; neither good nor bad service.
UNCOUNTED_KINDS = frozenset({ErrorKind.CANCELLED, ErrorKind.CANCELLED_RUNNING})


class ObservedReply:
    """Passes everything on and reports the outcome once.

    An answer is reported with its head: an event stream lasts for hours, and what
    its caller waits for is its beginning. One that breaks off later is reported by
    the flow that carried it.
    """

    def __init__(self, reply: Reply, report: Callable[[OutcomeKind], None]) -> None:
        """Wraps a reply.

        Args:
            reply: Where the answer goes.
            report: Called once with the outcome.
        """
        self._reply = reply
        self._report = report
        self._is_reported = False

    def start(self, status: int, headers: Headers) -> None:
        """Passes the head of the upstream's answer on."""
        self._report_once(OutcomeKind.ANSWERED)
        self._reply.start(status, headers)

    def data(self, chunk: bytes) -> None:
        """Passes a piece of the body on as it came."""
        self._reply.data(chunk)

    def end(self) -> None:
        """Ends a whole answer."""
        self._reply.end()

    def abort(self) -> None:
        """Ends an answer that stays incomplete."""
        self._report_once(OutcomeKind.UNKNOWN)
        self._reply.abort()

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        """Gives the final answer for a request that has none of the upstream."""
        if error not in UNCOUNTED_KINDS:
            self._report_once(ERROR_RESPONSES_BY_KIND[error].outcome)
        self._reply.fail(error, retry_after=retry_after)

    def _report_once(self, outcome: OutcomeKind) -> None:
        if self._is_reported:
            return
        self._is_reported = True
        self._report(outcome)
