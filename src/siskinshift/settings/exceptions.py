"""Errors of settings files."""

from __future__ import annotations

from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


class SettingsError(SiskinshiftError):
    """A settings file that can't be used.

    Attributes:
        problems: One line for each fault: file, section, key, value, what is allowed.
    """

    kind = ErrorKind.SETTINGS

    def __init__(self, problems: tuple[str, ...]) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems
