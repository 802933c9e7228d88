"""Tests of the admission of requests by the runner."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import pytest

from siskinshift.agent.buffered_response import BufferedResponse
from siskinshift.agent.http_requests import HttpRequest
from siskinshift.agent.request_runner import RequestRunner
from siskinshift.agent.upstream_connections import UpstreamConnections
from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import Request
from siskinshift.load.gate import LoadGate
from siskinshift.messages.core import Endpoint
from siskinshift.observability.telemetry import Telemetry


if TYPE_CHECKING:
    from siskinshift.settings.generated import Settings


NOW = 100.0
REQUEST = Request(
    request_id=1,
    service_id="editor",
    group_id="treasurers",
    caller="127.0.0.1",
    key="",
    repeatable=False,
    arrived_at=NOW,
    deadline=NOW + 10,
)


class _RecordedResponse(BufferedResponse):
    errors: list[ErrorKind]

    def __init__(self) -> None:
        super().__init__()
        self.errors = []

    def fail(self, error: ErrorKind, *, retry_after: float | None) -> None:
        self.errors.append(error)


@pytest.mark.parametrize("is_leaving", [True, False])
def test_a_request_after_the_drain_delay_is_refused_without_a_tick(
    settings: Settings, is_leaving: bool
) -> None:
    """Guards against new work for a draining upstream when a tick is late.

    Admission ended with the tick instead of the time. On a starved instance a request
    was admitted more than five seconds after the drain began.
    """
    spawned: list[object] = []
    runner = RequestRunner(
        gate=LoadGate(
            member_id="editor-1",
            incarnation=1,
            slots=1,
            ramp_duration=0.0,
            settings=settings.load,
            random=Random(1),
            now=NOW,
        ),
        connections=UpstreamConnections(Endpoint("127.0.0.1", 1)),
        max_requests=10,
        spawn=lambda *task: spawned.append(task),
        clock=lambda: NOW,
        telemetry=Telemetry(settings, clock=lambda: NOW),
        is_leaving=lambda: is_leaving,
    )
    response = _RecordedResponse()

    runner.submit(HttpRequest(REQUEST, "POST", "/saves", (), b"", response))

    assert response.errors == ([ErrorKind.DRAINING] if is_leaving else [])
    assert len(spawned) == (0 if is_leaving else 1)
