"""Tests of the outcomes of single requests at one gate."""

from __future__ import annotations

import pytest

from siskinshift.core.errors import ErrorKind
from siskinshift.core.requests import CancelAtUpstream
from siskinshift.core.requests import FailRequest
from siskinshift.core.requests import RefuseRequest
from siskinshift.core.requests import RunResult
from siskinshift.core.requests import StartRequest
from tests.load.builders import a_gate
from tests.load.builders import a_request
from tests.load.builders import a_service


def test_a_request_starts_when_a_slot_is_free_and_is_queued_otherwise() -> None:
    gate = a_gate()

    assert gate.submit(a_request(1), now=0.0) == [StartRequest(1)]
    assert gate.submit(a_request(2), now=0.0) == []
    assert gate.finished(1, succeeded=True, now=0.1) == [StartRequest(2)]


def test_a_request_that_may_not_be_repeated_is_offered_once() -> None:
    gate = a_gate()
    gate.submit(a_request(1), now=0.0)

    actions = gate.finished(1, succeeded=False, now=0.1, result=RunResult.LOST)

    assert actions == [FailRequest(1, ErrorKind.UPSTREAM_FAILED)]
    assert gate.pending_count == 0


def test_a_repeatable_request_is_retried_within_the_budget_and_the_deadline() -> None:
    gate = a_gate()
    gate.submit(a_request(1, repeatable=True), now=0.0)

    assert gate.finished(1, succeeded=False, now=0.1, result=RunResult.LOST) == []
    assert gate.tick(now=1.0) == [StartRequest(1)]
    # The budget starts with one retry and no success has earned another.
    actions = gate.finished(1, succeeded=False, now=1.1, result=RunResult.LOST)
    assert actions == [FailRequest(1, ErrorKind.UPSTREAM_FAILED)]


@pytest.mark.parametrize("seed", range(1, 21))
def test_a_lost_request_ends_at_its_deadline_and_not_after_its_back_off(
    seed: int,
) -> None:
    """Guards against a final response that waits for a back-off beyond the deadline."""
    gate = a_gate(seed=seed)
    gate.submit(a_request(1, repeatable=True, deadline=0.01), now=0.0)
    gate.finished(1, succeeded=False, now=0.001, result=RunResult.LOST)

    assert gate.tick(now=0.011) == [FailRequest(1, ErrorKind.UPSTREAM_FAILED)]
    assert gate.pending_count == 0


@pytest.mark.parametrize("seed", range(1, 21))
def test_a_back_off_leaves_time_for_the_retry(seed: int) -> None:
    """Guards against a retry that is paid for from the budget but never made."""
    gate = a_gate(seed=seed)
    gate.submit(a_request(1, repeatable=True, deadline=0.01), now=0.0)
    gate.finished(1, succeeded=False, now=0.001, result=RunResult.LOST)

    assert gate.tick(now=0.00999) == [StartRequest(1)]


def test_a_held_request_ends_at_its_deadline() -> None:
    """Guards against a refusal that waits for a peer beyond the deadline."""
    gate = a_gate(peers=("b",), queue_limit=1)
    gate.submit(a_request(1), now=0.0)
    gate.submit(a_request(2, caller="10.0.0.2"), now=0.0)
    gate.submit(a_request(3, caller="10.0.0.3", deadline=0.005), now=0.0)

    actions = gate.tick(now=0.006)

    (refusal,) = [action for action in actions if isinstance(action, RefuseRequest)]
    assert refusal.request_id == 3
    assert refusal.error is ErrorKind.DEADLINE_EXCEEDED


def test_a_retried_request_that_expires_has_an_unknown_outcome() -> None:
    """Guards against a reply "not run" for a request that may have run.

    The first attempt was lost after it was offered; the second is queued behind another
    request when the deadline passes.
    """
    gate = a_gate()
    gate.submit(a_request(1, repeatable=True, deadline=1.0), now=0.0)
    gate.submit(a_request(2), now=0.0)
    gate.finished(1, succeeded=False, now=0.1, result=RunResult.LOST)

    actions = gate.tick(now=0.9) + gate.tick(now=1.1)

    assert actions == [FailRequest(1, ErrorKind.UPSTREAM_FAILED)]


def test_a_request_that_never_reached_the_upstream_is_refused_as_not_run() -> None:
    gate = a_gate()
    gate.submit(a_request(1), now=0.0)
    actions = []
    for step in range(1, 5):
        actions = gate.finished(
            1, succeeded=False, now=step, result=RunResult.NOT_OFFERED
        )
        if not actions:
            assert gate.tick(now=step + 0.9) == [StartRequest(1)]

    (refusal,) = actions
    assert isinstance(refusal, RefuseRequest)
    assert refusal.error is ErrorKind.NO_UPSTREAM


