"""Command `check`: reads a settings file and tells what is wrong."""

from __future__ import annotations

from pathlib import Path

import attrs

from siskinshift.console.registry import command


@command("check")
def check_settings(settings: str, output: str = "text") -> str:
    """Checks a settings file; prints the values in force.

    Secrets are never printed. Exit status is 2 when a value is not allowed.

    A file whose name ends with .toml is read as the platform's settings of a node.

    Example: siskinshift check balancer.ini

    Args:
        settings: Path of the file.
        output: text or json; text for a platform's file.
    """
    if settings.endswith(".toml"):
        from siskinshift.platform.settings import load_node_settings

        loaded = load_node_settings(Path(settings))
        return "\n".join(f"{k} = {v}" for k, v in attrs.asdict(loaded).items())
    from siskinshift.settings.loader import load_settings
    from siskinshift.settings.printer import format_settings

    return format_settings(load_settings(Path(settings)), output=output)
