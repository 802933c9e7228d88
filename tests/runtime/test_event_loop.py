"""Tests of the event loop of a process."""

from __future__ import annotations

import socket
import threading
from typing import TYPE_CHECKING

from siskinshift.runtime.event_loop import MIN_TIMER_INTERVAL_SECONDS
from siskinshift.runtime.event_loop import EventLoop
from siskinshift.runtime.event_loop import open_datagram_socket
from tests.connections.builders import quiet_log


if TYPE_CHECKING:
    from collections.abc import Iterator

import pytest


LOOPBACK = "127.0.0.1"


class _Clock:
    """A clock that advances by a step with each reading."""

    def __init__(self) -> None:
        self.now = 0.0
        self.step = 0.001

    def __call__(self) -> float:
        self.now += self.step
        return self.now


@pytest.fixture
def clock() -> _Clock:
    return _Clock()


@pytest.fixture
def loop(clock: _Clock) -> Iterator[EventLoop]:
    loop = EventLoop(clock=clock, log=quiet_log())
    yield loop
    loop.close()


def test_a_received_reply_is_read_before_timers_run(
    loop: EventLoop,
) -> None:
    """Guards against an overloaded balancer that sends opening packets to many agents.

    If each batch of callers' packets takes longer than an agent's reply, the timer that
    queries a second agent runs before the first reply is read, which adds more load.
    """
    callers = open_datagram_socket(LOOPBACK, 0)
    peers = open_datagram_socket(LOOPBACK, 0)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    stopping = threading.Event()
    events: list[str] = []

    def on_caller(datagram: bytes, source: tuple[str, int], now: float) -> None:
        events.append("packet")
        sender.sendto(b"answer", peers.getsockname())

    def on_peer(datagram: bytes, source: tuple[str, int], now: float) -> None:
        events.append("answer")

    def on_timer(now: float) -> float:
        if events:
            events.append("timer")
            stopping.set()
        return now + 60.0

    loop.add_socket(callers, on_caller)
    loop.add_socket(peers, on_peer, read_last=True)
    loop.add_timer(on_timer)
    for _ in range(3):
        sender.sendto(b"packet", callers.getsockname())

    loop.run_until(stopping)

    assert events == ["packet"] * 3 + ["answer"] * 3 + ["timer"]
    for opened in (callers, peers, sender):
        opened.close()


def test_timers_run_at_intervals_while_packets_arrive_but_soon_after_each(
    loop: EventLoop, clock: _Clock
) -> None:
    """Guards against a check of all timers after each packet, which doubles its cost.

    A timer that a packet made due earlier, such as for a second attempt, must not wait
    until the previous due time.
    """
    callers = open_datagram_socket(LOOPBACK, 0)
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    handled: list[float] = []
    runs: list[float] = []

    def on_timer(now: float) -> float:
        runs.append(now)
        return now + 60.0

    loop.add_socket(callers, lambda _data, _source, now: handled.append(now))
    loop.add_timer(on_timer)
    clock.step = 0.00001
    for _ in range(50):
        sender.sendto(b"packet", callers.getsockname())
        loop.run_once()
    clock.now += MIN_TIMER_INTERVAL_SECONDS
    sender.sendto(b"packet", callers.getsockname())
    loop.run_once()

    assert len(handled) == 51
    assert len(runs) == 2
    assert runs[1] - handled[-2] <= MIN_TIMER_INTERVAL_SECONDS + 0.001
    callers.close()
    sender.close()


def test_a_precise_timer_runs_within_two_milliseconds_while_others_wait(
    loop: EventLoop, clock: _Clock
) -> None:
    """Guards against a link of 5 Mbit/s that is idle for 5 ms between two packets."""
    runs: list[float] = []

    def on_timer(now: float) -> float:
        runs.append(now)
        return now + 0.002

    loop.add_timer(lambda now: now + 60.0)
    loop.add_precise_timer(on_timer)
    clock.step = 0.0005
    for _ in range(10):
        loop.run_once()
    assert len(runs) == 10
    assert runs[-1] < 0.05

    loop.remove_precise_timer(on_timer)
    clock.step = 0.01
    loop.call(lambda: None)
    loop.run_once()
    assert len(runs) == 10
