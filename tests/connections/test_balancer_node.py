"""Tests of when a balancer asks a peer for a newer configuration."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

import pytest

from siskinshift.connections.balancer_node import BalancerNode
from siskinshift.connections.configuration_catch_up import FETCH_AFTER_SECONDS
from siskinshift.connections.configuration_follower import ConfigurationReading
from siskinshift.connections.node_settings import NodeSettings
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import Role
from siskinshift.runtime.http_client import Transfer
from tests.connections.builders import member
from tests.connections.builders import routes
from tests.connections.in_memory_store import SETTINGS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


HELD, NEWER = 3, 5
# Peers tell their version twice a second.
STATUS_SECONDS = 0.5
SETTINGS_OF_NODE = NodeSettings(
    node_id="balancer-1",
    region="r",
    failure_domain="a",
    host="127.0.8.9",
    peer_port=0,
    seed_hosts=(),
    readiness=None,
    heartbeats=None,
    caller_packets=Endpoint("127.0.8.9", 0),
    upstream_outlet=None,
    upstream=None,
    service_id="",
    heartbeat_interval=0.77,
    leave_seconds=6.0,
    link_bytes_per_second=1e6,
    store=SETTINGS,
)


class _Balancer(BalancerNode):
    """A balancer that starts no task; tasks are counted."""

    def __init__(self) -> None:
        self.tasks: list[Callable[..., object]] = []
        super().__init__(SETTINGS_OF_NODE)
        self.tasks.clear()
        self.configure(routes(version=HELD), ConfigurationReading(b"{}"))

    def spawn(self, task: Callable[..., Any], *arguments: Any) -> Future[Any]:
        self.tasks.append(task)
        return Future()

    def hear(self, version: int, *, now: float) -> None:
        """A peer tells the version that it holds."""
        status = Status(member("balancer-2", role=Role.BALANCER), Load(), version)
        peer = self.fleet.handle_status(status, now=now)
        assert peer is not None
        tuple(self.on_peer_status(peer, now))

    def flows(self, *, began_at: float, moved_at: float) -> None:
        """The own reading has come so far."""
        self._follower = _Follower(Transfer(began_at, moved_at, is_over=False))  # type: ignore[assignment]


class _Follower:
    def __init__(self, transfer: Transfer) -> None:
        self.transfer = transfer
        self.is_failing = False


@pytest.fixture
def balancer() -> Iterator[_Balancer]:
    balancer = _Balancer()
    yield balancer
    balancer.stop()


def test_a_balancer_that_the_store_turns_away_asks_a_peer(balancer: _Balancer) -> None:
    balancer.hear(NEWER, now=100.0)
    assert not balancer.tasks

    balancer.hear(NEWER, now=100.0 + STATUS_SECONDS)
    assert len(balancer.tasks) == 1


def test_a_long_reading_that_flows_is_not_doubled(balancer: _Balancer) -> None:
    """Each change of a long configuration took 1.75 times its bytes of a thin link.

    A balancer at 7 Mbit/s reads 950 KB for 1.1 s. Peers on better links hold the change
    at once and say so; the balancer took that for a store that turns it away, and began
    to fetch a second copy beside the first. Both were late, and callers had no link.
    """
    balancer.hear(NEWER, now=100.0)
    for step in range(1, 6):
        now = 100.0 + step * STATUS_SECONDS
        balancer.flows(began_at=100.1, moved_at=now - 0.01)
        balancer.hear(NEWER, now=now)
    assert not balancer.tasks

    stopped_at = 100.0 + 5 * STATUS_SECONDS
    balancer.hear(NEWER, now=stopped_at + FETCH_AFTER_SECONDS)
    assert len(balancer.tasks) == 1


def test_a_task_that_fails_is_in_the_log_of_the_node() -> None:
    """A node registered nowhere and served nobody, and its log did not say why.

    An error ended the tasks that speak to the store; the report of it went to a log
    that a node does not write.
    """

    def fail() -> None:
        raise ValueError("unknown name")

    node = BalancerNode(SETTINGS_OF_NODE)
    node.spawn(fail).exception()
    node.stop()

    assert 'event="task failed"' in node.log.metrics.render()
