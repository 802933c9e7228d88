"""Tests of a restore under traffic with real processes."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest

from siskinshift.connections.leave_records import LEAVES_PREFIX
from siskinshift.platform.configuration import CONFIGURATION_KEY
from siskinshift.platform.evacuations import EVACUATIONS_PREFIX
from tests.connections.deployment import Deployment


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from pathlib import Path


WAIT_SECONDS = 20.0
COPY_AGE_SECONDS = 2.0
MEMBERS = 4


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Two balancers in domain a and an editor in each of two domains."""
    deployment = Deployment(tmp_path, era=1)
    try:
        deployment.add_balancer("balancer-1", "127.0.1.1")
        deployment.add_balancer("balancer-2", "127.0.1.2")
        deployment.add_instance("editor-a", "127.0.2.1", "editor", domain="a")
        deployment.add_instance("editor-b", "127.0.2.2", "editor", domain="b")
        deployment.wait_until_ready()
        yield deployment
    finally:
        deployment.stop()


def _wait_for(condition: Callable[[], bool]) -> None:
    until = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.05)


def _has_line(deployment: Deployment, name: str, event: str, **fields: object) -> bool:
    return any(
        line["event"] == event and fields.items() <= line.items()
        for line in deployment.log_lines(name)
    )


def _owners(deployment: Deployment, count: int = 8) -> set[str]:
    owners = set()
    for _ in range(count):
        host = f"127.0.3.{deployment.caller_count + 1}"
        caller = deployment.caller("editor", "balancer-1", host=host)
        caller.open()
        owners.add(caller.request(b"1").decode().split("-u")[0])
    return owners


def test_flows_orders_and_entries_outlive_a_restore(deployment: Deployment) -> None:
    """Guards against a restore that breaks flows or loses orders or members."""
    caller = deployment.caller("editor", "balancer-1", host="127.0.3.200")
    caller.open()
    first = caller.request(b"1")
    time.sleep(COPY_AGE_SECONDS)
    deployment.evacuate("a")
    held = {"domains": "a"}
    for name in ("balancer-1", "balancer-2"):
        _wait_for(
            lambda name=name: _has_line(  # type: ignore[misc]
                deployment, name, "evacuations in force", **held
            )
        )
    configuration = deployment.store.state.value(CONFIGURATION_KEY)

    deployment.store.restore(age=COPY_AGE_SECONDS, pause=1.0)
    assert deployment.store.state.value(EVACUATIONS_PREFIX + "a") is None
    assert caller.request(b"2") == first[:-1] + b"2"
    assert _owners(deployment) == {"editor-b"}

    for name in deployment.processes_by_name:
        _wait_for(
            lambda name=name: _has_line(  # type: ignore[misc]
                deployment, name, "entry put back"
            )
        )
    keys = deployment.store.state.key_names()
    assert sum(key.startswith("siskinshift/members/") for key in keys) == MEMBERS
    assert _owners(deployment) == {"editor-b"}
    assert caller.request(b"3") == first[:-1] + b"3"

    # Operators write again; a later change is in force whatever its revision.
    assert deployment.store.state.value(CONFIGURATION_KEY) == configuration
    deployment.evacuate("a")
    deployment.end_evacuation("a")
    _wait_for(
        lambda: _has_line(deployment, "balancer-1", "evacuations in force", domains="")
    )
    assert "editor-a" in _owners(deployment, count=30)


def test_an_acknowledged_leave_outlives_a_restore(deployment: Deployment) -> None:
    """Guards against a restore that takes back the record of a silent upstream."""
    leaving = deployment.instances_by_name["editor-a"]
    time.sleep(COPY_AGE_SECONDS)
    leaving.is_silent = True
    leaving.state = "draining"
    assert leaving.send("Heartbeat") == 200

    deployment.store.restore(age=COPY_AGE_SECONDS)
    state = deployment.store.state
    assert not [key for key in state.key_names() if key.startswith(LEAVES_PREFIX)]
    _wait_for(lambda: any(key.startswith(LEAVES_PREFIX) for key in state.key_names()))
    deployment.kill("editor-a")
    deployment.start("editor-a")

    assert _owners(deployment) == {"editor-b"}
