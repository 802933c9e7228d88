"""Command `agent`: runs the agent process."""

from __future__ import annotations

from pathlib import Path

from siskinshift.console.processes import run_until_signal
from siskinshift.console.registry import command


@command("agent")
def run_agent(settings: str) -> None:
    """Runs an agent in the foreground until SIGTERM.

    Args:
        settings: Path of the INI file.
    """
    # Imported here so that other commands start without loading these modules.
    from siskinshift.agent.application import AgentApplication
    from siskinshift.observability.logs import configure_logs
    from siskinshift.settings.loader import load_settings

    loaded = load_settings(Path(settings))
    configure_logs(loaded.logs)
    run_until_signal(AgentApplication(loaded))
