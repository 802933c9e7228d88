"""Tests of the admission of new flows; random loads use seeds 1 to 10."""

from __future__ import annotations

from random import Random

import pytest

from siskinshift.connections.node_settings import PolicySettings
from siskinshift.connections.request_queue import RequestQueue
from siskinshift.connections.scheduling.opening_admission import OpeningAdmission
from tests.connections.scheduling.load import PURCHASE
from tests.connections.scheduling.load import STATUS
from tests.connections.scheduling.load import agent_requests
from tests.connections.scheduling.load import flow_key
from tests.connections.scheduling.load import poisson
from tests.connections.scheduling.load import run


RUN_SECONDS = 0.1


def _admission() -> tuple[RequestQueue, OpeningAdmission]:
    """Returns the admission of a queue with a known run time and two running."""
    queue = RequestQueue()
    queue.observes_runs = True
    for number in (1, 2):
        queue.submit(flow_key(number, 999), 1, b"", PURCHASE, now=0.0)
    queue.finish(flow_key(1, 999), now=RUN_SECONDS)
    queue.submit(flow_key(3, 999), 1, b"", PURCHASE, now=RUN_SECONDS)
    return queue, OpeningAdmission(queue, settings=PolicySettings())


def _fill(queue: RequestQueue, count: int, *, caller: int | None = None) -> None:
    for number in range(10, 10 + count):
        host = number if caller is None else caller
        queue.submit(flow_key(number, host), 1, b"", PURCHASE, now=RUN_SECONDS)


def test_the_estimate_counts_running_requests_with_their_remaining_time() -> None:
    """Guards against an estimate from the number of waiting requests only."""
    queue, admission = _admission()
    _fill(queue, 3)

    # Two forwarded: one has run for half of its time, the other has not begun.
    wait = admission.estimate_wait(1, now=RUN_SECONDS * 1.5)

    assert wait == pytest.approx(RUN_SECONDS * (0.5 + 1 + 3))


def test_openings_admitted_in_one_round_trip_count() -> None:
    """Guards against admitting a whole burst before its first request arrives."""
    _, admission = _admission()

    refused = [
        admission.check(flow_key(n, n), PURCHASE, now=RUN_SECONDS) is not None
        for n in range(100, 140)
    ]

    assert refused.count(False) < PURCHASE.deadline / RUN_SECONDS
    assert refused[-1]


def test_a_long_lived_flow_is_not_judged() -> None:
    """Guards against refusing a long-lived flow for one busy moment."""
    queue, admission = _admission()
    _fill(queue, 100)

    assert admission.check(flow_key(5, 5), STATUS, now=RUN_SECONDS) is None


def test_a_caller_with_its_own_backlog_is_refused_first() -> None:
    """Guards against refusing others because one caller has filled the queue."""
    queue, admission = _admission()
    _fill(queue, 30, caller=7)

    assert admission.check(flow_key(5, 7), PURCHASE, now=RUN_SECONDS) is not None
    assert admission.check(flow_key(6, 8), PURCHASE, now=RUN_SECONDS) is None


def test_a_free_slot_is_never_refused() -> None:
    """Guards against an idle upstream while refusing is in force."""
    queue, admission = _admission()
    _fill(queue, 40)
    assert admission.check(flow_key(5, 5), PURCHASE, now=RUN_SECONDS) is not None
    for number in (2, 3, *range(10, 50)):
        queue.finish(flow_key(number, 999), now=0.3)
        queue.finish(flow_key(number, number), now=0.3)

    assert admission.check(flow_key(6, 6), PURCHASE, now=0.3) is None


@pytest.mark.parametrize("seed", range(1, 11))
def test_a_burst_is_refused_at_once_and_admitted_requests_run(seed: int) -> None:
    """Guards against purchases that wait until their deadline for nothing."""
    demands = poisson(
        Random(seed),
        2 / 0.029,
        until=3,
        work=0.029,
        parameters=PURCHASE,
        callers=range(100),
    )

    outcomes = run(agent_requests(uses_admission=True), demands)
    without = run(agent_requests(), demands)

    assert outcomes.refused
    assert not outcomes.refused & set(outcomes.response_by_demand)
    unserved = len(demands) - len(outcomes.refused) - len(outcomes.response_by_demand)
    unserved_without = len(demands) - len(without.response_by_demand)
    assert unserved <= 0.03 * len(demands)
    assert unserved_without > 2 * unserved
