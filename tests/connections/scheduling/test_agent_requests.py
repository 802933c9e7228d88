"""Tests of the requests of one agent, with a state machine of its invariants."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

import hypothesis.strategies as st
import pytest
from hypothesis.stateful import Bundle
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import consumes
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from siskinshift.connections.owned_flow import OwnedFlow
from siskinshift.connections.request_kind import RequestKind
from siskinshift.connections.request_queue import EXTRA_REQUESTS
from siskinshift.connections.request_queue import MAX_WAITING_REQUESTS
from siskinshift.connections.request_queue import STUCK_AFTER_SECONDS
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.segment import SYN
from siskinshift.connections.segment import Segment
from tests.connections.scheduling.load import MANIFEST
from tests.connections.scheduling.load import PURCHASE
from tests.connections.scheduling.load import STATUS
from tests.connections.scheduling.load import agent_requests
from tests.connections.scheduling.load import data
from tests.connections.scheduling.load import flow_key
from tests.connections.scheduling.load import poisson
from tests.connections.scheduling.load import run


if TYPE_CHECKING:
    from siskinshift.connections.scheduling.agent_requests import AgentRequests


UPLOAD = RequestParameters(0.945, 9.5, 2, RequestKind.UPLOAD)


def _open(
    requests: AgentRequests, flow: bytes, parameters: RequestParameters
) -> OwnedFlow:
    state = OwnedFlow(0.0, 0.0)
    syn = Segment(flow, SYN, 1, 0, 0, b"")
    requests.on_flow_opened(state, syn, parameters, now=0.0)
    return state


@pytest.mark.parametrize("receives_without_slot", [False, True])
def test_uploads_that_stall_take_no_slot(receives_without_slot: bool) -> None:
    """Guards against short requests that wait while the upstream is idle."""
    requests = agent_requests(receives_without_slot=receives_without_slot)
    for number in range(1, 5):
        flow = flow_key(number, number)
        state = _open(requests, flow, UPLOAD)
        requests.on_data(state, data(flow, 2, 1200), UPLOAD, now=0.0)
    flow = flow_key(9, 9)

    forwarded = requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=0.1)

    assert bool(forwarded) is receives_without_slot


def test_the_last_packet_of_an_upload_waits_for_a_slot() -> None:
    """Guards against uploads that run beside the slots, and run twice."""
    requests = agent_requests(receives_without_slot=True, uses_admission=True)
    for number in range(1, 2 + EXTRA_REQUESTS):
        flow = flow_key(number, number)
        assert requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=0.0)
    flow = flow_key(9, 9)
    state = _open(requests, flow, UPLOAD)
    first, last = data(flow, 2, 1200), data(flow, 1202, 300)

    assert requests.on_data(state, last, UPLOAD, now=0.0) == []
    assert requests.on_data(state, first, UPLOAD, now=0.0) == [first.datagram]
    assert requests.on_data(state, last, UPLOAD, now=0.2) == []
    assert requests.queue.waiting_by_urgency() == {2: 1}
    requests.on_response(flow_key(1, 1), now=0.3)

    assert requests.start(now=0.3) == [last.datagram]
    assert requests.on_data(state, last, UPLOAD, now=0.4) == [last.datagram]


def test_a_dropped_request_does_not_run_by_a_retransmission() -> None:
    """Guards against a request that runs without a slot after it was given up."""
    requests = agent_requests(uses_admission=True)
    for number in range(1, 2 + EXTRA_REQUESTS):
        flow = flow_key(number, number)
        requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=0.0)
    requests.on_response(flow_key(1, 1), now=0.5)
    requests.on_data(OwnedFlow(0, 0), data(flow_key(3, 3)), STATUS, now=0.5)
    flow = flow_key(9, 9)
    state = OwnedFlow(0, 0)
    requests.on_data(state, data(flow), STATUS, now=0.5)

    ((dropped, state.dropped_until),) = requests.drop_expired(now=1.4)

    assert dropped == flow
    assert requests.on_data(state, data(flow), STATUS, now=1.5) == []
    # Its caller may retransmit after its deadline, too, until it sends newer data.
    late = state.dropped_until + 0.1
    assert requests.on_data(state, data(flow), STATUS, now=late) == []
    newer = data(flow, 902)
    assert requests.on_data(state, newer, STATUS, now=late) == [newer.datagram]


def test_requests_that_hang_do_not_shorten_the_wait_of_others() -> None:
    """Guards against dropping a request that could be answered in time.

    Half of the requests hang, which made the mean run time 0.73 s. A status request was
    dropped after 0.61 s of its 1.33 s.
    """
    requests = agent_requests(uses_admission=True)
    now = 0.0
    for number in range(1, 41):
        flow = flow_key(number, number)
        requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=now)
        if number % 2:
            requests.on_response(flow, now=now + 0.03)
        else:
            requests.finish(flow, now=now + 1.4)
        now += 1.5
    for number in range(50, 51 + EXTRA_REQUESTS):
        flow = flow_key(number, number)
        requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=now)
    flow = flow_key(90, 90)
    assert requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=now) == []

    assert requests.drop_expired(now=now + 1.2) == []
    requests.finish(flow_key(50, 50), now=now + 1.2)
    assert requests.start(now=now + 1.2) == [data(flow).datagram]


@pytest.mark.parametrize("uses_admission", [False, True])
@pytest.mark.parametrize("is_started", [False, True])
def test_a_dropped_upload_frees_its_place(
    uses_admission: bool, is_started: bool
) -> None:
    """Guards against a window that is full of uploads that were given up."""
    requests = agent_requests(uses_admission=uses_admission, receives_without_slot=True)
    for number in range(1, 2 + EXTRA_REQUESTS):
        flow = flow_key(number, number)
        requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=0.0)
    flow = flow_key(9, 9)
    state = _open(requests, flow, UPLOAD)
    assert requests.on_data(state, data(flow, 2, 300), UPLOAD, now=0.0) == []

    if is_started:
        assert requests.start(now=10.0) == []
    else:
        requests.drop_expired(now=10.0)

    assert not requests.queue.waiting
    assert len(requests._receipt) == 0


@pytest.mark.parametrize("receives_without_slot", [False, True])
def test_the_rest_of_a_dropped_upload_is_not_a_request(
    receives_without_slot: bool,
) -> None:
    """Guards against an incomplete upload that runs after its start was dropped."""
    requests = agent_requests(
        uses_admission=True, receives_without_slot=receives_without_slot
    )
    for number in range(1, 2 + EXTRA_REQUESTS):
        flow = flow_key(number, number)
        requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=0.0)
    flow = flow_key(9, 9)
    state = _open(requests, flow, UPLOAD)
    requests.on_data(state, data(flow, 2, 300), UPLOAD, now=0.0)
    ((_, state.dropped_until),) = requests.drop_expired(now=10.0)

    assert requests.on_data(state, data(flow, 302, 300), UPLOAD, now=10.1) == []
    assert requests.on_data(state, data(flow, 2, 300), UPLOAD, now=10.2) == []
    assert not requests.queue.waiting


def test_a_flood_beyond_the_queue_does_not_run() -> None:
    """Guards against requests that precede the waiting ones because the queue is full.

    Without admission the upstream refuses them.
    """
    requests = agent_requests(uses_admission=True)
    count = EXTRA_REQUESTS + 1 + MAX_WAITING_REQUESTS
    for number in range(1, count + 1):
        flow = flow_key(number, number % 9)
        requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=0.0)
    flow = flow_key(9999, 9)
    state = OwnedFlow(0, 0)

    assert requests.on_data(state, data(flow), STATUS, now=0.0) == []
    assert requests.on_data(state, data(flow), STATUS, now=0.2) == []
    assert len(requests) == count


def test_the_report_has_the_wait_and_the_use_of_the_slots() -> None:
    """Guards against figures that count the waiting requests only."""
    requests = agent_requests(uses_admission=True)
    assert requests.busy_fraction(now=0.0) == 0
    requests.on_data(OwnedFlow(0, 0), data(flow_key(1, 1)), STATUS, now=1.0)
    requests.on_response(flow_key(1, 1), now=1.5)
    for number in range(2, 6):
        flow = flow_key(number, number)
        requests.on_data(OwnedFlow(0, 0), data(flow), STATUS, now=1.5)

    assert requests.busy_fraction(now=2.0) == pytest.approx(0.5, abs=0.05)
    assert requests.expected_wait(now=2.0) == pytest.approx(1.5, abs=0.01)


@pytest.mark.parametrize("seed", range(1, 11))
def test_the_estimated_wait_agrees_with_the_actual_one(seed: int) -> None:
    """Guards against an estimate that refuses too many or too few.

    Callers are served in turn and due requests first, so the estimates of single
    requests differ from their waits; the sums agree.
    """
    requests = agent_requests(uses_admission=True)
    demands = poisson(
        Random(seed),
        1.2 / 0.029,
        until=10,
        work=0.029,
        parameters=PURCHASE,
        callers=range(100),
    )
    run(requests, demands)

    histograms = requests._log.metrics._histograms_by_name
    estimated = histograms["request_wait_estimated"].total
    assert estimated == pytest.approx(histograms["request_wait"].total, rel=0.2)
    assert sum(histograms["request_wait_estimate_error"].counts) > 0.7 * len(demands)


class RequestsMachine(RuleBasedStateMachine):
    """Any order of openings, packets, responses, ends and expiry."""

    flows = Bundle("flows")

    def __init__(self) -> None:
        super().__init__()
        self.requests = agent_requests(uses_admission=True, receives_without_slot=True)
        self.now = 0.0
        self.number = 0
        self.refused: set[bytes] = set()
        self.runs: Counter[bytes] = Counter()
        self.states: dict[bytes, tuple[OwnedFlow, RequestParameters]] = {}
        self.at_upstream: dict[bytes, float] = {}

    def _run(self, packets: list[bytes]) -> None:
        for packet in packets:
            flow, _, length = packet.rpartition(b"/")
            if int(length) < 1200:
                self.at_upstream.setdefault(flow, self.now)
                self.runs[flow] += 1

    @rule(
        target=flows,
        caller=st.integers(0, 3),
        parameters=st.sampled_from([STATUS, PURCHASE, MANIFEST, UPLOAD]),
    )
    def open(self, caller: int, parameters: RequestParameters) -> bytes:
        self.number += 1
        flow = flow_key(self.number, caller)
        if self.requests.check_opening(flow, parameters, now=self.now):
            self.refused.add(flow)
            self.requests.record_refusal(flow, now=self.now)
            return flow
        state = OwnedFlow(self.now, self.now)
        self.states[flow] = (state, parameters)
        syn = Segment(flow, SYN, 1, 0, 0, b"")
        self.requests.on_flow_opened(state, syn, parameters, now=self.now)
        return flow

    @rule(flow=flows, is_first=st.booleans())
    def send(self, flow: bytes, is_first: bool) -> None:
        if flow not in self.states or flow in self.runs:
            return
        state, parameters = self.states[flow]
        seq, length = (2, 900)
        if parameters is UPLOAD:
            seq, length = (2, 1200) if is_first else (1202, 300)
        packet = Segment(flow, 2, seq, 1, length, flow + b"/%d" % length)
        self._run(self.requests.on_data(state, packet, parameters, now=self.now))

    @rule(data=st.data())
    def respond(self, data: st.DataObject) -> None:
        if not self.at_upstream:
            return
        flow = data.draw(st.sampled_from(sorted(self.at_upstream)))
        del self.at_upstream[flow]
        self.requests.on_response(flow, now=self.now)
        self.tick(0.0)

    @rule(flow=consumes(flows))
    def end(self, flow: bytes) -> None:
        self.at_upstream.pop(flow, None)
        self.states.pop(flow, None)
        self.requests.finish(flow, now=self.now)
        self.tick(0.0)

    @rule(seconds=st.sampled_from([0.0, 0.01, 0.3, 2.5]))
    def tick(self, seconds: float) -> None:
        self.now += seconds
        for flow, until in self.requests.drop_expired(now=self.now):
            self.states[flow][0].dropped_until = until
        self._run(self.requests.start(now=self.now))

    @invariant()
    def no_request_runs_twice_or_after_a_refusal(self) -> None:
        assert all(count == 1 for count in self.runs.values())
        assert not self.refused & set(self.runs)

    @invariant()
    def slots_are_respected(self) -> None:
        recent = self.now - STUCK_AFTER_SECONDS
        assert sum(at > recent for at in self.at_upstream.values()) <= (
            1 + EXTRA_REQUESTS
        )

    def teardown(self) -> None:
        for flow in list(self.states):
            self.end(flow)
        self.tick(100.0)
        assert len(self.requests) == 0
        assert self.requests.queue.free_places(now=self.now) == 1 + EXTRA_REQUESTS
        assert len(self.requests._receipt) == 0
        assert self.requests._receipt.window_bytes == 0


TestRequests = RequestsMachine.TestCase
