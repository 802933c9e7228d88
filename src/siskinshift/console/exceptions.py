"""Errors of the command line."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class ArgumentError(SiskinshiftError):
    """An argument that can't be used."""

    kind = ErrorKind.INVALID_ARGUMENT


class ChangeNotFoundError(SiskinshiftError):
    """A change that is not among the latest that took effect."""

    kind = ErrorKind.NOT_FOUND
