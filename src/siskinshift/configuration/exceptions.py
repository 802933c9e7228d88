"""Errors of refused changes. A refused change has no effect."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class ChangeRefusedError(SiskinshiftError):
    """The change was refused and did not take effect."""

    kind = ErrorKind.INVALID_ARGUMENT


class InvalidChangeError(ChangeRefusedError):
    """A value of the change is not allowed."""

    kind = ErrorKind.INVALID_ARGUMENT


class UnknownNameError(ChangeRefusedError):
    """The service or group does not exist."""

    kind = ErrorKind.NOT_FOUND


class NameTakenError(ChangeRefusedError):
    """The service already exists, or another service has one of its addresses."""

    kind = ErrorKind.ALREADY_EXISTS


class RecordTooLargeError(ChangeRefusedError):
    """The service's record would exceed the maximum size."""

    kind = ErrorKind.TOO_LARGE


class RevisionConflictError(ChangeRefusedError):
    """Another change to the service was committed first.

    Attributes:
        current_revision: Current revision of the service.
    """

    kind = ErrorKind.REVISION_CONFLICT

    def __init__(self, message: str, current_revision: int) -> None:
        super().__init__(message)
        self.current_revision = current_revision
