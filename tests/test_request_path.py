"""Tests of HTTP/3 requests through balancer and agent over real loopback sockets."""

from __future__ import annotations

import threading
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import orjson
import pytest

from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.http3_client import Http3Client
from siskinshift.demo.readiness import wait_until_ready
from siskinshift.standins.http_upstream import document_chunk


if TYPE_CHECKING:
    from collections.abc import Iterator


WAIT_SECONDS = 20.0


@pytest.fixture(scope="module")
def deployment() -> Iterator[Deployment]:
    deployment = Deployment(
        name="requests", plans=(ServicePlan("editor", 2, 1),), balancers=2
    )
    deployment.start()
    try:
        wait_until_ready(deployment)
        yield deployment
    finally:
        deployment.stop()


@pytest.fixture
def client(deployment: Deployment) -> Iterator[Http3Client]:
    address = deployment.services_by_id["editor"].addresses[0]
    with ThreadPoolExecutor(1) as executor:
        client = Http3Client(address, executor=executor)
        yield client
        client.close()


def _runs_of(deployment: Deployment, request_id: str) -> int:
    return sum(
        upstream.http.run_counts_by_request_id[request_id]
        for upstream in deployment.upstreams_by_id.values()
    )


def test_a_request_is_answered_and_runs_once(
    deployment: Deployment, client: Http3Client
) -> None:
    response = client.request(
        "POST", "/work", headers={"x-request-id": "save-1"}, body=b"section 4"
    ).result(WAIT_SECONDS)

    assert response.status == 200
    assert orjson.loads(bytes(response.body))["echo"] == "section 4"
    assert _runs_of(deployment, "save-1") == 1


def test_a_large_response_is_complete(client: Http3Client) -> None:
    size = 700_001

    response = client.request("GET", f"/document?bytes={size}").result(WAIT_SECONDS)

    assert response.is_complete
    assert bytes(response.body) == document_chunk(0, size)


def test_a_stream_is_relayed_as_it_arrives_and_does_not_hold_the_slot(
    client: Http3Client,
) -> None:
    second_event = threading.Event()
    pieces: list[bytes] = []

    def on_data(piece: bytes) -> None:
        pieces.append(piece)
        if b" 2\n" in piece:
            second_event.set()

    stream = client.request("GET", "/stream", on_data=on_data)
    assert second_event.wait(WAIT_SECONDS)
    response = client.request("POST", "/work", body=b"x").result(WAIT_SECONDS)

    assert response.status == 200
    assert not stream.done()
    client.cancel(stream)


def test_a_deadline_that_passes_in_the_queue_is_not_run(
    deployment: Deployment, client: Http3Client
) -> None:
    """Guards against running requests whose caller no longer waits.

    Long requests hold the slots of both upstreams, and the deadline of a third one
    passes in the queue. Its caller immediately gets "not run", and it never runs.
    """
    long_requests = [
        client.request("POST", "/work?ms=1500", headers={"x-request-id": request_id})
        for request_id in ("a", "b")
    ]
    while not (_runs_of(deployment, "a") and _runs_of(deployment, "b")):
        threading.Event().wait(0.01)
    late_response = client.request(
        "POST",
        "/work",
        # Longer than the previous requests took; otherwise it is refused on admission.
        headers={"x-request-id": "late", "siskinshift-timeout-ms": "500"},
    ).result(WAIT_SECONDS)

    assert [
        long_request.result(WAIT_SECONDS).status for long_request in long_requests
    ] == [200, 200]
    assert late_response.fields["siskinshift-outcome"] == "not_run"
    assert late_response.fields["siskinshift-error"] == "deadline_exceeded"
    assert _runs_of(deployment, "late") == 0


def test_a_cancel_reaches_the_upstream_and_frees_the_slot(
    deployment: Deployment, client: Http3Client
) -> None:
    cancelled_request = client.request(
        "POST", "/work?ms=8000", headers={"x-request-id": "gone"}
    )
    # The next response shows that the connection is up and the first request was sent.
    next_request = client.request("POST", "/work", headers={"x-request-id": "next"})
    while not _runs_of(deployment, "gone"):
        threading.Event().wait(0.01)
    client.cancel(cancelled_request)

    assert next_request.result(WAIT_SECONDS).status == 200
    assert _runs_of(deployment, "next") == 1
