"""Tests of what an agent observes of its upstream, through its flows."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from siskinshift.connections.health.upstream_observer import MAX_OUTCOMES
from siskinshift.connections.health.upstream_observer import MAX_SAMPLE_AGE_SECONDS
from siskinshift.connections.health.upstream_observer import MIN_OUTCOMES
from siskinshift.connections.health.upstream_observer import UpstreamObserver
from siskinshift.connections.owned_flow import OwnedFlow
from siskinshift.connections.peer_messages import Forward
from siskinshift.connections.peer_messages import LoadReport
from siskinshift.connections.peer_messages import Purpose
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.routes import service_tag
from siskinshift.connections.segment import ACK
from siskinshift.connections.segment import BOUNCED
from siskinshift.connections.segment import FIN
from siskinshift.connections.segment import RESET
from siskinshift.connections.segment import SYN
from tests.connections.builders import BALANCER
from tests.connections.builders import agent_flows
from tests.connections.builders import flow_of
from tests.connections.builders import ready_upstream
from tests.connections.builders import segment


if TYPE_CHECKING:
    from siskinshift.connections.agent_flows import AgentFlows


FLOW = segment(1).flow
# Sequence number that an upstream's response begins with.
INITIAL = 900


def _forward(
    flows: AgentFlows,
    port: int,
    flags: int,
    *,
    now: float,
    kind: RequestKind = RequestKind.UNKNOWN,
) -> None:
    is_opening = bool(flags & SYN)
    ack, length = (0, 0) if is_opening else (INITIAL + 1, 300)
    packet = segment(port, flags, seq=1, ack=ack, length=length)
    purpose = Purpose.OPEN if is_opening else Purpose.OWNED
    message = Forward(
        purpose,
        service_tag("editor"),
        packet.datagram,
        RequestParameters(objective=0.1, deadline=9.0, urgency=1, kind=kind),
    )
    flows.on_forward(message, packet, BALANCER, now=now)


def _open(flows: AgentFlows, port: int, *, now: float) -> None:
    _forward(flows, port, SYN, now=now)
    flows.on_upstream_segment(segment(port, SYN | ACK, seq=INITIAL, ack=2), now=now)


def _report(flows: AgentFlows, *, now: float) -> LoadReport:
    flows.refresh_report(now=now)
    return flows.load_report


def test_run_times_count_from_the_request_to_its_first_byte() -> None:
    """Guards against judging by the wait at the agent or by old responses."""
    flows = agent_flows()
    _report(flows, now=0.0)
    for port in range(1, 11):
        _open(flows, port, now=port)
        _forward(flows, port, ACK, now=port + 0.1)
        for at in (0.1 + port / 100, 0.9):
            data = segment(port, ACK, seq=INITIAL + 1, ack=301, length=100)
            flows.on_upstream_segment(data, now=port + at)
        recent = _report(flows, now=port + 0.95)
        _forward(flows, port, ACK | RESET, now=port + 0.96)

    # Those of the last seconds, 0.07 to 0.1 s.
    assert recent.samples == MAX_SAMPLE_AGE_SECONDS
    assert recent.run_seconds == pytest.approx(0.085)
    assert recent.fast_run_seconds == pytest.approx(0.07)
    assert recent.failure_fraction == 0.0


@pytest.mark.parametrize("flags", [RESET, ACK | BOUNCED])
def test_resets_and_returned_packets_are_failures_until_the_upstream_ends(
    flags: int,
) -> None:
    """Guards against blaming a new upstream for the flows of its predecessor."""
    flows = agent_flows()
    _report(flows, now=0.5)
    for port in range(1, 5):
        _open(flows, port, now=1.0)
        _forward(flows, port, ACK, now=1.0)
        flows.on_upstream_segment(segment(port, ACK, seq=INITIAL + 1), now=1.0)
    flows.on_upstream_segment(segment(1, flags, seq=INITIAL + 1), now=1.1)
    flows.on_upstream_segment(segment(2, flags, seq=INITIAL + 1), now=1.1)
    assert _report(flows, now=1.2).failure_fraction == 2 / MAX_OUTCOMES

    flows.on_upstream_gone(now=1.3)
    flows.on_upstream_segment(segment(3, flags, seq=INITIAL + 1), now=1.4)
    assert _report(flows, now=1.5).failure_fraction == 0.0


def test_a_fin_that_overtakes_its_response_is_no_failure() -> None:
    """Guards against healthy upstreams that look bad because packets are reordered."""
    flows = agent_flows()
    _report(flows, now=0.0)
    for port in range(1, 17):
        _open(flows, port, now=1.0)
        _forward(flows, port, ACK, now=1.0)
        response = segment(port, ACK, seq=INITIAL + 1, ack=301, length=500)
        fin = segment(port, FIN | ACK, seq=INITIAL + 501, ack=301)
        flows.on_upstream_segment(fin, now=1.02)
        flows.on_upstream_segment(response, now=1.03)

    report = _report(flows, now=1.1)
    assert report.failure_fraction == 0.0
    assert report.samples == 16


def test_closing_without_a_response_is_a_failure() -> None:
    """Guards against an upstream that closes each flow in place of a response."""
    flows = agent_flows()
    _report(flows, now=0.0)
    for port in (1, 2):
        _open(flows, port, now=1.0)
        _forward(flows, port, ACK, now=1.0)
        fin = segment(port, FIN | ACK, seq=INITIAL + 1, ack=301)
        flows.on_upstream_segment(fin, now=1.02)

    assert _report(flows, now=1.1).failure_fraction == 2 / MIN_OUTCOMES


def test_refused_and_unanswered_openings_are_failures() -> None:
    """Guards against an upstream that refuses openings and looks idle."""
    flows = agent_flows()
    _report(flows, now=0.9)
    _open(flows, 1, now=1.0)
    _forward(flows, 2, SYN, now=1.0)
    flows.on_upstream_segment(segment(2, SYN | BOUNCED), now=1.0)
    _forward(flows, 3, SYN, now=1.0)

    assert _report(flows, now=1.2).failure_fraction == 1 / MAX_OUTCOMES
    assert _report(flows, now=1.4).failure_fraction == 2 / MAX_OUTCOMES


def test_an_overdue_request_is_stalled_also_after_its_caller_gave_up() -> None:
    """Guards against a hanging upstream that looks idle once its callers have left."""
    flows = agent_flows()
    _report(flows, now=0.9)
    _open(flows, 1, now=1.0)
    _forward(flows, 1, ACK, now=1.0)
    assert not any(_report(flows, now=n / 10).stalled for n in range(11, 22))
    assert _report(flows, now=2.3).stalled == 1
    _forward(flows, 1, ACK | RESET, now=2.31)
    assert _report(flows, now=2.4).stalled == 1
    for tenth in range(25, 55):
        _report(flows, now=tenth / 10)
    assert _report(flows, now=5.5).stalled == 0


def test_a_pause_of_the_agent_itself_stalls_no_request() -> None:
    """Guards against an ejection for the time that the agent's process was stopped."""
    observer = UpstreamObserver()
    observer.observe(None, now=0.9)
    observer.on_forwarded(FLOW, now=1.0)
    assert observer.observe(None, now=1.1).stalled == 0
    assert observer.observe(None, now=4.0).stalled == 0
    for tenth in range(41, 54):
        stalled = observer.observe(None, now=tenth / 10).stalled
    assert stalled == 1


