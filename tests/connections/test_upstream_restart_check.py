"""Tests of the detection of an upstream that restarted with its agent."""

from __future__ import annotations

import pytest

from siskinshift.connections.incarnation import Incarnation
from siskinshift.connections.upstream_restart_check import UpstreamRestartCheck
from tests.connections.builders import heartbeat


BEFORE = Incarnation("u-1")


@pytest.mark.parametrize("is_snapshot_first", [True, False])
def test_a_cold_upstream_that_differs_from_the_snapshot_is_new(
    is_snapshot_first: bool,
) -> None:
    """After a power loss, the snapshot names the previous incarnation."""
    check = UpstreamRestartCheck()
    after = heartbeat("u-2", sequence=4, cold_seconds=1.2)

    if is_snapshot_first:
        assert not check.on_snapshot_read(BEFORE)
        assert check.on_heartbeat(after)
    else:
        assert not check.on_heartbeat(after)
        assert check.on_snapshot_read(BEFORE)


def test_an_upstream_that_kept_running_is_not_new() -> None:
    """Only the agent was killed, shortly after its upstream had started."""
    check = UpstreamRestartCheck()
    check.on_snapshot_read(BEFORE)

    assert not check.on_heartbeat(heartbeat("u-1", cold_seconds=1.2))


def test_the_check_is_inconclusive_without_a_snapshot() -> None:
    """The previous process was killed before it wrote a snapshot."""
    check = UpstreamRestartCheck()
    check.on_snapshot_read(None)

    assert not check.on_heartbeat(heartbeat("u-2", cold_seconds=1.2))


def test_a_warm_upstream_may_hold_earlier_flows() -> None:
    check = UpstreamRestartCheck()
    check.on_snapshot_read(BEFORE)

    assert not check.on_heartbeat(heartbeat("u-2"))
    assert not check.on_heartbeat(heartbeat("u-2", sequence=2, cold_seconds=1.0))
