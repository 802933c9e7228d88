"""Errors of the key-value service."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class StoreUnavailableError(SiskinshiftError):
    """The request did not take effect."""

    kind = ErrorKind.STORE_UNAVAILABLE


class LeaseNotFoundError(StoreUnavailableError):
    """A write named a lease that has ended."""


class StoreCompactedError(StoreUnavailableError):
    """A watch requested revisions that the store has compacted; read all again."""


class StoreRestoredError(StoreCompactedError):
    """The store was restored from an older copy; read all again."""


class StoreOutcomeUnknownError(SiskinshiftError):
    """The response to a write was lost; the write may have taken effect."""

    kind = ErrorKind.OUTCOME_UNKNOWN
