"""Runs the command line."""

from __future__ import annotations

from siskinshift.console.application import main


main()
