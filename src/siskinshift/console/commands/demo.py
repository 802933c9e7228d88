"""Command `demo`: runs two example deployments in one process."""

from __future__ import annotations

import sys

from siskinshift.console.registry import command


@command("demo")
def run_demo() -> None:
    """Runs two example deployments with callers for less than a minute.

    Prints the results. The exit status is 1 if the demo fails.
    """
    from siskinshift.demo.run import print_demo

    if not print_demo():
        sys.exit(1)
