"""Entry of the command line."""

from __future__ import annotations

import sys

import fire

from siskinshift.console.registry import load_commands
from siskinshift.core.errors import ANSWERS_BY_KIND
from siskinshift.exceptions import SiskinshiftError


def main() -> None:
    """Runs the command named by the arguments; exits with the kind's status."""
    try:
        fire.Fire(load_commands(), name="siskinshift")
    except SiskinshiftError as error:
        print(f"siskinshift: {error.code}: {error}", file=sys.stderr)
        sys.exit(ANSWERS_BY_KIND[error.kind].exit_code)
