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
