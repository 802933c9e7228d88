"""Exceptions raised by the command line."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class ArgumentError(SiskinshiftError):
    """Raised when an argument is not allowed."""

    kind = ErrorKind.INVALID_ARGUMENT


class ChangeNotFoundError(SiskinshiftError):
    """Raised when a change is not among the latest ones that took effect."""

    kind = ErrorKind.NOT_FOUND


class NoConnectionError(SiskinshiftError):
    """Raised when no connection could be opened, so that no request was sent."""

    kind = ErrorKind.PEER_UNREACHABLE


class NoResponseError(SiskinshiftError):
    """Raised when a request was sent but its response was not received completely."""

    kind = ErrorKind.OUTCOME_UNKNOWN
