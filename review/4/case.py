"""A port that opens flows again after its route was pointed to another service."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from standins.case import run_case
from standins.client import FlowReset
from standins.client import FlowTimeout
from standins.deployment import CannotRun
from standins.deployment import route


if TYPE_CHECKING:
    from standins.client import Client
    from standins.deployment import Deployment


CLIENT_COUNT = 4
ROUTE_PORT = 443
FIRST_PORT, OTHER_PORT = 40_001, 40_002
OLD, NEW = "editor", "dossiers"
CONFIG_APPLY_S = 3.0
# The usual TIME_WAIT: so long an end that closes first keeps its port unused.
PORT_UNUSED_S = 61.0


def _ask(client: Client, port: int, request_id: str) -> str:
    """Opens a flow, sends one request and closes; returns the service that ran it."""
    try:
        client.open(port, route(ROUTE_PORT))
        body = client.request(request_id, "/save").decode()
        client.close()
    except (FlowReset, FlowTimeout) as error:
        return type(error).__name__
    return body.split()[0]


def play(deployment: Deployment, has_trouble: bool) -> bool:
    """Plays the case; returns whether the rule CONFIG was broken."""
    record = deployment.record
    deployment.write_config({ROUTE_PORT: OLD, 80: NEW})
    deployment.start_fronts()
    for service in (OLD, OLD, NEW, NEW):
        deployment.add_backend(service)
    deployment.wait_until_ready()
    time.sleep(3.0)
    clients = [deployment.add_client() for _ in range(CLIENT_COUNT)]
    for number, client in enumerate(clients):
        if _ask(client, FIRST_PORT, f"before-{number}") != OLD:
            raise CannotRun("a request before the change was not served")
    closed_at = time.monotonic()
    acknowledged_at = 0.0
    if has_trouble:
        acknowledged_at = deployment.write_config({ROUTE_PORT: NEW, 80: NEW})
    time.sleep(max(0.0, closed_at + PORT_UNUSED_S - time.monotonic()))
    is_broken = False
    for number, client in enumerate(clients):
        for port in (OTHER_PORT, FIRST_PORT):
            sent_at = record.now
            service = _ask(client, port, f"after-{number}-{port}")
            is_late = has_trouble and sent_at > acknowledged_at + CONFIG_APPLY_S
            if is_late and service == OLD:
                is_broken = True
                record.add(
                    f"CONFIG broken: after-{number}-{port}, sent "
                    f"{sent_at - acknowledged_at:.1f} s after the acknowledgement, "
                    f"was run by {OLD}, which only the older version allows"
                )
    return is_broken


run_case(play, Path(__file__).parent)
