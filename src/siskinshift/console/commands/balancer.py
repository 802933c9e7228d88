"""Command `balancer`: runs the balancer process."""

from __future__ import annotations

from pathlib import Path

from siskinshift.console.processes import run_until_signal
from siskinshift.console.registry import command


@command("balancer")
def run_balancer(settings: str) -> None:
    """Runs a balancer in the foreground until SIGTERM.

    Args:
        settings: Path of the INI file.
    """
    # Imported here so that other commands start without loading these modules.
    from siskinshift.balancer.application import BalancerApplication
    from siskinshift.observability.logs import configure_logs
    from siskinshift.settings.loader import load_settings

    loaded = load_settings(Path(settings))
    configure_logs(loaded.logs)
    run_until_signal(BalancerApplication(loaded))
