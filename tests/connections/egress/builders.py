"""Builders for the tests of the scheduler."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from siskinshift.connections.actions import ToPeer
    from siskinshift.connections.egress.scheduler import EgressScheduler


def offer_all(scheduled: EgressScheduler, actions: Iterable[ToPeer]) -> list[ToPeer]:
    """Offers datagrams at time 0; returns those that are sent at once."""
    return [action for action in actions if scheduled.offer(action, now=0.0)]


def release_all(scheduled: EgressScheduler) -> list[ToPeer]:
    """Runs the scheduler until nothing waits; returns what it sends."""
    sent: list[ToPeer] = []
    now = 0.0
    while scheduled:
        now = max(now, scheduled.next_due)
        sent += scheduled.release(now=now)
    return sent
