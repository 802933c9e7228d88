"""Errors of the operators' API."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class UnauthenticatedError(SiskinshiftError):
    """The call carries no known token."""

    kind = ErrorKind.UNAUTHENTICATED


class ForbiddenError(SiskinshiftError):
    """The token may read but not change."""

    kind = ErrorKind.FORBIDDEN


class TooManyWatchersError(SiskinshiftError):
    """As many watch calls as allowed are being served."""

    kind = ErrorKind.OVERLOADED


class OperatorsCallError(SiskinshiftError):
    """A call of the client that did not succeed.

    Attributes:
        change_id: Id of the change; empty when the call was none.
        current_revision: Revision the service is at, after a revision conflict.
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