def test_a_request_that_expires_in_the_queue_is_refused_and_never_started() -> None:
    """Guards against a start after the caller gave up.

    The request is queued behind a long one; the slot becomes free after its deadline.
    """
    gate = a_gate(queue_time_limit=60.0)
    gate.submit(a_request(1), now=0.0)
    gate.submit(a_request(2, deadline=0.5), now=0.0)

    (refusal,) = gate.tick(now=0.5)

    assert isinstance(refusal, RefuseRequest)
    assert refusal.error is ErrorKind.DEADLINE_EXCEEDED
    assert gate.finished(1, succeeded=True, now=9.0) == []


def test_a_request_that_expires_between_ticks_is_refused_at_dispatch() -> None:
    gate = a_gate()
    gate.submit(a_request(1), now=0.0)
    gate.submit(a_request(2, deadline=0.5), now=0.0)

    (refusal,) = gate.finished(1, succeeded=True, now=0.51)

    assert isinstance(refusal, RefuseRequest)


def test_a_cancel_that_races_with_the_start_has_one_outcome() -> None:
    """Guards against a wrong reply "not run" or "may have run".

    The cancellation and the start of the request reach the gate in either order.
    """
    cancelled_first = a_gate()
    cancelled_first.submit(a_request(1), now=0.0)
    cancelled_first.submit(a_request(2), now=0.0)
    (refusal,) = cancelled_first.cancel(2, now=0.1)
    assert isinstance(refusal, RefuseRequest)
    assert refusal.error is ErrorKind.CANCELLED
    assert cancelled_first.finished(1, succeeded=True, now=0.1) == []

    started_first = a_gate()
    started_first.submit(a_request(1), now=0.0)
    started_first.submit(a_request(2), now=0.0)
    assert started_first.finished(1, succeeded=True, now=0.1) == [StartRequest(2)]
    assert started_first.cancel(2, now=0.1) == [CancelAtUpstream(2)]
    # A second cancellation has no effect, and the slot stays in use until the end.
    assert started_first.cancel(2, now=0.1) == []
    assert started_first.slots_in_use == 1
    actions = started_first.finished(2, succeeded=False, now=0.2, result=RunResult.LOST)
    assert actions == [FailRequest(2, ErrorKind.CANCELLED_RUNNING)]


def test_a_draining_gate_refuses_new_requests_and_runs_queued_ones() -> None:
    gate = a_gate()
    gate.submit(a_request(1), now=0.0)
    gate.submit(a_request(2), now=0.0)
    gate.drain(now=0.0)

    (refusal,) = gate.submit(a_request(3), now=0.1)

    assert isinstance(refusal, RefuseRequest)
    assert refusal.error is ErrorKind.DRAINING
    assert gate.finished(1, succeeded=True, now=0.2) == [StartRequest(2)]


def test_responses_within_one_clock_tick_do_not_break_the_wait_estimate() -> None:
    """Guards against a failing tick that leaves every queued request hanging.

    All responses of a group came within one tick of a coarse clock, so its mean slot
    time was 0 and the wait estimate divided by it. Found by fuzzing.
    """
    gate = a_gate()
    gate.submit(a_request(1), now=0.0)
    gate.submit(a_request(2), now=0.0)
    gate.submit(a_request(3, deadline=0.5), now=0.0)
    gate.finished(1, succeeded=True, now=0.0)

    (refusal,) = gate.tick(now=0.5)

    assert isinstance(refusal, RefuseRequest)


def test_a_duplicate_or_late_end_of_a_request_is_ignored() -> None:
    gate = a_gate()
    gate.submit(a_request(1), now=0.0)
    gate.submit(a_request(2), now=0.0)
    gate.finished(1, succeeded=True, now=0.1)

    assert gate.finished(1, succeeded=True, now=0.2) == []
    assert gate.finished(77, succeeded=True, now=0.2) == []
    assert gate.slots_in_use == 1


def test_the_more_important_service_goes_first_without_starving_the_other() -> None:
    services = (a_service(importance=200), a_service("dossiers", importance=100))
    gate = a_gate(services=services, queue_limit=200, queue_time_limit=600.0)
    gate.submit(a_request(0), now=0.0)
    for number in range(1, 61):
        service_id = "editor" if number % 2 else "dossiers"
        request = a_request(
            number, service_id=service_id, deadline=900.0, caller=str(number)
        )
        gate.submit(request, now=0.0)
    order = []
    last = 0
    for step in range(1, 31):
        (start,) = gate.finished(last, succeeded=True, now=step * 0.05)
        assert isinstance(start, StartRequest)
        last = start.request_id
        order.append("editor" if last % 2 else "dossiers")

    assert order.count("dossiers") == 1


def test_a_client_that_repeats_one_key_in_a_loop_is_limited() -> None:
    gate = a_gate(slots=8)
    gate.submit(a_request(1, key="save-1"), now=0.0)
    gate.submit(a_request(2, key="save-1"), now=0.0)

    (refusal,) = gate.submit(a_request(3, key="save-1"), now=0.0)

    assert isinstance(refusal, RefuseRequest)
    assert refusal.error is ErrorKind.CALLER_LIMITED
    gate.finished(1, succeeded=True, now=0.1)
    assert gate.submit(a_request(4, key="save-1"), now=0.1) == [StartRequest(4)]
