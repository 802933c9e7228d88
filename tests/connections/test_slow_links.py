"""Tests of balancers that read a long configuration over a slow link."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from tests.connections.deployment import PORTS_BY_SERVICE
from tests.connections.deployment import WAIT_SECONDS
from tests.connections.deployment import Deployment
from tests.soak.proxy import LinkFault
from tests.soak.proxy import StoreProxy


if TYPE_CHECKING:
    from collections.abc import Iterator
    from pathlib import Path


# About 300 KB in total, 400 KB as encoded by the store.
UNUSED_ROUTES = 2000
# Bytes a second. The read takes 1.3 s, twice a former timeout for a whole response.
LINK_BYTES_PER_SECOND = 300_000.0


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    deployment = Deployment(tmp_path)
    proxy = StoreProxy(
        deployment.store.port, thin_bytes_per_second=LINK_BYTES_PER_SECOND
    )
    try:
        proxy.set_fault(LinkFault.THIN)
        deployment.store_ports_by_name["balancer-1"] = proxy.port
        deployment.add_balancer("balancer-1", "127.0.1.1")
        deployment.add_instance("editor-1", "127.0.2.1", "editor")
        deployment.wait_until_ready()
        yield deployment
    finally:
        deployment.stop()
        proxy.stop()


def _wait_for_version(deployment: Deployment, version: int) -> None:
    deadline = time.monotonic() + WAIT_SECONDS
    versions: set[object] = set()
    while time.monotonic() < deadline:
        lines = deployment.log_lines("balancer-1")
        in_force = [x for x in lines if x["event"] == "configuration in force"]
        versions = {line["version"] for line in in_force}
        if version in versions:
            return
        time.sleep(0.05)
    raise AssertionError(f"version {version} never in force, only {versions}")


def test_a_long_configuration_is_read_over_a_slow_link_after_compaction(
    deployment: Deployment,
) -> None:
    """Guards against balancers on slow links that never receive a new configuration.

    When the store compacts its history a balancer must read the configuration again.
    Each read exceeded the timeout of a whole response and was aborted shortly before
    its end, while earlier changes had come through a watch with a timeout of 20 s. One
    balancer still used the previous version seven seconds after a change; with these
    steps all balancers on such links remained behind permanently.
    """
    longer = deployment.configure(PORTS_BY_SERVICE, unused=UNUSED_ROUTES)
    _wait_for_version(deployment, longer)

    deployment.store.state.compact()
    newest = deployment.configure(PORTS_BY_SERVICE, unused=UNUSED_ROUTES + 1)
    deployment.store.state.compact()

    _wait_for_version(deployment, newest)
