"""Root of the exceptions, each with a code from the closed list of kinds."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind


class SiskinshiftError(Exception):
    """An error with a kind.

    Attributes:
        kind: Entry of the closed list; gives the code and the answers.
    """

    kind: ErrorKind = ErrorKind.INTERNAL

    @property
    def code(self) -> str:
        """Stable code for scripts and logs."""
        return self.kind.value
