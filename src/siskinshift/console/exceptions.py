"""Exceptions raised by the command line."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class ArgumentError(SiskinshiftError):
    """An argument is not allowed."""

    kind = ErrorKind.INVALID_ARGUMENT


class ChangeNotFoundError(SiskinshiftError):
    """The change is not among the latest ones that took effect."""

    kind = ErrorKind.NOT_FOUND
