"""Runs the command line and maps errors to exit codes."""

from __future__ import annotations

import sys

import fire

from siskinshift.console.registry import load_commands
from siskinshift.core.errors import ERROR_RESPONSES_BY_KIND
from siskinshift.core.errors import ErrorKind
from siskinshift.exceptions import SiskinshiftError


INTERRUPTED_EXIT_CODE = 130


def main() -> None:
    """Runs the command in the arguments and exits with the code of its error kind."""
    try:
        fire.Fire(load_commands(), name="siskinshift")
    except SiskinshiftError as error:
        print(
            f"siskinshift: {error.code}: {error}{_recovery_hint(error)}",
            file=sys.stderr,
        )
        sys.exit(ERROR_RESPONSES_BY_KIND[error.kind].exit_code)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_EXIT_CODE)
    except BrokenPipeError:
        # The reader of the output, such as `head`, closed the pipe.
        sys.stderr.close()


def _recovery_hint(error: SiskinshiftError) -> str:
    change_id = getattr(error, "change_id", "")
    if error.kind is ErrorKind.OUTCOME_UNKNOWN and change_id:
        return f"\nit may have taken effect; see: siskinshift change find {change_id}"
    revision = getattr(error, "current_revision", 0)
    if error.kind is ErrorKind.REVISION_CONFLICT and revision:
        return f"\nthe service is at revision {revision} now"
    return ""
