"""Tests of when a balancer schedules its link, on loopback sockets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import attrs
import pytest

from siskinshift.bench.egress_link import LINK_BYTES_PER_SECOND
from siskinshift.bench.egress_link import datagram
from siskinshift.bench.egress_link import upload
from siskinshift.connections.balancer_node import BalancerNode
from siskinshift.connections.configuration_follower import ReceivedConfiguration
from siskinshift.connections.egress import scheduled_node
from siskinshift.connections.egress.departure import Departure
from siskinshift.connections.egress.traffic_class import TrafficClass
from siskinshift.connections.request_kind import RequestKind
from siskinshift.runtime.event_loop import open_datagram_socket
from tests.connections.builders import routes
from tests.connections.test_balancer_node import SETTINGS_OF_NODE


if TYPE_CHECKING:
    import socket
    from collections.abc import Iterator

    from siskinshift.connections.actions import ToPeer


class _Clock:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


@pytest.fixture
def balancer() -> Iterator[BalancerNode]:
    settings = attrs.evolve(
        SETTINGS_OF_NODE, link_bytes_per_second=LINK_BYTES_PER_SECOND
    )
    balancer = BalancerNode(settings)
    balancer.add_sockets()
    yield balancer
    if not balancer.stopping.is_set():
        balancer.stop()


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> _Clock:
    """Replaces the clock of nodes that are created later."""
    clock = _Clock()
    monkeypatch.setattr(scheduled_node, "monotonic_clock", clock)
    return clock


@pytest.fixture
def agent() -> Iterator[socket.socket]:
    agent = open_datagram_socket("127.0.8.10", 0)
    yield agent
    agent.close()


def _configure(balancer: BalancerNode, kind: RequestKind, *, version: int) -> None:
    table = routes(version=version)
    ((address, route),) = table.routes_by_address.items()
    by_address = {address: attrs.evolve(route, kind=kind)}
    table = attrs.evolve(table, routes_by_address=by_address)
    balancer.configure(table, ReceivedConfiguration(b"{}"))


def _to(agent: socket.socket, actions: list[ToPeer]) -> list[ToPeer]:
    return [attrs.evolve(action, address=agent.getsockname()) for action in actions]


def _received(agent: socket.socket) -> list[bytes]:
    received = []
    while True:
        try:
            received.append(agent.recv(2048))
        except BlockingIOError:
            return received


def test_only_a_configuration_with_uploads_switches_the_scheduler_on(
    clock: _Clock, balancer: BalancerNode, agent: socket.socket
) -> None:
    """Guards against a change for deployments that did not ask for it.

    When the last route of type upload is gone, what waits is still sent.
    """
    packets = _to(agent, upload(1))
    _configure(balancer, RequestKind.IDEMPOTENT, version=1)
    departure = Departure()
    packets[0].departure = departure
    balancer.perform(packets)
    assert len(_received(agent)) == 16
    # Otherwise the timer of an opening would wait for its departure.
    assert departure.left_at is not None

    _configure(balancer, RequestKind.UPLOAD, version=2)
    page = _to(agent, [datagram(TrafficClass.INTERACTIVE, port=2)])
    began = clock.now
    balancer.perform([*packets, *page])
    received = _received(agent)
    assert len(received) < 6
    _configure(balancer, RequestKind.IDEMPOTENT, version=3)
    while len(received) < 17:
        clock.now += 0.001
        balancer.loop.run_once()
        received += _received(agent)
        assert clock.now < began + 5.0
    assert clock.now - began > 0.02
    assert received.index(page[0].datagram) < 6

    clock.now += 0.001
    balancer.loop.run_once()
    balancer.perform(packets)
    assert len(_received(agent)) == 16


def test_gauges_and_drops_are_complete_when_the_scheduling_ends(
    balancer: BalancerNode, agent: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a gauge of waiting bytes that stays after the last upload route.

    The counters do not fall, and the drops of the last second are logged.
    """
    dropped: list[object] = []
    monkeypatch.setattr(
        balancer.log,
        "decision",
        lambda event, **inputs: dropped.append((event, inputs.get("packets"))),
    )
    _configure(balancer, RequestKind.UPLOAD, version=1)
    balancer.perform(_to(agent, [*upload(1), *upload(1)[-3:]]))
    balancer.export_egress(balancer.log.metrics)
    assert "egress_waiting_bytes 0\n" not in balancer.log.metrics.render()
    _configure(balancer, RequestKind.IDEMPOTENT, version=2)
    began = time.monotonic()
    while ("egress dropped", 2) not in dropped:
        balancer.loop.run_once()
        assert time.monotonic() < began + 5.0
    balancer.export_egress(balancer.log.metrics)
    rendered = balancer.log.metrics.render()
    assert "egress_waiting_bytes 0\n" in rendered
    assert "egress_sent_packets_bulk 16\n" in rendered
    assert ("egress dropped", 1) in dropped


def test_waiting_packets_are_sent_before_the_process_ends(
    balancer: BalancerNode, agent: socket.socket
) -> None:
    """Guards against a restart that loses what callers have sent already."""
    _configure(balancer, RequestKind.UPLOAD, version=1)
    packets = _to(agent, upload(1) + upload(2))
    balancer.perform(packets)
    received = _received(agent)
    assert len(received) < 6
    balancer.stop()
    received += _received(agent)
    assert len(received) == 32
    assert set(received) == {packet.datagram for packet in packets}
