"""Tests of the rate limit, circuit breaker and backoff."""

from __future__ import annotations

from random import Random

from siskinshift.kv.guard import Admission
from siskinshift.kv.guard import Backoff
from siskinshift.kv.guard import CallClass
from siskinshift.kv.guard import CallGuard
from tests.kv.fakes import make_settings


def _guard(rate: float = 1.0, burst: int = 9) -> CallGuard:
    text = f"[kv]\ncall_rate = {rate}\ncall_burst = {burst}\n"
    return CallGuard(make_settings(text).kv, random=Random(1))


def test_background_requests_leave_a_reserve_for_operators() -> None:
    """Guards against a refused operator's change although the store is healthy.

    The balancer's own reads used up the rate limit of the process.
    """
    guard = _guard()
    background_results = [guard.admit(CallClass.BACKGROUND, now=0.0) for _ in range(20)]

    assert background_results.count(Admission.ADMITTED) == 7
    operator_results = [guard.admit(CallClass.OPERATOR, now=0.0) for _ in range(3)]
    assert operator_results == [
        Admission.ADMITTED,
        Admission.ADMITTED,
        Admission.OVER_BUDGET,
    ]
    assert guard.admit(CallClass.OPERATOR, now=1.5) is Admission.ADMITTED


def test_an_outage_costs_one_probe_per_delay() -> None:
    guard = _guard(rate=1000.0, burst=1000)
    admitted = 0
    for tick in range(6000):
        now = tick / 100
        if guard.admit(CallClass.BACKGROUND, now=now) is Admission.ADMITTED:
            admitted += 1
            guard.record_failure(now=now)

    # 3 failures open it, then delays grow to 2.5 to 5 seconds within a minute.
    assert 15 <= admitted <= 35
    guard.record_success()
    assert guard.admit(CallClass.BACKGROUND, now=60.0) is Admission.ADMITTED


def test_one_probe_is_admitted_at_a_time() -> None:
    guard = _guard(rate=1000.0, burst=1000)
    for _ in range(3):
        guard.record_failure(now=0.0)

    assert guard.admit(CallClass.OPERATOR, now=1.0) is Admission.ADMITTED
    assert guard.admit(CallClass.OPERATOR, now=1.0) is Admission.CIRCUIT_OPEN


def test_the_delay_grows_to_its_maximum_without_overflow() -> None:
    backoff = Backoff(minimum=1.0, maximum=30.0)
    random = Random(1)

    assert 0.5 <= backoff.delay(1, random) <= 1.0
    assert 15.0 <= backoff.delay(100_000, random) <= 30.0
