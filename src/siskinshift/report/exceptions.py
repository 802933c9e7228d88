"""Exceptions raised by reports."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class MetricsUnreachableError(SiskinshiftError):
    """No process served its metrics."""

    kind = ErrorKind.PEER_UNREACHABLE


class ReportArgumentError(SiskinshiftError):
    """An argument of the report is not allowed."""

    kind = ErrorKind.INVALID_ARGUMENT
