"""Refusals of changes; each changed nothing."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class ChangeRefusedError(SiskinshiftError):
    """A change that was refused and did not take effect."""

    kind = ErrorKind.INVALID_ARGUMENT


class InvalidChangeError(ChangeRefusedError):
    """A value of the change is not allowed."""

    kind = ErrorKind.INVALID_ARGUMENT


class UnknownNameError(ChangeRefusedError):
    """The service or group does not exist."""

    kind = ErrorKind.NOT_FOUND


class NameTakenError(ChangeRefusedError):
    """The service exists already, or an address belongs to another one."""

    kind = ErrorKind.ALREADY_EXISTS


class RecordTooLargeError(ChangeRefusedError):
    """The service's record would be larger than allowed."""

    kind = ErrorKind.TOO_LARGE


class RevisionConflictError(ChangeRefusedError):
    """Another change came first.

    Attributes:
        current_revision: Revision the service is at now.
    """

    kind = ErrorKind.REVISION_CONFLICT

    def __init__(self, message: str, current_revision: int) -> None:
        super().__init__(message)
        self.current_revision = current_revision
