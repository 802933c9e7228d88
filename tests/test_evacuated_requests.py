"""Tests of HTTP/3 requests while operators evacuate failure domains."""

from __future__ import annotations

import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import TYPE_CHECKING

import pytest

from siskinshift.configuration.changes import SetEvacuation
from siskinshift.configuration.store import new_change_id
from siskinshift.demo.deployment import Deployment
from siskinshift.demo.deployment import ServicePlan
from siskinshift.demo.http3_client import Http3Client
from siskinshift.demo.readiness import wait_until_ready


if TYPE_CHECKING:
    from collections.abc import Iterator

    from siskinshift.demo.http3_client import Response
    from siskinshift.demo.http3_client import _Exchange


SERVICE_ID = "editor"
DOMAINS = ("fd-1", "fd-2")
IN_FORCE_SECONDS = 10.0
# A handshake and a refusal take some 20 ms. Without a response a caller waits 30 s.
AT_ONCE_SECONDS = 2.0


@pytest.fixture
def deployment() -> Iterator[Deployment]:
    deployment = Deployment(
        name="evacuated",
        plans=(ServicePlan(SERVICE_ID, 2, 1),),
        balancers=2,
        failure_domains=2,
    )
    deployment.start()
    try:
        wait_until_ready(deployment)
        yield deployment
    finally:
        deployment.stop()


def _request(
    deployment: Deployment, client_class: type[Http3Client] = Http3Client
) -> Response:
    """Sends a request on a new connection."""
    address = deployment.services_by_id[SERVICE_ID].addresses[0]
    with ThreadPoolExecutor(1) as executor:
        client = client_class(address, executor=executor)
        try:
            return client.request(
                "POST", "/work", headers={"x-request-id": "work"}
            ).result(AT_ONCE_SECONDS)
        finally:
            client.close()


class _UnfinishedUpload(Http3Client):
    """Sends the header of each request and never its body."""

    def _send_request(self, exchange: _Exchange) -> None:
        if not self._is_ready:
            super()._send_request(exchange)
            return
        stream_id = self._quic.get_next_available_stream_id()
        self._exchanges_by_stream_id[stream_id] = exchange
        self._http.send_headers(stream_id, exchange.fields)


def _set_evacuations(deployment: Deployment, *domains: str) -> None:
    """Evacuates exactly these domains and waits until all nodes know it."""
    store = deployment.operator_store()
    for domain in DOMAINS:
        change = SetEvacuation(SERVICE_ID, domain, domain in domains)
        store.apply(change, new_change_id())
    nodes = (*deployment.balancers_by_id.values(), *deployment.agents_by_id.values())
    deadline = time.monotonic() + IN_FORCE_SECONDS
    while time.monotonic() < deadline:
        views = [node.membership.views.current for node in nodes]
        if all(
            set(view.services_by_id[SERVICE_ID].evacuated) == set(domains)
            for view in views
        ):
            return
        time.sleep(0.02)
    raise TimeoutError("the evacuations did not come into force")


def _run_counts_by_domain(deployment: Deployment) -> Counter[str]:
    (view, *_) = (
        balancer.membership.views.current
        for balancer in deployment.balancers_by_id.values()
    )
    counts: Counter[str] = Counter()
    for member_id, upstream in deployment.upstreams_by_id.items():
        runs = upstream.http.run_counts_by_request_id.total()
        counts[view.members_by_id[member_id].failure_domain] += runs
    return counts


def test_requests_are_refused_at_once_while_every_domain_is_evacuated(
    deployment: Deployment,
) -> None:
    """Guards against 30 s without a response when no domain is left.

    Balancers dropped the packets of new callers. The requests must succeed again as
    soon as an evacuation ends, also if only some of the domains come back.
    """
    _set_evacuations(deployment, "fd-1")
    assert _request(deployment).status == 200
    assert _run_counts_by_domain(deployment) == {"fd-1": 0, "fd-2": 1}

    _set_evacuations(deployment, *DOMAINS)
    refusals = [_request(deployment) for _ in range(8)]
    assert {r.status for r in refusals} == {503}
    assert {r.fields["siskinshift-outcome"] for r in refusals} == {"not_run"}
    assert {r.fields["siskinshift-error"] for r in refusals} == {"no_upstream"}
    assert all(int(r.fields["retry-after"]) > 0 for r in refusals)
    assert _run_counts_by_domain(deployment) == {"fd-1": 0, "fd-2": 1}

    # An upload is refused before its body has arrived.
    assert _request(deployment, _UnfinishedUpload).status == 503

    _set_evacuations(deployment, "fd-2")
    assert [_request(deployment).status for _ in range(8)] == [200] * 8
    assert _run_counts_by_domain(deployment) == {"fd-1": 8, "fd-2": 1}

    _set_evacuations(deployment, *DOMAINS)
    assert _request(deployment).status == 503
    _set_evacuations(deployment)
    assert [_request(deployment).status for _ in range(8)] == [200] * 8
