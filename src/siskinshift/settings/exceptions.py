"""Exceptions of settings files."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class SettingsError(SiskinshiftError):
    """Raised when a settings file is invalid or can't be read.

    Attributes:
        problems: One line for each problem: file, section, key, value, allowed values.
    """

    kind = ErrorKind.SETTINGS

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems
