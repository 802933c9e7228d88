"""Command `check`: validates a settings file."""

from __future__ import annotations

from pathlib import Path

import attrs

from siskinshift.console.registry import command


@command("check")
def check_settings(settings: str, output: str = "text") -> str:
    """Validates a settings file and prints the effective values.

    Secrets are never printed. The exit status is 2 if a value is not allowed.

    A file with the extension .toml is read as the platform's settings of a node.

    Example: siskinshift check balancer.ini

    Args:
        settings: Path of the settings file.
        output: Output format: text or json. A .toml file is always printed as text.
    """
    if settings.endswith(".toml"):
        from siskinshift.platform.settings import load_node_settings

        loaded = load_node_settings(Path(settings))
        return "\n".join(f"{k} = {v}" for k, v in attrs.asdict(loaded).items())
    from siskinshift.settings.loader import load_settings
    from siskinshift.settings.printer import format_settings

    return format_settings(load_settings(Path(settings)), output=output)