def test_an_upload_is_overdue_only_from_its_newest_packet() -> None:
    """Guards against blaming an upstream for a caller that sends slowly."""
    observer = UpstreamObserver()
    stalled_by_kind = {}
    for kind in (RequestKind.UPLOAD, RequestKind.NON_IDEMPOTENT):
        observer.clear(now=0.0)
        for tenth in range(10, 30):
            observer.on_forwarded(FLOW, now=tenth / 10, kind=kind)
            stalled_by_kind[kind] = observer.observe(None, now=tenth / 10).stalled
    assert stalled_by_kind == {RequestKind.UPLOAD: 0, RequestKind.NON_IDEMPOTENT: 1}


def test_a_retransmission_does_not_postpone_an_overdue_upload() -> None:
    """Guards against an upstream that hangs while its caller retransmits."""
    flows = agent_flows()
    _report(flows, now=0.9)
    _open(flows, 1, now=1.0)
    for tenth in range(10, 30):
        _forward(flows, 1, ACK, now=tenth / 10, kind=RequestKind.UPLOAD)
        stalled = _report(flows, now=tenth / 10).stalled
    assert stalled == 1


def test_usual_work_of_a_slow_service_is_not_stalled() -> None:
    """Guards against a limit below the run times of a service that takes seconds."""
    observer = UpstreamObserver()
    observer.observe(None, now=0.0)
    for port in range(1, 5):
        observer.on_forwarded(flow_of(port), now=0.0)
        data = segment(port, ACK, length=100)
        observer.on_upstream_segment(data, OwnedFlow(0.0, 0.0), now=1.0)
    for tenth in range(10, 40):
        if tenth == 10:
            observer.on_forwarded(FLOW, now=1.0)
        assert observer.observe(None, now=tenth / 10).stalled == 0


def test_refusals_of_a_busy_upstream_are_load() -> None:
    """Guards against ejecting upstreams at their connection limit during a burst."""
    flows = agent_flows(ready_upstream(now=1.0))
    _report(flows, now=0.9)
    _open(flows, 1, now=1.0)
    _forward(flows, 1, ACK, now=1.0)
    data = segment(1, ACK, seq=INITIAL + 1, ack=301, length=100)
    flows.on_upstream_segment(data, now=1.1)
    for now, failures in ((1.2, 0), (2.5, 1)):
        _forward(flows, 2, SYN, now=now)
        flows.on_upstream_segment(segment(2, SYN | BOUNCED), now=now)
        fraction = _report(flows, now=now + 0.1).failure_fraction
        assert fraction == failures / MAX_OUTCOMES


def test_neither_a_late_opening_copy_nor_an_idle_reset_is_a_failure() -> None:
    """Guards against failures where no request was lost."""
    flows = agent_flows()
    _report(flows, now=0.9)
    for port in (1, 2):
        _open(flows, port, now=1.0)
        flows.on_upstream_segment(segment(port, ACK, seq=INITIAL + 1), now=1.0)
    _forward(flows, 1, SYN, now=1.1)
    flows.on_upstream_segment(segment(1, SYN | BOUNCED), now=1.1)
    flows.on_upstream_segment(segment(2, RESET, seq=INITIAL + 1), now=2.5)
    assert _report(flows, now=5.1).failure_fraction == 0.0


def test_the_observer_records_nothing_without_recipients() -> None:
    """Guards against the cost of observation after the policy has ended."""
    flows = agent_flows()
    flows.report_recipients.add(BALANCER)
    flows.tick(now=0.5)
    flows.report_recipients.clear()
    flows.tick(now=0.9)
    _open(flows, 1, now=1.0)
    _forward(flows, 1, ACK, now=1.0)
    flows.on_upstream_segment(segment(1, RESET, seq=INITIAL + 1), now=1.1)
    assert flows.load_report == LoadReport()
    assert _report(flows, now=1.2).failure_fraction == 0.0
