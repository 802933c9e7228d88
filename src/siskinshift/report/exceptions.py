"""Exceptions raised by reports."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class MetricsUnreachableError(SiskinshiftError):
    """Raised when no process served its metrics."""

    kind = ErrorKind.PEER_UNREACHABLE


class ReportArgumentError(SiskinshiftError):
    """Raised when an argument of the report is not allowed."""

    kind = ErrorKind.INVALID_ARGUMENT
