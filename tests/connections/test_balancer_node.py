"""Tests of when a balancer fetches a newer configuration from a peer."""

from __future__ import annotations

from concurrent.futures import Future
from typing import TYPE_CHECKING
from typing import Any

import pytest

from siskinshift.connections.balancer_node import BalancerNode
from siskinshift.connections.configuration_catch_up import FETCH_AFTER_SECONDS
from siskinshift.connections.configuration_follower import ReceivedConfiguration
from siskinshift.connections.node_settings import NodeSettings
from siskinshift.connections.peer_messages import Load
from siskinshift.connections.peer_messages import Status
from siskinshift.messages.core import Endpoint
from siskinshift.messages.core import MemberState
from siskinshift.messages.core import Role
from siskinshift.platform.heartbeats import READINESS_PATH
from siskinshift.runtime.http_client import TransferProgress
from siskinshift.runtime.http_server import HttpRequest
from tests.connections.builders import member
from tests.connections.builders import routes
from tests.connections.in_memory_store import SETTINGS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator


HELD, NEWER = 3, 5
# Peers announce their version twice a second.
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
    """A balancer that records its tasks instead of starting them."""

    def __init__(self) -> None:
        self.tasks: list[Callable[..., object]] = []
        super().__init__(SETTINGS_OF_NODE)
        self.tasks.clear()
        self.configure(routes(version=HELD), ReceivedConfiguration(b"{}"))

    def spawn(self, task: Callable[..., Any], *arguments: Any) -> Future[Any]:
        self.tasks.append(task)
        return Future()

    def receive_status(self, version: int, *, now: float) -> None:
        """Receives a peer's status with its version."""
        status = Status(member("balancer-2", role=Role.BALANCER), Load(), version)
        peer = self.fleet.handle_status(status, now=now)
        assert peer is not None
        tuple(self.on_peer_status(peer, now))

    def set_transfer(
        self, *, first_received_at: float, last_received_at: float
    ) -> None:
        """Sets the progress of its own read from the store."""
        self._follower = _Follower(
            TransferProgress(first_received_at, last_received_at, is_complete=False)
        )  # type: ignore[assignment]


class _Follower:
    def __init__(self, transfer: TransferProgress) -> None:
        self.transfer = transfer
        self.is_failing = False


@pytest.fixture
def balancer() -> Iterator[_Balancer]:
    balancer = _Balancer()
    yield balancer
    balancer.stop()


def test_a_balancer_rejected_by_the_store_fetches_from_a_peer(
    balancer: _Balancer,
) -> None:
    balancer.receive_status(NEWER, now=100.0)
    assert not balancer.tasks

    balancer.receive_status(NEWER, now=100.0 + STATUS_SECONDS)
    assert len(balancer.tasks) == 1


def test_a_read_in_progress_is_not_duplicated(balancer: _Balancer) -> None:
    """Guards against a second copy of a long configuration on a slow link.

    A balancer at 7 Mbit/s reads 950 KB in 1.1 s, while peers with faster links announce
    the new version at once. Fetching it from a peer as well took 1.75 times its bytes,
    delayed both copies and left no bandwidth for callers.
    """
    balancer.receive_status(NEWER, now=100.0)
    for step in range(1, 6):
        now = 100.0 + step * STATUS_SECONDS
        balancer.set_transfer(first_received_at=100.1, last_received_at=now - 0.01)
        balancer.receive_status(NEWER, now=now)
    assert not balancer.tasks

    stopped_at = 100.0 + 5 * STATUS_SECONDS
    balancer.receive_status(NEWER, now=stopped_at + FETCH_AFTER_SECONDS)
    assert len(balancer.tasks) == 1


def test_a_failed_task_is_logged_by_the_node() -> None:
    """Guards against a node that neither registers nor serves, and logs no reason.

    An error had ended the tasks that use the store, and was reported only to a log that
    a node does not write.
    """

    def fail() -> None:
        raise ValueError("unknown name")

    node = BalancerNode(SETTINGS_OF_NODE)
    node.spawn(fail).exception()
    node.stop()

    assert 'event="task failed"' in node.log.metrics.render()


def test_a_fetch_lasts_until_its_configuration_is_applied(balancer: _Balancer) -> None:
    """Guards against an older held configuration that is applied in between."""
    balancer._is_fetching = True

    balancer._fetch("balancer-2", Endpoint("127.0.8.9", 1))

    assert balancer._is_fetching
    balancer.loop._run_calls()
    assert not balancer._is_fetching


def test_a_stalled_balancer_reports_not_ready_after_sigterm() -> None:
    """Guards against packets of routers while the event loop does not run."""
    balancer = _Balancer()
    balancer.change_member(state=MemberState.READY, weight=1, slots=1)
    readiness = HttpRequest("GET", READINESS_PATH, b"")
    assert balancer._handle_readiness_request(readiness).status == 200

    balancer.request_stop()

    assert balancer._handle_readiness_request(readiness).status == 503
