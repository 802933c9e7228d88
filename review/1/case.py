"""A change of the configuration while the store gives some machines no response."""

from __future__ import annotations

import time
from pathlib import Path
from typing import TYPE_CHECKING

from standins.case import run_case
from standins.client import FlowReset
from standins.client import FlowTimeout
from standins.client import new_port
from standins.deployment import CannotRun
from standins.deployment import route


if TYPE_CHECKING:
    from standins.client import Client
    from standins.deployment import Deployment


ROUTE_PORT = 443
OLD, NEW = "editor", "dossiers"
SILENT_S = 4.5
# `stable-window-ms` after the end of the disruption the nodes are in touch; on top of
# that the whole bound of a change.
STABLE_WINDOW_S = 4.0
CONFIG_APPLY_S = 3.0
CLIENT_COUNT = 8
PAUSE_S = 0.2


def _ask(client: Client, request_id: str) -> str:
    """Opens a flow, sends one request and closes; returns the service that ran it."""
    try:
        client.open(new_port(), route(ROUTE_PORT))
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
        if _ask(client, f"before-{number}") != OLD:
            raise CannotRun("a request before the change was not served")
    if has_trouble:
        deployment.front_store.is_silent = True
        record.add("the store gives the frontend nodes no response")
    time.sleep(SILENT_S / 2)
    acknowledged_at = deployment.write_config({ROUTE_PORT: NEW, 80: NEW})
    time.sleep(SILENT_S / 2)
    deployment.front_store.is_silent = False
    record.add("the store responds to all again")
    time.sleep(STABLE_WINDOW_S + CONFIG_APPLY_S)
    is_broken = False
    for number, client in enumerate(clients):
        sent_at = record.now
        if _ask(client, f"after-{number}") == OLD:
            is_broken = True
            record.add(
                f"CONFIG broken: after-{number}, sent "
                f"{sent_at - acknowledged_at:.1f} s after the acknowledgement, "
                f"was run by {OLD}, which only the older version allows"
            )
        time.sleep(PAUSE_S)
    record.add(f"calls without a response: {deployment.front_store.unanswered}")
    return is_broken


run_case(play, Path(__file__).parent)
