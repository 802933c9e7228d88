"""Tests of the request queue; no network, an injected clock."""

from __future__ import annotations

import heapq
from random import Random

import pytest
from attrs import define

from siskinshift.connections.request_queue import EXTRA_REQUESTS
from siskinshift.connections.request_queue import MAX_WAITING_REQUESTS
from siskinshift.connections.request_queue import STUCK_AFTER_SECONDS
from siskinshift.connections.request_queue import RequestParameters
from siskinshift.connections.request_queue import RequestQueue


SAVE = RequestParameters(objective=0.12, deadline=0.6, urgency=1)
FEED = RequestParameters(objective=0.1, deadline=0.5, urgency=2)


def _flow(number: int) -> bytes:
    return number.to_bytes(12, "big")


def _submit(
    queue: RequestQueue,
    number: int,
    *,
    parameters: RequestParameters = FEED,
    now: float = 0.0,
) -> bool:
    return queue.submit(_flow(number), 1, b"packet", parameters, now=now)


def _start_next(queue: RequestQueue, *, now: float) -> list[int]:
    started = queue.next_requests(now=now)
    return [int.from_bytes(request.flow, "big") for request in started]


def _full_queue() -> RequestQueue:
    """Returns a queue whose slot is taken by requests 1 and 2, with a mean of 15 ms."""
    queue = RequestQueue()
    queue.mean_run_seconds = 0.015
    for number in range(1, 2 + EXTRA_REQUESTS):
        assert _submit(queue, number)
    return queue


def test_one_request_more_than_slots_is_forwarded() -> None:
    queue = RequestQueue()
    queue.slots = 3

    forwarded = [_submit(queue, number) for number in range(10)]

    assert forwarded.count(True) == 3 + EXTRA_REQUESTS
    queue.finish(_flow(0), now=0.01)
    assert _start_next(queue, now=0.01) == [3 + EXTRA_REQUESTS]


def test_an_urgent_request_precedes_others_that_are_in_time() -> None:
    queue = _full_queue()
    _submit(queue, 10, parameters=FEED, now=0.0)
    _submit(queue, 11, parameters=SAVE, now=0.01)

    queue.finish(_flow(1), now=0.02)

    assert _start_next(queue, now=0.02) == [11]


def test_a_request_in_time_precedes_a_late_one() -> None:
    queue = _full_queue()
    _submit(queue, 10, now=0.0)
    _submit(queue, 11, now=0.1)

    queue.finish(_flow(1), now=0.12)

    assert _start_next(queue, now=0.12) == [11]


def test_a_late_request_goes_first_shortly_before_its_deadline() -> None:
    queue = _full_queue()
    _submit(queue, 10, now=0.0)
    _submit(queue, 11, now=0.40)

    queue.finish(_flow(1), now=0.41)

    assert _start_next(queue, now=0.41) == [10]


def test_late_requests_go_in_order_of_arrival() -> None:
    """After a power failure callers return with requests that have waited for long.

    The queue counts them as new. With the youngest first, callers of the earliest ones
    gave up one after the other: 62 of 433 in two seconds.
    """
    patient = RequestParameters(objective=0.1, deadline=2.0, urgency=2)
    queue = _full_queue()
    for number in range(10, 14):
        _submit(queue, number, parameters=patient, now=0.01 * number)

    queue.finish(_flow(1), now=0.4)

    assert _start_next(queue, now=0.4) == [10]


def test_a_request_that_cannot_meet_its_deadline_takes_no_slot() -> None:
    """An upstream is slow, and a request started 76 ms before its deadline.

    It ran longer than that and occupied a slot that others waited for.
    """
    queue = _full_queue()
    queue.mean_run_seconds = 0.1
    _submit(queue, 10, now=0.0)
    _submit(queue, 11, now=0.1)
    queue.finish(_flow(1), now=FEED.deadline - 0.05)

    assert _start_next(queue, now=FEED.deadline - 0.05) == [11]


