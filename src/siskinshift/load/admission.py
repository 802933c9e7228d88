"""Admission checks for arriving requests, and the retry hint of a refusal.

The checks handle bursts and saturation. Without them a request waits in the queue for
its whole time limit and is refused only when its caller no longer needs the response,
while free slots are spent on requests that are late as well. Early shedding costs the
caller one round trip instead of the queue time limit.

The checks are a registry and run in order of registration; the first error decides.
The wait is estimated from the backlog ahead of the request: the shorter of its group's
whole backlog and its caller's own, because callers are served in turn. The retry hint
is the estimated time to process half of the backlog, with a jitter of a quarter in both
directions, so that refused callers return neither to a full queue nor all at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind


if TYPE_CHECKING:
    from random import Random


MIN_RETRY_HINT_SECONDS = 0.1
MAX_RETRY_HINT_SECONDS = 30.0
RETRY_HINT_JITTER_FRACTION = 0.25


@frozen
class Arrival:
    """Input of the admission checks for one arriving request.

    Attributes:
        time_left: Seconds until its deadline.
        is_draining: Whether the agent is draining.
        key_is_at_limit: Whether its idempotency key is at its limit.
        slot_is_free: Whether it would start at once.
        caller_is_at_limit: Whether its caller is at its limit in the queue.
        waiting: Number of queued requests of its group.
        queue_limit: Maximum number of queued requests of a group.
        estimated_wait: Estimated wait, seconds.
        queue_time_limit: Longest wait allowed, seconds.
        expected_slot_time: Expected time in a slot, seconds.
    """

    time_left: float
    is_draining: bool
    key_is_at_limit: bool
    slot_is_free: bool
    caller_is_at_limit: bool
    waiting: int
    queue_limit: int
    estimated_wait: float
    queue_time_limit: float
    expected_slot_time: float


AdmissionCheck: TypeAlias = Callable[[Arrival], ErrorKind | None]

ADMISSION_CHECKS: list[AdmissionCheck] = []


def admission_check(check: AdmissionCheck) -> AdmissionCheck:
    """Registers a check that runs after those already registered.

    Args:
        check: Returns the error of a refused arrival, or None.

    Returns:
        The check.
    """
    ADMISSION_CHECKS.append(check)
    return check


def check_admission(arrival: Arrival) -> ErrorKind | None:
    """Runs all admission checks.

    Args:
        arrival: The arriving request.

    Returns:
        The error of the first check that refuses it, or None if it is admitted.
    """
    for check in ADMISSION_CHECKS:
        error = check(arrival)
        if error is not None:
            return error
    return None


def retry_hint(wait: float, *, random: Random) -> float:
    """Returns the delay after which the caller should retry.

    Args:
        wait: Estimated wait now, seconds.
        random: Source of the jitter.

    Returns:
        Seconds.
    """
    hint = max(MIN_RETRY_HINT_SECONDS, wait / 2)
    hint *= random.uniform(
        1 - RETRY_HINT_JITTER_FRACTION, 1 + RETRY_HINT_JITTER_FRACTION
    )
    return min(MAX_RETRY_HINT_SECONDS, hint)


@admission_check
def _refuse_while_draining(arrival: Arrival) -> ErrorKind | None:
    return ErrorKind.DRAINING if arrival.is_draining else None


@admission_check
def _refuse_expired(arrival: Arrival) -> ErrorKind | None:
    return ErrorKind.DEADLINE_EXCEEDED if arrival.time_left <= 0 else None


@admission_check
def _refuse_key_over_limit(arrival: Arrival) -> ErrorKind | None:
    return ErrorKind.CALLER_LIMITED if arrival.key_is_at_limit else None


@admission_check
def _refuse_caller_over_limit(arrival: Arrival) -> ErrorKind | None:
    if arrival.slot_is_free or not arrival.caller_is_at_limit:
        return None
    return ErrorKind.CALLER_LIMITED


@admission_check
def _refuse_full_queue(arrival: Arrival) -> ErrorKind | None:
    if arrival.slot_is_free or arrival.waiting < arrival.queue_limit:
        return None
    return ErrorKind.OVERLOADED


@admission_check
def _refuse_long_wait(arrival: Arrival) -> ErrorKind | None:
    if arrival.slot_is_free:
        return None
    is_too_late = (
        arrival.estimated_wait + arrival.expected_slot_time > arrival.time_left
    )
    is_too_long = arrival.estimated_wait > arrival.queue_time_limit
    return ErrorKind.OVERLOADED if is_too_late or is_too_long else None
