"""Errors of the key-value service."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class StoreUnavailableError(SiskinshiftError):
    """The call certainly did not take effect."""

    kind = ErrorKind.STORE_UNAVAILABLE


class StoreCompactedError(StoreUnavailableError):
    """A watch asked for revisions that the store no longer keeps; read anew."""


class StoreOutcomeUnknownError(SiskinshiftError):
    """The answer to a write was lost; it may have taken effect."""

    kind = ErrorKind.OUTCOME_UNKNOWN
