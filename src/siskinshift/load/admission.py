"""What is turned away at the door, and the hint that goes with it.

Pattern: bursts and saturation. Without a check at the door a request waits out its time
in the queue and is refused when its caller has nothing left to do with the answer; the
slots that came free meanwhile went to others that were late as well. Shedding early
costs the caller one round trip instead of the queue time limit.

The checks are a registry, tried in order of registration; the first error counts. The
wait is estimated from what is ahead of the request: the shorter of its group's whole
backlog and its caller's own, since callers take turns. The hint is the estimated time
in which half of the backlog is worked off, jittered by a quarter both ways, so that
refused callers neither come back to a full queue nor all at once.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import TypeAlias

from attrs import frozen

from siskinshift.core.errors import ErrorKind


if TYPE_CHECKING:
    from random import Random


RETRY_HINT_MINIMUM_SECONDS = 0.1
RETRY_HINT_MAXIMUM_SECONDS = 30.0
HINT_JITTER = 0.25


@frozen
class Arrival:
    """What the checks know of a request that arrives.

    Attributes:
        time_left: Seconds until its deadline.
        is_draining: Whether the agent drains.
        key_is_full: Whether its idempotency key is at its limit.
        slot_is_free: Whether it would start at once.
        caller_is_full: Whether its caller's part of the queue is full.
        waiting: Requests of its group that wait.
        queue_limit: Requests of a group that may wait.
        wait: Estimated wait, seconds.
        queue_time_limit: Longest wait allowed, seconds.
        slot_time: Expected time in a slot, seconds.
    """

    time_left: float
    is_draining: bool
    key_is_full: bool
    slot_is_free: bool
    caller_is_full: bool
    waiting: int
    queue_limit: int
    wait: float
    queue_time_limit: float
    slot_time: float


AdmissionCheck: TypeAlias = Callable[[Arrival], ErrorKind | None]

ADMISSION_CHECKS: list[AdmissionCheck] = []


def admission_check(check: AdmissionCheck) -> AdmissionCheck:
    """Registers a check behind those registered before.

    Args:
        check: Returns why an arrival is refused, or None.

    Returns:
        The check.
    """
    ADMISSION_CHECKS.append(check)
    return check


def refusal_of(arrival: Arrival) -> ErrorKind | None:
    """Runs all checks.

    Args:
        arrival: The request that arrives.

    Returns:
        Why it is refused, or None when it is let in.
    """
    for check in ADMISSION_CHECKS:
        error = check(arrival)
        if error is not None:
            return error
    return None


def retry_hint(wait: float, *, random: Random) -> float:
    """Says when a new try is welcome.

    Args:
        wait: Estimated wait now, seconds.
        random: Source of the jitter.

    Returns:
        Seconds.
    """
    hint = max(RETRY_HINT_MINIMUM_SECONDS, wait / 2)
    hint *= random.uniform(1 - HINT_JITTER, 1 + HINT_JITTER)
    return min(RETRY_HINT_MAXIMUM_SECONDS, hint)


@admission_check
def _refuse_while_draining(arrival: Arrival) -> ErrorKind | None:
    return ErrorKind.DRAINING if arrival.is_draining else None


@admission_check
def _refuse_expired(arrival: Arrival) -> ErrorKind | None:
    return ErrorKind.DEADLINE_EXCEEDED if arrival.time_left <= 0 else None


@admission_check
def _refuse_repeated_key(arrival: Arrival) -> ErrorKind | None:
    return ErrorKind.CALLER_LIMITED if arrival.key_is_full else None


@admission_check
def _refuse_greedy_caller(arrival: Arrival) -> ErrorKind | None:
    if arrival.slot_is_free or not arrival.caller_is_full:
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
    is_too_late = arrival.wait + arrival.slot_time > arrival.time_left
    is_too_long = arrival.wait > arrival.queue_time_limit
    return ErrorKind.OVERLOADED if is_too_late or is_too_long else None
