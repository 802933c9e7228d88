"""Requests over HTTP/3 through balancer and agent, over real loopback sockets."""

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
from siskinshift.standins.http_upstream import document_piece


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
        upstream.http.runs_by_id[request_id]
        for upstream in deployment.upstreams_by_id.values()
    )


def test_a_save_is_answered_and_runs_once(
    deployment: Deployment, client: Http3Client
) -> None:
    answer = client.request(
        "POST", "/work", headers={"x-request-id": "save-1"}, body=b"section 4"
    ).result(WAIT_SECONDS)

    assert answer.status == 200
    assert orjson.loads(bytes(answer.body))["echo"] == "section 4"
    assert _runs_of(deployment, "save-1") == 1


def test_a_document_comes_whole(client: Http3Client) -> None:
    size = 700_001

    answer = client.request("GET", f"/document?bytes={size}").result(WAIT_SECONDS)

    assert answer.is_whole
    assert bytes(answer.body) == document_piece(0, size)


def test_a_stream_is_passed_on_while_it_runs_and_does_not_hold_the_slot(
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
    save = client.request("POST", "/work", body=b"x").result(WAIT_SECONDS)

    assert save.status == 200
    assert not stream.done()
    client.cancel(stream)


def test_a_deadline_that_passes_in_the_queue_is_not_run(
    deployment: Deployment, client: Http3Client
) -> None:
    """Guards against work that nobody waits for any more.

    Long requests hold the slots of both upstreams; a third one's deadline passes while
    it waits. Its caller hears at once that it did not run, and it never runs.
    """
    long_ones = [
        client.request("POST", "/work?ms=1500", headers={"x-request-id": request_id})
        for request_id in ("a", "b")
    ]
    while not (_runs_of(deployment, "a") and _runs_of(deployment, "b")):
        threading.Event().wait(0.01)
    late = client.request(
        "POST",
        "/work",
        # Longer than the requests before took, or it would be turned away at the door.
        headers={"x-request-id": "late", "siskinshift-timeout-ms": "500"},
    ).result(WAIT_SECONDS)

    assert [one.result(WAIT_SECONDS).status for one in long_ones] == [200, 200]
    assert late.fields["siskinshift-outcome"] == "not_run"
    assert late.fields["siskinshift-error"] == "deadline_exceeded"
    assert _runs_of(deployment, "late") == 0


def test_a_cancel_reaches_the_upstream_and_frees_the_slot(
    deployment: Deployment, client: Http3Client
) -> None:
    started = client.request("POST", "/work?ms=8000", headers={"x-request-id": "gone"})
    # The next answer shows that the connection is up and the long one was offered.
    other = client.request("POST", "/work", headers={"x-request-id": "next"})
    while not _runs_of(deployment, "gone"):
        threading.Event().wait(0.01)
    client.cancel(started)

    assert other.result(WAIT_SECONDS).status == 200
    assert _runs_of(deployment, "next") == 1