def test_an_expired_request_is_not_run() -> None:
    queue = _full_queue()
    _submit(queue, 10, now=0.0)

    queue.finish(_flow(1), now=FEED.deadline + 0.01)

    assert _start_next(queue, now=FEED.deadline + 0.01) == []
    assert queue.drop_expired(now=FEED.deadline + 0.01) == 0
    _submit(queue, 1, now=0.6)
    _submit(queue, 11, now=0.6)
    assert queue.drop_expired(now=0.6 + FEED.deadline + 0.01) == 1


def test_all_packets_of_a_request_stay_together() -> None:
    queue = _full_queue()
    for seq in (100, 1300, 100):
        assert not queue.submit(_flow(10), seq, b"%d" % seq, FEED, now=0.0)
    queue.finish(_flow(1), now=0.01)

    (request,) = queue.next_requests(now=0.01)

    assert list(request.packets_by_sequence.values()) == [b"100", b"1300"]


def test_a_missing_response_does_not_occupy_the_slot_forever() -> None:
    """The upstream drops a request without a response; its slot must become free."""
    queue = _full_queue()
    assert not _submit(queue, 10, parameters=RequestParameters(0.1, 10.0, 1), now=0.1)

    assert _start_next(queue, now=STUCK_AFTER_SECONDS + 0.01) == [10]


def test_the_queue_is_bounded() -> None:
    queue = _full_queue()
    for number in range(MAX_WAITING_REQUESTS):
        assert not _submit(queue, 100 + number)

    assert _submit(queue, 9999)


@define
class _Outcome:
    in_time: int = 0
    late: int = 0
    refused: int = 0


def _simulate_return_of_all_callers(*, uses_queue: bool, seed: int) -> _Outcome:
    """Simulates the return of all callers to one cold upstream, with new ones after.

    One slot, 24 ms a request; 12 requests at once, then one each 28 ms for 2 s. The
    alternative is the upstream's own queue of five in order of arrival, which refuses
    further requests.
    """
    random = Random(seed)
    queue = RequestQueue()
    queue.mean_run_seconds = 0.024
    arrivals = [(random.random() * 0.01, n) for n in range(12)]
    arrivals += [(0.01 + 0.028 * n, 12 + n) for n in range(70)]
    arrived_at = {number: at for at, number in arrivals}
    events = [(at, "arrives", number) for at, number in arrivals]
    heapq.heapify(events)
    in_upstream: list[int] = []
    outcome = _Outcome()

    def forward(number: int, now: float) -> None:
        in_upstream.append(number)
        if len(in_upstream) == 1:
            heapq.heappush(events, (now + 0.024, "answered", number))

    while events:
        now, event, number = heapq.heappop(events)
        if event == "arrives":
            if uses_queue:
                if _submit(queue, number, now=now):
                    forward(number, now)
            elif len(in_upstream) >= 6:
                outcome.refused += 1
            else:
                forward(number, now)
            continue
        in_upstream.remove(number)
        waited = now - arrived_at[number]
        outcome.in_time += waited <= FEED.objective
        outcome.late += FEED.objective < waited <= FEED.deadline
        if uses_queue:
            queue.finish(_flow(number), now=now)
            for request in queue.next_requests(now=now):
                in_upstream.append(int.from_bytes(request.flow, "big"))
        if in_upstream:
            heapq.heappush(events, (now + 0.024, "answered", in_upstream[0]))
    return outcome


@pytest.mark.parametrize("seed", range(4))
def test_the_queue_serves_more_callers_when_all_return_at_once(seed: int) -> None:
    """A backlog saturates the upstream.

    In order of arrival each new request waits behind the backlog and becomes late as
    well, and requests beyond the upstream's queue are refused.
    """
    before = _simulate_return_of_all_callers(uses_queue=False, seed=seed)
    after = _simulate_return_of_all_callers(uses_queue=True, seed=seed)

    assert after.refused == 0
    assert before.refused > 0
    assert after.in_time >= before.in_time
    assert after.in_time + after.late > before.in_time + before.late
