"""Tests of a balancer's planned end."""

from __future__ import annotations

from siskinshift.connections.departure import QUIET_SECONDS
from siskinshift.connections.departure import RESERVE_SECONDS
from siskinshift.connections.departure import ROTATION_SECONDS
from siskinshift.connections.departure import Departure
from siskinshift.connections.fleet import Peer
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from tests.connections.builders import member


def _balancer(name: str, *, state: MemberState, last_seen_at: float) -> Peer:
    known = member(name, role=Role.BALANCER, state=state)
    return Peer(known, ("10.0.0.5", 7000), last_seen_at=last_seen_at, discovered_at=0.0)


def test_it_ends_when_routers_have_noticed_and_packets_have_stopped() -> None:
    departure = Departure(started_at=0.0, leave_seconds=6.0)
    peers = [_balancer("b", state=MemberState.READY, last_seen_at=0.0)]

    assert not departure.may_end(peers, received_at=0.0, now=0.0)
    assert departure.has_begun
    busy = ROTATION_SECONDS - 0.1
    assert not departure.may_end(peers, received_at=busy, now=ROTATION_SECONDS + 0.1)
    assert departure.may_end(peers, received_at=busy, now=busy + QUIET_SECONDS)


def test_the_second_of_three_waits_until_the_first_is_back() -> None:
    """Three balancers of a domain are restarted, the second while the first is away.

    If it said not ready as well, one of three would be left and routers would send to
    the one that is away.
    """
    departure = Departure(started_at=0.0, leave_seconds=6.0)
    away = _balancer("b", state=MemberState.DRAINING, last_seen_at=0.0)
    ready = _balancer("c", state=MemberState.READY, last_seen_at=0.0)
    assert not departure.may_end([away, ready], received_at=0.0, now=0.0)
    assert not departure.has_begun

    back = _balancer("b", state=MemberState.READY, last_seen_at=2.0)
    ready.last_seen_at = 2.0
    departure.may_end([back, ready], received_at=2.0, now=2.0)
    assert departure.has_begun


def test_it_does_not_wait_beyond_the_time_that_leaving_takes() -> None:
    departure = Departure(started_at=0.0, leave_seconds=6.0)
    away = _balancer("b", state=MemberState.DRAINING, last_seen_at=0.0)
    other = _balancer("c", state=MemberState.DRAINING, last_seen_at=0.0)
    end_by = 6.0 - RESERVE_SECONDS

    departure.may_end([away, other], received_at=0.0, now=end_by - ROTATION_SECONDS)

    assert departure.has_begun
    assert departure.may_end([away, other], received_at=end_by, now=end_by)


def test_one_that_serves_alone_does_not_wait() -> None:
    departure = Departure(started_at=0.0, leave_seconds=6.0)

    departure.may_end([], received_at=0.0, now=0.0)

    assert departure.has_begun
