"""An agent that leaves cuts nothing, over real loopback sockets."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.http3_client import Http3Client
from siskinshift.demo.readiness import wait_until_ready


if TYPE_CHECKING:
    from collections.abc import Iterator


WAIT_SECONDS = 30.0


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    deployment = Deployment(
        name="leaving", plans=(ServicePlan("editor", 2, 1),), balancers=1
    )
    deployment.start()
    try:
        wait_until_ready(deployment)
        yield deployment
    finally:
        deployment.stop()


def test_a_leaving_agent_ends_its_requests_and_sends_callers_elsewhere(
    deployment: Deployment,
) -> None:
    """Guards against a save that is cut, lost or run twice by a planned change.

    A long save runs when its agent is told to leave. The caller gets its whole
    answer, hears GOAWAY, and its next save on a new connection runs elsewhere.
    """
    address = deployment.services_by_id["editor"].addresses[0]
    with ThreadPoolExecutor(4) as executor:
        client = Http3Client(address, executor=executor)
        save = client.request("POST", "/work?ms=4000", headers={"x-request-id": "a"})
        owner = _wait_for_run(deployment, "a")
        left = executor.submit(deployment.agents_by_id[owner].leave, threading.Event())

        assert save.result(WAIT_SECONDS).status == 200
        assert client.goaway_received
        left.result(WAIT_SECONDS)
        following = Http3Client(address, executor=executor)
        next_save = following.request("POST", "/work", headers={"x-request-id": "b"})

        assert next_save.result(WAIT_SECONDS).status == 200
        assert _wait_for_run(deployment, "b") != owner
        following.close()
    runs = [u.http.runs_by_id for u in deployment.upstreams_by_id.values()]
    assert [sum(r[name] for r in runs) for name in ("a", "b")] == [1, 1]


def _wait_for_run(deployment: Deployment, request_id: str) -> str:
    for _ in range(int(WAIT_SECONDS * 100)):
        for name, upstream in deployment.upstreams_by_id.items():
            if upstream.http.runs_by_id[request_id]:
                return name
        threading.Event().wait(0.01)
    raise AssertionError(f"{request_id} never ran")
