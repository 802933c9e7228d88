"""Tests of the graceful shutdown of an agent over real loopback sockets."""

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


def test_a_leaving_agent_completes_its_requests_and_redirects_callers(
    deployment: Deployment,
) -> None:
    """Guards against a request that a planned shutdown breaks, loses or runs twice.

    A long request runs when its agent leaves. The caller gets the complete response
    and GOAWAY, and its next request on a new connection runs at another agent.
    """
    address = deployment.services_by_id["editor"].addresses[0]
    with ThreadPoolExecutor(4) as executor:
        client = Http3Client(address, executor=executor)
        request = client.request("POST", "/work?ms=4000", headers={"x-request-id": "a"})
        owner = _wait_for_run(deployment, "a")
        leaving = executor.submit(
            deployment.agents_by_id[owner].leave, threading.Event()
        )

        assert request.result(WAIT_SECONDS).status == 200
        assert client.goaway_received
        leaving.result(WAIT_SECONDS)
        next_client = Http3Client(address, executor=executor)
        next_request = next_client.request(
            "POST", "/work", headers={"x-request-id": "b"}
        )

        assert next_request.result(WAIT_SECONDS).status == 200
        assert _wait_for_run(deployment, "b") != owner
        next_client.close()
    runs = [
        u.http.run_counts_by_request_id for u in deployment.upstreams_by_id.values()
    ]
    assert [sum(r[name] for r in runs) for name in ("a", "b")] == [1, 1]


def _wait_for_run(deployment: Deployment, request_id: str) -> str:
    for _ in range(int(WAIT_SECONDS * 100)):
        for name, upstream in deployment.upstreams_by_id.items():
            if upstream.http.run_counts_by_request_id[request_id]:
                return name
        threading.Event().wait(0.01)
    raise AssertionError(f"{request_id} never ran")
