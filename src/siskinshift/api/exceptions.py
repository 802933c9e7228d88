"""Exceptions of the operators' API."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class UnauthenticatedError(SiskinshiftError):
    """Raised when a call carries no configured token."""

    kind = ErrorKind.UNAUTHENTICATED


class ForbiddenError(SiskinshiftError):
    """Raised when the token permits reads but the call makes a change."""

    kind = ErrorKind.FORBIDDEN


class TooManyWatchersError(SiskinshiftError):
    """Raised when the maximum number of watch calls is being served."""

    kind = ErrorKind.OVERLOADED


class OperatorsCallError(SiskinshiftError):
    """Raised by the client when a call fails.

    Attributes:
        change_id: Id of the change; empty for a call that makes no change.
        current_revision: Current revision of the service after a revision conflict,
            else 0.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        change_id: str = "",
        current_revision: int = 0,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.change_id = change_id
        self.current_revision = current_revision
