"""Command `check`: reads a settings file and tells what is wrong."""

from __future__ import annotations

from pathlib import Path

from siskinshift.console.registry import command


@command("check")
def check_settings(settings: str, output: str = "text") -> str:
    """Checks a settings file; prints the values in force.

    Secrets are never printed. Exit status is 2 when a value is not allowed.

    Example: siskinshift check balancer.ini

    Args:
        settings: Path of the INI file.
        output: text or json.
    """
    from siskinshift.settings.loader import load_settings
    from siskinshift.settings.printer import print_settings

    return print_settings(load_settings(Path(settings)), output=output)
