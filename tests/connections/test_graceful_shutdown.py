"""Tests of a balancer's planned shutdown."""

from __future__ import annotations

from siskinshift.connections.fleet import Peer
from siskinshift.connections.graceful_shutdown import CLEANUP_SECONDS
from siskinshift.connections.graceful_shutdown import QUIET_SECONDS
from siskinshift.connections.graceful_shutdown import ROTATION_REMOVAL_SECONDS
from siskinshift.connections.graceful_shutdown import GracefulShutdown
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from tests.connections.builders import member


def _balancer(name: str, *, state: MemberState, last_seen_at: float) -> Peer:
    record = member(name, role=Role.BALANCER, state=state)
    return Peer(
        record, ("10.0.0.5", 7000), last_seen_at=last_seen_at, discovered_at=0.0
    )


def test_a_balancer_exits_when_out_of_rotation_and_without_packets() -> None:
    shutdown = GracefulShutdown(started_at=0.0, leave_seconds=6.0)
    peers = [_balancer("b", state=MemberState.READY, last_seen_at=0.0)]

    assert not shutdown.advance(peers, received_at=0.0, now=0.0)
    assert shutdown.reports_not_ready
    busy = ROTATION_REMOVAL_SECONDS - 0.1
    assert not shutdown.advance(
        peers, received_at=busy, now=ROTATION_REMOVAL_SECONDS + 0.1
    )
    assert shutdown.advance(peers, received_at=busy, now=busy + QUIET_SECONDS)


def test_the_second_of_three_waits_until_the_first_is_back() -> None:
    """The second of a domain's three balancers is stopped while the first is down.

    If it reported not ready as well, one of three would be left, and routers would send
    packets to the first one.
    """
    shutdown = GracefulShutdown(started_at=0.0, leave_seconds=6.0)
    unready = _balancer("b", state=MemberState.DRAINING, last_seen_at=0.0)
    ready = _balancer("c", state=MemberState.READY, last_seen_at=0.0)
    assert not shutdown.advance([unready, ready], received_at=0.0, now=0.0)
    assert not shutdown.reports_not_ready

    back = _balancer("b", state=MemberState.READY, last_seen_at=2.0)
    ready.last_seen_at = 2.0
    shutdown.advance([back, ready], received_at=2.0, now=2.0)
    assert shutdown.reports_not_ready


def test_a_balancer_exits_within_the_grace_period() -> None:
    shutdown = GracefulShutdown(started_at=0.0, leave_seconds=6.0)
    unready = _balancer("b", state=MemberState.DRAINING, last_seen_at=0.0)
    other = _balancer("c", state=MemberState.DRAINING, last_seen_at=0.0)
    end_by = 6.0 - CLEANUP_SECONDS

    shutdown.advance(
        [unready, other], received_at=0.0, now=end_by - ROTATION_REMOVAL_SECONDS
    )

    assert shutdown.reports_not_ready
    assert shutdown.advance([unready, other], received_at=end_by, now=end_by)


def test_a_balancer_without_peers_does_not_wait() -> None:
    shutdown = GracefulShutdown(started_at=0.0, leave_seconds=6.0)

    shutdown.advance([], received_at=0.0, now=0.0)

    assert shutdown.reports_not_ready


def test_the_peers_that_delay_a_shutdown_are_named() -> None:
    """Guards against a wait after SIGTERM whose cause no log line shows."""
    shutdown = GracefulShutdown(started_at=10.0, leave_seconds=6.0)
    unready = _balancer("b", state=MemberState.DRAINING, last_seen_at=10.0)
    unresponsive = _balancer("c", state=MemberState.READY, last_seen_at=0.0)
    ready = _balancer("d", state=MemberState.READY, last_seen_at=10.0)

    shutdown.advance([unready, unresponsive, ready], received_at=10.0, now=10.0)

    assert shutdown.rotation.ready == 1
    assert shutdown.rotation.unavailable == ("b", "c")


def test_a_balancer_without_ready_peers_does_not_wait() -> None:
    """Guards against routers that send to terminated balancers of the domain.

    With one balancer of three in rotation, routers use all three. With none, they use
    the neighbouring domains.
    """
    shutdown = GracefulShutdown(started_at=10.0, leave_seconds=6.0)
    terminating = _balancer("b", state=MemberState.DRAINING, last_seen_at=10.0)
    unresponsive = _balancer("c", state=MemberState.READY, last_seen_at=0.0)

    shutdown.advance([terminating, unresponsive], received_at=10.0, now=10.0)

    assert shutdown.reports_not_ready
