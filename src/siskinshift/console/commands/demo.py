"""Command `demo`: both deployments of the users in one process."""

from __future__ import annotations

import sys

from siskinshift.console.registry import command


@command("demo")
def run_demo() -> None:
    """Runs both deployments with callers for less than a minute; prints figures."""
    from siskinshift.demo.run import print_demo

    if not print_demo():
        sys.exit(1)
