"""Command `trial`: runs a small local deployment for the tutorial."""

from __future__ import annotations

from pathlib import Path

from siskinshift.console.processes import run_until_signal
from siskinshift.console.registry import command


@command("trial")
def run_trial(folder: str = "trial") -> None:
    """Runs a balancer, two agents and stand-ins in the foreground until Ctrl-C.

    Writes client.ini, the certificate and a token for each group to FOLDER. The
    deployment has no service: create one with `siskinshift service create`.

    Args:
        folder: Folder for these files.
    """
    from siskinshift.core.endpoints import format_endpoint
    from siskinshift.demo.trial import SERVICE_ADDRESS
    from siskinshift.demo.trial import TrialDeployment

    deployment = TrialDeployment(Path(str(folder)))
    print(f"a service can have the address {format_endpoint(SERVICE_ADDRESS)}")
    print(f"operators: --client {folder}/client.ini", flush=True)
    run_until_signal(deployment)
