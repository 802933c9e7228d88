"""What balancers on thin links make of a long configuration."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from tests.connections.deployment import PORTS_BY_SERVICE
from tests.connections.deployment import WAIT_SECONDS
from tests.connections.deployment import Deployment
from tests.soak.proxy import StoreProxy
from tests.soak.proxy import Trouble


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


# Together some 300 KB, 400 KB as the store writes them.
UNUSED_ROUTES = 2000
# The reading takes 1.3 s: twice the time that a call once had for its whole answer.
RATE = 300_000.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    proxy = StoreProxy(deployment.store.port, thin_rate=RATE)
    try:
        proxy.set_trouble(Trouble.THIN)
        deployment.store_ports_by_name["balancer-1"] = proxy.port
        deployment.add_balancer("balancer-1", "127.0.1.1")
        deployment.add_instance("editor-1", "127.0.2.1", "editor")
        deployment.wait_until_ready()
        yield deployment
    finally:
        deployment.stop()
        proxy.stop()


def _wait_for_version(deployment: Deployment, version: int) -> None:
    until = time.monotonic() + WAIT_SECONDS
    versions: set[object] = set()
    while time.monotonic() < until:
        lines = deployment.log_lines("balancer-1")
        in_force = [x for x in lines if x["event"] == "configuration in force"]
        versions = {line["version"] for line in in_force}
        if version in versions:
            return
        time.sleep(0.05)
    raise AssertionError(f"version {version} never in force, only {versions}")


def test_dropped_history_leaves_no_balancer_behind_a_long_configuration(
    deployment: Deployment,
) -> None:
    """Seven seconds after a change one balancer handled flows by the version before.

    The configuration had grown on a link that needs longer for it than a call had for
    its whole answer. The store dropped its history, so the balancer had to read anew,
    gave each reading up just before its end, and stayed behind for good. Changes before
    that had come by a wait of 20 s, which had time enough. Proved by playing just these
    steps: all balancers with such links lost the configuration and never regained it.
    """
    longer = deployment.configure(PORTS_BY_SERVICE, unused=UNUSED_ROUTES)
    _wait_for_version(deployment, longer)

    deployment.store.state.compact()
    newest = deployment.configure(PORTS_BY_SERVICE, unused=UNUSED_ROUTES + 1)
    deployment.store.state.compact()

    _wait_for_version(deployment, newest)
